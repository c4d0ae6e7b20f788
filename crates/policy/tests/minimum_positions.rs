//! Minimum positions in addition to the read level of a class, and the short wait for a replica about to
//! reach one.

mod common;
use common::*;
use petrelgauge_policy::*;

/// A harness whose members have reported these lags. Member 1 is the primary.
fn with_lags(settings: Settings, lags: [Time; 3]) -> Harness {
    let mut harness = Harness::new(settings);
    for n in 0..120 {
        let name = format!("t{n}");
        // Every third request is a write, so that the primary has load of its own.
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

/// Sends a write and has it served, so that the primary has no spare capacity.
fn serve_write(harness: &mut Harness, n: u32) {
    let name = format!("w{n}");
    assert_eq!(sent_to(&harness.send_request(&name, 5, 900 * MS)), Some(1));
    harness.now += 20 * MS;
    harness.report_attempt_with(&name, 0, 1, Ending::Served, Some(0), Some(Role::Primary));
}

fn settings_with_read_wait() -> Settings {
    Settings { read_wait_bound: 60 * MS, ..settings() }
}

/// Sends a read with this minimum position. Returns the member that it is sent to, and the time it waited.
fn place_read(harness: &mut Harness, class: usize, minimum_position: Time) -> (Option<MemberId>, Time) {
    let start = harness.now;
    let name = format!("f{start}");
    let mut actions = harness.step(request(&name, class, 900 * MS, Some(minimum_position)));
    for _ in 0..30 {
        if let Some(member) = sent_to(&actions) {
            harness.report_attempt_with(&name, 0, member, Ending::Served, None, None);
            return (Some(member), harness.now - start);
        }
        actions = harness.advance(5 * MS);
    }
    (None, harness.now - start)
}

#[test]
fn a_read_waits_for_a_replica_that_is_about_to_reach_its_minimum_position() {
    let mut harness = with_lags(settings_with_read_wait(), [0, 20 * MS, 20 * MS]);
    let placements: Vec<_> = (0..20)
        .map(|n| {
            serve_write(&mut harness, n);
            let now = harness.now;
            place_read(&mut harness, 2, now)
        })
        .collect();
    let at_replicas = placements.iter().filter(|(member, _)| *member != Some(1)).count();
    assert!(at_replicas >= 15, "a replica reaches it in 20 ms: {placements:?}");
    assert!(placements.iter().all(|(_, waited)| (15 * MS..60 * MS).contains(waited)), "{placements:?}");
}

#[test]
fn a_read_does_not_wait_for_replicas_too_far_behind_or_where_waiting_is_disabled() {
    let mut harness = with_lags(settings_with_read_wait(), [0, 500 * MS, 500 * MS]);
    let now = harness.now;
    assert_eq!(place_read(&mut harness, 2, now), (Some(1), 0), "no replica reaches it in time");
    let mut harness = with_lags(settings(), [0, 20 * MS, 20 * MS]);
    let now = harness.now;
    assert_eq!(place_read(&mut harness, 2, now), (Some(1), 0), "waiting is disabled");
}

#[test]
fn a_minimum_position_and_a_staleness_bound_hold_together() {
    // Class 0 is bounded by 200 ms: replicas that lag by 100 ms suffice, but not for a write 50 ms ago.
    let mut harness = with_lags(settings(), [0, 100 * MS, 100 * MS]);
    let now = harness.now;
    assert_eq!(place_read(&mut harness, 0, now - 50 * MS).0, Some(1));
    assert_ne!(place_read(&mut harness, 0, now - 5_000 * MS).0, Some(1), "an old write has no effect");
    // An old minimum position does not relax the bound.
    let mut harness = with_lags(settings(), [0, 500 * MS, 500 * MS]);
    let now = harness.now;
    assert_eq!(place_read(&mut harness, 0, now - 5_000 * MS).0, Some(1));
}

#[test]
fn the_primary_serves_a_minimum_position_ahead_of_the_routers_clock() {
    let mut harness = with_lags(settings(), [0, 20 * MS, 20 * MS]);
    let now = harness.now;
    assert_eq!(place_read(&mut harness, 2, now + 50 * MS), (Some(1), 0));
}

#[test]
fn a_lowered_minimum_position_releases_a_waiting_read() {
    let mut harness = with_lags(settings_with_read_wait(), [0, 50 * MS, 50 * MS]);
    let now = harness.now;
    assert_eq!(sent_to(&harness.step(request("w", 2, 900 * MS, Some(now)))), None, "it waits for a replica");
    let actions = harness
        .step(Event::MinimumPositionLowered { request: "w".into(), minimum_position: now - 1_000 * MS });
    assert!(sent_to(&actions).is_some(), "any member is fresh enough now");
    // A higher one is ignored, and so is one for an unknown request.
    let now = harness.now;
    harness.step(request("x", 2, 900 * MS, Some(now)));
    harness.step(Event::MinimumPositionLowered { request: "x".into(), minimum_position: now + 900 * MS });
    harness.step(Event::MinimumPositionLowered { request: "unknown".into(), minimum_position: 0 });
    let sent = (0..12).find_map(|_| sent_to(&harness.advance(5 * MS)));
    assert!(sent.is_some(), "a higher minimum position does not delay the read");
}
