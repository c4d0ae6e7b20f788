//! The endpoint list of a fleet: its entries, the election of primaries, and the times at which gateways
//! count as notified of a change.

use super::hosts::{Host, Mode};
use super::{Clock, Time};
use petrelgauge_test_support::{Endpoint, FirstUpdate, ListService, LoopbackNetwork, ServiceState};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Last byte of the list service's IP address.
const LIST_HOST: u8 = 200;
/// Gateways count as notified of a change during an outage of the list service this long after the end of the
/// outage (microseconds).
pub const NOTIFIED_AFTER_OUTAGE: Time = 6_000_000;
/// Allowance for the delay until gateways read what the service wrote to their watches (microseconds).
pub const PUSH_SLACK: Time = 100_000;

/// Interval between checks of the primary.
const ELECTION_INTERVAL: Duration = Duration::from_millis(200);
/// Consecutive failed checks after which a primary is replaced.
const FAILED_CHECKS_LIMIT: u32 = 8;

/// A drain of a host.
pub struct Drain {
    pub host: usize,
    /// When all gateways count as notified of the drain.
    pub notified_at: Time,
    /// When the list named the host as up again; `Time::MAX` until then.
    pub ended_at: Time,
}

/// The endpoint list and the service that publishes it.
pub struct EndpointList {
    clock: Clock,
    pub service: Rc<ListService>,
    hosts: Vec<Rc<Host>>,
    endpoints: RefCell<Vec<Endpoint>>,
    /// All drains, in order of time.
    pub drains: RefCell<Vec<Drain>>,
    /// When gateways count as notified of the changes during the last outage; `Time::MAX` while it lasts.
    outage_notified_at: RefCell<Option<Time>>,
}

impl EndpointList {
    /// Starts the service with entries that name all hosts as up.
    pub async fn start(network: LoopbackNetwork, clock: Clock, hosts: Vec<Rc<Host>>) -> Rc<EndpointList> {
        let endpoints: Vec<Endpoint> = hosts.iter().map(|host| endpoint(host)).collect();
        let entries = endpoints.iter().map(Endpoint::json).collect();
        let service = ListService::start(network.address(LIST_HOST), FirstUpdate::CompleteList, entries);
        let list = Rc::new(EndpointList {
            clock,
            service: service.await.expect("the list service finds a free port"),
            hosts,
            endpoints: RefCell::new(endpoints),
            drains: RefCell::default(),
            outage_notified_at: RefCell::default(),
        });
        tokio::task::spawn_local(list.clone().elect_primaries());
        list
    }

    /// Starts or ends an outage of the service.
    pub fn set_state(&self, state: ServiceState) {
        let until =
            if state == ServiceState::Up { self.clock.now() + NOTIFIED_AFTER_OUTAGE } else { Time::MAX };
        *self.outage_notified_at.borrow_mut() = Some(until);
        if state == ServiceState::Up {
            for drain in self.drains.borrow_mut().iter_mut() {
                drain.notified_at = drain.notified_at.min(until);
            }
            for host in &self.hosts {
                let mut starts = host.starts.borrow_mut();
                let notified = starts.iter_mut().filter_map(|start| start.notified_at.as_mut());
                notified.for_each(|at| *at = (*at).min(until));
            }
        }
        self.service.set_state(state);
    }

    /// When all gateways count as notified of a change that is published at this time.
    fn notified_at(&self) -> Time {
        let by_push = self.clock.now() + PUSH_SLACK;
        self.outage_notified_at.borrow().map_or(by_push, |until| until.max(by_push))
    }

    /// Publishes a restarted host as up, with the time of its restart.
    pub fn publish_start(&self, host: usize) {
        let notified_at = self.notified_at();
        if let Some(start) = self.hosts[host].starts.borrow_mut().last_mut() {
            start.notified_at = Some(notified_at);
        }
        for drain in self.drains.borrow_mut().iter_mut().filter(|drain| drain.host == host) {
            drain.ended_at = drain.ended_at.min(self.clock.now());
        }
        let started_ms = self.hosts[host].started_ms.get();
        self.change(host, |endpoint| (endpoint.draining, endpoint.started_ms) = (false, started_ms as i64));
    }

    /// Publishes a host as draining.
    pub fn publish_drain(&self, host: usize) {
        let drain = Drain { host, notified_at: self.notified_at(), ended_at: Time::MAX };
        self.drains.borrow_mut().push(drain);
        self.change(host, |endpoint| endpoint.draining = true);
    }

    /// Whether the list names the host as up.
    pub fn is_up(&self, host: usize) -> bool {
        !self.endpoints.borrow()[host].draining
    }

    fn change(&self, host: usize, change: impl FnOnce(&mut Endpoint)) {
        let mut endpoints = self.endpoints.borrow_mut();
        change(&mut endpoints[host]);
        self.service.replace_entry(host, endpoints[host].json());
    }

    /// Replaces a primary that fails `FAILED_CHECKS_LIMIT` consecutive checks, if another host can serve.
    async fn elect_primaries(self: Rc<Self>) {
        let mut failed_checks = 0;
        loop {
            self.clock.sleep(ELECTION_INTERVAL).await;
            let Some(primary) = self.hosts.iter().position(|host| host.is_primary.get()) else { continue };
            let can_serve = |host: usize| self.hosts[host].mode() == Mode::Up && self.is_up(host);
            failed_checks = if can_serve(primary) { 0 } else { failed_checks + 1 };
            let next = (0..self.hosts.len()).find(|host| *host != primary && can_serve(*host));
            if let Some(next) = next.filter(|_| failed_checks >= FAILED_CHECKS_LIMIT) {
                self.hosts[primary].is_primary.set(false);
                self.hosts[next].is_primary.set(true);
                self.change(primary, |endpoint| endpoint.primary = false);
                self.change(next, |endpoint| endpoint.primary = true);
                failed_checks = 0;
            }
        }
    }
}

fn endpoint(host: &Host) -> Endpoint {
    Endpoint {
        name: format!("h-{}", host.number),
        address: host.address,
        zone: 'a',
        machine_type: None,
        group: 2,
        draining: false,
        primary: host.is_primary.get(),
        started_ms: 0,
    }
}
