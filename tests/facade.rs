//! The facade: every send is reported once, in whatever order its request, client and attempt end.

mod facade_simulation;

use facade_simulation::*;
use petrelgauge::facade::{Decision, Facade, Outcome};
use petrelgauge::*;

fn simulation() -> Simulation {
    Simulation::new(START, settings(), None)
}

// Named once is not named for good: groups would pile up for as long as the gateway runs.
#[test]
fn a_complete_list_names_the_groups_there_are() {
    let simulation = simulation();
    let other = Entry { group: G + 1, ..entry(4, MemberStatus::Up, true, 0) };
    simulation.facade.update(|table| table.update_endpoints(false, vec![other.clone()]));
    assert!(
        simulation.facade.read(|table| table.may_serve_group(G))
            && simulation.facade.read(|table| table.may_serve_group(G + 1))
    );
    simulation.facade.update(|table| table.update_endpoints(true, vec![other]));
    assert!(
        !simulation.facade.read(|table| table.may_serve_group(G))
            && simulation.facade.read(|table| table.may_serve_group(G + 1))
    );
}

#[test]
fn what_is_served_is_the_answer_and_only_while_its_request_is_open() {
    let mut simulation = simulation();
    let mut ticket = simulation.admit(2, 900 * MS, &[]);
    let attempt = simulation.send(&mut ticket);
    assert!(attempt.report(simulation.now + MS, Outcome::silent(Ending::Served)));
    simulation.step();
    assert!(matches!(ready(ticket.pick()), Some(Decision::Fail)), "nothing more is decided");

    let mut ticket = simulation.admit(2, 900 * MS, &[]);
    let attempt = simulation.send(&mut ticket);
    drop(ticket);
    assert!(!attempt.report(simulation.now + MS, Outcome::silent(Ending::Served)), "nobody waits for it");
}

#[test]
fn a_ticket_that_is_dropped_cancels_its_attempt() {
    let mut simulation = simulation();
    let mut ticket = simulation.admit(2, 900 * MS, &[]);
    let mut attempt = simulation.send(&mut ticket);
    assert!(ready(attempt.cancelled()).is_none());
    drop(ticket);
    simulation.step();
    assert!(ready(attempt.cancelled()).is_some());
}

// Before, an attempt that its client did not live to take up could have been counted as out for good.
#[test]
fn attempts_that_nobody_takes_up_leave_no_trace() {
    let mut simulation = simulation();
    for _ in 0..200 {
        let ticket = simulation.admit(5, 900 * MS, &[]);
        simulation.step();
        drop(ticket);
        simulation.step();
    }
    let mut ticket = simulation.admit(5, 900 * MS, &[]);
    assert_eq!(simulation.send(&mut ticket).host, 1, "the primary has room for a write");
}

// A keyed write fails for its client while its attempt may still run: the attempt goes on and is reported.
#[test]
fn a_failed_write_has_its_attempt_out_until_that_is_reported() {
    let mut simulation = simulation();
    for _ in 0..40 {
        let mut ticket = simulation.admit(5, 100 * MS, &[]);
        let mut attempt = simulation.send(&mut ticket);
        let mut last = None;
        while last.is_none() {
            simulation.step();
            last = ready(ticket.pick());
        }
        assert!(matches!(last, Some(Decision::Fail)), "{last:?}");
        assert!(ready(attempt.cancelled()).is_none());
        assert!(!attempt.report(simulation.now + 9 * MS, Outcome::silent(Ending::TimedOut)));
        // A time-out bars its member for a while.
        for _ in 0..300 {
            simulation.step();
        }
    }
}

#[test]
fn steps_come_at_most_once_a_granularity_and_name_the_next() {
    let mut simulation = simulation();
    let mut ticket = simulation.admit(2, 900 * MS, &[]);
    let early = simulation.now + MS;
    assert_eq!(simulation.facade.tick(early), Some(simulation.now + STEP), "too early to step");
    assert!(ready(ticket.pick()).is_none());
    assert!(simulation.step().is_some(), "an open request sets a timer");
    assert!(matches!(ready(ticket.pick()), Some(Decision::Send(_))));
}

#[test]
fn a_group_is_known_once_a_list_named_it() {
    let facade = Facade::new(settings(), 11).expect("sound settings");
    assert!(facade.read(|table| table.may_serve_group(99)), "no list has come yet");
    facade.update(|table| table.update_endpoints(true, vec![entry(1, MemberStatus::Up, true, 0)]));
    assert!(facade.read(|table| table.may_serve_group(G)) && !facade.read(|table| table.may_serve_group(99)));
}
