//! A gateway whose log is read as it is written.

use crate::child_process::ChildProcess;
use crate::client::Client;
use crate::messages::{kinds, query};
use crate::network::ReservedPort;
use crate::scripted_discovery::ScriptedDiscovery;
use crate::time::TEST_TIMEOUT;
use petrelgauge_lifecycle::client::{MAX_BACKOFF, MIN_BACKOFF};
use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

/// Microseconds of a millisecond.
const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
/// How often a state is polled, and how many times: a minute in all.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLLS: u128 = TEST_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
/// A connection that has answered may be used again after this.
const REUSE_DELAY: Duration = Duration::from_millis(100);
/// Receive buffer of a client that reads little (bytes).
const SMALL_RECEIVE_BUFFER: usize = 4 * 1024;

/// A running gateway. Dropping it kills its process.
pub struct Gateway {
    pub(crate) child: ChildProcess,
    pub(crate) log: RefCell<BufReader<std::process::ChildStderr>>,
    pub(crate) address: String,
    pub(crate) config_path: String,
    pub(crate) ops: Option<String>,
    /// The discovery that it watches, where the harness serves it.
    pub(crate) discovery: Option<ScriptedDiscovery>,
    /// Its ports, reserved also while it does not listen.
    pub(crate) _ports: Vec<Rc<ReservedPort>>,
}

impl Gateway {
    /// Where clients connect.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// A connection to its operations address.
    pub fn operator_connection(&self) -> TcpStream {
        let stream =
            TcpStream::connect(self.ops.as_ref().expect("it has an operations address")).expect("it accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
        stream
    }

    /// The response to a request of an operator.
    pub fn operator_request(&self, line: &[u8]) -> String {
        let mut caller = self.operator_connection();
        caller.write_all(line).expect("it is read");
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer");
        answer
    }

    /// Repeats a request of an operator until the response begins like this.
    pub fn repeat_operator_request(&self, line: &[u8], begins: &str) {
        for _ in 0..POLLS {
            if self.operator_request(line).starts_with(begins) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("it never answers {begins:?}");
    }

    /// A client that has sent nothing.
    pub fn raw_client(&self) -> Client {
        Client::connected(self.socket_address())
    }

    /// A client whose startup has been answered.
    pub fn client(&self) -> Client {
        Client::started(self.socket_address())
    }

    /// The same, with a small receive buffer.
    pub fn small_buffer_client(&self) -> Client {
        let address = self.socket_address();
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).expect("an option");
        socket.connect(&address.into()).expect("it accepts");
        let mut client = Client::from_stream(TcpStream::from(socket), address);
        client.start();
        client
    }

    /// A client that has sent nothing, if the gateway still listens.
    pub fn try_client(&self) -> Option<Client> {
        let address = self.socket_address();
        Some(Client::from_stream(TcpStream::connect(address).ok()?, address))
    }

    fn socket_address(&self) -> SocketAddr {
        self.address.parse().expect("an address")
    }

    /// Replaces its configuration file and has it read.
    pub fn reload_config(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("a place to write");
        self.signal("HUP");
    }

    /// Its resident memory (bytes).
    pub fn resident_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process_id())).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
        let kilobytes: usize = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
        kilobytes * 1024
    }

    /// The id of its process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named without its `SIG` prefix.
    pub fn signal(&self, name: &str) {
        assert!(self.child.signal(name).expect("kill is there"));
    }

    /// Reads the log up to a line that contains this text, and returns the line.
    pub fn wait_for_log_line(&self, text: &str) -> String {
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

    /// Has the counters logged until their line contains this text.
    pub fn wait_for_counter(&self, text: &str) {
        self.wait_for_counters(|counters| counters.contains(text));
    }

    /// Has the counters logged until the one of this name, its equals sign included, has an accepted value.
    pub fn wait_for_counter_value(&self, name: &str, is_accepted: impl Fn(u64) -> bool) {
        self.wait_for_counters(|counters| {
            let words = counters.split_ascii_whitespace();
            words.filter_map(|word| word.strip_prefix(name)?.parse().ok()).any(&is_accepted)
        });
    }

    fn wait_for_counters(&self, is_accepted: impl Fn(&str) -> bool) {
        for _ in 0..POLLS {
            self.signal("USR1");
            if is_accepted(&self.wait_for_log_line("requests=")) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("its counters never reach the state waited for");
    }

    /// Waits for this span (milliseconds) on the gateway's own timers: whatever it had due sooner has then happened, however
    /// slow the machine is.
    ///
    /// The timers are the growing pauses that a client gets behind statements that cannot be used.
    pub fn wait_on_gateway_timers(&self, span_ms: u64) {
        let (first, longest) = (
            MIN_BACKOFF as u64 / MICROSECONDS_PER_MILLISECOND,
            MAX_BACKOFF as u64 / MICROSECONDS_PER_MILLISECOND,
        );
        let (mut pause, mut paused, mut statements) = (first, 0, 1);
        while paused < span_ms {
            paused += pause;
            pause = (2 * pause).min(longest);
            statements += 1;
        }
        let mut client = self.client();
        client.write(&query("unusable").repeat(statements));
        for _ in 0..statements {
            assert_eq!(kinds(&client.read_until_ready()), "EZ");
        }
    }

    /// The first line of the next watch that it begins.
    pub fn next_watch(&self) -> String {
        self.discovery().next_request()
    }

    /// Waits until a connection that has answered may be used again.
    pub fn wait_until_reusable(&self) {
        thread::sleep(REUSE_DELAY);
    }

    /// Lets the watch bring its later updates.
    pub fn send_later_updates(&self) {
        self.discovery().release();
    }

    /// Ends the watch.
    pub fn end_watch(&self) {
        self.discovery().release();
    }

    fn discovery(&self) -> &ScriptedDiscovery {
        self.discovery.as_ref().expect("the harness serves its discovery")
    }

    /// Waits for its end. Returns its exit code and the rest of its log.
    pub fn wait_for_exit(&mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.log.borrow_mut().read_to_string(&mut log).expect("its log");
        (self.child.wait().expect("it ends"), log)
    }
}
