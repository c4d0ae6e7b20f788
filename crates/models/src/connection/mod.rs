//! Model `connection`: requests one after the other at one host, on connections that are used again. The machines of
//! an attempt and of a connection at rest are the gateway's; the host, the kernel and the bytes on the way are the
//! world's.

use crate::check::{check, Report, World};
use crate::coverage::took;
use crate::Size;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::{ConnectionDisposition, Event, Exchange, Stage};
use petrelgauge_lifecycle::idle_connection::{
    is_copy, IdleConnection, IdlePolicy, SocketState, COPY_WINDOW, SETTLE,
};
use petrelgauge_policy::Time;

/// What a host has written and the gateway has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Bytes {
    /// The first part of an answer to this request.
    Part,
    /// The beginning of a long row for this request.
    Row(u8),
    /// The (rest of the) answer to this request; `tells`: with its position.
    Answer { request: u8, tells: bool },
    /// Noise, which no answer is.
    Noise,
    /// The end of the connection.
    End,
}

/// A connection: what the host has to answer on it, what lies unread, and what the gateway keeps of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Line {
    /// Requests written and not answered, by number.
    owed: Vec<u8>,
    unread: Vec<Bytes>,
    /// What the gateway read of the answer last given, and the host wrote last: for copies.
    last: Option<u64>,
    wrote: Option<(u8, bool, Time)>,
    recent: bool,
    closed_by_host: bool,
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// The next request goes out, on a connection that rests if one will do.
    Send,
    /// What the attempt waits for happens: it connects, is greeted, is written.
    Goes,
    /// The connection is refused, or breaks.
    Breaks,
    /// There is no descriptor for it, or no memory for what is read.
    Lacks,
    /// The host turns the connection away, or sends what makes no sense for a greeting.
    Unwelcome {
        /// With an error of its own.
        turned_away: bool,
    },
    /// It connects, is ready or answers at the very limit.
    GoesLate,
    /// The host writes the beginning of an answer.
    Begins,
    /// The same, so late that the attempt's time is over before the answer must be whole.
    BeginsLate,
    /// The host begins a long row.
    Flows,
    /// The host answers with what makes no sense.
    Spoils,
    /// The host answers; `tells`: with its position.
    Answers {
        /// With its position.
        tells: bool,
    },
    /// The host writes its last answer once more, behind it.
    Copies,
    /// The host writes noise behind an answer.
    Noise,
    /// The host closes.
    HostCloses,
    /// The gateway reads the next of what lies there.
    Reads,
    /// The decisions call the attempt off.
    CallOff,
    /// Nobody wants the attempt any more, and nothing of it was written.
    Unwanted,
    /// Time passes up to the attempt's limit.
    Due,
    /// Time passes.
    Waits(Time),
}

/// The world.
#[derive(Clone, Debug)]
struct Connections {
    now: Time,
    next: u8,
    most: u8,
    attempt: Option<(u8, Exchange, Option<Line>)>,
    /// What the present attempt has been answered.
    answered: Option<u8>,
    began: bool,
    resting: Option<(Time, Line)>,
    reports: u8,
    /// Time has passed since the last report: once is enough between two requests.
    waited: bool,
    broken: Option<&'static str>,
}

const IDLE_POLICY: IdlePolicy = IdlePolicy { span: 22_000_000 };
const UNTIL: Time = 2_000_000;
const CONNECT: Time = 250_000;

const OWN: &str = "no answer is served that belongs to another request";
const UNREAD: &str = "a connection with unread bytes is never used again";
const OLD: &str = "no connection is used that its host may be closing for age";
const ONCE: &str = "every attempt is reported exactly once";
const EARLY: &str = "no attempt is given up as stalled before an answer has begun";
const CLOSED: &str = "an attempt without an answer has its connection closed when it is told";
const ENDS: &str = "nothing waits for ever";

impl Connections {
    fn begin(&mut self) {
        let request = self.next;
        self.next += 1;
        (self.answered, self.began) = (None, false);
        let line = self.reuse();
        let (reused, now) = (line.is_some(), self.now);
        self.attempt = Some((request, Exchange::new(reused, now, now + CONNECT, now + UNTIL), line));
    }

    fn reuse(&mut self) -> Option<Line> {
        let (since, mut line) = self.resting.take()?;
        let one = IdleConnection { since, detects_copies: line.last.is_some() };
        if IDLE_POLICY.choose(self.now, [one].into_iter()).is_none() {
            self.resting = Some((since, line));
            return None;
        }
        let look = match (line.unread.first(), line.closed_by_host) {
            (Some(Bytes::End), _) | (None, true) => SocketState::Closed,
            (Some(_), _) => SocketState::UnexpectedBytes,
            (None, false) => SocketState::Quiet,
        };
        line.recent = IDLE_POLICY.may_use(self.now, one, look).ok()?;
        if !line.unread.is_empty() {
            self.broken = Some(UNREAD);
        }
        if self.now - since > IDLE_POLICY.span {
            self.broken = Some(OLD);
        }
        Some(line)
    }

    /// Tells the attempt, puts its connection away and reports it when it has ended.
    fn tell(&mut self, event: Event) {
        let Some((request, mut life, line)) = self.attempt.take() else { return };
        let before = life.stage();
        life.on(self.now, event);
        took(before, event, life.stage());
        if life.ended().is_none() {
            self.attempt = Some((request, life, line));
            return;
        }
        if self.answered.is_some() {
            life.host_is_ready();
        }
        let unread = line.as_ref().is_some_and(|line| {
            // What came in the same read as the answer lies in the framer; a copy or noise may.
            line.unread.first().is_some_and(|bytes| *bytes != Bytes::End)
        });
        let Some((away, told)) = life.finish(unread) else {
            self.broken = Some(ONCE);
            return;
        };
        self.reports += 1;
        self.waited = false;
        if matches!(told.end, End::Served | End::Flows) && self.answered != Some(request) {
            self.broken = Some(OWN);
        }
        if told.end == End::HostStalled && !self.began {
            self.broken = Some(EARLY);
        }
        let owes = line.as_ref().is_some_and(|line| line.owed.contains(&request));
        if !told.end.is_answer()
            && away == ConnectionDisposition::Reuse
            && (owes || told.end != End::NotWanted)
        {
            self.broken = Some(CLOSED);
        }
        if let (ConnectionDisposition::Reuse, Some(line)) = (away, line) {
            if unread {
                self.broken = Some(UNREAD);
            }
            // One connection rests at most in this world; the older one is closed.
            self.resting = Some((self.now, line));
        }
    }

    fn line(&mut self) -> Option<&mut Line> {
        let used = self.attempt.as_mut().and_then(|(_, _, line)| line.as_mut());
        match used {
            Some(line) => Some(line),
            None => self.resting.as_mut().map(|(_, line)| line),
        }
    }

    fn stage(&self) -> Option<Stage> {
        self.attempt.as_ref().map(|(_, life, _)| life.stage())
    }

    fn due(&self) -> Time {
        self.attempt.as_ref().map_or(self.now, |(_, life, _)| life.due())
    }

    /// The bytes of an answer, hashed as the gateway does, if they tell a position.
    fn hash(request: u8, tells: bool) -> Option<u64> {
        tells.then_some(u64::from(request) + 1)
    }
}

impl World for Connections {
    type Move = Move;

    const PROPERTIES: &'static [&'static str] = &[OWN, UNREAD, OLD, ONCE, EARLY, CLOSED, ENDS];

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        let used = self.attempt.as_ref().and_then(|(_, _, line)| line.as_ref());
        let line = used.or(self.resting.as_ref().map(|(_, line)| line));
        match self.stage() {
            None => {
                if self.next < self.most {
                    moves.push(Move::Send);
                    let spans = [SETTLE / 2, SETTLE, COPY_WINDOW, IDLE_POLICY.span + 1];
                    let rests = self.resting.iter().filter(|_| !self.waited);
                    moves.extend(rests.flat_map(|_| spans).map(Move::Waits));
                }
            }
            Some(stage) => {
                moves.extend([Move::CallOff, Move::Due]);
                moves.push(if stage == Stage::Writing { Move::Unwanted } else { Move::Lacks });
                if matches!(stage, Stage::Greeting { .. }) {
                    moves.extend([
                        Move::Unwelcome { turned_away: true },
                        Move::Unwelcome { turned_away: false },
                    ]);
                    moves.push(Move::GoesLate);
                }
                if !matches!(stage, Stage::Waiting | Stage::Answering { .. }) {
                    moves.extend([Move::Goes, Move::Breaks]);
                } else if line.is_some_and(|line| line.unread.is_empty()) {
                    moves.push(Move::Breaks);
                }
            }
        }
        if let Some(line) = line.filter(|line| !line.closed_by_host) {
            let reading = matches!(self.stage(), Some(Stage::Waiting | Stage::Answering { .. }));
            if reading && !line.unread.is_empty() {
                moves.push(Move::Reads);
            }
            if line.unread.len() < 2 {
                if !line.owed.is_empty() {
                    moves.extend([Move::Answers { tells: true }, Move::Answers { tells: false }]);
                    moves.push(Move::Spoils);
                    if line.unread.is_empty() {
                        moves.push(Move::Flows);
                    }
                    if !line.unread.contains(&Bytes::Part) && !self.began {
                        moves.extend([Move::Begins, Move::BeginsLate]);
                    }
                }
                if let Some((_, tells, at)) = line.wrote {
                    // What comes behind an answer comes within the rest; a copy that can be told may be later.
                    let within = if tells { COPY_WINDOW } else { SETTLE };
                    if self.now - at < within {
                        moves.push(Move::Copies);
                    }
                    if self.now - at < SETTLE && line.owed.is_empty() {
                        moves.push(Move::Noise);
                    }
                }
                if line.owed.is_empty() {
                    moves.push(Move::HostCloses);
                }
            }
        }
        moves
    }

    #[expect(clippy::too_many_lines, reason = "to be split by its steps")]
    fn play(&mut self, event: &Move) {
        let now = self.now;
        match event {
            Move::Send => self.begin(),
            Move::Waits(span) => (self.now, self.waited) = (now + span, true),
            Move::CallOff => self.tell(Event::Cancelled),
            Move::Unwanted => self.tell(Event::Unwanted),
            Move::Lacks => {
                let connecting = matches!(self.stage(), Some(Stage::Connecting { .. }));
                self.tell(if connecting { Event::NotTried(End::NoDescriptor) } else { Event::NoMemory });
            }
            Move::Unwelcome { turned_away: true } => self.tell(Event::Rejected(End::QueueFull)),
            Move::Unwelcome { turned_away: false } => self.tell(Event::Malformed),
            Move::GoesLate => {
                // The time of the whole attempt is over when the host is ready: the loop was held up.
                self.now = self.now.max(1_000_000 + UNTIL) + UNTIL;
                self.tell(Event::Greeted);
            }
            Move::Due => {
                self.now = self.due().max(now);
                self.tell(Event::Due);
            }
            Move::Goes => match self.stage() {
                Some(Stage::Connecting { .. }) => {
                    if let Some((_, _, line)) = &mut self.attempt {
                        *line = Some(Line {
                            owed: Vec::new(),
                            unread: Vec::new(),
                            last: None,
                            wrote: None,
                            recent: false,
                            closed_by_host: false,
                        });
                    }
                    self.tell(Event::Connected);
                }
                Some(Stage::Greeting { .. }) => self.tell(Event::Greeted),
                _ => {
                    let number = self.attempt.as_ref().map_or(0, |(request, ..)| *request);
                    if let Some(line) = self.line() {
                        line.owed.push(number);
                    }
                    self.tell(Event::Written);
                }
            },
            Move::Breaks => {
                let refused = matches!(self.stage(), Some(Stage::Connecting { .. }));
                self.tell(if refused { Event::Refused } else { Event::Broke });
            }
            Move::Spoils => {
                if let Some(line) = self.line() {
                    line.owed.remove(0);
                    line.unread.push(Bytes::Noise);
                }
            }
            Move::Begins | Move::BeginsLate => {
                if *event == Move::BeginsLate {
                    self.now = self.due().max(now + 100_000) - 100_000;
                }
                if let Some(line) = self.line() {
                    line.unread.push(Bytes::Part);
                }
            }
            Move::Flows => {
                // It goes on behind the beginning: the host still owes the rest.
                if let Some(line) = self.line() {
                    line.unread.push(Bytes::Row(line.owed[0]));
                }
            }
            Move::Answers { tells } => {
                if let Some(line) = self.line() {
                    let request = line.owed.remove(0);
                    line.unread.push(Bytes::Answer { request, tells: *tells });
                    line.wrote = Some((request, *tells, now));
                }
            }
            Move::Copies => {
                if let Some(line) = self.line() {
                    if let Some((request, tells, _)) = line.wrote.take() {
                        line.unread.push(Bytes::Answer { request, tells });
                    }
                }
            }
            Move::Noise => {
                if let Some(line) = self.line() {
                    line.wrote = None;
                    line.unread.push(Bytes::Noise);
                }
            }
            Move::HostCloses => {
                if let Some(line) = self.line() {
                    line.closed_by_host = true;
                    line.unread.push(Bytes::End);
                }
            }
            Move::Reads => {
                let Some(line) = self.line() else { return };
                match line.unread.remove(0) {
                    Bytes::Part => {
                        self.began = true;
                        self.tell(Event::Began);
                    }
                    Bytes::Row(request) => {
                        (self.answered, self.began) = (Some(request), true);
                        self.tell(Event::Flows);
                    }
                    Bytes::Noise => self.tell(Event::Malformed),
                    Bytes::End => self.tell(Event::Broke),
                    Bytes::Answer { request, tells } => {
                        let this = Connections::hash(request, tells);
                        let last = std::mem::replace(&mut line.last, this);
                        let copy = is_copy(line.recent, last, this);
                        (self.answered, self.began) = (Some(request), true);
                        self.tell(Event::Answered { end: End::Served, copy });
                    }
                }
            }
        }
    }

    fn told(&self, event: &Move) -> String {
        let at = self.now as f64 / 1e6;
        let what = match event {
            Move::Send if self.resting.is_some() => "a request is to go out; a connection rests".to_string(),
            Move::Send => "a request is to go out; no connection rests".into(),
            Move::Goes => match self.stage() {
                Some(Stage::Connecting { .. }) => "the connection comes up".into(),
                Some(Stage::Greeting { .. }) => "the host is ready".into(),
                _ => "the request is written whole".into(),
            },
            Move::Breaks => "the connection breaks or is refused".into(),
            Move::Lacks => "there is no descriptor, or no memory, for it".into(),
            Move::Unwelcome { turned_away: true } => "the host turns the connection away".into(),
            Move::Unwelcome { turned_away: false } => "the host sends what is no greeting".into(),
            Move::GoesLate => "the host is ready when the time is over".into(),
            Move::Begins => "the host writes the beginning of an answer".into(),
            Move::BeginsLate => {
                "the host writes the beginning of an answer when the time is nearly over".into()
            }
            Move::Flows => "the host begins a long row".into(),
            Move::Spoils => "the host answers with what makes no sense".into(),
            Move::Answers { tells: true } => "the host answers and tells its position".into(),
            Move::Answers { tells: false } => "the host answers and tells no position".into(),
            Move::Copies => "the host writes its last answer once more".into(),
            Move::Noise => "the host writes noise behind its answer".into(),
            Move::HostCloses => "the host closes the connection".into(),
            Move::Reads => "the gateway reads what lies there next".into(),
            Move::CallOff => "the decisions call the attempt off".into(),
            Move::Unwanted => "nobody wants the attempt any more".into(),
            Move::Due => "the attempt's limit comes".into(),
            Move::Waits(span) => format!("{} ms pass", span / 1000),
        };
        format!("at {at:.3} s {what}")
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }

    fn broken_at_end(&self) -> Option<&'static str> {
        (self.attempt.is_some() || self.reports != self.most).then_some(ENDS)
    }
}

/// Plays it.
pub fn run(size: Size, path: &[String]) -> Report {
    let most = if size == Size::Small { 2 } else { 3 };
    let start = Connections {
        now: 1_000_000,
        next: 0,
        most,
        attempt: None,
        answered: None,
        began: false,
        resting: None,
        reports: 0,
        waited: false,
        broken: None,
    };
    check(start, path)
}
