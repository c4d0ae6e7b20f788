//! Connections to database hosts: the pool, and one attempt on one of them.

use crate::facade::{Attempt, Outcome};
use crate::net::budget::{Budget, Hold, Idleness, Slot};
use crate::net::clock::Clock;
use crate::net::counters::{Counters, Gauge};
use crate::net::pg::{self, Answer, Framer, Gather, Message, Reply};
use crate::net::room::Room;
use crate::net::statement::Statement;
use crate::{settings, MemberId, Report, Role, Time};
use bytes::Buf;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::{Away, Event, Exchange, Stage};
use petrelgauge_lifecycle::patience::Patience;
use petrelgauge_lifecycle::rest::{is_copy, is_unlike_others, Keep, Look, Resting};
use petrelgauge_lifecycle::verdict;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Spans after which an idle client can be spared, while there is room, and when there is none: if it has asked
/// for nothing, and if it was answered (microseconds).
const QUIET: Time = 100_000;
const SLOW: Time = 20_000;
const UNUSED: Time = 1_000_000;
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
    /// Connections in a row that did not come up.
    missed: u32,
}

struct Connection {
    stream: TcpStream,
    framer: Framer,
    site: Site,
    /// The last answer, hashed, if no other can be alike to it but a copy.
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
    patience: Cell<Patience>,
    keep: Cell<Keep>,
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
            patience: Cell::new(Patience::new(connect_span)),
            keep: Cell::new(Keep::for_hosts(idle_span)),
            out: Gauge::default(),
        })
    }

    /// New settings: a connection must come up within `connect_span`; hosts close idle ones after `idle_span`.
    pub fn follow(&self, connect_span: Time, idle_span: Time) {
        self.patience.set(self.patience.get().at_most(connect_span));
        self.keep.set(Keep::for_hosts(idle_span));
    }

    /// Discovery told where a host is.
    pub fn place(&self, id: MemberId, site: Site) {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(id).or_insert_with(|| Host { site, idle: Vec::new(), missed: 0 });
        if host.site != site {
            (host.site, host.missed) = (site, 0);
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

    /// Hosts that discovery names.
    pub fn named(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.out.get()
    }

    /// Closes idle connections that are too old or that their host has closed.
    pub fn sweep(&self) {
        let now = self.clock.now();
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|(since, connection)| {
                let end = self.keep.get().sweep(now, connection.resting(*since), connection.look());
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
        let (host, until) = (attempt.host, attempt.until);
        let mut line = Line::new(self.reuse(host), self.budget.hold(false));
        let now = self.clock.now();
        let (began, reused, mut written) = (now, line.connection.is_some(), None);
        let mut life = Exchange::new(reused, now, now + self.patience(host), until);
        // One timer for as long as the limit is the same.
        let mut due = life.due();
        let mut timer = pin!(self.clock.sleep_until(due));
        while life.ended().is_none() {
            if life.due() != due {
                due = life.due();
                timer.set(self.clock.sleep_until(due));
            }
            let event = tokio::select! {
                biased;
                event = self.work(life.stage(), host, until, &statement, &mut line) => event,
                () = attempt.called_off() => Event::CalledOff,
                () = &mut timer => {
                    timer.set(self.clock.sleep_until(due));
                    Event::Due
                }
            };
            life.on(self.clock.now(), event);
            if event == Event::Greeted {
                self.came_up(host, self.clock.now() - began);
            }
            written = written.or_else(|| life.may_have_run().then(|| self.clock.now()));
        }
        let now = self.clock.now();
        let Line { connection, reply, hold, .. } = line;
        if reply.as_ref().is_some_and(|reply| reply.ready) {
            life.host_is_ready();
        }
        let unread = connection.as_ref().is_some_and(|connection| !connection.framer.is_empty());
        let (away, told) = life.put_away(unread)?;
        match (connection, away) {
            (Some(connection), Away::Rest) => self.put_back(host, connection),
            (connection, away) => {
                drop(connection);
                if away == Away::Surplus {
                    self.counters.ended(End::HostSurplus);
                }
            }
        }
        self.counters.ended(told.end);
        if told.end == End::ConnectSilent {
            self.count_missed(host, |missed| missed.saturating_add(1));
        }
        log::debug!(
            "attempt host={host} class={} cluster={} end={:?} took={} written={} reused={reused}",
            statement.class,
            statement.cluster,
            told.end,
            now - began,
            written.map_or(-1, |at| at - began),
        );
        // What a host said counts only if that is how the attempt ended.
        let reply = reply.filter(|_| told.end.is_answer());
        let outcome = match &reply {
            Some(reply) => outcome(told.end, reply, now),
            None => Outcome::silent(told.end.for_decisions()),
        };
        let owed = attempt.report(now, outcome);
        reply.map(|reply| Given { answer: reply.answer, _hold: hold }).filter(|_| owed)
    }

    /// Does what the stage of an attempt asks for, until something happens. May be cancelled without loss.
    async fn work(
        &self,
        stage: Stage,
        host: MemberId,
        until: Time,
        statement: &Statement,
        line: &mut Line,
    ) -> Event {
        let Some(connection) = &mut line.connection else {
            return match self.connect(host).await {
                Ok(connection) => {
                    line.connection = Some(connection);
                    Event::Connected
                }
                Err(event) => event,
            };
        };
        match stage {
            Stage::Writing => {
                let left = until - self.clock.now();
                let query =
                    line.query.get_or_insert_with(|| Box::new(statement.query((left / 1000).max(1) as u64)));
                match connection.stream.write_all_buf(query).await {
                    Ok(()) => {
                        self.counters.sent.add();
                        Event::Written
                    }
                    Err(_) => Event::Broke,
                }
            }
            Stage::Connecting { .. } | Stage::Greeting { .. } => self.greeting(line).await,
            Stage::Waiting | Stage::Answering { .. } => self.answer(stage, line).await,
            Stage::Ended(_) => std::future::pending().await,
        }
    }

    /// What a host says before it takes requests.
    async fn greeting(&self, line: &mut Line) -> Event {
        let Some(connection) = &mut line.connection else { return Event::Broke };
        loop {
            loop {
                let message = match connection.next() {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(event) => return event,
                };
                match message.kind() {
                    b'R' if message.body() == [0; 4] => {}
                    b'S' | b'K' | b'N' | b'v' => {}
                    b'Z' => return Event::Greeted,
                    b'E' => {
                        let mut gather = Gather::default();
                        if gather.take(message).is_err() {
                            return Event::Malformed;
                        }
                        line.reply = gather.ended();
                        let end = line.reply.as_ref().map(judge);
                        return end.map_or(Event::Broke, Event::TurnedAway);
                    }
                    _ => return Event::Malformed,
                }
            }
            if connection.read(&self.room).await.is_err() {
                return Event::Broke;
            }
            if !line.hold.set(connection.framer.len()) {
                return Event::NoMemory;
            }
        }
    }

    /// What a host says to a request that was written.
    async fn answer(&self, stage: Stage, line: &mut Line) -> Event {
        let Some(connection) = &mut line.connection else { return Event::Broke };
        let mut began = false;
        loop {
            loop {
                let message = match connection.next() {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(event) => return event,
                };
                line.taken += message.raw.len();
                line.hash.write(&message.raw);
                match line.gather.take(message) {
                    Err(_) => return Event::Malformed,
                    Ok(None) => {}
                    Ok(Some(reply)) => {
                        let row = matches!(reply.answer, Answer::Row(_));
                        let tells = reply.told.iter().any(|(name, _)| name == "log_position");
                        let this = is_unlike_others(row, tells).then(|| line.hash.finish());
                        let last = std::mem::replace(&mut connection.last, this);
                        let (end, copy) = (judge(&reply), is_copy(connection.recent, last, this));
                        line.reply = Some(reply);
                        return Event::Answered { end, copy };
                    }
                }
            }
            // Most answers come whole; only of one that does not is it told that it has begun.
            if began {
                return Event::Began;
            }
            if connection.read(&self.room).await.is_err() {
                line.reply = line.gather.ended();
                let end = line.reply.as_ref().map(judge);
                return end.map_or(Event::Broke, |end| Event::Answered { end, copy: false });
            }
            if !line.hold.set(line.taken + connection.framer.len()) {
                return Event::NoMemory;
            }
            began = stage == Stage::Waiting;
        }
    }

    /// A connection that rested and may carry a request.
    fn reuse(&self, id: MemberId) -> Option<Connection> {
        let now = self.clock.now();
        let mut hosts = self.hosts.borrow_mut();
        let idle = &mut hosts.get_mut(&id)?.idle;
        loop {
            let place = self.keep.get().choose(now, idle.iter().map(|(since, one)| one.resting(*since)))?;
            let (since, mut connection) = idle.remove(place);
            match self.keep.get().may_use(now, connection.resting(since), connection.look()) {
                Ok(recent) => {
                    connection.recent = recent;
                    return Some(connection);
                }
                Err(end) => self.counters.ended(end),
            }
        }
    }

    fn put_back(&self, id: MemberId, connection: Connection) {
        let mut hosts = self.hosts.borrow_mut();
        let home = hosts.get_mut(&id).filter(|host| host.site == connection.site && host.site.up);
        match (self.keep.get().come_to_rest(home.is_some()), home) {
            (Ok(()), Some(host)) => host.idle.push((self.clock.now(), connection)),
            (end, _) => self.counters.ended(end.err().unwrap_or(End::Retired)),
        }
    }

    /// The span that a new connection to this host is given to come up.
    fn patience(&self, id: MemberId) -> Time {
        let missed = self.hosts.borrow().get(&id).map_or(0, |host| host.missed);
        self.patience.get().span(missed)
    }

    fn came_up(&self, id: MemberId, took: Time) {
        let mut patience = self.patience.get();
        patience.came_up(took);
        self.patience.set(patience);
        self.count_missed(id, |_| 0);
    }

    fn count_missed(&self, id: MemberId, count: impl Fn(u32) -> u32) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.missed = count(host.missed);
        }
    }

    async fn connect(&self, id: MemberId) -> Result<Connection, Event> {
        let site = self.hosts.borrow().get(&id).map(|host| host.site);
        let site = site.ok_or(Event::NotTried(End::NoAddress))?;
        if !self.make_room() {
            return Err(Event::NotTried(End::NoDescriptor));
        }
        let slot = self.budget.take();
        self.counters.host_connects.add();
        let stream = TcpStream::connect(site.address).await.map_err(|cause| match cause.raw_os_error() {
            Some(EMFILE | ENFILE | EADDRNOTAVAIL) => Event::NotTried(End::NoDescriptor),
            _ => Event::Refused,
        })?;
        let _ = stream.set_nodelay(true);
        let mut connection =
            Connection { stream, framer: Framer::default(), site, last: None, recent: false, _slot: slot };
        let mut startup = Vec::new();
        pg::put_startup(&mut startup);
        // It is up; that the host is gone again shows with the greeting.
        let _ = connection.stream.write_all(&startup).await;
        Ok(connection)
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

/// An attempt's connection and what has been read of its answer.
struct Line {
    connection: Option<Connection>,
    query: Option<Box<dyn Buf>>,
    gather: Gather,
    taken: usize,
    hash: DefaultHasher,
    reply: Option<Reply>,
    hold: Hold,
}

impl Line {
    fn new(connection: Option<Connection>, hold: Hold) -> Line {
        let (gather, hash) = (Gather::default(), DefaultHasher::new());
        Line { connection, query: None, gather, taken: 0, hash, reply: None, hold }
    }
}

impl Connection {
    /// The next message, if it is there whole.
    fn next(&mut self) -> Result<Option<Message>, Event> {
        match self.framer.kind() {
            Some(kind) if !pg::FROM_HOST.contains(&kind) => Err(Event::Malformed),
            _ => self.framer.message().map_err(|_| Event::Malformed),
        }
    }

    fn resting(&self, since: Time) -> Resting {
        Resting { since, tells_copies: self.last.is_some() }
    }

    /// Reads once. The framer bounds what is kept: no message is longer than `pg::MOST`.
    async fn read(&mut self, room: &Room) -> Result<(), Event> {
        loop {
            self.stream.readable().await.map_err(|_| Event::Broke)?;
            let stream = &self.stream;
            match room.read(|bytes| stream.try_read(bytes), Some(&mut self.framer)) {
                Ok(Some(0)) | Err(_) => return Err(Event::Broke),
                Ok(Some(_)) => return Ok(()),
                Ok(None) => {}
            }
        }
    }

    /// What the kernel says of it while it rests. The kernel is asked itself: the reactor has not yet heard of what
    /// came a moment ago.
    fn look(&self) -> Look {
        match SockRef::from(&self.stream).peek(&mut [std::mem::MaybeUninit::uninit()]) {
            Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => Look::Quiet,
            Ok(0) | Err(_) => Look::Closed,
            Ok(_) => Look::Spoke,
        }
    }
}

/// How an answered attempt ended.
fn judge(reply: &Reply) -> End {
    match &reply.answer {
        Answer::Row(_) => End::Served,
        Answer::Error(code) => verdict::of_code(code),
    }
}

/// What the decisions are told of an answered attempt.
fn outcome(end: End, reply: &Reply, now: Time) -> Outcome {
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
                outcome.position = value.parse().ok().and_then(|ms| verdict::position(ms, now));
            }
            "pressure" => outcome.report = pressure(value),
            _ => {}
        }
    }
    outcome
}

/// A load report: names and values, positions as Unix times in seconds.
fn pressure(text: &str) -> Report {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    settings::report(0, pairs.filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?))))
}
