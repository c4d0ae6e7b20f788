//! The facade: every send is reported once, in whatever order its request, client and attempt end.

#[path = "../crates/policy/tests/common/mod.rs"]
mod common;
use common::*;
use petrelgauge::facade::{Attempt, Decision, Facade, Outcome, Request, Ticket};
use petrelgauge::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

const STEP: Time = 5 * MS;

/// The value of a future that needs to wait for nothing.
fn ready<T>(future: impl Future<Output = T>) -> Option<T> {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(value) => Some(value),
        Poll::Pending => None,
    }
}

struct Play {
    facade: Facade,
    now: Time,
}

impl Play {
    fn new() -> Play {
        let mut play = Play { facade: Facade::new(settings(), 11).expect("sound settings"), now: START };
        play.facade.update_endpoints(
            true,
            (1..=3).map(|member| entry(member, MemberStatus::Up, member == 1, 0)).collect(),
        );
        play.step();
        play
    }

    fn step(&mut self) -> Option<Time> {
        self.now += STEP;
        self.facade.tick(self.now)
    }

    fn admit(&mut self, class: usize, left: Time) -> Ticket {
        let until = self.now + left;
        let (at, after, session) = (self.now, None, None);
        self.facade.admit(Request { class, group: G, until, is_retry: false, at, after, session })
    }

    fn send(&mut self, ticket: &mut Ticket) -> Attempt {
        self.step();
        match ready(ticket.pick()) {
            Some(Decision::Send(attempt)) => attempt,
            other => panic!("no send but {other:?}"),
        }
    }
}

// Named once is not named for good: groups would pile up for as long as the gateway runs.
#[test]
fn a_complete_list_names_the_groups_there_are() {
    let play = Play::new();
    let other = Entry { group: G + 1, ..entry(4, MemberStatus::Up, true, 0) };
    play.facade.update_endpoints(false, vec![other.clone()]);
    assert!(play.facade.may_serve_group(G) && play.facade.may_serve_group(G + 1));
    play.facade.update_endpoints(true, vec![other]);
    assert!(!play.facade.may_serve_group(G) && play.facade.may_serve_group(G + 1));
}

#[test]
fn what_is_served_is_the_answer_and_only_while_its_request_is_open() {
    let mut play = Play::new();
    let mut ticket = play.admit(2, 900 * MS);
    let attempt = play.send(&mut ticket);
    assert!(attempt.report(play.now + MS, Outcome::silent(Ending::Served)));
    play.step();
    assert!(matches!(ready(ticket.pick()), Some(Decision::Fail)), "nothing more is decided");

    let mut ticket = play.admit(2, 900 * MS);
    let attempt = play.send(&mut ticket);
    drop(ticket);
    assert!(!attempt.report(play.now + MS, Outcome::silent(Ending::Served)), "nobody waits for it");
}

#[test]
fn a_ticket_that_is_dropped_cancels_its_attempt() {
    let mut play = Play::new();
    let mut ticket = play.admit(2, 900 * MS);
    let mut attempt = play.send(&mut ticket);
    assert!(ready(attempt.cancelled()).is_none());
    drop(ticket);
    play.step();
    assert!(ready(attempt.cancelled()).is_some());
}

// Before, an attempt that its client did not live to take up could have been counted as out for good.
#[test]
fn attempts_that_nobody_takes_up_leave_no_trace() {
    let mut play = Play::new();
    for _ in 0..200 {
        let ticket = play.admit(5, 900 * MS);
        play.step();
        drop(ticket);
        play.step();
    }
    let mut ticket = play.admit(5, 900 * MS);
    assert_eq!(play.send(&mut ticket).host, 1, "the primary has room for a write");
}

// A keyed write fails for its client while its attempt may still run: the attempt goes on and is reported.
#[test]
fn a_failed_write_has_its_attempt_out_until_that_is_reported() {
    let mut play = Play::new();
    for _ in 0..40 {
        let mut ticket = play.admit(5, 100 * MS);
        let mut attempt = play.send(&mut ticket);
        let mut last = None;
        while last.is_none() {
            play.step();
            last = ready(ticket.pick());
        }
        assert!(matches!(last, Some(Decision::Fail)), "{last:?}");
        assert!(ready(attempt.cancelled()).is_none());
        assert!(!attempt.report(play.now + 9 * MS, Outcome::silent(Ending::TimedOut)));
        // A time-out bars its member for a while.
        for _ in 0..300 {
            play.step();
        }
    }
}

#[test]
fn steps_come_at_most_once_a_granularity_and_name_the_next() {
    let mut play = Play::new();
    let mut ticket = play.admit(2, 900 * MS);
    let early = play.now + MS;
    assert_eq!(play.facade.tick(early), Some(play.now + STEP), "too early to step");
    assert!(ready(ticket.pick()).is_none());
    assert!(play.step().is_some(), "an open request sets a timer");
    assert!(matches!(ready(ticket.pick()), Some(Decision::Send(_))));
}

#[test]
fn a_group_is_known_once_a_list_named_it() {
    let facade = Facade::new(settings(), 11).expect("sound settings");
    assert!(facade.may_serve_group(99), "no list has come yet");
    facade.update_endpoints(true, vec![entry(1, MemberStatus::Up, true, 0)]);
    assert!(facade.may_serve_group(G) && !facade.may_serve_group(99));
}
