//! The life of a client's connection, from its opening to its end.
//!
//! ```text
//! Opening --Opened--> Idle --Message(Query)--> Asking --Answered--> Idle
//!    |                 |                          |  \--Answered, unusable--> Pausing --Rested--> Idle
//!    +-----------------+--- Flawed --> CutOff     +--- Left --> Ended
//! ```
//!
//! What a client has sent goes before every wish to close its connection: whoever tells [`Event::Shed`],
//! [`Event::Stop`] or [`Event::Due`] says whether something lies there unread, and then it is read first. A connection
//! with a query open is not closed for age, room or the stop.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Span in which a client must say who it is (microseconds).
pub const STARTUP_TIMEOUT: Time = 2_000_000;
/// Span without an open query after which a client is closed (microseconds): others need its descriptor.
pub const IDLE_TIMEOUT: Time = 2_100_000;
/// Span in which a message that has begun must be whole (microseconds): a new client is owed a word within 3 s, one
/// that was served before may be slow.
pub const NEW_CLIENT_MESSAGE_TIMEOUT: Time = 2_500_000;
/// The same for a client that has been served.
pub const MESSAGE_TIMEOUT: Time = 6_000_000;
/// Span without a further byte of a message that has begun after which a client is cut off (microseconds): one that is
/// slow goes on, and one that stays without going on is owed an error within 3 s.
pub const STALL_TIMEOUT: Time = 2_500_000;
/// Pause after a statement that could not be used before the next is read, doubled for each in a row up to the longest
/// (microseconds): a client that sends the same again at once must not cost the others time.
pub const MIN_BACKOFF: Time = 1_000;
/// The longest such pause.
pub const MAX_BACKOFF: Time = 64_000;

/// Why a client can be closed to make room. In this order they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Idleness {
    /// It has been told why its connection ends, and may still read it.
    CutOff,
    /// It has asked for nothing yet.
    New,
    /// It has its answers.
    Answered,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The client has not said who it is.
    Opening,
    /// No query is open.
    Idle,
    /// A query is open.
    AwaitingAnswer,
    /// A statement could not be used; the next is read after a pause.
    Pausing {
        /// Clock time.
        until: Time,
    },
    /// It is told why it ends.
    CutOff,
    /// Over.
    Ended(End),
}

/// A message, by what it asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// Goodbye.
    Terminate,
    /// The end of a row of extended messages.
    Sync,
    /// A simple query.
    Query,
    /// Parse, Bind, Describe, Execute, Close.
    Extended,
    /// A function call.
    Function,
    /// Flush, and what belongs to a copy: neither is a sign of use.
    Ignored,
    /// None that there is.
    Unknown,
}

impl MessageKind {
    /// The kind of a message of this type.
    pub fn of(kind: u8) -> MessageKind {
        match kind {
            b'X' => MessageKind::Terminate,
            b'S' => MessageKind::Sync,
            b'Q' => MessageKind::Query,
            b'P' | b'B' | b'D' | b'E' | b'C' => MessageKind::Extended,
            b'F' => MessageKind::Function,
            b'H' | b'd' | b'c' | b'f' => MessageKind::Ignored,
            _ => MessageKind::Unknown,
        }
    }
}

/// What a query was of use for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueryOutcome {
    /// A request.
    Request,
    /// Something that the gateway answers by itself.
    AnsweredLocally,
    /// Nothing: it could not be used.
    Unusable,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It asks for encryption.
    Encryption,
    /// It wants something cancelled.
    Cancel,
    /// It said who it is.
    StartupReceived,
    /// A whole message.
    Message(MessageKind),
    /// Its query was answered.
    Answered(QueryOutcome),
    /// The pause is over.
    PauseOver,
    /// What it sent makes no sense, is too much or too long.
    ProtocolError(End),
    /// It has left, or does not take what it is told.
    Disconnected(End),
    /// It is asked to make room.
    Shed {
        /// Something lies there unread.
        unread: bool,
    },
    /// The gateway stops.
    Stop {
        /// Something lies there unread.
        unread: bool,
    },
    /// The time that [`Client::due`] named has come.
    Due {
        /// Something lies there unread.
        unread: bool,
        /// When the last part of a message that has begun and is not complete came, if there is one.
        partial_at: Option<Time>,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Wait for what comes next.
    Wait,
    /// Decline encryption.
    DeclineEncryption,
    /// Welcome it.
    AcceptStartup,
    /// Say that it may go on.
    Ready,
    /// Say that this is not served, and that it may go on, if so.
    Unsupported {
        /// It may go on at once.
        ready: bool,
    },
    /// Answer its query.
    Answer,
    /// Read nothing up to this time.
    Pause {
        /// Clock time.
        until: Time,
    },
    /// Say why it is cut off, and let it read that.
    CutOff {
        /// Its message is of no kind that there is; else the reason is known to whoever told it.
        unknown: bool,
        /// A message did not become whole in time.
        unfinished: bool,
    },
    /// Close it.
    Close(End),
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    stage: Stage,
    idle_by: Time,
    whole_by: Time,
    why: Idleness,
    since: Time,
    /// After an error in extended queries nothing counts up to Sync.
    skipping: bool,
    /// It has sent a statement that could be used.
    trusted: bool,
    /// Statements in a row that could not be used.
    flaws: u32,
}

impl Client {
    /// One that has just been accepted.
    pub fn new(now: Time) -> Client {
        Client {
            stage: Stage::Opening,
            idle_by: now + IDLE_TIMEOUT,
            whole_by: now + NEW_CLIENT_MESSAGE_TIMEOUT,
            why: Idleness::New,
            since: now,
            skipping: false,
            trusted: false,
            flaws: 0,
        }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Why, and since when, it could be closed to make room.
    pub fn idleness(&self) -> (Idleness, Time) {
        (self.why, self.since)
    }

    /// Clock time at which [`Event::Due`] is to be told while no query is open.
    pub fn due(&self) -> Time {
        match self.stage {
            Stage::Opening => self.since + STARTUP_TIMEOUT,
            _ => self.idle_by,
        }
    }

    /// Something happened. What does not fit the stage is nothing.
    pub fn on(&mut self, now: Time, event: Event) -> Action {
        let to_do = self.next(now, event);
        self.stage = match to_do {
            Action::AcceptStartup => Stage::Idle,
            Action::Answer => Stage::AwaitingAnswer,
            Action::Pause { until } => Stage::Pausing { until },
            Action::CutOff { .. } => Stage::CutOff,
            Action::Close(end) => Stage::Ended(end),
            Action::Wait | Action::DeclineEncryption | Action::Ready | Action::Unsupported { .. } => {
                match (self.stage, event) {
                    (Stage::AwaitingAnswer, Event::Answered(_))
                    | (Stage::Pausing { .. }, Event::PauseOver) => Stage::Idle,
                    (stage, _) => stage,
                }
            }
        };
        to_do
    }

    fn next(&mut self, now: Time, event: Event) -> Action {
        match (self.stage, event) {
            (Stage::Ended(end), _) => Action::Close(end),
            (Stage::CutOff, Event::Disconnected(end)) => Action::Close(end),
            (Stage::CutOff, _) => Action::Wait,
            (_, Event::Disconnected(end)) => Action::Close(end),

            (Stage::Opening, Event::Encryption) => Action::DeclineEncryption,
            // There is nothing to cancel by key: a client that no longer waits closes its connection.
            (Stage::Opening, Event::Cancel) => Action::Close(End::ClientTerminated),
            (Stage::Opening, Event::StartupReceived) => Action::AcceptStartup,
            (Stage::Opening, Event::Due { unread: false, .. }) => Action::Close(End::ClientSilent),

            (Stage::Idle, Event::Message(kind)) => self.message(now, kind),
            (Stage::Idle, Event::Due { unread: false, partial_at }) => match partial_at {
                None => Action::Close(End::ClientIdle),
                Some(at) => {
                    self.idle_by = self.whole_by.min(at + STALL_TIMEOUT);
                    match now >= self.idle_by {
                        true => Action::CutOff { unknown: false, unfinished: true },
                        false => Action::Wait,
                    }
                }
            },

            (Stage::AwaitingAnswer, Event::Stop { .. }) if mutant(Mutant::ClosedBeforeAnswer) => {
                Action::Close(End::Stopped)
            }
            (Stage::Idle, Event::Stop { .. }) if mutant(Mutant::ClosedUnread) => Action::Close(End::Stopped),
            (Stage::AwaitingAnswer, Event::Answered(outcome)) => self.answered(now, outcome),
            (Stage::Pausing { .. }, Event::PauseOver) => Action::Wait,

            (Stage::Opening | Stage::Idle, Event::ProtocolError(_)) => {
                Action::CutOff { unknown: false, unfinished: false }
            }
            (Stage::Opening | Stage::Idle, Event::Shed { unread: false }) => Action::Close(End::ClientShed),
            (Stage::Opening | Stage::Idle, Event::Stop { unread: false }) => Action::Close(End::Stopped),
            _ => Action::Wait,
        }
    }

    fn message(&mut self, now: Time, kind: MessageKind) -> Action {
        let to_do = match kind {
            MessageKind::Terminate => return Action::Close(End::ClientTerminated),
            MessageKind::Sync => {
                self.skipping = false;
                Action::Ready
            }
            _ if self.skipping => return Action::Wait,
            MessageKind::Query => return Action::Answer,
            MessageKind::Extended => {
                self.skipping = true;
                Action::Unsupported { ready: false }
            }
            MessageKind::Function => Action::Unsupported { ready: true },
            MessageKind::Ignored => return Action::Wait,
            MessageKind::Unknown => return Action::CutOff { unknown: true, unfinished: false },
        };
        self.used(now);
        to_do
    }

    fn answered(&mut self, now: Time, outcome: QueryOutcome) -> Action {
        self.trusted |= outcome == QueryOutcome::Request;
        self.used(now);
        self.flaws = match outcome {
            QueryOutcome::Request => 0,
            QueryOutcome::AnsweredLocally => self.flaws,
            QueryOutcome::Unusable => (self.flaws + 1).min(16),
        };
        match self.flaws {
            0 => Action::Wait,
            flaws => Action::Pause { until: now + (MIN_BACKOFF << (flaws - 1)).min(MAX_BACKOFF) },
        }
    }

    fn used(&mut self, now: Time) {
        (self.since, self.why, self.idle_by) = (now, Idleness::Answered, now + IDLE_TIMEOUT);
        if self.trusted {
            self.whole_by = now + MESSAGE_TIMEOUT;
        }
    }
}
