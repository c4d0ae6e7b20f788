//! Encoding of messages as datagrams.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | magic byte, which distinguishes these datagrams from watermark broadcasts on the same socket |
//! | 1 | version of this encoding |
//! | 4 | fingerprint of the fleet's settings, big-endian |
//! | up to 246 | sender and message, encoded with `postcard` |
//! | 4 | CRC-32C of the fleet's secret followed by all preceding bytes, big-endian |
//!
//! The keyed checksum detects corruption and datagrams of other fleets. It does not protect against an
//! attacker.

use crate::message::Message;
use crate::GatewayId;
use thiserror::Error;

/// Maximum length of a datagram (bytes).
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// First byte of each datagram. Watermark broadcasts begin with their version, which is a lower value.
const MAGIC: u8 = 0xA7;
/// Second byte of each datagram. Datagrams with another version are rejected.
const VERSION: u8 = 1;
/// Length of magic byte, version and fingerprint (bytes).
const HEADER_BYTES: usize = 2 + 4;
/// Length of the checksum (bytes).
const CHECKSUM_BYTES: usize = 4;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It is too short or too long, has another first byte, or its body cannot be decoded.
    #[error("the datagram is malformed")]
    Malformed,
    /// It has another version of the encoding.
    #[error("the datagram has an unknown version")]
    UnknownVersion,
    /// The sender is configured with other acceptors, durations or shards. The text uses the operator's keys.
    #[error("the datagram is from a gateway with different electors, durations or shards")]
    OtherFleet,
    /// It was corrupted, or encoded with another secret.
    #[error("the checksum of the datagram does not match")]
    ChecksumMismatch,
}

/// The sender and the content of a valid datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The sender, as the datagram states it.
    pub from: GatewayId,
    /// The decoded content. The version, fingerprint and checksum of the datagram were valid.
    pub message: Message,
}

impl Message {
    /// Whether these bytes begin with the magic byte of this encoding.
    pub fn has_magic_byte(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MAGIC)
    }

    /// Encodes the message as a datagram. `fingerprint` is [`crate::Settings::sharded_fingerprint`]; `secret`
    /// is the same at all gateways.
    pub fn encode(&self, from: GatewayId, fingerprint: u32, secret: u64) -> Vec<u8> {
        let mut bytes = vec![MAGIC, VERSION];
        bytes.extend_from_slice(&fingerprint.to_be_bytes());
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
    /// Fails if the datagram is malformed or corrupted, or if it has another version, fingerprint or secret.
    pub fn decode(bytes: &[u8], fingerprint: u32, secret: u64) -> Result<ReceivedMessage, DatagramError> {
        let valid_lengths = HEADER_BYTES + CHECKSUM_BYTES..=MAX_DATAGRAM_BYTES;
        if !valid_lengths.contains(&bytes.len()) || !Message::has_magic_byte(bytes) {
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
        if header[2..] != fingerprint.to_be_bytes() {
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
