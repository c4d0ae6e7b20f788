//! What instances tell each other: datagrams of at most 256 bytes, which may be lost, late, repeated or out of
//! order. Each tells every mark of one group that its instance made in one interval, or bounds what it leaves out.

use crate::mark::{Mark, NAME_BITS};
use petrelgauge_policy::{GroupId, Time};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Longest datagram.
pub const MOST_BYTES: usize = 256;
/// The version written. Others are refused by name: a later version may mean other things by the same bytes.
pub const VERSION: u8 = 1;
const HEAD: usize = 1 + 2 + 8 + 4 * 6 + 1;
const LINE: usize = 5 + 2 + 2;
const CHECK: usize = 4;
/// Marks that one datagram can tell.
pub const MOST_LINES: usize = (MOST_BYTES - HEAD - CHECK) / LINE;
/// A mark is told as milliseconds before a point so far behind the interval's end.
const AHEAD_MS: u64 = 2_000;
/// A part of a mark that is not there.
const ABSENT: u16 = u16::MAX;

/// One datagram. Times in microseconds, whole milliseconds on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bulletin {
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
    /// No mark that was left out, now or before, lies above this.
    pub base: Time,
    /// Names of sessions and their marks.
    pub lines: Vec<(u64, Mark)>,
}

/// Why a datagram cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BulletinError {
    /// Too short, too long, or its parts do not add up.
    #[error("the datagram has a length that is none")]
    Shape,
    /// A version that is not known here.
    #[error("the datagram has a version that is not known here")]
    Version,
    /// It does not pass its check: garbage, or another secret.
    #[error("the datagram does not pass its check")]
    Check,
    /// Its interval ends before it starts, or in the future.
    #[error("the datagram tells of an interval that cannot be")]
    Interval,
    /// From an instance that is none of those that exchange marks, or from this one.
    #[error("the datagram comes from no other instance")]
    Instance,
}

impl Bulletin {
    /// Its bytes. Marks are rounded up; lines past [`MOST_LINES`] must have gone into the base before.
    pub fn write(&self, secret: u64) -> Vec<u8> {
        debug_assert!(self.lines.len() <= MOST_LINES);
        let mut bytes = Vec::with_capacity(MOST_BYTES);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.instance.to_be_bytes());
        bytes.extend_from_slice(&self.group.to_be_bytes());
        for time in [self.epoch, self.from, self.until] {
            put_ms(&mut bytes, time.max(0) as u64 / 1000);
        }
        put_ms(&mut bytes, up(self.base));
        let lines = &self.lines[..self.lines.len().min(MOST_LINES)];
        bytes.push(lines.len() as u8);
        let top = top_ms(self.until);
        for (name, mark) in lines {
            bytes.extend_from_slice(&name.to_be_bytes()[3..]);
            for part in [mark.wrote, mark.read] {
                let before = match part {
                    part if part <= 0 => ABSENT,
                    // Older than can be told is told as newer; above the top nothing is ever put in.
                    part => top.saturating_sub(up(part)).min(u64::from(ABSENT) - 1) as u16,
                };
                bytes.extend_from_slice(&before.to_be_bytes());
            }
        }
        let check = check(&bytes, secret);
        bytes.extend_from_slice(&check);
        debug_assert!(bytes.len() <= MOST_BYTES);
        bytes
    }

    /// Reads a datagram. Of one that cannot be used nothing is.
    pub fn read(bytes: &[u8], secret: u64) -> Result<Bulletin, BulletinError> {
        if bytes.len() < HEAD + CHECK || bytes.len() > MOST_BYTES {
            return Err(BulletinError::Shape);
        }
        if bytes[0] != VERSION {
            return Err(BulletinError::Version);
        }
        let (body, tail) = bytes.split_at(bytes.len() - CHECK);
        if check(body, secret) != tail {
            return Err(BulletinError::Check);
        }
        let number = |from: usize, to: usize| body[from..to].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        let time = |from: usize| number(from, from + 6) as Time * 1000;
        let (epoch, from, until, base) = (time(11), time(17), time(23), time(29));
        let count = usize::from(body[35]);
        if body.len() != HEAD + count * LINE {
            return Err(BulletinError::Shape);
        }
        if from > until || epoch > from {
            return Err(BulletinError::Interval);
        }
        let top = top_ms(until);
        let part = |from: usize| match number(from, from + 2) {
            absent if absent == u64::from(ABSENT) => 0,
            before => top.saturating_sub(before) as Time * 1000,
        };
        let line = |place: usize| {
            let at = HEAD + place * LINE;
            (number(at, at + 5) & ((1 << NAME_BITS) - 1), Mark { wrote: part(at + 5), read: part(at + 7) })
        };
        Ok(Bulletin {
            instance: number(1, 3) as u16,
            group: number(3, 11) as GroupId,
            epoch,
            from,
            until,
            base,
            lines: (0..count).map(line).collect(),
        })
    }

    /// Whether a mark can be told beside an interval that ends then. One that lies further ahead cannot.
    pub fn can_tell(mark: Mark, until: Time) -> bool {
        up(mark.wrote.max(mark.read)) <= top_ms(until)
    }
}

fn put_ms(bytes: &mut Vec<u8>, ms: u64) {
    bytes.extend_from_slice(&ms.min((1 << 48) - 1).to_be_bytes()[2..]);
}

fn top_ms(until: Time) -> u64 {
    until.max(0) as u64 / 1000 + AHEAD_MS
}

fn up(time: Time) -> u64 {
    (time.max(0) as u64).div_ceil(1000)
}

fn check(bytes: &[u8], secret: u64) -> [u8; CHECK] {
    // Another seed than a token's: neither passes for the other.
    let hash = xxh3_64_with_seed(bytes, secret ^ 0xB111_E714);
    ((hash >> 32) as u32).to_be_bytes()
}
