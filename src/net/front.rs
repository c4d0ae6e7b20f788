//! What all client sessions share.

use crate::facade::Facade;
use crate::net::budget::Budget;
use crate::net::cancel::CancelKeys;
use crate::net::clock::Clock;
use crate::net::counters::{Counters, Gauge};
use crate::net::hosts::Hosts;
use crate::net::pg;
use crate::net::read_buffer::ReadBuffer;
use crate::net::set_statement;
use crate::Time;
use petrelgauge_lifecycle::gateway::{ReadDeadlines, ServingState};
use petrelgauge_sessions::SessionKey;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::watch;

/// What all sessions share.
pub struct Front {
    /// The decisions.
    pub facade: Facade,
    /// The database hosts.
    pub hosts: Rc<Hosts>,
    /// The clock.
    pub clock: Clock,
    /// Descriptors and memory.
    pub budget: Rc<Budget>,
    /// Counts.
    pub counters: Rc<Counters>,
    /// What is read into.
    pub read_buffer: Rc<ReadBuffer>,
    /// What is to be done with clients.
    pub serving_state: watch::Receiver<ServingState>,
    /// Sessions that are open.
    pub open_sessions: Gauge,
    /// What clients may cancel their open queries with.
    pub cancel_keys: Rc<CancelKeys>,
    /// What clients call their open requests.
    pub open_request_ids: RefCell<BTreeSet<Rc<str>>>,
    /// Clock time of the last answers before the process may be killed, once it is to stop.
    pub final_answer_deadline: Cell<Time>,
    /// Up to when clients are read then.
    pub final_read_deadlines: Cell<ReadDeadlines>,
}

impl Front {
    /// Tells the session's token, where its client carries one.
    pub(super) fn put_session_token(&self, out: &mut Vec<u8>, session: Option<SessionKey>) {
        if let Some(token) = session.and_then(|key| self.facade.token(self.clock.now(), key)) {
            pg::put_parameter_status(out, set_statement::TOKEN_SETTING, &token);
        }
    }

    /// Marks a request as open. None if another with that name is.
    pub(super) fn reserve_request_id(self: &Rc<Self>, id: &str) -> Option<ReservedRequestId> {
        let id: Rc<str> = id.into();
        self.open_request_ids
            .borrow_mut()
            .insert(id.clone())
            .then(|| ReservedRequestId { front: self.clone(), id })
    }
}

/// A request's name, its own for as long as it is open.
pub(super) struct ReservedRequestId {
    front: Rc<Front>,
    id: Rc<str>,
}

impl Drop for ReservedRequestId {
    fn drop(&mut self) {
        self.front.open_request_ids.borrow_mut().remove(&self.id);
    }
}
