//! The estimate of the hosts' clock, and the decisions of a router whose local clock is wrong.

mod common;
use common::*;
use petrelgauge_policy::*;
use proptest::prelude::*;
use std::ops::RangeInclusive;

const S: Time = 1_000 * MS;
/// Errors of a wrong local clock, `hosts' clock - local clock`: behind and ahead.
const OFFSETS: [Time; 6] = [3 * S, 60 * S, 3_600 * S, -3 * S, -60 * S, -3_600 * S];
/// A time of the local clock that is large enough for any of the offsets.
const NOW: Time = 1_000_000 * S;

fn enabled_clock() -> HostClock {
    let mut clock = HostClock::default();
    clock.set_enabled(true);
    clock
}

/// Records a write to member 1 that committed in the middle of `took`. Its answer arrives at `received` of
/// the local clock.
fn record_write(clock: &mut HostClock, offset: Time, received: Time, took: Time) {
    clock.record_commit(Commit {
        member: 1,
        committed_at: received - took / 2 + offset,
        sent_at: received - took,
        received_at: received,
        is_first_attempt: true,
    });
}

/// The errors of the estimate and of its upper bound, relative to the true offset.
fn estimate_errors(clock: &HostClock, offset: Time) -> (Time, Time) {
    (clock.hosts_time(NOW) - NOW - offset, clock.latest_hosts_time(NOW) - NOW - offset)
}

#[test]
fn the_estimate_for_a_correct_clock_stays_0() {
    let mut clock = enabled_clock();
    assert!(!clock.is_trusted() && !clock.is_uncertain());
    clock.record_start(2, NOW - 5 * S, NOW);
    clock.record_position(2, NOW - 20 * MS, NOW);
    assert!(clock.is_trusted(), "hosts report the time of the local clock");
    for n in 1..40 {
        record_write(&mut clock, 0, NOW + n * S, 20 * MS * n);
        clock.record_position(2 + n as MemberId % 3, NOW + n * S - 300 * MS, NOW + n * S);
        assert_eq!(estimate_errors(&clock, 0), (0, 0));
        assert!(clock.is_trusted());
    }
    assert!(clock.is_plausible(NOW + S, NOW) && !clock.is_plausible(NOW + S + 1, NOW));
}

#[test]
fn a_wrong_clock_is_known_within_milliseconds_after_a_few_commits() {
    for offset in OFFSETS {
        let mut clock = enabled_clock();
        for n in 0..3 {
            record_write(&mut clock, offset, NOW + n * S, 20 * MS);
        }
        assert!(clock.is_trusted());
        let (error, latest) = estimate_errors(&clock, offset);
        assert!((-12 * MS..=0).contains(&error) && (-12 * MS..=10 * MS).contains(&latest), "{offset}");
        clock.record_position(1, NOW + offset, NOW);
        let (error, latest) = estimate_errors(&clock, offset);
        assert!((-MS..=0).contains(&error) && (0..=5 * MS).contains(&latest), "{offset} {error} {latest}");
    }
}

#[test]
fn one_commit_is_enough_to_check_positions() {
    for offset in OFFSETS {
        let mut clock = enabled_clock();
        record_write(&mut clock, offset, NOW, 20 * MS);
        assert!(clock.is_trusted());
        assert!(clock.is_plausible(NOW + offset, NOW), "{offset}");
        assert!((-12 * MS..=10 * MS).contains(&estimate_errors(&clock, offset).1), "{offset}");
    }
}

#[test]
fn without_a_commit_a_wrong_clock_is_doubted() {
    for offset in OFFSETS {
        let mut clock = enabled_clock();
        clock.record_position(1, NOW + offset, NOW);
        assert!(clock.is_uncertain(), "{offset}");
        clock.record_position(2, NOW + offset - 5 * S, NOW);
        assert!(clock.is_uncertain(), "{offset}");
        // A replica whose lag equals the error of the clock does not confirm the clock.
        clock.record_position(3, NOW.min(NOW + offset), NOW);
        assert!(clock.is_uncertain(), "{offset}");
    }
}

#[test]
fn an_implausible_position_does_not_move_the_estimate() {
    for offset in [0, 3_600 * S, -3_600 * S] {
        let mut clock = enabled_clock();
        clock.record_position(7, NOW + 86_400 * S, NOW);
        for n in 0..5 {
            record_write(&mut clock, offset, NOW, 20 * MS + n);
            clock.record_position(2, NOW + offset - MS, NOW);
        }
        clock.record_position(8, Time::MAX, NOW);
        let (error, _) = estimate_errors(&clock, offset);
        assert!((-3 * MS..=0).contains(&error), "{offset} {error}");
    }
}

#[test]
fn a_retry_answered_with_an_earlier_commit_does_not_move_the_estimate() {
    for offset in [0, 3_600 * S, -3_600 * S] {
        let mut clock = enabled_clock();
        clock.record_position(2, NOW + offset - MS, NOW);
        clock.record_position(3, NOW + offset - MS, NOW);
        for n in 0..40 {
            // Most answers report commits of earlier attempts; some report commits that never happened.
            let commit = if n % 13 == 12 { NOW + 86_400 * S } else { NOW + offset - 9 * S };
            clock.record_commit(Commit {
                member: 1,
                committed_at: commit,
                sent_at: NOW - 20 * MS,
                received_at: NOW,
                is_first_attempt: true,
            });
            record_write(&mut clock, offset, NOW, 20 * MS);
            let (error, _) = estimate_errors(&clock, offset);
            assert!((-3 * MS..=0).contains(&error), "{offset} {n} {error}");
        }
    }
}

#[test]
fn a_later_attempt_gives_no_upper_bound() {
    let mut clock = enabled_clock();
    clock.record_commit(Commit {
        member: 1,
        committed_at: NOW - 3_600 * S,
        sent_at: NOW - 20 * MS,
        received_at: NOW,
        is_first_attempt: false,
    });
    assert_eq!(estimate_errors(&clock, 0), (0, 0));
    assert!(!clock.is_trusted());
}

#[test]
fn old_lower_bounds_are_forgotten_as_the_clocks_drift() {
    let mut clock = enabled_clock();
    for n in 0..200 {
        // The local clock gains 50 us a second.
        let (now, offset) = (NOW + n * S, 60 * S - n * 50);
        record_write(&mut clock, offset, now, 4 * MS);
        clock.record_position(2, now + offset, now);
    }
    let error = clock.hosts_time(NOW) - NOW - (60 * S - 199 * 50);
    assert!((-MS..=7 * MS).contains(&error), "{error}");
}

fn any_offset() -> impl Strategy<Value = Time> {
    prop_oneof![Just(0), -4_000 * S..4_000 * S, -50 * MS..50 * MS]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..Default::default()
    })]

    // With correct evidence the true offset lies between the estimate and the slack of the evidence, and a
    // reported position is never discarded once the clock is trusted.
    #[test]
    fn correct_evidence_bounds_the_estimate(
        offset in any_offset(),
        evidence in prop::collection::vec((0u32..6, 0..400 * MS, 0..400 * MS, any::<bool>()), 3..60),
    ) {
        let mut clock = enabled_clock();
        let mut slack: Vec<Time> = Vec::new();
        for (n, (member, request_delay, answer_delay, is_write)) in evidence.into_iter().enumerate() {
            let now = NOW + n as Time * 10 * MS;
            let reported = now - answer_delay + offset;
            if is_write {
                clock.record_commit(Commit {
                    member,
                    committed_at: reported,
                    sent_at: now - answer_delay - request_delay,
                    received_at: now,
                    is_first_attempt: true,
                });
                slack.push(request_delay);
            } else {
                clock.record_position(member, reported, now);
            }
            // The estimate is ahead of the hosts' clock by no more than the local clock is, which is either
            // correct or known to be wrong.
            let estimate = clock.hosts_time(now) - now;
            prop_assert!(estimate <= offset.max(0), "{estimate}");
            if slack.len() >= 3 {
                prop_assert!(clock.is_trusted());
                prop_assert!(clock.is_plausible(reported, now));
                // The clock keeps the last few writes.
                let mut last = slack[slack.len().saturating_sub(16)..].to_vec();
                last.sort_unstable();
                prop_assert!(estimate <= offset + last[2] + MS);
                // The estimate is low by at most the delay of the fastest answer.
                prop_assert!(estimate >= offset.min(0) - 401 * MS);
                prop_assert!(clock.latest_hosts_time(now) - now >= estimate);
            }
            if offset == 0 {
                prop_assert_eq!(estimate, 0);
            }
        }
    }
}

/// A router whose clock is wrong by an offset, and members that report positions of the hosts' clock.
struct SkewedRouter {
    harness: Harness,
    offset: Time,
    /// Lag of each member.
    lags: [Time; 3],
    requested: u32,
}

impl SkewedRouter {
    fn new(offset: Time, lags: [Time; 3], started: [Time; 3]) -> SkewedRouter {
        let class = |class: &Class| Class { deadline: 2 * S, ..class.clone() };
        let set = Settings {
            classes: settings().classes.iter().map(class).collect(),
            stale_read_policy: StaleReadPolicy::Serve,
            clock_may_be_wrong: true,
            ..settings()
        };
        let mut harness = Harness::empty(set);
        harness.now = NOW;
        let entry = |member: MemberId| {
            let started = started[member as usize - 1];
            let started = if started > 0 { NOW + offset - started } else { 0 };
            entry(member, MemberStatus::Up, member == 1, started)
        };
        harness.step(Event::List {
            update: Update::Complete,
            entries: (1..=3).map(entry).collect::<Vec<_>>().into(),
        });
        SkewedRouter { harness, offset, lags, requested: 0 }
    }

    /// Sends a request of this class and has it answered a few milliseconds later. Returns the member that
    /// answered it.
    fn send_request(&mut self, class: usize) -> Option<MemberId> {
        self.requested += 1;
        let name = format!("r{}", self.requested);
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
        // No two consecutive answers take the same time.
        let took = (6 + self.requested as Time * 7 % 10) * MS;
        self.harness.now += took;
        let (now, lag) = (self.harness.now, self.lags[member as usize - 1]);
        // The member reports its position 2 ms before the answer arrives.
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

    /// Sends this number of eventual reads at once, and has all of them answered. Returns the number sent to
    /// member 3.
    fn send_burst(&mut self, count: u32) -> u32 {
        let mut sent = Vec::new();
        for _ in 0..count {
            self.requested += 1;
            let name = format!("b{}", self.requested);
            let actions = self.harness.send_request(&name, 2, 1_500 * MS);
            match sent_to(&actions) {
                Some(member) => sent.push((name, member)),
                None => drop(self.harness.step(Event::Abandoned { request: name.as_str().into() })),
            }
        }
        let sent_to_started = sent.iter().filter(|(_, member)| *member == 3).count();
        sent.iter().for_each(|(name, member)| self.answer(name, 2, *member));
        sent_to_started as u32
    }

    /// Runs rounds of one write, one eventual read and two bounded reads. Returns the number of bounded
    /// reads that each member was sent.
    fn run_rounds(&mut self, count: RangeInclusive<u32>) -> [u32; 3] {
        let mut bounded_reads = [0; 3];
        for _ in count {
            self.send_request(5);
            self.send_request(2);
            for _ in 0..2 {
                let member = self.send_request(0);
                member.into_iter().for_each(|member| bounded_reads[member as usize - 1] += 1);
            }
            self.harness.advance(10 * MS);
        }
        bounded_reads
    }
}

#[test]
fn replicas_get_bounded_reads_soon_after_a_start_whatever_the_clock() {
    let with_correct_clock = SkewedRouter::new(0, [0, 20 * MS, 20 * MS], [0; 3]).run_rounds(1..=40);
    assert!(with_correct_clock[1] + with_correct_clock[2] >= 30, "{with_correct_clock:?}");
    for offset in OFFSETS {
        let bounded_reads = SkewedRouter::new(offset, [0, 20 * MS, 20 * MS], [0; 3]).run_rounds(1..=40);
        assert!(bounded_reads[1] + bounded_reads[2] >= 30, "{offset}: {bounded_reads:?}");
    }
}

#[test]
fn no_bounded_read_goes_to_a_stale_replica_whatever_the_clock() {
    for offset in OFFSETS.into_iter().chain([0]) {
        // This includes replicas that lag by about as much as the local clock is behind: by that clock they
        // seem current.
        let error = offset.max(S);
        for stale in [260 * MS, 1_500 * MS, 10 * S, 3_700 * S, error - 500 * MS, error, error + 100 * MS] {
            let bounded_reads = SkewedRouter::new(offset, [0, 20 * MS, stale], [0; 3]).run_rounds(1..=40);
            assert_eq!(bounded_reads[2], 0, "{offset} {stale}: {bounded_reads:?}");
        }
    }
}

/// Sends 15 bursts of 12 eventual reads at once. Returns the number sent to member 3 within its first
/// seconds.
fn sent_to_started(offset: Time, started: [Time; 3]) -> u32 {
    let mut skewed = SkewedRouter::new(offset, [0, 20 * MS, 20 * MS], started);
    skewed.run_rounds(1..=3);
    (0..15).map(|_| skewed.send_burst(12)).sum()
}

#[test]
fn a_member_that_has_just_started_is_limited_and_a_warm_one_is_not_whatever_the_clock() {
    let cold = sent_to_started(0, [7_200 * S, 7_200 * S, S]);
    let warm = sent_to_started(0, [7_200 * S, 7_200 * S, 300 * S]);
    println!("cold {cold}, warm {warm}");
    assert!(2 * cold < warm, "{cold} {warm}");
    for offset in OFFSETS {
        let skewed_cold = sent_to_started(offset, [7_200 * S, 7_200 * S, S]);
        assert!(skewed_cold <= cold + cold / 4 + 2, "{offset}: {skewed_cold} and {cold}");
        let skewed_warm = sent_to_started(offset, [7_200 * S, 7_200 * S, 300 * S]);
        assert!(2 * skewed_warm > warm, "{offset}: {skewed_warm} and {warm}");
    }
}

#[test]
fn members_count_as_warming_up_only_while_the_clock_is_in_doubt() {
    let mut skewed = SkewedRouter::new(-3_600 * S, [0, 20 * MS, 20 * MS], [0, S, S]);
    // Reads alone show that the clock is wrong, and a write shows by how much.
    (0..20).for_each(|_| {
        skewed.send_request(2);
    });
    assert!(skewed.harness.router.host_clock().is_uncertain());
    skewed.send_request(5);
    assert!(!skewed.harness.router.host_clock().is_uncertain());
}
