//! Amounts of what the processes of one gateway share.

use serde::{Deserialize, Serialize};

/// Whatever its siblings reserve, a process may use this part of the limits (1 / `MIN_SHARE_DIVISOR`): clients come to
/// it already, and with nothing at all it could not even reject them.
pub const MIN_SHARE_DIVISOR: usize = 8;

/// What a process has in flight or reserved, or the limit of that. It is part of the stored record: the order of its
/// fields must not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// File descriptors (count).
    pub sockets: usize,
    /// Memory of messages (bytes).
    pub memory: usize,
    /// Requests without a final answer (count).
    pub open: usize,
}

impl Reservation {
    /// The least that any process may use of these limits: an eighth, and at least one of each.
    #[must_use]
    pub fn minimum_share(self) -> Reservation {
        self.map(|limit| (limit / MIN_SHARE_DIVISOR).max(1))
    }

    /// Each amount divided.
    #[must_use]
    pub fn divided_by(self, divisor: usize) -> Reservation {
        self.map(|amount| amount / divisor)
    }

    /// Each sum, at most `usize::MAX`.
    #[must_use]
    pub fn saturating_add(self, other: Reservation) -> Reservation {
        self.zip(other, usize::saturating_add)
    }

    /// Each difference, at least 0.
    #[must_use]
    pub fn saturating_sub(self, other: Reservation) -> Reservation {
        self.zip(other, usize::saturating_sub)
    }

    /// The smaller of each.
    #[must_use]
    pub fn min(self, other: Reservation) -> Reservation {
        self.zip(other, usize::min)
    }

    /// The larger of each.
    #[must_use]
    pub fn max(self, other: Reservation) -> Reservation {
        self.zip(other, usize::max)
    }

    fn map(self, change: impl Fn(usize) -> usize) -> Reservation {
        Reservation { sockets: change(self.sockets), memory: change(self.memory), open: change(self.open) }
    }

    fn zip(self, other: Reservation, join: impl Fn(usize, usize) -> usize) -> Reservation {
        Reservation {
            sockets: join(self.sockets, other.sockets),
            memory: join(self.memory, other.memory),
            open: join(self.open, other.open),
        }
    }
}
