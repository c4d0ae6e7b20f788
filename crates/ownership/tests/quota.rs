//! Hundreds of gateways that share out what a group's members bear, in simulated time: clocks up to 5% fast or slow,
//! datagrams lost, late, doubled and out of order, links cut, lease holders that stall and wake up beside the next one, gateways
//! that start again. The sum of all quotas in force is looked at whenever it can have risen: when a grant is taken, when a
//! loan ends, when a gateway starts again.

use petrelgauge_ownership::quota::{GroupDemand, Milli, Quota, QuotaPool, QuotaReport, MAX_LENT};
use petrelgauge_ownership::{Message, Notification, Settings, MAX_DATAGRAM_BYTES};
use petrelgauge_policy::{GroupId, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const GROUP: GroupId = 7;
const LEASE: Time = 2_000_000;
const DELAY: Time = 20_000;
const SECOND: Time = 1_000_000;

struct Machine {
    quota: Quota,
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
    Lines(u16, QuotaReport),
    Grant(u32, Vec<(GroupId, Milli)>),
    /// Nothing flies: something ends at this machine, or is due there.
    Wake,
}

struct World {
    now: Time,
    machines: Vec<Machine>,
    pools: BTreeMap<u16, QuotaPool>,
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
        let quota = Quota::new(settings(me, self.machines.len() as u16), self.clock(me), number);
        self.machines[me as usize].quota = quota;
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

    /// This machine takes itself for the lease holder, under this term.
    fn own(&mut self, me: u16, term: u64) {
        self.pools.insert(me, QuotaPool::new(settings(me, self.machines.len() as u16), term));
        self.at(self.now, me, Flying::Wake);
    }

    fn sum(&self) -> f64 {
        let extra = |me: u16| {
            let clock = self.clock(me);
            self.machines[me as usize].quota.current(clock, GROUP).at(clock) - 1.0
        };
        (0..self.machines.len() as u16).map(extra).sum()
    }

    fn look(&mut self) {
        let sum = self.sum();
        self.looks += 1;
        self.highest = self.highest.max(sum);
        assert!(sum < 1e-6, "{sum} even quotas more than there are are in force at {}", self.now);
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

    fn wake(&mut self, me: u16, clock: Time) {
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

    /// What gateways with much work have, beside what they need for it, in even quotas.
    fn heavy(&self) -> (f64, f64) {
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

fn settings(me: u16, gateways: u16) -> Settings {
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

#[test]
fn loaded_gateways_get_lent_quota_at_a_flat_cost_per_gateway() {
    let mut each = Vec::new();
    for count in [10, 100, 300, 1000] {
        let mut world = World::new(count, 5);
        world.own(0, 1);
        world.run(6 * SECOND);
        let sent = world.sent;
        // A mean over time: now and then a grant is not renewed, for something was lost.
        let (mut quota, mut need) = (0.0, 0.0);
        for _ in 0..40 {
            world.run(SECOND / 10);
            let (has, needs) = world.heavy();
            (quota, need) = (quota + has / 40.0, needs);
        }
        each.push((world.sent - sent) as f64 / f64::from(count) / 4.0);
        println!(
            "{count}: {quota:.2} even quotas where {need:.2} are needed, {:.1} datagrams a second each",
            each[each.len() - 1]
        );
        assert!(quota > 1.8 && world.grants > 0, "{count}: {quota:.2} of {need:.2}");
    }
    assert!(each.iter().all(|one| *one < 8.0), "{each:?} datagrams a gateway and second");
}

#[test]
fn quotas_in_force_never_exceed_the_sum_of_even_quotas() {
    for (count, seed) in [(60, 1), (60, 2), (60, 3), (60, 4), (300, 5)] {
        let mut world = World::new(count, seed);
        world.own(0, 1);
        world.run(5 * SECOND);
        for turn in 0..12u64 {
            match (turn + seed) % 6 {
                // The lease holder stands still for three leases, another comes, and the first one wakes up beside it: it is no
                // lease holder any more, but does not know.
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
                // Gateways start again, those that lent and those that were granted something.
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
                // Two lease holders at once, and the work moves to others.
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
fn without_a_lease_holder_every_gateway_returns_to_its_even_quota() {
    let mut world = World::new(30, 9);
    world.own(0, 1);
    world.run(6 * SECOND);
    assert!(world.grants > 0);
    // All links are cut: nothing of the lease holder's comes to anybody.
    world.pools.clear();
    world.run(3 * SECOND);
    for me in 0..30 {
        let clock = world.clock(me);
        assert_eq!(world.machines[me as usize].quota.current(clock, GROUP).at(clock), 1.0, "gateway {me}");
    }
}

#[test]
fn a_single_gateway_lends_and_requests_nothing() {
    let mut world = World::new(1, 3);
    world.own(0, 1);
    world.run(10 * SECOND);
    let clock = world.clock(0);
    assert_eq!(world.machines[0].quota.current(clock, GROUP).at(clock), 1.0);
}

#[test]
fn invalid_reports_count_for_nothing() {
    let settings = settings(0, 3);
    let mut pool = QuotaPool::new(settings.clone(), 4);
    let (round, _) = pool.open_round(0);
    let line = |requested| [GroupDemand { group: GROUP, rate: u32::MAX, requested }];
    // More than any gateway may lend counts as the most; one for a round that never was counts for nothing.
    pool.on_report(1, 1, round, &line(Milli::MIN));
    pool.on_report(1, 2, round.wrapping_add(9), &line(Milli::MIN));
    assert_eq!(pool.totals(2).0, i64::from(MAX_LENT));
    pool.on_report(2, 2, round, &line(Milli::MAX));
    let (round, _) = pool.open_round(500_000);
    let granted = pool.on_report(500_001, 2, round, &line(Milli::MAX));
    assert_eq!(granted, vec![(GROUP, MAX_LENT)]);
    // Nobody is granted what was not asked for by this process.
    let mut quota = Quota::new(settings, 0, 77);
    quota.on_grant(3 * LEASE, 78, &[(GROUP, 500)]);
    assert_eq!(quota.current(3 * LEASE, GROUP).at(3 * LEASE), 1.0);
}

#[test]
fn the_longest_quota_datagrams_fit() {
    let line = GroupDemand { group: u64::MAX, rate: u32::MAX, requested: Milli::MIN };
    let longest = [
        Message::QuotaReport { term: u64::MAX, round: u32::MAX, number: u32::MAX, lines: vec![line; 11] },
        Message::Notification(
            petrelgauge_ownership::LeadershipRole { kind: u8::MAX, shard: u64::MAX },
            u64::MAX,
            Notification::QuotaRound { round: u32::MAX, mean_rates: vec![(u64::MAX, u32::MAX); 11] },
        ),
        Message::Notification(
            petrelgauge_ownership::LeadershipRole { kind: u8::MAX, shard: u64::MAX },
            u64::MAX,
            Notification::QuotaGrant { number: u32::MAX, granted: vec![(u64::MAX, Milli::MIN); 11] },
        ),
    ];
    for message in longest {
        let bytes = message.write(u16::MAX, u32::MAX, u64::MAX);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes: {message:?}", bytes.len());
        assert_eq!(Message::read(&bytes, u32::MAX, u64::MAX), Ok((u16::MAX, message)));
    }
}

// The lease holder's and the asker's clocks at the slow end, the lender's at the fast one: what is lent ends soonest and what is
// granted lasts longest. Whenever the lease holder hears of either, and whenever the grant comes.
#[test]
fn grants_expire_before_the_loans_that_cover_them_at_any_drift() {
    let spans = settings(0, 3);
    let [slow, fast] = [1.0 - spans.drift_bound, 1.0 + spans.drift_bound]
        .map(|pace| move |at: Time| (at as f64 * pace) as Time);
    let (start, mut granted_at_all) = (10 * LEASE, 0);
    let rates = |rate| BTreeMap::from([(GROUP, rate)]);
    for step in 0..80 {
        for late in [0, LEASE / 4, LEASE / 2, LEASE] {
            for flight in [0, LEASE / 4, LEASE / 2] {
                let (mut lender, mut asker) =
                    (Quota::new(spans.clone(), 0, 1), Quota::new(spans.clone(), 0, 50));
                let mut pool = QuotaPool::new(spans.clone(), 1);
                let (round, _) = pool.open_round(slow(start) - 1);
                for (from, rate, requested) in [(0, 100, 0), (1, 1_000, 500)] {
                    pool.on_report(
                        slow(start) - 1,
                        from,
                        round,
                        &[GroupDemand { group: GROUP, rate, requested }],
                    );
                }
                let (round, means) = pool.open_round(slow(start));
                lender.on_round(fast(start), 1, round, &means[0]);
                let answer = lender.due_reports(fast(start), &rates(100)).remove(0);
                assert_eq!(answer.lines[0].requested, -MAX_LENT);
                pool.on_report(slow(start + late), 0, round, &answer.lines);
                let asked = start + late + step * LEASE / 40;
                let (round, means) = pool.open_round(slow(asked));
                asker.on_round(slow(asked), 1, round, &means[0]);
                let answer = asker.due_reports(slow(asked), &rates(1_000)).remove(0);
                let granted = pool.on_report(slow(asked), 1, round, &answer.lines);
                granted_at_all += granted.len();
                let comes = asked + flight;
                asker.on_grant(slow(comes), answer.number, &granted);
                for at in (comes..comes + 2 * LEASE).step_by(LEASE as usize / 400) {
                    let more = asker.current(slow(at), GROUP).at(slow(at)) - 1.0;
                    let less = lender.current(fast(at), GROUP).at(fast(at)) - 1.0;
                    assert!(
                        more + less < 1e-6,
                        "asked at {step}, late {late}, flight {flight}: {more} of {less}"
                    );
                }
            }
        }
    }
    assert!(granted_at_all > 50, "{granted_at_all} grants");
}

// Each datagram has eleven of them, and every one of these must be known again when it is granted.
#[test]
fn grants_for_the_maximum_number_of_groups_are_all_accepted() {
    let spans = settings(0, 3);
    let (mut lender, mut asker) = (Quota::new(spans.clone(), 0, 1), Quota::new(spans.clone(), 0, 50));
    let mut pool = QuotaPool::new(spans, 1);
    let groups = petrelgauge_ownership::quota::MAX_GROUPS as GroupId;
    let rates = |rate: u32| (0..groups).map(|group| (group, rate)).collect::<BTreeMap<_, _>>();
    let mut now = 10 * LEASE;
    for _ in 0..4 {
        let (round, pieces) = pool.open_round(now);
        for (from, quota, rate) in [(0, &mut lender, 100), (1, &mut asker, 1_000)] {
            pieces.iter().for_each(|means| quota.on_round(now, 1, round, means));
            // All are sent before the first is answered.
            let answers = quota.due_reports(now, &rates(rate));
            let granted: Vec<_> =
                answers.iter().map(|one| pool.on_report(now, from, round, &one.lines)).collect();
            answers.iter().zip(&granted).for_each(|(one, granted)| quota.on_grant(now, one.number, granted));
        }
        now += LEASE / 4;
    }
    let short = (0..groups).filter(|group| asker.current(now, *group).at(now) < 1.4).count();
    assert_eq!(short, 0, "groups of {groups} for which nothing is granted");
}
