//! Makes heartbeats for as long as the gateway runs, and holds the process to its limit.

use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::handover::exchange::Handover;
use crate::handover::heartbeat::Knowledge;
use crate::os::clock::Clock;
use crate::resources::budget::Budget;
use petrelgauge_handover::siblings::HEARTBEAT_INTERVAL;
use petrelgauge_handover::Reservation;
use std::cell::Cell;
use std::rc::Rc;

impl Handover {
    /// Makes heartbeats for as long as the gateway runs, and keeps the process to its limit.
    pub async fn keep(
        self: Rc<Self>,
        clock: Clock,
        facade: Facade,
        budget: Rc<Budget>,
        names: Rc<HostNames>,
        limits: Rc<Cell<Reservation>>,
    ) {
        let mut enforcer = Enforcer { handover: self.clone(), clock, facade, budget, limits, enforced: None };
        let mut siblings = 0;
        loop {
            let knowledge = Knowledge {
                numbers: names.all().into_iter().collect(),
                learned_state: enforcer.facade.read(|table| table.learned_state()),
            };
            let heartbeat = self.begin(clock.now(), enforcer.in_use(), knowledge);
            // On a thread of its own: a write takes up to 0.4 s here where the disk is busy, and nobody who is served
            // may wait for it.
            let mut running = tokio::task::spawn_blocking(move || heartbeat.run());
            let result = loop {
                tokio::select! {
                    result = &mut running => break result,
                    () = clock.sleep_until(clock.now() + HEARTBEAT_INTERVAL) => enforcer.enforce(),
                }
            };
            // Without a result nothing was learned, and the publication grows old.
            if let Ok(result) = result {
                self.finish(clock.now(), result);
            }
            let live = self.live_siblings(clock.now());
            if live != std::mem::replace(&mut siblings, live) {
                log::info!("sibling processes changed live={live}");
            }
            enforcer.enforce();
            clock.sleep_until(clock.now() + HEARTBEAT_INTERVAL).await;
        }
    }
}

/// Holds the process to its limit.
struct Enforcer {
    handover: Rc<Handover>,
    clock: Clock,
    facade: Facade,
    budget: Rc<Budget>,
    /// The gateway's limits.
    limits: Rc<Cell<Reservation>>,
    /// The limit in force; at first the gateway's.
    enforced: Option<Reservation>,
}

impl Enforcer {
    fn in_use(&self) -> Reservation {
        Reservation { open: self.facade.read(|table| table.open_request_count()), ..self.budget.usage() }
    }

    fn enforce(&mut self) {
        let limit = self.handover.limit(self.clock.now(), self.limits.get());
        if limit != self.enforced.replace(limit).unwrap_or(self.limits.get()) {
            self.budget.set_limits(limit.sockets, limit.memory);
            self.facade.update(|table| table.set_max_open_requests(limit.open as u32));
        }
    }
}
