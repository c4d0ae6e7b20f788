//! Byte encoding shared by session tokens and watermark broadcasts: big-endian integers, times as 48-bit
//! milliseconds, session names as 40-bit hashes, and a keyed checksum.

use crate::session_key::NAME_HASH_BITS;
use petrelgauge_policy::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of a checksum (bytes).
pub(crate) const CHECKSUM_BYTES: usize = 4;
/// Length of a time (bytes).
pub(crate) const TIME_BYTES: usize = 6;
/// Length of the hash of a session name (bytes).
pub(crate) const NAME_HASH_BYTES: usize = NAME_HASH_BITS as usize / 8;

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
const MAX_MILLISECONDS: u64 = (1 << (8 * TIME_BYTES)) - 1;

/// Converts microseconds to milliseconds, rounded up. Negative times become 0.
pub(crate) fn ceil_milliseconds(time: Time) -> u64 {
    (time.max(0) as u64).div_ceil(MICROSECONDS_PER_MILLISECOND)
}

/// Converts microseconds to milliseconds, rounded down. Negative times become 0.
pub(crate) fn floor_milliseconds(time: Time) -> u64 {
    time.max(0) as u64 / MICROSECONDS_PER_MILLISECOND
}

/// Converts milliseconds to microseconds.
pub(crate) fn time_from_milliseconds(milliseconds: u64) -> Time {
    milliseconds as Time * MICROSECONDS_PER_MILLISECOND as Time
}

/// Appends a time. Times out of range are encoded as the maximum.
pub(crate) fn push_milliseconds(bytes: &mut Vec<u8>, milliseconds: u64) {
    push_low_bytes(bytes, milliseconds.min(MAX_MILLISECONDS), TIME_BYTES);
}

/// Appends the hash of a session name.
pub(crate) fn push_name_hash(bytes: &mut Vec<u8>, name_hash: u64) {
    push_low_bytes(bytes, name_hash, NAME_HASH_BYTES);
}

fn push_low_bytes(bytes: &mut Vec<u8>, value: u64, width: usize) {
    let big_endian = value.to_be_bytes();
    bytes.extend_from_slice(&big_endian[big_endian.len() - width..]);
}

/// Computes the checksum of a message. The seed combines the shared secret with the kind of message.
pub(crate) fn checksum(bytes: &[u8], seed: u64) -> [u8; CHECKSUM_BYTES] {
    let hash = xxh3_64_with_seed(bytes, seed);
    ((hash >> 32) as u32).to_be_bytes()
}

/// Reads the fields of a message in order. Fields beyond the end are 0; the caller has checked the length.
pub(crate) struct FieldReader<'a> {
    remaining: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Creates a reader at the first byte of `bytes`.
    pub(crate) fn new(bytes: &'a [u8]) -> FieldReader<'a> {
        FieldReader { remaining: bytes }
    }

    /// Reads the next `width` bytes, at most 8, as a big-endian integer.
    pub(crate) fn integer(&mut self, width: usize) -> u64 {
        let (field, remaining) = self.remaining.split_at(width.min(self.remaining.len()));
        self.remaining = remaining;
        field.iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
    }

    /// Reads the next time, in microseconds.
    pub(crate) fn time(&mut self) -> Time {
        time_from_milliseconds(self.integer(TIME_BYTES))
    }

    /// Reads the next hash of a session name.
    pub(crate) fn name_hash(&mut self) -> u64 {
        self.integer(NAME_HASH_BYTES)
    }
}
