//! Pauses before a watch of the discovery service is retried: bounds, jitter and the load on an overloaded
//! service.

use petrelgauge_lifecycle::backoff::{Backoff, Cause, FIRST_MEAN, MAX_MEAN};
use petrelgauge_policy::Time;

/// Simulates gateways that all start at 0 with a service that handles one call at a time, each in 60 ms, and
/// rejects calls that have waited for 2 s, which costs it the same 60 ms. Returns when the last gateway
/// succeeded (microseconds), if all did within 20 s.
fn last_success_at(gateways: u32, pause: impl Fn(&mut Backoff) -> Time) -> Option<Time> {
    let backoffs = (0..gateways).map(|n| Backoff::new(gateways, 77 + u64::from(n)));
    let mut calls: Vec<(Time, Backoff)> = backoffs.map(|backoff| (0, backoff)).collect();
    let (mut free_at, mut last) = (0, 0);
    while !calls.is_empty() {
        let next = (0..calls.len()).min_by_key(|n| calls[*n].0).unwrap_or_default();
        let (at, mut backoff) = calls.swap_remove(next);
        free_at = Time::max(free_at, at) + 60_000;
        if free_at - at <= 2_000_000 {
            last = last.max(free_at);
        } else {
            calls.push((at + 2_000_000 + pause(&mut backoff), backoff));
        }
        if at > 20_000_000 {
            return None;
        }
    }
    Some(last)
}

#[test]
fn backoff_lets_a_hundred_gateways_succeed_where_a_fixed_pause_keeps_overloading_the_service() {
    let fixed = |_: &mut Backoff| FIRST_MEAN;
    assert_eq!(last_success_at(100, fixed), None, "all gateways call at the same time, in each round");
    let jittered = |backoff: &mut Backoff| backoff.pause(Cause::Rejected);
    let last = last_success_at(100, jittered).expect("all succeed");
    assert!(last <= 18_000_000, "the last one succeeded after {last} us");
    assert!(last_success_at(70, jittered).is_some_and(|last| last <= 12_000_000));
}

// An update must be known within 6 s and applied 2 s later. A watch times out after 3 s.
#[test]
fn two_silent_watches_time_out_before_an_update_is_due_in_any_fleet() {
    let worst = |gateways, seed| {
        let mut backoff = Backoff::new(gateways, seed);
        2 * 3_000_000 + backoff.pause(Cause::Lost) + backoff.pause(Cause::Lost)
    };
    for gateways in [1, 8, 300, 10_000, u32::MAX] {
        assert!((0..200).all(|seed| worst(gateways, seed) < 8_000_000), "{gateways} gateways");
    }
}

// Updates are due 2 s after an outage: a pause of up to 1.6 s would leave 0.4 s to connect and to receive the
// first line.
#[test]
fn a_pause_after_any_outage_leaves_time_to_apply_updates() {
    for seed in 0..50 {
        let mut backoff = Backoff::new(300, seed);
        let pauses: Vec<Time> = (0..40).map(|_| backoff.pause(Cause::Lost)).collect();
        assert!(pauses.iter().all(|pause| *pause < 800_000), "{pauses:?}");
        assert!(pauses.iter().any(|pause| *pause > 400_000), "pauses grow with consecutive failures");
    }
}

#[test]
fn pauses_are_bounded_and_differ_between_gateways() {
    for gateways in [1, 5, 100, u32::MAX] {
        let (mut first, mut second) = (Backoff::new(gateways, 1), Backoff::new(gateways, 2));
        let pauses: Vec<Time> = (0..200).map(|_| first.pause(Cause::Rejected)).collect();
        assert!(pauses.iter().all(|pause| (0..2 * MAX_MEAN).contains(pause)));
        assert!((0..200).any(|n| second.pause(Cause::Rejected) != pauses[n]));
    }
}

#[test]
fn a_success_resets_the_backoff() {
    let mut backoff = Backoff::new(1, 3);
    for _ in 0..20 {
        backoff.pause(Cause::Lost);
    }
    backoff.reset();
    assert!(backoff.pause(Cause::Lost) < 2 * FIRST_MEAN);
}
