//! A simulated fleet of hundreds of lease managers, with drifting clocks, a faulty network, stalls, crashes
//! and restarts, all determined by a seed. The simulation runs in true time; each gateway reads its own
//! clock.

use crate::simulated_network::{Envelope, NetworkFaults, Ratio, SimulatedNetwork};
use crate::stallable_socket::StallableSocket;
use petrelgauge_ownership::{
    GatewayId, LeadershipRole, LeaseHolder, LeaseManager, Message, Notification, Outgoing,
    PrimaryAnnouncement, Settings, Term,
};
use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

pub const ROLE: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
pub const LEASE: Time = 400_000;
pub const MAX_DELAY: Time = 20_000;
pub const ACCEPTORS: u16 = 5;
/// Interval between steps of each gateway, in true time.
const STEP: Time = 5_000;
/// Interval between effects of the lease holder, in true time.
const EFFECT_INTERVAL: Time = 50_000;
/// Period with which clocks alternate between 5% fast and 5% slow.
const CLOCK_PERIOD: Time = 8_000_000;
/// Number of messages that a gateway's socket can buffer.
const SOCKET_CAPACITY: usize = 200;
const NETWORK_FAULTS: NetworkFaults = NetworkFaults {
    max_delay: MAX_DELAY,
    lost: Ratio { count: 20, of: 1000 },
    slow: Ratio::one_in(50),
    slow_factor: 30,
    loopback_is_lossy: false,
};

pub struct SimulatedGateway {
    /// `None` after a crash, until the gateway is started again.
    pub manager: Option<LeaseManager>,
    /// Offset within [`CLOCK_PERIOD`] of its clock's alternation.
    pub clock_phase: Time,
    /// Constant error of its clock in addition to the alternation.
    pub clock_error: Time,
    pub socket: StallableSocket<Message>,
    /// Highest term of the notifications that it has admitted.
    pub highest_admitted: Term,
}

/// A change of the lease holder.
#[derive(Clone, Copy, Debug)]
pub struct HolderChange {
    pub at: Time,
    pub holder: LeaseHolder,
}

pub struct SimulatedFleet {
    pub now: Time,
    pub gateways: Vec<SimulatedGateway>,
    pub acceptors: Vec<GatewayId>,
    pub candidates: BTreeSet<GatewayId>,
    pub network: SimulatedNetwork<Message>,
    /// When a gateway last held the lease.
    pub held_at: Time,
    pub holder_changes: Vec<HolderChange>,
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
                socket: StallableSocket::new(SOCKET_CAPACITY),
                highest_admitted: 0,
            })
            .collect();
        let mut fleet = SimulatedFleet {
            now: 1_000_000,
            gateways,
            candidates: acceptors.iter().copied().collect(),
            acceptors,
            network: SimulatedNetwork::new(rng, NETWORK_FAULTS),
            held_at: 1_000_000,
            holder_changes: Vec::new(),
        };
        (0..count).for_each(|id| fleet.start(id));
        fleet
    }

    pub fn gateway(&mut self, id: GatewayId) -> &mut SimulatedGateway {
        &mut self.gateways[usize::from(id)]
    }

    /// The lease manager of a gateway that is running.
    pub fn manager(&mut self, id: GatewayId) -> &mut LeaseManager {
        self.gateway(id).manager.as_mut().expect("the gateway is running")
    }

    pub fn stall(&mut self, id: GatewayId, span: Time) {
        let until = self.now + span;
        self.gateway(id).socket.stalled_until = until;
    }

    pub fn crash(&mut self, id: GatewayId) {
        self.gateway(id).manager = None;
    }

    /// The time on a gateway's clock. Its rate is up to 5% fast or slow, and it is at most 0.1 s from true
    /// time, plus its constant error.
    pub fn clock(&self, id: GatewayId) -> Time {
        let gateway = &self.gateways[usize::from(id)];
        let phase = (self.now + gateway.clock_phase).rem_euclid(CLOCK_PERIOD);
        let (half, quarter) = (CLOCK_PERIOD / 2, CLOCK_PERIOD / 4);
        let deviation = if phase < half { phase - quarter } else { half + quarter - phase };
        self.now + deviation / 20 + gateway.clock_error
    }

    /// Starts or restarts a gateway without any state from earlier runs.
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
        let seed = self.network.rng.next_u64();
        let mut manager = LeaseManager::new(settings, clock, seed).expect("valid settings");
        if self.candidates.contains(&id) {
            manager.campaign(clock, ROLE);
        }
        let gateway = self.gateway(id);
        gateway.manager = Some(manager);
        gateway.socket = StallableSocket::new(SOCKET_CAPACITY);
        gateway.highest_admitted = 0;
    }

    fn send(&mut self, from: GatewayId, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            self.network.send(self.now, &Envelope { from, to, message });
        }
    }

    fn deliver(&mut self, envelope: Envelope<Message>) {
        let (now, to) = (self.now, envelope.to);
        let clock = self.clock(to);
        let gateway = self.gateway(to);
        let Some(Envelope { from, message, .. }) = gateway.socket.receive(now, envelope) else { return };
        let Some(manager) = &mut gateway.manager else { return };
        if let Message::Notification { role: ROLE, term, .. } = message {
            if manager.would_admit(ROLE, term) {
                let highest = gateway.highest_admitted;
                assert!(
                    term >= highest,
                    "admitted an effect under term {term} after one under term {highest}"
                );
                gateway.highest_admitted = term;
            }
        }
        let responses = manager.on_message(clock, from, message);
        self.send(to, responses);
    }

    /// All gateways that hold the lease now, each by its own clock.
    pub fn holders(&self) -> Vec<LeaseHolder> {
        let held_by = |id: GatewayId| {
            let manager = self.gateways[usize::from(id)].manager.as_ref()?;
            let term = manager.held_term(self.clock(id), ROLE)?;
            Some(LeaseHolder { gateway: id, term })
        };
        self.candidates.iter().copied().filter_map(held_by).collect()
    }

    /// Checks that at most one gateway holds the lease, and records changes of the holder.
    fn check_holders(&mut self) {
        let holders = self.holders();
        assert!(holders.len() <= 1, "at {}: {holders:?}", self.now);
        let Some(holder) = holders.first().copied() else { return };
        self.held_at = self.now;
        if self.holder_changes.last().is_none_or(|last| last.holder != holder) {
            self.holder_changes.push(HolderChange { at: self.now, holder });
        }
    }

    /// Whether a gateway holds the lease, or did within the last two steps.
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
            self.check_holders();
        }
    }

    fn deliver_until(&mut self, time: Time) {
        while let Some(delivery) = self.network.next_delivery(time) {
            self.now = delivery.at.max(self.now);
            self.deliver(delivery.envelope);
            self.check_holders();
        }
    }

    /// Runs one step of a gateway in the order of the real program: first the messages buffered in its
    /// socket, then its deadlines.
    fn step(&mut self, id: GatewayId) {
        let now = self.now;
        let socket = &mut self.gateway(id).socket;
        if socket.is_stalled(now) {
            return;
        }
        let buffered = socket.take_buffered();
        buffered.into_iter().for_each(|envelope| self.deliver(envelope));
        let clock = self.clock(id);
        let Some(manager) = &mut self.gateway(id).manager else { return };
        let mut outgoing = manager.on_deadline(clock);
        if self.candidates.contains(&id) && self.now % EFFECT_INTERVAL == 0 {
            outgoing.extend(self.effects(id, clock));
        }
        self.send(id, outgoing);
    }

    /// The effects of the lease holder: a notification to each other gateway.
    fn effects(&mut self, id: GatewayId, clock: Time) -> Vec<Outgoing> {
        let Some(manager) = &mut self.gateway(id).manager else { return Vec::new() };
        let primary = PrimaryAnnouncement { member: 7, evidence_at: clock };
        let message = manager.notification(clock, ROLE, Notification::Primary(primary));
        let Some(message) = message else { return Vec::new() };
        let others = (0..self.gateways.len() as u16).filter(|to| *to != id);
        others.map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Runs until a gateway holds the lease, and returns it.
    pub fn run_until_held(&mut self) -> GatewayId {
        for _ in 0..400 {
            if let Some(holder) = self.holders().first() {
                return holder.gateway;
            }
            self.run(STEP);
        }
        panic!("no gateway holds the lease");
    }

    pub fn assert_terms_increase(&self) {
        let terms: Vec<Term> = self.holder_changes.iter().map(|change| change.holder.term).collect();
        assert!(terms.windows(2).all(|pair| pair[0] < pair[1]), "{:?}", self.holder_changes);
    }
}
