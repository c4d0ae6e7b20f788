//! The life of a client's connection, from its opening to its end.
//!
//! ```text
//! Opening --StartupReceived--> Idle --Message(Query)--> AwaitingAnswer --Answered--> Idle
//!    |                          |                          |  \--Answered(Unusable)--> Pausing --PauseOver--> Idle
//!    +--------------------------+--- ProtocolError --> CutOff  +--- Disconnected --> Ended
//! ```
//!
//! What a client has sent takes precedence over every reason to close its connection: whoever steps the machine with
//! [`Event::Shed`], [`Event::Stop`] or [`Event::Due`] says whether unread bytes are available, and those are read first.
//! A connection with an open query is not closed for its age, to free its descriptor or for a stop.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Time within which a client must send its startup message (microseconds).
pub const STARTUP_TIMEOUT: Time = 2_000_000;
/// Time without an open query after which a client is closed (microseconds): others need its descriptor.
pub const IDLE_TIMEOUT: Time = 2_100_000;
/// Time within which a message that has begun must be complete (microseconds) if the client is new: it has to get an
/// answer or an error within 3 s.
pub const NEW_CLIENT_MESSAGE_TIMEOUT: Time = 2_500_000;
/// The same for a client that has been served before, which may be slow.
pub const MESSAGE_TIMEOUT: Time = 6_000_000;
/// Time without a further byte of an incomplete message after which a client is cut off (microseconds): a slow client
/// may continue, one that has stopped has to get an error within 3 s.
pub const STALL_TIMEOUT: Time = 2_500_000;
/// Pause after an unusable statement before the next one is read (microseconds), doubled for each further one in a row:
/// a client that repeats it at once must not cost the others processor time.
pub const MIN_BACKOFF: Time = 1_000;
/// The longest such pause (microseconds).
pub const MAX_BACKOFF: Time = 64_000;
/// Unusable statements in a row are counted up to this (count), so that the shift can't overflow.
const MAX_COUNTED_UNUSABLE: u32 = 16;

/// Why a client may be closed to free its descriptor. Clients are closed in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Idleness {
    /// It has been sent the reason why its connection ends, and may still read it.
    CutOff,
    /// It has sent no query yet.
    New,
    /// All its queries have been answered.
    Answered,
}

/// The stage of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The client has not sent its startup message.
    Opening,
    /// No query is open.
    Idle,
    /// A query is open.
    AwaitingAnswer,
    /// A statement was unusable; the next one is read after a pause.
    Pausing {
        /// Clock time at which the pause is over.
        until: Time,
    },
    /// The client is sent the reason why its connection ends.
    CutOff,
    /// Over.
    Ended(End),
}

/// The kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// Terminate: the client closes its connection.
    Terminate,
    /// Sync: the end of a sequence of extended query messages.
    Sync,
    /// A simple query.
    Query,
    /// Parse, Bind, Describe, Execute, Close.
    Extended,
    /// A function call.
    Function,
    /// Flush, and what belongs to a copy: neither counts as use of the connection.
    Ignored,
    /// Not a message of the protocol.
    Unknown,
}

impl MessageKind {
    /// The kind of a message with this type byte.
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

/// What became of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueryOutcome {
    /// It was a request, which has its final answer.
    Request,
    /// The gateway answered it by itself.
    AnsweredLocally,
    /// It could not be used and was answered with an error.
    Unusable,
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The client asks for encryption.
    Encryption,
    /// The client asks to cancel a query of another connection.
    Cancel,
    /// The startup message was received.
    StartupReceived,
    /// A complete message was received.
    Message(MessageKind),
    /// The open query was answered.
    Answered(QueryOutcome),
    /// The pause is over.
    PauseOver,
    /// What the client sent breaks the protocol or a limit.
    ProtocolError(End),
    /// The client closed the connection, or does not read what it is sent.
    Disconnected(End),
    /// The connection should be closed to free its descriptor.
    Shed {
        /// Unread bytes are available.
        unread: bool,
    },
    /// The gateway stops.
    Stop {
        /// Unread bytes are available.
        unread: bool,
    },
    /// The time that [`Client::due`] gave has come.
    Due {
        /// Unread bytes are available.
        unread: bool,
        /// When the last bytes of an incomplete message were received, if there is one.
        partial_at: Option<Time>,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Wait for the next event.
    Wait,
    /// Decline encryption.
    DeclineEncryption,
    /// Accept the startup message.
    AcceptStartup,
    /// Send ReadyForQuery.
    Ready,
    /// Send the error that the message is not supported.
    Unsupported {
        /// Send ReadyForQuery after it.
        ready: bool,
    },
    /// Answer the query.
    Answer,
    /// Read nothing until this time.
    Pause {
        /// Clock time.
        until: Time,
    },
    /// Send the reason why the connection ends, and leave the client time to read it.
    CutOff {
        /// The message is of an unknown kind; else the caller knows the reason.
        unknown: bool,
        /// A message was not complete in time.
        unfinished: bool,
    },
    /// Close the connection.
    Close(End),
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    stage: Stage,
    /// Clock time at which the connection is closed if no query is open.
    idle_until: Time,
    /// Clock time by which a message that has begun must be complete.
    message_deadline: Time,
    idleness: Idleness,
    idle_since: Time,
    /// After an error in extended query messages everything up to Sync is skipped.
    skipping: bool,
    /// It has sent a usable request.
    trusted: bool,
    /// Unusable statements in a row.
    unusable_in_a_row: u32,
}

impl Client {
    /// A connection that has just been accepted.
    pub fn new(now: Time) -> Client {
        Client {
            stage: Stage::Opening,
            idle_until: now + IDLE_TIMEOUT,
            message_deadline: now + NEW_CLIENT_MESSAGE_TIMEOUT,
            idleness: Idleness::New,
            idle_since: now,
            skipping: false,
            trusted: false,
            unusable_in_a_row: 0,
        }
    }

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Why the connection could be closed to free its descriptor, and since when.
    pub fn idleness(&self) -> (Idleness, Time) {
        (self.idleness, self.idle_since)
    }

    /// Clock time at which [`Event::Due`] is due while no query is open.
    pub fn due(&self) -> Time {
        match self.stage {
            Stage::Opening => self.idle_since + STARTUP_TIMEOUT,
            _ => self.idle_until,
        }
    }

    /// Steps the machine. An event that does not fit the stage changes nothing.
    pub fn on(&mut self, now: Time, event: Event) -> Action {
        let action = self.action(now, event);
        self.stage = self.next_stage(event, action);
        action
    }

    fn next_stage(&self, event: Event, action: Action) -> Stage {
        match action {
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
        }
    }

    fn action(&mut self, now: Time, event: Event) -> Action {
        match (self.stage, event) {
            (Stage::Ended(end), _) => Action::Close(end),
            (Stage::CutOff, Event::Disconnected(end)) => Action::Close(end),
            (Stage::CutOff, _) => Action::Wait,
            (_, Event::Disconnected(end)) => Action::Close(end),

            (Stage::Opening, Event::Encryption) => Action::DeclineEncryption,
            // Nothing can be cancelled by key: a client that no longer waits closes its connection.
            (Stage::Opening, Event::Cancel) => Action::Close(End::ClientTerminated),
            (Stage::Opening, Event::StartupReceived) => Action::AcceptStartup,
            (Stage::Opening, Event::Due { unread: false, .. }) => Action::Close(End::ClientSilent),

            (Stage::Idle, Event::Message(kind)) => self.on_message(now, kind),
            (Stage::Idle, Event::Due { unread: false, partial_at }) => self.on_idle_due(now, partial_at),

            (Stage::AwaitingAnswer, Event::Stop { .. }) if mutant(Mutant::ClosedBeforeAnswer) => {
                Action::Close(End::Stopped)
            }
            (Stage::Idle, Event::Stop { .. }) if mutant(Mutant::ClosedUnread) => Action::Close(End::Stopped),
            (Stage::AwaitingAnswer, Event::Answered(outcome)) => self.on_answered(now, outcome),
            (Stage::Pausing { .. }, Event::PauseOver) => Action::Wait,

            (Stage::Opening | Stage::Idle, Event::ProtocolError(_)) => {
                Action::CutOff { unknown: false, unfinished: false }
            }
            (Stage::Opening | Stage::Idle, Event::Shed { unread: false }) => Action::Close(End::ClientShed),
            (Stage::Opening | Stage::Idle, Event::Stop { unread: false }) => Action::Close(End::Stopped),
            _ => Action::Wait,
        }
    }

    /// The idle timeout of a client that has sent nothing more, or has sent a part of a message.
    fn on_idle_due(&mut self, now: Time, partial_at: Option<Time>) -> Action {
        let Some(partial_at) = partial_at else { return Action::Close(End::ClientIdle) };
        self.idle_until = self.message_deadline.min(partial_at + STALL_TIMEOUT);
        if now >= self.idle_until {
            Action::CutOff { unknown: false, unfinished: true }
        } else {
            Action::Wait
        }
    }

    fn on_message(&mut self, now: Time, kind: MessageKind) -> Action {
        let action = match kind {
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
        self.record_use(now);
        action
    }

    fn on_answered(&mut self, now: Time, outcome: QueryOutcome) -> Action {
        self.trusted |= outcome == QueryOutcome::Request;
        self.record_use(now);
        self.unusable_in_a_row = match outcome {
            QueryOutcome::Request => 0,
            QueryOutcome::AnsweredLocally => self.unusable_in_a_row,
            QueryOutcome::Unusable => (self.unusable_in_a_row + 1).min(MAX_COUNTED_UNUSABLE),
        };
        match self.unusable_in_a_row {
            0 => Action::Wait,
            count => Action::Pause { until: now + (MIN_BACKOFF << (count - 1)).min(MAX_BACKOFF) },
        }
    }

    /// The connection was used: its idle time and its message deadline start again.
    fn record_use(&mut self, now: Time) {
        self.idle_since = now;
        self.idleness = Idleness::Answered;
        self.idle_until = now + IDLE_TIMEOUT;
        if self.trusted {
            self.message_deadline = now + MESSAGE_TIMEOUT;
        }
    }
}
