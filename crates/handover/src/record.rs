//! The handover record and its encoding.
//!
//! | bytes | content |
//! | --- | --- |
//! | 6 | magic: `petrel` |
//! | 1 | version of the encoding |
//! | variable | the record's fields, encoded by `postcard` |
//! | 4 | CRC-32C of everything before, big-endian |

use crate::reservation::Reservation;
use petrelgauge_policy::{LearnedState, MemberId, Time};
use serde::{Deserialize, Serialize};

/// Maximum length of a record (bytes): some hundred members with all their samples.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;
const MAGIC: &[u8; 6] = b"petrel";
/// Version of the encoding. A process of another version starts without learned state.
const VERSION: u8 = 2;
/// Maximum length of a gateway's identity (bytes). A longer one is truncated.
const MAX_IDENTITY_BYTES: usize = 256;
const CHECKSUM_BYTES: usize = 4;
/// Maximum time between stamping a record and the modification of its file (microseconds): the write waits
/// for a thread and the disk.
const MAX_WRITE_DELAY: Time = 1_000_000;
/// Granularity of modification times, which may therefore be this much too early (microseconds).
const FILE_TIME_GRANULARITY: Time = 20_000;

/// What a process publishes for its siblings and its successor. The order of the fields is part of the
/// encoding.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Identity of the writer's gateway, since gateways may share a directory. See [`gateway_identity`].
    pub gateway: String,
    /// Digest of the writer's settings.
    pub settings_digest: u64,
    /// Number of the writer, unique among the gateway's processes.
    pub process: u64,
    /// When it was written, by the writer's clock (microseconds of Unix time).
    pub written_at: Time,
    /// What the writer has in use or reserved.
    pub reservation: Reservation,
    /// The identifier of each member in the learned state, by the member's name on the endpoint list.
    pub member_ids: Vec<(String, MemberId)>,
    /// What the writer has learned about the members, with times by the writer's clock.
    pub learned_state: LearnedState,
}

/// Why a record was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It is truncated or corrupted, or its file could not be read.
    #[error("record is truncated, corrupted or unreadable")]
    Damaged,
    /// It has another version of the encoding.
    #[error("record has version {0}, but this build reads version {VERSION}")]
    UnknownVersion(u8),
    /// It is longer than [`MAX_RECORD_BYTES`].
    #[error("record is longer than {MAX_RECORD_BYTES} bytes")]
    TooLong,
    /// It is too old for its learned state to be valid (microseconds).
    #[error("record is {0} us old")]
    TooOld(Time),
    /// It was written later than now: a clock was set back.
    #[error("record was written in the future")]
    InFuture,
    /// It was written under other settings, which give its learned state another meaning.
    #[error("record was written under other settings")]
    OtherSettings,
}

/// The identity of a gateway in its records, by its name and listening address; at most 256 bytes.
pub fn gateway_identity(name: &str, listen: &str) -> String {
    let mut identity = format!("{listen} {name}");
    while identity.len() > MAX_IDENTITY_BYTES {
        identity.pop();
    }
    identity
}

/// Hash of a gateway's identity, for file names. Two gateways may have the same hash; the identity in a
/// record tells them apart.
pub fn gateway_hash(identity: &str) -> u32 {
    crc32c::crc32c(identity.as_bytes())
}

impl HandoverRecord {
    /// Encodes the record in at most [`MAX_RECORD_BYTES`]. If it would be longer, learned state and member
    /// identifiers are left out.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = self.encode_all();
        if bytes.len() <= MAX_RECORD_BYTES {
            return bytes;
        }
        // Siblings need the writer's reservation even if nothing else fits.
        let shortened = HandoverRecord {
            gateway: self.gateway.clone(),
            member_ids: Vec::new(),
            learned_state: LearnedState::default(),
            ..*self
        };
        shortened.encode_all()
    }

    fn encode_all(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        // Serializing plain data into memory cannot fail.
        bytes = postcard::to_extend(self, bytes).unwrap_or_default();
        let checksum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&checksum.to_be_bytes());
        bytes
    }

    /// Decodes a record of any age; see [`HandoverRecord::check_age`].
    ///
    /// # Errors
    ///
    /// Fails if the record is too long, damaged or of another version.
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

    /// Checks that the record was written under settings with this digest.
    ///
    /// # Errors
    ///
    /// Fails if the digest differs.
    pub fn check_settings(&self, settings_digest: u64) -> Result<(), RecordError> {
        if self.settings_digest == settings_digest {
            Ok(())
        } else {
            Err(RecordError::OtherSettings)
        }
    }

    /// Converts the record's times to the reader's clock, by which its file was modified at `modified_at`
    /// (microseconds).
    ///
    /// The two clocks are assumed to agree if the file was modified within a second after the record's own
    /// time. Otherwise they are assumed to differ by that difference: times in the learned state are shifted
    /// by it, and lags of replicas, which were measured against the writer's clock, are dropped.
    #[must_use]
    pub fn on_reader_clock(mut self, modified_at: Time) -> HandoverRecord {
        let offset = modified_at.saturating_sub(self.written_at);
        if !(-FILE_TIME_GRANULARITY..=MAX_WRITE_DELAY).contains(&offset) {
            self.written_at = modified_at;
            self.learned_state.shift_clock(offset);
        }
        self
    }

    /// Returns the age (microseconds) of a record whose times are by the reader's clock.
    ///
    /// # Errors
    ///
    /// Fails if the age is over `max_age`, or negative.
    pub fn check_age(&self, now: Time, max_age: Time) -> Result<Time, RecordError> {
        match now.saturating_sub(self.written_at) {
            age if age < 0 => Err(RecordError::InFuture),
            age if age > max_age => Err(RecordError::TooOld(age)),
            age => Ok(age),
        }
    }
}
