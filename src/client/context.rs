//! State shared by all client sessions: the routing decisions, the database hosts, the limits of the process
//! and the state of the gateway.

use crate::client::cancel_registry::CancelRegistry;
use crate::facade::Facade;
use crate::host::pool::HostPool;
use crate::os::clock::Clock;
use crate::postgres;
use crate::postgres::read_buffer::ReadBuffer;
use crate::resources::budget::Budget;
use crate::resources::counters::{Counters, Gauge};
use crate::resources::request_ids::RequestIdRegistry;
use crate::sql::set_statement;
use crate::Time;
use petrelgauge_lifecycle::gateway::{ReadDeadlines, ServingState};
use petrelgauge_sessions::SessionKey;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// State shared by all client sessions.
pub struct ClientContext {
    /// The routing decisions.
    pub facade: Facade,
    /// Connections to the database hosts.
    pub host_pool: Rc<HostPool>,
    /// The clock.
    pub clock: Clock,
    /// Limits on descriptors and memory.
    pub budget: Rc<Budget>,
    /// Event counters.
    pub counters: Rc<Counters>,
    /// The buffer that all connections read into.
    pub read_buffer: Rc<ReadBuffer>,
    /// Whether clients are accepted, and whether idle ones are closed.
    pub serving_state: watch::Receiver<ServingState>,
    /// Number of open sessions.
    pub open_sessions: Gauge,
    /// The keys by which clients cancel their open queries.
    pub cancel_registry: Rc<CancelRegistry>,
    /// The ids that clients chose for their requests.
    pub request_ids: Rc<RequestIdRegistry>,
    /// Clock time until which a stopping gateway answers requests; [`Time::MAX`] until it stops.
    pub final_answer_deadline: Cell<Time>,
    /// Clock times until which a stopping gateway reads from its clients.
    pub final_read_deadlines: Cell<ReadDeadlines>,
}

impl ClientContext {
    /// Appends the token of a session, if tokens are enabled.
    pub(super) fn put_session_token(&self, out: &mut Vec<u8>, session: Option<SessionKey>) {
        let now = self.clock.now();
        if let Some(token) = session.and_then(|key| self.facade.read(|table| table.token(now, key))) {
            postgres::put_parameter_status(out, set_statement::TOKEN_SETTING, &token);
        }
    }
}
