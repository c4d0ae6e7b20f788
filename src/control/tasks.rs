//! The periodic tasks of the control plane. None of them returns.

use crate::facade::Facade;
use crate::host::pool::HostPool;
use crate::os::clock::Clock;
use crate::Time;
use std::rc::Rc;

/// Interval between sweeps of idle host connections (microseconds).
const IDLE_SWEEP_INTERVAL: Time = 500_000;
/// Interval between checks for excess clients (microseconds).
const SHED_INTERVAL: Time = 50_000;

/// Advances the routing decisions whenever an event has arrived or a timer is due.
pub(super) async fn step_decisions(facade: Facade, clock: Clock) {
    loop {
        match facade.tick(clock.now()) {
            Some(next_at) => tokio::select! {
                () = clock.sleep_until(next_at) => {}
                () = facade.changed() => {}
            },
            None => facade.changed().await,
        }
    }
}

/// Closes expired idle host connections, and idle clients in excess of their share of the descriptors.
pub(super) async fn close_unused_connections(host_pool: Rc<HostPool>, clock: Clock) {
    loop {
        let sweep_at = clock.now() + IDLE_SWEEP_INTERVAL;
        while clock.now() < sweep_at {
            clock.sleep_until(clock.now() + SHED_INTERVAL).await;
            host_pool.shed_excess_clients();
        }
        host_pool.close_expired();
    }
}
