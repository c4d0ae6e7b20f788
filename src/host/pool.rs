//! The pool of connections to the database hosts that discovery lists.

pub use crate::host::connection::Endpoint;
use crate::host::connection::HostConnection;
use crate::os::clock::Clock;
use crate::os::socket::{self, SocketError};
use crate::postgres;
use crate::postgres::read_buffer::ReadBuffer;
use crate::resources::budget::Budget;
use crate::resources::counters::{Counters, Gauge};
use crate::{MemberId, Time};
use petrelgauge_lifecycle::connect_timeout::ConnectTimeout;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::idle_connection::{IdleConnection, IdlePolicy};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of connect calls while they fail for lack of local resources. The pauses between them are
/// much shorter than a connect timeout.
const CONNECT_ATTEMPTS: u32 = 3;

/// An idle connection in the pool.
struct PooledConnection {
    idle_since: Time,
    connection: HostConnection,
}

impl PooledConnection {
    /// The properties that the idle policy decides on.
    fn idle(&self) -> IdleConnection {
        IdleConnection {
            since: self.idle_since,
            detects_duplicates: self.connection.last_answer_hash.is_some(),
        }
    }
}

struct Host {
    endpoint: Endpoint,
    /// Idle connections, the longest idle first.
    idle: Vec<PooledConnection>,
    consecutive_connect_timeouts: u32,
}

/// Options of a [`HostPool`].
pub struct HostPoolOptions {
    /// The clock.
    pub clock: Clock,
    /// Limits on descriptors and memory.
    pub budget: Rc<Budget>,
    /// Event counters.
    pub counters: Rc<Counters>,
    /// The buffer that all connections read into.
    pub read_buffer: Rc<ReadBuffer>,
    /// Maximum time for establishing a connection (microseconds).
    pub connect_timeout: Time,
    /// Time after which hosts close idle connections (microseconds).
    pub host_idle_timeout: Time,
}

/// The database hosts that discovery lists, and the idle connections to them.
pub struct HostPool {
    hosts: RefCell<BTreeMap<MemberId, Host>>,
    pub(super) clock: Clock,
    pub(super) budget: Rc<Budget>,
    pub(super) counters: Rc<Counters>,
    pub(super) read_buffer: Rc<ReadBuffer>,
    connect_timeout: Cell<ConnectTimeout>,
    idle_policy: Cell<IdlePolicy>,
    pub(super) open_attempts: Gauge,
}

impl HostPool {
    /// Creates a pool without hosts.
    pub fn new(options: HostPoolOptions) -> Rc<HostPool> {
        Rc::new(HostPool {
            hosts: RefCell::new(BTreeMap::new()),
            clock: options.clock,
            budget: options.budget,
            counters: options.counters,
            read_buffer: options.read_buffer,
            connect_timeout: Cell::new(ConnectTimeout::new(options.connect_timeout)),
            idle_policy: Cell::new(IdlePolicy::for_hosts(options.host_idle_timeout)),
            open_attempts: Gauge::default(),
        })
    }

    /// Applies new settings; see [`HostPoolOptions`].
    pub fn reconfigure(&self, connect_timeout: Time, host_idle_timeout: Time) {
        self.connect_timeout.set(self.connect_timeout.get().with_limit(connect_timeout));
        self.idle_policy.set(IdlePolicy::for_hosts(host_idle_timeout));
    }

    /// Adds a host or changes its endpoint. Idle connections to an earlier endpoint are closed.
    pub fn set_endpoint(&self, id: MemberId, endpoint: Endpoint) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(id).or_insert_with(|| Host {
            endpoint,
            idle: Vec::new(),
            consecutive_connect_timeouts: 0,
        });
        if host.endpoint != endpoint {
            host.endpoint = endpoint;
            host.consecutive_connect_timeouts = 0;
            host.idle.drain(..).for_each(|_| self.counters.ended(End::Retired));
        }
    }

    /// Removes a host that discovery no longer lists. Attempts in flight keep their connections.
    pub fn remove(&self, id: MemberId) {
        let removed = self.hosts.borrow_mut().remove(&id);
        removed.into_iter().flat_map(|host| host.idle).for_each(|_| self.counters.ended(End::Retired));
    }

    /// Removes all hosts that discovery no longer lists.
    pub fn retain_listed(&self, is_listed: &dyn Fn(MemberId) -> bool) {
        let ids: Vec<MemberId> = self.hosts.borrow().keys().copied().collect();
        ids.into_iter().filter(|id| !is_listed(*id)).for_each(|id| self.remove(id));
    }

    /// Number of hosts that discovery lists.
    pub fn listed_count(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// Number of attempts in flight.
    pub fn open_attempts(&self) -> usize {
        self.open_attempts.get()
    }

    /// Closes idle connections that have expired or that their host has closed.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|pooled| {
                let socket_state = pooled.connection.socket_state();
                let end = self.idle_policy.get().reason_to_close(now, pooled.idle(), socket_state);
                end.into_iter().for_each(|end| self.counters.ended(end));
                end.is_none()
            });
        }
    }

    /// Closes the connection that has been idle the longest. Returns whether there was one.
    pub(super) fn close_longest_idle(&self) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let with_idle = hosts.values_mut().filter(|host| !host.idle.is_empty());
        let Some(host) = with_idle.min_by_key(|host| host.idle[0].idle_since) else { return false };
        host.idle.remove(0);
        self.counters.ended(End::Retired);
        true
    }

    /// Takes an idle connection that may be used for a request, if there is one. Closes unusable connections
    /// that it encounters.
    pub(super) fn take_idle(&self, id: MemberId) -> Option<HostConnection> {
        let now = self.clock.now();
        let mut hosts = self.hosts.borrow_mut();
        let idle = &mut hosts.get_mut(&id)?.idle;
        loop {
            let chosen = self.idle_policy.get().choose(now, idle.iter().map(PooledConnection::idle))?;
            let mut pooled = idle.remove(chosen);
            let socket_state = pooled.connection.socket_state();
            match self.idle_policy.get().may_use(now, pooled.idle(), socket_state) {
                Ok(is_recent) => {
                    pooled.connection.is_last_answer_recent = is_recent;
                    return Some(pooled.connection);
                }
                Err(end) => self.counters.ended(end),
            }
        }
    }

    /// Whether a host is still at this endpoint and accepts new requests.
    pub(super) fn accepts_requests(&self, id: MemberId, endpoint: Endpoint) -> bool {
        endpoint.is_up && self.hosts.borrow().get(&id).is_some_and(|host| host.endpoint == endpoint)
    }

    /// Returns a connection to the pool. Closes it if its host has moved, has restarted, is draining or is no
    /// longer listed.
    pub(super) fn return_connection(&self, id: MemberId, connection: HostConnection) {
        let mut hosts = self.hosts.borrow_mut();
        let host =
            hosts.get_mut(&id).filter(|host| host.endpoint == connection.endpoint && host.endpoint.is_up);
        match (self.idle_policy.get().may_keep(host.is_some()), host) {
            (Ok(()), Some(host)) => {
                host.idle.push(PooledConnection { idle_since: self.clock.now(), connection });
            }
            (end, _) => self.counters.ended(end.err().unwrap_or(End::Retired)),
        }
    }

    /// The time within which a new connection to this host must be established (microseconds).
    pub(super) fn connect_timeout(&self, id: MemberId) -> Time {
        let failures = self.hosts.borrow().get(&id).map_or(0, |host| host.consecutive_connect_timeouts);
        self.connect_timeout.get().timeout(failures)
    }

    /// Records that a new connection to this host was established, greeting included, after `elapsed`
    /// microseconds.
    pub(super) fn record_connected(&self, id: MemberId, elapsed: Time) {
        let mut timeout = self.connect_timeout.get();
        timeout.record_connected(elapsed);
        self.connect_timeout.set(timeout);
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.consecutive_connect_timeouts = 0;
        }
    }

    /// Records that a new connection to this host timed out. The next one gets a longer timeout.
    pub(super) fn record_connect_timeout(&self, id: MemberId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.consecutive_connect_timeouts = host.consecutive_connect_timeouts.saturating_add(1);
        }
    }

    /// Connects to a host and sends the startup message. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// [`Event::NotConnected`] if the host is not responsible for the failure, [`Event::Refused`] if it is.
    pub(super) async fn connect(&self, id: MemberId) -> Result<HostConnection, Event> {
        let endpoint =
            self.hosts.borrow().get(&id).map(|host| host.endpoint).filter(|endpoint| endpoint.is_up);
        let endpoint = endpoint.ok_or(Event::NotConnected(End::NoAddress))?;
        if !self.ensure_descriptor() {
            return Err(Event::NotConnected(End::NoDescriptor));
        }
        let slot = self.budget.acquire_host_slot();
        self.counters.host_connects.add();
        let connected =
            socket::retry_on_shortage(CONNECT_ATTEMPTS, || socket::connect(endpoint.address)).await;
        let stream = connected.map_err(|error| event_for_connect_error(&error))?;
        let _ = stream.set_nodelay(true);
        let connection = HostConnection::new(stream, endpoint, slot);
        let mut startup = Vec::new();
        postgres::put_startup(&mut startup);
        // The error is ignored: if this write fails, reading the greeting fails too.
        let _ = socket::write_all(&connection.stream, &mut &startup[..]).await;
        Ok(connection)
    }
}

/// The event for a failed connect. Only failures for which the host is responsible count against it.
pub fn event_for_connect_error(error: &SocketError) -> Event {
    match error {
        SocketError::Unreachable(_) | SocketError::Broken(_) => Event::Refused,
        SocketError::ResourceShortage(_) | SocketError::Interrupted | SocketError::WouldBlock => {
            Event::NotConnected(End::NoDescriptor)
        }
    }
}
