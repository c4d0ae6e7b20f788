//! Datagrams: a mark, a version, the fleet's fingerprint, the body as `postcard` writes it, and CRC-32C keyed by the
//! fleet's secret, 4 bytes.

use crate::message::Message;
use crate::GatewayId;
use thiserror::Error;

/// Longest datagram (bytes).
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Told apart from the bulletins of sessions, which begin with their version.
const MARK: u8 = 0xA7;
const VERSION: u8 = 1;
const HEAD: usize = 2 + 4;
const CHECK: usize = 4;

/// Why a datagram cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Too short, too long, or not to be read.
    #[error("the datagram has a form that is none")]
    Shape,
    /// Of a later version.
    #[error("the datagram has a version that is not known here")]
    Version,
    /// Its acceptors or spans are others than here: two files are about.
    #[error("the datagram is of a fleet with other acceptors or spans")]
    Fleet,
    /// Garbage, altered, or under another secret.
    #[error("the datagram does not pass its check")]
    Check,
}

impl Message {
    /// Whether these bytes are meant for this room at all.
    pub fn is_one(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MARK)
    }

    /// Its bytes, from this gateway. `fleet`: the fingerprint of the settings that all must have alike.
    pub fn write(&self, from: GatewayId, fleet: u32, secret: u64) -> Vec<u8> {
        let mut bytes = vec![MARK, VERSION];
        bytes.extend_from_slice(&fleet.to_be_bytes());
        bytes = postcard::to_extend(&(from, self), bytes).unwrap_or_default();
        let check = check(&bytes, secret);
        bytes.extend_from_slice(&check);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        bytes
    }

    /// Reads a datagram: who it says to be from, and what it says.
    pub fn read(bytes: &[u8], fleet: u32, secret: u64) -> Result<(GatewayId, Message), MessageError> {
        if !(HEAD + CHECK..=MAX_DATAGRAM_BYTES).contains(&bytes.len()) || !Message::is_one(bytes) {
            return Err(MessageError::Shape);
        }
        let (body, tail) = bytes.split_at(bytes.len() - CHECK);
        if check(body, secret) != tail {
            return Err(MessageError::Check);
        }
        if body[1] != VERSION {
            return Err(MessageError::Version);
        }
        if body[2..HEAD] != fleet.to_be_bytes() {
            return Err(MessageError::Fleet);
        }
        match postcard::take_from_bytes::<(GatewayId, Message)>(&body[HEAD..]) {
            Ok((read, [])) => Ok(read),
            _ => Err(MessageError::Shape),
        }
    }
}

fn check(body: &[u8], secret: u64) -> [u8; CHECK] {
    crc32c::crc32c_append(crc32c::crc32c(&secret.to_be_bytes()), body).to_be_bytes()
}
