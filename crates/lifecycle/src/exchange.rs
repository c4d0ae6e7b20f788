//! The state machine of one attempt to have a host serve a request, from its start to its report.
//!
//! ```text
//!            Connected          HostReady         Written          AnswerBegan
//! Connecting ---------> Greeting -------> Writing -------> Waiting ---------> Answering
//!     |                    |                 |                |                   |
//!     +--------------------+-----------------+----------------+-------------------+--> Ended(end)
//! ```
//!
//! When the first bytes of a long row arrive, the attempt ends as [`End::Flows`]: the request has its answer,
//! and the connection is handed to the client's session, which streams the row.
//!
//! An attempt on a reused connection starts in Writing. In every state an attempt ends once, by
//! [`Exchange::on`], and its connection is kept or closed, as [`Exchange::finish`] says, before the end may
//! be reported. Otherwise a retry could be sent while a connection still carries the first attempt.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Time within which an answer that has begun must be complete (microseconds). Hosts write an answer without
/// pauses; one that stalls in the middle would otherwise block its request until the attempt's deadline.
pub const ANSWER_TIMEOUT: Time = 300_000;

/// The remaining wait is sent to hosts in milliseconds.
const MICROSECONDS_PER_MILLISECOND: Time = 1_000;

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// A connection is being established.
    Connecting {
        /// Clock time by which the host must be ready.
        by: Time,
    },
    /// The connection is established, and the host has not reported that it is ready.
    Greeting {
        /// Clock time by which the host must be ready.
        by: Time,
    },
    /// The request is being written.
    Writing,
    /// The request was written completely, and may have run.
    Waiting,
    /// The answer has begun.
    Answering {
        /// Clock time by which it must be complete.
        by: Time,
    },
    /// The attempt has ended.
    Ended(End),
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The connection was established.
    Connected,
    /// The host refused the connection.
    Refused,
    /// No connect was attempted: there was no descriptor or no address.
    NotConnected(End),
    /// The host is ready for a request.
    HostReady,
    /// The host rejected the connection with an error.
    Rejected(End),
    /// No byte of the request has been written, and it must not be begun any more: its client has left, the
    /// attempt was cancelled, it is too late, or its host accepts no more requests.
    Unwanted,
    /// The last byte of the request was written.
    Written,
    /// The first bytes of an answer were received.
    AnswerBegan,
    /// A complete answer was received.
    Answered {
        /// How the attempt ended according to the answer.
        end: End,
        /// The answer equals the previous one on the connection byte for byte.
        is_duplicate: bool,
    },
    /// The first bytes of a long row were received, which is streamed to the client.
    LongRowBegan,
    /// The host violated the protocol.
    Malformed,
    /// The connection broke or ended.
    ConnectionLost,
    /// There is no memory left to buffer more of the answer.
    NoMemory,
    /// The router cancelled the attempt.
    Cancelled,
    /// The time that [`Exchange::timeout_at`] returned has come.
    Timeout,
}

/// What is to be done with the connection of a finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionDisposition {
    /// Keep it idle: it may carry another request.
    Reuse,
    /// Hand it to the client's session, which streams the row that has begun on it.
    StreamToClient,
    /// Close it: bytes were received that belong to no answer, and more may follow.
    CloseSurplus,
    /// Close it because of the way the attempt ended.
    Close,
}

/// An attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Exchange {
    state: AttemptState,
    /// Clock time at which the attempt is abandoned.
    deadline: Time,
    /// Clock time by which its request must be written; after it the request is not written at all.
    write_deadline: Time,
    /// The host reported that it is ready for another request.
    is_host_ready: bool,
}

/// A finished attempt. Its end may be reported once the connection has been disposed of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// How it ended.
    pub end: End,
    /// What is to be done with its connection.
    pub disposition: ConnectionDisposition,
}

impl Exchange {
    /// An attempt on a new connection, whose host must be ready by `connect_deadline`. It is abandoned at
    /// `deadline`.
    pub fn connecting(connect_deadline: Time, deadline: Time) -> Exchange {
        Exchange::with_state(AttemptState::Connecting { by: connect_deadline.min(deadline) }, deadline)
    }

    /// An attempt on a reused connection. It is abandoned at `deadline`.
    pub fn reusing(now: Time, deadline: Time) -> Exchange {
        let state = if now >= deadline { AttemptState::Ended(End::TooLate) } else { AttemptState::Writing };
        Exchange::with_state(state, deadline)
    }

    fn with_state(state: AttemptState, deadline: Time) -> Exchange {
        Exchange { state, deadline, write_deadline: deadline, is_host_ready: false }
    }

    /// The same attempt, whose request must not be written from `at` on: once the window of its idempotency
    /// key has passed, a retry would have a second effect, however long its connection took to be
    /// established.
    pub fn with_write_deadline(self, at: Time) -> Exchange {
        let write_deadline =
            if mutant(Mutant::RetryWrittenLate) { self.deadline } else { self.deadline.min(at) };
        Exchange { write_deadline, ..self }
    }

    /// The remaining wait to send with the request if its first byte is written now, in whole milliseconds.
    /// None if the request must not be written any more: it is too late, or less than a millisecond is left.
    pub fn remaining_wait_ms(&self, now: Time) -> Option<u64> {
        if now >= self.write_deadline {
            return None;
        }
        u64::try_from((self.deadline - now) / MICROSECONDS_PER_MILLISECOND).ok().filter(|left| *left > 0)
    }

    /// The current state.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// How it ended, once it has.
    pub fn ended(&self) -> Option<End> {
        match self.state {
            AttemptState::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Whether its request has been written completely, and therefore may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self.state, AttemptState::Waiting | AttemptState::Answering { .. })
    }

    /// Clock time at which [`Event::Timeout`] is due.
    pub fn timeout_at(&self) -> Time {
        match self.state {
            AttemptState::Connecting { by } | AttemptState::Greeting { by } => by.min(self.write_deadline),
            AttemptState::Answering { by } => by.min(self.deadline),
            AttemptState::Writing => self.write_deadline,
            AttemptState::Waiting | AttemptState::Ended(_) => self.deadline,
        }
    }

    /// Steps the machine. An event that does not fit the state changes nothing: a connection that is being
    /// disposed of may still cause some.
    pub fn on(&mut self, now: Time, event: Event) {
        self.state = self.next_state(now, event);
    }

    fn next_state(&self, now: Time, event: Event) -> AttemptState {
        match (self.state, event) {
            (AttemptState::Ended(end), _) => AttemptState::Ended(end),
            // It is unknown whether a cancelled request has run.
            (_, Event::Cancelled) => AttemptState::Ended(End::Cancelled),
            (AttemptState::Connecting { by } | AttemptState::Greeting { by }, Event::Timeout) => {
                self.on_connect_timeout(now, by)
            }
            (AttemptState::Connecting { by }, event) => self.next_when_connecting(by, event),
            (AttemptState::Greeting { .. }, event) => self.next_when_greeting(now, event),
            (AttemptState::Writing, event) => self.next_when_writing(now, event),
            (AttemptState::Waiting | AttemptState::Answering { .. }, event) => {
                self.next_when_written(now, event)
            }
        }
    }

    fn on_connect_timeout(&self, now: Time, connect_deadline: Time) -> AttemptState {
        if now >= connect_deadline {
            AttemptState::Ended(End::ConnectSilent)
        } else if now >= self.write_deadline {
            // The attempt has no time left, which does not indicate a fault of the host.
            AttemptState::Ended(End::TooLate)
        } else {
            self.state
        }
    }

    fn next_when_connecting(&self, by: Time, event: Event) -> AttemptState {
        match event {
            Event::Connected => AttemptState::Greeting { by },
            Event::Refused => AttemptState::Ended(End::ConnectRefused),
            Event::NotConnected(end) => AttemptState::Ended(end),
            _ => self.state,
        }
    }

    fn next_when_greeting(&self, now: Time, event: Event) -> AttemptState {
        match event {
            Event::HostReady if now >= self.write_deadline => AttemptState::Ended(End::TooLate),
            Event::HostReady => AttemptState::Writing,
            Event::Rejected(end) => AttemptState::Ended(end),
            Event::ConnectionLost | Event::Malformed => AttemptState::Ended(End::BrokenUnsent),
            Event::NoMemory => AttemptState::Ended(End::NoDescriptor),
            _ => self.state,
        }
    }

    fn next_when_writing(&self, now: Time, event: Event) -> AttemptState {
        match event {
            Event::Unwanted => AttemptState::Ended(End::NotWanted),
            Event::Written if mutant(Mutant::StallLimitBeforeAnswer) => {
                AttemptState::Answering { by: now + ANSWER_TIMEOUT }
            }
            Event::Written => AttemptState::Waiting,
            Event::ConnectionLost => AttemptState::Ended(End::BrokenUnsent),
            // The request was not written completely, so it never ran.
            Event::Timeout if now >= self.write_deadline => AttemptState::Ended(End::ConnectSilent),
            _ => self.state,
        }
    }

    /// The next state of an attempt whose request has been written and may have run.
    fn next_when_written(&self, now: Time, event: Event) -> AttemptState {
        match (self.state, event) {
            (AttemptState::Waiting, Event::AnswerBegan) => {
                AttemptState::Answering { by: now + ANSWER_TIMEOUT }
            }
            // It is unknown to which request a duplicate belongs and whether this request has run.
            (_, Event::Answered { is_duplicate: true, .. }) if mutant(Mutant::DuplicateAnswerAccepted) => {
                AttemptState::Ended(End::Served)
            }
            (_, Event::Answered { is_duplicate: true, .. }) => AttemptState::Ended(End::HostRepeated),
            (_, Event::Answered { end, .. }) => AttemptState::Ended(end),
            (_, Event::LongRowBegan) => AttemptState::Ended(End::Flows),
            (_, Event::Malformed) => AttemptState::Ended(End::HostMalformed),
            (_, Event::ConnectionLost) if mutant(Mutant::ResetCountsAsUnsent) => {
                AttemptState::Ended(End::BrokenUnsent)
            }
            (_, Event::ConnectionLost) => AttemptState::Ended(End::BrokenSent),
            (_, Event::NoMemory) => AttemptState::Ended(End::NoMemory),
            (_, Event::Timeout) if now >= self.deadline => AttemptState::Ended(End::NoAnswer),
            (AttemptState::Answering { by }, Event::Timeout) if now >= by => {
                AttemptState::Ended(End::HostStalled)
            }
            (state, _) => state,
        }
    }

    /// Records that the host reported, with its answer, that it is ready for another request.
    pub fn record_host_ready(&mut self) {
        self.is_host_ready = true;
    }

    /// How the attempt ended and what is to be done with its connection; none while the attempt is in flight.
    ///
    /// The connection is reused only if the host sent a complete answer and is ready for another request.
    /// `has_unread` says that bytes are available on it that belong to no answer.
    pub fn finish(self, has_unread: bool) -> Option<FinishedAttempt> {
        let end = self.ended()?;
        Some(FinishedAttempt { end, disposition: self.disposition(end, has_unread) })
    }

    fn disposition(&self, end: End, has_unread: bool) -> ConnectionDisposition {
        if end == End::Flows {
            return if mutant(Mutant::StreamingConnectionPooled) {
                ConnectionDisposition::Reuse
            } else {
                ConnectionDisposition::StreamToClient
            };
        }
        // Nothing was written for an unwanted attempt, so its connection is unchanged.
        let is_reusable = end.is_answer() && self.is_host_ready || end == End::NotWanted;
        match (is_reusable, has_unread && !mutant(Mutant::UnreadConnectionPooled)) {
            (true, false) => ConnectionDisposition::Reuse,
            (true, true) => ConnectionDisposition::CloseSurplus,
            (false, _) if mutant(Mutant::ReportedBeforeClose) => ConnectionDisposition::Reuse,
            (false, _) => ConnectionDisposition::Close,
        }
    }
}
