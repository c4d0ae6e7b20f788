//! Hundreds of offices in simulated time, with clocks that drift, datagrams that are lost, late, doubled and out of
//! order, links cut one way or both, stalls, crashes and restarts, all from a seed. The world reads true time; each
//! manager its own clock.

use petrelgauge_ownership::{LeadershipRole, LeaseManager, Message, Notification, Settings, Term};
use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const ROLE: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
pub const LEASE: Time = 400_000;
pub const DELAY: Time = 20_000;

pub struct Machine {
    pub manager: Option<LeaseManager>,
    /// Where its clock is in its turn between fast and slow, and what it is wrong by beside.
    pub shift: Time,
    pub skew: Time,
    pub stalled_until: Time,
    /// What came while it stood still, in order.
    pub inbox: Vec<(u16, Message)>,
    pub starts: u64,
    /// The highest term of a word that it took.
    pub took: Term,
}

pub struct World {
    pub now: Time,
    pub machines: Vec<Machine>,
    pub acceptors: Vec<u16>,
    pub candidates: BTreeSet<u16>,
    /// By the time of arrival and a number.
    pub flying: BTreeMap<(Time, u64), (u16, u16, Message)>,
    pub next: u64,
    pub rng: Pcg64Mcg,
    pub loss: u64,
    pub cut: BTreeSet<(u16, u16)>,
    pub sent: u64,
    pub owned_at: Time,
    /// Lease holder and term at each change.
    pub reigns: Vec<(Time, u16, Term)>,
}

impl World {
    pub fn new(count: u16, seed: u64) -> World {
        let acceptors: Vec<u16> = (0..5).map(|place| place * (count / 5)).collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let machines = (0..count)
            .map(|_| Machine {
                manager: None,
                shift: (rng.next_u64() % 8_000_000) as Time,
                skew: 0,
                stalled_until: 0,
                inbox: Vec::new(),
                starts: 0,
                took: 0,
            })
            .collect();
        let (cut, flying, reigns) = (BTreeSet::new(), BTreeMap::new(), Vec::new());
        let candidates = acceptors.iter().copied().collect();
        let mut world = World {
            now: 1_000_000,
            machines,
            acceptors,
            candidates,
            flying,
            next: 0,
            rng,
            loss: 20,
            cut,
            sent: 0,
            owned_at: 1_000_000,
            reigns,
        };
        (0..count).for_each(|me| world.start(me));
        world
    }

    pub fn draw(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    pub fn clock(&self, me: u16) -> Time {
        // Up to 5% fast or slow, and never more than 0.1 s from the true time: 2 s the one way, 2 s the other.
        let Machine { shift, skew, .. } = &self.machines[me as usize];
        let turn = (self.now + shift).rem_euclid(8_000_000);
        let off = if turn < 4_000_000 { turn - 2_000_000 } else { 6_000_000 - turn };
        self.now + off / 20 + skew
    }

    pub fn start(&mut self, me: u16) {
        let (clock, gateways) = (self.clock(me), self.machines.len() as u16);
        let acceptors = self.acceptors.clone();
        let settings =
            Settings { self_id: me, gateways, acceptors, lease: LEASE, drift_bound: 0.05, max_delay: DELAY };
        let seed = self.rng.next_u64();
        let mut manager = LeaseManager::new(settings, clock, seed).expect("sound settings");
        if self.candidates.contains(&me) {
            manager.campaign(clock, ROLE);
        }
        let machine = &mut self.machines[me as usize];
        machine.starts += 1;
        (machine.manager, machine.inbox, machine.stalled_until) = (Some(manager), Vec::new(), 0);
        machine.took = 0;
    }

    pub fn send(&mut self, from: u16, sent: Vec<(u16, Message)>) {
        for (to, message) in sent {
            self.sent += 1;
            if self.cut.contains(&(from, to)) {
                continue;
            }
            for _ in 0..1 + u64::from(self.draw(20) == 0) {
                if self.draw(1000) < self.loss && from != to {
                    continue;
                }
                // Few come later than the stated delay, by a lot.
                let late = if self.draw(50) == 0 { 30 * DELAY } else { DELAY };
                let at = self.now + 1 + self.draw(late as u64) as Time;
                self.next += 1;
                self.flying.insert((at, self.next), (from, to, message.clone()));
            }
        }
    }

    pub fn arrive(&mut self, from: u16, to: u16, message: Message) {
        let clock = self.clock(to);
        let stalled = self.machines[to as usize].stalled_until > self.now;
        let machine = &mut self.machines[to as usize];
        if stalled {
            // The socket's buffer has an end.
            if machine.inbox.len() < 200 {
                machine.inbox.push((from, message));
            }
            return;
        }
        let Some(manager) = &mut machine.manager else { return };
        if let Message::Notification(ROLE, term, _) = message {
            if manager.would_admit(ROLE, term) {
                assert!(term >= machine.took, "an effect under term {term} after one under {}", machine.took);
                machine.took = term;
            }
        }
        let answers = manager.on_message(clock, from, message);
        self.send(to, answers);
    }

    /// Everybody who may act at this instant, by its own clock.
    pub fn owners(&self) -> Vec<(u16, Term)> {
        let candidates = self.candidates.iter().copied();
        let may = |me: u16| {
            let manager = self.machines[me as usize].manager.as_ref()?;
            Some((me, manager.held_term(self.clock(me), ROLE)?))
        };
        candidates.filter_map(may).collect()
    }

    pub fn look(&mut self) {
        let owners = self.owners();
        assert!(owners.len() <= 1, "at {}: {owners:?}", self.now);
        let Some((me, term)) = owners.first().copied() else { return };
        self.owned_at = self.now;
        if self.reigns.last().is_none_or(|(_, who, last)| (*who, *last) != (me, term)) {
            self.reigns.push((self.now, me, term));
        }
    }

    /// Plays for so long.
    pub fn run(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            let step = self.now + 5_000;
            while let Some(((at, _), _)) = self.flying.first_key_value().filter(|((at, _), _)| *at <= step) {
                self.now = (*at).max(self.now);
                if let Some((_, (from, to, message))) = self.flying.pop_first() {
                    self.arrive(from, to, message);
                }
                self.look();
            }
            self.now = step;
            for me in 0..self.machines.len() as u16 {
                self.step(me);
            }
            self.look();
        }
    }

    pub fn step(&mut self, me: u16) {
        if self.machines[me as usize].stalled_until > self.now {
            return;
        }
        // It wakes: first what lay in the socket, then what is due, as the program does.
        let inbox = std::mem::take(&mut self.machines[me as usize].inbox);
        for (from, message) in inbox {
            self.arrive(from, me, message);
        }
        let clock = self.clock(me);
        let Some(manager) = &mut self.machines[me as usize].manager else { return };
        let mut sent = manager.on_deadline(clock);
        if self.candidates.contains(&me) && self.now % 50_000 == 0 {
            // The lease holder's work: an effect that everybody hears of.
            if let Some(word) =
                manager.notification(clock, ROLE, Notification::Primary { member: 7, position: clock })
            {
                sent.extend(
                    (0..self.machines.len() as u16).filter(|to| *to != me).map(|to| (to, word.clone())),
                );
            }
        }
        self.send(me, sent);
    }

    pub fn owner(&mut self) -> u16 {
        for _ in 0..400 {
            if let Some((me, _)) = self.owners().first() {
                return *me;
            }
            self.run(5_000);
        }
        panic!("nobody owns the role");
    }

    pub fn terms_rise(&self) {
        let terms: Vec<Term> = self.reigns.iter().map(|(_, _, term)| *term).collect();
        assert!(terms.windows(2).all(|pair| pair[0] < pair[1]), "{:?}", self.reigns);
    }
}
