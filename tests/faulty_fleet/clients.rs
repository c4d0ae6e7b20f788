//! The clients of one gateway: requests at random times over connections that they keep for as long as these are open, and
//! a ledger of what became of each request.

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

/// A final answer that comes later than this past the request's time is lost.
pub const LATEST_ANSWER: Duration = Duration::from_millis(500);
/// A reset follows the end of a connection by this at the most: a gateway that closes its side first keeps the socket for a
/// second.
const RESET_WITHIN: Duration = Duration::from_millis(1_500);
/// A connection that is not up by then was not taken.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// Share of the clients that leave before they have their answer.
const LEAVING_SHARE: f64 = 0.01;
/// Longest pause between two requests of a gateway's clients.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    Served,
    /// With this code.
    Refused(String),
    Failed(String),
    /// No connection took it.
    NotTaken,
    /// Its client left.
    Left,
    /// It was taken and has no final answer.
    Lost(&'static str),
}

#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    pub gateway: usize,
    pub class: usize,
    /// When its last byte was written.
    pub sent: Time,
    /// When its fate was sealed.
    pub ended: Time,
    pub deadline: Duration,
    pub key: Option<String>,
    pub fate: Fate,
}

#[derive(Default)]
pub struct Ledger {
    pub records: RefCell<Vec<Record>>,
    next: Cell<u64>,
}

impl Ledger {
    fn next(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }
}

/// The clients of one gateway.
pub struct Clients {
    plan: Plan,
    clock: Clock,
    gateway: Rc<FleetGateway>,
    ledger: Rc<Ledger>,
    load: Rc<Cell<f64>>,
    /// Connections at rest.
    idle: Rc<RefCell<Vec<Connection>>>,
}

/// What the sending of a request led to.
enum Reply {
    Fate(Fate),
    /// The connection ended before it took the request: it may be sent once more.
    Untaken,
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

    /// Asks for as long as there is load.
    pub async fn run(self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.plan.seed << 20 | self.gateway.number as u64);
        let clients = Rc::new(self);
        let capacity = Host::capacity(&clients.plan) * clients.plan.hosts as f64;
        loop {
            let rate = clients.load.get() * capacity / clients.plan.gateways as f64;
            let pause = -uniform(&mut rng).max(1e-9).ln() / rate.max(1e-3);
            // The load may change during a long pause; without memory, the rest of it can be drawn anew.
            if pause > LONGEST_PAUSE.as_secs_f64() {
                clients.clock.sleep(LONGEST_PAUSE).await;
                continue;
            }
            clients.clock.sleep(Duration::from_secs_f64(pause)).await;
            if rate > 0.0 {
                let class = classes::draw(&clients.plan, &mut rng);
                let leaves = uniform(&mut rng) < LEAVING_SHARE;
                let patience = CLASSES[class].deadline.mul_f64(0.4 + 0.6 * uniform(&mut rng));
                tokio::task::spawn_local(clients.clone().ask(class, patience, leaves));
            }
        }
    }

    async fn ask(self: Rc<Self>, class: usize, deadline: Duration, leaves: bool) {
        let number = self.ledger.next();
        let id = format!("{number:016x}");
        let (kind, wait) = (&CLASSES[class], deadline.as_millis());
        let key = kind.is_write.then(|| format!("{number:08x}"));
        let text = match &key {
            None => format!(
                "SELECT content FROM kv WHERE name = '{id}' /* id={id},c={},d={wait},cluster=2 */",
                kind.name
            ),
            Some(key) => format!(
                "INSERT INTO kv (name, content) VALUES ('{id}', '\\x9f03') RETURNING content /* id={id},c={},d={wait},k={key},cluster=2 */",
                kind.name
            ),
        };
        let mut sent = self.clock.now();
        let mut fate = Fate::NotTaken;
        // A request that crosses the end of a connection at rest is sent once more, on a new one.
        for is_new in [false, true] {
            let Some(connection) = self.connection(is_new).await else { break };
            sent = self.clock.now();
            match self.send(connection, &text, &id, deadline, leaves).await {
                Reply::Fate(sealed) => {
                    fate = sealed;
                    break;
                }
                Reply::Untaken => {}
            }
        }
        let (gateway, ended) = (self.gateway.number, self.clock.now());
        let record = Record { id, gateway, class, sent, ended, deadline, key, fate };
        self.ledger.records.borrow_mut().push(record);
    }

    /// A connection at rest, or a new one.
    async fn connection(&self, is_new: bool) -> Option<Connection> {
        if let Some(connection) = self.idle.borrow_mut().pop().filter(|_| !is_new) {
            return Some(connection);
        }
        let open = Connection::open(self.gateway.process.listen);
        let mut connection = timeout(CONNECT_WITHIN, open).await.ok()?.ok()?;
        timeout(LATEST_ANSWER, connection.until_ready()).await.ok()?.ok()?;
        Some(connection)
    }

    async fn send(
        &self,
        mut connection: Connection,
        text: &str,
        id: &str,
        deadline: Duration,
        leaves: bool,
    ) -> Reply {
        if connection.send(text).await.is_err() {
            return Reply::Untaken;
        }
        if leaves {
            self.clock.sleep(deadline / 8).await;
            return Reply::Fate(Fate::Left);
        }
        let fate = match timeout(deadline + LATEST_ANSWER, connection.until_ready()).await {
            Err(_) => return Reply::Fate(Fate::Lost("no final answer in time")),
            Ok(Ok(messages)) => fate(&messages, id),
            // A reset tells that the query was not read, or that the process is gone; see the rules.
            Ok(Err(ConnectionEnd::Reset)) => return Reply::Untaken,
            Ok(Err(ConnectionEnd::Closed)) if is_reset_behind(&connection, self.clock).await => {
                return Reply::Untaken
            }
            Ok(Err(ConnectionEnd::Malformed)) => {
                return Reply::Fate(Fate::Lost("answered with what is no message"))
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
        return if code == "53300" || code == "57P03" { Fate::Refused(code) } else { Fate::Failed(code) };
    }
    let row = messages.iter().find(|(kind, _)| *kind == b'D');
    match row.and_then(|(_, body)| body.get(6..)) {
        Some(value) if value == id.as_bytes() => Fate::Served,
        _ => Fate::Lost("answered with what no host made for it"),
    }
}
