//! The database hosts that discovery lists, and the pool of idle connections to them. New connections are made here, and
//! descriptors are freed for them: idle clients and idle connections are closed in a fixed order.

pub use crate::host::connection::Endpoint;
use crate::host::connection::HostConnection;
use crate::os::clock::Clock;
use crate::os::socket::{self, SocketError};
use crate::postgres;
use crate::postgres::read_buffer::ReadBuffer;
use crate::resources::budget::{Budget, Idleness};
use crate::resources::counters::{Counters, Gauge};
use crate::{MemberId, Time};
use petrelgauge_lifecycle::connect_timeout::ConnectTimeout;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::idle_connection::{IdleConnection, IdlePolicy};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// While clients are too many, but descriptors are left: how long a client must have been idle to be closed
/// (microseconds). Its next query may be on its way.
const EXCESS_CLIENT_IDLE: Time = 100_000;
/// When no descriptor is left: the same for a client that has asked for nothing yet (microseconds).
const NEW_CLIENT_IDLE: Time = 20_000;
/// When no descriptor is left: the same for a client that has been answered (microseconds). It is likely to ask again, so
/// that connections to hosts are closed before one that was answered later.
const ANSWERED_CLIENT_IDLE: Time = 1_000_000;
/// How often a connect is attempted while this machine lacks what it takes (count). Together the pauses are far shorter
/// than the span that a connection is given to come up.
const CONNECT_ATTEMPTS: u32 = 3;

/// An idle connection.
struct PooledConnection {
    idle_since: Time,
    connection: HostConnection,
}

impl PooledConnection {
    fn idle(&self) -> IdleConnection {
        self.connection.idle(self.idle_since)
    }
}

struct Host {
    endpoint: Endpoint,
    /// The one that became idle last stands last.
    idle: Vec<PooledConnection>,
    /// Connects in a row that timed out.
    connect_timeouts: u32,
}

/// All database hosts that discovery lists.
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
    /// No hosts yet. A connection must come up within `connect_span`; hosts close idle ones after `idle_span` (both
    /// microseconds).
    pub fn new(
        clock: Clock,
        budget: Rc<Budget>,
        counters: Rc<Counters>,
        read_buffer: Rc<ReadBuffer>,
        connect_span: Time,
        idle_span: Time,
    ) -> Rc<HostPool> {
        Rc::new(HostPool {
            hosts: RefCell::new(BTreeMap::new()),
            clock,
            budget,
            counters,
            read_buffer,
            connect_timeout: Cell::new(ConnectTimeout::new(connect_span)),
            idle_policy: Cell::new(IdlePolicy::for_hosts(idle_span)),
            open_attempts: Gauge::default(),
        })
    }

    /// New settings: a connection must come up within `connect_span`; hosts close idle ones after `idle_span`.
    pub fn reconfigure(&self, connect_span: Time, idle_span: Time) {
        self.connect_timeout.set(self.connect_timeout.get().with_limit(connect_span));
        self.idle_policy.set(IdlePolicy::for_hosts(idle_span));
    }

    /// Discovery lists a host at this endpoint. Idle connections to an earlier one are closed.
    pub fn set_endpoint(&self, id: MemberId, endpoint: Endpoint) {
        let mut hosts = self.hosts.borrow_mut();
        let host =
            hosts.entry(id).or_insert_with(|| Host { endpoint, idle: Vec::new(), connect_timeouts: 0 });
        if host.endpoint != endpoint {
            (host.endpoint, host.connect_timeouts) = (endpoint, 0);
            host.idle.drain(..).for_each(|_| self.counters.ended(End::Retired));
        }
    }

    /// Discovery no longer lists this host. Attempts that are open keep their connections.
    pub fn remove(&self, id: MemberId) {
        let removed = self.hosts.borrow_mut().remove(&id);
        removed.into_iter().flat_map(|host| host.idle).for_each(|_| self.counters.ended(End::Retired));
    }

    /// Discovery no longer lists any but these.
    pub fn retain_listed(&self, is_listed: &dyn Fn(MemberId) -> bool) {
        let ids: Vec<MemberId> = self.hosts.borrow().keys().copied().collect();
        ids.into_iter().filter(|id| !is_listed(*id)).for_each(|id| self.remove(id));
    }

    /// How many hosts discovery lists.
    pub fn listed_count(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// How many attempts are open.
    pub fn open_attempts(&self) -> usize {
        self.open_attempts.get()
    }

    /// Closes idle connections that are too old or that their host has closed.
    pub fn sweep(&self) {
        let now = self.clock.now();
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|pooled| {
                let socket_state = pooled.connection.socket_state();
                let end = self.idle_policy.get().expire(now, pooled.idle(), socket_state);
                end.into_iter().for_each(|end| self.counters.ended(end));
                end.is_none()
            });
        }
    }

    /// Closes idle clients while there are too many. Clients keep their connections, also those that never ask again,
    /// and with their share of the descriptors full of these nobody else gets through.
    pub fn shed_excess_clients(&self) {
        let now = self.clock.now();
        let shed = |why, span| self.budget.shed_client(why, now - span);
        for _ in 0..self.budget.excess_clients() {
            let closed = shed(Idleness::CutOff, EXCESS_CLIENT_IDLE)
                || shed(Idleness::New, EXCESS_CLIENT_IDLE)
                || shed(Idleness::Answered, EXCESS_CLIENT_IDLE);
            if !closed {
                return;
            }
            self.counters.descriptors_freed.add();
        }
    }

    /// Closes an idle connection if no descriptor is left for a further one: clients that ask for nothing first. False if
    /// there is none to close.
    pub fn ensure_descriptor(&self) -> bool {
        let (budget, now) = (&self.budget, self.clock.now());
        let shed = |why, span| budget.shed_client(why, now - span);
        if !budget.is_exhausted() {
            return true;
        }
        let closed = shed(Idleness::CutOff, 0)
            || shed(Idleness::New, NEW_CLIENT_IDLE)
            || shed(Idleness::Answered, ANSWERED_CLIENT_IDLE)
            || self.close_longest_idle()
            || shed(Idleness::Answered, 0)
            || shed(Idleness::New, 0);
        if closed {
            self.counters.descriptors_freed.add();
        }
        closed
    }

    /// Closes the connection to a host that has been idle for longest. False if there is none.
    fn close_longest_idle(&self) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let with_idle = hosts.values_mut().filter(|host| !host.idle.is_empty());
        let Some(host) = with_idle.min_by_key(|host| host.idle[0].idle_since) else { return false };
        host.idle.remove(0);
        self.counters.ended(End::Retired);
        true
    }

    /// Takes an idle connection that may carry a request, if there is one.
    pub(super) fn take_idle(&self, id: MemberId) -> Option<HostConnection> {
        let now = self.clock.now();
        let mut hosts = self.hosts.borrow_mut();
        let idle = &mut hosts.get_mut(&id)?.idle;
        loop {
            let chosen = self.idle_policy.get().choose(now, idle.iter().map(PooledConnection::idle))?;
            let mut pooled = idle.remove(chosen);
            let socket_state = pooled.connection.socket_state();
            match self.idle_policy.get().may_use(now, pooled.idle(), socket_state) {
                Ok(recent) => {
                    pooled.connection.last_answer_is_recent = recent;
                    return Some(pooled.connection);
                }
                Err(end) => self.counters.ended(end),
            }
        }
    }

    /// Whether a host is still at the endpoint that a connection to it has, and takes new requests.
    pub(super) fn accepts(&self, id: MemberId, endpoint: Endpoint) -> bool {
        endpoint.up && self.hosts.borrow().get(&id).is_some_and(|host| host.endpoint == endpoint)
    }

    /// Keeps a connection idle, unless its host moved, started again, is draining or is no longer listed.
    pub(super) fn put_back(&self, id: MemberId, connection: HostConnection) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&id).filter(|host| host.endpoint == connection.endpoint && host.endpoint.up);
        match (self.idle_policy.get().may_keep(host.is_some()), host) {
            (Ok(()), Some(host)) => {
                host.idle.push(PooledConnection { idle_since: self.clock.now(), connection });
            }
            (end, _) => self.counters.ended(end.err().unwrap_or(End::Retired)),
        }
    }

    /// The span that a new connection to this host is given to come up.
    pub(super) fn connect_timeout(&self, id: MemberId) -> Time {
        let timeouts = self.hosts.borrow().get(&id).map_or(0, |host| host.connect_timeouts);
        self.connect_timeout.get().timeout(timeouts)
    }

    /// A new connection to this host came up, greeting included, in this span.
    pub(super) fn record_connected(&self, id: MemberId, took: Time) {
        let mut timeout = self.connect_timeout.get();
        timeout.record_connected(took);
        self.connect_timeout.set(timeout);
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.connect_timeouts = 0;
        }
    }

    /// A new connection to this host did not come up in time: the next is given longer.
    pub(super) fn record_connect_timeout(&self, id: MemberId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.connect_timeouts = host.connect_timeouts.saturating_add(1);
        }
    }

    /// Connects to a host and sends the startup message. A call that is cancelled leaves nothing behind.
    ///
    /// # Errors
    ///
    /// [`Event::NotConnected`] if nothing went to the host, [`Event::Refused`] if it did not take the connection.
    pub(super) async fn connect(&self, id: MemberId) -> Result<HostConnection, Event> {
        let endpoint = self.hosts.borrow().get(&id).map(|host| host.endpoint).filter(|endpoint| endpoint.up);
        let endpoint = endpoint.ok_or(Event::NotConnected(End::NoAddress))?;
        if !self.ensure_descriptor() {
            return Err(Event::NotConnected(End::NoDescriptor));
        }
        let slot = self.budget.acquire_host_slot();
        self.counters.host_connects.add();
        let connected =
            socket::through_shortages(CONNECT_ATTEMPTS, || socket::connect(endpoint.address)).await;
        let stream = connected.map_err(|error| after_failed_connect(&error))?;
        let _ = stream.set_nodelay(true);
        let connection = HostConnection::new(stream, endpoint, slot);
        let mut startup = Vec::new();
        postgres::put_startup(&mut startup);
        // A failure shows when the greeting is read.
        let _ = socket::write_all(&connection.stream, &mut &startup[..]).await;
        Ok(connection)
    }
}

/// What a failed connect means for its attempt. Only what the host did may count against the host.
pub fn after_failed_connect(error: &SocketError) -> Event {
    match error {
        SocketError::Unreachable(_) | SocketError::Broken(_) => Event::Refused,
        SocketError::OwnShortage(_) | SocketError::Interrupted | SocketError::WouldBlock => {
            Event::NotConnected(End::NoDescriptor)
        }
    }
}
