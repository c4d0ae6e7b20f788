//! The program, as it runs, and its clients.

use crate::messages::{kinds, query, read_message, startup};
use crate::network::ReservedPort;
use crate::time::NEVER;
use petrelgauge_lifecycle::client::{MAX_BACKOFF, MIN_BACKOFF};
use std::cell::RefCell;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender};
use std::thread;
use std::time::Duration;

/// In a millisecond.
const MICROSECONDS: u64 = 1_000;

/// The program, as it runs.
pub struct Gateway {
    pub(crate) child: Child,
    pub(crate) log: RefCell<BufReader<std::process::ChildStderr>>,
    pub(crate) address: String,
    pub(crate) config_path: String,
    pub(crate) ops: Option<String>,
    pub(crate) watches: Receiver<String>,
    pub(crate) end_watch: Sender<()>,
    /// Its ports, which nobody else is given while it is there, also where it does not listen yet or no longer.
    pub(crate) _ports: Vec<Rc<ReservedPort>>,
}

impl Gateway {
    /// Where it listens.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// A caller of its second address.
    pub fn caller(&self) -> TcpStream {
        let stream =
            TcpStream::connect(self.ops.as_ref().expect("it has an operations address")).expect("it accepts");
        stream.set_read_timeout(Some(NEVER)).expect("a limit");
        stream
    }

    /// What it answers to a call.
    pub fn call(&self, line: &[u8]) -> String {
        let mut caller = self.caller();
        caller.write_all(line).expect("it is read");
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer");
        answer
    }

    /// Calls until the answer begins so.
    pub fn call_until(&self, line: &[u8], begins: &str) {
        for _ in 0..NEVER.as_millis() / 20 {
            if self.call(line).starts_with(begins) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("it never says so");
    }

    pub fn raw_client(&self) -> Client {
        Client::connected(self.address.parse().expect("an address"))
    }

    /// A client that is admitted.
    pub fn client(&self) -> Client {
        Client::admitted(self.address.parse().expect("an address"))
    }

    /// One that is admitted, and whose socket holds little that it has not read.
    pub fn narrow_client(&self) -> Client {
        const LITTLE: usize = 4 * 1024;
        let address: SocketAddr = self.address.parse().expect("an address");
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(LITTLE).expect("an option");
        socket.connect(&address.into()).expect("it accepts");
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(NEVER)).expect("a limit");
        let mut client = Client(stream, address);
        client.write(&startup());
        client.until_ready();
        client
    }

    /// A connection, if the gateway still listens.
    pub fn try_client(&self) -> Option<Client> {
        let address: SocketAddr = self.address.parse().expect("an address");
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(NEVER)).expect("a limit");
        Some(Client(stream, address))
    }

    /// Replaces its configuration and signals the change.
    pub fn configure(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("a place to write");
        self.signal("HUP");
    }

    /// Its resident memory, in bytes.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
        let kilobytes: usize = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
        kilobytes * 1024
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status().expect("kill is there");
        assert!(sent.success());
    }

    /// Waits for a line of the log that holds this text.
    pub fn line_with(&self, text: &str) -> String {
        let (mut log, mut last) = (self.log.borrow_mut(), String::new());
        loop {
            let mut line = String::new();
            let read = log.read_line(&mut line).expect("its log");
            assert!(read > 0, "it ended before it said {text:?}; its last line: {last:?}");
            if line.contains(text) {
                return line;
            }
            last = line;
        }
    }

    /// Asks for the counters until they hold this text.
    pub fn wait_for_counter(&self, text: &str) {
        self.wait_for_counters(|counters| counters.contains(text));
    }

    /// Asks for the counters until the one named so, with its equals sign, has a value that will do.
    pub fn wait_for(&self, name: &str, will_do: impl Fn(u64) -> bool) {
        self.wait_for_counters(|counters| {
            let words = counters.split_ascii_whitespace();
            words.filter_map(|word| word.strip_prefix(name)?.parse().ok()).any(&will_do)
        });
    }

    fn wait_for_counters(&self, will_do: impl Fn(&str) -> bool) {
        for _ in 0..NEVER.as_millis() / 20 {
            self.signal("USR1");
            if will_do(&self.line_with("requests=")) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("its counters never say so");
    }

    /// Waits for this span (milliseconds) on the gateway's own timers: a machine that keeps the gateway from its processor
    /// makes it longer by as much. What was due on them sooner has happened then.
    ///
    /// The timers are the pauses that a client has behind statements that cannot be used, from one statement to the
    /// next.
    pub fn wait_by_its_timers(&self, span_ms: u64) {
        let (first, longest) = (MIN_BACKOFF as u64 / MICROSECONDS, MAX_BACKOFF as u64 / MICROSECONDS);
        let (mut pause, mut paused, mut statements) = (first, 0, 1);
        while paused < span_ms {
            paused += pause;
            pause = (2 * pause).min(longest);
            statements += 1;
        }
        let mut client = self.client();
        client.write(&query("unusable").repeat(statements));
        for _ in 0..statements {
            assert_eq!(kinds(&client.until_ready()), "EZ");
        }
    }

    /// The head of the next watch that it begins.
    pub fn next_watch(&self) -> String {
        self.watches.recv_timeout(NEVER).expect("it watches")
    }

    /// Waits until a connection that has answered may be used again.
    pub fn rest(&self) {
        thread::sleep(Duration::from_millis(100));
    }

    /// Lets the watch bring what was kept for later.
    pub fn send_later_updates(&self) {
        self.end_watch();
    }

    pub fn end_watch(&self) {
        self.end_watch.send(()).expect("a watch is open");
    }

    /// Waits for its end: its code and the rest of its log.
    pub fn ended(&mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.log.borrow_mut().read_to_string(&mut log).expect("its log");
        (self.child.wait().expect("it ends").code(), log)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client's connection.
pub struct Client(TcpStream, SocketAddr);

impl Client {
    /// Leaves with a reset in place of the end of its bytes.
    pub fn reset(self) {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("an option");
    }

    /// Sends nothing more, and still reads.
    pub fn finish_writing(&self) {
        self.0.shutdown(std::net::Shutdown::Write).expect("it is open");
    }

    fn connected(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("it accepts");
        stream.set_read_timeout(Some(NEVER)).expect("a limit");
        Client(stream, address)
    }

    fn admitted(address: SocketAddr) -> Client {
        let mut client = Client::connected(address);
        client.write(&startup());
        client.until_ready();
        client
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("it is read");
    }

    /// Writes to a connection that may have been closed.
    ///
    /// # Errors
    ///
    /// Fails if the gateway has closed or reset the connection.
    pub fn try_write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.write_all(bytes)
    }

    /// Writes in a thread of its own: what the gateway does not read may not fit into the sockets.
    pub fn write_behind(&self, bytes: Vec<u8>) -> thread::JoinHandle<std::io::Result<()>> {
        let mut stream = self.0.try_clone().expect("a second handle");
        thread::spawn(move || stream.write_all(&bytes))
    }

    /// Writes as much of it, over and over, as the sockets take, until nothing more was taken for a second; says how
    /// much that was, `most` bytes at the most.
    pub fn flood(&mut self, bytes: &[u8], most: usize) -> usize {
        self.0.set_write_timeout(Some(Duration::from_secs(1))).expect("a limit");
        let mut written = 0;
        while written < most {
            let from = written % bytes.len();
            match self.0.write(&bytes[from..]) {
                Ok(count) => written += count,
                Err(_) => break,
            }
        }
        written
    }

    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.0.read_exact(&mut bytes).expect("so many bytes");
        bytes
    }

    /// What comes until the connection ends.
    pub fn until_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        bytes
    }

    pub fn until_ready(&mut self) -> Vec<(u8, Vec<u8>)> {
        let mut messages = Vec::new();
        while messages.last().is_none_or(|(kind, _)| *kind != b'Z') {
            messages.push(read_message(&mut self.0).expect("a message"));
        }
        messages
    }

    pub fn rest(&mut self) -> Vec<(u8, Vec<u8>)> {
        std::iter::from_fn(|| read_message(&mut self.0)).collect()
    }

    /// What has come by now, and whether the connection has ended.
    pub fn come_by_now(&mut self) -> (Vec<(u8, Vec<u8>)>, bool) {
        let mut bytes = Vec::new();
        self.0.set_nonblocking(true).expect("an option");
        let ended = self.0.read_to_end(&mut bytes).is_ok();
        self.0.set_nonblocking(false).expect("an option");
        let mut unread = &bytes[..];
        (std::iter::from_fn(|| read_message(&mut unread)).collect(), ended)
    }

    /// What comes until the connection ends, and whether it ended with a reset.
    pub fn rest_and_reset(&mut self) -> (Vec<(u8, Vec<u8>)>, bool) {
        let mut bytes = Vec::new();
        let ended = self.0.read_to_end(&mut bytes);
        let mut unread = &bytes[..];
        (std::iter::from_fn(|| read_message(&mut unread)).collect(), ended.is_err())
    }

    /// Whether the gateway reset the connection after it had closed its side: a read then gives the end alone, and the
    /// kernel keeps the reset as the socket's pending error. A gateway that closes its side first keeps the socket for a
    /// second, so the reset may come as late as that.
    pub fn is_reset_behind_its_end(&self) -> bool {
        const LOOK: Duration = Duration::from_millis(20);
        (0..150).any(|_| {
            let pending = self.0.take_error().expect("a socket");
            if pending.is_none() {
                thread::sleep(LOOK);
            }
            pending.is_some()
        })
    }

    /// Waits until the next byte is there. False if the connection ended without one. A signal that interrupts the
    /// call, which is not repeated by itself on a socket with a limit, is neither.
    fn has_more(&self) -> bool {
        loop {
            match self.0.peek(&mut [0]) {
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                found => return matches!(found, Ok(1)),
            }
        }
    }

    /// Asks as the protocol's clients do: where the gateway closed the connection before it read the
    /// query, once more over a new one.
    pub fn ask(&mut self, text: &str) -> Vec<(u8, Vec<u8>)> {
        let written = self.0.write_all(&query(text));
        if written.is_err() || !self.has_more() {
            *self = Client::admitted(self.1);
            self.write(&query(text));
        }
        self.until_ready()
    }
}
