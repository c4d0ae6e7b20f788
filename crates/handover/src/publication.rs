//! Whether this process's own record is up to date, and what the process may use accordingly.
//!
//! Siblings know a process by its record alone. While the record cannot be replaced (full disk, I/O error,
//! hanging write), they assume that it uses what it last published, and consider the process ended once its
//! file has not changed for the liveness timeout. So a process that has siblings keeps to these limits:
//!
//! | its record | limit |
//! | --- | --- |
//! | replaced at the last heartbeat | what the siblings' reservations leave |
//! | write failed, replaced or refreshed within [`PUBLICATION_TIMEOUT`] | the same, up to what it published |
//! | neither replaced nor refreshed for [`PUBLICATION_TIMEOUT`], or never written | the minimum share |
//! | replaced again after a failure | the earlier limit for [`RECOVERY_DELAY`], then what siblings leave |
//!
//! No limit is below the minimum share. A process without siblings may use the limits in full: a process that
//! is started beside it either writes a file, or cannot write one and keeps to the minimum share.

use crate::reservation::Reservation;
use crate::siblings::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};
use petrelgauge_policy::Time;

/// If its record was neither replaced nor refreshed for this long, a process keeps to the minimum share
/// (microseconds): two heartbeats before its siblings may consider it ended.
pub const PUBLICATION_TIMEOUT: Time = LIVENESS_TIMEOUT - 2 * HEARTBEAT_INTERVAL;
/// How long the earlier limit stays in force after the first write that succeeds again, so that siblings can
/// read the new record (microseconds).
pub const RECOVERY_DELAY: Time = 2 * HEARTBEAT_INTERVAL;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    Succeeding,
    Failing,
    /// Since the first successful write after a failure.
    RecoveringSince(Time),
}

/// Whether a failed write at least refreshed the modification time of the record's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileRefresh {
    /// Siblings can see that this process is alive.
    Refreshed,
    /// Siblings see an unchanged file.
    Failed,
}

/// The state of this process's record. All times are by this process's clock (microseconds).
#[derive(Clone, Copy, Debug)]
pub struct Publication {
    write_state: WriteState,
    /// The reservation in the last published record; after a failure, the minimum of it and the earlier one
    /// until [`RECOVERY_DELAY`] has passed.
    published: Option<Reservation>,
    /// When the last successful write or refresh began, or before the first success, when the first attempt
    /// began.
    last_update_at: Option<Time>,
}

impl Default for Publication {
    fn default() -> Publication {
        Publication { write_state: WriteState::Succeeding, published: None, last_update_at: None }
    }
}

impl Publication {
    /// Records that a write of the record begins.
    pub fn begin(&mut self, now: Time) {
        self.last_update_at.get_or_insert(now);
    }

    /// Records that a write that began at `begun_at` has published this reservation. Returns whether the
    /// write before it had failed.
    pub fn record_success(&mut self, begun_at: Time, reservation: Reservation) -> bool {
        let has_recovered = self.write_state == WriteState::Failing;
        let is_overdue = self.is_overdue(begun_at);
        self.write_state = match self.write_state {
            WriteState::RecoveringSince(since) if begun_at - since < RECOVERY_DELAY => self.write_state,
            WriteState::Succeeding if is_overdue => WriteState::RecoveringSince(begun_at),
            WriteState::Failing => WriteState::RecoveringSince(begun_at),
            WriteState::Succeeding | WriteState::RecoveringSince(_) => WriteState::Succeeding,
        };
        // While siblings may still rely on the earlier reservation, the smaller one limits this process.
        let earlier = if self.write_state == WriteState::Succeeding { None } else { self.published };
        self.published = Some(earlier.map_or(reservation, |earlier| earlier.min(reservation)));
        self.last_update_at = Some(begun_at);
        has_recovered
    }

    /// Records that a write that began at `begun_at` has failed. Returns whether it is the first one to fail.
    pub fn record_failure(&mut self, begun_at: Time, refresh: FileRefresh) -> bool {
        let is_first_failure = self.write_state != WriteState::Failing;
        self.write_state = WriteState::Failing;
        if refresh == FileRefresh::Refreshed {
            self.last_update_at = Some(begun_at);
        }
        is_first_failure
    }

    /// What this process may use, if its siblings' reservations leave `available` of the limits.
    pub fn limit(&self, now: Time, limits: Reservation, available: Reservation) -> Reservation {
        let minimum = limits.minimum_share();
        let published = self.published.unwrap_or(minimum);
        match self.write_state {
            _ if self.is_overdue(now) => minimum,
            WriteState::Succeeding => available,
            WriteState::Failing | WriteState::RecoveringSince(_) => available.min(published).max(minimum),
        }
    }

    /// What this process may use while it cannot read its siblings' records: at most what it has
    /// published.
    pub fn limit_unobserved(&self, now: Time, limits: Reservation, available: Reservation) -> Reservation {
        let minimum = limits.minimum_share();
        let limit = self.limit(now, limits, available);
        limit.min(self.published.unwrap_or(minimum)).max(minimum)
    }

    fn is_overdue(&self, now: Time) -> bool {
        self.last_update_at.is_some_and(|last_update_at| now - last_update_at > PUBLICATION_TIMEOUT)
    }
}
