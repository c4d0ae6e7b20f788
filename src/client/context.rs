//! What all client sessions share: the decisions, the database hosts, the process's limits, and what the gateway's own
//! life means for them.

use crate::client::cancel_registry::CancelRegistry;
use crate::facade::Facade;
use crate::host::pool::HostPool;
use crate::os::clock::Clock;
use crate::postgres;
use crate::postgres::read_buffer::ReadBuffer;
use crate::resources::budget::Budget;
use crate::resources::counters::{Counters, Gauge};
use crate::sql::set_statement;
use crate::Time;
use petrelgauge_lifecycle::gateway::{ReadDeadlines, ServingState};
use petrelgauge_sessions::SessionKey;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::watch;

/// What all client sessions share.
pub struct ClientContext {
    /// The decisions.
    pub facade: Facade,
    /// The database hosts.
    pub host_pool: Rc<HostPool>,
    /// The clock.
    pub clock: Clock,
    /// Descriptors and memory.
    pub budget: Rc<Budget>,
    /// Counts.
    pub counters: Rc<Counters>,
    /// What connections read into.
    pub read_buffer: Rc<ReadBuffer>,
    /// Whether clients are accepted, and whether idle ones are closed.
    pub serving_state: watch::Receiver<ServingState>,
    /// How many sessions are open.
    pub open_sessions: Gauge,
    /// Keys by which clients cancel their open queries.
    pub cancel_registry: Rc<CancelRegistry>,
    /// The ids of open requests, as their clients name them. Bounded by the clients: each has one open request.
    pub open_request_ids: RefCell<BTreeSet<Rc<str>>>,
    /// Once the gateway stops: clock time of the last answers before the process may be killed.
    pub final_answer_deadline: Cell<Time>,
    /// Once the gateway stops: up to when clients are read.
    pub final_read_deadlines: Cell<ReadDeadlines>,
}

impl ClientContext {
    /// Appends the session's token, where its client carries one.
    pub(super) fn put_session_token(&self, out: &mut Vec<u8>, session: Option<SessionKey>) {
        if let Some(token) =
            session.and_then(|key| self.facade.read(|table| table.token(self.clock.now(), key)))
        {
            postgres::put_parameter_status(out, set_statement::TOKEN_SETTING, &token);
        }
    }

    /// Reserves the id of a request for as long as the value lives. None if another open request has it.
    pub(super) fn reserve_request_id(self: &Rc<Self>, id: &str) -> Option<ReservedRequestId> {
        let id: Rc<str> = id.into();
        let is_new = self.open_request_ids.borrow_mut().insert(id.clone());
        is_new.then(|| ReservedRequestId { context: self.clone(), id })
    }
}

/// The id of an open request; dropped, another request may have it.
pub(super) struct ReservedRequestId {
    context: Rc<ClientContext>,
    id: Rc<str>,
}

impl Drop for ReservedRequestId {
    fn drop(&mut self) {
        self.context.open_request_ids.borrow_mut().remove(&self.id);
    }
}
