//! What a session has seen of a group: the highest commit it was told of, the highest position it read from.

use crate::settings::Promise;
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};

/// A session's mark in one group. Clock times of the log in microseconds; 0 where there is none.
///
/// Marks form a join-semilattice under [`Mark::join`]: commutative, associative, idempotent, and never lower.
/// Whatever source a mark comes from, in whatever order and however often, the result is the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Mark {
    /// Highest commit that a served write of the session told, or an upper bound of it.
    pub wrote: Time,
    /// Position that a later read must reach so as not to go back, or an upper bound of it.
    pub read: Time,
}

impl Mark {
    /// Nothing seen.
    pub const NONE: Mark = Mark { wrote: 0, read: 0 };

    /// Both, each at its highest.
    #[must_use]
    pub fn join(self, other: Mark) -> Mark {
        if mutant(Mutant::MergeLowers) && other != Mark::NONE {
            return other;
        }
        let joined = Mark { wrote: self.wrote.max(other.wrote), read: self.read.max(other.read) };
        debug_assert!(joined.covers(self) && joined.covers(other), "a merge never lowers");
        joined
    }

    /// Whether this mark is at least the other in every part.
    pub fn covers(self, other: Mark) -> bool {
        self.wrote >= other.wrote && self.read >= other.read
    }

    /// The position that a read of the session needs under this promise.
    pub fn floor(self, promise: Promise) -> Time {
        match promise {
            Promise::Writes => self.wrote,
            Promise::WritesAndReads => self.wrote.max(self.read),
        }
    }

    /// The same mark, with nothing above `ceiling`.
    #[must_use]
    pub fn at_most(self, ceiling: Time) -> Mark {
        Mark { wrote: self.wrote.min(ceiling), read: self.read.min(ceiling) }
    }
}

/// A session in a group. The name is a 40-bit hash: two sessions that share one share a mark, which only errs
/// upward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The group.
    pub group: GroupId,
    /// Hash of the session's name; below 2^40.
    pub name: u64,
}

/// Bits of a session's name that are kept, here and in messages.
pub const NAME_BITS: u32 = 40;

impl Key {
    /// The key of a session by its name. The secret is shared by the instances that exchange marks.
    pub fn new(secret: u64, group: GroupId, name: &str) -> Key {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), secret);
        Key { group, name: hash >> (64 - NAME_BITS) }
    }
}
