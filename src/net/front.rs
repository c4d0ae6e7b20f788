//! Client sessions: PostgreSQL's simple queries in, one final answer out for each.

use crate::facade::{Decision, Facade, Request};
use crate::net::budget::{Budget, Slot};
use crate::net::clock::Clock;
use crate::net::counters::{Counters, Gauge};
use crate::net::ending::End;
use crate::net::hosts::Hosts;
use crate::net::pg::{self, Framer, Message, Opening, Severity};
use crate::net::statement::{self, Statement};
use crate::{Class, Effect, Need, Time};
use bytes::Bytes;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

/// Span in which a client must say who it is (microseconds).
const STARTUP: Time = 10_000_000;
/// Span after a request's end in which its client must have taken the answer (microseconds).
const TAKING: Time = 2_000_000;
/// Span in which a client that is cut off may read the reason (microseconds).
const LINGER: Time = 300_000;
/// Bytes of further queries that are read ahead while one is being answered.
const AHEAD: usize = pg::MOST;

/// What all sessions share.
pub struct Front {
    /// The decisions.
    pub facade: Facade,
    /// The database hosts.
    pub hosts: Rc<Hosts>,
    /// The clock.
    pub clock: Clock,
    /// Descriptors.
    pub budget: Rc<Budget>,
    /// Counts.
    pub counters: Rc<Counters>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Turns true when idle clients are to be closed.
    pub stopping: watch::Receiver<bool>,
    /// Sessions that are open.
    pub open: Gauge,
}

impl Front {
    /// Accepts clients until the gateway stops. It never pauses: what waits in the kernel's backlog counts
    /// as taken, and so what is there goes before the stop.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let (mut number, mut failing) = (0u32, false);
        let mut stopping = self.stopping.clone();
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = stopping.wait_for(|stopping| *stopping) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    number = number.wrapping_add(1);
                    failing = false;
                    self.counters.clients.add();
                    if self.budget.spent() && !self.hosts.shed() && self.budget.shed_client() {
                        self.counters.sheds.add();
                    }
                    // Counted here: of many that come at once, each must see those before it.
                    let slot = self.budget.take();
                    tokio::task::spawn_local(self.clone().serve(stream, number, slot));
                }
                Err(cause) => {
                    // Once for each row of failures: they come by the hundred.
                    if !std::mem::replace(&mut failing, true) {
                        log::warn!("cannot accept a client: {cause}");
                    }
                    if !self.hosts.shed() {
                        self.budget.shed_client();
                    }
                    self.clock.sleep_until(self.clock.now() + 2_000).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, number: u32, _slot: Slot) {
        let _open = self.open.enter();
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.split();
        let mut session = Session {
            front: self.clone(),
            inbox: Inbox::new(reader, self.clock),
            writer,
            shed: Rc::new(Notify::new()),
            stopping: self.stopping.clone(),
        };
        let end = session.run(number).await;
        log::debug!("client {number} ended: {end:?}");
        self.counters.ended(end);
    }
}

/// Messages of a client in order, each with the time it was read: a client counts its wait from its
/// sending, also when other queries are answered first.
struct Inbox<'a> {
    reader: ReadHalf<'a>,
    clock: Clock,
    framer: Framer,
    ready: VecDeque<(Message, Time)>,
    bytes: usize,
    flaw: Option<pg::Malformed>,
}

impl<'a> Inbox<'a> {
    fn new(reader: ReadHalf<'a>, clock: Clock) -> Inbox<'a> {
        Inbox { reader, clock, framer: Framer::default(), ready: VecDeque::new(), bytes: 0, flaw: None }
    }

    /// Reads once. May be cancelled without loss.
    async fn read(&mut self) -> Result<(), End> {
        match self.reader.read_buf(self.framer.buffer()).await {
            Ok(0) | Err(_) => Err(End::ClientLeft),
            Ok(_) => Ok(()),
        }
    }

    async fn opening(&mut self) -> Result<Result<Opening, pg::Malformed>, End> {
        loop {
            match self.framer.opening() {
                Ok(Some(opening)) => return Ok(Ok(opening)),
                Ok(None) => self.read().await?,
                Err(flaw) => return Ok(Err(flaw)),
            }
        }
    }

    /// Reads and forgets until the client leaves.
    async fn discard(&mut self) {
        while self.read().await.is_ok() {
            self.framer.buffer().clear();
        }
    }

    fn sort(&mut self) {
        while self.flaw.is_none() {
            match self.framer.message() {
                Ok(Some(message)) => {
                    self.bytes += weight(&message);
                    self.ready.push_back((message, self.clock.now()));
                }
                Ok(None) => return,
                Err(flaw) => self.flaw = Some(flaw),
            }
        }
    }

    /// The next message. May be cancelled without loss.
    async fn next(&mut self) -> Result<Result<(Message, Time), pg::Malformed>, End> {
        loop {
            self.sort();
            if let Some((message, at)) = self.ready.pop_front() {
                self.bytes -= weight(&message);
                return Ok(Ok((message, at)));
            }
            if let Some(flaw) = self.flaw {
                return Ok(Err(flaw));
            }
            self.read().await?;
        }
    }

    /// Reads ahead until the client leaves. May be cancelled without loss.
    async fn left(&mut self) -> End {
        loop {
            if self.flaw.is_some() || self.bytes > AHEAD {
                return std::future::pending().await;
            }
            if let Err(end) = self.read().await {
                return end;
            }
            self.sort();
        }
    }
}

/// What a message that waits costs: a flood of the smallest ones must not cost more than it seems.
fn weight(message: &Message) -> usize {
    message.raw.len() + std::mem::size_of::<(Message, Time)>()
}

struct Session<'a> {
    front: Rc<Front>,
    inbox: Inbox<'a>,
    writer: WriteHalf<'a>,
    shed: Rc<Notify>,
    stopping: watch::Receiver<bool>,
}

impl Session<'_> {
    async fn run(&mut self, number: u32) -> End {
        match self.talk(number).await {
            Ok(end) | Err(end) => end,
        }
    }

    async fn talk(&mut self, number: u32) -> Result<End, End> {
        let clock = self.front.clock;
        let startup_by = clock.now() + STARTUP;
        let mut stopping = self.stopping.clone();
        let opened = tokio::select! {
            biased;
            opened = self.open(number) => opened?,
            _ = stopping.wait_for(|stopping| *stopping) => Some(End::Stopped),
            () = clock.sleep_until(startup_by) => Some(End::ClientSilent),
        };
        if let Some(end) = opened {
            return Ok(end);
        }
        loop {
            let next = {
                let _idle = self.front.budget.idle(&self.shed);
                tokio::select! {
                    biased;
                    next = self.inbox.next() => next?,
                    () = self.shed.notified() => return Ok(End::ClientShed),
                    _ = self.stopping.wait_for(|stopping| *stopping) => return Ok(End::Stopped),
                }
            };
            let (message, at) = match next {
                Ok(next) => next,
                Err(flaw) => return self.refuse_bytes(flaw).await,
            };
            match message.kind() {
                b'Q' => match message.text() {
                    Ok(text) => self.query(text, at).await?,
                    Err(flaw) => return self.refuse_bytes(flaw).await,
                },
                b'X' => return Ok(End::ClientTerminated),
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    if let Some(end) = self.extended().await? {
                        return Ok(end);
                    }
                }
                b'F' => {
                    let mut out = Vec::new();
                    put_unsupported(&mut out);
                    pg::put_ready(&mut out);
                    self.write(&out, self.front.clock.now()).await?;
                }
                b'S' => {
                    let mut out = Vec::new();
                    pg::put_ready(&mut out);
                    self.write(&out, self.front.clock.now()).await?;
                }
                // Flush has nothing to push; what belongs to a copy is passed over outside of one.
                b'H' | b'd' | b'c' | b'f' => {}
                _ => return self.refuse_bytes(pg::Malformed("invalid frontend message type")).await,
            }
        }
    }

    /// Admits the client, or says how its connection ends.
    async fn open(&mut self, number: u32) -> Result<Option<End>, End> {
        loop {
            let mut out = Vec::new();
            match self.inbox.opening().await? {
                Ok(Opening::Encryption) => {
                    self.write(b"N", self.front.clock.now()).await?;
                }
                // There is nothing to cancel by key: a client that no longer waits closes its connection.
                Ok(Opening::Cancel) => return Ok(Some(End::ClientTerminated)),
                Ok(Opening::Startup { minor }) => {
                    pg::put_welcome(&mut out, minor, number);
                    self.write(&out, self.front.clock.now()).await?;
                    return Ok(None);
                }
                Err(flaw) => return self.refuse_bytes(flaw).await.map(Some),
            }
        }
    }

    async fn refuse_bytes(&mut self, flaw: pg::Malformed) -> Result<End, End> {
        let mut out = Vec::new();
        pg::put_error(&mut out, Severity::Fatal, "08P01", flaw.0, None);
        self.write(&out, self.front.clock.now()).await?;
        // Closed with bytes unread, the connection would be reset and the client not see the reason.
        let clock = self.front.clock;
        let _ = self.writer.shutdown().await;
        tokio::select! {
            () = self.inbox.discard() => {}
            () = clock.sleep_until(clock.now() + LINGER) => {}
        }
        Ok(End::ClientMalformed)
    }

    /// Extended queries are not spoken here: one error, then nothing up to Sync.
    async fn extended(&mut self) -> Result<Option<End>, End> {
        let mut out = Vec::new();
        put_unsupported(&mut out);
        self.write(&out, self.front.clock.now()).await?;
        loop {
            match self.inbox.next().await? {
                Ok((message, _)) if message.kind() == b'S' => break,
                Ok((message, _)) if message.kind() == b'X' => return Ok(Some(End::ClientTerminated)),
                Ok(_) => {}
                Err(flaw) => return self.refuse_bytes(flaw).await.map(Some),
            }
        }
        out.clear();
        pg::put_ready(&mut out);
        self.write(&out, self.front.clock.now()).await?;
        Ok(None)
    }

    /// Writes all of it, or ends the connection of a client that does not take it.
    async fn write(&mut self, bytes: &[u8], end: Time) -> Result<(), End> {
        tokio::select! {
            biased;
            written = self.writer.write_all(bytes) => written.map_err(|_| End::ClientLeft),
            () = self.front.clock.sleep_until(end + TAKING) => Err(End::ClientStuck),
        }
    }

    async fn query(&mut self, text: Bytes, at: Time) -> Result<(), End> {
        let mut out = Vec::new();
        let mut until = at;
        if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            pg::put_empty(&mut out);
        } else if let Some(tag) = without_effect(&text) {
            pg::put_complete(&mut out, tag);
        } else {
            match self.read_statement(&text, at) {
                Ok((request, statement)) => {
                    until = request.until;
                    self.answer(request, statement, &mut out).await?;
                }
                Err((code, cause)) => {
                    self.front.counters.bad_statements.add();
                    pg::put_error(&mut out, Severity::Error, code, cause, None);
                }
            }
        }
        pg::put_ready(&mut out);
        self.write(&out, until).await
    }

    fn read_statement(
        &self,
        text: &Bytes,
        at: Time,
    ) -> Result<(Request, Statement), (&'static str, &'static str)> {
        let statement = Statement::parse(text).map_err(|cause| ("42601", cause))?;
        let named = self.front.classes.iter().position(|class| class.name == statement.class);
        let place = named.ok_or(("22023", "no such class"))?;
        let class = &self.front.classes[place];
        if statement.write != (class.need == Need::Write) {
            return Err(("42601", "the statement does not fit its class"));
        }
        if matches!(class.effect, Effect::Keyed { .. }) && !statement.keyed {
            return Err(("22023", "its class asks for a key, and the comment names no k"));
        }
        if !self.front.facade.may_serve(statement.cluster) {
            return Err(("22023", "no such cluster"));
        }
        let with_session = matches!(class.need, Need::Write | Need::Session);
        let request = Request {
            class: place,
            group: statement.cluster,
            until: at.saturating_add(statement.wait_ms as Time * 1000),
            repeat: statement.repeat,
            session: with_session.then(|| statement.name.as_str().into()),
            session_age: statement.after_ms.map(|ms| (at - (ms as Time).saturating_mul(1000)).max(0)),
        };
        Ok((request, statement))
    }

    async fn answer(&mut self, request: Request, statement: Statement, out: &mut Vec<u8>) -> Result<(), End> {
        let front = self.front.clone();
        front.counters.requests.add();
        let statement = Rc::new(statement);
        let mut ticket = front.facade.admit(request);
        let mut attempt: Option<JoinHandle<Option<Vec<Bytes>>>> = None;
        loop {
            // The order matters: what a host served goes before what the decisions say, and both before
            // the client's leaving, which withdraws the request with the ticket.
            tokio::select! {
                biased;
                row = finished(&mut attempt) => match row {
                    Some(row) => {
                        front.counters.served.add();
                        row.iter().for_each(|message| out.extend_from_slice(message));
                        return Ok(());
                    }
                    None => attempt = None,
                },
                decision = ticket.pick() => match decision {
                    // Its own task: a keyed write that failed for its client may still be out.
                    Decision::Send(send) => {
                        let hosts = front.hosts.clone();
                        attempt = Some(tokio::task::spawn_local(hosts.attempt(send, statement.clone())));
                    }
                    Decision::Refuse { wait } => {
                        front.counters.refused.add();
                        let hint = (wait > 0).then(|| (wait / 1000).max(1).to_string());
                        let text = "too busy for this request now";
                        pg::put_error(out, Severity::Error, "53300", text, hint.as_deref());
                        return Ok(());
                    }
                    Decision::Fail => {
                        front.counters.failed.add();
                        let text = "no answer in time; it may have had an effect";
                        pg::put_error(out, Severity::Error, "40003", text, None);
                        return Ok(());
                    }
                },
                end = self.inbox.left() => {
                    front.counters.left.add();
                    return Err(end);
                }
            }
        }
    }
}

/// Waits for the attempt that is out, if there is one.
async fn finished(attempt: &mut Option<JoinHandle<Option<Vec<Bytes>>>>) -> Option<Vec<Bytes>> {
    match attempt {
        Some(task) => task.await.unwrap_or_default(),
        None => std::future::pending().await,
    }
}

/// What drivers say at their start and what would have no effect here.
fn without_effect(text: &[u8]) -> Option<&'static str> {
    match statement::verb(text).to_ascii_uppercase().as_slice() {
        b"SET" => Some("SET"),
        b"RESET" => Some("RESET"),
        b"DISCARD" => Some("DISCARD ALL"),
        _ => None,
    }
}

fn put_unsupported(out: &mut Vec<u8>) {
    pg::put_error(out, Severity::Error, "0A000", "only simple queries are served", None);
}
