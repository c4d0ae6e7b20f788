//! The state machine of a client's connection, from its acceptance to its end.
//!
//! ```text
//! Opening --StartupReceived--> Idle --Message(Query)--> AwaitingAnswer --Answered--> Idle
//!    |                          |                            |
//!    |                          |                            +--Answered(Unusable)--> Pausing
//!    +--------------------------+--ProtocolError--> CutOff                              |
//!                                                             Idle <----PauseEnded------+
//!
//! any state --Disconnected--> Ended
//! ```
//!
//! Bytes from the client take precedence over every reason to close its connection: a caller that passes
//! [`Event::Shed`], [`Event::Stop`] or [`Event::Timeout`] says whether unread bytes are available, and those
//! are read first. A connection with an open query is not closed because of its age, to free its descriptor
//! or for a stop.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Time within which a client must send its startup message (microseconds).
pub const STARTUP_TIMEOUT: Time = 2_000_000;
/// Time without an open query after which a client's connection is closed to free its descriptor for others
/// (microseconds).
pub const IDLE_TIMEOUT: Time = 2_100_000;
/// Time within which a new client must complete a message that it has begun (microseconds). The client has to
/// get an answer or an error within 3 s.
pub const NEW_CLIENT_MESSAGE_TIMEOUT: Time = 2_500_000;
/// Time within which a client that has been served before must complete a message that it has begun
/// (microseconds).
pub const MESSAGE_TIMEOUT: Time = 6_000_000;
/// Time without another byte of an incomplete message after which a client is cut off (microseconds). A slow
/// client may continue; one that has stopped sending has to get an error within 3 s.
pub const STALL_TIMEOUT: Time = 2_500_000;
/// Pause after an unusable statement before the next one is read (microseconds), doubled for each consecutive
/// one. A client that repeats such a statement without delay must not take processor time from the others.
pub const MIN_BACKOFF: Time = 1_000;
/// The longest such pause (microseconds).
pub const MAX_BACKOFF: Time = 64_000;
/// Consecutive unusable statements are counted up to this number, so that the shift can't overflow.
const MAX_COUNTED_UNUSABLE: u32 = 16;

/// Why a client may be closed to free its descriptor. Clients are closed in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Idleness {
    /// It has been sent the reason why its connection ends, and is given time to read it.
    CutOff,
    /// It has sent no query yet.
    New,
    /// All its queries have been answered, and it has sent a part of the next message.
    Stalled,
    /// All its queries have been answered.
    Answered,
}

/// Since when a client may be closed to free its descriptor, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdleSince {
    /// Why it may be closed.
    pub kind: Idleness,
    /// Clock time at which it was accepted or last used its connection.
    pub since: Time,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientState {
    /// The client has not sent its startup message.
    Opening,
    /// No query is open.
    Idle,
    /// A query is open.
    AwaitingAnswer,
    /// A statement was unusable; the next one is read after a pause.
    Pausing {
        /// Clock time at which the pause ends.
        until: Time,
    },
    /// The client is sent the reason why its connection ends.
    CutOff,
    /// The connection has ended.
    Ended(End),
}

/// The kind of a frontend message.
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
    /// Flush and the COPY messages, which don't count as use of the connection.
    Ignored,
    /// Not a message type of the protocol.
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

/// How a query was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueryOutcome {
    /// It was a request and got its final answer.
    Request,
    /// The gateway answered it without a host.
    AnsweredLocally,
    /// It was unusable and got an error.
    Unusable,
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The client asked for encryption.
    EncryptionRequested,
    /// The client asked to cancel the query of another connection.
    CancelRequested,
    /// The startup message was received.
    StartupReceived,
    /// A complete message was received.
    Message(MessageKind),
    /// A part of a message was received.
    PartialReceived,
    /// The open query was answered.
    Answered(QueryOutcome),
    /// The pause after an unusable statement has ended.
    PauseEnded,
    /// The client violated the protocol or a limit.
    ProtocolError(End),
    /// The client closed the connection, or does not read what is sent to it.
    Disconnected(End),
    /// The connection is to be closed to free its descriptor.
    Shed {
        /// Unread bytes are available.
        has_unread: bool,
    },
    /// The gateway is stopping.
    Stop {
        /// Unread bytes are available.
        has_unread: bool,
    },
    /// The time that [`ClientConnection::timeout_at`] returned has come.
    Timeout {
        /// Unread bytes are available.
        has_unread: bool,
        /// When the last bytes of an incomplete message were received, if there is one.
        partial_at: Option<Time>,
    },
}

/// What the caller has to do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Wait for the next event.
    Wait,
    /// Decline encryption.
    DeclineEncryption,
    /// Accept the startup message.
    AcceptStartup,
    /// Send ReadyForQuery.
    SendReady,
    /// Send the error that the message is not supported.
    RejectUnsupported {
        /// Send ReadyForQuery after it.
        then_ready: bool,
    },
    /// Answer the query.
    AnswerQuery,
    /// Read nothing until this time.
    Pause {
        /// Clock time.
        until: Time,
    },
    /// Send the reason why the connection ends, and give the client time to read it.
    CutOff(CutOffReason),
    /// Close the connection.
    Close(End),
}

/// Why a client is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CutOffReason {
    /// The protocol error that the event reported.
    ProtocolError,
    /// A message of an unknown type.
    UnknownMessage,
    /// A message that was not complete in time.
    IncompleteMessage,
}

/// A client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientConnection {
    state: ClientState,
    /// Clock time at which the connection is closed unless a query is open.
    idle_deadline: Time,
    /// Clock time by which a message that has begun must be complete.
    message_deadline: Time,
    idle: IdleSince,
    /// After a rejected extended query message, all messages up to Sync are skipped.
    is_skipping: bool,
    /// A request of this client has got its final answer.
    has_been_served: bool,
    consecutive_unusable: u32,
}

impl ClientConnection {
    /// A connection that was accepted at this clock time.
    pub fn new(now: Time) -> ClientConnection {
        ClientConnection {
            state: ClientState::Opening,
            idle_deadline: now + IDLE_TIMEOUT,
            message_deadline: now + NEW_CLIENT_MESSAGE_TIMEOUT,
            idle: IdleSince { kind: Idleness::New, since: now },
            is_skipping: false,
            has_been_served: false,
            consecutive_unusable: 0,
        }
    }

    /// The current state.
    pub fn state(&self) -> ClientState {
        self.state
    }

    /// Why the connection may be closed to free its descriptor, and since when.
    pub fn idle_since(&self) -> IdleSince {
        self.idle
    }

    /// Like [`ClientConnection::idle_since`], for a client that may have sent a part of a message, the last
    /// bytes of it at `partial_at`.
    pub fn idle_since_with(&self, partial_at: Option<Time>) -> IdleSince {
        match (self.idle.kind, partial_at) {
            (Idleness::Answered, Some(since)) => IdleSince { kind: Idleness::Stalled, since },
            _ => self.idle,
        }
    }

    /// Clock time at which [`Event::Timeout`] is due while no query is open.
    pub fn timeout_at(&self) -> Time {
        match self.state {
            ClientState::Opening => self.idle.since + STARTUP_TIMEOUT,
            _ => self.idle_deadline,
        }
    }

    /// Steps the machine. An event that does not fit the state changes nothing.
    pub fn on(&mut self, now: Time, event: Event) -> Action {
        let action = self.action_for(now, event);
        self.state = self.next_state(event, action);
        action
    }

    fn next_state(&self, event: Event, action: Action) -> ClientState {
        match action {
            Action::AcceptStartup => ClientState::Idle,
            Action::AnswerQuery => ClientState::AwaitingAnswer,
            Action::Pause { until } => ClientState::Pausing { until },
            Action::CutOff(_) => ClientState::CutOff,
            Action::Close(end) => ClientState::Ended(end),
            Action::Wait
            | Action::DeclineEncryption
            | Action::SendReady
            | Action::RejectUnsupported { .. } => match (self.state, event) {
                (ClientState::AwaitingAnswer, Event::Answered(_))
                | (ClientState::Pausing { .. }, Event::PauseEnded) => ClientState::Idle,
                (state, _) => state,
            },
        }
    }

    fn action_for(&mut self, now: Time, event: Event) -> Action {
        use ClientState::{AwaitingAnswer, CutOff, Ended, Idle, Opening, Pausing};
        match (self.state, event) {
            (Ended(end), _) => Action::Close(end),
            (CutOff, Event::Disconnected(end)) => Action::Close(end),
            (CutOff, _) => Action::Wait,
            (_, Event::Disconnected(end)) => Action::Close(end),

            (Opening, Event::EncryptionRequested) => Action::DeclineEncryption,
            // A cancel request gets no answer: its connection is closed.
            (Opening, Event::CancelRequested) => Action::Close(End::ClientTerminated),
            (Opening, Event::StartupReceived) => Action::AcceptStartup,
            (Opening, Event::Timeout { has_unread: false, .. }) => Action::Close(End::ClientSilent),

            (Idle, Event::Message(kind)) => self.on_message(now, kind),
            (Idle, Event::Timeout { has_unread: false, partial_at }) => self.on_idle_timeout(now, partial_at),

            (AwaitingAnswer, Event::Stop { .. }) if mutant(Mutant::ClosedBeforeAnswer) => {
                Action::Close(End::Stopped)
            }
            (Idle, Event::Stop { .. }) if mutant(Mutant::ClosedUnread) => Action::Close(End::Stopped),
            (AwaitingAnswer, Event::Answered(outcome)) => self.on_answered(now, outcome),
            (Pausing { .. }, Event::PauseEnded) => Action::Wait,

            (Opening | Idle, Event::ProtocolError(_)) => Action::CutOff(CutOffReason::ProtocolError),
            (Opening | Idle, Event::Shed { has_unread: false }) => Action::Close(End::ClientShed),
            (Opening | Idle, Event::Stop { has_unread: false }) => Action::Close(End::Stopped),
            _ => Action::Wait,
        }
    }

    /// Handles the idle timeout of a client that has sent nothing since its last message, or only a part of
    /// one.
    fn on_idle_timeout(&mut self, now: Time, partial_at: Option<Time>) -> Action {
        let Some(partial_at) = partial_at else { return Action::Close(End::ClientIdle) };
        self.idle_deadline = self.message_deadline.min(partial_at + STALL_TIMEOUT);
        if now >= self.idle_deadline {
            Action::CutOff(CutOffReason::IncompleteMessage)
        } else {
            Action::Wait
        }
    }

    fn on_message(&mut self, now: Time, kind: MessageKind) -> Action {
        let action = match kind {
            MessageKind::Terminate => return Action::Close(End::ClientTerminated),
            MessageKind::Sync => {
                self.is_skipping = false;
                Action::SendReady
            }
            _ if self.is_skipping => return Action::Wait,
            MessageKind::Query => return Action::AnswerQuery,
            MessageKind::Extended => {
                self.is_skipping = true;
                Action::RejectUnsupported { then_ready: false }
            }
            MessageKind::Function => Action::RejectUnsupported { then_ready: true },
            MessageKind::Ignored => return Action::Wait,
            MessageKind::Unknown => return Action::CutOff(CutOffReason::UnknownMessage),
        };
        self.record_use(now);
        action
    }

    fn on_answered(&mut self, now: Time, outcome: QueryOutcome) -> Action {
        self.has_been_served |= outcome == QueryOutcome::Request;
        self.record_use(now);
        self.consecutive_unusable = match outcome {
            QueryOutcome::Request => 0,
            QueryOutcome::AnsweredLocally => self.consecutive_unusable,
            QueryOutcome::Unusable => (self.consecutive_unusable + 1).min(MAX_COUNTED_UNUSABLE),
        };
        match self.consecutive_unusable {
            0 => Action::Wait,
            count => Action::Pause { until: now + (MIN_BACKOFF << (count - 1)).min(MAX_BACKOFF) },
        }
    }

    /// Restarts the idle timeout and the message deadline after the connection was used.
    fn record_use(&mut self, now: Time) {
        self.idle = IdleSince { kind: Idleness::Answered, since: now };
        self.idle_deadline = now + IDLE_TIMEOUT;
        if self.has_been_served {
            self.message_deadline = now + MESSAGE_TIMEOUT;
        }
    }
}
