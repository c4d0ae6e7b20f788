//! A fleet of gateway processes between emulated hosts, a list service and clients that keep their connections. Faults are
//! injected into hosts, list service and processes. What happened is read from the records of hosts and clients, never from
//! what a gateway says.

#![allow(dead_code)]

pub mod classes;
pub mod clients;
pub mod gateways;
pub mod hosts;
pub mod list;
pub mod rules;
pub mod schedule;

use clients::{Clients, Ledger};
use gateways::FleetGateway;
use hosts::Host;
use list::EndpointList;
use petrelgauge_test_support::{LoopbackNetwork, SlowStart};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Last byte of the address of the first host; the others follow.
const FIRST_HOST: u8 = 1;

/// Microseconds since the fleet's start.
pub type Time = i64;

/// The clock of a fleet, shared by all its parts.
#[derive(Clone, Copy)]
pub struct Clock {
    begun: Instant,
    unix: Duration,
}

impl Clock {
    fn start(hosts_ahead_ms: i64) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let unix = Duration::from_millis((unix.as_millis() as u64).saturating_add_signed(hosts_ahead_ms));
        Clock { begun: Instant::now(), unix }
    }

    /// The time since the fleet's start.
    pub fn now(&self) -> Time {
        self.begun.elapsed().as_micros() as Time
    }

    /// The hosts' clock (Unix milliseconds).
    pub fn unix_ms(&self) -> u64 {
        (self.unix + self.begun.elapsed()).as_millis() as u64
    }

    /// Waits for this span.
    pub async fn sleep(&self, span: Duration) {
        tokio::time::sleep(span).await;
    }
}

/// A uniform sample between 0 and 1.
pub fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    rng.next_u64() as f64 / u64::MAX as f64
}

/// A uniform sample of the indices below a count; 0 if the count is 0.
pub fn index_below(rng: &mut Pcg64Mcg, count: usize) -> usize {
    (rng.next_u64() % count.max(1) as u64) as usize
}

/// The size, load and settings of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub gateways: usize,
    pub hosts: usize,
    /// Offered load, as a share of the capacity of all warm hosts.
    pub load: f64,
    /// Share of requests that are long statements.
    pub long_share: f64,
    pub slow_start: SlowStart,
    /// How far the hosts' wall clock is ahead of the gateways' (milliseconds).
    pub hosts_ahead_ms: i64,
    pub seed: u64,
}

/// A running fleet.
pub struct Fleet {
    pub plan: Plan,
    pub clock: Clock,
    pub hosts: Vec<Rc<Host>>,
    pub list: Rc<EndpointList>,
    pub gateways: Vec<Rc<FleetGateway>>,
    pub ledger: Rc<Ledger>,
    /// Offered load now, as a share of the capacity of all warm hosts.
    pub load: Rc<Cell<f64>>,
    /// What was done to the fleet and when, for the report of a failure.
    pub history: RefCell<Vec<String>>,
}

impl Fleet {
    /// Starts all parts, and waits until each gateway serves.
    async fn start(plan: Plan) -> Rc<Fleet> {
        let clock = Clock::start(plan.hosts_ahead_ms);
        let network = LoopbackNetwork::claim();
        let mut hosts = Vec::new();
        for number in 0..plan.hosts {
            hosts.push(Host::start(plan, number, network.address(FIRST_HOST + number as u8), clock));
        }
        let list = EndpointList::start(network, clock, hosts.clone()).await;
        let gateways: Vec<Rc<FleetGateway>> =
            (0..plan.gateways).map(|number| FleetGateway::new(plan, number, network, &list, clock)).collect();
        gateways.iter().for_each(|gateway| gateway.start());
        for gateway in &gateways {
            gateway.until_ready().await;
        }
        let load = Rc::new(Cell::new(plan.load));
        let ledger = Rc::new(Ledger::default());
        for gateway in &gateways {
            let clients = Clients::new(plan, clock, gateway.clone(), ledger.clone(), load.clone());
            tokio::task::spawn_local(clients.run());
        }
        Rc::new(Fleet { plan, clock, hosts, list, gateways, ledger, load, history: RefCell::default() })
    }

    /// Adds an entry to the history.
    pub fn note(&self, what: &str) {
        let at = self.clock.now() as f64 / 1e6;
        self.history.borrow_mut().push(format!("{at:.3} {what}"));
    }

    /// Waits for this span.
    pub async fn wait(&self, milliseconds: u64) {
        self.clock.sleep(Duration::from_millis(milliseconds)).await;
    }

    /// Restarts a host; the list names the start `listed_after` milliseconds later.
    pub async fn restart_host(&self, host: usize, listed_after: u64) {
        self.note(&format!("host {host} starts"));
        self.hosts[host].restart();
        self.wait(listed_after).await;
        self.list.publish_start(host);
    }

    /// Lets the list say that hosts drain.
    pub fn drain_hosts(&self, hosts: &[usize]) {
        self.note(&format!("hosts {hosts:?} drain"));
        hosts.iter().for_each(|host| self.list.publish_drain(*host));
    }
}

/// Starts a fleet, plays a schedule on it, waits until its last requests have ended, and returns it for the rules.
pub fn play<F: Future<Output = ()>>(plan: Plan, schedule: impl FnOnce(Rc<Fleet>) -> F) -> Rc<Fleet> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let fleet = Fleet::start(plan).await;
        schedule(fleet.clone()).await;
        fleet.note("no more requests");
        fleet.load.set(0.0);
        fleet.clock.sleep(classes::LONGEST_DEADLINE + clients::LATEST_ANSWER).await;
        fleet
    })
}
