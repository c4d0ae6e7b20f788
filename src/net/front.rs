//! Client sessions: PostgreSQL's simple queries in, one final answer out for each.

use crate::facade::{Decision, Facade, Request, Visit};
use crate::net::attempt::{Given, GivenAnswer};
use crate::net::budget::{Budget, Idleness, Slot};
use crate::net::client_reader::{ClientEvent, ClientReader, ProtocolError, UNFINISHED, UNKNOWN};
use crate::net::clock::Clock;
use crate::net::counters::{Counters, Gauge};
use crate::net::ending::End;
use crate::net::flow::Flow;
use crate::net::hosts::Hosts;

use crate::net::pg::{self, Answer, Severity};
use crate::net::room::Room;
use crate::net::set::{self, Setting};
use crate::net::statement::Statement;
use crate::{Effect, Need, Time};
use bytes::{Buf, Bytes};
use petrelgauge_lifecycle::asked::{Asked, Event, Final as Last};
use petrelgauge_lifecycle::client::{Client, Do, Event as Happens, Stage, Used};
use petrelgauge_lifecycle::gateway::{Door, LastReads};
use petrelgauge_sessions::Wallet;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

/// Span after a request's end in which its client must have taken the answer (microseconds).
const TAKING: Time = 2_000_000;
/// Span in which a client that is cut off may send to the end and read the reason (microseconds).
const LINGER: Time = 1_000_000;
/// While clients are being closed: span after its coming in which a client that has asked for nothing yet is left to
/// (microseconds), since its first query may be on its way.
const FIRST_WORD: Time = 500_000;
/// The same for a message that has begun, from the first wish to close on, and between two looks at it.
const LAST_MESSAGE: Time = 2_000_000;
const LOOK: Time = 20_000;

/// What all sessions share.
pub struct Front {
    /// The decisions.
    pub facade: Facade,
    /// The database hosts.
    pub hosts: Rc<Hosts>,
    /// The clock.
    pub clock: Clock,
    /// Descriptors and memory.
    pub budget: Rc<Budget>,
    /// Counts.
    pub counters: Rc<Counters>,
    /// What is read into.
    pub room: Rc<Room>,
    /// What is to be done with clients.
    pub door: watch::Receiver<Door>,
    /// Sessions that are open.
    pub open: Gauge,
    /// What clients call their open requests.
    pub ids: RefCell<BTreeSet<Rc<str>>>,
    /// Clock time of the last answers before the process may be killed, once it is to stop.
    pub last: Cell<Time>,
    /// Up to when clients are read then.
    pub last_reads: Cell<LastReads>,
}

impl Front {
    /// Accepts clients until the gateway stops. It never pauses: what waits in the kernel's backlog counts
    /// as taken, and so what is there goes before the stop; unless the socket is `shared` with the process that
    /// comes next, whose they are.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, shared: bool) {
        // Whoever waits to be accepted is held too, up to the moment at which the listener is closed.
        let _accepting = self.open.enter();
        let (mut number, mut failing) = (0u32, false);
        let mut door = self.door.clone();
        loop {
            if shared && *door.borrow() == Door::Shut {
                return;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = door.wait_for(|door| *door == Door::Shut) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    number = number.wrapping_add(1);
                    failing = false;
                    self.counters.clients.add();
                    self.hosts.make_room();
                    // Counted here: of many that come at once, each must see those before it.
                    let slot = self.budget.take_client();
                    tokio::task::spawn_local(self.clone().serve(stream, number, slot));
                    // What was asked to close does so, and what came with the last ones is read.
                    tokio::task::yield_now().await;
                }
                Err(cause) => {
                    // Once for each row of failures: they come by the hundred.
                    if !std::mem::replace(&mut failing, true) {
                        log::warn!("cannot accept a client: {cause}");
                    }
                    self.hosts.make_room();
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
            reader: ClientReader::new(reader, &self),
            writer,
            shed: Rc::new(Notify::new()),
            door: self.door.clone(),
            close_from: 0,
            marks: Wallet::default(),
        };
        let end = session.run(number).await;
        log::debug!("client {number} ended: {end:?}");
        self.counters.ended(end);
    }

    /// Tells the session's token, where its client carries one.
    fn put_mark(&self, out: &mut Vec<u8>, taken: &Taken) {
        let key = taken.request.session.as_ref().map(|visit| visit.key);
        if let Some(token) = key.and_then(|key| self.facade.token(self.clock.now(), key)) {
            pg::put_status(out, set::MARK, &token);
        }
    }

    /// Marks a request as open. None if another with that name is.
    fn claim(self: &Rc<Self>, id: &str) -> Option<Claim> {
        let id: Rc<str> = id.into();
        self.ids.borrow_mut().insert(id.clone()).then(|| Claim { front: self.clone(), id })
    }
}

/// A request's name, its own for as long as it is open.
struct Claim {
    front: Rc<Front>,
    id: Rc<str>,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.front.ids.borrow_mut().remove(&self.id);
    }
}

struct Session<'a> {
    front: Rc<Front>,
    reader: ClientReader<'a>,
    writer: WriteHalf<'a>,
    shed: Rc<Notify>,
    door: watch::Receiver<Door>,
    /// A wish to close it is put off to this time.
    close_from: Time,
    /// Session tokens that it set.
    marks: Wallet,
}

impl Session<'_> {
    async fn run(&mut self, number: u32) -> End {
        match self.talk(number).await {
            Ok(end) | Err(end) => end,
        }
    }

    /// Tells the connection's life what happens and does what it says, until it ends.
    async fn talk(&mut self, number: u32) -> Result<End, End> {
        let clock = self.front.clock;
        let mut life = Client::new(clock.now());
        loop {
            let heard = self.hear(&life).await;
            let mut out = Vec::new();
            let mut to_do = life.on(clock.now(), heard.event);
            if to_do == Do::Answer {
                let (text, at) = heard.query.unwrap_or_default();
                let event = match self.query(text, at).await {
                    Ok(used) => Happens::Answered(used),
                    // Its time to be answered is over, and so are those behind it.
                    Err(end) if self.flawed(end) => Happens::Answered(Used::Request),
                    Err(end) => Happens::Left(end),
                };
                to_do = life.on(clock.now(), event);
            }
            match to_do {
                Do::Wait | Do::Answer | Do::Pause { .. } => continue,
                Do::Close(end) => return Ok(end),
                Do::CutOff { unfinished: true, .. } => return self.cut_off(UNFINISHED).await,
                Do::CutOff { .. } => return self.cut_off(heard.error.unwrap_or(UNKNOWN)).await,
                Do::Decline => out.push(b'N'),
                Do::Welcome => pg::put_welcome(&mut out, heard.minor, number),
                Do::Ready => pg::put_ready(&mut out),
                Do::Unsupported { ready } => {
                    put_unsupported(&mut out);
                    if ready {
                        pg::put_ready(&mut out);
                    }
                }
            }
            self.write(&out[..], clock.now()).await?;
        }
    }

    /// Waits for what happens next. What the client sent goes before every reason to close.
    async fn hear(&mut self, life: &Client) -> ClientEvent {
        let (front, shed, mut door) = (self.front.clone(), self.shed.clone(), self.door.clone());
        let clock = front.clock;
        if let Stage::Pausing { until } = life.stage() {
            return tokio::select! {
                () = clock.sleep_until(until) => Happens::Rested.into(),
                end = self.reader.left() => match self.flawed(end) {
                    true => Happens::Rested.into(),
                    false => Happens::Left(end).into(),
                },
            };
        }
        let (why, since) = life.idleness();
        // The process may be killed soon: nothing more is read, and what was read is answered first.
        let over = clock.now() >= front.last_reads.get().of(why);
        let done = !self.reader.holds(life.stage()) && !self.reader.is_behind();
        if door.borrow().empties() && over && done {
            return Happens::Stop { unread: false }.into();
        }
        let _idle = front.budget.idle(why, since, &shed);
        // A client that has just come is about to say something.
        let close_from = self.close_from.max(if why == Idleness::New { since + FIRST_WORD } else { since });
        let closed = async {
            let wished = door.wait_for(|door| door.empties()).await.is_ok();
            clock.sleep_until(close_from.min(front.last.get())).await;
            wished
        };
        tokio::select! {
            biased;
            heard = self.reader.hear(life.stage()) => heard,
            () = shed.notified() => {
                let unread = self.unread(life.stage()).await;
                if unread {
                    // It was asked to make room, and still is once that is answered.
                    shed.notify_one();
                }
                Happens::Shed { unread }.into()
            }
            _ = closed => {
                let last = front.last.get().min(since + LAST_MESSAGE);
                let begun = !self.reader.framer.is_empty() && clock.now() < last;
                let unread = self.unread(life.stage()).await;
                self.close_from = if begun { clock.now() + LOOK } else { self.close_from };
                Happens::Stop { unread: unread || begun }.into()
            }
            () = clock.sleep_until(life.due()) => {
                let unread = self.unread(life.stage()).await;
                Happens::Due { unread, begun: !self.reader.framer.is_empty() }.into()
            }
        }
    }

    /// Whether something lies there that has not been taken up: a query that was read is lost if its connection ends,
    /// and one that was not has to be sent again. The kernel is asked itself, for the reactor has not yet heard of what
    /// came a moment ago. After it the reactor knows.
    async fn unread(&mut self, stage: Stage) -> bool {
        if self.reader.holds(stage) {
            return true;
        }
        if !self.reader.may_read() {
            // It waits for memory in the middle of a message.
            return false;
        }
        let mut first = [std::mem::MaybeUninit::uninit()];
        let unread = matches!(SockRef::from(self.writer.as_ref()).peek(&mut first), Ok(1..));
        if unread {
            tokio::task::yield_now().await;
        }
        unread
    }

    /// The last answers of a stop were due.
    fn late(&self) -> bool {
        self.front.clock.now() >= self.front.last.get()
    }

    /// The connection is to end so, since what came on it made no sense.
    fn flawed(&self, end: End) -> bool {
        self.reader.error.is_some_and(|(error, _)| error.end == end)
    }

    /// Says why the connection ends, and ends it.
    async fn cut_off(&mut self, error: ProtocolError) -> Result<End, End> {
        let mut out = Vec::new();
        pg::put_error(&mut out, Severity::Fatal, error.code, error.text, None);
        let clock = self.front.clock;
        self.reader.fail(error);
        self.write(&out[..], clock.now()).await?;
        // Closed with bytes unread, the connection would be reset and the client not see the reason.
        let _ = self.writer.shutdown().await;
        let _idle = self.front.budget.idle(Idleness::CutOff, clock.now(), &self.shed);
        let by = clock.now() + LINGER;
        tokio::select! {
            () = self.reader.discard() => {}
            () = self.shed.notified() => {}
            () = clock.sleep_until(by) => {}
        }
        Ok(error.end)
    }

    /// Writes all of it, or ends the connection of a client that does not take it.
    async fn write(&mut self, mut bytes: impl Buf, end: Time) -> Result<(), End> {
        // A request that waited behind others may end long after its time.
        let by = end.max(self.front.clock.now()) + TAKING;
        tokio::select! {
            biased;
            written = self.writer.write_all_buf(&mut bytes) => written.map_err(|_| End::ClientLeft),
            () = self.front.clock.sleep_until(by) => Err(End::ClientStuck),
        }
    }

    /// Answers a query, and says what it was of use for.
    async fn query(&mut self, text: Bytes, at: Time) -> Result<Used, End> {
        let (mut out, mut used) = (Vec::new(), Used::Own);
        let flawed = if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            // So the front learns whether to send clients here.
            if self.door.borrow().admits() {
                pg::put_empty(&mut out);
            } else {
                pg::put_error(&mut out, Severity::Error, "57P03", "this gateway is being drained", None);
            }
            None
        } else if let Some(setting) = set::read(&text) {
            self.set(setting).map(|tag| pg::put_complete(&mut out, tag)).err()
        } else {
            match self.read_statement(&text, at) {
                Ok(taken) => return self.answer(taken).await.map(|()| Used::Request),
                Err(flawed) => {
                    used = Used::Nothing;
                    Some(flawed)
                }
            }
        };
        if let Some((code, cause)) = flawed {
            self.front.counters.bad_statements.add();
            pg::put_error(&mut out, Severity::Error, code, &cause, None);
        }
        pg::put_ready(&mut out);
        self.write(&out[..], at).await?;
        Ok(used)
    }

    /// Carries out what may be set here: the session's tokens. All other settings have no effect.
    fn set(&mut self, setting: Setting) -> Result<&'static str, Flawed> {
        match &setting {
            Setting::Mark(text) if self.front.facade.keeps_sessions() => {
                let set = self.front.facade.set_tokens(&mut self.marks, text);
                set.map_err(|cause| ("22023", cause.to_string()))?;
            }
            Setting::NoMark | Setting::Discard => self.marks.clear(),
            Setting::Mark(_) | Setting::Other | Setting::Reset => {}
        }
        Ok(setting.tag())
    }

    /// The session of a request, if its class carries sessions, with the tokens that its comment or its
    /// connection brought.
    fn visit(&self, place: usize, statement: &Statement, at: Time) -> Result<Option<Visit>, Flawed> {
        let facade = &self.front.facade;
        if !facade.carries(place) {
            return Ok(None);
        }
        let name = statement.session.as_ref().unwrap_or(&statement.name);
        let brought =
            statement.mark.iter().flat_map(|text| text.split('+')).filter(|token| !token.is_empty());
        let tokens: Vec<&str> = brought.chain(self.marks.of(statement.cluster)).collect();
        facade.visit(at, statement.cluster, name, &tokens).map_err(|cause| ("22023", cause.to_string()))
    }

    fn read_statement(&self, text: &Bytes, at: Time) -> Result<Taken, Flawed> {
        let statement = Statement::parse(text).map_err(|cause| ("42601", cause.to_string()))?;
        let named = self.front.facade.find(at, &statement.class, statement.keyed);
        let unusable = |code: &'static str, cause: &str| Err((code, cause.to_string()));
        let Some((place, class)) = named else { return unusable("22023", "no such class") };
        if statement.write != (class.need == Need::Write) {
            return unusable("42601", "the statement does not fit its class");
        }
        if matches!(class.effect, Effect::Keyed { .. }) && !statement.keyed {
            return unusable("22023", "its class asks for a key, and the comment names no k");
        }
        // Two tries' time would be generous; no client of the class waits longer than its deadline.
        let wait = (statement.wait_ms as Time).saturating_mul(1000);
        if wait > self.front.facade.longest_wait(at, &class.name).saturating_mul(2) {
            return unusable("22023", "its class gives no request so long a time");
        }
        if !self.front.facade.may_serve(statement.cluster) {
            return unusable("22023", "no such cluster");
        }
        let session = self.visit(place, &statement, at)?;
        let Some(claim) = self.front.claim(&statement.id) else {
            return unusable("22023", "another open request has this id");
        };
        let reads_session = class.need == Need::Session;
        let request = Request {
            class: place,
            group: statement.cluster,
            until: at.saturating_add(wait),
            repeat: statement.repeat,
            at,
            after: statement.after_ms.filter(|_| reads_session).map(|ms| (ms as Time).saturating_mul(1000)),
            session,
        };
        Ok(Taken { request, statement: Rc::new(statement), _claim: claim })
    }

    /// Sees a request to its one final answer.
    async fn answer(&mut self, taken: Taken) -> Result<(), End> {
        let until = taken.request.until;
        let (mut out, given) = (Vec::new(), self.decide(&taken).await?);
        let counters = &self.front.counters;
        log::debug!(
            "request id={} class={} cluster={} end={} took={} left={}",
            taken.statement.id,
            taken.statement.class,
            taken.statement.cluster,
            given.word(),
            self.front.clock.now() - taken.request.at,
            until - self.front.clock.now(),
        );
        match given {
            Final::Given(Given { answer: GivenAnswer::Flow(flow), _hold }) => {
                counters.served.add();
                return self.pass_on(*flow, &taken).await;
            }
            Final::Given(Given { answer: GivenAnswer::Whole(Answer::Row(row)), _hold }) => {
                counters.served.add();
                self.front.put_mark(&mut out, &taken);
                pg::put_ready(&mut out);
                let [first, second, third] =
                    [0, 1, 2].map(|place| row.get(place).cloned().unwrap_or_default());
                let whole = first.chain(second).chain(third).chain(Bytes::from(out));
                return self.write(whole, until).await;
            }
            Final::Given(Given { answer: GivenAnswer::Whole(Answer::Error(code)), _hold }) => {
                counters.bad_statements.add();
                pg::put_error(
                    &mut out,
                    Severity::Error,
                    &code,
                    "the database cannot use the statement",
                    None,
                );
            }
            Final::Refused { wait } => {
                counters.refused.add();
                let hint = (wait > 0).then(|| (wait / 1000).max(1).to_string());
                let text = "too busy for this request now";
                pg::put_error(&mut out, Severity::Error, "53300", text, hint.as_deref());
            }
            Final::Failed => {
                counters.failed.add();
                let text = "no answer in time; it may have had an effect";
                pg::put_error(&mut out, Severity::Error, "40003", text, None);
                // It may have written: what its session reads next must be as new as this moment.
                self.front.put_mark(&mut out, &taken);
            }
        }
        pg::put_ready(&mut out);
        self.write(&out[..], until).await
    }

    /// Passes a long row on as it comes. Cut off in the middle, the connection ends, so that its client can tell.
    async fn pass_on(&mut self, mut flow: Flow, taken: &Taken) -> Result<(), End> {
        let (mut out, front) = (Vec::new(), self.front.clone());
        flow.pass(&mut self.writer).await?;
        let host = flow.host();
        let (complete, said) = flow.end().await?;
        front.facade.heard(front.clock.now(), host, said);
        out.extend_from_slice(&complete);
        front.put_mark(&mut out, taken);
        pg::put_ready(&mut out);
        self.write(&out[..], front.clock.now()).await
    }

    async fn decide(&mut self, taken: &Taken) -> Result<Final, End> {
        let front = self.front.clone();
        front.counters.requests.add();
        if self.late() {
            return Ok(Final::Refused { wait: 0 });
        }
        let mut ticket = front.facade.admit(taken.request.clone());
        let (mut asked, mut given, mut left) = (Asked::default(), None, End::ClientLeft);
        let mut attempt: Option<JoinHandle<Option<Given>>> = None;
        loop {
            // The order matters: what a host served goes before what the decisions say, and both before
            // the client's leaving, which withdraws the request with the ticket.
            let event = tokio::select! {
                biased;
                ended = finished(&mut attempt) => {
                    (attempt, given) = (None, ended);
                    Event::Returned { owed: given.is_some() }
                }
                decision = ticket.pick() => match decision {
                    // Its own task: a keyed write that failed for its client may still be out.
                    Decision::Send(send) => {
                        let sent = front.hosts.clone().attempt(send, taken.statement.clone());
                        attempt = Some(tokio::task::spawn_local(sent));
                        Event::Ordered
                    }
                    Decision::Refuse { wait } => Event::Refused { wait },
                    Decision::Fail => Event::Failed,
                },
                end = self.reader.left() => {
                    left = end;
                    Event::Left
                }
            };
            match (asked.on(event), given.take()) {
                (None, _) => {}
                (Some(Last::Given), Some(given)) => return Ok(Final::Given(given)),
                (Some(Last::Refused { wait }), _) => return Ok(Final::Refused { wait }),
                (Some(Last::Failed | Last::Given), _) => return Ok(Final::Failed),
                (Some(Last::Withdrawn), _) => {
                    front.counters.left.add();
                    return Err(left);
                }
            }
        }
    }
}

/// Code and cause of a statement that cannot be used.
type Flawed = (&'static str, String);

/// A request that was taken in.
struct Taken {
    request: Request,
    statement: Rc<Statement>,
    _claim: Claim,
}

/// How it ends for its client.
enum Final {
    Given(Given),
    Refused { wait: Time },
    Failed,
}

impl Final {
    fn word(&self) -> &'static str {
        match self {
            Final::Given(_) => "given",
            Final::Refused { .. } => "refused",
            Final::Failed => "failed",
        }
    }
}

/// Waits for the attempt that is out, if there is one.
async fn finished(attempt: &mut Option<JoinHandle<Option<Given>>>) -> Option<Given> {
    match attempt {
        Some(task) => task.await.unwrap_or_default(),
        None => std::future::pending().await,
    }
}

fn put_unsupported(out: &mut Vec<u8>) {
    pg::put_error(out, Severity::Error, "0A000", "only simple queries are served", None);
}
