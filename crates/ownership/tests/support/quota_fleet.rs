//! Hundreds of gateways that share out what a group's members bear, in simulated time: clocks up to 5% fast or slow,
//! datagrams lost, late, doubled and out of order, links cut, lease holders that stall and wake up beside the next one, gateways
//! that start again. The sum of all quotas in force is looked at whenever it can have risen: when a grant is taken, when a
//! loan ends, when a gateway starts again.

use petrelgauge_ownership::quota::{Milli, Quota, QuotaPool, QuotaReport};
use petrelgauge_ownership::Settings;
use petrelgauge_policy::{GroupId, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const GROUP: GroupId = 7;
pub const LEASE: Time = 2_000_000;
pub const DELAY: Time = 20_000;
pub const SECOND: Time = 1_000_000;

pub struct Machine {
    pub quota: Quota,
    /// What its clock gains, and how far it was ahead at first.
    pub gains: f64,
    pub ahead: Time,
    pub rate: u32,
    pub stalled_until: Time,
    pub waiting: Vec<Flying>,
}

#[derive(Clone)]
pub enum Flying {
    Round(u64, u32, Vec<(GroupId, u32)>),
    Lines(u16, QuotaReport),
    Grant(u32, Vec<(GroupId, Milli)>),
    /// Nothing flies: something ends at this machine, or is due there.
    Wake,
}

pub struct World {
    pub now: Time,
    pub machines: Vec<Machine>,
    pub pools: BTreeMap<u16, QuotaPool>,
    pub events: BTreeMap<(Time, u64), (u16, Flying)>,
    pub next: u64,
    pub rng: Pcg64Mcg,
    pub loss: u64,
    pub cut: BTreeSet<u16>,
    pub sent: u64,
    pub grants: u64,
    pub looks: u64,
    pub highest: f64,
}

impl World {
    pub fn new(count: u16, seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let machines = (0..count)
            .map(|me| Machine {
                quota: Quota::new(settings(me, count), 0, 0),
                gains: (rng.next_u64() % 1001) as f64 / 10_000.0 - 0.05,
                ahead: (rng.next_u64() % 5_000_000) as Time,
                // One in ten has nine times what the others have.
                rate: if me % 10 == 3 { 4_500 } else { 500 },
                stalled_until: 0,
                waiting: Vec::new(),
            })
            .collect();
        let (pools, events, cut) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        let mut world = World {
            now: 10 * SECOND,
            machines,
            pools,
            events,
            next: 0,
            rng,
            loss: 20,
            cut,
            sent: 0,
            grants: 0,
            looks: 0,
            highest: f64::MIN,
        };
        (0..count).for_each(|me| world.start(me));
        world
    }

    pub fn clock(&self, me: u16) -> Time {
        let Machine { gains, ahead, .. } = &self.machines[me as usize];
        (self.now as f64 * (1.0 + gains)) as Time + ahead
    }

    /// The true time, or a moment after it, at which its clock shows this.
    pub fn when(&self, me: u16, local: Time) -> Time {
        let Machine { gains, ahead, .. } = &self.machines[me as usize];
        ((local - ahead) as f64 / (1.0 + gains)).ceil() as Time + 1
    }

    pub fn start(&mut self, me: u16) {
        let number = self.rng.next_u64() as u32;
        let quota = Quota::new(settings(me, self.machines.len() as u16), self.clock(me), number);
        self.machines[me as usize].quota = quota;
        self.pools.remove(&me);
        self.look();
    }

    pub fn at(&mut self, at: Time, to: u16, event: Flying) {
        self.next += 1;
        self.events.insert((at, self.next), (to, event));
    }

    pub fn send(&mut self, from: u16, to: u16, event: Flying) {
        self.sent += 1;
        if from == to {
            return self.at(self.now, to, event);
        }
        if self.cut.contains(&from) != self.cut.contains(&to) {
            return;
        }
        for _ in 0..1 + u64::from(self.rng.next_u64().is_multiple_of(20)) {
            if self.rng.next_u64() % 1000 < self.loss {
                continue;
            }
            // Few come later than the stated delay, by a lot.
            let late = if self.rng.next_u64().is_multiple_of(50) { 60 * DELAY } else { DELAY };
            let at = self.now + 1 + (self.rng.next_u64() % late as u64) as Time;
            self.at(at, to, event.clone());
        }
    }

    /// This machine takes itself for the lease holder, under this term.
    pub fn own(&mut self, me: u16, term: u64) {
        self.pools.insert(me, QuotaPool::new(settings(me, self.machines.len() as u16), term));
        self.at(self.now, me, Flying::Wake);
    }

    pub fn sum(&self) -> f64 {
        let extra = |me: u16| {
            let clock = self.clock(me);
            self.machines[me as usize].quota.current(clock, GROUP).at(clock) - 1.0
        };
        (0..self.machines.len() as u16).map(extra).sum()
    }

    pub fn look(&mut self) {
        let sum = self.sum();
        self.looks += 1;
        self.highest = self.highest.max(sum);
        assert!(sum < 1e-6, "{sum} even quotas more than there are are in force at {}", self.now);
    }

    pub fn arrive(&mut self, me: u16, event: Flying) {
        let machine = &mut self.machines[me as usize];
        if machine.stalled_until > self.now {
            // The socket's buffer has an end.
            if machine.waiting.len() < 300 {
                machine.waiting.push(event);
            }
            return;
        }
        let clock = self.clock(me);
        match event {
            Flying::Round(term, round, means) => {
                let quota = &mut self.machines[me as usize].quota;
                quota.on_round(clock, term, round, &means);
                if let Some(due) = quota.next_deadline() {
                    let at = self.when(me, due);
                    self.at(at.max(self.now), me, Flying::Wake);
                }
            }
            Flying::Lines(from, QuotaReport { term, round, number, lines }) => {
                let Some(pool) = self.pools.get_mut(&me).filter(|pool| pool.term() == term) else { return };
                let granted = pool.on_report(clock, from, round, &lines);
                if !granted.is_empty() {
                    self.send(me, from, Flying::Grant(number, granted));
                }
            }
            Flying::Grant(number, granted) => {
                self.machines[me as usize].quota.on_grant(clock, number, &granted);
                self.grants += 1;
                self.look();
            }
            Flying::Wake => self.wake(me, clock),
        }
    }

    pub fn wake(&mut self, me: u16, clock: Time) {
        if let Some(pool) = self.pools.get_mut(&me) {
            if clock >= pool.next_deadline() {
                let term = pool.term();
                let (round, pieces) = pool.open_round(clock);
                let due = pool.next_deadline();
                for means in pieces {
                    for to in 0..self.machines.len() as u16 {
                        self.send(me, to, Flying::Round(term, round, means.clone()));
                    }
                }
                let at = self.when(me, due);
                self.at(at, me, Flying::Wake);
            }
        }
        let machine = &mut self.machines[me as usize];
        let rates = BTreeMap::from([(GROUP, machine.rate)]);
        let answers = machine.quota.due_reports(clock, &rates);
        let until = machine.quota.current(clock, GROUP).until;
        if !answers.is_empty() {
            let at = self.when(me, until).max(self.now);
            self.at(at, me, Flying::Wake);
        }
        for answer in answers {
            let owner = self.pools.iter().find(|(_, pool)| pool.term() == answer.term).map(|(who, _)| *who);
            if let Some(owner) = owner {
                self.send(me, owner, Flying::Lines(me, answer));
            }
        }
        // Something may have ended here.
        self.look();
    }

    pub fn run(&mut self, span: Time) {
        let until = self.now + span;
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), (to, event))) = self.events.pop_first() else { break };
            self.now = self.now.max(at);
            self.arrive(to, event);
        }
        self.now = until;
    }

    pub fn stall(&mut self, me: u16, span: Time) {
        self.machines[me as usize].stalled_until = self.now + span;
    }

    pub fn awake(&mut self, me: u16) {
        self.machines[me as usize].stalled_until = 0;
        let waiting = std::mem::take(&mut self.machines[me as usize].waiting);
        self.look();
        waiting.into_iter().for_each(|event| self.arrive(me, event));
        self.at(self.now, me, Flying::Wake);
    }

    /// What gateways with much work have, beside what they need for it, in even quotas.
    pub fn heavy(&self) -> (f64, f64) {
        let mean = self.machines.iter().map(|m| f64::from(m.rate)).sum::<f64>() / self.machines.len() as f64;
        let heavy = || (0..self.machines.len() as u16).filter(|me| self.machines[*me as usize].rate > 1000);
        let quota = |me: u16| {
            let clock = self.clock(me);
            self.machines[me as usize].quota.current(clock, GROUP).at(clock)
        };
        let count = heavy().count() as f64;
        (heavy().map(quota).sum::<f64>() / count, 4_500.0 / mean)
    }
}

pub fn settings(me: u16, gateways: u16) -> Settings {
    let third = gateways / 3;
    Settings {
        self_id: me,
        gateways,
        acceptors: vec![0, third, 2 * third],
        lease: LEASE,
        drift_bound: 0.05,
        max_delay: DELAY,
    }
}
