//! What instances tell each other: datagrams of at most 256 bytes, which may be lost, late, repeated or out of
//! order. Each tells every watermark of one group that its instance made in one interval, or bounds what it leaves out.

use crate::watermark::{Watermark, NAME_HASH_BITS};
use petrelgauge_policy::{GroupId, Time};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The version written. Others are refused by name: a later version may mean other things by the same bytes.
pub const VERSION: u8 = 1;
const HEADER_BYTES: usize = 1 + 2 + 8 + 4 * 6 + 1;
const ENTRY_BYTES: usize = 5 + 2 + 2;
const CHECKSUM_BYTES: usize = 4;
/// Marks that one datagram can tell.
pub const MAX_ENTRIES: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / ENTRY_BYTES;
/// A watermark is told as milliseconds before a point so far behind the interval's end.
const MAX_AHEAD_MS: u64 = 2_000;
/// A part of a watermark that is not there.
const ABSENT: u16 = u16::MAX;

/// One datagram. Times in microseconds, whole milliseconds on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatermarkBroadcast {
    /// Number of the instance that tells.
    pub instance: u16,
    /// The group.
    pub group: GroupId,
    /// When the instance started.
    pub epoch: Time,
    /// The interval's open start.
    pub from: Time,
    /// The interval's end, which belongs to it.
    pub until: Time,
    /// No watermark that was left out, now or before, lies above this.
    pub omitted_bound: Time,
    /// Names of sessions and their watermarks.
    pub entries: Vec<(u64, Watermark)>,
}

/// Why a datagram cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BroadcastError {
    /// Too short, too long, or its parts do not add up.
    #[error("the datagram has a length that is none")]
    Malformed,
    /// A version that is not known here.
    #[error("the datagram has a version that is not known here")]
    UnsupportedVersion,
    /// It does not pass its check: garbage, or another secret.
    #[error("the datagram does not pass its check")]
    InvalidChecksum,
    /// Its interval ends before it starts, or in the future.
    #[error("the datagram tells of an interval that cannot be")]
    InvalidInterval,
    /// From an instance that is none of those that exchange watermarks, or from this one.
    #[error("the datagram comes from no other instance")]
    UnknownInstance,
}

impl WatermarkBroadcast {
    /// Its bytes. Marks are rounded up; lines past [`MAX_ENTRIES`] must have gone into the base before.
    pub fn encode(&self, secret: u64) -> Vec<u8> {
        debug_assert!(self.entries.len() <= MAX_ENTRIES);
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.instance.to_be_bytes());
        bytes.extend_from_slice(&self.group.to_be_bytes());
        for time in [self.epoch, self.from, self.until] {
            push_milliseconds(&mut bytes, time.max(0) as u64 / 1000);
        }
        push_milliseconds(&mut bytes, milliseconds_up(self.omitted_bound));
        let lines = &self.entries[..self.entries.len().min(MAX_ENTRIES)];
        bytes.push(lines.len() as u8);
        let top = reference_milliseconds(self.until);
        for (name, watermark) in lines {
            bytes.extend_from_slice(&name.to_be_bytes()[3..]);
            for part in [watermark.written, watermark.read] {
                let before = match part {
                    part if part <= 0 => ABSENT,
                    // Older than can be told is told as newer; above the top nothing is ever put in.
                    part => top.saturating_sub(milliseconds_up(part)).min(u64::from(ABSENT) - 1) as u16,
                };
                bytes.extend_from_slice(&before.to_be_bytes());
            }
        }
        let check = checksum(&bytes, secret);
        bytes.extend_from_slice(&check);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        bytes
    }

    /// Reads a datagram. Of one that cannot be used nothing is.
    pub fn decode(bytes: &[u8], secret: u64) -> Result<WatermarkBroadcast, BroadcastError> {
        if bytes.len() < HEADER_BYTES + CHECKSUM_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(BroadcastError::Malformed);
        }
        if bytes[0] != VERSION {
            return Err(BroadcastError::UnsupportedVersion);
        }
        let (body, tail) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if checksum(body, secret) != tail {
            return Err(BroadcastError::InvalidChecksum);
        }
        let number = |from: usize, to: usize| body[from..to].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        let time = |from: usize| number(from, from + 6) as Time * 1000;
        let (epoch, from, until, base) = (time(11), time(17), time(23), time(29));
        let count = usize::from(body[35]);
        if body.len() != HEADER_BYTES + count * ENTRY_BYTES {
            return Err(BroadcastError::Malformed);
        }
        if from > until || epoch > from {
            return Err(BroadcastError::InvalidInterval);
        }
        let top = reference_milliseconds(until);
        let part = |from: usize| match number(from, from + 2) {
            absent if absent == u64::from(ABSENT) => 0,
            before => top.saturating_sub(before) as Time * 1000,
        };
        let line = |place: usize| {
            let at = HEADER_BYTES + place * ENTRY_BYTES;
            (
                number(at, at + 5) & ((1 << NAME_HASH_BITS) - 1),
                Watermark { written: part(at + 5), read: part(at + 7) },
            )
        };
        Ok(WatermarkBroadcast {
            instance: number(1, 3) as u16,
            group: number(3, 11) as GroupId,
            epoch,
            from,
            until,
            omitted_bound: base,
            entries: (0..count).map(line).collect(),
        })
    }

    /// Whether a watermark can be told beside an interval that ends then. One that lies further ahead cannot.
    pub fn can_encode(watermark: Watermark, until: Time) -> bool {
        milliseconds_up(watermark.written.max(watermark.read)) <= reference_milliseconds(until)
    }
}

fn push_milliseconds(bytes: &mut Vec<u8>, ms: u64) {
    bytes.extend_from_slice(&ms.min((1 << 48) - 1).to_be_bytes()[2..]);
}

fn reference_milliseconds(until: Time) -> u64 {
    until.max(0) as u64 / 1000 + MAX_AHEAD_MS
}

fn milliseconds_up(time: Time) -> u64 {
    (time.max(0) as u64).div_ceil(1000)
}

fn checksum(bytes: &[u8], secret: u64) -> [u8; CHECKSUM_BYTES] {
    // Another seed than a token's: neither passes for the other.
    let hash = xxh3_64_with_seed(bytes, secret ^ 0xB111_E714);
    ((hash >> 32) as u32).to_be_bytes()
}
