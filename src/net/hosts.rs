//! Connections to database hosts: the pool, and one attempt on one of them.

use crate::facade::{Attempt, Outcome};
use crate::net::budget::{Budget, Hold, Idleness, Slot};
use crate::net::clock::Clock;
use crate::net::counters::{Counters, Gauge};
use crate::net::ending::End;
use crate::net::pg::{self, Answer, Framer, Gather, Message, Reply};
use crate::net::room::Room;
use crate::net::statement::Statement;
use crate::{settings, MemberId, Report, Role, Time};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Span in which an answer that has begun must be whole (microseconds): hosts write it in one go. One that
/// claims to go on and does not would else keep its request until its time is over.
const ANSWER: Time = 300_000;
/// Span that a connection best rests after an answer (microseconds). What a host sends behind an answer comes
/// within it. One may be used sooner, for want of another.
const REST: Time = 20_000;
/// Span after an answer in which the next one must not be its copy (microseconds).
const RECENT: Time = 1_000_000;
/// Spans after which an idle client can be spared, while there is room, and when there is none: if it has asked
/// for nothing, and if it was answered (microseconds).
const QUIET: Time = 100_000;
const SLOW: Time = 20_000;
const UNUSED: Time = 1_000_000;
/// Span that a position may lie ahead of this gateway's clock (microseconds).
const AHEAD: Time = 1_000_000;

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
    /// The last answer, hashed, if it told its position: no two answers then are alike but copies.
    last: Option<u64>,
    recent: bool,
    _slot: Slot,
}

/// All database hosts that discovery named.
pub struct Hosts {
    hosts: RefCell<BTreeMap<MemberId, Host>>,
    clock: Clock,
    budget: Rc<Budget>,
    counters: Rc<Counters>,
    room: Rc<Room>,
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
        room: Rc<Room>,
        connect_span: Time,
        idle_span: Time,
    ) -> Rc<Hosts> {
        Rc::new(Hosts {
            hosts: RefCell::new(BTreeMap::new()),
            clock,
            budget,
            counters,
            room,
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

    /// Discovery no longer names this host. What is out there goes on, on the connections it has.
    pub fn remove(&self, id: MemberId) {
        let gone = self.hosts.borrow_mut().remove(&id);
        gone.into_iter().flat_map(|host| host.idle).for_each(|_| self.counters.ended(End::Retired));
    }

    /// Discovery no longer names any but these.
    pub fn keep_only(&self, named: &dyn Fn(MemberId) -> bool) {
        let ids: Vec<MemberId> = self.hosts.borrow().keys().copied().collect();
        ids.into_iter().filter(|id| !named(*id)).for_each(|id| self.remove(id));
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

    /// Closes clients that can be spared while there are too many. Clients keep what they have once asked with,
    /// also the ones that never ask again, and with their share full of those nobody else gets through.
    pub fn thin_out(&self) {
        let now = self.clock.now();
        let shed = |why, span| self.budget.shed_client(why, now - span);
        for _ in 0..self.budget.crowd() {
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
    pub fn make_room(&self) -> bool {
        let (budget, now) = (&self.budget, self.clock.now());
        let shed = |why, span| budget.shed_client(why, now - span);
        if !budget.spent() {
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

    /// Makes one attempt and reports it. Gives what the host said if it is the request's final answer.
    pub async fn attempt(self: Rc<Self>, mut attempt: Attempt, statement: Rc<Statement>) -> Option<Given> {
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
        let now = self.clock.now();
        let (end, outcome, answer) = match tried {
            Ok((reply, hold)) => {
                let (end, outcome) = judge(&reply, now);
                (end, outcome, Some(Given { answer: reply.answer, _hold: hold }))
            }
            Err(end) => (end, Outcome::silent(end.for_decisions()), None),
        };
        self.counters.ended(end);
        log::debug!("attempt at {host} ended: {end:?}");
        let owed = attempt.report(now, outcome);
        answer.filter(|_| owed)
    }

    async fn exchange(
        &self,
        id: MemberId,
        until: Time,
        statement: &Statement,
        written: &Cell<bool>,
    ) -> Result<(Reply, Hold), End> {
        let mut hold = self.budget.hold(false);
        let mut connection = match self.reuse(id) {
            Some(connection) => connection,
            None => {
                let up_by = until.min(self.clock.now() + self.connect_span);
                tokio::select! {
                    biased;
                    connection = self.connect(id, &mut hold) => match connection? {
                        Opened::Ready(connection) => connection,
                        Opened::TurnedAway(reply) => return Ok((reply, hold)),
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
        let reply = self.reply(&mut connection, &mut hold).await?;
        if reply.ready {
            self.put_back(id, connection);
        }
        Ok((reply, hold))
    }

    /// The answer to the query that was written.
    async fn reply(&self, connection: &mut Connection, hold: &mut Hold) -> Result<Reply, End> {
        let (mut gather, mut taken, mut hash) = (Gather::default(), 0, DefaultHasher::new());
        // When the answer must be whole, once it has begun.
        let mut by = None;
        loop {
            while let Some(message) = connection.next()? {
                taken += message.raw.len();
                hash.write(&message.raw);
                if let Some(reply) = gather.take(message).map_err(|_| End::HostMalformed)? {
                    let unlike = reply.told.iter().any(|(name, _)| name == "log_position");
                    let last = std::mem::replace(&mut connection.last, unlike.then(|| hash.finish()));
                    // Whose answer this is nobody knows, and whether the request has run neither.
                    let copy = connection.recent && last.is_some() && last == connection.last;
                    return if copy { Err(End::HostRepeated) } else { Ok(reply) };
                }
            }
            let read = tokio::select! {
                biased;
                read = connection.read(&self.room) => read,
                () = self.clock.sleep_until(by.unwrap_or_default()), if by.is_some() => Err(End::HostStalled),
            };
            match read {
                Ok(()) if !hold.set(taken + connection.framer.len()) => return Err(End::NoMemory),
                Ok(()) => by = by.or(Some(self.clock.now() + ANSWER)),
                Err(end) => return gather.ended().ok_or(end),
            }
        }
    }

    /// The idle connection that was used last of those that have rested: the others grow old and are closed.
    /// If none has, the one that has rested longest of those whose answers can be told from copies.
    fn reuse(&self, id: MemberId) -> Option<Connection> {
        let now = self.clock.now();
        let mut hosts = self.hosts.borrow_mut();
        let idle = &mut hosts.get_mut(&id)?.idle;
        loop {
            let rested = idle.iter().rposition(|(since, _)| now - since >= REST);
            let place = rested.or_else(|| idle.iter().position(|(_, one)| one.last.is_some()))?;
            let (since, mut connection) = idle.remove(place);
            connection.recent = now - since < RECENT;
            match connection.spoilt() {
                None if now - since <= self.keep => return Some(connection),
                end => self.counters.ended(end.unwrap_or(End::Retired)),
            }
        }
    }

    fn put_back(&self, id: MemberId, connection: Connection) {
        let mut hosts = self.hosts.borrow_mut();
        match hosts.get_mut(&id).filter(|host| host.site == connection.site && host.site.up) {
            // What came behind the answer is nobody's, and more of it may follow.
            Some(_) if !connection.framer.is_empty() => self.counters.ended(End::HostSurplus),
            Some(host) => host.idle.push((self.clock.now(), connection)),
            None => self.counters.ended(End::Retired),
        }
    }

    async fn connect(&self, id: MemberId, hold: &mut Hold) -> Result<Opened, End> {
        let site = self.hosts.borrow().get(&id).map(|host| host.site).ok_or(End::NoAddress)?;
        if !self.make_room() {
            return Err(End::NoDescriptor);
        }
        let slot = self.budget.take();
        self.counters.host_connects.add();
        let stream = TcpStream::connect(site.address).await.map_err(|cause| match cause.raw_os_error() {
            Some(EMFILE | ENFILE | EADDRNOTAVAIL) => End::NoDescriptor,
            _ => End::ConnectRefused,
        })?;
        let _ = stream.set_nodelay(true);
        let mut connection =
            Connection { stream, framer: Framer::default(), site, last: None, recent: false, _slot: slot };
        let mut startup = Vec::new();
        pg::put_startup(&mut startup);
        connection.stream.write_all(&startup).await.map_err(|_| End::BrokenUnsent)?;
        loop {
            while let Some(message) = connection.next().map_err(|_| End::BrokenUnsent)? {
                match message.kind() {
                    b'R' if message.body() == [0; 4] => {}
                    b'S' | b'K' | b'N' | b'v' => {}
                    b'Z' => return Ok(Opened::Ready(connection)),
                    // Turned away, with the reason.
                    b'E' => {
                        let mut gather = Gather::default();
                        gather.take(message).map_err(|_| End::BrokenUnsent)?;
                        return gather.ended().map(Opened::TurnedAway).ok_or(End::BrokenUnsent);
                    }
                    _ => return Err(End::BrokenUnsent),
                }
            }
            connection.read(&self.room).await.map_err(|_| End::BrokenUnsent)?;
            if !hold.set(connection.framer.len()) {
                return Err(End::NoDescriptor);
            }
        }
    }
}

/// "Too many open files", of the process and of the system, and no port left to connect from.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

/// What a host said to a request, with its share of the memory.
pub struct Given {
    /// A row, or an error that no other host would spare the client.
    pub answer: Answer,
    _hold: Hold,
}

enum Opened {
    Ready(Connection),
    TurnedAway(Reply),
}

impl Connection {
    /// The next message, if it is there whole.
    fn next(&mut self) -> Result<Option<Message>, End> {
        match self.framer.kind() {
            Some(kind) if !pg::FROM_HOST.contains(&kind) => Err(End::HostMalformed),
            _ => self.framer.message().map_err(|_| End::HostMalformed),
        }
    }

    /// Reads once. The framer bounds what is kept: no message is longer than `pg::MOST`.
    async fn read(&mut self, room: &Room) -> Result<(), End> {
        loop {
            self.stream.readable().await.map_err(|_| End::BrokenSent)?;
            let stream = &self.stream;
            match room.read(|bytes| stream.try_read(bytes), Some(&mut self.framer)) {
                Ok(Some(0)) | Err(_) => return Err(End::BrokenSent),
                Ok(Some(_)) => return Ok(()),
                Ok(None) => {}
            }
        }
    }

    /// An idle connection that says something or ends is of no use. The kernel is asked itself: the reactor
    /// has not yet heard of what came a moment ago.
    fn spoilt(&self) -> Option<End> {
        match SockRef::from(&self.stream).peek(&mut [std::mem::MaybeUninit::uninit()]) {
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => None,
            Ok(0) | Err(_) => Some(End::HostClosedIdle),
            Ok(_) => Some(End::HostSurplus),
        }
    }
}

/// How an answered attempt ended, and what the decisions are told of it.
fn judge(reply: &Reply, now: Time) -> (End, Outcome) {
    let end = match &reply.answer {
        Answer::Row(_) => End::Served,
        Answer::Error(code) => match code.as_str() {
            "25006" | "72000" => End::TurnedAway,
            "53300" => End::Full,
            // Of these classes the statement is at fault: a further host would say the same.
            code if ["08P01", "0A", "22", "42"].iter().any(|class| code.starts_with(class)) => End::Unusable,
            _ => End::HostError,
        },
    };
    let mut outcome = Outcome::silent(end.for_decisions());
    outcome.unusable = end == End::Unusable;
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
                let position = value.parse::<Time>().ok().and_then(|ms| ms.checked_mul(1000));
                // One clock is read by all: what lies ahead of it was not read but made up.
                outcome.position = position.filter(|at| *at > 0 && *at <= now + AHEAD);
            }
            "pressure" => outcome.report = pressure(value),
            _ => {}
        }
    }
    (end, outcome)
}

/// A load report: names and values, positions as Unix times in seconds.
fn pressure(text: &str) -> Report {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    settings::report(0, pairs.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?))))
}
