//! Connections to database hosts: the pool, and one attempt on one of them.

use crate::facade::{Attempt, Outcome};
use crate::net::budget::{Budget, Slot};
use crate::net::clock::Clock;
use crate::net::counters::{Counters, Gauge};
use crate::net::ending::End;
use crate::net::pg::{self, Answer, Framer, Gather, Message, Reply};
use crate::net::statement::Statement;
use crate::{settings, MemberId, Report, Role, Time};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Where a host listens and since when it runs. A connection to another address or an earlier run is of no
/// more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Site {
    /// Its address.
    pub address: SocketAddr,
    /// When it last started.
    pub started: Time,
    /// It takes new work.
    pub up: bool,
}

struct Host {
    site: Site,
    /// Idle connections with the time they were left, the latest last.
    idle: Vec<(Time, Connection)>,
}

struct Connection {
    stream: TcpStream,
    framer: Framer,
    site: Site,
    _slot: Slot,
}

/// All database hosts that discovery named.
pub struct Hosts {
    hosts: RefCell<BTreeMap<MemberId, Host>>,
    clock: Clock,
    budget: Rc<Budget>,
    counters: Rc<Counters>,
    connect_span: Time,
    /// An idle connection is closed after this span.
    keep: Time,
    out: Gauge,
}

impl Hosts {
    /// No hosts yet. A connection must come up within `connect_span`; hosts close idle ones after
    /// `idle_span`.
    pub fn new(
        clock: Clock,
        budget: Rc<Budget>,
        counters: Rc<Counters>,
        connect_span: Time,
        idle_span: Time,
    ) -> Rc<Hosts> {
        Rc::new(Hosts {
            hosts: RefCell::new(BTreeMap::new()),
            clock,
            budget,
            counters,
            connect_span,
            // Well before the host does it: a request that crosses its closing would end as a reset.
            keep: idle_span / 4 * 3,
            out: Gauge::default(),
        })
    }

    /// Discovery told where a host is.
    pub fn place(&self, id: MemberId, site: Site) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(id).or_insert_with(|| Host { site, idle: Vec::new() });
        if host.site != site {
            host.site = site;
            host.idle.drain(..).for_each(|_| self.counters.ended(End::Retired));
        }
    }

    /// Discovery no longer names any but these.
    pub fn keep_only(&self, named: &dyn Fn(MemberId) -> bool) {
        for (id, host) in self.hosts.borrow_mut().iter_mut() {
            if !named(*id) {
                host.site.up = false;
                host.idle.drain(..).for_each(|_| self.counters.ended(End::Retired));
            }
        }
    }

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.out.get()
    }

    /// Closes idle connections that are too old or that their host has closed.
    pub fn sweep(&self) {
        let oldest = self.clock.now() - self.keep;
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|(since, connection)| {
                let end = if *since < oldest { Some(End::Retired) } else { connection.spoilt() };
                end.into_iter().for_each(|end| self.counters.ended(end));
                end.is_none()
            });
        }
    }

    /// Closes the connection that is idle for longest. False if there is none.
    pub fn shed(&self) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let with_idle = hosts.values_mut().filter(|host| !host.idle.is_empty());
        let Some(host) = with_idle.min_by_key(|host| host.idle[0].0) else { return false };
        host.idle.remove(0);
        self.counters.sheds.add();
        self.counters.ended(End::Retired);
        true
    }

    /// Makes one attempt and reports it. Gives the row if it is the request's final answer.
    pub async fn attempt(
        self: Rc<Self>,
        mut attempt: Attempt,
        statement: Rc<Statement>,
    ) -> Option<Vec<Bytes>> {
        self.counters.attempts.add();
        let _out = self.out.enter();
        let written = Cell::new(false);
        let (host, until) = (attempt.host, attempt.until);
        let tried = tokio::select! {
            biased;
            tried = self.exchange(host, until, &statement, &written) => tried,
            () = attempt.called_off() => Err(End::CalledOff),
            () = self.clock.sleep_until(until) => {
                Err(if written.get() { End::NoAnswer } else { End::ConnectSilent })
            }
        };
        // By now an abandoned connection is closed: the exchange that held it is gone. Only then may the
        // outcome be told, or a second copy could go out beside the first.
        let (end, outcome, row) = match tried {
            Ok(reply) => judge(reply),
            Err(end) => (end, Outcome::silent(end.for_decisions()), None),
        };
        self.counters.ended(end);
        log::debug!("attempt at {host} ended: {end:?}");
        let owed = attempt.report(self.clock.now(), outcome);
        row.filter(|_| owed)
    }

    async fn exchange(
        &self,
        id: MemberId,
        until: Time,
        statement: &Statement,
        written: &Cell<bool>,
    ) -> Result<Reply, End> {
        let mut connection = match self.reuse(id) {
            Some(connection) => connection,
            None => {
                let up_by = until.min(self.clock.now() + self.connect_span);
                tokio::select! {
                    biased;
                    connection = self.connect(id) => match connection? {
                        Opened::Ready(connection) => connection,
                        Opened::TurnedAway(reply) => return Ok(reply),
                    },
                    () = self.clock.sleep_until(up_by) => return Err(End::ConnectSilent),
                }
            }
        };
        let left = until - self.clock.now();
        if left <= 0 {
            return Err(End::TooLate);
        }
        let mut query = statement.query((left / 1000).max(1) as u64);
        connection.stream.write_all_buf(&mut query).await.map_err(|_| End::BrokenUnsent)?;
        written.set(true);
        self.counters.sent.add();
        let mut gather = Gather::default();
        loop {
            let reply = match connection.message().await {
                Ok(message) => gather.take(message).map_err(|_| End::HostMalformed)?,
                Err(End::BrokenSent) => Some(gather.ended().ok_or(End::BrokenSent)?),
                Err(end) => return Err(end),
            };
            if let Some(reply) = reply {
                if reply.ready {
                    self.put_back(id, connection);
                }
                return Ok(reply);
            }
        }
    }

    /// The idle connection that was used last: the others grow old and are closed.
    fn reuse(&self, id: MemberId) -> Option<Connection> {
        let oldest = self.clock.now() - self.keep;
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&id)?;
        while let Some((since, connection)) = host.idle.pop() {
            match connection.spoilt() {
                None if since >= oldest => return Some(connection),
                end => self.counters.ended(end.unwrap_or(End::Retired)),
            }
        }
        None
    }

    fn put_back(&self, id: MemberId, connection: Connection) {
        let mut hosts = self.hosts.borrow_mut();
        match hosts.get_mut(&id).filter(|host| host.site == connection.site && host.site.up) {
            Some(host) if connection.framer.is_empty() => {
                host.idle.push((self.clock.now(), connection));
            }
            _ => self.counters.ended(End::Retired),
        }
    }

    async fn connect(&self, id: MemberId) -> Result<Opened, End> {
        let site = self.hosts.borrow().get(&id).map(|host| host.site).ok_or(End::NoAddress)?;
        // Descriptors run short: idle connections go first, those to hosts before those of clients.
        if self.budget.spent() && !self.shed() {
            self.counters.sheds.add();
            if !self.budget.shed_client() {
                return Err(End::NoDescriptor);
            }
        }
        let slot = self.budget.take();
        self.counters.host_connects.add();
        let stream = TcpStream::connect(site.address).await.map_err(|cause| match cause.raw_os_error() {
            Some(EMFILE | ENFILE) => End::NoDescriptor,
            _ => End::ConnectRefused,
        })?;
        let _ = stream.set_nodelay(true);
        let mut connection = Connection { stream, framer: Framer::default(), site, _slot: slot };
        let mut startup = Vec::new();
        pg::put_startup(&mut startup);
        connection.stream.write_all(&startup).await.map_err(|_| End::BrokenUnsent)?;
        let mut gather = Gather::default();
        loop {
            let message = connection.message().await.map_err(|_| End::BrokenUnsent)?;
            match message.kind() {
                b'R' if message.body() == [0; 4] => {}
                b'S' | b'K' | b'N' => {}
                b'Z' => return Ok(Opened::Ready(connection)),
                // Turned away, with the reason.
                b'E' => {
                    gather.take(message).map_err(|_| End::BrokenUnsent)?;
                    return gather.ended().map(Opened::TurnedAway).ok_or(End::BrokenUnsent);
                }
                _ => return Err(End::BrokenUnsent),
            }
        }
    }
}

/// "Too many open files", of the process and of the system.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

enum Opened {
    Ready(Connection),
    TurnedAway(Reply),
}

impl Connection {
    /// The next message.
    async fn message(&mut self) -> Result<Message, End> {
        loop {
            if let Some(message) = self.framer.message().map_err(|_| End::HostMalformed)? {
                return Ok(message);
            }
            // The framer bounds the buffer: no message is longer than `pg::MOST`.
            match self.stream.read_buf(self.framer.buffer()).await {
                Ok(0) | Err(_) => return Err(End::BrokenSent),
                Ok(_) => {}
            }
        }
    }

    /// An idle connection that says something or ends is of no use.
    fn spoilt(&self) -> Option<End> {
        match self.stream.try_read(&mut [0]) {
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => None,
            Ok(0) | Err(_) => Some(End::HostClosedIdle),
            Ok(_) => Some(End::HostMalformed),
        }
    }
}

/// How an answered attempt ended, what the decisions are told of it, and the row if there is one.
fn judge(reply: Reply) -> (End, Outcome, Option<Vec<Bytes>>) {
    let end = match &reply.answer {
        Answer::Row(_) => End::Served,
        Answer::Error(code) => match code.as_str() {
            "25006" | "72000" => End::TurnedAway,
            "53300" => End::Full,
            _ => End::HostError,
        },
    };
    let mut outcome = Outcome::silent(end.for_decisions());
    for (name, value) in &reply.told {
        match name.as_str() {
            "replication_role" => {
                outcome.role = match value.as_str() {
                    "primary" => Some(Role::Primary),
                    "standby" => Some(Role::Replica),
                    _ => None,
                }
            }
            "log_position" => {
                let position = value.parse::<Time>().ok().filter(|at| *at > 0);
                outcome.position = position.and_then(|ms| ms.checked_mul(1000));
            }
            "pressure" => outcome.report = pressure(value),
            _ => {}
        }
    }
    let row = match reply.answer {
        Answer::Row(row) => Some(row),
        Answer::Error(_) => None,
    };
    (end, outcome, row)
}

/// A load report: names and values, positions as Unix times in seconds.
fn pressure(text: &str) -> Report {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    settings::report(0, pairs.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?))))
}
