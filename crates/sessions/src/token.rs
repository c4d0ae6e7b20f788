//! Session tokens. A token carries the watermark of a session in one group and is held by the client. It is
//! opaque, versioned and has a checksum.

use crate::encoding::{
    ceil_milliseconds, checksum, floor_milliseconds, push_milliseconds, push_name_hash, FieldReader,
    CHECKSUM_BYTES, NAME_HASH_BYTES, TIME_BYTES,
};
use crate::session_key::SessionKey;
use crate::watermark::Watermark;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use petrelgauge_policy::{GroupId, Time};
use thiserror::Error;

/// Version of the encoding. No other version can be decoded.
pub const VERSION: u8 = 1;

/// Sent by clients instead of a token with the first request of a session.
pub const NEW_SESSION: &str = "new";

const VERSION_BYTES: usize = 1;
const GROUP_BYTES: usize = 8;
/// Fields: version, group, name, `written`, `read`, `issued_at`.
const BODY_BYTES: usize = VERSION_BYTES + GROUP_BYTES + NAME_HASH_BYTES + 3 * TIME_BYTES;
const BYTES: usize = BODY_BYTES + CHECKSUM_BYTES;
/// Length of a token in characters: its bytes in base64 without padding.
const TEXT_LENGTH: usize = BYTES.div_ceil(3) * 4 - (3 - BYTES % 3) % 3;

/// A decoded token. Times are in microseconds and are encoded as milliseconds. The watermark is rounded up
/// and the time of issue down, so that a rounded token never covers more than the exact one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Session and group.
    pub key: SessionKey,
    /// The session's watermark.
    pub watermark: Watermark,
    /// When the token was issued. The watermark covers all earlier requests of the session.
    pub issued_at: Time,
}

/// Reason why a token cannot be used. The texts are sent to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// Its length or its characters are invalid.
    #[error("the session token is not one of this gateway")]
    Malformed,
    /// Its version is not supported.
    #[error("the session token has a version that is not known here")]
    UnsupportedVersion,
    /// Its checksum does not match: the token was altered, or encoded with another secret.
    #[error("the session token does not pass its check")]
    InvalidChecksum,
    /// It belongs to another session.
    #[error("the session token is of another session")]
    WrongSession,
    /// It belongs to another group.
    #[error("the session token is of another cluster")]
    WrongGroup,
    /// More than [`crate::MAX_TOKENS`] tokens are set for a connection.
    #[error("more session tokens are set than a connection may hold")]
    TooMany,
    /// Tokens are disabled by the settings.
    #[error("session tokens are not taken here")]
    Disabled,
}

impl Token {
    /// Creates the token of a session without earlier requests. Clients send [`NEW_SESSION`] for it.
    pub fn new_session(key: SessionKey, now: Time) -> Token {
        Token { key, watermark: Watermark::NONE, issued_at: now }
    }

    /// Encodes the token as text that needs no quoting in a statement's comment.
    pub fn encode(&self, secret: u64) -> String {
        let mut bytes = Vec::with_capacity(BYTES);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.key.group.to_be_bytes());
        push_name_hash(&mut bytes, self.key.name_hash);
        push_milliseconds(&mut bytes, ceil_milliseconds(self.watermark.written));
        push_milliseconds(&mut bytes, ceil_milliseconds(self.watermark.read));
        push_milliseconds(&mut bytes, floor_milliseconds(self.issued_at));
        let checksum = checksum(&bytes, checksum_seed(secret));
        bytes.extend_from_slice(&checksum);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a token.
    ///
    /// # Errors
    ///
    /// Fails with [`TokenError::Malformed`], [`TokenError::UnsupportedVersion`] or
    /// [`TokenError::InvalidChecksum`].
    pub fn decode(text: &str, secret: u64) -> Result<Token, TokenError> {
        if text.len() != TEXT_LENGTH {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        let bytes: [u8; BYTES] = bytes.try_into().map_err(|_| TokenError::Malformed)?;
        if bytes[0] != VERSION {
            return Err(TokenError::UnsupportedVersion);
        }
        let (body, tail) = bytes.split_at(BODY_BYTES);
        if checksum(body, checksum_seed(secret)) != tail {
            return Err(TokenError::InvalidChecksum);
        }
        Ok(decode_fields(&body[VERSION_BYTES..]))
    }

    /// Merges two tokens of the same session: joins their watermarks and takes the later time of issue. A
    /// client with several requests in flight holds several tokens, because the token of an answer replaces
    /// only those sent with its request.
    #[must_use]
    pub fn join(self, other: Token) -> Token {
        let newer = if other.issued_at > self.issued_at { other } else { self };
        Token { watermark: self.watermark.join(other.watermark), ..newer }
    }

    /// Checks that the token belongs to this session in this group.
    ///
    /// # Errors
    ///
    /// Fails with [`TokenError::WrongGroup`] or [`TokenError::WrongSession`].
    pub fn check_session(&self, key: SessionKey) -> Result<(), TokenError> {
        if self.key.group != key.group {
            return Err(TokenError::WrongGroup);
        }
        if self.key.name_hash != key.name_hash {
            return Err(TokenError::WrongSession);
        }
        Ok(())
    }
}

fn decode_fields(fields: &[u8]) -> Token {
    let mut reader = FieldReader::new(fields);
    let group = reader.integer(GROUP_BYTES) as GroupId;
    let name_hash = reader.name_hash();
    let written = reader.time();
    let read = reader.time();
    let issued_at = reader.time();
    Token { key: SessionKey { group, name_hash }, watermark: Watermark { written, read }, issued_at }
}

fn checksum_seed(secret: u64) -> u64 {
    secret ^ u64::from(VERSION)
}
