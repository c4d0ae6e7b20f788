//! The sibling processes of this one, by their records, and what of the gateway's limits they leave to it.
//!
//! Every process replaces its record each [`HEARTBEAT_INTERVAL`]. A sibling is alive for [`LIVENESS_TIMEOUT`] after this
//! process last saw its record change, on this process's own monotonic clock; the times inside a record are of another
//! clock, which may have been started hours off, and are never compared with this one. A record that is seen for the
//! first time counts as a change. One that lies there unchanged does not count, however often it is read.
//!
//! A sibling whose record cannot be read, for once or any longer, is still there: what it last said it reserves is left to
//! it while its file changes. Of a sibling that never was read, half of the limits is left to it, and the minimum share to
//! one that has not yet finished its first record.

use crate::reservation::Reservation;
use petrelgauge_policy::Time;
use std::collections::BTreeMap;

/// Between two records of a process (microseconds).
pub const HEARTBEAT_INTERVAL: Time = 250_000;
/// A process counts as alive for so long after its record was last seen to change (microseconds): some records may be late
/// on a busy machine.
pub const LIVENESS_TIMEOUT: Time = 2_000_000;
/// Siblings that are counted at most: who starts more at a time does so by mistake.
pub const MAX_SIBLINGS: usize = 4;
/// Siblings that are remembered at most, alive or not.
pub const MAX_TRACKED: usize = 16;
/// Of the limits, one part of so many is left to a sibling whose reservation cannot be read.
const UNREADABLE_SHARE_DIVISOR: usize = 2;

/// What tells two states of a sibling's file apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordStamp {
    /// When the record was written, on its writer's clock (microseconds).
    pub written: Time,
    /// A digest of the file: of its content and its modification time.
    pub fingerprint: u64,
}

/// What a sibling is known to reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claim {
    Stated(Reservation),
    /// There is a record, and none of its states could be read.
    Unreadable,
    /// Its first record is not finished.
    Unpublished,
}

impl Claim {
    fn reservation(self, limits: Reservation) -> Reservation {
        match self {
            Claim::Stated(reservation) => reservation,
            Claim::Unreadable => limits.divided_by(UNREADABLE_SHARE_DIVISOR),
            Claim::Unpublished => limits.minimum_share(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sibling {
    /// Of its last record that could be read (microseconds on the writer's clock).
    written: Option<Time>,
    fingerprint: u64,
    /// When its file was last seen to change (microseconds on this process's clock).
    changed_at: Time,
    claim: Claim,
}

impl Sibling {
    fn is_alive(&self, now: Time) -> bool {
        now.saturating_sub(self.changed_at) <= LIVENESS_TIMEOUT
    }
}

/// The siblings that have a file in the directory. At most [`MAX_TRACKED`] are remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiblingRegistry {
    siblings: BTreeMap<u64, Sibling>,
}

impl SiblingRegistry {
    /// The record of a sibling was read. An older record than the last one of a living sibling changes nothing.
    pub fn record_seen(&mut self, now: Time, process: u64, stamp: RecordStamp, reservation: Reservation) {
        let RecordStamp { written, fingerprint } = stamp;
        let (written, claim) = (Some(written), Claim::Stated(reservation));
        let seen = Sibling { written, fingerprint, changed_at: now, claim };
        match self.siblings.get_mut(&process) {
            None => self.insert(process, seen),
            Some(known) if known.fingerprint == fingerprint && known.written == written => {}
            Some(known) if written < known.written && known.is_alive(now) => {}
            Some(known) => *known = seen,
        }
    }

    /// There is a record of a sibling that cannot be read. What it last stated still counts.
    pub fn unreadable_record_seen(&mut self, now: Time, process: u64, fingerprint: u64) {
        self.sign_of_life_seen(now, process, fingerprint, Claim::Unreadable);
    }

    /// There is a file of a sibling that it has not yet made its record. What it last stated still counts.
    pub fn unfinished_record_seen(&mut self, now: Time, process: u64, fingerprint: u64) {
        self.sign_of_life_seen(now, process, fingerprint, Claim::Unpublished);
    }

    fn sign_of_life_seen(&mut self, now: Time, process: u64, fingerprint: u64, claim: Claim) {
        match self.siblings.get_mut(&process) {
            None => self.insert(process, Sibling { written: None, fingerprint, changed_at: now, claim }),
            Some(known) if known.fingerprint == fingerprint => {}
            Some(known) => (known.fingerprint, known.changed_at) = (fingerprint, now),
        }
    }

    fn insert(&mut self, process: u64, sibling: Sibling) {
        if self.siblings.len() < MAX_TRACKED {
            self.siblings.insert(process, sibling);
        }
    }

    /// These processes have files; a process that removed its own has ended.
    pub fn retain(&mut self, processes: &[u64]) {
        self.siblings.retain(|process, _| processes.contains(process));
    }

    /// The directory could not be read for this span (microseconds). What it does not show is no sign that a sibling
    /// has stopped.
    pub fn unobserved_for(&mut self, span: Time) {
        self.siblings.values_mut().for_each(|known| known.changed_at = known.changed_at.saturating_add(span));
    }

    /// Whether any sibling has a file, alive or not.
    pub fn is_empty(&self) -> bool {
        self.siblings.is_empty()
    }

    /// Siblings that are alive (count), [`MAX_SIBLINGS`] at most.
    pub fn live_count(&self, now: Time) -> usize {
        self.live(now).count()
    }

    /// What the living siblings leave of the limits to this process: at least the minimum share.
    pub fn available(&self, now: Time, limits: Reservation) -> Reservation {
        let claims = self.live(now).map(|sibling| sibling.claim.reservation(limits));
        let reserved = claims.fold(Reservation::default(), Reservation::saturating_add);
        limits.saturating_sub(reserved).max(limits.minimum_share())
    }

    fn live(&self, now: Time) -> impl Iterator<Item = &Sibling> {
        self.siblings.values().filter(move |sibling| sibling.is_alive(now)).take(MAX_SIBLINGS)
    }
}
