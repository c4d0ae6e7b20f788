//! The loop that accepts clients, before a listener whose calls fail by a script: whoever is in the backlog is accepted.

use petrelgauge::client::accept_loop::{AcceptLoop, ClientHandler};
use petrelgauge::os::clock::Clock;
use petrelgauge::os::socket::Acceptor;
use petrelgauge_lifecycle::gateway::ServingState;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::sync::watch;

/// Nothing that works takes so long; what does not work fails then and does not hang.
const NEVER: Duration = Duration::from_secs(60);

/// A listener whose next calls end so. Behind them, and where one is None, nothing is there yet.
struct ScriptedAcceptor {
    script: RefCell<VecDeque<Option<Result<u32, i32>>>>,
}

impl Acceptor for ScriptedAcceptor {
    type Stream = u32;

    async fn accept(&self) -> io::Result<u32> {
        let next = self.script.borrow_mut().pop_front();
        match next.flatten() {
            Some(result) => result.map_err(io::Error::from_raw_os_error),
            None => std::future::pending().await,
        }
    }
}

#[derive(Default)]
struct Accepted {
    clients: RefCell<Vec<u32>>,
    shortages: Cell<u32>,
}

impl ClientHandler<u32> for Accepted {
    fn on_client(&self, client: u32) {
        self.clients.borrow_mut().push(client);
    }

    fn on_shortage(&self) {
        self.shortages.set(self.shortages.get() + 1);
    }
}

fn accept_all(script: VecDeque<Option<Result<u32, i32>>>, state: ServingState, shared: bool) -> Accepted {
    let (acceptor, accepted) = (ScriptedAcceptor { script: RefCell::new(script) }, Accepted::default());
    let (states, receiver) = watch::channel(state);
    let accept_loop = AcceptLoop { clock: Clock::start(), state: receiver, shared };
    play(async {
        tokio::join!(accept_loop.run(&acceptor, &accepted), async {
            // By now some calls have been made, and the loop pauses or goes on.
            tokio::time::sleep(Duration::from_millis(1)).await;
            states.send_replace(ServingState::Stopped);
        })
    });
    accepted
}

fn play(played: impl std::future::Future) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { tokio::time::timeout(NEVER, played).await.expect("it returns") });
}

#[test]
fn whoever_is_in_the_backlog_at_the_stop_is_accepted_through_failures() {
    const FAILURES: [i32; 8] = [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENFILE,
        libc::EMFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EPROTO,
        libc::EHOSTUNREACH,
    ];
    for seed in 0..20 {
        for state in [ServingState::Serving, ServingState::Draining, ServingState::Stopped] {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut script = VecDeque::new();
            for client in 0..8 {
                let failures = rng.next_u32() % 4;
                script.extend((0..failures).map(|_| Some(Err(FAILURES[rng.next_u32() as usize % 8]))));
                script.push_back(Some(Ok(client)));
            }
            let accepted = accept_all(script, state, false);
            assert_eq!(*accepted.clients.borrow(), Vec::from_iter(0..8), "seed {seed}, {state:?}");
        }
    }
}

// It was paused after, as if descriptors were short, and clients that could be spared were closed for it.
#[test]
fn a_client_that_left_the_backlog_and_a_signal_are_no_shortage() {
    let gone = [libc::ECONNABORTED, libc::EINTR, libc::EPROTO, libc::ENETUNREACH].repeat(200);
    let script = gone.into_iter().map(|number| Some(Err(number))).chain([Some(Ok(1))]).collect();
    let accepted = accept_all(script, ServingState::Stopped, false);
    assert_eq!((accepted.clients.take(), accepted.shortages.get()), (vec![1], 0));
    let short = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let script = short.into_iter().map(|number| Some(Err(number))).chain([Some(Ok(1))]).collect();
    let accepted = accept_all(script, ServingState::Stopped, false);
    assert_eq!((accepted.clients.take(), accepted.shortages.get()), (vec![1], 4));
}

// The loop returned with the first look at an empty backlog, before the reactor had heard of who came a moment ago.
#[test]
fn a_client_that_the_reactor_reports_one_turn_after_the_stop_is_accepted() {
    let script = VecDeque::from([None, Some(Ok(1))]);
    assert_eq!(accept_all(script, ServingState::Stopped, false).clients.take(), [1]);
}

#[test]
fn a_backlog_that_is_shared_is_left_to_the_next_process() {
    let script = VecDeque::from([Some(Ok(1))]);
    assert!(accept_all(script, ServingState::Stopped, true).clients.take().is_empty());
}

/// A listener that reports clients that have left, until something else had its turn.
struct AbortedUntil<'a> {
    other_ran: &'a Cell<bool>,
    calls: Cell<u32>,
}

impl Acceptor for AbortedUntil<'_> {
    type Stream = u32;

    async fn accept(&self) -> io::Result<u32> {
        self.calls.set(self.calls.get() + 1);
        assert!(self.calls.get() < 10_000, "nothing else gets a turn");
        match self.other_ran.get() {
            false => Err(io::Error::from_raw_os_error(libc::ECONNABORTED)),
            true => std::future::pending().await,
        }
    }
}

#[test]
fn clients_that_leave_the_backlog_without_end_do_not_keep_others_from_their_turn() {
    let other_ran = Cell::new(false);
    let acceptor = AbortedUntil { other_ran: &other_ran, calls: Cell::new(0) };
    let (_states, receiver) = watch::channel(ServingState::Stopped);
    let accept_loop = AcceptLoop { clock: Clock::start(), state: receiver, shared: false };
    let accepted = Accepted::default();
    play(async { tokio::join!(accept_loop.run(&acceptor, &accepted), async { other_ran.set(true) }) });
}
