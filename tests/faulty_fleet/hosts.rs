//! Emulated database hosts. A host works on so many requests at a time, slower while it is cold, and records what reaches it.

use super::classes::{by_name, CLASSES};
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

/// Requests that a host works on at a time.
pub const SLOTS: usize = 4;
/// Requests that may wait at a host for a slot; it rejects more.
const QUEUE: usize = 200;

/// Whether a host takes part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Up,
    /// It takes connections and requests, and answers nothing.
    Silent,
    /// It refuses connections.
    Down,
}

#[derive(Clone, Copy, PartialEq)]
struct State {
    mode: Mode,
    /// Counts its starts: what it had before is reset.
    start: u64,
}

/// A request that reached a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Time,
    pub id: String,
    pub class: usize,
    /// The time that the gateway said it would wait (milliseconds).
    pub wait_ms: u64,
    pub key: Option<String>,
}

/// A start of a host.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub at: Time,
    /// When all gateways counted as notified of it.
    pub notified_at: Option<Time>,
}

pub struct Host {
    plan: Plan,
    clock: Clock,
    pub number: usize,
    pub address: SocketAddr,
    state: watch::Sender<State>,
    slots: Semaphore,
    waiting: Cell<usize>,
    pub is_primary: Cell<bool>,
    pub arrivals: RefCell<Vec<Arrival>>,
    pub starts: RefCell<Vec<Start>>,
    /// Unix time of its last start (milliseconds), 0 for long ago.
    pub started_ms: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
}

struct Statement {
    arrival: Arrival,
    is_write: bool,
}

impl Host {
    /// Starts host `number`, warm. The first one is the primary.
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

    pub fn mode(&self) -> Mode {
        self.state.borrow().mode
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Starts anew: connections are reset, what it had is lost, it is cold.
    pub fn restart(&self) {
        self.starts.borrow_mut().push(Start { at: self.clock.now(), notified_at: None });
        self.started_ms.set(self.clock.unix_ms());
        self.state.send_modify(|state| *state = State { mode: Mode::Up, start: state.start + 1 });
    }

    /// What it does at a time when warm, in requests of mean work a second.
    pub fn capacity(plan: &Plan) -> f64 {
        SLOTS as f64 / super::classes::mean_work(plan).as_secs_f64()
    }

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

    /// Serves a connection until it ends, or until the host is down or starts anew, which resets it.
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
        self.until_it_answers().await;
        connection.write(&[message(b'R', &[0; 4]), ready_for_query()].concat()).await?;
        loop {
            let statement = self.record(&connection.next_query().await?)?;
            let answer = self.work(&statement).await;
            self.until_it_answers().await;
            connection.write(&answer).await?;
        }
    }

    async fn until_it_answers(&self) {
        let _ = self.state.subscribe().wait_for(|state| state.mode != Mode::Silent).await;
    }

    fn record(&self, text: &str) -> Option<Statement> {
        let comment = text.split_once("/* ")?.1.split_once(" */")?.0;
        let fields: BTreeMap<&str, &str> =
            comment.split(',').filter_map(|pair| pair.split_once('=')).collect();
        let arrival = Arrival {
            at: self.clock.now(),
            id: fields.get("id")?.to_string(),
            class: by_name(fields.get("c")?)?,
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
        let _waiting = Leave(&self.waiting);
        let _slot = self.slots.acquire().await;
        // No two pieces of work are alike: half to one and a half of the mean.
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

/// Takes a request out of the count when its work ends, in whatever way.
struct Leave<'a>(&'a Cell<usize>);

impl Drop for Leave<'_> {
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
