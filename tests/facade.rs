//! The facade: every attempt is reported once, in whatever order its request, client and attempt end.

mod facade_simulation;

use facade_simulation::*;
use petrelgauge::facade::{Decision, Facade, Outcome};
use petrelgauge::*;

fn simulation() -> Simulation {
    Simulation::new(START, settings(), None)
}

// Otherwise the known groups would grow for as long as the gateway runs.
#[test]
fn a_complete_list_replaces_the_known_groups() {
    let simulation = simulation();
    let other = Entry { group: GROUP + 1, ..entry(4, MemberStatus::Up, true, 0) };
    simulation.facade.update(|table| table.update_endpoints(Update::Partial, vec![other.clone()]));
    assert!(
        simulation.facade.read(|table| table.may_serve_group(GROUP))
            && simulation.facade.read(|table| table.may_serve_group(GROUP + 1))
    );
    simulation.facade.update(|table| table.update_endpoints(Update::Complete, vec![other]));
    assert!(
        !simulation.facade.read(|table| table.may_serve_group(GROUP))
            && simulation.facade.read(|table| table.may_serve_group(GROUP + 1))
    );
}

#[test]
fn an_answer_is_final_only_while_its_request_is_open() {
    let mut simulation = simulation();
    let mut handle = simulation.admit(2, 900 * MS, &[]);
    let attempt = simulation.send(&mut handle);
    assert!(attempt.report(simulation.now + MS, Outcome::without_report(Ending::Served)));
    simulation.step();
    assert!(
        matches!(ready(handle.next_decision()), Some(Decision::Fail)),
        "no decision follows the final one"
    );

    let mut handle = simulation.admit(2, 900 * MS, &[]);
    let attempt = simulation.send(&mut handle);
    drop(handle);
    assert!(
        !attempt.report(simulation.now + MS, Outcome::without_report(Ending::Served)),
        "its client has disconnected"
    );
}

#[test]
fn dropping_a_request_handle_cancels_its_attempt() {
    let mut simulation = simulation();
    let mut handle = simulation.admit(2, 900 * MS, &[]);
    let mut attempt = simulation.send(&mut handle);
    assert!(ready(attempt.cancelled()).is_none());
    drop(handle);
    simulation.step();
    assert!(ready(attempt.cancelled()).is_some());
}

// An attempt whose client disconnected before receiving it was once counted as in flight for good.
#[test]
fn attempts_dropped_unreceived_free_their_capacity() {
    let mut simulation = simulation();
    for _ in 0..200 {
        let handle = simulation.admit(5, 900 * MS, &[]);
        simulation.step();
        drop(handle);
        simulation.step();
    }
    let mut handle = simulation.admit(5, 900 * MS, &[]);
    assert_eq!(simulation.send(&mut handle).host(), 1, "the primary has capacity for a write");
}

// A write with an idempotency key fails for its client while its attempt may still run.
#[test]
fn the_attempt_of_a_failed_write_stays_in_flight_until_it_is_reported() {
    let mut simulation = simulation();
    for _ in 0..40 {
        let mut handle = simulation.admit(5, 100 * MS, &[]);
        let mut attempt = simulation.send(&mut handle);
        let mut decision = None;
        while decision.is_none() {
            simulation.step();
            decision = ready(handle.next_decision());
        }
        assert!(matches!(decision, Some(Decision::Fail)), "{decision:?}");
        assert!(ready(attempt.cancelled()).is_none());
        assert!(!attempt.report(simulation.now + 9 * MS, Outcome::without_report(Ending::TimedOut)));
        // A timeout ejects its member for a while.
        for _ in 0..300 {
            simulation.step();
        }
    }
}

#[test]
fn the_router_steps_at_most_once_per_granularity() {
    let mut simulation = simulation();
    let mut handle = simulation.admit(2, 900 * MS, &[]);
    let early = simulation.now + MS;
    assert_eq!(simulation.facade.tick(early), Some(simulation.now + STEP), "too early to step");
    assert!(ready(handle.next_decision()).is_none());
    assert!(simulation.step().is_some(), "an open request sets a timer");
    assert!(matches!(ready(handle.next_decision()), Some(Decision::Send(_))));
}

#[test]
fn any_group_may_be_served_until_a_list_names_groups() {
    let facade = Facade::new(settings(), 11).expect("valid settings");
    assert!(facade.read(|table| table.may_serve_group(99)), "no list has been received");
    facade
        .update(|table| table.update_endpoints(Update::Complete, vec![entry(1, MemberStatus::Up, true, 0)]));
    assert!(
        facade.read(|table| table.may_serve_group(GROUP)) && !facade.read(|table| table.may_serve_group(99))
    );
}
