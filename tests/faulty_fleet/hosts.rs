//! Emulated database hosts. A host executes a bounded number of requests at a time, more slowly during its
//! slow start, and records every request that reaches it.

use super::classes::{class_index, mean_execution_time, CLASSES, ORDER};
use super::orders::{is_slow_statement, SLOW_EXECUTION_TIME};
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

/// Requests that a host executes concurrently.
pub const SLOTS: usize = 4;
/// Bound on the requests that wait for a slot or are executed; a host rejects further ones.
const QUEUE_CAPACITY: usize = 200;

/// How a host reacts to connections and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It answers requests.
    Up,
    /// It accepts connections and requests, but does not answer.
    Silent,
    /// It refuses connections.
    Down,
}

#[derive(Clone, Copy, PartialEq)]
struct State {
    mode: Mode,
    /// Number of restarts; connections made before the last one are reset.
    start: u64,
}

/// A request that reached a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the host read it.
    pub at: Time,
    /// The id that its client assigned.
    pub id: String,
    pub class: usize,
    /// The remaining wait that the gateway stated in the request (milliseconds).
    pub wait_ms: u64,
    pub key: Option<String>,
}

/// A restart of a host.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub at: Time,
    /// When all gateways count as notified of it; `None` until the list names it.
    pub notified_at: Option<Time>,
}

/// An emulated host.
pub struct Host {
    plan: Plan,
    clock: Clock,
    /// Index in the fleet.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    slots: Semaphore,
    pending: Cell<usize>,
    pub is_primary: Cell<bool>,
    /// All requests that reached it, in order of time.
    pub arrivals: RefCell<Vec<Arrival>>,
    /// The ids of all orders that were executed, in order of time.
    pub executed_orders: RefCell<Vec<String>>,
    /// All restarts since the fleet's start, in order of time.
    pub starts: RefCell<Vec<Start>>,
    /// Time of the last restart by the hosts' wall clock (Unix milliseconds); 0 if there was none.
    pub started_ms: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
}

struct Statement {
    arrival: Arrival,
    is_write: bool,
}

impl Host {
    /// Starts a warm host on a free port of this address. Host 0 is the primary.
    pub fn start(plan: Plan, number: usize, ip: Ipv4Addr, clock: Clock) -> Rc<Host> {
        let listener = bind(SocketAddr::from((ip, 0)));
        let address = listener.local_addr().expect("the listener has an address");
        let host = Rc::new(Host {
            plan,
            clock,
            number,
            address,
            state: watch::Sender::new(State { mode: Mode::Up, start: 0 }),
            slots: Semaphore::new(SLOTS),
            pending: Cell::new(0),
            is_primary: Cell::new(number == 0),
            arrivals: RefCell::default(),
            executed_orders: RefCell::default(),
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

    /// Restarts the host: its connections are reset, its requests are lost, and a slow start begins.
    pub fn restart(&self) {
        self.starts.borrow_mut().push(Start { at: self.clock.now(), notified_at: None });
        self.started_ms.set(self.clock.unix_ms());
        self.state.send_modify(|state| *state = State { mode: Mode::Up, start: state.start + 1 });
    }

    /// Capacity of a warm host, in requests of mean execution time per second.
    pub fn capacity(plan: &Plan) -> f64 {
        SLOTS as f64 / mean_execution_time(plan).as_secs_f64()
    }

    /// The current share of its full capacity: below 1 during a slow start.
    fn capacity_share(&self) -> f64 {
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
        let is_connection_lost = |state: &State| state.start != start || state.mode == Mode::Down;
        let was_reset = tokio::select! {
            biased;
            _ = state.wait_for(is_connection_lost) => true,
            _ = self.answer_all(&mut stream) => false,
        };
        if was_reset {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    async fn answer_all(&self, stream: &mut TcpStream) -> Option<()> {
        let mut connection = HostConnection::new(stream);
        connection.startup().await?;
        self.wait_while_silent().await;
        connection.write(&[message(b'R', &[0; 4]), ready_for_query()].concat()).await?;
        loop {
            let statement = self.record(&connection.next_query().await?)?;
            let answer = self.execute(&statement).await;
            self.wait_while_silent().await;
            connection.write(&answer).await?;
        }
    }

    /// Waits while the host is silent.
    async fn wait_while_silent(&self) {
        let _ = self.state.subscribe().wait_for(|state| state.mode != Mode::Silent).await;
    }

    /// Records the arrival of a statement; `None` if its comment is not valid.
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

    async fn execute(&self, statement: &Statement) -> Vec<u8> {
        if statement.is_write && !self.is_primary.get() {
            return self.answer(error("25006"));
        }
        if self.pending.get() >= QUEUE_CAPACITY {
            return self.answer(error("53300"));
        }
        self.pending.set(self.pending.get() + 1);
        let _pending = PendingRequest(&self.pending);
        let _slot = self.slots.acquire().await;
        // Execution times vary uniformly from 0.5 to 1.5 times the mean.
        let factor = 0.5 + uniform(&mut self.rng.borrow_mut());
        let execution_time =
            CLASSES[statement.arrival.class].execution_time.mul_f64(factor / self.capacity_share());
        let is_slow = is_slow_statement(&statement.arrival.id);
        self.clock.sleep(if is_slow { SLOW_EXECUTION_TIME } else { execution_time }).await;
        if statement.arrival.class == ORDER {
            return self.answer(self.execute_order(&statement.arrival.id));
        }
        self.answer(row(statement.arrival.id.as_bytes()))
    }

    /// Executes an order. The first answer to it is an error that leaves open whether it has run.
    fn execute_order(&self, id: &str) -> Vec<u8> {
        let mut executed = self.executed_orders.borrow_mut();
        let is_first = !executed.iter().any(|executed| executed == id);
        executed.push(id.to_string());
        if is_first {
            error("XX000")
        } else {
            row(id.as_bytes())
        }
    }

    fn answer(&self, body: Vec<u8>) -> Vec<u8> {
        let role = if self.is_primary.get() { "primary" } else { "standby" };
        let position = self.clock.unix_ms().to_string();
        let status =
            [parameter_status("replication_role", role), parameter_status("log_position", &position)];
        [body, status.concat(), ready_for_query()].concat()
    }
}

/// Takes a request out of the count of pending ones when it has been executed or dropped.
struct PendingRequest<'a>(&'a Cell<usize>);

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket is created");
    socket.set_reuseaddr(true).expect("SO_REUSEADDR is set");
    socket.bind(address).expect("the address is free");
    socket.listen(1024).expect("the socket listens")
}
