//! Hundreds of gateways that share out what a group's members bear, in simulated time: clocks up to 5% fast or slow,
//! datagrams lost, late, doubled and out of order, links cut, owners that stall and wake up beside the next one, gateways
//! that start again. The sum of all parts in force is looked at whenever it can have risen: when a grant is taken, when a
//! pledge ends, when a gateway starts again.

use petrelgauge_ownership::shares::{Answer, Line, Milli, Part, Pool, MOST_LENT};
use petrelgauge_ownership::{Message, Settings, Word, MOST_BYTES};
use petrelgauge_policy::{GroupId, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const GROUP: GroupId = 7;
const LEASE: Time = 2_000_000;
const DELAY: Time = 20_000;
const SECOND: Time = 1_000_000;

struct Machine {
    part: Part,
    /// What its clock gains, and how far it was ahead at first.
    gains: f64,
    ahead: Time,
    rate: u32,
    stalled_until: Time,
    waiting: Vec<Flying>,
}

#[derive(Clone)]
enum Flying {
    Round(u64, u32, Vec<(GroupId, u32)>),
    Lines(u16, Answer),
    Grant(u32, Vec<(GroupId, Milli)>),
    /// Nothing flies: something ends at this machine, or is due there.
    Wake,
}

struct World {
    now: Time,
    machines: Vec<Machine>,
    pools: BTreeMap<u16, Pool>,
    events: BTreeMap<(Time, u64), (u16, Flying)>,
    next: u64,
    rng: Pcg64Mcg,
    loss: u64,
    cut: BTreeSet<u16>,
    sent: u64,
    grants: u64,
    looks: u64,
    highest: f64,
}

impl World {
    fn new(count: u16, seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let machines = (0..count)
            .map(|me| Machine {
                part: Part::new(settings(me, count), 0, 0),
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

    fn clock(&self, me: u16) -> Time {
        let Machine { gains, ahead, .. } = &self.machines[me as usize];
        (self.now as f64 * (1.0 + gains)) as Time + ahead
    }

    /// The true time, or a moment after it, at which its clock shows this.
    fn when(&self, me: u16, local: Time) -> Time {
        let Machine { gains, ahead, .. } = &self.machines[me as usize];
        ((local - ahead) as f64 / (1.0 + gains)).ceil() as Time + 1
    }

    fn start(&mut self, me: u16) {
        let number = self.rng.next_u64() as u32;
        let part = Part::new(settings(me, self.machines.len() as u16), self.clock(me), number);
        self.machines[me as usize].part = part;
        self.pools.remove(&me);
        self.look();
    }

    fn at(&mut self, at: Time, to: u16, event: Flying) {
        self.next += 1;
        self.events.insert((at, self.next), (to, event));
    }

    fn send(&mut self, from: u16, to: u16, event: Flying) {
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

    /// This machine takes itself for the owner, under this term.
    fn own(&mut self, me: u16, term: u64) {
        self.pools.insert(me, Pool::new(settings(me, self.machines.len() as u16), term));
        self.at(self.now, me, Flying::Wake);
    }

    fn sum(&self) -> f64 {
        let extra = |me: u16| {
            let clock = self.clock(me);
            self.machines[me as usize].part.share(clock, GROUP).at(clock) - 1.0
        };
        (0..self.machines.len() as u16).map(extra).sum()
    }

    fn look(&mut self) {
        let sum = self.sum();
        self.looks += 1;
        self.highest = self.highest.max(sum);
        assert!(sum < 1e-6, "{sum} even parts more than there are are in force at {}", self.now);
    }

    fn arrive(&mut self, me: u16, event: Flying) {
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
                let part = &mut self.machines[me as usize].part;
                part.hear_round(clock, term, round, &means);
                if let Some(due) = part.due_at() {
                    let at = self.when(me, due);
                    self.at(at.max(self.now), me, Flying::Wake);
                }
            }
            Flying::Lines(from, Answer { term, round, number, lines }) => {
                let Some(pool) = self.pools.get_mut(&me).filter(|pool| pool.term() == term) else { return };
                let given = pool.hear(clock, from, round, &lines);
                if !given.is_empty() {
                    self.send(me, from, Flying::Grant(number, given));
                }
            }
            Flying::Grant(number, given) => {
                self.machines[me as usize].part.hear_grant(clock, number, &given);
                self.grants += 1;
                self.look();
            }
            Flying::Wake => self.wake(me, clock),
        }
    }

    fn wake(&mut self, me: u16, clock: Time) {
        if let Some(pool) = self.pools.get_mut(&me) {
            if clock >= pool.due_at() {
                let term = pool.term();
                let (round, pieces) = pool.open(clock);
                let due = pool.due_at();
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
        let answers = machine.part.due(clock, &rates);
        let until = machine.part.share(clock, GROUP).until;
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

    fn run(&mut self, span: Time) {
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

    fn stall(&mut self, me: u16, span: Time) {
        self.machines[me as usize].stalled_until = self.now + span;
    }

    fn awake(&mut self, me: u16) {
        self.machines[me as usize].stalled_until = 0;
        let waiting = std::mem::take(&mut self.machines[me as usize].waiting);
        self.look();
        waiting.into_iter().for_each(|event| self.arrive(me, event));
        self.at(self.now, me, Flying::Wake);
    }

    /// What gateways with much work have, beside what they need for it, in even parts.
    fn heavy(&self) -> (f64, f64) {
        let mean = self.machines.iter().map(|m| f64::from(m.rate)).sum::<f64>() / self.machines.len() as f64;
        let heavy = || (0..self.machines.len() as u16).filter(|me| self.machines[*me as usize].rate > 1000);
        let part = |me: u16| {
            let clock = self.clock(me);
            self.machines[me as usize].part.share(clock, GROUP).at(clock)
        };
        let count = heavy().count() as f64;
        (heavy().map(part).sum::<f64>() / count, 4_500.0 / mean)
    }
}

fn settings(me: u16, gateways: u16) -> Settings {
    let third = gateways / 3;
    Settings { me, gateways, electors: vec![0, third, 2 * third], lease: LEASE, drift: 0.05, delay: DELAY }
}

#[test]
fn who_has_more_work_gets_what_others_lend_and_the_cost_for_each_gateway_is_flat() {
    let mut each = Vec::new();
    for count in [10, 100, 300, 1000] {
        let mut world = World::new(count, 5);
        world.own(0, 1);
        world.run(6 * SECOND);
        let sent = world.sent;
        // A mean over time: now and then a grant is not renewed, for something was lost.
        let (mut part, mut need) = (0.0, 0.0);
        for _ in 0..40 {
            world.run(SECOND / 10);
            let (has, needs) = world.heavy();
            (part, need) = (part + has / 40.0, needs);
        }
        each.push((world.sent - sent) as f64 / f64::from(count) / 4.0);
        println!(
            "{count}: {part:.2} even parts where {need:.2} are needed, {:.1} datagrams a second each",
            each[each.len() - 1]
        );
        assert!(part > 1.8 && world.grants > 0, "{count}: {part:.2} of {need:.2}");
    }
    assert!(each.iter().all(|one| *one < 8.0), "{each:?} datagrams a gateway and second");
}

#[test]
fn the_sum_never_rises_above_the_even_parts_whatever_happens_between_them() {
    for (count, seed) in [(60, 1), (60, 2), (60, 3), (60, 4), (300, 5)] {
        let mut world = World::new(count, seed);
        world.own(0, 1);
        world.run(5 * SECOND);
        for turn in 0..12u64 {
            match (turn + seed) % 6 {
                // The owner stands still for three leases, another comes, and the first one wakes up beside it: it is no
                // owner any more, but does not know.
                0 => {
                    let owner = *world.pools.keys().next().expect("there is one");
                    world.stall(owner, 3 * LEASE);
                    world.run(LEASE);
                    world.own((owner + 7) % count, 2 + turn);
                    world.run(2 * LEASE);
                    world.awake(owner);
                    world.run(LEASE);
                    world.pools.remove(&owner);
                }
                // Gateways start again, those that lent and those that were given something.
                1 => {
                    for _ in 0..count / 4 {
                        let who = (world.rng.next_u64() % u64::from(count)) as u16;
                        let pool = world.pools.remove(&who);
                        world.start(who);
                        world.pools.extend(pool.map(|pool| (who, pool)));
                        world.run(SECOND / 20);
                    }
                }
                // A third is cut off from the others.
                2 => {
                    world.cut = (0..count / 3).collect();
                    world.run(2 * LEASE);
                    world.cut.clear();
                }
                // Much is lost.
                3 => {
                    world.loss = 400;
                    world.run(2 * LEASE);
                    world.loss = 20;
                }
                // Some stand still, and wake up with what came meanwhile.
                4 => {
                    let few: Vec<u16> = (0..count).filter(|me| me % 9 == turn as u16 % 9).collect();
                    few.iter().for_each(|me| world.stall(*me, LEASE));
                    world.run(LEASE);
                    few.iter().for_each(|me| world.awake(*me));
                }
                // Two owners at once, and the work moves to others.
                _ => {
                    world.own((3 + turn as u16) % count, 100 + turn);
                    world.run(SECOND);
                    world.machines.iter_mut().for_each(|m| m.rate = if m.rate > 1000 { 100 } else { 1_500 });
                }
            }
            world.run(2 * SECOND);
        }
        println!(
            "{count}, seed {seed}: {} looks, {} grants, highest sum {:.3}",
            world.looks, world.grants, world.highest
        );
        assert!(world.grants > 100, "it was put to use");
    }
}

#[test]
fn without_an_owner_every_gateway_has_its_even_part_again() {
    let mut world = World::new(30, 9);
    world.own(0, 1);
    world.run(6 * SECOND);
    assert!(world.grants > 0);
    // All links are cut: nothing of the owner's comes to anybody.
    world.pools.clear();
    world.run(3 * SECOND);
    for me in 0..30 {
        let clock = world.clock(me);
        assert_eq!(world.machines[me as usize].part.share(clock, GROUP).at(clock), 1.0, "gateway {me}");
    }
}

#[test]
fn a_fleet_of_one_lends_nothing_and_asks_for_nothing() {
    let mut world = World::new(1, 3);
    world.own(0, 1);
    world.run(10 * SECOND);
    let clock = world.clock(0);
    assert_eq!(world.machines[0].part.share(clock, GROUP).at(clock), 1.0);
}

#[test]
fn answers_that_cannot_be_are_worth_nothing() {
    let settings = settings(0, 3);
    let mut pool = Pool::new(settings.clone(), 4);
    let (round, _) = pool.open(0);
    let line = |asks| [Line { group: GROUP, rate: u32::MAX, asks }];
    // More than any gateway may lend counts as the most; one for a round that never was counts for nothing.
    pool.hear(1, 1, round, &line(Milli::MIN));
    pool.hear(1, 2, round.wrapping_add(9), &line(Milli::MIN));
    assert_eq!(pool.sums(2).0, i64::from(MOST_LENT));
    pool.hear(2, 2, round, &line(Milli::MAX));
    let (round, _) = pool.open(500_000);
    let given = pool.hear(500_001, 2, round, &line(Milli::MAX));
    assert_eq!(given, vec![(GROUP, MOST_LENT)]);
    // Nobody is given what was not asked for by this process.
    let mut part = Part::new(settings, 0, 77);
    part.hear_grant(3 * LEASE, 78, &[(GROUP, 500)]);
    assert_eq!(part.share(3 * LEASE, GROUP).at(3 * LEASE), 1.0);
}

#[test]
fn the_longest_datagrams_of_the_share_out_fit() {
    let line = Line { group: u64::MAX, rate: u32::MAX, asks: Milli::MIN };
    let longest = [
        Message::Lines { term: u64::MAX, round: u32::MAX, number: u32::MAX, lines: vec![line; 11] },
        Message::Word(
            petrelgauge_ownership::Duty { kind: u8::MAX, group: u64::MAX },
            u64::MAX,
            Word::Round { round: u32::MAX, means: vec![(u64::MAX, u32::MAX); 11] },
        ),
        Message::Word(
            petrelgauge_ownership::Duty { kind: u8::MAX, group: u64::MAX },
            u64::MAX,
            Word::Grant { number: u32::MAX, given: vec![(u64::MAX, Milli::MIN); 11] },
        ),
    ];
    for message in longest {
        let bytes = message.write(u16::MAX, u32::MAX, u64::MAX);
        assert!(bytes.len() <= MOST_BYTES, "{} bytes: {message:?}", bytes.len());
        assert_eq!(Message::read(&bytes, u32::MAX, u64::MAX), Ok((u16::MAX, message)));
    }
}

// The owner's and the asker's clocks at the slow end, the lender's at the fast one: what is lent ends soonest and what is
// given lasts longest. Whenever the owner hears of either, and whenever the grant comes.
#[test]
fn however_far_clocks_are_off_a_grant_is_over_before_what_covers_it() {
    let spans = settings(0, 3);
    let [slow, fast] =
        [1.0 - spans.drift, 1.0 + spans.drift].map(|pace| move |at: Time| (at as f64 * pace) as Time);
    let (start, mut given_at_all) = (10 * LEASE, 0);
    let rates = |rate| BTreeMap::from([(GROUP, rate)]);
    for step in 0..80 {
        for late in [0, LEASE / 4, LEASE / 2, LEASE] {
            for flight in [0, LEASE / 4, LEASE / 2] {
                let (mut lender, mut asker) =
                    (Part::new(spans.clone(), 0, 1), Part::new(spans.clone(), 0, 50));
                let mut pool = Pool::new(spans.clone(), 1);
                let (round, _) = pool.open(slow(start) - 1);
                for (from, rate, asks) in [(0, 100, 0), (1, 1_000, 500)] {
                    pool.hear(slow(start) - 1, from, round, &[Line { group: GROUP, rate, asks }]);
                }
                let (round, means) = pool.open(slow(start));
                lender.hear_round(fast(start), 1, round, &means[0]);
                let answer = lender.due(fast(start), &rates(100)).remove(0);
                assert_eq!(answer.lines[0].asks, -MOST_LENT);
                pool.hear(slow(start + late), 0, round, &answer.lines);
                let asked = start + late + step * LEASE / 40;
                let (round, means) = pool.open(slow(asked));
                asker.hear_round(slow(asked), 1, round, &means[0]);
                let answer = asker.due(slow(asked), &rates(1_000)).remove(0);
                let given = pool.hear(slow(asked), 1, round, &answer.lines);
                given_at_all += given.len();
                let comes = asked + flight;
                asker.hear_grant(slow(comes), answer.number, &given);
                for at in (comes..comes + 2 * LEASE).step_by(LEASE as usize / 400) {
                    let more = asker.share(slow(at), GROUP).at(slow(at)) - 1.0;
                    let less = lender.share(fast(at), GROUP).at(fast(at)) - 1.0;
                    assert!(
                        more + less < 1e-6,
                        "asked at {step}, late {late}, flight {flight}: {more} of {less}"
                    );
                }
            }
        }
    }
    assert!(given_at_all > 50, "{given_at_all} grants");
}

// Each datagram has eleven of them, and every one of these must be known again when it is granted.
#[test]
fn grants_for_as_many_groups_as_are_shared_out_are_all_taken() {
    let spans = settings(0, 3);
    let (mut lender, mut asker) = (Part::new(spans.clone(), 0, 1), Part::new(spans.clone(), 0, 50));
    let mut pool = Pool::new(spans, 1);
    let groups = petrelgauge_ownership::shares::MOST_GROUPS as GroupId;
    let rates = |rate: u32| (0..groups).map(|group| (group, rate)).collect::<BTreeMap<_, _>>();
    let mut now = 10 * LEASE;
    for _ in 0..4 {
        let (round, pieces) = pool.open(now);
        for (from, part, rate) in [(0, &mut lender, 100), (1, &mut asker, 1_000)] {
            pieces.iter().for_each(|means| part.hear_round(now, 1, round, means));
            // All are sent before the first is answered.
            let answers = part.due(now, &rates(rate));
            let given: Vec<_> = answers.iter().map(|one| pool.hear(now, from, round, &one.lines)).collect();
            answers.iter().zip(&given).for_each(|(one, given)| part.hear_grant(now, one.number, given));
        }
        now += LEASE / 4;
    }
    let short = (0..groups).filter(|group| asker.share(now, *group).at(now) < 1.4).count();
    assert_eq!(short, 0, "groups of {groups} for which nothing is given");
}
