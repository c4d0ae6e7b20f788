//! A minimum position on top of what a class needs, and the short wait for a replica about to pass it.

mod common;
use common::*;
use petrelgauge_policy::*;

/// A harness whose members answered with these lags, member 1 as the primary.
fn taught(settings: Settings, lags: [Time; 3]) -> Harness {
    let mut harness = Harness::new(settings);
    for n in 0..120 {
        let name = format!("t{n}");
        // Every third is a write: the primary has work of its own.
        let class = if n % 3 == 0 { 5 } else { 2 };
        if let Some(member) = sent_to(&harness.send_request(&name, class, 900 * MS)) {
            let role = if member == 1 { Role::Primary } else { Role::Replica };
            harness.report_attempt_with(
                &name,
                0,
                member,
                Ending::Served,
                Some(lags[member as usize - 1]),
                Some(role),
            );
        }
        harness.advance(5 * MS);
    }
    harness
}

/// The primary serves a write, and so has no time to lend.
fn write(harness: &mut Harness, n: u32) {
    let name = format!("w{n}");
    assert_eq!(sent_to(&harness.send_request(&name, 5, 900 * MS)), Some(1));
    harness.now += 20 * MS;
    harness.report_attempt_with(&name, 0, 1, Ending::Served, Some(0), Some(Role::Primary));
}

fn holding() -> Settings {
    Settings { read_wait_bound: 60 * MS, ..settings() }
}

/// Where a read of any data with this minimum position goes, and after what wait.
fn placed(harness: &mut Harness, class: usize, minimum_position: Time) -> (Option<MemberId>, Time) {
    let began = harness.now;
    let name = format!("f{began}");
    let mut actions = harness.step(request(&name, class, 900 * MS, Some(minimum_position)));
    for _ in 0..30 {
        if let Some(member) = sent_to(&actions) {
            harness.report_attempt_with(&name, 0, member, Ending::Served, None, None);
            return (Some(member), harness.now - began);
        }
        actions = harness.advance(5 * MS);
    }
    (None, harness.now - began)
}

#[test]
fn a_read_waits_for_a_replica_that_is_about_to_reach_its_minimum_position() {
    let mut harness = taught(holding(), [0, 20 * MS, 20 * MS]);
    let placings: Vec<_> = (0..20)
        .map(|n| {
            write(&mut harness, n);
            let now = harness.now;
            placed(&mut harness, 2, now)
        })
        .collect();
    let at_replicas = placings.iter().filter(|(member, _)| *member != Some(1)).count();
    assert!(at_replicas >= 15, "a replica passes it in 20 ms: {placings:?}");
    assert!(placings.iter().all(|(_, waited)| (15 * MS..60 * MS).contains(waited)), "{placings:?}");
}

#[test]
fn a_read_does_not_wait_for_replicas_too_far_behind_or_where_waiting_is_disabled() {
    let mut harness = taught(holding(), [0, 500 * MS, 500 * MS]);
    let now = harness.now;
    assert_eq!(placed(&mut harness, 2, now), (Some(1), 0), "no replica will do in time");
    let mut harness = taught(settings(), [0, 20 * MS, 20 * MS]);
    let now = harness.now;
    assert_eq!(placed(&mut harness, 2, now), (Some(1), 0), "nobody is to wait");
}

#[test]
fn a_minimum_position_and_a_staleness_bound_hold_together() {
    // Class 0 is bounded by 200 ms: replicas 100 ms behind will do, but not for a write 50 ms ago.
    let mut harness = taught(settings(), [0, 100 * MS, 100 * MS]);
    let now = harness.now;
    assert_eq!(placed(&mut harness, 0, now - 50 * MS).0, Some(1));
    assert_ne!(placed(&mut harness, 0, now - 5_000 * MS).0, Some(1), "an old write changes nothing");
    // And an old minimum position does not loosen the bound.
    let mut harness = taught(settings(), [0, 500 * MS, 500 * MS]);
    let now = harness.now;
    assert_eq!(placed(&mut harness, 0, now - 5_000 * MS).0, Some(1));
}

#[test]
fn the_primary_serves_a_minimum_position_ahead_of_the_routers_clock() {
    let mut harness = taught(settings(), [0, 20 * MS, 20 * MS]);
    let now = harness.now;
    assert_eq!(placed(&mut harness, 2, now + 50 * MS), (Some(1), 0));
}

#[test]
fn a_lowered_minimum_position_releases_a_waiting_read() {
    let mut harness = taught(holding(), [0, 50 * MS, 50 * MS]);
    let now = harness.now;
    assert_eq!(sent_to(&harness.step(request("w", 2, 900 * MS, Some(now)))), None, "it waits for a replica");
    let actions = harness
        .step(Event::MinimumPositionLowered { request: "w".into(), minimum_position: now - 1_000 * MS });
    assert!(sent_to(&actions).is_some(), "any member will do now");
    // A higher one changes nothing, nor does one for an unknown request.
    let now = harness.now;
    harness.step(request("x", 2, 900 * MS, Some(now)));
    harness.step(Event::MinimumPositionLowered { request: "x".into(), minimum_position: now + 900 * MS });
    harness.step(Event::MinimumPositionLowered { request: "unknown".into(), minimum_position: 0 });
    let went = (0..12).find_map(|_| sent_to(&harness.advance(5 * MS)));
    assert!(went.is_some(), "a minimum position that rises is none of its affair");
}
