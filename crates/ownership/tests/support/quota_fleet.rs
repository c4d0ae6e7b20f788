//! A simulated fleet of hundreds of gateways that lend each other quota, with clocks up to 5% fast or slow, a
//! faulty network, partitions, restarts, and lease holders that stall and resume after another one was
//! elected. The sum of all quotas in force is checked whenever it may have risen: when a grant arrives, a
//! loan expires or a gateway restarts.

use crate::simulated_network::{Envelope, NetworkFaults, Ratio, SimulatedNetwork};
use crate::stallable_socket::StallableSocket;
use petrelgauge_ownership::quota::{GroupGrant, MeanRate, Quota, QuotaPool, QuotaReport};
use petrelgauge_ownership::{GatewayId, Settings, Term};
use petrelgauge_policy::{GroupId, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

pub const GROUP: GroupId = 7;
pub const LEASE: Time = 2_000_000;
pub const MAX_DELAY: Time = 20_000;
pub const SECOND: Time = 1_000_000;
/// Number of events that a gateway's socket can buffer.
const SOCKET_CAPACITY: usize = 300;
const NETWORK_FAULTS: NetworkFaults = NetworkFaults {
    max_delay: MAX_DELAY,
    lost: Ratio { count: 20, of: 1000 },
    slow: Ratio::one_in(50),
    slow_factor: 60,
    loopback_is_lossy: false,
};
/// Request rates of idle and of loaded gateways (thousandths of a request per second).
const IDLE_RATE: u32 = 500;
const LOADED_RATE: u32 = 4_500;
/// Gateways with a higher rate count as loaded.
pub const LOADED_ABOVE: u32 = 1_000;

pub struct SimulatedGateway {
    pub quota: Quota,
    /// How much faster than true time its clock runs (fraction); negative if slower.
    pub clock_drift: f64,
    /// Time on its clock at true time 0.
    pub clock_offset: Time,
    pub rate: u32,
    pub socket: StallableSocket<Event>,
}

#[derive(Clone)]
pub enum Event {
    Round {
        term: Term,
        round: u32,
        mean_rates: Vec<MeanRate>,
    },
    Report(QuotaReport),
    Grant {
        number: u32,
        granted: Vec<GroupGrant>,
    },
    /// A timer of the gateway, for an expiry or a deadline. Not a datagram.
    Wake,
}

pub struct SimulatedFleet {
    pub now: Time,
    pub gateways: Vec<SimulatedGateway>,
    pub pools: BTreeMap<GatewayId, QuotaPool>,
    pub network: SimulatedNetwork<Event>,
    pub grant_count: u64,
    pub check_count: u64,
    /// Highest excess of the sum of quotas in force over the sum of even quotas (in even quotas).
    pub highest_excess: f64,
}

/// Mean quota of loaded gateways, and the quota that each of them needs (in even quotas).
pub struct LoadedQuota {
    pub mean: f64,
    pub needed: f64,
}

impl SimulatedFleet {
    pub fn new(count: u16, seed: u64) -> SimulatedFleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let gateways = (0..count)
            .map(|id| SimulatedGateway {
                quota: Quota::new(settings(id, count), 0, 0),
                clock_drift: (rng.next_u64() % 1001) as f64 / 10_000.0 - 0.05,
                clock_offset: (rng.next_u64() % 5_000_000) as Time,
                rate: if id % 10 == 3 { LOADED_RATE } else { IDLE_RATE },
                socket: StallableSocket::new(SOCKET_CAPACITY),
            })
            .collect();
        let mut fleet = SimulatedFleet {
            now: 10 * SECOND,
            gateways,
            pools: BTreeMap::new(),
            network: SimulatedNetwork::new(rng, NETWORK_FAULTS),
            grant_count: 0,
            check_count: 0,
            highest_excess: f64::MIN,
        };
        (0..count).for_each(|id| fleet.restart(id));
        fleet
    }

    pub fn gateway(&mut self, id: GatewayId) -> &mut SimulatedGateway {
        &mut self.gateways[usize::from(id)]
    }

    /// The time on a gateway's clock.
    fn clock(&self, id: GatewayId) -> Time {
        let gateway = &self.gateways[usize::from(id)];
        (self.now as f64 * (1.0 + gateway.clock_drift)) as Time + gateway.clock_offset
    }

    /// The true time at which the gateway's clock shows `local_time`, rounded up.
    fn true_time(&self, id: GatewayId, local_time: Time) -> Time {
        let gateway = &self.gateways[usize::from(id)];
        ((local_time - gateway.clock_offset) as f64 / (1.0 + gateway.clock_drift)).ceil() as Time + 1
    }

    /// Restarts a gateway without any state from earlier runs.
    pub fn restart(&mut self, id: GatewayId) {
        let number = self.network.rng.next_u64() as u32;
        let quota = Quota::new(settings(id, self.gateways.len() as u16), self.clock(id), number);
        self.gateway(id).quota = quota;
        self.pools.remove(&id);
        self.check_sum();
    }

    fn wake_at(&mut self, at: Time, id: GatewayId) {
        self.network.schedule(at, Envelope { from: id, to: id, message: Event::Wake });
    }

    /// Sends a datagram. A datagram from a gateway to itself arrives immediately.
    fn send(&mut self, from: GatewayId, to: GatewayId, event: Event) {
        let envelope = Envelope { from, to, message: event };
        if from == to {
            self.network.sent += 1;
            self.network.schedule(self.now, envelope);
        } else {
            self.network.send(self.now, &envelope);
        }
    }

    /// Makes a gateway believe that it holds the lease under this term.
    pub fn elect(&mut self, id: GatewayId, term: Term) {
        self.pools.insert(id, QuotaPool::new(settings(id, self.gateways.len() as u16), term));
        self.wake_at(self.now, id);
    }

    /// The quota that a gateway may use now (in even quotas).
    pub fn quota_of(&self, id: GatewayId) -> f64 {
        let clock = self.clock(id);
        self.gateways[usize::from(id)].quota.current(clock, GROUP).at(clock)
    }

    /// Checks that the sum of quotas in force doesn't exceed the sum of even quotas.
    fn check_sum(&mut self) {
        let excess: f64 = (0..self.gateways.len() as u16).map(|id| self.quota_of(id) - 1.0).sum();
        self.check_count += 1;
        self.highest_excess = self.highest_excess.max(excess);
        assert!(excess < 1e-6, "quotas in force exceed the even quotas by {excess} at {}", self.now);
    }

    fn deliver(&mut self, envelope: Envelope<Event>) {
        let (now, id) = (self.now, envelope.to);
        let received = self.gateway(id).socket.receive(now, envelope);
        let Some(Envelope { from, message: event, .. }) = received else { return };
        let clock = self.clock(id);
        match event {
            Event::Round { term, round, mean_rates } => {
                let quota = &mut self.gateway(id).quota;
                quota.on_round(clock, term, round, &mean_rates);
                if let Some(due) = quota.next_deadline() {
                    let at = self.true_time(id, due);
                    self.wake_at(at.max(self.now), id);
                }
            }
            Event::Report(report) => self.deliver_report(id, clock, from, &report),
            Event::Grant { number, granted } => {
                self.gateway(id).quota.on_grant(clock, number, &granted);
                self.grant_count += 1;
                self.check_sum();
            }
            Event::Wake => self.wake(id, clock),
        }
    }

    fn deliver_report(&mut self, id: GatewayId, clock: Time, from: GatewayId, report: &QuotaReport) {
        let pool = self.pools.get_mut(&id).filter(|pool| pool.term() == report.term);
        let Some(pool) = pool else { return };
        let granted = pool.on_report(clock, from, report.round, &report.demands);
        if !granted.is_empty() {
            self.send(id, from, Event::Grant { number: report.number, granted });
        }
    }

    fn wake(&mut self, id: GatewayId, clock: Time) {
        self.open_round(id, clock);
        let gateway = self.gateway(id);
        let rates = BTreeMap::from([(GROUP, gateway.rate)]);
        let reports = gateway.quota.due_reports(clock, &rates);
        let until = gateway.quota.current(clock, GROUP).until;
        if !reports.is_empty() {
            let at = self.true_time(id, until).max(self.now);
            self.wake_at(at, id);
        }
        for report in reports {
            let mut holders = self.pools.iter().filter(|(_, pool)| pool.term() == report.term);
            if let Some(holder) = holders.next().map(|(holder, _)| *holder) {
                self.send(id, holder, Event::Report(report));
            }
        }
        // The wake-up may be due to an expired loan or grant.
        self.check_sum();
    }

    fn open_round(&mut self, id: GatewayId, clock: Time) {
        let Some(pool) = self.pools.get_mut(&id).filter(|pool| clock >= pool.next_deadline()) else { return };
        let term = pool.term();
        let round = pool.open_round(clock);
        let due = pool.next_deadline();
        for mean_rates in round.parts {
            for to in 0..self.gateways.len() as u16 {
                let mean_rates = mean_rates.clone();
                self.send(id, to, Event::Round { term, round: round.number, mean_rates });
            }
        }
        let at = self.true_time(id, due);
        self.wake_at(at, id);
    }

    pub fn run(&mut self, span: Time) {
        let until = self.now + span;
        while let Some(delivery) = self.network.next_delivery(until) {
            self.now = self.now.max(delivery.at);
            self.deliver(delivery.envelope);
        }
        self.now = until;
    }

    pub fn stall(&mut self, id: GatewayId, span: Time) {
        let until = self.now + span;
        self.gateway(id).socket.stalled_until = until;
    }

    pub fn resume(&mut self, id: GatewayId) {
        let socket = &mut self.gateway(id).socket;
        socket.stalled_until = 0;
        let buffered = socket.take_buffered();
        self.check_sum();
        buffered.into_iter().for_each(|envelope| self.deliver(envelope));
        self.wake_at(self.now, id);
    }

    pub fn loaded_quota(&self) -> LoadedQuota {
        let rates = self.gateways.iter().map(|gateway| f64::from(gateway.rate));
        let mean_rate = rates.sum::<f64>() / self.gateways.len() as f64;
        let is_loaded = |id: &GatewayId| self.gateways[usize::from(*id)].rate > LOADED_ABOVE;
        let loaded: Vec<GatewayId> = (0..self.gateways.len() as u16).filter(is_loaded).collect();
        let sum: f64 = loaded.iter().map(|id| self.quota_of(*id)).sum();
        LoadedQuota { mean: sum / loaded.len() as f64, needed: f64::from(LOADED_RATE) / mean_rate }
    }
}

pub fn settings(self_id: GatewayId, gateways: u16) -> Settings {
    let third = gateways / 3;
    let acceptors = vec![0, third, 2 * third];
    Settings { self_id, gateways, acceptors, lease: LEASE, drift_bound: 0.05, max_delay: MAX_DELAY }
}
