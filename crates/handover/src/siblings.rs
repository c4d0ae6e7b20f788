//! Who runs beside this process, and what is left of one gateway's limits for it meanwhile.
//!
//! Each process writes a record every [`HEARTBEAT_INTERVAL`], with what it holds. One whose last record is older than
//! [`LIVENESS_TIMEOUT`] does not run, or stands still so long that it holds up nobody. What the others hold is not left for this one. So a process
//! that has just started gets what is free, a process that is being replaced leaves more with every record, and neither
//! is asked to give up what its clients use.

use petrelgauge_policy::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Between two records of a process (microseconds).
pub const HEARTBEAT_INTERVAL: Time = 250_000;
/// A record tells that its process runs for so long (microseconds): some records may be late on a busy machine.
pub const LIVENESS_TIMEOUT: Time = 2_000_000;
/// Others that are counted at most: who starts more at a time does so by mistake.
pub const MAX_SIBLINGS: usize = 4;
/// Whatever the others hold, a process may have one part of so many: clients come to it already, and one that may hold
/// nothing could not even refuse them.
pub const MIN_SHARE_DIVISOR: usize = 8;

/// What a process holds, or may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Descriptors.
    pub sockets: usize,
    /// Bytes of memory.
    pub memory: usize,
    /// Requests that clients hold open.
    pub open: usize,
}

/// The others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiblingRegistry {
    /// By process, when its last record was written, and what it reservation then.
    siblings: BTreeMap<u64, (Time, Reservation)>,
}

impl SiblingRegistry {
    /// A record of another process was read.
    pub fn record_seen(&mut self, process: u64, written: Time, reservation: Reservation) {
        let known = self.siblings.entry(process).or_insert((written, reservation));
        if written >= known.0 {
            *known = (written, reservation);
        }
    }

    /// These have records; one that took its record away is over.
    pub fn retain(&mut self, processes: &[u64]) {
        self.siblings.retain(|process, _| processes.contains(process));
    }

    /// How many run beside this process now. Forgets the others.
    pub fn live_count(&mut self, now: Time) -> usize {
        // A record of a time to come is of a clock that was set back: it counts until it is old by this one.
        self.siblings.retain(|_, (written, _)| now.saturating_sub(*written) <= LIVENESS_TIMEOUT);
        while self.siblings.len() > MAX_SIBLINGS {
            self.siblings.pop_last();
        }
        self.siblings.len()
    }

    /// What is left of `whole` for this process.
    pub fn available(&mut self, now: Time, whole: Reservation) -> Reservation {
        self.live_count(now);
        let remaining = |whole: usize, of: fn(&Reservation) -> usize| {
            let reserved: usize =
                self.siblings.values().map(|(_, reservation)| of(reservation)).fold(0, usize::saturating_add);
            whole.saturating_sub(reserved).max(whole / MIN_SHARE_DIVISOR).max(1)
        };
        Reservation {
            sockets: remaining(whole.sockets, |reservation| reservation.sockets),
            memory: remaining(whole.memory, |reservation| reservation.memory),
            open: remaining(whole.open, |reservation| reservation.open),
        }
    }
}
