//! Whether this process's own record is up to date, and what the process may use accordingly.
//!
//! Siblings know a process by its record alone. While the record cannot be replaced (full disk, I/O error,
//! hanging write), they count with what it last stated, and consider the process ended once its file has not
//! changed for their liveness timeout. So a process that has siblings keeps to these limits:
//!
//! | its record | limit |
//! | --- | --- |
//! | replaced at the last heartbeat | what the siblings leave |
//! | not replaced, but refreshed, or for less than [`PUBLICATION_TIMEOUT`] | the same, up to what it states |
//! | no sign of life for [`PUBLICATION_TIMEOUT`], or never written | the minimum share |
//! | replaced again after a failure | the earlier limit, until siblings had [`RECOVERY_DELAY`] to read it |
//!
//! No limit is below the minimum share. A process without any siblings may use all limits. One that is
//! started beside it either shows a file, or cannot write one and keeps to the minimum share.

use crate::reservation::Reservation;
use crate::siblings::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};
use petrelgauge_policy::Time;

/// After this long without a sign of life, a process keeps to the minimum share (microseconds): two
/// heartbeats before its siblings may consider it ended.
pub const PUBLICATION_TIMEOUT: Time = LIVENESS_TIMEOUT - 2 * HEARTBEAT_INTERVAL;
/// How long siblings get to read a record that follows a failed write (microseconds).
pub const RECOVERY_DELAY: Time = 2 * HEARTBEAT_INTERVAL;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Published,
    Failing,
    /// Since the first successful write after a failure.
    RecoveringSince(Time),
}

/// Whether a failed write at least refreshed the modification time of the record's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileRefresh {
    /// Siblings can see that this process runs.
    Refreshed,
    /// Siblings see no sign of life.
    Failed,
}

/// The state of this process's record. All times are by this process's clock (microseconds).
#[derive(Clone, Copy, Debug)]
pub struct Publication {
    health: Health,
    /// What the record in the directory states as this process's reservation.
    stated: Option<Reservation>,
    /// When the last successful write or refresh began, or before the first success, when the first attempt
    /// began.
    alive_at: Option<Time>,
}

impl Default for Publication {
    fn default() -> Publication {
        Publication { health: Health::Published, stated: None, alive_at: None }
    }
}

impl Publication {
    /// Records that a write of the record begins.
    pub fn begin(&mut self, now: Time) {
        self.alive_at.get_or_insert(now);
    }

    /// Records that a write that began at `begun_at` has published this reservation. Returns whether the
    /// write before it had failed.
    pub fn record_success(&mut self, begun_at: Time, reservation: Reservation) -> bool {
        let has_recovered = self.health == Health::Failing;
        let is_overdue = self.is_overdue(begun_at);
        self.health = match self.health {
            Health::RecoveringSince(since) if begun_at - since < RECOVERY_DELAY => self.health,
            Health::Published if is_overdue => Health::RecoveringSince(begun_at),
            Health::Failing => Health::RecoveringSince(begun_at),
            Health::Published | Health::RecoveringSince(_) => Health::Published,
        };
        // While siblings may still count with the earlier statement, the smaller one binds.
        let earlier = if self.health == Health::Published { None } else { self.stated };
        self.stated = Some(earlier.map_or(reservation, |earlier| earlier.min(reservation)));
        self.alive_at = Some(begun_at);
        has_recovered
    }

    /// Records that a write that began at `begun_at` has failed. Returns whether it is the first one to fail.
    pub fn record_failure(&mut self, begun_at: Time, refresh: FileRefresh) -> bool {
        let is_first_failure = self.health != Health::Failing;
        self.health = Health::Failing;
        if refresh == FileRefresh::Refreshed {
            self.alive_at = Some(begun_at);
        }
        is_first_failure
    }

    /// What this process may use, if its siblings leave `available` of the limits.
    pub fn limit(&self, now: Time, limits: Reservation, available: Reservation) -> Reservation {
        let minimum = limits.minimum_share();
        let stated = self.stated.unwrap_or(minimum);
        match self.health {
            _ if self.is_overdue(now) => minimum,
            Health::Published => available,
            Health::Failing | Health::RecoveringSince(_) => available.min(stated).max(minimum),
        }
    }

    /// What this process may use while it cannot read its siblings' records: at most what it has stated.
    pub fn limit_unobserved(&self, now: Time, limits: Reservation, available: Reservation) -> Reservation {
        let minimum = limits.minimum_share();
        let limit = self.limit(now, limits, available);
        limit.min(self.stated.unwrap_or(minimum)).max(minimum)
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.alive_at.is_some_and(|alive_at| now - alive_at > PUBLICATION_TIMEOUT)
    }
}
