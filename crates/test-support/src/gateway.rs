//! A gateway process of a blocking test, whose log is read from a pipe while the gateway runs.

use crate::child_process::ChildProcess;
use crate::client::Client;
use crate::messages::{kinds, query};
use crate::network::ReservedPort;
use crate::scripted_discovery::ScriptedDiscovery;
use crate::time::TEST_TIMEOUT;
use petrelgauge::os::process_memory::parse_private_bytes;
use petrelgauge_lifecycle::client::{MAX_BACKOFF, MIN_BACKOFF};
use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

const MICROSECONDS_PER_MILLISECOND: u64 = 1_000;
/// Interval and number of polls for a state: one minute in total.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLLS: u128 = TEST_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
/// Time after an answer until the connection can be reused.
const REUSE_DELAY: Duration = Duration::from_millis(100);
/// Receive buffer of [`Gateway::small_buffer_client`] (bytes).
const SMALL_RECEIVE_BUFFER: usize = 4 * 1024;

/// A running gateway. Dropping it kills its process.
pub struct Gateway {
    pub(crate) child: ChildProcess,
    pub(crate) log: RefCell<BufReader<std::process::ChildStderr>>,
    pub(crate) address: String,
    pub(crate) config_path: String,
    pub(crate) ops: Option<String>,
    /// The discovery service that the gateway watches, if the harness runs it.
    pub(crate) discovery: Option<ScriptedDiscovery>,
    /// Ports of the gateway, reserved even while it does not listen.
    pub(crate) _ports: Vec<Rc<ReservedPort>>,
}

impl Gateway {
    /// The address on which it listens for clients.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Opens a connection to the operations address.
    pub fn operator_connection(&self) -> TcpStream {
        let stream = TcpStream::connect(self.ops.as_ref().expect("the gateway has an operations address"))
            .expect("connect to the gateway");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set a socket timeout");
        stream
    }

    /// Sends an operator's command and returns the reply.
    pub fn operator_request(&self, line: &[u8]) -> String {
        let mut connection = self.operator_connection();
        connection.write_all(line).expect("write to the gateway");
        let mut reply = String::new();
        connection.read_to_string(&mut reply).expect("read the reply");
        reply
    }

    /// Repeats an operator's command until the reply starts with this prefix.
    pub fn repeat_operator_request(&self, line: &[u8], prefix: &str) {
        for _ in 0..POLLS {
            if self.operator_request(line).starts_with(prefix) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("the gateway never replies {prefix:?}");
    }

    /// Connects a client that has sent nothing.
    pub fn raw_client(&self) -> Client {
        Client::connected(self.socket_address())
    }

    /// Connects a client and completes its startup.
    pub fn client(&self) -> Client {
        Client::started(self.socket_address())
    }

    /// Like [`Gateway::client`], with a small receive buffer.
    pub fn small_buffer_client(&self) -> Client {
        let address = self.socket_address();
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("create a socket");
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).expect("set a socket option");
        socket.connect(&address.into()).expect("connect to the gateway");
        let mut client = Client::from_stream(TcpStream::from(socket), address);
        client.start();
        client
    }

    /// Like [`Gateway::raw_client`]; none if the connection fails.
    pub fn try_client(&self) -> Option<Client> {
        let address = self.socket_address();
        Some(Client::from_stream(TcpStream::connect(address).ok()?, address))
    }

    fn socket_address(&self) -> SocketAddr {
        self.address.parse().expect("valid socket address")
    }

    /// Replaces the configuration file and makes the gateway reload it.
    pub fn reload_config(&self, config: &str) {
        std::fs::write(&self.config_path, config).expect("write the file");
        self.signal("HUP");
    }

    /// Private memory of the process (bytes): without the pages of files, such as its program.
    pub fn private_memory(&self) -> usize {
        parse_private_bytes(&self.status()).expect("an RssAnon line")
    }

    fn status(&self) -> String {
        std::fs::read_to_string(format!("/proc/{}/status", self.process_id())).expect("the process runs")
    }

    /// Resident memory of the process (bytes).
    pub fn resident_memory(&self) -> usize {
        let status = self.status();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a VmRSS line");
        let kilobytes: usize = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
        kilobytes * 1024
    }

    /// The process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named without its `SIG` prefix.
    pub fn signal(&self, name: &str) {
        assert!(self.child.signal(name).expect("run the kill program"));
    }

    /// Reads the log up to the next line that contains a text, and returns that line.
    pub fn wait_for_log_line(&self, text: &str) -> String {
        let (mut log, mut last) = (self.log.borrow_mut(), String::new());
        loop {
            let mut line = String::new();
            let read = log.read_line(&mut line).expect("read the gateway log");
            assert!(read > 0, "the log ended before a line with {text:?}; last line: {last:?}");
            if line.contains(text) {
                return line;
            }
            last = line;
        }
    }

    /// Makes the gateway log its counters until the line contains a text.
    pub fn wait_for_counter(&self, text: &str) {
        self.wait_for_counters(|counters| counters.contains(text));
    }

    /// Makes the gateway log its counters until the value of one is accepted. `name` includes the equals
    /// sign.
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
        panic!("the counters never reach the expected state");
    }

    /// Waits for a span (milliseconds) measured by the gateway's own timers: all of its timers that were due
    /// earlier have fired by then, even on a slow machine.
    ///
    /// Uses the growing backoff that the gateway applies to a client after each unusable statement.
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

    /// Waits for the gateway's next watch and returns the first line of the request.
    pub fn next_watch(&self) -> String {
        self.discovery().next_request()
    }

    /// Waits until a connection that has answered can be reused.
    pub fn wait_until_reusable(&self) {
        thread::sleep(REUSE_DELAY);
    }

    /// Makes the discovery service send the later updates to the watch.
    pub fn send_later_updates(&self) {
        self.discovery().release();
    }

    /// Ends the watch.
    pub fn end_watch(&self) {
        self.discovery().release();
    }

    fn discovery(&self) -> &ScriptedDiscovery {
        self.discovery.as_ref().expect("the harness runs the discovery service")
    }

    /// Waits until the process exits. Returns its exit code and the rest of its log.
    pub fn wait_for_exit(&mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.log.borrow_mut().read_to_string(&mut log).expect("read the gateway log");
        (self.child.wait().expect("wait for the process"), log)
    }
}
