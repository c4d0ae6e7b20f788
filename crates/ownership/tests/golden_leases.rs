//! Seeded runs of lease managers and of a candidate. The digests of all outputs were recorded from commit
//! a97f0e8. Refactoring must not change any message, deadline or decision.

#[path = "support/digest.rs"]
mod digest;
#[path = "support/recorded_fleet.rs"]
mod recorded_fleet;
#[path = "support/simulated_network.rs"]
mod simulated_network;

use digest::Digest;
use petrelgauge_ownership::{
    Acceptor, Action, Ballot, Candidate, Counts, GatewayId, LeadershipRole, LeaseHolder, LeaseManager,
    LeaseRequest, Message, Notification, Outgoing, PrimaryAnnouncement, PROPOSER_BITS,
};
use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use recorded_fleet::{settings, GATEWAYS, LEASE, MAX_DELAY, STEP};
use simulated_network::{Envelope, NetworkFaults, Ratio, SimulatedNetwork};

const ROLES: [LeadershipRole; 2] =
    [LeadershipRole { kind: 1, shard: 0 }, LeadershipRole { kind: 2, shard: 4 }];
/// Initial candidacies, by index of the role and gateway.
const CANDIDACIES: [(usize, usize); 6] = [(0, 0), (0, 2), (0, 4), (0, 1), (1, 2), (1, 3)];
const NETWORK_FAULTS: NetworkFaults = NetworkFaults {
    max_delay: MAX_DELAY,
    lost: Ratio::one_in(12),
    slow: Ratio::one_in(30),
    slow_factor: 15,
    loopback_is_lossy: true,
};
const STEPS: usize = 4_000;
/// Number of steps between two faults.
const FAULT_INTERVAL: usize = 50;
/// Arbitrary values, which are part of the digest.
const FINGERPRINT: u32 = 1;
const SECRET: u64 = 2;

/// A few gateways that are connected by a faulty network.
struct Simulation {
    now: Time,
    managers: Vec<LeaseManager>,
    network: SimulatedNetwork<Message>,
    digest: Digest,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let new_manager = |id| LeaseManager::new(settings(id), 0, seed + u64::from(id)).expect("valid");
        let mut managers: Vec<LeaseManager> = (0..GATEWAYS).map(new_manager).collect();
        for (role, gateway) in CANDIDACIES {
            managers[gateway].campaign(0, ROLES[role]);
        }
        Simulation {
            now: 0,
            managers,
            network: SimulatedNetwork::new(Pcg64Mcg::seed_from_u64(seed), NETWORK_FAULTS),
            digest: Digest::new(),
        }
    }

    fn manager(&mut self, id: GatewayId) -> &mut LeaseManager {
        &mut self.managers[usize::from(id)]
    }

    fn send(&mut self, from: GatewayId, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            self.digest.add(&to.to_be_bytes());
            self.digest.add(&message.encode(from, FINGERPRINT, SECRET));
            self.network.send(self.now, &Envelope { from, to, message });
        }
    }

    /// Restarts a random gateway or makes it release leases, and makes it a candidate for all roles again.
    fn inject_fault(&mut self, step: usize) {
        let id = self.network.sample(u64::from(GATEWAYS)) as u16;
        let (now, seed) = (self.now, self.network.sequence);
        match (step / FAULT_INTERVAL) % 4 {
            0 => *self.manager(id) = LeaseManager::new(settings(id), now, seed).expect("valid"),
            1 => {
                let outgoing = self.manager(id).withdraw(now, ROLES[0]);
                self.send(id, outgoing);
            }
            2 => {
                let outgoing = self.manager(id).release_all(now);
                self.send(id, outgoing);
            }
            _ => {}
        }
        ROLES.iter().for_each(|role| self.manager(id).campaign(now, *role));
    }

    fn deliver(&mut self) {
        let now = self.now;
        while let Some(delivery) = self.network.next_delivery(now) {
            self.digest.add_time(delivery.at);
            let Envelope { from, to, message } = delivery.envelope;
            if let Message::Notification { role, term, .. } = &message {
                let admitted = self.manager(to).would_admit(*role, *term);
                self.digest.add(&[u8::from(admitted)]);
            }
            let responses = self.manager(to).on_message(now, from, message);
            self.send(to, responses);
        }
    }

    fn step(&mut self, id: GatewayId) {
        let now = self.now;
        let mut outgoing = self.manager(id).on_deadline(now);
        for role in ROLES {
            let primary = PrimaryAnnouncement { member: u64::from(id), evidence_at: now };
            let message = self.manager(id).notification(now, role, Notification::Primary(primary));
            outgoing.extend(message.map(|message| Outgoing { to: (id + 1) % GATEWAYS, message }));
            self.add_lease(id, role);
        }
        self.add_counts(id);
        self.send(id, outgoing);
    }

    fn add_lease(&mut self, id: GatewayId, role: LeadershipRole) {
        let now = self.now;
        let held_term = self.manager(id).held_term(now, role).unwrap_or(0);
        self.digest.add_number(held_term);
        let nobody = LeaseHolder { gateway: u16::MAX, term: 0 };
        let holder = self.manager(id).lease_holder(now, role).unwrap_or(nobody);
        self.digest.add_number(holder.term << PROPOSER_BITS | u64::from(holder.gateway));
    }

    fn add_counts(&mut self, id: GatewayId) {
        let next_deadline = self.manager(id).next_deadline().unwrap_or(-1);
        self.digest.add_time(next_deadline);
        let Counts { acquired, lost, rejected, unknown_senders } = self.manager(id).counts();
        for count in [acquired, lost, rejected, unknown_senders] {
            self.digest.add_number(count);
        }
    }

    /// Runs all steps and returns the digest of all outputs.
    fn run(mut self) -> u64 {
        for step in 0..STEPS {
            self.now += STEP;
            if step % FAULT_INTERVAL == FAULT_INTERVAL - 1 {
                self.inject_fault(step);
            }
            self.deliver();
            (0..GATEWAYS).for_each(|id| self.step(id));
        }
        let acquired: u64 = self.managers.iter().map(|manager| manager.counts().acquired).sum();
        assert!(acquired > 0, "no lease was acquired");
        self.digest.value()
    }
}

#[test]
fn lease_managers_behave_as_recorded() {
    let digests = [1, 2, 3].map(|seed| Simulation::new(seed).run());
    assert_eq!(digests, [0xaaee_caa6_53c6_7128, 0x7898_b65b_1508_bde3, 0xc391_f52e_42ca_e49f]);
}

/// Encodes an action as bytes that don't depend on the names of the variants.
fn action_bytes(action: Action) -> Vec<u8> {
    let (kind, term) = match action {
        Action::Wait => (0, 0),
        Action::Send(request) => {
            return Message::LeaseRequest { role: ROLES[0], request }.encode(0, FINGERPRINT, SECRET)
        }
        Action::Acquired(term) => (1, term),
        Action::Renewed(term) => (2, term),
        Action::Lost(term) => (3, term),
    };
    [&[kind], &term.to_be_bytes()[..]].concat()
}

/// Runs a candidate without a lease manager. The acceptors respond immediately; the digest covers the
/// candidate's actions and deadlines.
struct CandidateRun {
    candidate: Candidate,
    acceptors: Vec<Acceptor>,
    rng: Pcg64Mcg,
    digest: Digest,
}

impl CandidateRun {
    /// Carries out an action. Four in ten responses are lost; returns the actions that the others lead to.
    fn carry_out(&mut self, now: Time, action: Action) -> Vec<Action> {
        self.digest.add(&action_bytes(action));
        self.digest.add_time(self.candidate.next_deadline());
        self.digest.add_time(self.candidate.remaining(now));
        let Action::Send(request) = action else { return Vec::new() };
        let mut following = Vec::new();
        for (index, acceptor) in self.acceptors.iter_mut().enumerate() {
            let Some(response) = acceptor.on_request(now, 0, ROLES[0], request) else { continue };
            if self.rng.next_u64() % 10 > 3 {
                following.push(self.candidate.on_response(now + 1, 2 * index as u16, response));
            }
        }
        following
    }

    /// Occasionally lets another candidate prepare a higher ballot, or another gateway take over the lease.
    fn inject_fault(&mut self, now: Time) {
        if self.rng.next_u64().is_multiple_of(400) {
            let ballot = Ballot { term: (now as u64) << 18, proposer: 2 };
            for acceptor in &mut self.acceptors {
                let _ = acceptor.on_request(now, 2, ROLES[0], LeaseRequest::Prepare { ballot });
            }
        }
        if self.rng.next_u64().is_multiple_of(700) {
            let released = self.candidate.release(now).is_some();
            self.digest.add(&[u8::from(released)]);
            self.candidate.observe_lease(now, u64::MAX >> 3 & (now as u64) << 17, LEASE / 2);
        }
    }
}

#[test]
fn a_candidate_behaves_as_recorded() {
    let mut run = CandidateRun {
        candidate: Candidate::new(settings(0), 0, 77, 5),
        acceptors: [0, 2, 4].map(|id| Acceptor::new(&settings(id), -LEASE * 2)).into(),
        rng: Pcg64Mcg::seed_from_u64(8),
        digest: Digest::new(),
    };
    for now in (0..20_000_000).step_by(STEP as usize) {
        let mut actions = vec![run.candidate.on_deadline(now)];
        while let Some(action) = actions.pop() {
            actions.extend(run.carry_out(now, action));
        }
        run.inject_fault(now);
    }
    assert_eq!(run.digest.value(), 0x5657_6ddc_5f23_7787);
}
