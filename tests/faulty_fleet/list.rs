//! The endpoint list of a fleet: what it says of each host, when gateways count as notified of it, and the primary that it
//! names.

use super::hosts::{Host, Mode};
use super::{Clock, Time};
use petrelgauge_test_support::{Endpoint, FirstUpdate, ListService, LoopbackNetwork, ServiceState};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Last byte of the address of discovery.
const LIST_HOST: u8 = 200;
/// A change that a silent or refusing discovery could not bring counts as notified so long after it could.
pub const NOTIFIED_AFTER_OUTAGE: Time = 6_000_000;
/// How late gateways that watch may read what was written to them.
pub const PUSH_SLACK: Time = 100_000;

/// A host that the list says drains.
pub struct Drain {
    pub host: usize,
    /// When it counted as notified.
    pub notified_at: Time,
    /// When the list said that the host is up again.
    pub ended_at: Time,
}

/// The list and its service.
pub struct EndpointList {
    clock: Clock,
    pub service: Rc<ListService>,
    hosts: Vec<Rc<Host>>,
    endpoints: RefCell<Vec<Endpoint>>,
    pub drains: RefCell<Vec<Drain>>,
    /// Until when a change published before counts as not notified.
    outage_until: RefCell<Option<Time>>,
}

impl EndpointList {
    pub async fn start(network: LoopbackNetwork, clock: Clock, hosts: Vec<Rc<Host>>) -> Rc<EndpointList> {
        let endpoints: Vec<Endpoint> = hosts.iter().map(|host| endpoint(host)).collect();
        let entries = endpoints.iter().map(Endpoint::json).collect();
        let service = ListService::start(network.address(LIST_HOST), FirstUpdate::CompleteList, entries);
        let list = Rc::new(EndpointList {
            clock,
            service: service.await.expect("a free port"),
            hosts,
            endpoints: RefCell::new(endpoints),
            drains: RefCell::default(),
            outage_until: RefCell::default(),
        });
        tokio::task::spawn_local(list.clone().elect_primaries());
        list
    }

    /// What discovery does from now on. What it could not bring counts as notified a while after its return.
    pub fn set_state(&self, state: ServiceState) {
        let until =
            if state == ServiceState::Up { self.clock.now() + NOTIFIED_AFTER_OUTAGE } else { Time::MAX };
        *self.outage_until.borrow_mut() = Some(until);
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

    /// When a change that is published now counts as notified to all gateways.
    fn notified_at(&self) -> Time {
        let by_push = self.clock.now() + PUSH_SLACK;
        self.outage_until.borrow().map_or(by_push, |until| until.max(by_push))
    }

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

    pub fn publish_drain(&self, host: usize) {
        let drain = Drain { host, notified_at: self.notified_at(), ended_at: Time::MAX };
        self.drains.borrow_mut().push(drain);
        self.change(host, |endpoint| endpoint.draining = true);
    }

    pub fn is_up(&self, host: usize) -> bool {
        !self.endpoints.borrow()[host].draining
    }

    fn change(&self, host: usize, change: impl FnOnce(&mut Endpoint)) {
        let mut endpoints = self.endpoints.borrow_mut();
        change(&mut endpoints[host]);
        self.service.replace_entry(host, endpoints[host].json());
    }

    /// A primary that cannot serve is replaced after a while, and the list shows it later.
    async fn elect_primaries(self: Rc<Self>) {
        const LOST_AFTER: u32 = 8;
        const STEP: Duration = Duration::from_millis(200);
        let mut lost = 0;
        loop {
            self.clock.sleep(STEP).await;
            let Some(primary) = self.hosts.iter().position(|host| host.is_primary.get()) else { continue };
            let can_serve = |host: usize| self.hosts[host].mode() == Mode::Up && self.is_up(host);
            lost = if can_serve(primary) { 0 } else { lost + 1 };
            let next = (0..self.hosts.len()).find(|host| *host != primary && can_serve(*host));
            if let Some(next) = next.filter(|_| lost >= LOST_AFTER) {
                self.hosts[primary].is_primary.set(false);
                self.hosts[next].is_primary.set(true);
                self.change(primary, |endpoint| endpoint.primary = false);
                self.change(next, |endpoint| endpoint.primary = true);
                lost = 0;
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
