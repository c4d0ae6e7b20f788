//! The token that a client carries: a session's watermark in one group, opaque, versioned and checked.

use crate::watermark::{SessionKey, Watermark, NAME_HASH_BITS};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use petrelgauge_policy::{GroupId, Time};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The version written. Tokens of other versions are refused by name.
pub const VERSION: u8 = 1;
/// Bytes before they are written in letters: version, group, name, wrote, read, issued_at, check.
const BYTES: usize = 1 + 8 + 5 + 6 + 6 + 6 + 4;
/// Letters of a token.
pub const TEXT_LENGTH: usize = BYTES.div_ceil(3) * 4 - (3 - BYTES % 3) % 3;

/// What a client brings in place of a token with the first request of a session.
pub const NEW_SESSION: &str = "new";

/// A token that was read. Times in microseconds, whole milliseconds on the wire: watermarks rounded up, the time of
/// issue down, so that it says less rather than more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Session and group.
    pub key: SessionKey,
    /// The session's watermark.
    pub watermark: Watermark,
    /// When it was handed out: the watermark covers what the session did before.
    pub issued_at: Time,
}

/// Why a token cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// Not a token's letters, or not so many.
    #[error("the session token is not one of this gateway")]
    Malformed,
    /// Written by a version that is not known here.
    #[error("the session token has a version that is not known here")]
    UnsupportedVersion,
    /// The check does not fit: it was altered, or made with another secret.
    #[error("the session token does not pass its check")]
    InvalidChecksum,
    /// It belongs to another session.
    #[error("the session token is of another session")]
    WrongSession,
    /// It belongs to another group.
    #[error("the session token is of another cluster")]
    WrongGroup,
    /// More than may be set for a connection.
    #[error("more session tokens are set than a connection may hold")]
    TooMany,
    /// Tokens are not taken here.
    #[error("session tokens are not taken here")]
    Disabled,
}

impl Token {
    /// What a client says with [`NEW_SESSION`]: its session has been told of nothing yet.
    pub fn new_session(key: SessionKey, now: Time) -> Token {
        Token { key, watermark: Watermark::NONE, issued_at: now }
    }

    /// The token in letters that need no quoting in a statement's comment.
    pub fn encode(&self, secret: u64) -> String {
        let mut bytes = Vec::with_capacity(BYTES);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.key.group.to_be_bytes());
        bytes.extend_from_slice(&self.key.name_hash.to_be_bytes()[3..]);
        for ms in [
            milliseconds_up(self.watermark.written),
            milliseconds_up(self.watermark.read),
            self.issued_at.max(0) as u64 / 1000,
        ] {
            bytes.extend_from_slice(&ms.min((1 << 48) - 1).to_be_bytes()[2..]);
        }
        bytes.extend_from_slice(&checksum(&bytes, secret));
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a token. Nothing of one that fails its check is used.
    pub fn decode(text: &str, secret: u64) -> Result<Token, TokenError> {
        if text.len() != TEXT_LENGTH {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        let bytes: [u8; BYTES] = bytes.try_into().map_err(|_| TokenError::Malformed)?;
        if bytes[0] != VERSION {
            return Err(TokenError::UnsupportedVersion);
        }
        let (body, tail) = bytes.split_at(BYTES - 4);
        if checksum(body, secret) != tail {
            return Err(TokenError::InvalidChecksum);
        }
        let number = |from: usize, to: usize| body[from..to].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        let time = |from: usize| number(from, from + 6) as Time * 1000;
        Ok(Token {
            key: SessionKey {
                group: number(1, 9) as GroupId,
                name_hash: number(9, 14) & ((1 << NAME_HASH_BITS) - 1),
            },
            watermark: Watermark { written: time(14), read: time(20) },
            issued_at: time(26),
        })
    }

    /// What this and another token of the same session tell together: the watermarks of both, as of the newer one. A
    /// client with several requests open holds several; the token of an answer takes the place of those that came
    /// with its request.
    #[must_use]
    pub fn join(self, other: Token) -> Token {
        let newer = if other.issued_at > self.issued_at { other } else { self };
        Token { watermark: self.watermark.join(other.watermark), ..newer }
    }

    /// Whether it belongs to this session in this group.
    pub fn check_session(&self, key: SessionKey) -> Result<(), TokenError> {
        match (self.key.group == key.group, self.key.name_hash == key.name_hash) {
            (false, _) => Err(TokenError::WrongGroup),
            (_, false) => Err(TokenError::WrongSession),
            _ => Ok(()),
        }
    }
}

fn milliseconds_up(time: Time) -> u64 {
    (time.max(0) as u64).div_ceil(1000)
}

fn checksum(bytes: &[u8], secret: u64) -> [u8; 4] {
    let hash = xxh3_64_with_seed(bytes, secret ^ u64::from(VERSION));
    ((hash >> 32) as u32).to_be_bytes()
}
