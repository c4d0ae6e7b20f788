//! A simulated fleet of hundreds of gateways that lend each other quota: clocks up to 5% fast or slow, datagrams lost,
//! late, duplicated and reordered, partitions, lease holders that stall and resume beside the next one, gateways that
//! restart. The sum of all quotas in force is checked whenever it can have risen: when a grant arrives, when a loan
//! expires, when a gateway restarts.

use petrelgauge_ownership::quota::{GroupGrant, MeanRate, Quota, QuotaPool, QuotaReport};
use petrelgauge_ownership::{GatewayId, Settings, Term};
use petrelgauge_policy::{GroupId, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const GROUP: GroupId = 7;
pub const LEASE: Time = 2_000_000;
pub const MAX_DELAY: Time = 20_000;
pub const SECOND: Time = 1_000_000;
/// Events that wait for a stalled gateway: a socket's buffer is bounded.
const SOCKET_BUFFER: usize = 300;
/// Request rates of idle and of loaded gateways (thousandths of a request per second).
const IDLE_RATE: u32 = 500;
const LOADED_RATE: u32 = 4_500;
/// Gateways with a higher rate count as loaded.
pub const LOADED_ABOVE: u32 = 1_000;

pub struct SimulatedGateway {
    pub quota: Quota,
    /// How much faster its clock runs than true time (fraction), and its offset at the start.
    pub clock_drift: f64,
    pub clock_offset: Time,
    pub rate: u32,
    pub stalled_until: Time,
    pub waiting: Vec<Event>,
}

#[derive(Clone)]
pub enum Event {
    Round {
        term: Term,
        round: u32,
        mean_rates: Vec<MeanRate>,
    },
    Report {
        from: GatewayId,
        report: QuotaReport,
    },
    Grant {
        number: u32,
        granted: Vec<GroupGrant>,
    },
    /// No datagram: something expires at this gateway, or is due there.
    Wake,
}

pub struct SimulatedFleet {
    pub now: Time,
    pub gateways: Vec<SimulatedGateway>,
    pub pools: BTreeMap<GatewayId, QuotaPool>,
    /// By time and sequence number, with the gateway at which each happens.
    pub events: BTreeMap<(Time, u64), (GatewayId, Event)>,
    pub sequence: u64,
    pub rng: Pcg64Mcg,
    /// Datagrams lost (thousandths).
    pub loss: u64,
    /// Gateways that are cut off from the others.
    pub cut_off: BTreeSet<GatewayId>,
    pub sent: u64,
    pub grants: u64,
    pub checks: u64,
    pub highest_sum: f64,
}

/// Quota of loaded gateways, and what they need (even quotas).
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
                stalled_until: 0,
                waiting: Vec::new(),
            })
            .collect();
        let mut fleet = SimulatedFleet {
            now: 10 * SECOND,
            gateways,
            pools: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            rng,
            loss: 20,
            cut_off: BTreeSet::new(),
            sent: 0,
            grants: 0,
            checks: 0,
            highest_sum: f64::MIN,
        };
        (0..count).for_each(|id| fleet.restart(id));
        fleet
    }

    pub fn gateway(&mut self, id: GatewayId) -> &mut SimulatedGateway {
        &mut self.gateways[usize::from(id)]
    }

    pub fn clock(&self, id: GatewayId) -> Time {
        let gateway = &self.gateways[usize::from(id)];
        (self.now as f64 * (1.0 + gateway.clock_drift)) as Time + gateway.clock_offset
    }

    /// The true time, or a moment after it, at which the gateway's clock shows this.
    pub fn true_time(&self, id: GatewayId, local: Time) -> Time {
        let gateway = &self.gateways[usize::from(id)];
        ((local - gateway.clock_offset) as f64 / (1.0 + gateway.clock_drift)).ceil() as Time + 1
    }

    pub fn restart(&mut self, id: GatewayId) {
        let number = self.rng.next_u64() as u32;
        let quota = Quota::new(settings(id, self.gateways.len() as u16), self.clock(id), number);
        self.gateway(id).quota = quota;
        self.pools.remove(&id);
        self.check_sum();
    }

    pub fn schedule(&mut self, at: Time, to: GatewayId, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), (to, event));
    }

    pub fn send(&mut self, from: GatewayId, to: GatewayId, event: Event) {
        self.sent += 1;
        if from == to {
            return self.schedule(self.now, to, event);
        }
        if self.cut_off.contains(&from) != self.cut_off.contains(&to) {
            return;
        }
        for _ in 0..1 + u64::from(self.rng.next_u64().is_multiple_of(20)) {
            if self.rng.next_u64() % 1000 < self.loss {
                continue;
            }
            // Some take much longer than the stated delay.
            let is_slow = self.rng.next_u64().is_multiple_of(50);
            let longest = if is_slow { 60 * MAX_DELAY } else { MAX_DELAY };
            let at = self.now + 1 + (self.rng.next_u64() % longest as u64) as Time;
            self.schedule(at, to, event.clone());
        }
    }

    /// This gateway takes itself for the lease holder, under this term.
    pub fn elect(&mut self, id: GatewayId, term: Term) {
        self.pools.insert(id, QuotaPool::new(settings(id, self.gateways.len() as u16), term));
        self.schedule(self.now, id, Event::Wake);
    }

    /// What a gateway may use now (even quotas).
    pub fn quota_of(&self, id: GatewayId) -> f64 {
        let clock = self.clock(id);
        self.gateways[usize::from(id)].quota.current(clock, GROUP).at(clock)
    }

    pub fn check_sum(&mut self) {
        let excess: f64 = (0..self.gateways.len() as u16).map(|id| self.quota_of(id) - 1.0).sum();
        self.checks += 1;
        self.highest_sum = self.highest_sum.max(excess);
        assert!(excess < 1e-6, "{excess} even quotas too many are in force at {}", self.now);
    }

    pub fn deliver(&mut self, id: GatewayId, event: Event) {
        let now = self.now;
        let gateway = self.gateway(id);
        if gateway.stalled_until > now {
            if gateway.waiting.len() < SOCKET_BUFFER {
                gateway.waiting.push(event);
            }
            return;
        }
        let clock = self.clock(id);
        match event {
            Event::Round { term, round, mean_rates } => {
                let quota = &mut self.gateway(id).quota;
                quota.on_round(clock, term, round, &mean_rates);
                if let Some(due) = quota.next_deadline() {
                    let at = self.true_time(id, due);
                    self.schedule(at.max(self.now), id, Event::Wake);
                }
            }
            Event::Report { from, report } => self.deliver_report(id, clock, from, &report),
            Event::Grant { number, granted } => {
                self.gateway(id).quota.on_grant(clock, number, &granted);
                self.grants += 1;
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
            self.schedule(at, id, Event::Wake);
        }
        for report in reports {
            let mut holders = self.pools.iter().filter(|(_, pool)| pool.term() == report.term);
            if let Some(holder) = holders.next().map(|(holder, _)| *holder) {
                self.send(id, holder, Event::Report { from: id, report });
            }
        }
        // Something may have expired here.
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
        self.schedule(at, id, Event::Wake);
    }

    pub fn run(&mut self, span: Time) {
        let until = self.now + span;
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), (to, event))) = self.events.pop_first() else { break };
            self.now = self.now.max(at);
            self.deliver(to, event);
        }
        self.now = until;
    }

    pub fn stall(&mut self, id: GatewayId, span: Time) {
        let until = self.now + span;
        self.gateway(id).stalled_until = until;
    }

    pub fn resume(&mut self, id: GatewayId) {
        self.gateway(id).stalled_until = 0;
        let waiting = std::mem::take(&mut self.gateway(id).waiting);
        self.check_sum();
        waiting.into_iter().for_each(|event| self.deliver(id, event));
        self.schedule(self.now, id, Event::Wake);
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
