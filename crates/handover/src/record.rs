//! A record and its bytes.
//!
//! `petrel`, a byte of version, the body as `postcard` writes it, and the CRC-32C of all before it (4 bytes, big end
//! first).

use crate::siblings::Reservation;
use petrelgauge_policy::{Beliefs, MemberId, Time};
use serde::{Deserialize, Serialize};

/// Longest record (bytes): some hundred members with all their samples.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;
const MAGIC: &[u8; 6] = b"petrel";
/// Raised with every change of what a record holds: a process of another build starts cold.
const VERSION: u8 = 2;
/// Longest name of a gateway in a record (bytes); what is longer is cut.
const MAX_GATEWAY_BYTES: usize = 256;
const CHECKSUM_BYTES: usize = 4;

/// What a process leaves for the next.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The gateway that its writer is a process of: gateways that share a machine may share a directory.
    pub gateway: String,
    /// A digest of the settings that its process goes by.
    pub settings: u64,
    /// The process that wrote it, by a number that no other process has.
    pub process: u64,
    /// When it was written, by the clock of the machine that both run on.
    pub written: Time,
    /// What its process holds.
    pub reservation: Reservation,
    /// What the decisions call each member that the list names.
    pub numbers: Vec<(String, MemberId)>,
    /// What its process has learned.
    pub beliefs: Beliefs,
}

/// Why a record cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Cut off, or changed on the way.
    #[error("it is incomplete or damaged")]
    Damaged,
    /// Of another build.
    #[error("it is of version {0}, and this program reads version {VERSION}")]
    UnknownVersion(u8),
    /// Longer than any that is written.
    #[error("it is longer than {MAX_RECORD_BYTES} bytes")]
    TooLong,
    /// Older than what it tells is good for.
    #[error("it is {0} us old")]
    TooOld(Time),
    /// Written at a time that has not come: the clock was set back.
    #[error("it was written in the future")]
    InFuture,
    /// Learned by other settings: what a class's answers told of a member means something else.
    #[error("it was written by other settings")]
    OtherSettings,
}

/// A gateway, as its records name it.
pub fn gateway_identity(name: &str, listen: &str) -> String {
    let mut gateway = format!("{listen} {name}");
    while gateway.len() > MAX_GATEWAY_BYTES {
        gateway.pop();
    }
    gateway
}

/// A number of a gateway for the names of its files. Two may share one: what a record says of its gateway decides.
pub fn gateway_hash(gateway: &str) -> u32 {
    crc32c::crc32c(gateway.as_bytes())
}

impl HandoverRecord {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = self.bytes();
        if bytes.len() <= MAX_RECORD_BYTES {
            return bytes;
        }
        // That it runs must be told whatever it knows.
        let (gateway, numbers, beliefs) = (self.gateway.clone(), Vec::new(), Beliefs::default());
        HandoverRecord { gateway, numbers, beliefs, ..*self }.bytes()
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        // Plain data into memory: there is nothing in it that cannot be written.
        bytes = postcard::to_extend(self, bytes).unwrap_or_default();
        let checksum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&checksum.to_be_bytes());
        bytes
    }

    /// Reads a record. Whether it is fresh enough is another question: see [`HandoverRecord::check_age`].
    pub fn decode(bytes: &[u8]) -> Result<HandoverRecord, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLong);
        }
        let (head, checksum) =
            bytes.split_at_checked(bytes.len().saturating_sub(CHECKSUM_BYTES)).ok_or(RecordError::Damaged)?;
        let body = head.strip_prefix(MAGIC).ok_or(RecordError::Damaged)?;
        if crc32c::crc32c(head).to_be_bytes() != checksum {
            return Err(RecordError::Damaged);
        }
        match body.split_first() {
            Some((&VERSION, body)) => postcard::from_bytes(body).map_err(|_| RecordError::Damaged),
            Some((version, _)) => Err(RecordError::UnknownVersion(*version)),
            None => Err(RecordError::Damaged),
        }
    }

    /// Whether what it tells was learned by these settings.
    pub fn check_settings(&self, settings: u64) -> Result<(), RecordError> {
        if self.settings == settings {
            Ok(())
        } else {
            Err(RecordError::OtherSettings)
        }
    }

    /// How old it is, if that is no more than `max_age`.
    pub fn check_age(&self, now: Time, max_age: Time) -> Result<Time, RecordError> {
        match now.saturating_sub(self.written) {
            age if age < 0 => Err(RecordError::InFuture),
            age if age > max_age => Err(RecordError::TooOld(age)),
            age => Ok(age),
        }
    }
}
