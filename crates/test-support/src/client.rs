//! A blocking client of a gateway.

use crate::messages::{query, read_message, startup};
use crate::time::TEST_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Interval of checks for a reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of checks: three seconds in total.
const RESET_POLLS: usize = 150;
/// A socket that accepts no bytes for this long counts as full.
const FULL_AFTER: Duration = Duration::from_secs(1);
/// Type of the message that ends each answer.
const READY_FOR_QUERY: u8 = b'Z';

/// A client's connection to a gateway.
pub struct Client {
    stream: TcpStream,
    gateway: SocketAddr,
}

impl Client {
    /// Closes the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("set a socket option");
    }

    /// Shuts down the write side; the client can still read.
    pub fn shutdown_write(&self) {
        self.stream.shutdown(Shutdown::Write).expect("shut down the write side");
    }

    /// Connects without sending the startup message.
    pub(crate) fn connected(address: SocketAddr) -> Client {
        Client::from_stream(TcpStream::connect(address).expect("connect to the gateway"), address)
    }

    /// Wraps a stream and lets its reads time out after a minute.
    pub(crate) fn from_stream(stream: TcpStream, gateway: SocketAddr) -> Client {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set a socket timeout");
        Client { stream, gateway }
    }

    /// Connects and completes the startup.
    pub(crate) fn started(address: SocketAddr) -> Client {
        let mut client = Client::connected(address);
        client.start();
        client
    }

    /// Sends the startup message and reads its answer.
    pub(crate) fn start(&mut self) {
        self.write(&startup());
        self.read_until_ready();
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("write to the gateway");
    }

    /// Writes bytes to a connection that the gateway may have closed.
    ///
    /// # Errors
    ///
    /// Fails if the gateway has closed or reset the connection.
    pub fn try_write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes bytes in a separate thread: bytes that the gateway does not read may exceed the socket buffers.
    pub fn write_in_background(&self, bytes: Vec<u8>) -> thread::JoinHandle<std::io::Result<()>> {
        let mut stream = self.stream.try_clone().expect("duplicate the descriptor");
        thread::spawn(move || stream.write_all(&bytes))
    }

    /// Writes these bytes repeatedly until the socket buffers are full or `max_count` bytes are written.
    /// Returns the number of bytes written.
    pub fn write_until_full(&mut self, bytes: &[u8], max_count: usize) -> usize {
        self.stream.set_write_timeout(Some(FULL_AFTER)).expect("set a socket timeout");
        let mut written = 0;
        while written < max_count {
            let from = written % bytes.len();
            match self.stream.write(&bytes[from..]) {
                Ok(count) => written += count,
                Err(_) => break,
            }
        }
        written
    }

    /// Reads exactly `count` bytes.
    pub fn read_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes).expect("read the expected number of bytes");
        bytes
    }

    /// Reads bytes until the connection ends.
    pub fn read_until_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let _ = self.stream.read_to_end(&mut bytes);
        bytes
    }

    /// Reads the messages of an answer, up to and including ReadyForQuery.
    pub fn read_until_ready(&mut self) -> Vec<(u8, Vec<u8>)> {
        let mut messages = Vec::new();
        while messages.last().is_none_or(|(kind, _)| *kind != READY_FOR_QUERY) {
            messages.push(read_message(&mut self.stream).expect("read a message"));
        }
        messages
    }

    /// Reads messages until the connection ends.
    pub fn read_messages_until_end(&mut self) -> Vec<(u8, Vec<u8>)> {
        std::iter::from_fn(|| read_message(&mut self.stream)).collect()
    }

    /// Reads the messages that have already arrived, without blocking. Also returns whether the connection
    /// has ended.
    pub fn available_messages(&mut self) -> (Vec<(u8, Vec<u8>)>, bool) {
        let mut bytes = Vec::new();
        self.stream.set_nonblocking(true).expect("set a socket option");
        let ended = self.stream.read_to_end(&mut bytes).is_ok();
        self.stream.set_nonblocking(false).expect("set a socket option");
        let mut unread = &bytes[..];
        (std::iter::from_fn(|| read_message(&mut unread)).collect(), ended)
    }

    /// Reads messages until the connection ends. Also returns whether it ended with a reset.
    pub fn read_until_end_or_reset(&mut self) -> (Vec<(u8, Vec<u8>)>, bool) {
        let mut bytes = Vec::new();
        let ended = self.stream.read_to_end(&mut bytes);
        let mut unread = &bytes[..];
        (std::iter::from_fn(|| read_message(&mut unread)).collect(), ended.is_err())
    }

    /// Whether a reset follows the end of the connection. A read reports only the end; the kernel keeps the
    /// reset as the socket's pending error. A gateway that closes its side first keeps the socket for a
    /// second, so the reset may arrive up to a second later.
    pub fn is_reset_after_end(&self) -> bool {
        (0..RESET_POLLS).any(|_| {
            let pending = self.stream.take_error().expect("read the pending error");
            if pending.is_none() {
                thread::sleep(RESET_POLL_INTERVAL);
            }
            pending.is_some()
        })
    }

    /// Waits for the next byte; false if the connection ends first. Retries interrupted calls, because the
    /// system does not restart them on a socket with a read timeout.
    fn wait_for_byte(&self) -> bool {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                peeked => return matches!(peeked, Ok(1)),
            }
        }
    }

    /// Sends a query and reads its answer. As the protocol requires of clients, a query that the gateway has
    /// not read before it closes the connection is sent again over a new connection.
    pub fn query(&mut self, text: &str) -> Vec<(u8, Vec<u8>)> {
        let written = self.stream.write_all(&query(text));
        if written.is_err() || !self.wait_for_byte() {
            *self = Client::started(self.gateway);
            self.write(&query(text));
        }
        self.read_until_ready()
    }
}
