//! The tokens that a client has set for its connection.

use crate::token::{Token, TokenError};
use petrelgauge_policy::GroupId;

/// Tokens that a connection may have set. One more is refused: dropping one would lower a floor unseen.
pub const MAX_TOKENS: usize = 16;

/// Tokens by group, as they were set.
#[derive(Clone, Debug, Default)]
pub struct SessionTokens {
    tokens: Vec<(GroupId, String)>,
}

impl SessionTokens {
    /// Takes what a client set: tokens parted by `+`. They take the place of all that were set for the groups they
    /// name. One that cannot be used changes nothing.
    pub fn set(&mut self, text: &str, secret: u64) -> Result<(), TokenError> {
        let texts = text.split('+').filter(|token| !token.is_empty());
        let read = |text: &str| Token::decode(text, secret).map(|token| (token.key.group, text.to_string()));
        let new: Vec<(GroupId, String)> = texts.map(read).collect::<Result<_, _>>()?;
        let kept = self.tokens.iter().filter(|(group, _)| new.iter().all(|(other, _)| other != group));
        let all: Vec<(GroupId, String)> = kept.chain(&new).cloned().collect();
        if all.len() > MAX_TOKENS {
            return Err(TokenError::TooMany);
        }
        self.tokens = all;
        Ok(())
    }

    /// Those of a group.
    pub fn for_group(&self, group: GroupId) -> impl Iterator<Item = &str> {
        self.tokens.iter().filter(move |(other, _)| *other == group).map(|(_, text)| text.as_str())
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.tokens.clear();
    }
}
