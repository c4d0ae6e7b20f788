//! The handover record and its stored form.
//!
//! Six bytes of magic (`petrel`), a byte of version, the body as `postcard` writes it, and the CRC-32C of all before it
//! (4 bytes, big-endian).

use crate::reservation::Reservation;
use petrelgauge_policy::{LearnedState, MemberId, Time};
use serde::{Deserialize, Serialize};

/// Longest record (bytes): some hundred members with all their samples.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;
const MAGIC: &[u8; 6] = b"petrel";
/// Raised with every change of the stored form; a process of another version starts without learned_state.
const VERSION: u8 = 2;
/// Longest identity of a gateway in a record (bytes); what is longer is cut.
const MAX_IDENTITY_BYTES: usize = 256;
const CHECKSUM_BYTES: usize = 4;
/// A file may be modified so long after its record was stamped (microseconds): the write waits for a thread and the disk.
const MAX_WRITE_DELAY: Time = 1_000_000;
/// A file system may stamp a file with a time that lies so far back (microseconds).
const FILE_TIME_GRANULARITY: Time = 20_000;

/// What a process leaves for its siblings and its successor. The order of the fields is the stored form.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// The identity of the gateway that the writer is a process of: gateways of a machine may share a directory. See
    /// [`gateway_identity`].
    pub gateway: String,
    /// A digest of the settings that the writer goes by.
    pub settings: u64,
    /// The process that wrote it, by a number that no other process of the gateway has.
    pub process: u64,
    /// When it was written (microseconds of Unix time, on the writer's clock).
    pub written: Time,
    /// What the writer has in flight or reserved.
    pub reservation: Reservation,
    /// The number that the decisions use for each member, by the member's name on the endpoint list.
    pub numbers: Vec<(String, MemberId)>,
    /// What the writer has learned; times in it are of the writer's clock.
    pub learned_state: LearnedState,
}

/// Why a record cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Cut off or changed, or its file could not be read.
    #[error("it is incomplete or damaged")]
    Damaged,
    /// Of another stored form.
    #[error("it is of version {0}, and this program reads version {VERSION}")]
    UnknownVersion(u8),
    /// Longer than any that is written.
    #[error("it is longer than {MAX_RECORD_BYTES} bytes")]
    TooLong,
    /// Older than its learned_state are valid for (microseconds).
    #[error("it is {0} us old")]
    TooOld(Time),
    /// Written later than now: a clock was set back since.
    #[error("it was written in the future")]
    InFuture,
    /// Learned by other settings: what a class's answers said of a member means something else.
    #[error("it was written by other settings")]
    OtherSettings,
}

/// The identity of the gateway of this name that listens at this address, as its records state it: 256 bytes at most.
pub fn gateway_identity(name: &str, listen: &str) -> String {
    let mut identity = format!("{listen} {name}");
    while identity.len() > MAX_IDENTITY_BYTES {
        identity.pop();
    }
    identity
}

/// A hash of a gateway's identity for the names of its files. Two gateways may share one: the identity in a record decides
/// whose it is.
pub fn gateway_hash(identity: &str) -> u32 {
    crc32c::crc32c(identity.as_bytes())
}

impl HandoverRecord {
    /// The stored form: [`MAX_RECORD_BYTES`] at most, without numbers and learned_state if these would make it longer.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = self.bytes();
        if bytes.len() <= MAX_RECORD_BYTES {
            return bytes;
        }
        // That the writer runs has to be stated in any case.
        let (gateway, numbers, learned_state) = (self.gateway.clone(), Vec::new(), LearnedState::default());
        HandoverRecord { gateway, numbers, learned_state, ..*self }.bytes()
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        // Plain data written to memory: nothing in it can fail.
        bytes = postcard::to_extend(self, bytes).unwrap_or_default();
        let checksum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&checksum.to_be_bytes());
        bytes
    }

    /// Reads the stored form. Whether the record is recent enough is left to [`HandoverRecord::check_age`].
    ///
    /// # Errors
    ///
    /// Fails if the bytes are too many, damaged or of another version.
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

    /// Checks that the learned state was learned under settings with this digest.
    ///
    /// # Errors
    ///
    /// Fails if the digest differs.
    pub fn check_settings(&self, settings: u64) -> Result<(), RecordError> {
        if self.settings == settings {
            Ok(())
        } else {
            Err(RecordError::OtherSettings)
        }
    }

    /// The record with its times moved to the reader's clock, on which its file was modified at `modified` (microseconds).
    ///
    /// Both clocks are taken to agree if the file was modified within a second after the record's own time. Otherwise the
    /// difference is what they differ by: the times of the learned state move by it, and lags of replicas, which were measured
    /// against the writer's clock, are dropped.
    #[must_use]
    pub fn on_reader_clock(mut self, modified: Time) -> HandoverRecord {
        let offset = modified.saturating_sub(self.written);
        if !(-FILE_TIME_GRANULARITY..=MAX_WRITE_DELAY).contains(&offset) {
            self.written = modified;
            self.learned_state.shift_clock(offset);
        }
        self
    }

    /// The age of a record whose times are on the reader's clock (microseconds).
    ///
    /// # Errors
    ///
    /// Fails if the age is over `max_age`, or negative.
    pub fn check_age(&self, now: Time, max_age: Time) -> Result<Time, RecordError> {
        match now.saturating_sub(self.written) {
            age if age < 0 => Err(RecordError::InFuture),
            age if age > max_age => Err(RecordError::TooOld(age)),
            age => Ok(age),
        }
    }
}
