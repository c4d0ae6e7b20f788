//! Model `connection`: consecutive requests to one host on reused connections. The state machines of an
//! attempt and of an idle connection are the gateway's own code; the host, the kernel and the bytes in flight
//! belong to the model.
//!
//! | file | concern |
//! | --- | --- |
//! | `attempt.rs` | the gateway's side: choosing a connection, stepping the attempt, checking its result |
//! | `steps.rs` | the steps that are possible in a state |
//! | `apply.rs` | what each step changes |

mod apply;
mod attempt;
mod steps;

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_lifecycle::exchange::{AttemptState, Exchange};
use petrelgauge_lifecycle::idle_connection::IdlePolicy;
use petrelgauge_policy::Time;

/// Bytes that a host has written and the gateway has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Bytes {
    /// The first part of an answer.
    Part,
    /// The beginning of a long row for this request.
    Row(u8),
    /// The (rest of the) answer to this request.
    Answer { request: u8, has_position: bool },
    /// Bytes that form no answer.
    Garbage,
    /// The end of the connection.
    End,
}

/// The last answer of a host, which it may write again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WrittenAnswer {
    request: u8,
    has_position: bool,
    at: Time,
}

/// A connection, with the state of the host and of the gateway on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Connection {
    /// Numbers of the requests that were written and not answered.
    unanswered: Vec<u8>,
    unread: Vec<Bytes>,
    /// Hash of the last answer that the gateway read, if duplicates of it can be detected.
    last_answer: Option<u64>,
    /// The host's last answer, unless something else was written after it.
    written: Option<WrittenAnswer>,
    /// Whether the gateway expects a duplicate of the last answer.
    copy_expected: bool,
    closed_by_host: bool,
}

/// An attempt in flight, with its connection once that is established.
#[derive(Clone, Debug)]
struct Attempt {
    request: u8,
    exchange: Exchange,
    connection: Option<Connection>,
}

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The next request is sent, on an idle connection if one is suitable.
    Send,
    /// The attempt makes progress: it is connected, the host is ready, or the request is written.
    Proceed,
    /// The connection is refused, or breaks.
    Break,
    /// There is no descriptor for the connection, or no memory for the answer.
    ResourcesExhausted,
    /// The host does not accept the connection.
    GreetingFails {
        /// Whether it rejects the connection with an error; otherwise it violates the protocol.
        rejected: bool,
    },
    /// The host is ready after the attempt's deadline.
    GreetedLate,
    /// The host writes the beginning of an answer.
    BeginAnswer,
    /// The same, so late that the attempt's deadline precedes the timeout of the answer.
    BeginAnswerLate,
    /// The host begins a long row.
    BeginRow,
    /// The host answers with bytes that form no answer.
    AnswerMalformed,
    /// The host answers.
    Answer {
        /// Whether with its position.
        has_position: bool,
    },
    /// The host writes its last answer again.
    DuplicateAnswer,
    /// The host writes garbage after an answer.
    WriteGarbage,
    /// The host closes the connection.
    HostCloses,
    /// The gateway reads the next of the unread bytes.
    Read,
    /// The router cancels the attempt.
    Cancel,
    /// The attempt is no longer wanted, and nothing of it has been written.
    Unwanted,
    /// Time passes until the attempt times out.
    Due,
    /// Time passes.
    Wait(Time),
}

/// An idle connection.
#[derive(Clone, Debug)]
struct IdleSince {
    since: Time,
    connection: Connection,
}

/// The state of the model.
#[derive(Clone, Debug)]
struct Connections {
    now: Time,
    next_request: u8,
    max_requests: u8,
    attempt: Option<Attempt>,
    /// The request whose answer the current attempt has received.
    answered: Option<u8>,
    /// Whether the answer of the current attempt has begun.
    answer_begun: bool,
    idle: Option<IdleSince>,
    /// Number of reported attempts.
    reports: u8,
    /// Whether time has passed since the last report. It may pass once between two requests.
    has_waited: bool,
    violated: Option<&'static str>,
}

const IDLE_POLICY: IdlePolicy = IdlePolicy { max_idle: 22_000_000 };
/// Deadline of each attempt, from its start (microseconds).
const ATTEMPT_TIMEOUT: Time = 2_000_000;
/// Connect timeout of an attempt (microseconds).
const CONNECT_TIMEOUT: Time = 250_000;
/// Clock time at the start (microseconds).
const START: Time = 1_000_000;

const OWN_ANSWER: &str = "no answer is served that belongs to another request";
const UNREAD: &str = "a connection with unread bytes is never used again";
const TOO_OLD: &str = "no connection is used that its host may be closing for age";
const ONCE: &str = "every attempt is reported exactly once";
const STALLED_EARLY: &str = "no attempt is given up as stalled before an answer has begun";
const CLOSED: &str = "the connection of an attempt without an answer is closed before its end is reported";
const ENDS: &str = "nothing waits for ever";

impl Connections {
    fn new(max_requests: u8) -> Connections {
        Connections {
            now: START,
            next_request: 0,
            max_requests,
            attempt: None,
            answered: None,
            answer_begun: false,
            idle: None,
            reports: 0,
            has_waited: false,
            violated: None,
        }
    }

    /// The connection of the attempt, or the idle one.
    fn connection(&self) -> Option<&Connection> {
        let used = self.attempt.as_ref().and_then(|attempt| attempt.connection.as_ref());
        used.or(self.idle.as_ref().map(|idle| &idle.connection))
    }

    fn connection_mut(&mut self) -> Option<&mut Connection> {
        let used = self.attempt.as_mut().and_then(|attempt| attempt.connection.as_mut());
        match used {
            Some(connection) => Some(connection),
            None => self.idle.as_mut().map(|idle| &mut idle.connection),
        }
    }

    fn state(&self) -> Option<AttemptState> {
        self.attempt.as_ref().map(|attempt| attempt.exchange.state())
    }

    fn timeout_at(&self) -> Time {
        self.attempt.as_ref().map_or(self.now, |attempt| attempt.exchange.timeout_at())
    }
}

impl World for Connections {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] =
        &[OWN_ANSWER, UNREAD, TOO_OLD, ONCE, STALLED_EARLY, CLOSED, ENDS];

    fn steps(&self) -> Vec<Step> {
        self.possible_steps()
    }

    fn apply(&mut self, step: &Step) {
        self.apply_step(step);
    }

    fn describe(&self, step: &Step) -> String {
        let at = self.now as f64 / 1e6;
        let what = match step {
            Step::Send if self.idle.is_some() => "a request is sent; there is an idle connection".to_string(),
            Step::Send => "a request is sent; there is no idle connection".into(),
            Step::Proceed => match self.state() {
                Some(AttemptState::Connecting { .. }) => "the connection is established".into(),
                Some(AttemptState::Greeting { .. }) => "the host is ready".into(),
                _ => "the request is written completely".into(),
            },
            Step::Break => "the connection breaks or is refused".into(),
            Step::ResourcesExhausted => "there is no descriptor, or no memory, for it".into(),
            Step::GreetingFails { rejected: true } => "the host rejects the connection".into(),
            Step::GreetingFails { rejected: false } => "the host breaks the protocol in its greeting".into(),
            Step::GreetedLate => "the host is ready after the deadline".into(),
            Step::BeginAnswer => "the host writes the beginning of an answer".into(),
            Step::BeginAnswerLate => "the host writes the beginning of an answer near the deadline".into(),
            Step::BeginRow => "the host begins a long row".into(),
            Step::AnswerMalformed => "the host answers with bytes that form no answer".into(),
            Step::Answer { has_position: true } => "the host answers with its position".into(),
            Step::Answer { has_position: false } => "the host answers without its position".into(),
            Step::DuplicateAnswer => "the host writes its last answer again".into(),
            Step::WriteGarbage => "the host writes garbage after its answer".into(),
            Step::HostCloses => "the host closes the connection".into(),
            Step::Read => "the gateway reads the next unread bytes".into(),
            Step::Cancel => "the router cancels the attempt".into(),
            Step::Unwanted => "the attempt is no longer wanted".into(),
            Step::Due => "the attempt times out".into(),
            Step::Wait(span) => format!("{} ms pass", span / 1000),
        };
        format!("at {at:.3} s {what}")
    }

    fn violated(&self) -> Option<&'static str> {
        self.violated
    }

    fn violated_at_end(&self) -> Option<&'static str> {
        (self.attempt.is_some() || self.reports != self.max_requests).then_some(ENDS)
    }
}

/// Runs the model.
pub fn run(size: Size, path: &[String]) -> Report {
    let max_requests = if size == Size::Small { 2 } else { 3 };
    check(Connections::new(max_requests), path)
}
