//! The token that a client carries: a session's mark in one group, opaque, versioned and checked.

use crate::mark::{Key, Mark, NAME_BITS};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use petrelgauge_policy::{GroupId, Time};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The version written. Tokens of other versions are refused by name.
pub const VERSION: u8 = 1;
/// Bytes before they are written in letters: version, group, name, wrote, read, issued, check.
const BYTES: usize = 1 + 8 + 5 + 6 + 6 + 6 + 4;
/// Letters of a token.
pub const LETTERS: usize = BYTES.div_ceil(3) * 4 - (3 - BYTES % 3) % 3;

/// What a client brings in place of a token with the first request of a session.
pub const FRESH: &str = "new";

/// A token that was read. Times in microseconds, whole milliseconds on the wire: marks rounded up, the time of
/// issue down, so that it says less rather than more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Session and group.
    pub key: Key,
    /// The session's mark.
    pub mark: Mark,
    /// When it was handed out: the mark covers what the session did before.
    pub issued: Time,
}

/// Why a token cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// Not a token's letters, or not so many.
    #[error("the session token is not one of this gateway")]
    Shape,
    /// Written by a version that is not known here.
    #[error("the session token has a version that is not known here")]
    Version,
    /// The check does not fit: it was altered, or made with another secret.
    #[error("the session token does not pass its check")]
    Check,
    /// It belongs to another session.
    #[error("the session token is of another session")]
    Session,
    /// It belongs to another group.
    #[error("the session token is of another cluster")]
    Group,
    /// More than may be set for a connection.
    #[error("more session tokens are set than a connection may hold")]
    TooMany,
    /// Tokens are not taken here.
    #[error("session tokens are not taken here")]
    Off,
}

impl Token {
    /// What a client says with [`FRESH`]: its session has been told of nothing yet.
    pub fn fresh(key: Key, now: Time) -> Token {
        Token { key, mark: Mark::NONE, issued: now }
    }

    /// The token in letters that need no quoting in a statement's comment.
    pub fn write(&self, secret: u64) -> String {
        let mut bytes = Vec::with_capacity(BYTES);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.key.group.to_be_bytes());
        bytes.extend_from_slice(&self.key.name.to_be_bytes()[3..]);
        for ms in [up(self.mark.wrote), up(self.mark.read), self.issued.max(0) as u64 / 1000] {
            bytes.extend_from_slice(&ms.min((1 << 48) - 1).to_be_bytes()[2..]);
        }
        bytes.extend_from_slice(&check(&bytes, secret));
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a token. Nothing of one that fails its check is used.
    pub fn read(text: &str, secret: u64) -> Result<Token, TokenError> {
        if text.len() != LETTERS {
            return Err(TokenError::Shape);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Shape)?;
        let bytes: [u8; BYTES] = bytes.try_into().map_err(|_| TokenError::Shape)?;
        if bytes[0] != VERSION {
            return Err(TokenError::Version);
        }
        let (body, tail) = bytes.split_at(BYTES - 4);
        if check(body, secret) != tail {
            return Err(TokenError::Check);
        }
        let number = |from: usize, to: usize| body[from..to].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        let time = |from: usize| number(from, from + 6) as Time * 1000;
        Ok(Token {
            key: Key { group: number(1, 9) as GroupId, name: number(9, 14) & ((1 << NAME_BITS) - 1) },
            mark: Mark { wrote: time(14), read: time(20) },
            issued: time(26),
        })
    }

    /// What this and another token of the same session tell together: the marks of both, as of the newer one. A
    /// client with several requests open holds several; the token of an answer takes the place of those that came
    /// with its request.
    #[must_use]
    pub fn join(self, other: Token) -> Token {
        let newer = if other.issued > self.issued { other } else { self };
        Token { mark: self.mark.join(other.mark), ..newer }
    }

    /// Whether it belongs to this session in this group.
    pub fn fits(&self, key: Key) -> Result<(), TokenError> {
        match (self.key.group == key.group, self.key.name == key.name) {
            (false, _) => Err(TokenError::Group),
            (_, false) => Err(TokenError::Session),
            _ => Ok(()),
        }
    }
}

fn up(time: Time) -> u64 {
    (time.max(0) as u64).div_ceil(1000)
}

fn check(bytes: &[u8], secret: u64) -> [u8; 4] {
    let hash = xxh3_64_with_seed(bytes, secret ^ u64::from(VERSION));
    ((hash >> 32) as u32).to_be_bytes()
}
