//! Reservations of the ids that clients chose for their requests.

use crate::Time;
use petrelgauge_lifecycle::request_ids::{IdConflict, Repetition, RequestIds};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The ids of the requests of all clients; see [`RequestIds`].
#[derive(Default)]
pub struct RequestIdRegistry(RefCell<RequestIds>);

impl RequestIdRegistry {
    /// Reserves the id of a request until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// Fails if another request has this id, or had it and may have run.
    pub fn reserve(
        self: &Rc<Self>,
        now: Time,
        id: &str,
        repetition: Repetition,
    ) -> Result<ReservedRequestId, IdConflict> {
        let id = self.0.borrow_mut().reserve(now, id, repetition)?;
        Ok(ReservedRequestId { registry: self.clone(), id, repetition, used_at: Cell::new(None) })
    }
}

/// The id of a request that is open, or of which an attempt is in flight. Dropping it releases the id.
pub struct ReservedRequestId {
    registry: Rc<RequestIdRegistry>,
    id: Rc<str>,
    repetition: Repetition,
    used_at: Cell<Option<Time>>,
}

impl ReservedRequestId {
    /// Records that the request may have run.
    pub fn record_use(&self, now: Time) {
        if self.repetition == Repetition::Forbidden {
            self.used_at.set(Some(now));
        }
    }
}

impl Drop for ReservedRequestId {
    fn drop(&mut self) {
        self.registry.0.borrow_mut().release(&self.id, self.used_at.get());
    }
}
