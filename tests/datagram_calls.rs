//! Datagrams between gateways while system calls fail in the ways that Linux documents: no failure ends the
//! exchange, causes a busy loop or is misclassified.

#[path = "../crates/policy/tests/common/mod.rs"]
mod common;

use common::{settings, MS};
use petrelgauge::facade::{Facade, SessionTracking};
use petrelgauge::fleet::peers::{PeerExchange, PeerOptions};
use petrelgauge::os::clock::Clock;
use petrelgauge::os::datagram::{self, DatagramSocket};
use petrelgauge::os::socket::{classify, Call, SocketError};
use petrelgauge::resources::counters::Counters;
use petrelgauge_sessions::SessionTracker;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A test that takes longer than this fails instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Period from the creation of a socket during which its receives fail.
const FAILURE_PERIOD: Duration = Duration::from_millis(60);

/// Errors of datagram calls, and whether each is a fault of the peer (else of this machine), for send and
/// receive.
const ERRORS: [(i32, [bool; 2]); 15] = [
    (libc::ECONNREFUSED, [true; 2]),
    (libc::ECONNRESET, [true; 2]),
    (libc::EHOSTUNREACH, [true; 2]),
    (libc::EHOSTDOWN, [true; 2]),
    (libc::ETIMEDOUT, [true; 2]),
    (libc::EPROTO, [true; 2]),
    (libc::ENOPROTOOPT, [true; 2]),
    (libc::ENETUNREACH, [false, true]),
    (libc::ENETDOWN, [false; 2]),
    (libc::EADDRNOTAVAIL, [false; 2]),
    (libc::EPERM, [false; 2]),
    (libc::EACCES, [false; 2]),
    (libc::ENOBUFS, [false; 2]),
    (libc::ENOMEM, [false; 2]),
    (libc::EBADF, [false; 2]),
];

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

fn block_on<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, future).await.expect("finished in time") })
}

/// A socket whose calls fail with one error a limited number of times.
struct FaultySocket {
    number: i32,
    /// Number of further sends that fail.
    failing_sends: Cell<u32>,
    sent: RefCell<Vec<Vec<u8>>>,
    /// Receives fail until this time, but at most `failing_receives` times; then one datagram arrives.
    failing_until: Instant,
    failing_receives: Cell<u32>,
    received: Cell<bool>,
    receive_calls: Cell<u32>,
}

impl FaultySocket {
    fn new(number: i32, failing_sends: u32, failing_receives: u32) -> FaultySocket {
        FaultySocket {
            number,
            failing_sends: Cell::new(failing_sends),
            sent: RefCell::default(),
            failing_until: Instant::now() + FAILURE_PERIOD,
            failing_receives: Cell::new(failing_receives),
            received: Cell::new(false),
            receive_calls: Cell::new(0),
        }
    }
}

impl DatagramSocket for &FaultySocket {
    fn try_send(&self, bytes: &[u8], _to: SocketAddr) -> io::Result<()> {
        if let Some(remaining) = self.failing_sends.get().checked_sub(1) {
            self.failing_sends.set(remaining);
            return Err(error(self.number));
        }
        self.sent.borrow_mut().push(bytes.to_vec());
        Ok(())
    }

    async fn receive(&self, bytes: &mut [u8]) -> io::Result<usize> {
        self.receive_calls.set(self.receive_calls.get() + 1);
        let remaining = self.failing_receives.get().checked_sub(1);
        if let Some(remaining) = remaining.filter(|_| Instant::now() < self.failing_until) {
            self.failing_receives.set(remaining);
            return Err(error(self.number));
        }
        if self.received.replace(true) {
            return std::future::pending().await;
        }
        bytes[..2].copy_from_slice(b"no");
        Ok(2)
    }
}

fn peer() -> SocketAddr {
    "127.77.250.1:7".parse().expect("an address")
}

#[test]
fn each_datagram_error_is_classified_as_a_fault_of_the_peer_or_of_this_machine() {
    for (number, is_peer_fault) in ERRORS {
        for (call, is_peer_fault) in
            [Call::SendDatagram, Call::ReceiveDatagram].into_iter().zip(is_peer_fault)
        {
            match classify(call, error(number)) {
                SocketError::Unreachable(_) => assert!(is_peer_fault, "{call:?}: {}", error(number)),
                SocketError::ResourceShortage(_) => assert!(!is_peer_fault, "{call:?}: {}", error(number)),
                other => panic!("{call:?}: {} classified as {other:?}", error(number)),
            }
        }
    }
}

// Regression: a datagram was lost when its send was interrupted or reported the error of an earlier datagram.
#[test]
fn a_send_that_is_interrupted_or_reports_an_earlier_error_is_retried() {
    let send_twice = |number, failing| {
        let socket = FaultySocket::new(number, failing, 0);
        let sent = datagram::send(&&socket, b"one", peer());
        assert_eq!(sent.is_ok(), *socket.sent.borrow() == [b"one"], "{}", error(number));
        let next = datagram::send(&&socket, b"two", peer());
        assert!(next.is_ok(), "the next datagram is sent after {}", error(number));
        sent
    };
    assert!(send_twice(libc::EINTR, 5).is_ok());
    assert!(matches!(send_twice(libc::EAGAIN, 1), Err(SocketError::WouldBlock)));
    for (number, [is_peer_fault, _]) in ERRORS {
        assert_eq!(send_twice(number, 1).is_ok(), is_peer_fault, "{}", error(number));
        if is_peer_fault {
            assert!(send_twice(number, 2).is_err(), "the datagram is lost: {}", error(number));
        }
    }
}

/// Runs a gateway's exchange over a socket until it has received the datagram and sent some of its own.
fn run_exchange(socket: &'static FaultySocket) {
    let (clock, counters) = (Clock::start(), Rc::new(Counters::default()));
    let session_settings =
        petrelgauge_sessions::Settings { instances: 2, broadcast_interval: 5 * MS, ..Default::default() };
    let tracker = SessionTracker::new(session_settings, clock.now()).expect("valid settings");
    let settings = petrelgauge::Settings { may_probe: false, ..settings() };
    let facade = Facade::with_sessions(settings, 11, Some(SessionTracking { tracker, classes: vec![2, 5] }))
        .expect("valid settings");
    let options = PeerOptions {
        addresses: vec![peer(), peer()],
        self_index: 0,
        facade,
        leadership: None,
        clock,
        counters: counters.clone(),
    };
    let exchange = PeerExchange::new(socket, options);
    block_on(async {
        tokio::select! {
            () = exchange.run() => panic!("the exchange ended"),
            () = async {
                while counters.datagrams_received.get() == 0 || Instant::now() < socket.failing_until {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            } => {}
        }
    });
    assert_eq!(counters.datagrams_received.get(), 1, "{}", error(socket.number));
}

// Regression: a receive that kept failing was retried without a pause.
#[test]
fn failing_receives_neither_end_the_exchange_nor_cause_a_busy_loop() {
    for (number, _) in ERRORS {
        let socket: &FaultySocket = Box::leak(Box::new(FaultySocket::new(number, 0, u32::MAX)));
        run_exchange(socket);
        // One call every 2 ms, and a few more after each send.
        assert!(socket.receive_calls.get() < 100, "{} calls: {}", socket.receive_calls.get(), error(number));
    }
}

#[test]
fn interrupted_or_unready_receives_are_retried_at_once() {
    for number in [libc::EINTR, libc::EAGAIN] {
        let socket: &FaultySocket = Box::leak(Box::new(FaultySocket::new(number, 0, 50)));
        run_exchange(socket);
        assert!(socket.receive_calls.get() > 50, "{}", error(number));
    }
}

// Regression: the reactor reported a new socket as not ready before it had polled it.
#[test]
fn the_first_datagram_of_a_new_socket_is_sent() {
    let receiver = std::net::UdpSocket::bind("127.77.250.2:0").expect("a free port");
    receiver.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read timeout");
    let to = receiver.local_addr().expect("an address");
    block_on(async {
        let socket =
            datagram::bind("127.77.250.3:0".parse().expect("an address")).await.expect("a free port");
        datagram::send(&socket, b"first", to).expect("the datagram is sent");
    });
    let mut bytes = [0; 8];
    assert_eq!(receiver.recv(&mut bytes).expect("the datagram arrives"), 5);
}
