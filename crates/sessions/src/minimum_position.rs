//! The position that the data of a session's read must have reached.

use petrelgauge_policy::Time;

/// What a read of a session needs. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumPosition {
    /// When the read arrived.
    pub arrived_at: Time,
    /// Upper bound of what is known of the session, from all sources.
    pub known: Time,
    /// Set where the session may have seen something unknown here: then everything committed before this is
    /// needed.
    pub unknown_until: Option<Time>,
    /// Upper bound of a commit by a write of the session that is still in flight; 0 for none.
    pub pending_write: Time,
    /// What the position rests on.
    pub source: PositionSource,
}

/// What a [`MinimumPosition`] rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionSource {
    /// The client's token.
    Token,
    /// This instance's memory: the session was nowhere else.
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

    /// A position where something unknown may have been acknowledged before `unknown_until`.
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

    /// The same with a write in flight that may have been committed at `commit_bound` at the latest.
    #[must_use]
    pub fn with_pending_write(self, commit_bound: Time) -> MinimumPosition {
        MinimumPosition { pending_write: self.pending_write.max(commit_bound), ..self }
    }
}
