//! The session tokens that a client has set for a connection.

use crate::token::{Token, TokenError};
use petrelgauge_policy::GroupId;

/// Maximum number of tokens per connection. More are rejected, because silently dropping one would allow a
/// stale read.
pub const MAX_TOKENS: usize = 16;

const SEPARATOR: char = '+';

/// The tokens of a connection, in the order in which they were set.
#[derive(Clone, Debug, Default)]
pub struct SessionTokens {
    tokens: Vec<ConnectionToken>,
}

/// A token whose checksum is valid.
#[derive(Clone, Debug)]
struct ConnectionToken {
    group: GroupId,
    text: String,
}

impl SessionTokens {
    /// Sets the tokens in `text`, separated by `+`. They replace all earlier tokens of their groups.
    ///
    /// # Errors
    ///
    /// Fails with the error of the first token that cannot be decoded, or with [`TokenError::TooMany`]. The
    /// tokens are unchanged in that case.
    pub fn set(&mut self, text: &str, secret: u64) -> Result<(), TokenError> {
        let new = parse(text, secret)?;
        let is_replaced = |group| new.iter().any(|token| token.group == group);
        let mut tokens: Vec<ConnectionToken> =
            self.tokens.iter().filter(|token| !is_replaced(token.group)).cloned().collect();
        tokens.extend(new);
        if tokens.len() > MAX_TOKENS {
            return Err(TokenError::TooMany);
        }
        self.tokens = tokens;
        Ok(())
    }

    /// The tokens of a group.
    pub fn for_group(&self, group: GroupId) -> impl Iterator<Item = &str> {
        self.tokens.iter().filter(move |token| token.group == group).map(|token| token.text.as_str())
    }

    /// Removes all tokens.
    pub fn clear(&mut self) {
        self.tokens.clear();
    }
}

fn parse(text: &str, secret: u64) -> Result<Vec<ConnectionToken>, TokenError> {
    let texts = text.split(SEPARATOR).filter(|token| !token.is_empty());
    texts
        .map(|text| {
            let token = Token::decode(text, secret)?;
            Ok(ConnectionToken { group: token.key.group, text: text.to_string() })
        })
        .collect()
}
