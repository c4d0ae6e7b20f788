//! Statements that the gateway answers itself: SET, RESET and DISCARD. Drivers send these for many settings;
//! only [`TOKEN_SETTING`], which holds the client's session tokens, has an effect.

use crate::sql::statement::verb;

/// Name of the setting that holds a client's session tokens, and of the parameter that reports a token to
/// the client.
pub const TOKEN_SETTING: &str = "petrelgauge.mark";
/// Scopes that may precede the name of a setting. They are accepted and ignored.
const SCOPES: [&str; 2] = ["SESSION ", "LOCAL "];

/// A statement that the gateway answers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Setting {
    /// `SET petrelgauge.mark`, with tokens separated by `+`.
    SetTokens(String),
    /// `RESET petrelgauge.mark`.
    ResetTokens,
    /// `SET` of another setting.
    Other,
    /// `RESET` of another setting.
    Reset,
    /// `DISCARD`.
    Discard,
}

impl Setting {
    /// The command tag of the CommandComplete message that answers it.
    pub fn tag(&self) -> &'static str {
        match self {
            Setting::SetTokens(_) | Setting::Other => "SET",
            Setting::ResetTokens | Setting::Reset => "RESET",
            Setting::Discard => "DISCARD ALL",
        }
    }
}

/// Parses a statement. Returns `None` if it is not a SET, RESET or DISCARD.
pub fn parse(text: &[u8]) -> Option<Setting> {
    let verb = verb(text);
    let rest = text.trim_ascii_start().get(verb.len()..).unwrap_or_default().trim_ascii();
    let rest = rest.strip_suffix(b";").unwrap_or(rest).trim_ascii_end();
    match verb.to_ascii_uppercase().as_slice() {
        b"SET" => Some(token_value(rest).map_or(Setting::Other, Setting::SetTokens)),
        b"RESET" if rest.eq_ignore_ascii_case(TOKEN_SETTING.as_bytes()) => Some(Setting::ResetTokens),
        b"RESET" => Some(Setting::Reset),
        b"DISCARD" => Some(Setting::Discard),
        _ => None,
    }
}

/// The value of `[SESSION | LOCAL] petrelgauge.mark { = | TO } 'value'`.
fn token_value(assignment: &[u8]) -> Option<String> {
    let assignment = SCOPES.iter().fold(assignment, |rest, scope| strip_word(rest, scope).unwrap_or(rest));
    let rest = strip_word(assignment, TOKEN_SETTING)?.trim_ascii_start();
    let value = rest.strip_prefix(b"=").or_else(|| strip_word(rest, "TO "))?.trim_ascii();
    let value = value.strip_prefix(b"'").and_then(|value| value.strip_suffix(b"'")).unwrap_or(value);
    Some(String::from_utf8_lossy(value).into_owned())
}

/// Strips a word, compared without case, and the whitespace after it.
fn strip_word<'a>(text: &'a [u8], word: &str) -> Option<&'a [u8]> {
    let (head, rest) = text.split_at_checked(word.len())?;
    head.eq_ignore_ascii_case(word.as_bytes()).then(|| rest.trim_ascii_start())
}
