//! Watermark broadcasts: datagrams of at most 256 bytes in which an instance sends the watermarks of one
//! group to the others. They may be lost, delayed, duplicated or reordered. Each contains every watermark
//! that the instance recorded in one interval, or an upper bound of those that it omits.

use crate::encoding::{
    ceil_milliseconds, checksum, floor_milliseconds, push_milliseconds, push_name_hash,
    time_from_milliseconds, FieldReader, CHECKSUM_BYTES, NAME_HASH_BYTES, TIME_BYTES,
};
use crate::watermark::Watermark;
use petrelgauge_policy::{GroupId, Time};
use thiserror::Error;

/// Maximum length of a datagram (bytes).
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version of the encoding. Other versions are rejected, because they may encode other fields.
pub const VERSION: u8 = 1;

const VERSION_BYTES: usize = 1;
const INSTANCE_BYTES: usize = 2;
const GROUP_BYTES: usize = 8;
const COUNT_BYTES: usize = 1;
/// Fields: version, instance, group, `epoch`, `from`, `until`, `omitted_bound`, number of entries.
const HEADER_BYTES: usize = VERSION_BYTES + INSTANCE_BYTES + GROUP_BYTES + 4 * TIME_BYTES + COUNT_BYTES;
const AGE_BYTES: usize = 2;
/// Fields: name, age of `written`, age of `read`.
const ENTRY_BYTES: usize = NAME_HASH_BYTES + 2 * AGE_BYTES;
/// Maximum number of entries in one datagram.
pub const MAX_ENTRIES: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / ENTRY_BYTES;

/// Offset (milliseconds) of the reference time from the end of the interval. Watermarks are encoded as ages
/// relative to the reference time.
const REFERENCE_OFFSET_MS: u64 = 2_000;
/// The encoding of a missing watermark component.
const ABSENT: u16 = u16::MAX;
/// Maximum age (milliseconds). Older watermarks are encoded with this age, which can only raise them.
const MAX_AGE_MS: u64 = ABSENT as u64 - 1;
/// Makes the checksum differ from that of a token under the same secret.
const CHECKSUM_SEED: u64 = 0xB111_E714;

/// The sender of a broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BroadcastSender {
    /// Number of the instance.
    pub instance: u16,
    /// The group of the watermarks.
    pub group: GroupId,
    /// When the instance started, in microseconds.
    pub epoch: Time,
}

/// The watermark of one session in a broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BroadcastEntry {
    /// Hash of the session's name.
    pub name_hash: u64,
    /// Its watermark in the broadcast's group.
    pub watermark: Watermark,
}

/// One broadcast datagram. Times are in microseconds and are encoded as milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatermarkBroadcast {
    /// Its sender.
    pub sender: BroadcastSender,
    /// Start of the interval, exclusive.
    pub from: Time,
    /// End of the interval, inclusive.
    pub until: Time,
    /// Upper bound of the watermarks omitted from this broadcast and earlier ones.
    pub omitted_bound: Time,
    /// Watermarks recorded in the interval, at most [`MAX_ENTRIES`].
    pub entries: Vec<BroadcastEntry>,
}

/// Reason why a datagram was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BroadcastError {
    /// Too short, too long, or the length does not match the number of entries.
    #[error("the datagram has an invalid length")]
    Malformed,
    /// The version is not supported.
    #[error("the datagram has an unsupported version")]
    UnsupportedVersion,
    /// The checksum does not match: the datagram is corrupt, or encoded with another secret.
    #[error("the datagram has an invalid checksum")]
    InvalidChecksum,
    /// The interval ends before it starts, or in the future.
    #[error("the datagram has an invalid interval")]
    InvalidInterval,
    /// Sent by this instance, or by one that does not exist.
    #[error("the datagram was not sent by another instance")]
    UnknownInstance,
}

impl WatermarkBroadcast {
    /// Encodes the broadcast. Watermarks are rounded up. Entries beyond [`MAX_ENTRIES`] are dropped; the
    /// caller must have included them in `omitted_bound`.
    pub fn encode(&self, secret: u64) -> Vec<u8> {
        debug_assert!(self.entries.len() <= MAX_ENTRIES);
        let entries = &self.entries[..self.entries.len().min(MAX_ENTRIES)];
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        self.push_header(&mut bytes, entries.len());
        let reference = reference_milliseconds(self.until);
        for entry in entries {
            push_name_hash(&mut bytes, entry.name_hash);
            push_age(&mut bytes, entry.watermark.written, reference);
            push_age(&mut bytes, entry.watermark.read, reference);
        }
        let checksum = checksum(&bytes, secret ^ CHECKSUM_SEED);
        bytes.extend_from_slice(&checksum);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        bytes
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails with any error except [`BroadcastError::UnknownInstance`], which only the caller can detect.
    pub fn decode(bytes: &[u8], secret: u64) -> Result<WatermarkBroadcast, BroadcastError> {
        let body = verified_body(bytes, secret)?;
        let mut reader = FieldReader::new(&body[VERSION_BYTES..]);
        let instance = reader.integer(INSTANCE_BYTES) as u16;
        let group = reader.integer(GROUP_BYTES) as GroupId;
        let epoch = reader.time();
        let from = reader.time();
        let until = reader.time();
        let omitted_bound = reader.time();
        let count = reader.integer(COUNT_BYTES) as usize;
        if body.len() != HEADER_BYTES + count * ENTRY_BYTES {
            return Err(BroadcastError::Malformed);
        }
        if from > until || epoch > from {
            return Err(BroadcastError::InvalidInterval);
        }
        let reference = reference_milliseconds(until);
        let entries = (0..count).map(|_| read_entry(&mut reader, reference)).collect();
        let sender = BroadcastSender { instance, group, epoch };
        Ok(WatermarkBroadcast { sender, from, until, omitted_bound, entries })
    }

    /// Whether a watermark can be encoded in an interval that ends at `until`. Watermarks later than the
    /// reference time cannot.
    pub fn can_encode(watermark: Watermark, until: Time) -> bool {
        ceil_milliseconds(watermark.written.max(watermark.read)) <= reference_milliseconds(until)
    }

    fn push_header(&self, bytes: &mut Vec<u8>, entries: usize) {
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.sender.instance.to_be_bytes());
        bytes.extend_from_slice(&self.sender.group.to_be_bytes());
        for time in [self.sender.epoch, self.from, self.until] {
            push_milliseconds(bytes, floor_milliseconds(time));
        }
        push_milliseconds(bytes, ceil_milliseconds(self.omitted_bound));
        bytes.push(entries as u8);
    }
}

/// Returns the datagram without its checksum, if its length, version and checksum are valid.
fn verified_body(bytes: &[u8], secret: u64) -> Result<&[u8], BroadcastError> {
    if bytes.len() < HEADER_BYTES + CHECKSUM_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(BroadcastError::Malformed);
    }
    if bytes[0] != VERSION {
        return Err(BroadcastError::UnsupportedVersion);
    }
    let (body, tail) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if checksum(body, secret ^ CHECKSUM_SEED) != tail {
        return Err(BroadcastError::InvalidChecksum);
    }
    Ok(body)
}

fn push_age(bytes: &mut Vec<u8>, position: Time, reference: u64) {
    let age = match position {
        ..=0 => ABSENT,
        position => reference.saturating_sub(ceil_milliseconds(position)).min(MAX_AGE_MS) as u16,
    };
    bytes.extend_from_slice(&age.to_be_bytes());
}

fn read_entry(reader: &mut FieldReader, reference: u64) -> BroadcastEntry {
    let name_hash = reader.name_hash();
    let written = read_position(reader, reference);
    let read = read_position(reader, reference);
    BroadcastEntry { name_hash, watermark: Watermark { written, read } }
}

fn read_position(reader: &mut FieldReader, reference: u64) -> Time {
    match reader.integer(AGE_BYTES) {
        age if age == u64::from(ABSENT) => 0,
        age => time_from_milliseconds(reference.saturating_sub(age)),
    }
}

fn reference_milliseconds(until: Time) -> u64 {
    floor_milliseconds(until) + REFERENCE_OFFSET_MS
}
