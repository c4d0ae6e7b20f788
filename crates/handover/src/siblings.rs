//! The sibling processes of this one, known by their records, and what remains of the gateway's limits.
//!
//! Every process replaces its record once per [`HEARTBEAT_INTERVAL`]. A sibling is alive until
//! [`LIVENESS_TIMEOUT`] after this process last saw its record change, by this process's monotonic clock.
//! Times inside a record are by another clock, which may be hours off, and are never compared with this one.
//! A record that is seen for the first time counts as changed; one that is read again unchanged does not.
//!
//! A sibling whose record cannot be read still counts: its last published reservation stays in force while
//! its file changes. A sibling whose record could never be read is assumed to use half of the limits, and one
//! that has not yet finished its first record to use the minimum share.

use crate::reservation::Reservation;
use petrelgauge_policy::Time;
use std::collections::BTreeMap;

/// Interval at which a process writes its record (microseconds).
pub const HEARTBEAT_INTERVAL: Time = 250_000;
/// How long a process counts as alive after its record was last seen to change (microseconds): eight
/// heartbeats, since some are late on a busy machine.
pub const LIVENESS_TIMEOUT: Time = 2_000_000;
/// Maximum number of siblings that are counted.
pub const MAX_SIBLINGS: usize = 4;
/// Maximum number of siblings that are tracked, alive or not.
pub const MAX_TRACKED: usize = 16;
/// A sibling whose record could never be read is assumed to use 1 / `UNREADABLE_SHARE_DIVISOR` of the limits.
const UNREADABLE_SHARE_DIVISOR: usize = 2;

/// Identifies a version of a sibling's record file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordStamp {
    /// When the record was written, by its writer's clock (microseconds).
    pub written_at: Time,
    /// Digest of the file's content and modification time.
    pub fingerprint: u64,
}

/// What a sibling is known to reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KnownReservation {
    Published(Reservation),
    /// It has a record, which could never be read.
    Unreadable,
    /// It has not finished writing its first record.
    Unfinished,
}

impl KnownReservation {
    fn amounts(self, limits: Reservation) -> Reservation {
        match self {
            KnownReservation::Published(amounts) => amounts,
            KnownReservation::Unreadable => limits.divided_by(UNREADABLE_SHARE_DIVISOR),
            KnownReservation::Unfinished => limits.minimum_share(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sibling {
    /// When its last readable record was written, by its own clock (microseconds).
    written_at: Option<Time>,
    fingerprint: u64,
    /// When its file was last seen to change, by this process's clock (microseconds).
    changed_at: Time,
    reservation: KnownReservation,
}

impl Sibling {
    fn is_alive(&self, now: Time) -> bool {
        now.saturating_sub(self.changed_at) <= LIVENESS_TIMEOUT
    }
}

/// The siblings that have a file in the directory, at most [`MAX_TRACKED`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiblingRegistry {
    siblings: BTreeMap<u64, Sibling>,
}

impl SiblingRegistry {
    /// Records that a sibling's record was read. One that is older than the last record of a live sibling
    /// is ignored.
    pub fn record_seen(&mut self, now: Time, process: u64, stamp: RecordStamp, reservation: Reservation) {
        let RecordStamp { written_at, fingerprint } = stamp;
        let written_at = Some(written_at);
        let seen = Sibling {
            written_at,
            fingerprint,
            changed_at: now,
            reservation: KnownReservation::Published(reservation),
        };
        match self.siblings.get_mut(&process) {
            None => self.insert(process, seen),
            Some(known) if known.fingerprint == fingerprint && known.written_at == written_at => {}
            Some(known) if written_at < known.written_at && known.is_alive(now) => {}
            Some(known) => *known = seen,
        }
    }

    /// Records that a sibling has a record that cannot be read. Its last published reservation stays in
    /// force.
    pub fn unreadable_record_seen(&mut self, now: Time, process: u64, fingerprint: u64) {
        self.change_without_record_seen(now, process, fingerprint, KnownReservation::Unreadable);
    }

    /// Records that a sibling has a file that it has not yet renamed to its record. Its last published
    /// reservation stays in force.
    pub fn unfinished_record_seen(&mut self, now: Time, process: u64, fingerprint: u64) {
        self.change_without_record_seen(now, process, fingerprint, KnownReservation::Unfinished);
    }

    fn change_without_record_seen(
        &mut self,
        now: Time,
        process: u64,
        fingerprint: u64,
        reservation: KnownReservation,
    ) {
        match self.siblings.get_mut(&process) {
            None => {
                self.insert(process, Sibling { written_at: None, fingerprint, changed_at: now, reservation })
            }
            Some(known) if known.fingerprint == fingerprint => {}
            Some(known) => (known.fingerprint, known.changed_at) = (fingerprint, now),
        }
    }

    fn insert(&mut self, process: u64, sibling: Sibling) {
        if self.siblings.len() < MAX_TRACKED {
            self.siblings.insert(process, sibling);
        }
    }

    /// Removes all siblings except `processes`, which have files. A process that has removed its own file has
    /// ended.
    pub fn retain(&mut self, processes: &[u64]) {
        self.siblings.retain(|process, _| processes.contains(process));
    }

    /// Postpones the liveness timeout of all siblings by a period during which the directory could not be
    /// read (microseconds).
    pub fn unobserved_for(&mut self, period: Time) {
        self.siblings
            .values_mut()
            .for_each(|known| known.changed_at = known.changed_at.saturating_add(period));
    }

    /// Whether no sibling has a file, not even one that has ended.
    pub fn is_empty(&self) -> bool {
        self.siblings.is_empty()
    }

    /// Number of live siblings, at most [`MAX_SIBLINGS`].
    pub fn live_count(&self, now: Time) -> usize {
        self.live(now).count()
    }

    /// What remains of the limits after the reservations of the live siblings, at least the minimum share.
    pub fn available(&self, now: Time, limits: Reservation) -> Reservation {
        let reservations = self.live(now).map(|sibling| sibling.reservation.amounts(limits));
        let reserved = reservations.fold(Reservation::default(), Reservation::saturating_add);
        limits.saturating_sub(reserved).max(limits.minimum_share())
    }

    fn live(&self, now: Time) -> impl Iterator<Item = &Sibling> {
        self.siblings.values().filter(move |sibling| sibling.is_alive(now)).take(MAX_SIBLINGS)
    }
}
