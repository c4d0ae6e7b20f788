//! A fleet of gateway processes with emulated hosts, a list service and clients that reuse their connections.
//! Faults are injected into the hosts, the list service and the gateway processes. Invariants are checked
//! against the records of hosts and clients; of a gateway only its crashes and panics count.

#![allow(dead_code)]

pub mod classes;
pub mod clients;
pub mod crowds;
pub mod gateways;
pub mod hosts;
pub mod invariants;
pub mod list;
pub mod orders;
pub mod schedule;

use clients::{Clients, RequestLog};
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

/// Last byte of the first host's IP address; the others take the bytes that follow.
const FIRST_HOST: u8 = 1;

/// Microseconds since the fleet's start.
pub type Time = i64;

/// The clock of a fleet, shared by hosts, gateways and clients.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    fn start(hosts_ahead_ms: i64) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let unix = Duration::from_millis((unix.as_millis() as u64).saturating_add_signed(hosts_ahead_ms));
        Clock { started: Instant::now(), unix }
    }

    /// The time since the fleet's start.
    pub fn now(&self) -> Time {
        self.started.elapsed().as_micros() as Time
    }

    /// The wall clock of the hosts (Unix milliseconds).
    pub fn unix_ms(&self) -> u64 {
        (self.unix + self.started.elapsed()).as_millis() as u64
    }

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
    /// Shortest time between two steps of a gateway's decisions.
    pub granularity: Duration,
    /// How far the hosts' wall clock is ahead of the gateways' (milliseconds).
    pub hosts_ahead_ms: i64,
    /// Limits of each gateway: memory (MiB) and descriptors.
    pub memory_mb: usize,
    pub descriptors: usize,
    pub seed: u64,
}

/// A running fleet.
pub struct Fleet {
    pub plan: Plan,
    pub clock: Clock,
    pub hosts: Vec<Rc<Host>>,
    pub list: Rc<EndpointList>,
    pub gateways: Vec<Rc<FleetGateway>>,
    pub request_log: Rc<RequestLog>,
    /// The clients of each gateway.
    pub clients: Vec<Rc<Clients>>,
    /// Current offered load, as a share of the capacity of all warm hosts.
    pub load: Rc<Cell<f64>>,
    /// Faults and other actions with their times, for the report of a violation.
    pub history: RefCell<Vec<String>>,
}

impl Fleet {
    /// Starts hosts, list service, gateways and clients; waits until each gateway is ready before clients
    /// start.
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
        for gateway in &gateways {
            tokio::task::spawn_local(crowds::watch_memory(gateway.clone()));
        }
        let load = Rc::new(Cell::new(plan.load));
        let request_log = Rc::new(RequestLog::default());
        let new_clients = |gateway: &Rc<FleetGateway>| {
            Rc::new(Clients::new(plan, clock, gateway.clone(), request_log.clone(), load.clone()))
        };
        let clients: Vec<Rc<Clients>> = gateways.iter().map(new_clients).collect();
        clients.iter().for_each(|clients| drop(tokio::task::spawn_local(clients.clone().run())));
        let history = RefCell::default();
        Rc::new(Fleet { plan, clock, hosts, list, gateways, request_log, clients, load, history })
    }

    /// Adds an entry with the current time to the history.
    pub fn add_to_history(&self, what: &str) {
        let at = self.clock.now() as f64 / 1e6;
        self.history.borrow_mut().push(format!("{at:.3} {what}"));
    }

    pub async fn wait(&self, milliseconds: u64) {
        self.clock.sleep(Duration::from_millis(milliseconds)).await;
    }

    /// Restarts a host, and publishes the start in the list `listed_after` milliseconds later.
    pub async fn restart_host(&self, host: usize, listed_after: u64) {
        self.add_to_history(&format!("host {host} restarts"));
        self.hosts[host].restart();
        self.wait(listed_after).await;
        self.list.publish_start(host);
    }

    /// Publishes the hosts as draining.
    pub fn drain_hosts(&self, hosts: &[usize]) {
        self.add_to_history(&format!("hosts {hosts:?} drain"));
        hosts.iter().for_each(|host| self.list.publish_drain(*host));
    }
}

/// Starts a fleet, runs a schedule on it, and waits until its last requests have ended. Returns the fleet, so
/// that its invariants can be checked.
pub fn run_fleet<F: Future<Output = ()>>(plan: Plan, schedule: impl FnOnce(Rc<Fleet>) -> F) -> Rc<Fleet> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let fleet = Fleet::start(plan).await;
        schedule(fleet.clone()).await;
        fleet.add_to_history("offered load set to 0");
        fleet.load.set(0.0);
        fleet.clock.sleep(classes::LONGEST_DEADLINE + clients::LATEST_ANSWER).await;
        fleet
    })
}
