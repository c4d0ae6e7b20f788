//! Seeded runs whose digests of all outputs were recorded from commit a97f0e8: a refactoring must not change a single
//! message, deadline or decision.

#[path = "support/digest.rs"]
mod digest;

use digest::Digest;
use petrelgauge_ownership::quota::{Quota, QuotaPool, QuotaReport, RequestRates};
use petrelgauge_ownership::*;
use petrelgauge_policy::{GroupId, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const GATEWAYS: u16 = 5;
const ROLES: [LeadershipRole; 2] =
    [LeadershipRole { kind: 1, shard: 0 }, LeadershipRole { kind: 2, shard: 4 }];
const LEASE: Time = 400_000;
const DELAY: Time = 20_000;
const STEP: Time = 5_000;
const STEPS: usize = 4_000;

fn settings(me: u16) -> Settings {
    Settings {
        self_id: me,
        gateways: GATEWAYS,
        acceptors: vec![0, 2, 4],
        lease: LEASE,
        drift_bound: 0.02,
        max_delay: DELAY,
    }
}

/// Datagrams by the time of arrival and a number.
type InFlight = BTreeMap<(Time, u64), (GatewayId, GatewayId, Message)>;

/// A few gateways over a network that loses, delays and doubles datagrams.
struct Play {
    now: Time,
    managers: Vec<LeaseManager>,
    in_flight: InFlight,
    next: u64,
    rng: Pcg64Mcg,
    digest: Digest,
}

impl Play {
    fn new(seed: u64) -> Play {
        let mut managers: Vec<LeaseManager> = (0..GATEWAYS)
            .map(|me| LeaseManager::new(settings(me), 0, seed + u64::from(me)).expect("sound"))
            .collect();
        for (role, me) in [(0, 0), (0, 2), (0, 4), (0, 1), (1, 2), (1, 3)] {
            managers[me].campaign(0, ROLES[role]);
        }
        let (in_flight, digest) = (BTreeMap::new(), Digest::new());
        Play { now: 0, managers, in_flight, next: 0, rng: Pcg64Mcg::seed_from_u64(seed), digest }
    }

    fn send(&mut self, from: GatewayId, sent: Vec<(GatewayId, Message)>) {
        for (to, message) in sent {
            self.digest.add(&to.to_be_bytes());
            self.digest.add(&message.write(from, 1, 2));
            for _ in 0..1 + u64::from(self.rng.next_u64().is_multiple_of(20)) {
                if self.rng.next_u64().is_multiple_of(12) {
                    continue;
                }
                let longest = if self.rng.next_u64().is_multiple_of(30) { 15 * DELAY } else { DELAY };
                self.next += 1;
                let at = self.now + 1 + (self.rng.next_u64() % longest as u64) as Time;
                self.in_flight.insert((at, self.next), (from, to, message.clone()));
            }
        }
    }

    /// Every fiftieth step something goes wrong with one gateway.
    fn disturb(&mut self, step: usize) {
        let me = (self.rng.next_u64() % u64::from(GATEWAYS)) as u16;
        let manager = &mut self.managers[usize::from(me)];
        match (step / 50) % 4 {
            0 => *manager = LeaseManager::new(settings(me), self.now, self.next).expect("sound"),
            1 => {
                let sent = manager.withdraw(self.now, ROLES[0]);
                self.send(me, sent);
            }
            2 => {
                let sent = manager.release(self.now);
                self.send(me, sent);
            }
            _ => {}
        }
        ROLES.iter().for_each(|role| self.managers[usize::from(me)].campaign(self.now, *role));
    }

    fn deliver(&mut self) {
        while let Some(((at, _), _)) = self.in_flight.first_key_value().filter(|((at, _), _)| *at <= self.now)
        {
            self.digest.add_time(*at);
            let Some((_, (from, to, message))) = self.in_flight.pop_first() else { return };
            if let Message::Notification(role, term, _) = &message {
                self.digest.add(&[u8::from(self.managers[usize::from(to)].would_admit(*role, *term))]);
            }
            let answers = self.managers[usize::from(to)].on_message(self.now, from, message);
            self.send(to, answers);
        }
    }

    fn step(&mut self, me: GatewayId) {
        let manager = &mut self.managers[usize::from(me)];
        let mut sent = manager.on_deadline(self.now);
        for role in ROLES {
            let word = Notification::Primary { member: u64::from(me), position: self.now };
            sent.extend(manager.notification(self.now, role, word).map(|word| ((me + 1) % GATEWAYS, word)));
            self.digest.add_number(manager.held_term(self.now, role).unwrap_or(0));
            let (who, term) = manager.lease_holder(self.now, role).unwrap_or((u16::MAX, 0));
            self.digest.add_number(term << 16 | u64::from(who));
        }
        self.digest.add_time(manager.next_deadline().unwrap_or(-1));
        let Counts { acquired, lost, rejected, unknown_senders } = manager.counts();
        [acquired, lost, rejected, unknown_senders]
            .into_iter()
            .for_each(|count| self.digest.add_number(count));
        self.send(me, sent);
    }

    fn run(mut self) -> (u64, u64) {
        for step in 0..STEPS {
            self.now += STEP;
            if step % 50 == 49 {
                self.disturb(step);
            }
            self.deliver();
            (0..GATEWAYS).for_each(|me| self.step(me));
        }
        let acquired = self.managers.iter().map(|manager| manager.counts().acquired).sum();
        (self.digest.value(), acquired)
    }
}

#[test]
fn lease_managers_behave_as_recorded() {
    let digests = [1, 2, 3].map(|seed| Play::new(seed).run());
    assert!(digests.iter().all(|(_, acquired)| *acquired > 0), "somebody owned a role: {digests:?}");
    assert_eq!(
        digests.map(|(digest, _)| digest),
        [0xaaee_caa6_53c6_7128, 0x7898_b65b_1508_bde3, 0xc391_f52e_42ca_e49f]
    );
}

/// A step in bytes that don't depend on the names of its variants.
fn step_bytes(step: Action) -> Vec<u8> {
    let (kind, term) = match step {
        Action::Wait => (0, 0),
        Action::Send(ask) => return Message::LeaseRequest(ROLES[0], ask).write(0, 1, 2),
        Action::Acquired(term) => (1, term),
        Action::Renewed(term) => (2, term),
        Action::Lost(term) => (3, term),
    };
    [&[kind], &term.to_be_bytes()[..]].concat()
}

/// One candidate without an manager, answered by acceptors directly: its steps and deadlines.
#[test]
fn a_candidate_behaves_as_recorded() {
    let mut digest = Digest::new();
    let mut candidate = Candidate::new(settings(0), 0, 77, 5);
    let mut acceptors: Vec<Acceptor> = [0, 2, 4].map(|me| Acceptor::new(&settings(me), -LEASE * 2)).into();
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    for now in (0..20_000_000).step_by(STEP as usize) {
        let mut steps = vec![candidate.on_deadline(now)];
        while let Some(step) = steps.pop() {
            digest.add(&step_bytes(step));
            digest.add_time(candidate.next_deadline());
            digest.add_time(candidate.remaining(now));
            let Action::Send(ask) = step else { continue };
            for (place, acceptor) in acceptors.iter_mut().enumerate() {
                let answer = acceptor.on(now, 0, ROLES[0], ask).filter(|_| rng.next_u64() % 10 > 3);
                steps.extend(answer.map(|answer| candidate.on(now + 1, 2 * place as u16, answer)));
            }
        }
        if rng.next_u64().is_multiple_of(400) {
            let ballot = Ballot { term: (now as u64) << 18, proposer: 2 };
            acceptors.iter_mut().for_each(|acceptor| {
                let _ = acceptor.on(now, 2, ROLES[0], LeaseRequest::Prepare { ballot });
            });
        }
        if rng.next_u64().is_multiple_of(700) {
            digest.add(&[u8::from(candidate.release(now).is_some())]);
            candidate.observe_lease(now, u64::MAX >> 3 & (now as u64) << 17, LEASE / 2);
        }
    }
    assert_eq!(digest.value(), 0x5657_6ddc_5f23_7787);
}

/// The quotas of three groups among the gateways, over a network that loses datagrams; two lease holders in turn.
struct QuotaPlay {
    quotas: Vec<Quota>,
    rates: Vec<RequestRates>,
    counts: Vec<BTreeMap<GroupId, u64>>,
    pool: QuotaPool,
    rng: Pcg64Mcg,
    digest: Digest,
}

impl QuotaPlay {
    fn new() -> QuotaPlay {
        let gateways = usize::from(GATEWAYS);
        QuotaPlay {
            quotas: (0..GATEWAYS).map(|me| Quota::new(settings(me), 0, 100 * u32::from(me))).collect(),
            rates: vec![RequestRates::default(); gateways],
            counts: vec![BTreeMap::from([(1, 0), (2, 0), (9, 0)]); gateways],
            pool: QuotaPool::new(settings(0), 1),
            rng: Pcg64Mcg::seed_from_u64(11),
            digest: Digest::new(),
        }
    }

    fn lost(&mut self) -> bool {
        self.rng.next_u64().is_multiple_of(8)
    }

    fn open_round(&mut self, now: Time) {
        if now < self.pool.next_deadline() {
            return;
        }
        let (round, pieces) = self.pool.open_round(now);
        self.digest.add_number(u64::from(round));
        for means in pieces {
            for (group, mean) in &means {
                self.digest.add_number(group << 32 | u64::from(*mean));
            }
            for me in 0..self.quotas.len() {
                if !self.lost() {
                    self.quotas[me].on_round(now, self.pool.term(), round, &means);
                }
            }
        }
    }

    fn answer(&mut self, now: Time, me: usize, answer: QuotaReport) {
        let QuotaReport { term, round, number, lines } = answer;
        let datagram = Message::QuotaReport { term, round, number, lines: lines.clone() };
        self.digest.add(&datagram.write(me as u16, 1, 2));
        if self.lost() {
            return;
        }
        let granted = self.pool.on_report(now, me as u16, round, &lines);
        granted.iter().for_each(|(group, granted)| self.digest.add_number(group << 16 | *granted as u64));
        if !self.lost() {
            self.quotas[me].on_grant(now, number, &granted);
        }
    }

    fn step(&mut self, now: Time, me: usize) {
        for (group, count) in &mut self.counts[me] {
            let busy = (me as u64 + group) % 4 == (now / 4_000_000) as u64 % 4;
            *count += if busy { 9 } else { self.rng.next_u64() % 2 };
        }
        self.rates[me].observe(now, &self.counts[me]);
        let told = self.rates[me].per_group();
        for answer in self.quotas[me].due_reports(now, &told) {
            self.answer(now, me, answer);
        }
        for group in [1, 2, 9] {
            let share = self.quotas[me].current(now, group);
            self.digest.add_number(share.extra.to_bits());
            self.digest.add_time(share.until);
        }
        self.digest.add_time(self.quotas[me].next_deadline().unwrap_or(-1));
    }

    fn run(mut self) -> (u64, i64) {
        let mut most_granted = 0;
        for step in 0..STEPS as Time {
            let now = step * STEP;
            if step == STEPS as Time / 2 {
                self.pool = QuotaPool::new(settings(2), 2);
            }
            self.open_round(now);
            (0..self.quotas.len()).for_each(|me| self.step(now, me));
            let (lent, granted) = self.pool.totals(now);
            self.digest.add_number(lent as u64);
            self.digest.add_number(granted as u64);
            self.digest.add_number(self.pool.entries() as u64);
            most_granted = most_granted.max(granted);
        }
        (self.digest.value(), most_granted)
    }
}

#[test]
fn quotas_behave_as_recorded() {
    let (digest, most_granted) = QuotaPlay::new().run();
    assert!(most_granted > 0, "something was granted");
    assert_eq!(digest, 0xc3a0_f548_4a03_822a);
}
