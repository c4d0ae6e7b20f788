//! The ids that clients chose for their requests. No two open requests have the same id, and the id of a
//! request that may have run and must not run again is rejected for a while: clients choose a new id for each
//! retry, so an id that comes again is not a retry that the gateway may forward.
//!
//! **Bounds.** One entry for each open request, and at most [`MAX_USED_IDS`] used ids, the latest ones.

use petrelgauge_policy::Time;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// Time for which the id of a request that may have run is rejected (microseconds). Longer than any client
/// waits for an answer.
pub const USED_ID_RETENTION: Time = 60_000_000;
/// Maximum number of used ids: those of a minute at 270 writes a second.
pub const MAX_USED_IDS: usize = 16_384;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetition {
    /// It has no effect.
    Harmless,
    /// It must not run under its id again.
    Forbidden,
}

/// Why an id is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdConflict {
    /// Another open request, or an attempt of one whose client has left, has this id.
    Open,
    /// A request with this id may have run.
    Used,
}

/// The ids of open requests, and those that were used lately.
#[derive(Clone, Debug, Default)]
pub struct RequestIds {
    open: BTreeSet<Rc<str>>,
    /// Hashes of used ids.
    used: BTreeSet<u64>,
    /// The same, in the order in which they are forgotten.
    used_order: VecDeque<UsedId>,
}

#[derive(Clone, Copy, Debug)]
struct UsedId {
    forgotten_at: Time,
    hash: u64,
}

impl RequestIds {
    /// Reserves an id until it is released.
    ///
    /// # Errors
    ///
    /// Fails if the id is open, or if the request must not run again and the id was used within
    /// [`USED_ID_RETENTION`].
    pub fn reserve(&mut self, now: Time, id: &str, repetition: Repetition) -> Result<Rc<str>, IdConflict> {
        self.forget_old(now);
        if repetition == Repetition::Forbidden && self.used.contains(&hash_of(id)) {
            return Err(IdConflict::Used);
        }
        let id: Rc<str> = id.into();
        if self.open.insert(id.clone()) {
            Ok(id)
        } else {
            Err(IdConflict::Open)
        }
    }

    /// Releases a reserved id. `used_at` is when a request with it may have run that must not run again.
    pub fn release(&mut self, id: &str, used_at: Option<Time>) {
        self.open.remove(id);
        let Some(used_at) = used_at else { return };
        let hash = hash_of(id);
        if self.used.insert(hash) {
            self.used_order.push_back(UsedId { forgotten_at: used_at + USED_ID_RETENTION, hash });
        }
        if self.used_order.len() > MAX_USED_IDS {
            self.forget_first();
        }
    }

    /// Number of used ids that are remembered.
    pub fn used_count(&self) -> usize {
        self.used_order.len()
    }

    fn forget_old(&mut self, now: Time) {
        while self.used_order.front().is_some_and(|used| used.forgotten_at <= now) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some(first) = self.used_order.pop_front() {
            self.used.remove(&first.hash);
        }
    }
}

fn hash_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
