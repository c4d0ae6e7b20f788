//! Amounts of the resources that the processes of one gateway share.

use serde::{Deserialize, Serialize};

/// Every process may use 1 / `MIN_SHARE_DIVISOR` of the limits, however much its siblings reserve: clients
/// already connect to it, and without descriptors and memory it could not even reject them.
pub const MIN_SHARE_DIVISOR: usize = 8;

/// Amounts that a process has in use or reserved, or limits of them. Part of the stored record: the order of
/// the fields must not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// File descriptors (count).
    pub sockets: usize,
    /// Memory of messages (bytes).
    pub memory: usize,
    /// Requests without a final answer (count).
    pub open_requests: usize,
}

impl Reservation {
    /// The minimum share of these limits, which any process may use: an eighth, and at least one of each.
    #[must_use]
    pub fn minimum_share(self) -> Reservation {
        self.map(|limit| (limit / MIN_SHARE_DIVISOR).max(1))
    }

    /// Each amount divided by `divisor`, rounded down.
    #[must_use]
    pub fn divided_by(self, divisor: usize) -> Reservation {
        self.map(|amount| amount / divisor)
    }

    /// The sum of each amount, saturating.
    #[must_use]
    pub fn saturating_add(self, other: Reservation) -> Reservation {
        self.zip(other, usize::saturating_add)
    }

    /// The difference of each amount, saturating at 0.
    #[must_use]
    pub fn saturating_sub(self, other: Reservation) -> Reservation {
        self.zip(other, usize::saturating_sub)
    }

    /// The minimum of each amount.
    #[must_use]
    pub fn min(self, other: Reservation) -> Reservation {
        self.zip(other, usize::min)
    }

    /// The maximum of each amount.
    #[must_use]
    pub fn max(self, other: Reservation) -> Reservation {
        self.zip(other, usize::max)
    }

    fn map(self, transform: impl Fn(usize) -> usize) -> Reservation {
        Reservation {
            sockets: transform(self.sockets),
            memory: transform(self.memory),
            open_requests: transform(self.open_requests),
        }
    }

    fn zip(self, other: Reservation, combine: impl Fn(usize, usize) -> usize) -> Reservation {
        Reservation {
            sockets: combine(self.sockets, other.sockets),
            memory: combine(self.memory, other.memory),
            open_requests: combine(self.open_requests, other.open_requests),
        }
    }
}
