//! Seeded runs whose digests of all outputs were recorded from commit a97f0e8: a refactoring must not change a single
//! message, deadline or decision.

mod common;

use common::digest::Digest;
use petrelgauge_ownership::shares::{Answer, Part, Pool, Rates};
use petrelgauge_ownership::*;
use petrelgauge_policy::{GroupId, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const GATEWAYS: u16 = 5;
const DUTIES: [Duty; 2] = [Duty { kind: 1, group: 0 }, Duty { kind: 2, group: 4 }];
const LEASE: Time = 400_000;
const DELAY: Time = 20_000;
const STEP: Time = 5_000;
const STEPS: usize = 4_000;

fn settings(me: u16) -> Settings {
    Settings { me, gateways: GATEWAYS, electors: vec![0, 2, 4], lease: LEASE, drift: 0.02, delay: DELAY }
}

/// Datagrams by the time of arrival and a number.
type InFlight = BTreeMap<(Time, u64), (Gateway, Gateway, Message)>;

/// A few gateways over a network that loses, delays and doubles datagrams.
struct Play {
    now: Time,
    offices: Vec<Office>,
    in_flight: InFlight,
    next: u64,
    rng: Pcg64Mcg,
    digest: Digest,
}

impl Play {
    fn new(seed: u64) -> Play {
        let mut offices: Vec<Office> = (0..GATEWAYS)
            .map(|me| Office::new(settings(me), 0, seed + u64::from(me)).expect("sound"))
            .collect();
        for (duty, me) in [(0, 0), (0, 2), (0, 4), (0, 1), (1, 2), (1, 3)] {
            offices[me].want(0, DUTIES[duty]);
        }
        let (in_flight, digest) = (BTreeMap::new(), Digest::new());
        Play { now: 0, offices, in_flight, next: 0, rng: Pcg64Mcg::seed_from_u64(seed), digest }
    }

    fn send(&mut self, from: Gateway, sent: Vec<(Gateway, Message)>) {
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
        let office = &mut self.offices[usize::from(me)];
        match (step / 50) % 4 {
            0 => *office = Office::new(settings(me), self.now, self.next).expect("sound"),
            1 => {
                let sent = office.unwant(self.now, DUTIES[0]);
                self.send(me, sent);
            }
            2 => {
                let sent = office.give_up(self.now);
                self.send(me, sent);
            }
            _ => {}
        }
        DUTIES.iter().for_each(|duty| self.offices[usize::from(me)].want(self.now, *duty));
    }

    fn deliver(&mut self) {
        while let Some(((at, _), _)) = self.in_flight.first_key_value().filter(|((at, _), _)| *at <= self.now)
        {
            self.digest.add_time(*at);
            let Some((_, (from, to, message))) = self.in_flight.pop_first() else { return };
            if let Message::Word(duty, term, _) = &message {
                self.digest.add(&[u8::from(self.offices[usize::from(to)].takes(*duty, *term))]);
            }
            let answers = self.offices[usize::from(to)].hear(self.now, from, message);
            self.send(to, answers);
        }
    }

    fn step(&mut self, me: Gateway) {
        let office = &mut self.offices[usize::from(me)];
        let mut sent = office.due(self.now);
        for duty in DUTIES {
            let word = Word::Primary { member: u64::from(me), position: self.now };
            sent.extend(office.word(self.now, duty, word).map(|word| ((me + 1) % GATEWAYS, word)));
            self.digest.add_number(office.may(self.now, duty).unwrap_or(0));
            let (who, term) = office.owner(self.now, duty).unwrap_or((u16::MAX, 0));
            self.digest.add_number(term << 16 | u64::from(who));
        }
        self.digest.add_time(office.due_at().unwrap_or(-1));
        let Counts { taken, lost, turned, odd } = office.counts();
        [taken, lost, turned, odd].into_iter().for_each(|count| self.digest.add_number(count));
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
        let taken = self.offices.iter().map(|office| office.counts().taken).sum();
        (self.digest.value(), taken)
    }
}

#[test]
fn candidates_and_electors_say_what_they_said_before() {
    let digests = [1, 2, 3].map(|seed| Play::new(seed).run());
    assert!(digests.iter().all(|(_, taken)| *taken > 0), "somebody owned a duty: {digests:?}");
    assert_eq!(
        digests.map(|(digest, _)| digest),
        [0xaaee_caa6_53c6_7128, 0x7898_b65b_1508_bde3, 0xc391_f52e_42ca_e49f]
    );
}

/// A step in bytes that don't depend on the names of its variants.
fn step_bytes(step: Step) -> Vec<u8> {
    let (kind, term) = match step {
        Step::Wait => (0, 0),
        Step::Ask(ask) => return Message::Ask(DUTIES[0], ask).write(0, 1, 2),
        Step::Own(term) => (1, term),
        Step::Keep(term) => (2, term),
        Step::Lose(term) => (3, term),
    };
    [&[kind], &term.to_be_bytes()[..]].concat()
}

/// One candidate without an office, answered by electors directly: its steps and deadlines.
#[test]
fn one_candidate_steps_as_it_did_before() {
    let mut digest = Digest::new();
    let mut candidate = Candidate::new(settings(0), 0, 77, 5);
    let mut electors: Vec<Elector> = [0, 2, 4].map(|me| Elector::new(&settings(me), -LEASE * 2)).into();
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    for now in (0..20_000_000).step_by(STEP as usize) {
        let mut steps = vec![candidate.due(now)];
        while let Some(step) = steps.pop() {
            digest.add(&step_bytes(step));
            digest.add_time(candidate.due_at());
            digest.add_time(candidate.left(now));
            let Step::Ask(ask) = step else { continue };
            for (place, elector) in electors.iter_mut().enumerate() {
                let answer = elector.on(now, 0, DUTIES[0], ask).filter(|_| rng.next_u64() % 10 > 3);
                steps.extend(answer.map(|answer| candidate.on(now + 1, 2 * place as u16, answer)));
            }
        }
        if rng.next_u64().is_multiple_of(400) {
            let ballot = Ballot { term: (now as u64) << 18, who: 2 };
            electors.iter_mut().for_each(|elector| {
                let _ = elector.on(now, 2, DUTIES[0], Ask::Prepare { ballot });
            });
        }
        if rng.next_u64().is_multiple_of(700) {
            digest.add(&[u8::from(candidate.give_up(now).is_some())]);
            candidate.heard(now, u64::MAX >> 3 & (now as u64) << 17, LEASE / 2);
        }
    }
    assert_eq!(digest.value(), 0x5657_6ddc_5f23_7787);
}

/// The quotas of three groups among the gateways, over a network that loses datagrams; two owners in turn.
struct QuotaPlay {
    parts: Vec<Part>,
    rates: Vec<Rates>,
    counts: Vec<BTreeMap<GroupId, u64>>,
    pool: Pool,
    rng: Pcg64Mcg,
    digest: Digest,
}

impl QuotaPlay {
    fn new() -> QuotaPlay {
        let gateways = usize::from(GATEWAYS);
        QuotaPlay {
            parts: (0..GATEWAYS).map(|me| Part::new(settings(me), 0, 100 * u32::from(me))).collect(),
            rates: vec![Rates::default(); gateways],
            counts: vec![BTreeMap::from([(1, 0), (2, 0), (9, 0)]); gateways],
            pool: Pool::new(settings(0), 1),
            rng: Pcg64Mcg::seed_from_u64(11),
            digest: Digest::new(),
        }
    }

    fn lost(&mut self) -> bool {
        self.rng.next_u64().is_multiple_of(8)
    }

    fn open_round(&mut self, now: Time) {
        if now < self.pool.due_at() {
            return;
        }
        let (round, pieces) = self.pool.open(now);
        self.digest.add_number(u64::from(round));
        for means in pieces {
            for (group, mean) in &means {
                self.digest.add_number(group << 32 | u64::from(*mean));
            }
            for me in 0..self.parts.len() {
                if !self.lost() {
                    self.parts[me].hear_round(now, self.pool.term(), round, &means);
                }
            }
        }
    }

    fn answer(&mut self, now: Time, me: usize, answer: Answer) {
        let Answer { term, round, number, lines } = answer;
        let datagram = Message::Lines { term, round, number, lines: lines.clone() };
        self.digest.add(&datagram.write(me as u16, 1, 2));
        if self.lost() {
            return;
        }
        let given = self.pool.hear(now, me as u16, round, &lines);
        given.iter().for_each(|(group, given)| self.digest.add_number(group << 16 | *given as u64));
        if !self.lost() {
            self.parts[me].hear_grant(now, number, &given);
        }
    }

    fn step(&mut self, now: Time, me: usize) {
        for (group, count) in &mut self.counts[me] {
            let busy = (me as u64 + group) % 4 == (now / 4_000_000) as u64 % 4;
            *count += if busy { 9 } else { self.rng.next_u64() % 2 };
        }
        self.rates[me].see(now, &self.counts[me]);
        let told = self.rates[me].told();
        for answer in self.parts[me].due(now, &told) {
            self.answer(now, me, answer);
        }
        for group in [1, 2, 9] {
            let share = self.parts[me].share(now, group);
            self.digest.add_number(share.extra.to_bits());
            self.digest.add_time(share.until);
        }
        self.digest.add_time(self.parts[me].due_at().unwrap_or(-1));
    }

    fn run(mut self) -> (u64, i64) {
        let mut most_given = 0;
        for step in 0..STEPS as Time {
            let now = step * STEP;
            if step == STEPS as Time / 2 {
                self.pool = Pool::new(settings(2), 2);
            }
            self.open_round(now);
            (0..self.parts.len()).for_each(|me| self.step(now, me));
            let (lent, given) = self.pool.sums(now);
            self.digest.add_number(lent as u64);
            self.digest.add_number(given as u64);
            self.digest.add_number(self.pool.entries() as u64);
            most_given = most_given.max(given);
        }
        (self.digest.value(), most_given)
    }
}

#[test]
fn quotas_are_lent_and_granted_as_before() {
    let (digest, most_given) = QuotaPlay::new().run();
    assert!(most_given > 0, "something was granted");
    assert_eq!(digest, 0xc3a0_f548_4a03_822a);
}
