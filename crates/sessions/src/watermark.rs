//! Watermarks of sessions: the highest commit and the highest position read in a group.

use crate::settings::SessionGuarantee;
use petrelgauge_policy::{mutant, Mutant, Time};

/// The watermark of a session in one group: positions in the log of the group, as times in microseconds; 0 if
/// there is none.
///
/// Watermarks form a join-semilattice under [`Watermark::join`], which is commutative, associative and
/// idempotent and never lowers a component. Merging watermarks from several sources therefore gives the same
/// result in any order and with any repetitions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Watermark {
    /// Highest commit time of the answered writes of the session, or an upper bound of it.
    pub written: Time,
    /// Highest position that the session has read, or an upper bound of it.
    pub read: Time,
}

impl Watermark {
    /// The watermark of a session without earlier requests.
    pub const NONE: Watermark = Watermark { written: 0, read: 0 };

    /// The least upper bound of both watermarks.
    #[must_use]
    pub fn join(self, other: Watermark) -> Watermark {
        if mutant(Mutant::MergeTakesNewer) && other != Watermark::NONE {
            return other;
        }
        let joined = Watermark { written: self.written.max(other.written), read: self.read.max(other.read) };
        debug_assert!(joined.covers(self) && joined.covers(other), "a join must not lower a component");
        joined
    }

    /// Whether this watermark is at least `other` in both components.
    pub fn covers(self, other: Watermark) -> bool {
        self.written >= other.written && self.read >= other.read
    }

    /// The position (microseconds) that a read of the session requires under this guarantee.
    pub fn required_position(self, guarantee: SessionGuarantee) -> Time {
        match guarantee {
            SessionGuarantee::ReadYourWrites => self.written,
            SessionGuarantee::ReadYourWritesAndMonotonicReads => self.written.max(self.read),
        }
    }

    /// The watermark with both components limited to `ceiling` (microseconds).
    #[must_use]
    pub fn capped_at(self, ceiling: Time) -> Watermark {
        Watermark { written: self.written.min(ceiling), read: self.read.min(ceiling) }
    }
}
