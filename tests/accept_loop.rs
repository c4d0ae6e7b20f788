//! The loop that accepts clients, on a listener whose calls fail by a script: clients in the listen backlog
//! are accepted.

use petrelgauge::client::accept_loop::{AcceptLoop, ClientHandler};
use petrelgauge::os::clock::Clock;
use petrelgauge::os::socket::Acceptor;
use petrelgauge_lifecycle::gateway::{ListenerSharing, ServingState};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::sync::watch;

/// A test that takes this long fails instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A listener whose calls return these results in order. After them, and for None, a call waits forever.
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

fn accept_all(
    script: VecDeque<Option<Result<u32, i32>>>,
    state: ServingState,
    sharing: ListenerSharing,
) -> Accepted {
    let (acceptor, accepted) = (ScriptedAcceptor { script: RefCell::new(script) }, Accepted::default());
    let (states, receiver) = watch::channel(state);
    let accept_loop = AcceptLoop { clock: Clock::start(), state: receiver, sharing };
    block_on_with_timeout(async {
        tokio::join!(accept_loop.run(&acceptor, &accepted), async {
            // The gateway stops in the middle of the script.
            tokio::time::sleep(Duration::from_millis(1)).await;
            states.send_replace(ServingState::Stopped);
        })
    });
    accepted
}

fn block_on_with_timeout(future: impl std::future::Future) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, future).await.expect("completed in time") });
}

#[test]
fn clients_in_the_backlog_at_a_stop_are_accepted_despite_failures() {
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
            let accepted = accept_all(script, state, ListenerSharing::Exclusive);
            assert_eq!(*accepted.clients.borrow(), Vec::from_iter(0..8), "seed {seed}, {state:?}");
        }
    }
}

// Such failures were once treated as a shortage: the loop paused, and idle clients were closed.
#[test]
fn a_disconnected_client_or_a_signal_is_no_resource_shortage() {
    let not_shortages = [libc::ECONNABORTED, libc::EINTR, libc::EPROTO, libc::ENETUNREACH].repeat(200);
    let script = not_shortages.into_iter().map(|number| Some(Err(number))).chain([Some(Ok(1))]).collect();
    let accepted = accept_all(script, ServingState::Stopped, ListenerSharing::Exclusive);
    assert_eq!((accepted.clients.take(), accepted.shortages.get()), (vec![1], 0));
    let shortages = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let script = shortages.into_iter().map(|number| Some(Err(number))).chain([Some(Ok(1))]).collect();
    let accepted = accept_all(script, ServingState::Stopped, ListenerSharing::Exclusive);
    assert_eq!((accepted.clients.take(), accepted.shortages.get()), (vec![1], 4));
}

// The loop once returned at the first empty backlog, before the reactor knew of a client that had just
// connected.
#[test]
fn a_client_that_the_reactor_reports_just_after_the_stop_is_accepted() {
    let script = VecDeque::from([None, Some(Ok(1))]);
    assert_eq!(accept_all(script, ServingState::Stopped, ListenerSharing::Exclusive).clients.take(), [1]);
}

#[test]
fn a_shared_backlog_is_left_to_the_successor_process() {
    let script = VecDeque::from([Some(Ok(1))]);
    assert!(accept_all(script, ServingState::Stopped, ListenerSharing::WithSuccessor)
        .clients
        .take()
        .is_empty());
}

/// A listener that reports disconnected clients until another task has run.
struct AbortedUntil<'a> {
    other_ran: &'a Cell<bool>,
    calls: Cell<u32>,
}

impl Acceptor for AbortedUntil<'_> {
    type Stream = u32;

    async fn accept(&self) -> io::Result<u32> {
        self.calls.set(self.calls.get() + 1);
        assert!(self.calls.get() < 10_000, "no other task runs");
        match self.other_ran.get() {
            false => Err(io::Error::from_raw_os_error(libc::ECONNABORTED)),
            true => std::future::pending().await,
        }
    }
}

#[test]
fn endless_disconnects_in_the_backlog_do_not_starve_other_tasks() {
    let other_ran = Cell::new(false);
    let acceptor = AbortedUntil { other_ran: &other_ran, calls: Cell::new(0) };
    let (_states, receiver) = watch::channel(ServingState::Stopped);
    let accept_loop =
        AcceptLoop { clock: Clock::start(), state: receiver, sharing: ListenerSharing::Exclusive };
    let accepted = Accepted::default();
    block_on_with_timeout(async {
        tokio::join!(accept_loop.run(&acceptor, &accepted), async { other_ran.set(true) })
    });
}
