//! Encoding of messages as datagrams.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | mark that tells these datagrams apart from the session bulletins on the same socket |
//! | 1 | version of the format |
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
/// First byte of each datagram; session bulletins begin with their version, which is lower.
const MARK: u8 = 0xA7;
/// Version of the format.
const VERSION: u8 = 1;
/// Length of mark, version and fingerprint (bytes).
const HEADER_BYTES: usize = 2 + 4;
/// Length of the checksum (bytes).
const CHECKSUM_BYTES: usize = 4;

/// Why a datagram cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It is too short or too long, has another mark, or its body cannot be decoded.
    #[error("the datagram is malformed")]
    Malformed,
    /// Its version is not known here.
    #[error("the datagram has a version that is not known here")]
    UnknownVersion,
    /// The sender was configured with other acceptors or durations.
    #[error("the datagram is of a fleet with other electors or durations")]
    OtherFleet,
    /// It was corrupted, or written with another secret.
    #[error("the datagram's checksum does not match")]
    ChecksumMismatch,
}

impl Message {
    /// Whether these bytes begin like a datagram of this crate.
    pub fn has_mark(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MARK)
    }

    /// Encodes the message. `fleet` is [`crate::Settings::sharded_fingerprint`]; `secret` is the same at all gateways.
    pub fn write(&self, from: GatewayId, fleet: u32, secret: u64) -> Vec<u8> {
        let mut bytes = vec![MARK, VERSION];
        bytes.extend_from_slice(&fleet.to_be_bytes());
        bytes = postcard::to_extend(&(from, self), bytes).unwrap_or_default();
        let checksum = keyed_checksum(&bytes, secret);
        bytes.extend_from_slice(&checksum);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        bytes
    }

    /// Decodes a datagram: the gateway that it claims to be from, and the message.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is malformed, of another version or fleet, or its checksum is not made with the
    /// secret.
    pub fn read(bytes: &[u8], fleet: u32, secret: u64) -> Result<(GatewayId, Message), DatagramError> {
        let lengths = HEADER_BYTES + CHECKSUM_BYTES..=MAX_DATAGRAM_BYTES;
        if !lengths.contains(&bytes.len()) || !Message::has_mark(bytes) {
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
            Ok((decoded, [])) => Ok(decoded),
            _ => Err(DatagramError::Malformed),
        }
    }
}

fn keyed_checksum(content: &[u8], secret: u64) -> [u8; CHECKSUM_BYTES] {
    crc32c::crc32c_append(crc32c::crc32c(&secret.to_be_bytes()), content).to_be_bytes()
}
