//! A simulated fleet of hundreds of lease managers: clocks that drift, datagrams lost, late, duplicated and reordered,
//! links cut one way or both, stalls, crashes and restarts, all from a seed. The fleet reads true time; each gateway its
//! own clock.

use petrelgauge_ownership::{
    GatewayId, LeadershipRole, LeaseHolder, LeaseManager, Message, Notification, Outgoing,
    PrimaryAnnouncement, Settings, Term,
};
use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const ROLE: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
pub const LEASE: Time = 400_000;
pub const MAX_DELAY: Time = 20_000;
pub const ACCEPTORS: u16 = 5;
/// True time between two steps of every gateway.
const STEP: Time = 5_000;
/// True time between two effects of the lease holder.
const EFFECT_INTERVAL: Time = 50_000;
/// Clocks swing between 5% fast and 5% slow with this period.
const CLOCK_PERIOD: Time = 8_000_000;
/// Messages that wait for a stalled gateway: a socket's buffer is bounded.
const SOCKET_BUFFER: usize = 200;

pub struct SimulatedGateway {
    /// None while it is crashed.
    pub manager: Option<LeaseManager>,
    /// Where its clock is in its period, and a fixed error beside.
    pub clock_phase: Time,
    pub clock_error: Time,
    pub stalled_until: Time,
    /// What arrived while it was stalled, in order.
    pub inbox: Vec<Envelope>,
    pub starts: u64,
    /// The highest term of a notification that it admitted.
    pub admitted: Term,
}

#[derive(Clone)]
pub struct Envelope {
    pub from: GatewayId,
    pub to: GatewayId,
    pub message: Message,
}

/// The lease holder changed.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: Time,
    pub holder: LeaseHolder,
}

pub struct SimulatedFleet {
    pub now: Time,
    pub gateways: Vec<SimulatedGateway>,
    pub acceptors: Vec<GatewayId>,
    pub candidates: BTreeSet<GatewayId>,
    /// By time of arrival and sequence number.
    pub in_flight: BTreeMap<(Time, u64), Envelope>,
    pub sequence: u64,
    pub rng: Pcg64Mcg,
    /// Datagrams lost (thousandths).
    pub loss: u64,
    /// Links that are cut, by sender and receiver.
    pub cut_links: BTreeSet<(GatewayId, GatewayId)>,
    pub sent: u64,
    /// When somebody last held the lease.
    pub held_at: Time,
    pub changes: Vec<Change>,
}

impl SimulatedFleet {
    pub fn new(count: u16, seed: u64) -> SimulatedFleet {
        let acceptors: Vec<GatewayId> = (0..ACCEPTORS).map(|index| index * (count / ACCEPTORS)).collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let gateways = (0..count)
            .map(|_| SimulatedGateway {
                manager: None,
                clock_phase: (rng.next_u64() % CLOCK_PERIOD as u64) as Time,
                clock_error: 0,
                stalled_until: 0,
                inbox: Vec::new(),
                starts: 0,
                admitted: 0,
            })
            .collect();
        let mut fleet = SimulatedFleet {
            now: 1_000_000,
            gateways,
            candidates: acceptors.iter().copied().collect(),
            acceptors,
            in_flight: BTreeMap::new(),
            sequence: 0,
            rng,
            loss: 20,
            cut_links: BTreeSet::new(),
            sent: 0,
            held_at: 1_000_000,
            changes: Vec::new(),
        };
        (0..count).for_each(|id| fleet.start(id));
        fleet
    }

    /// A number below the bound.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub fn gateway(&mut self, id: GatewayId) -> &mut SimulatedGateway {
        &mut self.gateways[usize::from(id)]
    }

    /// Up to 5% fast or slow, and never more than 0.1 s from true time, beside the fixed error.
    pub fn clock(&self, id: GatewayId) -> Time {
        let gateway = &self.gateways[usize::from(id)];
        let phase = (self.now + gateway.clock_phase).rem_euclid(CLOCK_PERIOD);
        let (half, quarter) = (CLOCK_PERIOD / 2, CLOCK_PERIOD / 4);
        let swing = if phase < half { phase - quarter } else { half + quarter - phase };
        self.now + swing / 20 + gateway.clock_error
    }

    /// Starts or restarts a gateway, without any memory of before.
    pub fn start(&mut self, id: GatewayId) {
        let clock = self.clock(id);
        let settings = Settings {
            self_id: id,
            gateways: self.gateways.len() as u16,
            acceptors: self.acceptors.clone(),
            lease: LEASE,
            drift_bound: 0.05,
            max_delay: MAX_DELAY,
        };
        let seed = self.rng.next_u64();
        let mut manager = LeaseManager::new(settings, clock, seed).expect("valid settings");
        if self.candidates.contains(&id) {
            manager.campaign(clock, ROLE);
        }
        let gateway = self.gateway(id);
        gateway.starts += 1;
        gateway.manager = Some(manager);
        gateway.inbox = Vec::new();
        gateway.stalled_until = 0;
        gateway.admitted = 0;
    }

    pub fn send(&mut self, from: GatewayId, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            self.sent += 1;
            if self.cut_links.contains(&(from, to)) {
                continue;
            }
            for _ in 0..1 + u64::from(self.draw(20) == 0) {
                if self.draw(1000) < self.loss && from != to {
                    continue;
                }
                // Some take much longer than the stated delay.
                let longest = if self.draw(50) == 0 { 30 * MAX_DELAY } else { MAX_DELAY };
                let at = self.now + 1 + self.draw(longest as u64) as Time;
                self.sequence += 1;
                let envelope = Envelope { from, to, message: message.clone() };
                self.in_flight.insert((at, self.sequence), envelope);
            }
        }
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, .. } = envelope;
        let (now, clock) = (self.now, self.clock(to));
        let gateway = self.gateway(to);
        if gateway.stalled_until > now {
            if gateway.inbox.len() < SOCKET_BUFFER {
                gateway.inbox.push(envelope);
            }
            return;
        }
        let Some(manager) = &mut gateway.manager else { return };
        if let Message::Notification { role: ROLE, term, .. } = envelope.message {
            if manager.would_admit(ROLE, term) {
                let before = gateway.admitted;
                assert!(term >= before, "an effect under term {term} after one under {before}");
                gateway.admitted = term;
            }
        }
        let responses = manager.on_message(clock, from, envelope.message);
        self.send(to, responses);
    }

    /// Everybody who holds the lease at this instant, by its own clock.
    pub fn holders(&self) -> Vec<LeaseHolder> {
        let held_by = |id: GatewayId| {
            let manager = self.gateways[usize::from(id)].manager.as_ref()?;
            let term = manager.held_term(self.clock(id), ROLE)?;
            Some(LeaseHolder { gateway: id, term })
        };
        self.candidates.iter().copied().filter_map(held_by).collect()
    }

    pub fn check(&mut self) {
        let holders = self.holders();
        assert!(holders.len() <= 1, "at {}: {holders:?}", self.now);
        let Some(holder) = holders.first().copied() else { return };
        self.held_at = self.now;
        if self.changes.last().is_none_or(|last| last.holder != holder) {
            self.changes.push(Change { at: self.now, holder });
        }
    }

    /// Whether somebody has held the lease a moment ago.
    pub fn is_held(&self) -> bool {
        self.now - self.held_at < 2 * STEP
    }

    pub fn run(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            let step_end = self.now + STEP;
            self.deliver_until(step_end);
            self.now = step_end;
            for id in 0..self.gateways.len() as u16 {
                self.step(id);
            }
            self.check();
        }
    }

    fn deliver_until(&mut self, time: Time) {
        while let Some(((at, _), _)) = self.in_flight.first_key_value().filter(|((at, _), _)| *at <= time) {
            self.now = (*at).max(self.now);
            if let Some((_, envelope)) = self.in_flight.pop_first() {
                self.deliver(envelope);
            }
            self.check();
        }
    }

    /// One gateway runs: first what waits in its socket, then its deadlines, as in the program.
    pub fn step(&mut self, id: GatewayId) {
        if self.gateways[usize::from(id)].stalled_until > self.now {
            return;
        }
        let inbox = std::mem::take(&mut self.gateway(id).inbox);
        inbox.into_iter().for_each(|envelope| self.deliver(envelope));
        let clock = self.clock(id);
        let Some(manager) = &mut self.gateway(id).manager else { return };
        let mut outgoing = manager.on_deadline(clock);
        if self.candidates.contains(&id) && self.now % EFFECT_INTERVAL == 0 {
            outgoing.extend(self.effects(id, clock));
        }
        self.send(id, outgoing);
    }

    /// The lease holder's work: an effect that everybody is notified of.
    fn effects(&mut self, id: GatewayId, clock: Time) -> Vec<Outgoing> {
        let Some(manager) = &mut self.gateway(id).manager else { return Vec::new() };
        let primary = PrimaryAnnouncement { member: 7, position: clock };
        let message = manager.notification(clock, ROLE, Notification::Primary(primary));
        let Some(message) = message else { return Vec::new() };
        let others = (0..self.gateways.len() as u16).filter(|to| *to != id);
        others.map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Runs until somebody holds the lease.
    pub fn holder(&mut self) -> GatewayId {
        for _ in 0..400 {
            if let Some(holder) = self.holders().first() {
                return holder.gateway;
            }
            self.run(STEP);
        }
        panic!("nobody holds the lease");
    }

    pub fn assert_terms_increase(&self) {
        let terms: Vec<Term> = self.changes.iter().map(|change| change.holder.term).collect();
        assert!(terms.windows(2).all(|pair| pair[0] < pair[1]), "{:?}", self.changes);
    }
}
