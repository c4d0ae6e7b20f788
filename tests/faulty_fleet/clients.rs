//! The clients of one gateway: they send requests at random times over reused connections, and record the
//! outcome of each request.

use super::classes::{self, CLASSES};
use super::gateways::FleetGateway;
use super::hosts::Host;
use super::{uniform, Clock, Plan, Time};
use petrelgauge_test_support::{field, Connection, ConnectionEnd, Message};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A request counts as lost if its final answer comes later than this after the deadline.
pub const LATEST_ANSWER: Duration = Duration::from_millis(500);
/// Time limit for a reset after the end of a connection. A gateway that closes its side first keeps the
/// socket for a second.
const RESET_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection that is not established within this time counts as not accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of requests whose client disconnects before the answer.
const DISCONNECTING_SHARE: f64 = 0.01;
/// Longest pause before the load is read again.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The outcome of a request, as its client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Answered with its row.
    Served,
    /// Rejected with this SQLSTATE: it was not executed.
    Rejected(String),
    /// Failed with another SQLSTATE.
    Failed(String),
    /// No connection was established, or the connections ended before the request was read.
    NotAccepted,
    /// Its client disconnected.
    Disconnected,
    /// No valid final answer, though it may have been read; the text says why.
    Lost(&'static str),
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    /// Number of the gateway that it was sent to.
    pub gateway: usize,
    pub class: usize,
    /// When its query was written.
    pub sent: Time,
    /// When its client got the outcome.
    pub ended: Time,
    /// Its deadline, from `sent` on.
    pub deadline: Duration,
    pub key: Option<String>,
    pub outcome: Outcome,
}

/// The records of all clients' requests.
#[derive(Default)]
pub struct RequestLog {
    /// Requests that have ended.
    pub records: RefCell<Vec<Record>>,
    last_number: Cell<u64>,
}

impl RequestLog {
    pub(super) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }
}

/// The clients of one gateway.
pub struct Clients {
    plan: Plan,
    pub(super) clock: Clock,
    pub(super) gateway: Rc<FleetGateway>,
    pub(super) request_log: Rc<RequestLog>,
    load: Rc<Cell<f64>>,
    idle: Rc<RefCell<Vec<Connection>>>,
}

/// The result of a request on one connection.
pub(super) enum Reply {
    Ended(Outcome),
    /// The connection ended before the request was read: it may be sent again.
    Unread,
}

impl Clients {
    pub fn new(
        plan: Plan,
        clock: Clock,
        gateway: Rc<FleetGateway>,
        request_log: Rc<RequestLog>,
        load: Rc<Cell<f64>>,
    ) -> Clients {
        Clients { plan, clock, gateway, request_log, load, idle: Rc::default() }
    }

    /// Sends requests at the rate of the load; none while the load is 0. Never returns.
    pub async fn run(self: Rc<Self>) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.plan.seed << 20 | self.gateway.number as u64);
        let clients = self;
        let capacity = Host::capacity(&clients.plan) * clients.plan.hosts as f64;
        loop {
            let rate = clients.load.get() * capacity / clients.plan.gateways as f64;
            let pause = -uniform(&mut rng).max(1e-9).ln() / rate.max(1e-3);
            // The load may change during a long pause. The exponential distribution is memoryless, so that
            // the rest of a pause can be sampled again.
            if pause > LONGEST_PAUSE.as_secs_f64() {
                clients.clock.sleep(LONGEST_PAUSE).await;
                continue;
            }
            clients.clock.sleep(Duration::from_secs_f64(pause)).await;
            if rate > 0.0 {
                let class = classes::sample_class(&clients.plan, &mut rng);
                let disconnects = uniform(&mut rng) < DISCONNECTING_SHARE;
                let deadline = CLASSES[class].settings.deadline.mul_f64(0.4 + 0.6 * uniform(&mut rng));
                tokio::task::spawn_local(clients.clone().issue_request(class, deadline, disconnects));
            }
        }
    }

    async fn issue_request(self: Rc<Self>, class: usize, deadline: Duration, disconnects: bool) {
        let number = self.request_log.next_number();
        let id = format!("{number:016x}");
        let (request_class, wait) = (&CLASSES[class], deadline.as_millis());
        let key = request_class.is_write().then(|| format!("{number:08x}"));
        let text = match &key {
            None => format!(
                "SELECT content FROM kv WHERE name = '{id}' /* id={id},c={},d={wait},cluster=2 */",
                request_class.settings.name
            ),
            Some(key) => format!(
                "INSERT INTO kv (name, content) VALUES ('{id}', '\\x9f03') RETURNING content \
                 /* id={id},c={},d={wait},k={key},cluster=2 */",
                request_class.settings.name
            ),
        };
        let mut sent = self.clock.now();
        let mut outcome = Outcome::NotAccepted;
        // If an idle connection ends before the request is read, the request is sent again over a new
        // connection.
        for is_new in [false, true] {
            let Some(connection) = self.connection(is_new).await else { break };
            sent = self.clock.now();
            match self.send(connection, &text, &id, deadline, disconnects).await {
                Reply::Ended(ended) => {
                    outcome = ended;
                    break;
                }
                Reply::Unread => {}
            }
        }
        let (gateway, ended) = (self.gateway.number, self.clock.now());
        let record = Record { id, gateway, class, sent, ended, deadline, key, outcome };
        self.request_log.records.borrow_mut().push(record);
    }

    /// Takes an idle connection, or opens one if there is none or `is_new` is set.
    pub(super) async fn connection(&self, is_new: bool) -> Option<Connection> {
        if let Some(connection) = self.idle.borrow_mut().pop().filter(|_| !is_new) {
            return Some(connection);
        }
        let open = Connection::open(self.gateway.process.listen);
        let mut connection = timeout(CONNECT_TIMEOUT, open).await.ok()?.ok()?;
        timeout(LATEST_ANSWER, connection.read_until_ready()).await.ok()?.ok()?;
        Some(connection)
    }

    async fn send(
        &self,
        mut connection: Connection,
        text: &str,
        id: &str,
        deadline: Duration,
        disconnects: bool,
    ) -> Reply {
        if connection.send(text).await.is_err() {
            return Reply::Unread;
        }
        if disconnects {
            self.clock.sleep(deadline / 8).await;
            return Reply::Ended(Outcome::Disconnected);
        }
        match self.read_answer(&mut connection, id, deadline + LATEST_ANSWER).await {
            Ok(outcome) => {
                self.idle.borrow_mut().push(connection);
                Reply::Ended(outcome)
            }
            Err(reply) => reply,
        }
    }

    /// Reads the answer to a request. Without a complete answer in time, returns the result of the request as an
    /// error; the connection is of no further use.
    pub(super) async fn read_answer(
        &self,
        connection: &mut Connection,
        id: &str,
        limit: Duration,
    ) -> Result<Outcome, Reply> {
        let lost = |cause| Err(Reply::Ended(Outcome::Lost(cause)));
        match timeout(limit, connection.read_until_ready()).await {
            Err(_) => lost("no final answer in time"),
            Ok(Ok(messages)) => Ok(outcome_of(&messages, id)),
            // A reset means that the query was not read, or that the process was killed.
            Ok(Err(ConnectionEnd::Reset)) => Err(Reply::Unread),
            Ok(Err(ConnectionEnd::Closed)) if is_followed_by_reset(connection, self.clock).await => {
                Err(Reply::Unread)
            }
            Ok(Err(ConnectionEnd::Malformed)) => lost("answered with malformed bytes"),
            Ok(Err(ConnectionEnd::Closed)) => lost("connection closed without a reset"),
        }
    }
}

/// Waits for a reset behind the end of a connection.
async fn is_followed_by_reset(connection: &Connection, clock: Clock) -> bool {
    let until = clock.now() + RESET_TIMEOUT.as_micros() as Time;
    while clock.now() < until {
        if matches!(connection.take_error(), Ok(Some(_))) {
            return true;
        }
        clock.sleep(Duration::from_millis(20)).await;
    }
    false
}

/// The outcome that the messages of an answer state.
fn outcome_of(messages: &[Message], id: &str) -> Outcome {
    if let Some((_, body)) = messages.iter().find(|(kind, _)| *kind == b'E') {
        let code = field(body, b'C');
        return if code == "53300" || code == "57P03" {
            Outcome::Rejected(code)
        } else {
            Outcome::Failed(code)
        };
    }
    let row = messages.iter().find(|(kind, _)| *kind == b'D');
    match row.and_then(|(_, body)| body.get(6..)) {
        Some(value) if value == id.as_bytes() => Outcome::Served,
        _ => Outcome::Lost("answered with a row other than its own"),
    }
}
