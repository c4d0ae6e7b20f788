//! Encoding of messages as datagrams.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | magic byte, which distinguishes these datagrams from watermark broadcasts on the same socket |
//! | 1 | version of this encoding |
//! | 4 | fingerprint of the fleet's settings, big-endian |
//! | up to 246 | sender and message, as `postcard` encodes them |
//! | 4 | CRC-32C of the fleet's secret followed by everything before, big-endian |
//!
//! The keyed checksum detects corruption and datagrams of other fleets. It is no defence against an attacker.

use crate::message::Message;
use crate::GatewayId;
use thiserror::Error;

/// Maximum length of a datagram (bytes).
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// First byte of each datagram. Watermark broadcasts of sessions begin with their version, which is lower.
const MAGIC: u8 = 0xA7;
/// Version of the encoding.
const VERSION: u8 = 1;
/// Length of magic byte, version and fingerprint (bytes).
const HEADER_BYTES: usize = 2 + 4;
/// Length of the checksum (bytes).
const CHECKSUM_BYTES: usize = 4;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It is too short or too long, begins with another byte, or its body cannot be decoded.
    #[error("the datagram is malformed")]
    Malformed,
    /// It has another version of the encoding.
    #[error("the datagram has a version that is not known here")]
    UnknownVersion,
    /// The sender is configured with other acceptors, durations or shards.
    #[error("the datagram is of a fleet with other electors or durations")]
    OtherFleet,
    /// It was corrupted, or encoded with another secret.
    #[error("the datagram's checksum does not match")]
    ChecksumMismatch,
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The gateway that the datagram claims to be from.
    pub from: GatewayId,
    /// The message.
    pub message: Message,
}

impl Message {
    /// Whether these bytes begin with the magic byte of this encoding.
    pub fn has_magic_byte(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MAGIC)
    }

    /// Encodes the message as a datagram. `fleet` is [`crate::Settings::sharded_fingerprint`]; `secret` is
    /// the same at all gateways.
    pub fn encode(&self, from: GatewayId, fleet: u32, secret: u64) -> Vec<u8> {
        let mut bytes = vec![MAGIC, VERSION];
        bytes.extend_from_slice(&fleet.to_be_bytes());
        bytes = postcard::to_extend(&(from, self), bytes).unwrap_or_default();
        let checksum = keyed_checksum(&bytes, secret);
        bytes.extend_from_slice(&checksum);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        bytes
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is malformed, of another version or fleet, or corrupted, or if it was encoded
    /// with another secret.
    pub fn decode(bytes: &[u8], fleet: u32, secret: u64) -> Result<ReceivedMessage, DatagramError> {
        let lengths = HEADER_BYTES + CHECKSUM_BYTES..=MAX_DATAGRAM_BYTES;
        if !lengths.contains(&bytes.len()) || !Message::has_magic_byte(bytes) {
            return Err(DatagramError::Malformed);
        }
        let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if keyed_checksum(content, secret) != checksum {
            return Err(DatagramError::ChecksumMismatch);
        }
        let (header, body) = content.split_at(HEADER_BYTES);
        if header[1] != VERSION {
            return Err(DatagramError::UnknownVersion);
        }
        if header[2..] != fleet.to_be_bytes() {
            return Err(DatagramError::OtherFleet);
        }
        match postcard::take_from_bytes::<(GatewayId, Message)>(body) {
            Ok(((from, message), [])) => Ok(ReceivedMessage { from, message }),
            _ => Err(DatagramError::Malformed),
        }
    }
}

fn keyed_checksum(content: &[u8], secret: u64) -> [u8; CHECKSUM_BYTES] {
    crc32c::crc32c_append(crc32c::crc32c(&secret.to_be_bytes()), content).to_be_bytes()
}
