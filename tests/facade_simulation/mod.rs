//! The facade of one gateway with three members of one group, in simulated time.

#![allow(dead_code, unused_imports)]

#[path = "../../crates/policy/tests/common/mod.rs"]
mod common;

pub use common::{entry, settings, GROUP, MS, START};
use petrelgauge::facade::{Attempt, Decision, Facade, Request, RequestHandle, SessionRef, SessionTracking};
use petrelgauge::*;
use petrelgauge_sessions::SessionTracker;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

pub const STEP: Time = 5 * MS;
/// Class index of reads of any data.
pub const READ: usize = 2;
/// Class index of writes with an idempotency key.
pub const WRITE: usize = 5;

/// The value of a future if it is ready when polled once.
pub fn ready<T>(future: impl Future<Output = T>) -> Option<T> {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(value) => Some(value),
        Poll::Pending => None,
    }
}

pub struct Simulation {
    pub facade: Facade,
    pub now: Time,
    tracks_sessions: bool,
}

impl Simulation {
    /// Member 1 is listed as the primary.
    pub fn new(
        now: Time,
        settings: Settings,
        sessions: Option<petrelgauge_sessions::Settings>,
    ) -> Simulation {
        let tracks_sessions = sessions.is_some();
        let tracking = sessions.map(|set| SessionTracking {
            tracker: SessionTracker::new(set, now).expect("valid settings"),
            classes: vec![READ, WRITE],
        });
        let facade = Facade::with_sessions(settings, 11, tracking).expect("valid settings");
        facade.update(|table| {
            table.update_endpoints(
                Update::Complete,
                (1..=3).map(|member| entry(member, MemberStatus::Up, member == 1, 0)).collect(),
            )
        });
        let mut simulation = Simulation { facade, now, tracks_sessions };
        simulation.step();
        simulation
    }

    pub fn step(&mut self) -> Option<Time> {
        self.now += STEP;
        self.facade.tick(self.now)
    }

    pub fn session_ref(&self, tokens: &[&str]) -> Option<SessionRef> {
        let session = self
            .facade
            .read(|table| table.session_ref(self.now, GROUP, "one", tokens))
            .expect("valid tokens");
        assert_eq!(session.is_some(), self.tracks_sessions);
        session
    }

    /// Admits a request. It belongs to session `one` if sessions are tracked.
    pub fn admit(&mut self, class: usize, time_left: Time, tokens: &[&str]) -> RequestHandle {
        self.facade.admit(Request {
            class,
            group: GROUP,
            deadline: self.now + time_left,
            is_retry: false,
            arrived_at: self.now,
            required_position: None,
            session: self.session_ref(tokens),
        })
    }

    /// The next attempt of this request, which must be sent within one step.
    pub fn send(&mut self, handle: &mut RequestHandle) -> Attempt {
        self.send_within(handle, 1)
    }

    pub fn send_within(&mut self, handle: &mut RequestHandle, steps: usize) -> Attempt {
        for _ in 0..steps {
            self.step();
            match ready(handle.next_decision()) {
                Some(Decision::Send(attempt)) => return attempt,
                Some(other) => panic!("expected a send, got {other:?}"),
                None => {}
            }
        }
        panic!("no decision in {steps} steps");
    }
}
