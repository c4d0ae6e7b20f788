//! The log position that the data of a session's read must have reached.

use petrelgauge_policy::Time;

/// The position that a read requires, with its components. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumPosition {
    /// When the read arrived.
    pub arrived_at: Time,
    /// Upper bound of the session's watermarks known from all sources.
    pub known: Time,
    /// Set if the session may have seen commits that this instance does not know of. The read then requires
    /// everything committed before this time.
    pub unknown_until: Option<Time>,
    /// Latest possible commit time of the session's writes still in flight; 0 if there are none.
    pub pending_write: Time,
    /// Where the position comes from.
    pub source: PositionSource,
}

/// Where a [`MinimumPosition`] comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionSource {
    /// The client's token.
    Token,
    /// The watermarks stored in this instance, for sessions that use no other instance.
    LocalMemory,
    /// The broadcasts of all other instances, which cover the arrival time of the read.
    Peers,
    /// No source covers the session, so the read requires everything committed before it arrived.
    Unknown,
}

impl MinimumPosition {
    /// Creates a position that is fully known from `source`.
    pub(crate) fn from_known(arrived_at: Time, known: Time, source: PositionSource) -> MinimumPosition {
        MinimumPosition { arrived_at, known, unknown_until: None, pending_write: 0, source }
    }

    /// Creates a position for a session that may have received answers before `unknown_until` that this
    /// instance does not know of.
    pub(crate) fn from_unknown(arrived_at: Time, known: Time, unknown_until: Time) -> MinimumPosition {
        MinimumPosition {
            arrived_at,
            known,
            unknown_until: Some(unknown_until),
            pending_write: 0,
            source: PositionSource::Unknown,
        }
    }

    /// The position (microseconds) that the data must have reached.
    pub fn position(&self) -> Time {
        self.known.max(self.unknown_until.unwrap_or(0)).max(self.pending_write)
    }

    /// Adds a write in flight that commits no later than `commit_bound`.
    #[must_use]
    pub fn with_pending_write(self, commit_bound: Time) -> MinimumPosition {
        MinimumPosition { pending_write: self.pending_write.max(commit_bound), ..self }
    }
}
