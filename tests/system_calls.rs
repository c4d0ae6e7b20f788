//! Socket calls that fail or transfer fewer bytes than asked, in the ways that Linux documents, on a schedule
//! drawn from a seed: on connections of clients, hosts, discovery and operators.

use bytes::{Buf, Bytes};
use petrelgauge::control::ops;
use petrelgauge::discovery::list_assembler::ListText;
use petrelgauge::discovery::list_request::ListResponse;
use petrelgauge::host::pool::event_for_connect_error;
use petrelgauge::os::clock::Clock;
use petrelgauge::os::socket::{self, classify, ByteStream, Call, SocketError, Unread};
use petrelgauge::postgres::read_buffer::ReadBuffer;
use petrelgauge::postgres::Framer;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::Event;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::time::Duration;

/// Number of seeds that each test of a fault schedule runs with.
const SEEDS: u64 = 200;
/// A test that takes longer than this fails instead of hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, future).await.expect("finished in time") })
}

/// The variants of [`SocketError`] without their cause, so that they can be compared.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Class {
    Interrupted,
    WouldBlock,
    ResourceShortage,
    Unreachable,
    Broken,
}
use Class::*;

fn class(call: Call, number: i32) -> Class {
    match classify(call, error(number)) {
        SocketError::Interrupted => Interrupted,
        SocketError::WouldBlock => WouldBlock,
        SocketError::ResourceShortage(_) => ResourceShortage,
        SocketError::Unreachable(_) => Unreachable,
        SocketError::Broken(_) => Broken,
    }
}

#[test]
fn each_error_of_each_call_has_its_class() {
    // Columns: accept, connect, and all others (read, write, peek and listen).
    let table = [
        (libc::EINTR, [Interrupted; 3]),
        (libc::EAGAIN, [WouldBlock, ResourceShortage, WouldBlock]),
        (libc::EMFILE, [ResourceShortage; 3]),
        (libc::ENFILE, [ResourceShortage; 3]),
        (libc::ENOBUFS, [ResourceShortage; 3]),
        (libc::ENOMEM, [ResourceShortage; 3]),
        (libc::ECONNABORTED, [Broken, Unreachable, Broken]),
        (libc::EPROTO, [Broken, Unreachable, Broken]),
        (libc::EPERM, [Broken, ResourceShortage, Broken]),
        (libc::EADDRNOTAVAIL, [ResourceShortage, ResourceShortage, Broken]),
        (libc::EADDRINUSE, [ResourceShortage, ResourceShortage, Broken]),
        (libc::ENETUNREACH, [Broken, ResourceShortage, Broken]),
        (libc::ENETDOWN, [Broken, ResourceShortage, Broken]),
        (libc::EHOSTUNREACH, [Broken, Unreachable, Broken]),
        (libc::ETIMEDOUT, [Broken, Unreachable, Broken]),
        (libc::ECONNREFUSED, [ResourceShortage, Unreachable, Broken]),
        (libc::ECONNRESET, [Broken, Unreachable, Broken]),
        (libc::EPIPE, [ResourceShortage, Unreachable, Broken]),
        (libc::EINVAL, [ResourceShortage, Unreachable, Broken]),
    ];
    for (number, [accept, connect, transfer]) in table {
        let cause = error(number);
        assert_eq!(class(Call::Accept, number), accept, "accept: {cause}");
        assert_eq!(class(Call::Connect, number), connect, "connect: {cause}");
        for call in [Call::Listen, Call::Read, Call::Write, Call::Peek] {
            assert_eq!(class(call, number), transfer, "{call:?}: {cause}");
        }
    }
}

// Regression: the local failures ENOBUFS, ENOMEM, EAGAIN and ENETUNREACH counted as refused by the host.
#[test]
fn a_connect_that_fails_locally_does_not_count_against_the_host() {
    let event = |number| event_for_connect_error(&classify(Call::Connect, error(number)));
    for number in [
        libc::EMFILE,
        libc::ENFILE,
        libc::EADDRNOTAVAIL,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EAGAIN,
        libc::ENETUNREACH,
    ] {
        assert_eq!(event(number), Event::NotConnected(End::NoDescriptor), "{}", error(number));
    }
    for number in [libc::ECONNREFUSED, libc::EHOSTUNREACH, libc::ETIMEDOUT, libc::ECONNRESET] {
        assert_eq!(event(number), Event::Refused, "{}", error(number));
    }
}

#[test]
fn an_interrupted_connect_is_retried() {
    for last in [None, Some(libc::ETIMEDOUT), Some(libc::ENOBUFS)] {
        let calls = Cell::new(0);
        let connected = block_on(socket::connect_with(|| {
            calls.set(calls.get() + 1);
            let interrupted = calls.get() <= 5;
            std::future::ready(match (interrupted, last) {
                (true, _) => Err(error(libc::EINTR)),
                (false, None) => Ok("connected"),
                (false, Some(number)) => Err(error(number)),
            })
        }));
        assert_eq!(calls.get(), 6);
        match (last, connected) {
            (None, Ok("connected")) => {}
            (Some(libc::ETIMEDOUT), Err(SocketError::Unreachable(_))) => {}
            (Some(libc::ENOBUFS), Err(SocketError::ResourceShortage(_))) => {}
            (_, other) => panic!("{last:?} resulted in {other:?}"),
        }
    }
}

#[test]
fn only_a_shortage_of_local_resources_is_retried() {
    let run = |shortages: u32, last: Result<u32, i32>| {
        let calls = Cell::new(0);
        let outcome = block_on(socket::retry_on_shortage(3, || {
            calls.set(calls.get() + 1);
            let result = if calls.get() <= shortages { Err(libc::ENOBUFS) } else { last };
            std::future::ready(result.map_err(|number| classify(Call::Connect, error(number))))
        }));
        (outcome, calls.get())
    };
    for shortages in 0..3 {
        assert!(matches!(run(shortages, Ok(7)), (Ok(7), calls) if calls == shortages + 1));
    }
    assert!(matches!(run(3, Ok(7)), (Err(SocketError::ResourceShortage(_)), 3)));
    assert!(matches!(run(0, Err(libc::EHOSTUNREACH)), (Err(SocketError::Unreachable(_)), 1)));
    assert!(matches!(run(1, Err(libc::ETIMEDOUT)), (Err(SocketError::Unreachable(_)), 2)));
}

/// A stream whose calls fail or are short on a schedule, until its bytes are exhausted and it breaks.
struct FaultyStream {
    faults: RefCell<Pcg64Mcg>,
    incoming: RefCell<Bytes>,
    /// The error with which both directions break; without one, reads end with the end of the stream.
    final_error: Option<i32>,
    written: RefCell<Vec<u8>>,
    /// Number of bytes that writes accept before they break.
    write_capacity: usize,
}

impl FaultyStream {
    fn new(seed: u64, incoming: &[u8]) -> FaultyStream {
        FaultyStream {
            faults: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            incoming: RefCell::new(Bytes::copy_from_slice(incoming)),
            final_error: None,
            written: RefCell::default(),
            write_capacity: usize::MAX,
        }
    }

    /// Returns the number of bytes that the next call transfers, at most `max`, or the error it fails with.
    fn next_transfer(&self, max: usize) -> io::Result<usize> {
        match self.faults.borrow_mut().next_u32() % 16 {
            0..3 => Err(error(libc::EINTR)),
            3..6 => Err(io::ErrorKind::WouldBlock.into()),
            6 => Err(error(libc::ENOBUFS)),
            7..14 => Ok(max.min(1)),
            _ => Ok(max),
        }
    }
}

impl ByteStream for FaultyStream {
    async fn readable(&self) -> io::Result<()> {
        tokio::task::yield_now().await;
        Ok(())
    }

    async fn writable(&self) -> io::Result<()> {
        tokio::task::yield_now().await;
        Ok(())
    }

    fn try_read(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let mut incoming = self.incoming.borrow_mut();
        let count = self.next_transfer(bytes.len().min(incoming.len()))?;
        incoming.copy_to_slice(&mut bytes[..count]);
        match (count, self.final_error) {
            (0, Some(number)) => Err(error(number)),
            _ => Ok(count),
        }
    }

    fn try_write(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let complete: Vec<u8> = slices.iter().flat_map(|slice| slice.iter().copied()).collect();
        let mut written = self.written.borrow_mut();
        let count = self.next_transfer(complete.len().min(self.write_capacity - written.len()))?;
        written.extend_from_slice(&complete[..count]);
        match (count, self.final_error) {
            (0, Some(number)) => Err(error(number)),
            _ => Ok(count),
        }
    }
}

#[test]
fn all_bytes_are_written_once_and_in_order() {
    for seed in 0..SEEDS {
        let stream = FaultyStream::new(seed, b"");
        let mut bytes = (&b"the first part, "[..]).chain(&b"and the second"[..]);
        block_on(socket::write_all(&stream, &mut bytes)).expect("all bytes are written");
        assert_eq!(*stream.written.borrow(), b"the first part, and the second", "seed {seed}");
    }
}

#[test]
fn any_error_of_a_write_ends_the_connection() {
    for number in [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET, libc::EPIPE] {
        for seed in 0..SEEDS {
            let mut stream = FaultyStream::new(seed, b"");
            (stream.write_capacity, stream.final_error) = (7, Some(number));
            let mut bytes = &b"more than it takes"[..];
            let written = block_on(socket::write_all(&stream, &mut bytes));
            assert!(matches!(written, Err(SocketError::Broken(_))), "seed {seed}: {written:?}");
            assert_eq!(*stream.written.borrow(), b"more th");
            assert_eq!(bytes, b"an it takes", "the unwritten rest shows where the write broke");
        }
    }
}

#[test]
fn all_bytes_are_read_once_and_in_order() {
    for seed in 0..SEEDS {
        for final_error in [None, Some(libc::ETIMEDOUT), Some(libc::EHOSTUNREACH)] {
            let mut stream = FaultyStream::new(seed, b"what the peer says");
            stream.final_error = final_error;
            let (mut all, mut bytes) = (Vec::new(), [0; 64]);
            let end = loop {
                match block_on(socket::read(&stream, &mut bytes)) {
                    Ok(0) => break None,
                    Ok(count) => all.extend_from_slice(&bytes[..count]),
                    Err(SocketError::Broken(cause)) => break cause.raw_os_error(),
                    Err(other) => panic!("seed {seed}: {other:?}"),
                }
            };
            assert_eq!(all, b"what the peer says", "seed {seed}");
            assert_eq!(end, final_error, "seed {seed}");
        }
    }
}

// Regression: a read interrupted by a signal was treated as a broken connection to the client or host.
#[test]
fn messages_of_clients_and_hosts_survive_interrupted_and_short_reads() {
    let message = [&b"Q"[..], &9u32.to_be_bytes(), b"text\0"].concat();
    let buffer = ReadBuffer::new();
    for seed in 0..SEEDS {
        let stream = FaultyStream::new(seed, &message);
        let mut framer = Framer::default();
        let message = loop {
            match buffer.read(|bytes| stream.try_read(bytes), Some(&mut framer)) {
                Ok(Some(0)) => panic!("seed {seed}: the stream ended"),
                Ok(_) | Err(SocketError::ResourceShortage(_)) => {}
                Err(other) => panic!("seed {seed}: {other:?}"),
            }
            if let Some(message) = framer.message().expect("a well-formed message") {
                break message;
            }
        };
        assert_eq!((message.kind(), message.body()), (b'Q', &b"text\0"[..]), "seed {seed}");
    }
}

// Regression: an interrupted peek was treated as a closed connection.
#[test]
fn an_interrupted_peek_is_retried() {
    let cases: [(Result<usize, i32>, Unread); 7] = [
        (Err(libc::EAGAIN), Unread::Nothing),
        (Err(libc::ENOBUFS), Unread::Nothing),
        (Err(libc::ENOMEM), Unread::Nothing),
        (Ok(1), Unread::Bytes),
        (Ok(0), Unread::End),
        (Err(libc::ETIMEDOUT), Unread::End),
        (Err(libc::EHOSTUNREACH), Unread::End),
    ];
    for (result, expected) in cases {
        for interruptions in [0, 1, 7] {
            let mut calls = 0;
            let unread = socket::unread(|| {
                calls += 1;
                if calls <= interruptions {
                    return Err(error(libc::EINTR));
                }
                result.map_err(error)
            });
            assert_eq!(unread, expected, "{result:?} after {interruptions} interruptions");
        }
    }
}

// Regression: an interrupted read closed the operator's connection without a reply.
#[test]
fn an_operators_command_survives_interrupted_and_short_reads() {
    for seed in 0..SEEDS {
        let stream = FaultyStream::new(seed, b"STATUS\nand no more of it");
        let line = block_on(ops::read_line(&stream));
        assert!(matches!(&line, Ok(line) if line == b"STATUS"), "seed {seed}");
    }
}

// Regression: an interrupted read ended the watch and lost the update that was being received.
#[test]
fn an_endpoint_list_survives_interrupted_and_short_reads() {
    let list = r#"{"revision":7,"complete":true,"members":[]}"#;
    let text =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n", list.len() + 1);
    for seed in 0..SEEDS {
        let stream = FaultyStream::new(seed, text.as_bytes());
        let (mut response, clock) = (ListResponse::default(), Clock::start());
        block_on(async {
            while response.texts().is_empty() {
                let read = response.read(&stream, clock).await;
                read.unwrap_or_else(|cause| panic!("seed {seed}: {cause}"));
            }
        });
        assert_eq!(response.texts(), [ListText::Complete(format!("{list}\n").into())], "seed {seed}");
    }
}

/// A stream that is always ready and transfers one byte per call, until another task has run.
struct AlwaysReadyStream<'a> {
    other_ran: &'a Cell<bool>,
    calls: Cell<u32>,
}

impl AlwaysReadyStream<'_> {
    fn next_transfer(&self) -> io::Result<usize> {
        self.calls.set(self.calls.get() + 1);
        assert!(self.calls.get() < 10_000, "no other task has run");
        match self.other_ran.get() {
            false => Ok(1),
            true => Err(error(libc::ECONNRESET)),
        }
    }
}

impl ByteStream for AlwaysReadyStream<'_> {
    async fn readable(&self) -> io::Result<()> {
        Ok(())
    }

    async fn writable(&self) -> io::Result<()> {
        Ok(())
    }

    fn try_read(&self, _bytes: &mut [u8]) -> io::Result<usize> {
        self.next_transfer()
    }

    fn try_write(&self, _slices: &[IoSlice<'_>]) -> io::Result<usize> {
        self.next_transfer()
    }
}

#[test]
fn a_peer_that_is_always_ready_does_not_starve_other_tasks() {
    for writes in [false, true] {
        let other_ran = Cell::new(false);
        let stream = AlwaysReadyStream { other_ran: &other_ran, calls: Cell::new(0) };
        let transfer = async {
            match writes {
                true => {
                    socket::write_all(&stream, &mut &[0; 20_000][..]).await.expect_err("the stream breaks")
                }
                false => loop {
                    if let Err(cause) = socket::read(&stream, &mut [0; 8]).await {
                        break cause;
                    }
                },
            }
        };
        block_on(async { tokio::join!(transfer, async { other_ran.set(true) }) });
    }
}
