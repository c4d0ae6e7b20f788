//! Emulated database hosts. A host executes a bounded number of requests at a time, slower during its slow
//! start, and records every request that reaches it.

use super::classes::{class_index, mean_work, CLASSES};
use super::{uniform, Clock, Plan, Time};
use petrelgauge_test_support::{error, message, parameter_status, ready_for_query, row, HostConnection};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Semaphore};

/// Requests that a host executes at a time.
pub const SLOTS: usize = 4;
/// Requests that may wait for a slot; a host rejects more.
const QUEUE: usize = 200;

/// Whether a host answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It accepts connections and requests, and answers none.
    Silent,
    /// It refuses connections.
    Down,
}

#[derive(Clone, Copy, PartialEq)]
struct State {
    mode: Mode,
    /// How many times it has started; connections of an earlier start are reset.
    start: u64,
}

/// A request that reached a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it was read.
    pub at: Time,
    /// The id that its client gave it.
    pub id: String,
    /// Its class.
    pub class: usize,
    /// The time that the gateway stated for it (milliseconds).
    pub wait_ms: u64,
    /// Its idempotency key.
    pub key: Option<String>,
}

/// A start of a host.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// When it started.
    pub at: Time,
    /// When all gateways counted as notified of it.
    pub notified_at: Option<Time>,
}

/// An emulated host.
pub struct Host {
    plan: Plan,
    clock: Clock,
    /// Its number in the fleet.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    slots: Semaphore,
    waiting: Cell<usize>,
    /// It is the primary.
    pub is_primary: Cell<bool>,
    /// Every request that reached it.
    pub arrivals: RefCell<Vec<Arrival>>,
    /// Every start after the fleet's.
    pub starts: RefCell<Vec<Start>>,
    /// Its last start by the hosts' clock (Unix milliseconds); 0 for long ago.
    pub started_ms: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
}

struct Statement {
    arrival: Arrival,
    is_write: bool,
}

impl Host {
    /// Starts a warm host at a free port of this address. Host 0 is the primary.
    pub fn start(plan: Plan, number: usize, ip: Ipv4Addr, clock: Clock) -> Rc<Host> {
        let listener = bind(SocketAddr::from((ip, 0)));
        let address = listener.local_addr().expect("an address");
        let host = Rc::new(Host {
            plan,
            clock,
            number,
            address,
            state: watch::Sender::new(State { mode: Mode::Up, start: 0 }),
            slots: Semaphore::new(SLOTS),
            waiting: Cell::new(0),
            is_primary: Cell::new(number == 0),
            arrivals: RefCell::default(),
            starts: RefCell::default(),
            started_ms: Cell::new(0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(plan.seed << 8 | number as u64)),
        });
        tokio::task::spawn_local(host.clone().listen(listener));
        host
    }

    /// Whether it answers.
    pub fn mode(&self) -> Mode {
        self.state.borrow().mode
    }

    /// Lets it answer, fall silent or go down.
    pub fn set_mode(&self, mode: Mode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Restarts it: connections are reset, requests are lost, and a slow start begins.
    pub fn restart(&self) {
        self.starts.borrow_mut().push(Start { at: self.clock.now(), notified_at: None });
        self.started_ms.set(self.clock.unix_ms());
        self.state.send_modify(|state| *state = State { mode: Mode::Up, start: state.start + 1 });
    }

    /// Capacity of a warm host, in requests of mean execution time a second.
    pub fn capacity(plan: &Plan) -> f64 {
        SLOTS as f64 / mean_work(plan).as_secs_f64()
    }

    /// The share of its capacity that it has now.
    fn share(&self) -> f64 {
        let Some(start) = self.starts.borrow().last().copied() else { return 1.0 };
        self.plan.slow_start.share(Duration::from_micros((self.clock.now() - start.at) as u64))
    }

    async fn listen(self: Rc<Self>, mut listener: TcpListener) {
        let mut state = self.state.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted.ok(),
                _ = state.wait_for(|state| state.mode == Mode::Down) => None,
            };
            if let Some((stream, _)) = accepted {
                let host = self.clone();
                tokio::task::spawn_local(async move { host.serve(stream).await });
            } else if self.mode() == Mode::Down {
                drop(listener);
                let _ = state.wait_for(|state| state.mode != Mode::Down).await;
                listener = bind(self.address);
            }
        }
    }

    /// Serves a connection until it ends, or until the host goes down or restarts, which resets it.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let start = self.state.borrow().start;
        let mut state = self.state.subscribe();
        let is_over = |state: &State| state.start != start || state.mode == Mode::Down;
        let was_reset = tokio::select! {
            biased;
            _ = state.wait_for(is_over) => true,
            _ = self.answer_all(&mut stream) => false,
        };
        if was_reset {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    async fn answer_all(&self, stream: &mut TcpStream) -> Option<()> {
        let mut connection = HostConnection::new(stream);
        connection.startup().await?;
        self.until_answering().await;
        connection.write(&[message(b'R', &[0; 4]), ready_for_query()].concat()).await?;
        loop {
            let statement = self.record(&connection.next_query().await?)?;
            let answer = self.work(&statement).await;
            self.until_answering().await;
            connection.write(&answer).await?;
        }
    }

    async fn until_answering(&self) {
        let _ = self.state.subscribe().wait_for(|state| state.mode != Mode::Silent).await;
    }

    fn record(&self, text: &str) -> Option<Statement> {
        let comment = text.split_once("/* ")?.1.split_once(" */")?.0;
        let fields: BTreeMap<&str, &str> =
            comment.split(',').filter_map(|pair| pair.split_once('=')).collect();
        let arrival = Arrival {
            at: self.clock.now(),
            id: fields.get("id")?.to_string(),
            class: class_index(fields.get("c")?)?,
            wait_ms: fields.get("d")?.parse().ok()?,
            key: fields.get("k").map(|key| key.to_string()),
        };
        self.arrivals.borrow_mut().push(arrival.clone());
        Some(Statement { arrival, is_write: text.starts_with("INSERT") })
    }

    async fn work(&self, statement: &Statement) -> Vec<u8> {
        if statement.is_write && !self.is_primary.get() {
            return self.answer(error("25006"));
        }
        if self.waiting.get() >= QUEUE {
            return self.answer(error("53300"));
        }
        self.waiting.set(self.waiting.get() + 1);
        let _waiting = WaitingRequest(&self.waiting);
        let _slot = self.slots.acquire().await;
        // Execution times differ: from half to one and a half of the mean.
        let factor = 0.5 + uniform(&mut self.rng.borrow_mut());
        let work = CLASSES[statement.arrival.class].work.mul_f64(factor / self.share());
        self.clock.sleep(work).await;
        self.answer(row(statement.arrival.id.as_bytes()))
    }

    fn answer(&self, body: Vec<u8>) -> Vec<u8> {
        let role = if self.is_primary.get() { "primary" } else { "standby" };
        let position = self.clock.unix_ms().to_string();
        let status =
            [parameter_status("replication_role", role), parameter_status("log_position", &position)];
        [body, status.concat(), ready_for_query()].concat()
    }
}

/// Counts a request as waiting until it is executed or dropped.
struct WaitingRequest<'a>(&'a Cell<usize>);

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option");
    socket.bind(address).expect("a free port");
    socket.listen(1024).expect("it listens")
}
