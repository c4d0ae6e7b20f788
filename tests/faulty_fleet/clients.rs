//! The clients of one gateway: requests at random times over connections that are kept while they are open, and a ledger of
//! how each request ended.

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

/// A final answer that is later than the deadline by more than this counts as lost.
pub const LATEST_ANSWER: Duration = Duration::from_millis(500);
/// A reset follows the end of a connection within this time: a gateway that closes its side first keeps the socket for a
/// second.
const RESET_WITHIN: Duration = Duration::from_millis(1_500);
/// A connection that is not established within this time was not accepted.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// Share of requests whose client disconnects before the answer.
const DISCONNECTING_SHARE: f64 = 0.01;
/// Longest pause between two requests of a gateway's clients.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// With its row.
    Served,
    /// Rejected with this SQLSTATE: it has not run.
    Rejected(String),
    /// Failed with another SQLSTATE.
    Failed(String),
    /// No connection read it.
    NotAccepted,
    /// Its client disconnected.
    Disconnected,
    /// It was read and has no valid final answer.
    Lost(&'static str),
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// Its class.
    pub class: usize,
    /// When its query was written.
    pub sent: Time,
    /// When it ended.
    pub ended: Time,
    /// How long its client waited at most.
    pub deadline: Duration,
    /// Its idempotency key.
    pub key: Option<String>,
    /// How it ended.
    pub fate: Fate,
}

/// The requests of all clients.
#[derive(Default)]
pub struct Ledger {
    /// Those that have ended.
    pub records: RefCell<Vec<Record>>,
    last_number: Cell<u64>,
}

impl Ledger {
    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }
}

/// The clients of one gateway.
pub struct Clients {
    plan: Plan,
    clock: Clock,
    gateway: Rc<FleetGateway>,
    ledger: Rc<Ledger>,
    load: Rc<Cell<f64>>,
    /// Idle connections.
    idle: Rc<RefCell<Vec<Connection>>>,
}

/// The result of sending a request.
enum Reply {
    Fate(Fate),
    /// The connection ended before the request was read: it may be sent once more.
    Unread,
}

impl Clients {
    pub fn new(
        plan: Plan,
        clock: Clock,
        gateway: Rc<FleetGateway>,
        ledger: Rc<Ledger>,
        load: Rc<Cell<f64>>,
    ) -> Clients {
        Clients { plan, clock, gateway, ledger, load, idle: Rc::default() }
    }

    /// Sends requests for as long as there is load.
    pub async fn run(self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.plan.seed << 20 | self.gateway.number as u64);
        let clients = Rc::new(self);
        let capacity = Host::capacity(&clients.plan) * clients.plan.hosts as f64;
        loop {
            let rate = clients.load.get() * capacity / clients.plan.gateways as f64;
            let pause = -uniform(&mut rng).max(1e-9).ln() / rate.max(1e-3);
            // The load may change during a long pause. Exponential pauses have no memory: the rest of one can be sampled anew.
            if pause > LONGEST_PAUSE.as_secs_f64() {
                clients.clock.sleep(LONGEST_PAUSE).await;
                continue;
            }
            clients.clock.sleep(Duration::from_secs_f64(pause)).await;
            if rate > 0.0 {
                let class = classes::sample_class(&clients.plan, &mut rng);
                let disconnects = uniform(&mut rng) < DISCONNECTING_SHARE;
                let deadline = CLASSES[class].settings.deadline.mul_f64(0.4 + 0.6 * uniform(&mut rng));
                tokio::task::spawn_local(clients.clone().ask(class, deadline, disconnects));
            }
        }
    }

    async fn ask(self: Rc<Self>, class: usize, deadline: Duration, disconnects: bool) {
        let number = self.ledger.next_number();
        let id = format!("{number:016x}");
        let (kind, wait) = (&CLASSES[class], deadline.as_millis());
        let key = kind.is_write().then(|| format!("{number:08x}"));
        let text = match &key {
            None => format!(
                "SELECT content FROM kv WHERE name = '{id}' /* id={id},c={},d={wait},cluster=2 */",
                kind.settings.name
            ),
            Some(key) => format!(
                "INSERT INTO kv (name, content) VALUES ('{id}', '\\x9f03') RETURNING content /* id={id},c={},d={wait},k={key},cluster=2 */",
                kind.settings.name
            ),
        };
        let mut sent = self.clock.now();
        let mut fate = Fate::NotAccepted;
        // A request that crosses the end of an idle connection is sent once more over a new one.
        for is_new in [false, true] {
            let Some(connection) = self.connection(is_new).await else { break };
            sent = self.clock.now();
            match self.send(connection, &text, &id, deadline, disconnects).await {
                Reply::Fate(ended) => {
                    fate = ended;
                    break;
                }
                Reply::Unread => {}
            }
        }
        let (gateway, ended) = (self.gateway.number, self.clock.now());
        let record = Record { id, gateway, class, sent, ended, deadline, key, fate };
        self.ledger.records.borrow_mut().push(record);
    }

    /// An idle connection if there is one and no new one is wanted; otherwise a new one.
    async fn connection(&self, is_new: bool) -> Option<Connection> {
        if let Some(connection) = self.idle.borrow_mut().pop().filter(|_| !is_new) {
            return Some(connection);
        }
        let open = Connection::open(self.gateway.process.listen);
        let mut connection = timeout(CONNECT_WITHIN, open).await.ok()?.ok()?;
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
            return Reply::Fate(Fate::Disconnected);
        }
        let fate = match timeout(deadline + LATEST_ANSWER, connection.read_until_ready()).await {
            Err(_) => return Reply::Fate(Fate::Lost("no final answer in time")),
            Ok(Ok(messages)) => fate(&messages, id),
            // A reset means that the query was not read, or that the process was killed; see the rules.
            Ok(Err(ConnectionEnd::Reset)) => return Reply::Unread,
            Ok(Err(ConnectionEnd::Closed)) if is_reset_behind(&connection, self.clock).await => {
                return Reply::Unread
            }
            Ok(Err(ConnectionEnd::Malformed)) => {
                return Reply::Fate(Fate::Lost("answered with malformed bytes"))
            }
            Ok(Err(ConnectionEnd::Closed)) => return Reply::Fate(Fate::Lost("closed after it was read")),
        };
        self.idle.borrow_mut().push(connection);
        Reply::Fate(fate)
    }
}

async fn is_reset_behind(connection: &Connection, clock: Clock) -> bool {
    let until = clock.now() + RESET_WITHIN.as_micros() as Time;
    while clock.now() < until {
        if matches!(connection.take_error(), Ok(Some(_))) {
            return true;
        }
        clock.sleep(Duration::from_millis(20)).await;
    }
    false
}

fn fate(messages: &[Message], id: &str) -> Fate {
    if let Some((_, body)) = messages.iter().find(|(kind, _)| *kind == b'E') {
        let code = field(body, b'C');
        return if code == "53300" || code == "57P03" { Fate::Rejected(code) } else { Fate::Failed(code) };
    }
    let row = messages.iter().find(|(kind, _)| *kind == b'D');
    match row.and_then(|(_, body)| body.get(6..)) {
        Some(value) if value == id.as_bytes() => Fate::Served,
        _ => Fate::Lost("answered with a row of no host"),
    }
}
