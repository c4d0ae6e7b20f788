//! What a session has seen of a group: the highest commit it was told of, the highest position it read from.

use crate::settings::Promise;
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};

/// A session's watermark in one group. Clock times of the log in microseconds; 0 where there is none.
///
/// Marks form a join-semilattice under [`Watermark::join`]: commutative, associative, idempotent, and never lower.
/// Whatever source a watermark comes from, in whatever order and however often, the result is the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Watermark {
    /// Highest commit that a served write of the session told, or an upper bound of it.
    pub written: Time,
    /// Position that a later read must reach so as not to go back, or an upper bound of it.
    pub read: Time,
}

impl Watermark {
    /// Nothing seen.
    pub const NONE: Watermark = Watermark { written: 0, read: 0 };

    /// Both, each at its highest.
    #[must_use]
    pub fn join(self, other: Watermark) -> Watermark {
        if mutant(Mutant::MergeLowers) && other != Watermark::NONE {
            return other;
        }
        let joined = Watermark { written: self.written.max(other.written), read: self.read.max(other.read) };
        debug_assert!(joined.covers(self) && joined.covers(other), "a merge never lowers");
        joined
    }

    /// Whether this watermark is at least the other in every part.
    pub fn covers(self, other: Watermark) -> bool {
        self.written >= other.written && self.read >= other.read
    }

    /// The position that a read of the session needs under this promise.
    pub fn required_position(self, promise: Promise) -> Time {
        match promise {
            Promise::Writes => self.written,
            Promise::WritesAndReads => self.written.max(self.read),
        }
    }

    /// The same watermark, with nothing above `ceiling`.
    #[must_use]
    pub fn capped_at(self, ceiling: Time) -> Watermark {
        Watermark { written: self.written.min(ceiling), read: self.read.min(ceiling) }
    }
}

/// A session in a group. The name is a 40-bit hash: two sessions that share one share a watermark, which only errs
/// upward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionKey {
    /// The group.
    pub group: GroupId,
    /// Hash of the session's name; below 2^40.
    pub name_hash: u64,
}

/// Bits of a session's name that are kept, here and in messages.
pub const NAME_HASH_BITS: u32 = 40;

impl SessionKey {
    /// The key of a session by its name. The secret is shared by the instances that exchange watermarks.
    pub fn new(secret: u64, group: GroupId, name: &str) -> SessionKey {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), secret);
        SessionKey { group, name_hash: hash >> (64 - NAME_HASH_BITS) }
    }
}
