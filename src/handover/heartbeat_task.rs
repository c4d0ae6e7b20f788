//! Runs heartbeats for as long as the gateway runs, and enforces the limit of this process.

use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::handover::exchange::HandoverExchange;
use crate::handover::heartbeat::{Heartbeat, HeartbeatResult, RecordContent};
use crate::os::clock::Clock;
use crate::resources::budget::Budget;
use petrelgauge_handover::siblings::HEARTBEAT_INTERVAL;
use petrelgauge_handover::Reservation;
use std::cell::Cell;
use std::rc::Rc;

/// The heartbeat task and its dependencies.
pub struct HeartbeatTask {
    /// Publishes this process's record and tracks its siblings.
    pub exchange: Rc<HandoverExchange>,
    /// Clock of the heartbeats.
    pub clock: Clock,
    /// Access to the request table, whose learned state is published and whose open requests are limited.
    pub facade: Facade,
    /// Budget of descriptors and memory, which is limited.
    pub budget: Rc<Budget>,
    /// Names and identifiers of the hosts, which are published.
    pub host_names: Rc<HostNames>,
    /// The gateway's limits, which the processes share.
    pub limits: Rc<Cell<Reservation>>,
}

impl HeartbeatTask {
    /// Runs a heartbeat every [`HEARTBEAT_INTERVAL`]. Never returns.
    pub async fn run(self) {
        let mut enforced_limit = None;
        let mut live_siblings = 0;
        loop {
            let heartbeat = self.exchange.begin_heartbeat(self.clock.now(), self.usage(), self.content());
            if let Some(result) = self.run_blocking(heartbeat, &mut enforced_limit).await {
                self.exchange.finish_heartbeat(self.clock.now(), result);
            }
            let live = self.exchange.live_sibling_count(self.clock.now());
            if live != std::mem::replace(&mut live_siblings, live) {
                log::info!("sibling processes changed live={live}");
            }
            self.enforce_limit(&mut enforced_limit);
            self.clock.sleep_until(self.clock.now() + HEARTBEAT_INTERVAL).await;
        }
    }

    /// Runs a heartbeat on a blocking thread, because a write can take longer than clients may wait.
    /// Meanwhile the limit is enforced, since it falls as this process's record becomes out of date. Returns
    /// `None` if the thread has panicked.
    async fn run_blocking(
        &self,
        heartbeat: Heartbeat,
        enforced_limit: &mut Option<Reservation>,
    ) -> Option<HeartbeatResult> {
        let mut running = tokio::task::spawn_blocking(move || heartbeat.run());
        loop {
            tokio::select! {
                result = &mut running => return result.ok(),
                () = self.clock.sleep_until(self.clock.now() + HEARTBEAT_INTERVAL) => {
                    self.enforce_limit(enforced_limit);
                }
            }
        }
    }

    fn usage(&self) -> Reservation {
        Reservation {
            open_requests: self.facade.read(|table| table.open_request_count()),
            ..self.budget.usage()
        }
    }

    fn content(&self) -> RecordContent {
        RecordContent {
            host_ids: self.host_names.all(),
            learned_state: self.facade.read(|table| table.learned_state()),
        }
    }

    /// Applies the current limit if it differs from the one in force. Initially, the gateway's limits are in
    /// force.
    fn enforce_limit(&self, enforced_limit: &mut Option<Reservation>) {
        let limits = self.limits.get();
        let limit = self.exchange.limit(self.clock.now(), limits);
        if limit != enforced_limit.replace(limit).unwrap_or(limits) {
            self.budget.set_limits(limit.sockets, limit.memory);
            self.facade.update(|table| table.set_max_open_requests(limit.open_requests as u32));
        }
    }
}
