//! The periodic tasks of the control part.

use crate::facade::Facade;
use crate::host::pool::Hosts;
use crate::os::clock::Clock;
use crate::Time;
use std::rc::Rc;

/// Between two closings of idle connections that are of no more use (microseconds).
const IDLE_SWEEP_INTERVAL: Time = 500_000;
/// Between two checks for clients that are too many (microseconds).
const SHED_INTERVAL: Time = 50_000;

/// Steps the decisions when something came in or a timer is due.
pub(super) async fn step_decisions(facade: Facade, clock: Clock) {
    loop {
        match facade.tick(clock.now()) {
            Some(at) => tokio::select! {
                () = clock.sleep_until(at) => {}
                () = facade.woken() => {}
            },
            None => facade.woken().await,
        }
    }
}

/// Closes idle connections to hosts that are of no more use, and idle clients that are too many.
pub(super) async fn close_unused_connections(hosts: Rc<Hosts>, clock: Clock) {
    loop {
        let by = clock.now() + IDLE_SWEEP_INTERVAL;
        while clock.now() < by {
            clock.sleep_until(clock.now() + SHED_INTERVAL).await;
            hosts.shed_excess_clients();
        }
        hosts.sweep();
    }
}
