//! Hundreds of offices in simulated time, with clocks that drift, datagrams that are lost, late, doubled and out of
//! order, links cut one way or both, stalls, crashes and restarts, all from a seed. The world reads true time; each
//! manager its own clock.

use petrelgauge_ownership::{LeadershipRole, LeaseManager, Message, Notification, Settings, Term};
use petrelgauge_policy::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const ROLE: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
const LEASE: Time = 400_000;
const DELAY: Time = 20_000;

struct Machine {
    manager: Option<LeaseManager>,
    /// Where its clock is in its turn between fast and slow, and what it is wrong by beside.
    shift: Time,
    skew: Time,
    stalled_until: Time,
    /// What came while it stood still, in order.
    inbox: Vec<(u16, Message)>,
    starts: u64,
    /// The highest term of a word that it took.
    took: Term,
}

struct World {
    now: Time,
    machines: Vec<Machine>,
    acceptors: Vec<u16>,
    candidates: BTreeSet<u16>,
    /// By the time of arrival and a number.
    flying: BTreeMap<(Time, u64), (u16, u16, Message)>,
    next: u64,
    rng: Pcg64Mcg,
    loss: u64,
    cut: BTreeSet<(u16, u16)>,
    sent: u64,
    owned_at: Time,
    /// Lease holder and term at each change.
    reigns: Vec<(Time, u16, Term)>,
}

impl World {
    fn new(count: u16, seed: u64) -> World {
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

    fn draw(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    fn clock(&self, me: u16) -> Time {
        // Up to 5% fast or slow, and never more than 0.1 s from the true time: 2 s the one way, 2 s the other.
        let Machine { shift, skew, .. } = &self.machines[me as usize];
        let turn = (self.now + shift).rem_euclid(8_000_000);
        let off = if turn < 4_000_000 { turn - 2_000_000 } else { 6_000_000 - turn };
        self.now + off / 20 + skew
    }

    fn start(&mut self, me: u16) {
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

    fn send(&mut self, from: u16, sent: Vec<(u16, Message)>) {
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

    fn arrive(&mut self, from: u16, to: u16, message: Message) {
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
    fn owners(&self) -> Vec<(u16, Term)> {
        let candidates = self.candidates.iter().copied();
        let may = |me: u16| {
            let manager = self.machines[me as usize].manager.as_ref()?;
            Some((me, manager.held_term(self.clock(me), ROLE)?))
        };
        candidates.filter_map(may).collect()
    }

    fn look(&mut self) {
        let owners = self.owners();
        assert!(owners.len() <= 1, "at {}: {owners:?}", self.now);
        let Some((me, term)) = owners.first().copied() else { return };
        self.owned_at = self.now;
        if self.reigns.last().is_none_or(|(_, who, last)| (*who, *last) != (me, term)) {
            self.reigns.push((self.now, me, term));
        }
    }

    /// Plays for so long.
    fn run(&mut self, span: Time) {
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

    fn step(&mut self, me: u16) {
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

    fn owner(&mut self) -> u16 {
        for _ in 0..400 {
            if let Some((me, _)) = self.owners().first() {
                return *me;
            }
            self.run(5_000);
        }
        panic!("nobody owns the role");
    }

    fn terms_rise(&self) {
        let terms: Vec<Term> = self.reigns.iter().map(|(_, _, term)| *term).collect();
        assert!(terms.windows(2).all(|pair| pair[0] < pair[1]), "{:?}", self.reigns);
    }
}

#[test]
fn one_gateway_holds_the_lease_while_nothing_fails() {
    let mut world = World::new(30, 1);
    world.run(6_000_000);
    assert_eq!(world.reigns.len(), 1, "{:?}", world.reigns);
    assert!(world.now - world.owned_at < 10_000);
}

#[test]
fn there_are_never_two_lease_holders_and_terms_increase() {
    for seed in 0..12 {
        let mut world = World::new(25, seed);
        for _ in 0..60 {
            let (me, other) = (world.draw(25) as u16, world.draw(25) as u16);
            match world.draw(9) {
                0 => world.machines[me as usize].manager = None,
                1 | 2 => world.start(me),
                3 => {
                    let span = world.draw(4 * LEASE as u64) as Time;
                    if let Some((owner, _)) = world.owners().first() {
                        world.machines[*owner as usize].stalled_until = world.now + span;
                    }
                }
                4 => world.cut.extend([(me, other)]),
                5 => world.cut.extend((0..25).map(|to| (me, to))),
                6 => world.cut.clear(),
                7 => world.loss = world.draw(300),
                _ => {
                    // Half of the acceptors within one lease.
                    for place in [0, 10] {
                        world.start(place);
                    }
                }
            }
            let span = world.draw(300_000) as Time + 5_000;
            world.run(span);
        }
        world.terms_rise();
        // All is mended: somebody owns it again, and it is one.
        (world.loss, world.cut) = (20, BTreeSet::new());
        (0..25).for_each(|me| world.start(me));
        world.run(4_000_000);
        assert!(world.now - world.owned_at < 10_000, "seed {seed}: nobody owns it");
        world.terms_rise();
    }
}

#[test]
fn a_crashed_lease_holder_is_replaced_within_the_takeover_bound() {
    for seed in 0..20 {
        let mut world = World::new(20, 100 + seed);
        // Nothing is lost here: what the bound is stated for.
        world.loss = 0;
        let owner = world.owner();
        let settings = world.machines[0].manager.as_ref().expect("it runs").settings().clone();
        world.machines[owner as usize].manager = None;
        // A dead acceptor among five leaves a majority.
        let (died, before) = (world.now, world.reigns.len());
        while world.reigns.len() == before {
            world.run(5_000);
            let took = world.now - died;
            assert!(
                took <= settings.takeover_bound() + 30 * DELAY,
                "seed {seed}: {took} of {}",
                settings.takeover_bound()
            );
        }
    }
}

#[test]
fn a_minority_has_no_lease_holder_and_the_majority_elects_one() {
    let mut world = World::new(25, 9);
    let owner = world.owner();
    let away: Vec<u16> = vec![owner, (owner + 5) % 25];
    for one in 0..25 {
        for other in 0..25 {
            if away.contains(&one) != away.contains(&other) {
                world.cut.insert((one, other));
            }
        }
    }
    world.run(3_000_000);
    let now = world.owners();
    assert!(now.len() == 1 && !away.contains(&now[0].0), "{now:?} with {away:?} cut off");
    world.terms_rise();
}

#[test]
fn a_lease_holder_stalled_for_three_leases_has_lost_its_lease() {
    let mut world = World::new(20, 5);
    let owner = world.owner();
    let clock = world.clock(owner);
    // A word made before the stall, and sent after it.
    let manager = world.machines[owner as usize].manager.as_mut().expect("it runs");
    let word = manager
        .notification(clock, ROLE, Notification::Primary { member: 1, position: 5 })
        .expect("it owns the role");
    let Message::Notification(_, term, _) = word else { panic!("a word") };
    world.machines[owner as usize].stalled_until = world.now + 3 * LEASE;
    world.run(3 * LEASE + 5_000);
    let clock = world.clock(owner);
    let manager = world.machines[owner as usize].manager.as_ref().expect("it runs");
    assert!(!manager.still_holds(clock, ROLE, term), "asked right before the send, it says no");
    // One that did not ask: whoever heard of the next lease holder turns it away.
    let other = world.owner();
    assert_ne!(other, owner);
    let manager = world.machines[other as usize].manager.as_ref().expect("it runs");
    assert!(!manager.would_admit(ROLE, term));
}

#[test]
fn terms_increase_when_all_acceptors_restart() {
    let mut world = World::new(20, 6);
    world.owner();
    for _ in 0..3 {
        (0..20).for_each(|me| world.start(me));
        let begun = world.now;
        world.run(4_000_000);
        assert!(world.reigns.last().is_some_and(|(at, _, _)| *at > begun));
    }
    assert!(world.reigns.len() >= 4);
}

#[test]
fn the_checker_detects_two_lease_holders_after_a_clock_is_set_back() {
    let two = (0..20).any(|seed| {
        let mut world = World::new(20, 1000 + seed);
        let owner = world.owner();
        // Its clock is set back by two leases while it owns the role.
        world.machines[owner as usize].skew = -2 * LEASE;
        world.machines[owner as usize].stalled_until = Time::MAX;
        (0..400).any(|_| {
            let caught = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.run(5_000)));
            caught.is_err()
        })
    });
    // No drift allows that. The checker must see it, or it sees nothing.
    assert!(two, "the checker has never caught anything");
}

#[test]
fn the_cost_per_gateway_is_flat_up_to_a_thousand_gateways() {
    let rate = |count: u16| {
        let mut world = World::new(count, 3);
        world.run(3_000_000);
        let (before, span) = (world.sent, 3_000_000);
        world.run(span);
        assert!(world.now - world.owned_at < 10_000);
        (world.sent - before) as f64 / f64::from(count) / (span as f64 / 1e6)
    };
    let (few, many) = (rate(100), rate(1000));
    assert!(many < few * 1.2, "{few:.1} and {many:.1} datagrams a second and gateway");
}
