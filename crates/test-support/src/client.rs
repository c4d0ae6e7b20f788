//! A client of a gateway that waits for each byte.

use crate::messages::{query, read_message, startup};
use crate::time::TEST_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// How often a socket is asked whether it has been reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How many times it is asked: three seconds in all.
const RESET_POLLS: usize = 150;
/// A socket that takes no more bytes for this long is full.
const FULL_AFTER: Duration = Duration::from_secs(1);
/// The type of the message that ends each answer.
const READY_FOR_QUERY: u8 = b'Z';

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    gateway: SocketAddr,
}

impl Client {
    /// Closes the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("an option");
    }

    /// Closes its own direction of the connection; it can still read.
    pub fn shutdown_write(&self) {
        self.stream.shutdown(Shutdown::Write).expect("it is open");
    }

    /// A connection that has sent nothing.
    pub(crate) fn connected(address: SocketAddr) -> Client {
        Client::from_stream(TcpStream::connect(address).expect("it accepts"), address)
    }

    /// A connection over this stream, whose reads fail after a minute.
    pub(crate) fn from_stream(stream: TcpStream, gateway: SocketAddr) -> Client {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
        Client { stream, gateway }
    }

    /// A connection whose startup the gateway has answered.
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
        self.stream.write_all(bytes).expect("it is read");
    }

    /// Writes bytes to a connection that may have been closed.
    ///
    /// # Errors
    ///
    /// Fails if the gateway has closed or reset the connection.
    pub fn try_write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes bytes in a thread of its own: what the gateway does not read may not fit into the sockets.
    pub fn write_in_background(&self, bytes: Vec<u8>) -> thread::JoinHandle<std::io::Result<()>> {
        let mut stream = self.stream.try_clone().expect("a second handle");
        thread::spawn(move || stream.write_all(&bytes))
    }

    /// Writes these bytes again and again until the sockets are full or `max_count` bytes are written. Returns how many were.
    pub fn write_until_full(&mut self, bytes: &[u8], max_count: usize) -> usize {
        self.stream.set_write_timeout(Some(FULL_AFTER)).expect("a limit");
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

    /// Reads this many bytes.
    pub fn read_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes).expect("so many bytes");
        bytes
    }

    /// Reads until the connection ends.
    pub fn read_until_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let _ = self.stream.read_to_end(&mut bytes);
        bytes
    }

    /// Reads the messages of an answer, its end included.
    pub fn read_until_ready(&mut self) -> Vec<(u8, Vec<u8>)> {
        let mut messages = Vec::new();
        while messages.last().is_none_or(|(kind, _)| *kind != READY_FOR_QUERY) {
            messages.push(read_message(&mut self.stream).expect("a message"));
        }
        messages
    }

    /// Reads all further messages until the connection ends.
    pub fn read_messages_until_end(&mut self) -> Vec<(u8, Vec<u8>)> {
        std::iter::from_fn(|| read_message(&mut self.stream)).collect()
    }

    /// The messages that have arrived by now, and whether the connection has ended.
    pub fn available_messages(&mut self) -> (Vec<(u8, Vec<u8>)>, bool) {
        let mut bytes = Vec::new();
        self.stream.set_nonblocking(true).expect("an option");
        let ended = self.stream.read_to_end(&mut bytes).is_ok();
        self.stream.set_nonblocking(false).expect("an option");
        let mut unread = &bytes[..];
        (std::iter::from_fn(|| read_message(&mut unread)).collect(), ended)
    }

    /// All further messages until the connection ends, and whether it ended with a reset.
    pub fn read_until_end_or_reset(&mut self) -> (Vec<(u8, Vec<u8>)>, bool) {
        let mut bytes = Vec::new();
        let ended = self.stream.read_to_end(&mut bytes);
        let mut unread = &bytes[..];
        (std::iter::from_fn(|| read_message(&mut unread)).collect(), ended.is_err())
    }

    /// Whether a reset follows the end of the connection: a read gives the end alone, and the kernel keeps the reset as the
    /// socket's pending error. A gateway that closes its side first keeps the socket for a second, so that the reset may
    /// come as late as that.
    pub fn is_reset_after_end(&self) -> bool {
        (0..RESET_POLLS).any(|_| {
            let pending = self.stream.take_error().expect("a socket");
            if pending.is_none() {
                thread::sleep(RESET_POLL_INTERVAL);
            }
            pending.is_some()
        })
    }

    /// Waits for the next byte; false if the connection ends without one. The system does not repeat an interrupted call on
    /// a socket that has a read timeout.
    fn wait_for_byte(&self) -> bool {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                found => return matches!(found, Ok(1)),
            }
        }
    }

    /// Sends a query and reads its answer. As the protocol demands of clients, a query that the gateway has not read when it
    /// closes the connection is sent once more over a new one.
    pub fn query(&mut self, text: &str) -> Vec<(u8, Vec<u8>)> {
        let written = self.stream.write_all(&query(text));
        if written.is_err() || !self.wait_for_byte() {
            *self = Client::started(self.gateway);
            self.write(&query(text));
        }
        self.read_until_ready()
    }
}
