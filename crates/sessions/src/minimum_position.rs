//! The position that the data of a session's read must have reached.

use petrelgauge_policy::Time;

/// The position that a read needs, with its components. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumPosition {
    /// When the read arrived.
    pub arrived_at: Time,
    /// Upper bound of the session's known watermarks, from all sources.
    pub known: Time,
    /// Present if the session may have seen something unknown here. Then everything committed before this
    /// time is needed.
    pub unknown_until: Option<Time>,
    /// Latest commit time of a write of the session that is still in flight; 0 if there is none.
    pub pending_write: Time,
    /// What the position is derived from.
    pub source: PositionSource,
}

/// What a [`MinimumPosition`] is derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionSource {
    /// The client's token.
    Token,
    /// This instance's memory, for sessions that use no other instance.
    LocalMemory,
    /// The broadcasts of all other instances, which cover the time when the read arrived.
    Peers,
    /// Nothing covers the session: everything committed before the read arrived is needed.
    Unknown,
}

impl MinimumPosition {
    /// A position that is fully known from `source`.
    pub(crate) fn from_known(arrived_at: Time, known: Time, source: PositionSource) -> MinimumPosition {
        MinimumPosition { arrived_at, known, unknown_until: None, pending_write: 0, source }
    }

    /// A position for a session that may have been acknowledged something unknown before `unknown_until`.
    pub(crate) fn from_unknown(arrived_at: Time, known: Time, unknown_until: Time) -> MinimumPosition {
        MinimumPosition {
            arrived_at,
            known,
            unknown_until: Some(unknown_until),
            pending_write: 0,
            source: PositionSource::Unknown,
        }
    }

    /// The position (microseconds) that the data read must have reached.
    pub fn position(&self) -> Time {
        self.known.max(self.unknown_until.unwrap_or(0)).max(self.pending_write)
    }

    /// The same position, with a write in flight that may commit at `commit_bound` at the latest.
    #[must_use]
    pub fn with_pending_write(self, commit_bound: Time) -> MinimumPosition {
        MinimumPosition { pending_write: self.pending_write.max(commit_bound), ..self }
    }
}
