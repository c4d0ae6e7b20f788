//! What drivers set at their start and would have no effect here, and the one setting that has: a session's token.

use crate::net::statement::verb;

/// The setting that holds a session's token, and the status that tells it.
pub const TOKEN_SETTING: &str = "petrelgauge.mark";

/// A statement that the gateway answers by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Setting {
    /// `SET petrelgauge.mark`: tokens parted by `+`.
    SetTokens(String),
    /// `RESET petrelgauge.mark`.
    ResetTokens,
    /// Another `SET`.
    Other,
    /// Another `RESET`.
    Reset,
    /// `DISCARD`.
    Discard,
}

impl Setting {
    /// The tag of its completion.
    pub fn tag(&self) -> &'static str {
        match self {
            Setting::SetTokens(_) | Setting::Other => "SET",
            Setting::ResetTokens | Setting::Reset => "RESET",
            Setting::Discard => "DISCARD ALL",
        }
    }
}

/// Reads a statement that sets something; none if it does not.
pub fn parse(text: &[u8]) -> Option<Setting> {
    let verb = verb(text);
    let rest = text.trim_ascii_start().get(verb.len()..).unwrap_or_default().trim_ascii();
    let rest = rest.strip_suffix(b";").unwrap_or(rest).trim_ascii_end();
    match verb.to_ascii_uppercase().as_slice() {
        b"SET" => Some(mark(rest).map_or(Setting::Other, Setting::SetTokens)),
        b"RESET" if rest.eq_ignore_ascii_case(TOKEN_SETTING.as_bytes()) => Some(Setting::ResetTokens),
        b"RESET" => Some(Setting::Reset),
        b"DISCARD" => Some(Setting::Discard),
        _ => None,
    }
}

/// The value of `[SESSION | LOCAL] petrelgauge.mark { = | TO } 'value'`.
fn mark(rest: &[u8]) -> Option<String> {
    let rest = ["SESSION ", "LOCAL "].iter().fold(rest, |rest, word| without(rest, word).unwrap_or(rest));
    let rest = without(rest, TOKEN_SETTING)?.trim_ascii_start();
    let value = rest.strip_prefix(b"=").or_else(|| without(rest, "TO "))?.trim_ascii();
    let value = value.strip_prefix(b"'").and_then(|value| value.strip_suffix(b"'")).unwrap_or(value);
    Some(String::from_utf8_lossy(value).into_owned())
}

fn without<'a>(text: &'a [u8], word: &str) -> Option<&'a [u8]> {
    let (head, rest) = text.split_at_checked(word.len())?;
    head.eq_ignore_ascii_case(word.as_bytes()).then(|| rest.trim_ascii_start())
}
