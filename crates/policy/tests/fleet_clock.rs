//! The estimate of the hosts' clock, and what a router decides whose own clock is wrong.

mod common;
use common::*;
use petrelgauge_policy::*;
use proptest::prelude::*;
use std::ops::RangeInclusive;

const S: Time = 1_000 * MS;
/// A wrong clock's errors, `hosts' clock - own clock`: behind and ahead.
const OFFSETS: [Time; 6] = [3 * S, 60 * S, 3_600 * S, -3 * S, -60 * S, -3_600 * S];
/// Times of the own clock are large enough for any of them.
const NOON: Time = 1_000_000 * S;

fn enabled() -> HostClock {
    let mut clock = HostClock::default();
    clock.set_enabled(true);
    clock
}

/// A write to member 1 whose commit is in the middle of `took`; its answer arrives at `received` of the own clock.
fn write(clock: &mut HostClock, offset: Time, received: Time, took: Time) {
    clock.record_commit(Commit {
        member: 1,
        committed_at: received - took / 2 + offset,
        sent_at: received - took,
        received_at: received,
        is_first_attempt: true,
    });
}

/// How far the estimate is from the true offset.
fn errors(clock: &HostClock, offset: Time) -> (Time, Time) {
    (clock.hosts_time(NOON) - NOON - offset, clock.latest_hosts_time(NOON) - NOON - offset)
}

#[test]
fn the_estimate_of_a_right_clock_stays_0() {
    let mut clock = enabled();
    assert!(!clock.is_trusted() && !clock.is_uncertain());
    clock.record_start(2, NOON - 5 * S, NOON);
    clock.record_position(2, NOON - 20 * MS, NOON);
    assert!(clock.is_trusted(), "hosts report its own time");
    for n in 1..40 {
        write(&mut clock, 0, NOON + n * S, 20 * MS * n);
        clock.record_position(2 + n as MemberId % 3, NOON + n * S - 300 * MS, NOON + n * S);
        assert_eq!(errors(&clock, 0), (0, 0));
        assert!(clock.is_trusted());
    }
    assert!(clock.is_plausible(NOON + S, NOON) && !clock.is_plausible(NOON + S + 1, NOON));
}

#[test]
fn a_wrong_clock_is_known_within_milliseconds_after_a_few_commits() {
    for offset in OFFSETS {
        let mut clock = enabled();
        for n in 0..3 {
            write(&mut clock, offset, NOON + n * S, 20 * MS);
        }
        assert!(clock.is_trusted());
        let (error, latest) = errors(&clock, offset);
        assert!((-12 * MS..=0).contains(&error) && (-12 * MS..=10 * MS).contains(&latest), "{offset}");
        clock.record_position(1, NOON + offset, NOON);
        let (error, latest) = errors(&clock, offset);
        assert!((-MS..=0).contains(&error) && (0..=5 * MS).contains(&latest), "{offset} {error} {latest}");
    }
}

#[test]
fn one_commit_is_enough_to_judge_positions_by() {
    for offset in OFFSETS {
        let mut clock = enabled();
        write(&mut clock, offset, NOON, 20 * MS);
        assert!(clock.is_trusted());
        assert!(clock.is_plausible(NOON + offset, NOON), "{offset}");
        assert!((-12 * MS..=10 * MS).contains(&errors(&clock, offset).1), "{offset}");
    }
}

#[test]
fn without_a_commit_a_wrong_clock_is_doubted() {
    for offset in OFFSETS {
        let mut clock = enabled();
        clock.record_position(1, NOON + offset, NOON);
        assert!(clock.is_uncertain(), "{offset}");
        clock.record_position(2, NOON + offset - 5 * S, NOON);
        assert!(clock.is_uncertain(), "{offset}");
        // A replica that is as old as the clock is behind does not vouch for it.
        clock.record_position(3, NOON.min(NOON + offset), NOON);
        assert!(clock.is_uncertain(), "{offset}");
    }
}

#[test]
fn an_absurd_position_does_not_move_the_estimate() {
    for offset in [0, 3_600 * S, -3_600 * S] {
        let mut clock = enabled();
        clock.record_position(7, NOON + 86_400 * S, NOON);
        for n in 0..5 {
            write(&mut clock, offset, NOON, 20 * MS + n);
            clock.record_position(2, NOON + offset - MS, NOON);
        }
        clock.record_position(8, Time::MAX, NOON);
        let (error, _) = errors(&clock, offset);
        assert!((-3 * MS..=0).contains(&error), "{offset} {error}");
    }
}

#[test]
fn a_retry_answered_with_an_earlier_commit_does_not_move_the_estimate() {
    for offset in [0, 3_600 * S, -3_600 * S] {
        let mut clock = enabled();
        clock.record_position(2, NOON + offset - MS, NOON);
        clock.record_position(3, NOON + offset - MS, NOON);
        for n in 0..40 {
            // Most answers are of earlier runs; some commits are made up.
            let commit = if n % 13 == 12 { NOON + 86_400 * S } else { NOON + offset - 9 * S };
            clock.record_commit(Commit {
                member: 1,
                committed_at: commit,
                sent_at: NOON - 20 * MS,
                received_at: NOON,
                is_first_attempt: true,
            });
            write(&mut clock, offset, NOON, 20 * MS);
            let (error, _) = errors(&clock, offset);
            assert!((-3 * MS..=0).contains(&error), "{offset} {n} {error}");
        }
    }
}

#[test]
fn a_later_attempt_gives_no_upper_bound() {
    let mut clock = enabled();
    clock.record_commit(Commit {
        member: 1,
        committed_at: NOON - 3_600 * S,
        sent_at: NOON - 20 * MS,
        received_at: NOON,
        is_first_attempt: false,
    });
    assert_eq!(errors(&clock, 0), (0, 0));
    assert!(!clock.is_trusted());
}

#[test]
fn old_lower_bounds_are_forgotten_as_the_clocks_drift() {
    let mut clock = enabled();
    for n in 0..200 {
        // The own clock gains 50 us a second.
        let (now, offset) = (NOON + n * S, 60 * S - n * 50);
        write(&mut clock, offset, now, 4 * MS);
        clock.record_position(2, now + offset, now);
    }
    let error = clock.hosts_time(NOON) - NOON - (60 * S - 199 * 50);
    assert!((-MS..=7 * MS).contains(&error), "{error}");
}

fn any_offset() -> impl Strategy<Value = Time> {
    prop_oneof![Just(0), -4_000 * S..4_000 * S, -50 * MS..50 * MS]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20), ..Default::default() })]

    // Under sound evidence the true offset lies between the estimate and the evidence's slack, and a position that was
    // reported is never thrown away once it is trusted.
    #[test]
    fn sound_evidence_never_misleads(
        offset in any_offset(),
        evidence in prop::collection::vec((0u32..6, 0..400 * MS, 0..400 * MS, any::<bool>()), 3..60),
    ) {
        let mut clock = enabled();
        let mut slack: Vec<Time> = Vec::new();
        for (n, (member, there, back, is_write)) in evidence.into_iter().enumerate() {
            let now = NOON + n as Time * 10 * MS;
            let reported = now - back + offset;
            if is_write {
                clock.record_commit(Commit { member, committed_at: reported, sent_at: now - back - there, received_at: now, is_first_attempt: true });
                slack.push(there);
            } else {
                clock.record_position(member, reported, now);
            }
            // Never later than the hosts' clock, by more than the own one is: that is right or known to be wrong.
            let estimate = clock.hosts_time(now) - now;
            prop_assert!(estimate <= offset.max(0), "{estimate}");
            if slack.len() >= 3 {
                prop_assert!(clock.is_trusted());
                prop_assert!(clock.is_plausible(reported, now));
                // The last few writes are remembered.
                let mut last = slack[slack.len().saturating_sub(16)..].to_vec();
                last.sort_unstable();
                prop_assert!(estimate <= offset + last[2] + MS);
                // The lowest answer's way back, and no more, may be missing.
                prop_assert!(estimate >= offset.min(0) - 401 * MS);
                prop_assert!(clock.latest_hosts_time(now) - now >= estimate);
            }
            if offset == 0 {
                prop_assert_eq!(estimate, 0);
            }
        }
    }
}

/// A router whose clock is wrong by this much, and members that answer by the hosts' clock.
struct Shifted {
    harness: Harness,
    offset: Time,
    /// How far each member is behind.
    lags: [Time; 3],
    next: u32,
}

impl Shifted {
    fn new(offset: Time, lags: [Time; 3], started: [Time; 3]) -> Shifted {
        let class = |class: &Class| Class { deadline: 2 * S, ..class.clone() };
        let set = Settings {
            classes: settings().classes.iter().map(class).collect(),
            stale_read_policy: StaleReadPolicy::Serve,
            clock_may_be_wrong: true,
            ..settings()
        };
        let mut harness = Harness::empty(set);
        harness.now = NOON;
        let entry = |member: MemberId| {
            let started = started[member as usize - 1];
            let started = if started > 0 { NOON + offset - started } else { 0 };
            entry(member, MemberStatus::Up, member == 1, started)
        };
        harness.step(Event::List {
            update: Update::Complete,
            entries: (1..=3).map(entry).collect::<Vec<_>>().into(),
        });
        Shifted { harness, offset, lags, next: 0 }
    }

    /// A request of this class: the member that answered it, some milliseconds after it was sent.
    fn send_request(&mut self, class: usize) -> Option<MemberId> {
        self.next += 1;
        let name = format!("r{}", self.next);
        let mut actions = self.harness.send_request(&name, class, 1_500 * MS);
        for _ in 0..8 {
            if let Some(member) = sent_to(&actions) {
                self.answer(&name, class, member);
                return Some(member);
            }
            actions = self.harness.advance(5 * MS);
        }
        self.harness.step(Event::Abandoned { request: name.as_str().into() });
        None
    }

    fn answer(&mut self, name: &str, class: usize, member: MemberId) {
        let sent = self.harness.now;
        // No two answers in a row take the same time.
        let took = (6 + self.next as Time * 7 % 10) * MS;
        self.harness.now += took;
        let (now, lag) = (self.harness.now, self.lags[member as usize - 1]);
        // Reported 2 ms before it arrives.
        let reported = now + self.offset - 2 * MS - lag;
        let clock = self.harness.router.host_clock_mut();
        if class >= 4 {
            clock.record_commit(Commit {
                member,
                committed_at: reported,
                sent_at: sent,
                received_at: now,
                is_first_attempt: true,
            });
        } else {
            clock.record_position(member, reported, now);
        }
        let position = clock.is_plausible(reported, now).then_some(reported);
        self.harness.step(Event::Outcome(AttemptOutcome {
            request: name.into(),
            attempt: 0,
            member,
            ending: Ending::Served,
            took,
            closed: true,
            position,
            role: Some(if member == 1 { Role::Primary } else { Role::Replica }),
            report: Report::default(),
        }));
    }

    /// So many reads of any data at once, all answered after that: how many went to member 3.
    fn burst(&mut self, count: u32) -> u32 {
        let mut sent = Vec::new();
        for _ in 0..count {
            self.next += 1;
            let name = format!("b{}", self.next);
            let actions = self.harness.send_request(&name, 2, 1_500 * MS);
            match sent_to(&actions) {
                Some(member) => sent.push((name, member)),
                None => drop(self.harness.step(Event::Abandoned { request: name.as_str().into() })),
            }
        }
        let to_started = sent.iter().filter(|(_, member)| *member == 3).count();
        sent.iter().for_each(|(name, member)| self.answer(name, 2, *member));
        to_started as u32
    }

    /// So many rounds of one write, one read of any data and two bounded reads; where the bounded ones went.
    fn rounds(&mut self, count: RangeInclusive<u32>) -> [u32; 3] {
        let mut went = [0; 3];
        for _ in count {
            self.send_request(5);
            self.send_request(2);
            for _ in 0..2 {
                let member = self.send_request(0);
                member.into_iter().for_each(|member| went[member as usize - 1] += 1);
            }
            self.harness.advance(10 * MS);
        }
        went
    }
}

#[test]
fn replicas_get_bounded_reads_soon_after_a_start_whatever_the_clock() {
    let right = Shifted::new(0, [0, 20 * MS, 20 * MS], [0; 3]).rounds(1..=40);
    assert!(right[1] + right[2] >= 30, "{right:?}");
    for offset in OFFSETS {
        let went = Shifted::new(offset, [0, 20 * MS, 20 * MS], [0; 3]).rounds(1..=40);
        assert!(went[1] + went[2] >= 30, "{offset}: {went:?}");
    }
}

#[test]
fn no_bounded_read_goes_to_a_stale_replica_whatever_the_clock() {
    for offset in OFFSETS.into_iter().chain([0]) {
        // Also a replica whose data are about as old as the clock is behind: by that one they look new.
        let behind = offset.max(S);
        for stale in [260 * MS, 1_500 * MS, 10 * S, 3_700 * S, behind - 500 * MS, behind, behind + 100 * MS] {
            let went = Shifted::new(offset, [0, 20 * MS, stale], [0; 3]).rounds(1..=40);
            assert_eq!(went[2], 0, "{offset} {stale}: {went:?}");
        }
    }
}

/// Reads of any data that member 3 is sent within its first seconds, of 15 bursts of 12 at once.
fn sent_to_started(offset: Time, started: [Time; 3]) -> u32 {
    let mut shifted = Shifted::new(offset, [0, 20 * MS, 20 * MS], started);
    shifted.rounds(1..=3);
    (0..15).map(|_| shifted.burst(12)).sum()
}

#[test]
fn a_member_that_has_just_started_is_spared_and_a_warm_one_is_not_whatever_the_clock() {
    let spared = sent_to_started(0, [7_200 * S, 7_200 * S, S]);
    let warm = sent_to_started(0, [7_200 * S, 7_200 * S, 300 * S]);
    println!("cold {spared}, warm {warm}");
    assert!(2 * spared < warm, "{spared} {warm}");
    for offset in OFFSETS {
        let cold = sent_to_started(offset, [7_200 * S, 7_200 * S, S]);
        assert!(cold <= spared + spared / 4 + 2, "{offset}: {cold} and {spared}");
        let grown = sent_to_started(offset, [7_200 * S, 7_200 * S, 300 * S]);
        assert!(2 * grown > warm, "{offset}: {grown} and {warm}");
    }
}

#[test]
fn members_count_as_warming_up_only_while_the_clock_is_in_doubt() {
    let mut shifted = Shifted::new(-3_600 * S, [0, 20 * MS, 20 * MS], [0, S, S]);
    // Reads alone show that something is wrong, and a write by how much.
    (0..20).for_each(|_| {
        shifted.send_request(2);
    });
    assert!(shifted.harness.router.host_clock().is_uncertain());
    shifted.send_request(5);
    assert!(!shifted.harness.router.host_clock().is_uncertain());
}
