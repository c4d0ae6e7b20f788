//! How this process's own record stands, and what that allows the process to use.
//!
//! Its siblings know a process by its record alone. While the record cannot be replaced (a full disk, an input or output
//! error, a write that hangs), they go on counting what it last stated, and take the process for ended once it shows no
//! sign of life for their liveness timeout. So a process that has siblings keeps to this:
//!
//! | its record | limit |
//! | --- | --- |
//! | replaced at the last heartbeat | what the siblings leave |
//! | not replaced, but shown to be alive, or not yet for [`PUBLICATION_TIMEOUT`] | of that, what the record states |
//! | no sign of life for [`PUBLICATION_TIMEOUT`], or never written | the minimum share |
//! | replaced again after that | the old limit, until the siblings had [`RECOVERY_DELAY`] to see it |
//!
//! No limit is under the minimum share. A process without siblings, living or not, keeps all: nobody is there to count it
//! wrongly, and one that starts beside it either shows a file, or cannot write one and keeps to the minimum share.

use crate::reservation::Reservation;
use crate::siblings::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};
use petrelgauge_policy::Time;

/// Without a sign of life for so long, a process keeps to the minimum share (microseconds): two heartbeats before its
/// siblings may take it for ended.
pub const PUBLICATION_TIMEOUT: Time = LIVENESS_TIMEOUT - 2 * HEARTBEAT_INTERVAL;
/// After its record could not be replaced, siblings have so long to read the new one (microseconds).
pub const RECOVERY_DELAY: Time = 2 * HEARTBEAT_INTERVAL;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Published,
    Failing,
    /// Published again for the first time then.
    RecoveringSince(Time),
}

/// The state of this process's record. All times are microseconds on this process's clock.
#[derive(Clone, Copy, Debug)]
pub struct Publication {
    health: Health,
    /// What the record in the directory states.
    stated: Option<Reservation>,
    /// When the last successful write or refresh was begun; before the first one, when the first was.
    alive_at: Option<Time>,
}

impl Default for Publication {
    fn default() -> Publication {
        Publication { health: Health::Published, stated: None, alive_at: None }
    }
}

impl Publication {
    /// The record is about to be replaced.
    pub fn begin(&mut self, now: Time) {
        self.alive_at.get_or_insert(now);
    }

    /// A record that states this reservation has replaced the last one; the write was begun then. True if the one before
    /// had failed.
    pub fn succeeded(&mut self, begun: Time, reservation: Reservation) -> bool {
        let recovered = self.health == Health::Failing;
        let overdue = self.is_overdue(begun);
        self.health = match self.health {
            Health::RecoveringSince(since) if begun - since < RECOVERY_DELAY => self.health,
            Health::Published if overdue => Health::RecoveringSince(begun),
            Health::Failing => Health::RecoveringSince(begun),
            Health::Published | Health::RecoveringSince(_) => Health::Published,
        };
        let kept = if self.health == Health::Published { None } else { self.stated };
        // While siblings may still count the last figure, the smaller one binds.
        self.stated = Some(kept.map_or(reservation, |kept| kept.min(reservation)));
        self.alive_at = Some(begun);
        recovered
    }

    /// The record could not be replaced. `refreshed`: it was shown all the same that this process runs. True if the write
    /// before had succeeded.
    pub fn failed(&mut self, begun: Time, refreshed: bool) -> bool {
        let first = self.health != Health::Failing;
        self.health = Health::Failing;
        if refreshed {
            self.alive_at = Some(begun);
        }
        first
    }

    /// What this process may use of what its siblings leave (`available`).
    pub fn limit(&self, now: Time, limits: Reservation, available: Reservation) -> Reservation {
        let minimum = limits.minimum_share();
        let stated = self.stated.unwrap_or(minimum);
        match self.health {
            _ if self.is_overdue(now) => minimum,
            Health::Published => available,
            Health::Failing | Health::RecoveringSince(_) => available.min(stated).max(minimum),
        }
    }

    /// What this process may use while it cannot read how its siblings stand: no more than it has stated.
    pub fn limit_unobserved(&self, now: Time, limits: Reservation, available: Reservation) -> Reservation {
        let minimum = limits.minimum_share();
        let limit = self.limit(now, limits, available);
        limit.min(self.stated.unwrap_or(minimum)).max(minimum)
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.alive_at.is_some_and(|at| now - at > PUBLICATION_TIMEOUT)
    }
}
