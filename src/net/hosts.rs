//! Connections to database hosts: where they are, and the pool of those that rest.

use crate::net::budget::{Budget, Idleness};
use crate::net::clock::Clock;
use crate::net::counters::{Counters, Gauge};
use crate::net::host_connection::Connection;
pub use crate::net::host_connection::Endpoint;
use crate::net::pg::{self, Framer};
use crate::net::read_buffer::ReadBuffer;
use crate::net::socket::{self, SocketError};
use crate::{MemberId, Time};
use petrelgauge_lifecycle::connect_timeout::ConnectTimeout;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::idle_connection::IdlePolicy;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Spans after which an idle client can be spared, while there is room, and when there is none: if it has asked
/// for nothing, and if it was answered (microseconds).
const QUIET: Time = 100_000;
const SLOW: Time = 20_000;
const UNUSED: Time = 1_000_000;
/// Times that a connection is tried while this machine lacks what it takes (count). Together the pauses are far shorter
/// than the span that a connection is given to come up.
const CONNECT_ATTEMPTS: u32 = 3;

struct Host {
    endpoint: Endpoint,
    /// Idle connections with the time they were left, the latest last.
    idle: Vec<(Time, Connection)>,
    /// Connections in a row that did not come up.
    missed: u32,
}

/// All database hosts that discovery named.
pub struct Hosts {
    hosts: RefCell<BTreeMap<MemberId, Host>>,
    pub(super) clock: Clock,
    pub(super) budget: Rc<Budget>,
    pub(super) counters: Rc<Counters>,
    pub(super) read_buffer: Rc<ReadBuffer>,
    connect_timeout: Cell<ConnectTimeout>,
    idle_policy: Cell<IdlePolicy>,
    pub(super) open_attempts: Gauge,
}

impl Hosts {
    /// No hosts yet. A connection must come up within `connect_span`; hosts close idle ones after
    /// `idle_span`.
    pub fn new(
        clock: Clock,
        budget: Rc<Budget>,
        counters: Rc<Counters>,
        read_buffer: Rc<ReadBuffer>,
        connect_span: Time,
        idle_span: Time,
    ) -> Rc<Hosts> {
        Rc::new(Hosts {
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

    /// Discovery told where a host is.
    pub fn set_endpoint(&self, id: MemberId, endpoint: Endpoint) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(id).or_insert_with(|| Host { endpoint, idle: Vec::new(), missed: 0 });
        if host.endpoint != endpoint {
            (host.endpoint, host.missed) = (endpoint, 0);
            host.idle.drain(..).for_each(|_| self.counters.ended(End::Retired));
        }
    }

    /// Discovery no longer names this host. What is out there goes on, on the connections it has.
    pub fn remove(&self, id: MemberId) {
        let gone = self.hosts.borrow_mut().remove(&id);
        gone.into_iter().flat_map(|host| host.idle).for_each(|_| self.counters.ended(End::Retired));
    }

    /// Discovery no longer names any but these.
    pub fn retain_listed(&self, named: &dyn Fn(MemberId) -> bool) {
        let ids: Vec<MemberId> = self.hosts.borrow().keys().copied().collect();
        ids.into_iter().filter(|id| !named(*id)).for_each(|id| self.remove(id));
    }

    /// Hosts that discovery names.
    pub fn listed_count(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// Attempts that are out.
    pub fn open_attempts(&self) -> usize {
        self.open_attempts.get()
    }

    /// Closes idle connections that are too old or that their host has closed.
    pub fn sweep(&self) {
        let now = self.clock.now();
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|(since, connection)| {
                let end =
                    self.idle_policy.get().expire(now, connection.resting(*since), connection.socket_state());
                end.into_iter().for_each(|end| self.counters.ended(end));
                end.is_none()
            });
        }
    }

    /// Closes clients that can be spared while there are too many. Clients keep what they have once asked with,
    /// also the ones that never ask again, and with their share full of those nobody else gets through.
    pub fn shed_excess_clients(&self) {
        let now = self.clock.now();
        let shed = |why, span| self.budget.shed_client(why, now - span);
        for _ in 0..self.budget.excess_clients() {
            if !shed(Idleness::CutOff, QUIET)
                && !shed(Idleness::New, QUIET)
                && !shed(Idleness::Answered, QUIET)
            {
                return;
            }
            self.counters.sheds.add();
        }
    }

    /// Closes a connection that can be spared if a further one would be too many, clients that say nothing
    /// first. False if nothing could be spared.
    pub fn ensure_descriptor(&self) -> bool {
        let (budget, now) = (&self.budget, self.clock.now());
        let shed = |why, span| budget.shed_client(why, now - span);
        if !budget.is_exhausted() {
            return true;
        }
        let made = shed(Idleness::CutOff, 0)
            || shed(Idleness::New, SLOW)
            || shed(Idleness::Answered, UNUSED)
            || self.shed()
            || shed(Idleness::Answered, 0)
            || shed(Idleness::New, 0);
        if made {
            self.counters.sheds.add();
        }
        made
    }

    /// Closes the connection that is idle for longest. False if there is none.
    fn shed(&self) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let with_idle = hosts.values_mut().filter(|host| !host.idle.is_empty());
        let Some(host) = with_idle.min_by_key(|host| host.idle[0].0) else { return false };
        host.idle.remove(0);
        self.counters.ended(End::Retired);
        true
    }

    /// A connection that rested and may carry a request.
    pub(super) fn take_idle(&self, id: MemberId) -> Option<Connection> {
        let now = self.clock.now();
        let mut hosts = self.hosts.borrow_mut();
        let idle = &mut hosts.get_mut(&id)?.idle;
        loop {
            let place =
                self.idle_policy.get().choose(now, idle.iter().map(|(since, one)| one.resting(*since)))?;
            let (since, mut connection) = idle.remove(place);
            match self.idle_policy.get().may_use(now, connection.resting(since), connection.socket_state()) {
                Ok(recent) => {
                    connection.recent = recent;
                    return Some(connection);
                }
                Err(end) => self.counters.ended(end),
            }
        }
    }

    /// Whether a host is still where a connection to it leads, and takes new work.
    pub(super) fn accepts(&self, id: MemberId, endpoint: Endpoint) -> bool {
        endpoint.up && self.hosts.borrow().get(&id).is_some_and(|host| host.endpoint == endpoint)
    }

    pub(super) fn put_back(&self, id: MemberId, connection: Connection) {
        let mut hosts = self.hosts.borrow_mut();
        let home = hosts.get_mut(&id).filter(|host| host.endpoint == connection.endpoint && host.endpoint.up);
        match (self.idle_policy.get().may_keep(home.is_some()), home) {
            (Ok(()), Some(host)) => host.idle.push((self.clock.now(), connection)),
            (end, _) => self.counters.ended(end.err().unwrap_or(End::Retired)),
        }
    }

    /// The span that a new connection to this host is given to come up.
    pub(super) fn connect_timeout(&self, id: MemberId) -> Time {
        let missed = self.hosts.borrow().get(&id).map_or(0, |host| host.missed);
        self.connect_timeout.get().timeout(missed)
    }

    pub(super) fn came_up(&self, id: MemberId, took: Time) {
        let mut timeout = self.connect_timeout.get();
        timeout.record_connected(took);
        self.connect_timeout.set(timeout);
        self.count_missed(id, |_| 0);
    }

    pub(super) fn count_missed(&self, id: MemberId, count: impl Fn(u32) -> u32) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.missed = count(host.missed);
        }
    }

    pub(super) async fn connect(&self, id: MemberId) -> Result<Connection, Event> {
        let endpoint = self.hosts.borrow().get(&id).map(|host| host.endpoint).filter(|endpoint| endpoint.up);
        let endpoint = endpoint.ok_or(Event::NotTried(End::NoAddress))?;
        if !self.ensure_descriptor() {
            return Err(Event::NotTried(End::NoDescriptor));
        }
        let slot = self.budget.acquire_host_slot();
        self.counters.host_connects.add();
        let connected =
            socket::through_shortages(CONNECT_ATTEMPTS, || socket::connect(endpoint.address)).await;
        let stream = connected.map_err(|error| after_failed_connect(&error))?;
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            stream,
            framer: Framer::default(),
            endpoint,
            last: None,
            recent: false,
            _slot: slot,
        };
        let mut startup = Vec::new();
        pg::put_startup(&mut startup);
        // It is up; that the host is gone again shows with the greeting.
        let _ = socket::write_all(&connection.stream, &mut &startup[..]).await;
        Ok(connection)
    }
}

/// What a connect that failed means for its attempt. Only what the host did may count against it.
pub fn after_failed_connect(error: &SocketError) -> Event {
    match error {
        SocketError::Unreachable(_) | SocketError::Broken(_) => Event::Refused,
        SocketError::OwnShortage(_) | SocketError::Interrupted | SocketError::WouldBlock => {
            Event::NotTried(End::NoDescriptor)
        }
    }
}
