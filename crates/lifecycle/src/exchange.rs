//! The life of one attempt to have a request served by a host, from its start to its report.
//!
//! ```text
//!            Connected          Greeted           Written            Began
//! Connecting ---------> Greeting -------> Writing -------> Waiting ---------> Answering
//!     |                    |                 |                |                   |
//!     +--------------------+-----------------+----------------+-------------------+--> Ended(end)
//! ```
//!
//! With the first bytes of a long row an attempt ends as [`End::Flows`]: the request has its answer, and the connection
//! is lent to the client's session, which streams the row.
//!
//! A reused connection begins in Writing. Whatever the state, an attempt ends once, by [`Exchange::on`], and its
//! connection is disposed of (kept idle or closed) before the end may be reported: [`Exchange::finish`] says how, and
//! only its result holds the end. Otherwise a retry could be sent while a connection still carries the first attempt.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Time within which an answer that has begun must be complete (microseconds): hosts write an answer at once. A host that
/// stalls in the middle would otherwise hold its request until the attempt's deadline.
pub const ANSWER_TIMEOUT: Time = 300_000;

/// The unit of the remaining wait that is sent to hosts (microseconds).
const MILLISECOND: Time = 1_000;

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// A connection is being established.
    Connecting {
        /// Clock time by which the host must be ready.
        by: Time,
    },
    /// The connection is established, and the host has not said that it is ready.
    Greeting {
        /// Clock time by which the host must be ready.
        by: Time,
    },
    /// The request is being written.
    Writing,
    /// The request was written completely. From here on it may have run.
    Waiting,
    /// The answer has begun.
    Answering {
        /// Clock time by which it must be complete.
        by: Time,
    },
    /// Over.
    Ended(End),
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The connection was established.
    Connected,
    /// The host refused the connection.
    Refused,
    /// No connection could be tried: there was no descriptor, or no address.
    NotTried(End),
    /// The host is ready for a request.
    Greeted,
    /// The host rejected the connection with an error.
    Rejected(End),
    /// Before the first byte of the request: its client has left, it was cancelled, or its host accepts no more
    /// requests.
    Unwanted,
    /// The last byte of the request was written.
    Written,
    /// The first bytes of an answer were received.
    Began,
    /// A complete answer was received.
    Answered {
        /// How the attempt ended according to it.
        end: End,
        /// It equals the previous answer on the connection byte for byte.
        copy: bool,
    },
    /// A long row has begun: it is streamed to the client.
    Flows,
    /// The host broke the protocol.
    Malformed,
    /// The connection broke or ended.
    Broke,
    /// There is no memory to buffer more of the answer.
    NoMemory,
    /// The router cancelled the attempt.
    Cancelled,
    /// The time that [`Exchange::timeout_at`] gave has come.
    Timeout,
}

/// What happens to the connection of a finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionDisposition {
    /// It is kept idle and may carry another request.
    Reuse,
    /// It is handed to the client's session, which streams the row that has begun on it.
    Lend,
    /// It is closed: bytes were received that belong to no answer, and more may follow.
    CloseSurplus,
    /// It is closed because of the way the attempt ended.
    Close,
}

/// An attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Exchange {
    state: AttemptState,
    /// Clock time at which it is abandoned.
    until: Time,
    /// Clock time by which its request must be written, if at all.
    write_by: Time,
    /// The host said that it is ready for another request.
    ready: bool,
}

/// A finished attempt: its end may be reported once the connection has been disposed of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// How it ended.
    pub end: End,
}

impl Exchange {
    /// An attempt on a reused connection, or else on a new one, whose host must be ready by `connect_by`. It is abandoned
    /// at `until`.
    pub fn new(reused: bool, now: Time, connect_by: Time, until: Time) -> Exchange {
        let state = match reused {
            true if now >= until => AttemptState::Ended(End::TooLate),
            true => AttemptState::Writing,
            false => AttemptState::Connecting { by: connect_by.min(until) },
        };
        Exchange { state, until, write_by: until, ready: false }
    }

    /// The same attempt, with a request that must be written by then or not at all: after the window of its idempotency
    /// key a retry would have a second effect, however long its connection took to be established.
    pub fn written_by(self, at: Time) -> Exchange {
        let write_by = if mutant(Mutant::RetryWrittenLate) { self.until } else { self.until.min(at) };
        Exchange { write_by, ..self }
    }

    /// How many whole milliseconds the host still has to answer if the first byte of the request is written now, to be
    /// sent with it. None if the request must not be written any more: less than a millisecond is left, which can't be
    /// expressed, or it would be too late.
    pub fn remaining_wait_ms(&self, now: Time) -> Option<u64> {
        if now >= self.write_by {
            return None;
        }
        u64::try_from((self.until - now) / MILLISECOND).ok().filter(|left| *left > 0)
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

    /// Whether its request has been written completely, and so may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self.state, AttemptState::Waiting | AttemptState::Answering { .. })
    }

    /// Clock time at which [`Event::Timeout`] is due.
    pub fn timeout_at(&self) -> Time {
        match self.state {
            AttemptState::Connecting { by } | AttemptState::Greeting { by } => by.min(self.write_by),
            AttemptState::Answering { by } => by.min(self.until),
            AttemptState::Writing => self.write_by,
            AttemptState::Waiting | AttemptState::Ended(_) => self.until,
        }
    }

    /// Steps the machine. An event that does not fit the state changes nothing: a connection that is being disposed of
    /// may still cause some.
    pub fn on(&mut self, now: Time, event: Event) {
        self.state = self.next(now, event);
    }

    fn next(&self, now: Time, event: Event) -> AttemptState {
        use AttemptState::*;
        match (self.state, event) {
            (Ended(end), _) => Ended(end),
            // Whether a cancelled request ran is not known.
            (_, Event::Cancelled) => Ended(End::Cancelled),
            (Connecting { .. }, Event::NotTried(end)) => Ended(end),

            (Connecting { by }, Event::Connected) => Greeting { by },
            (Connecting { .. }, Event::Refused) => Ended(End::ConnectRefused),
            (Greeting { .. }, Event::Greeted) if now >= self.write_by => Ended(End::TooLate),
            (Greeting { .. }, Event::Greeted) => Writing,
            (Greeting { .. }, Event::Rejected(end)) => Ended(end),
            (Greeting { .. }, Event::Broke | Event::Malformed) => Ended(End::BrokenUnsent),
            (Greeting { .. }, Event::NoMemory) => Ended(End::NoDescriptor),
            // The attempt is out of time, which is no sign of a fault of the host.
            (Connecting { by } | Greeting { by }, Event::Timeout) if self.write_by <= now && now < by => {
                Ended(End::TooLate)
            }
            (Connecting { by } | Greeting { by }, Event::Timeout) if now >= by => Ended(End::ConnectSilent),
            (Writing, Event::Unwanted) => Ended(End::NotWanted),

            (Writing, Event::Written) if mutant(Mutant::StallLimitBeforeAnswer) => {
                Answering { by: now + ANSWER_TIMEOUT }
            }
            (Writing, Event::Written) => Waiting,
            (Writing, Event::Broke) => Ended(End::BrokenUnsent),
            // Not written completely: it never ran.
            (Writing, Event::Timeout) if now >= self.write_by => Ended(End::ConnectSilent),

            (Waiting, Event::Began) => Answering { by: now + ANSWER_TIMEOUT },
            (Waiting | Answering { .. }, Event::Answered { copy: true, .. }) => {
                // It is not known to which request this answer belongs, nor whether the request has run.
                Ended(if mutant(Mutant::DuplicateAnswerAccepted) { End::Served } else { End::HostRepeated })
            }
            (Waiting | Answering { .. }, Event::Answered { end, .. }) => Ended(end),
            (Waiting | Answering { .. }, Event::Flows) => Ended(End::Flows),
            (Waiting | Answering { .. }, Event::Malformed) => Ended(End::HostMalformed),
            (Waiting | Answering { .. }, Event::Broke) => {
                Ended(if mutant(Mutant::ResetCountsAsUnsent) { End::BrokenUnsent } else { End::BrokenSent })
            }
            (Waiting | Answering { .. }, Event::NoMemory) => Ended(End::NoMemory),
            (Waiting | Answering { .. }, Event::Timeout) if now >= self.until => Ended(End::NoAnswer),
            (Answering { by }, Event::Timeout) if now >= by => Ended(End::HostStalled),
            (state, _) => state,
        }
    }

    /// The host said, with its answer, that it is ready for another request.
    pub fn host_is_ready(&mut self) {
        self.ready = true;
    }

    /// What is to be done with the connection, and the result, once the attempt has ended. The connection is reused only
    /// if the host sent a complete answer and is ready for another request. `unread`: bytes are available on it that
    /// belong to no answer. None while the attempt is in flight.
    pub fn finish(self, unread: bool) -> Option<(ConnectionDisposition, FinishedAttempt)> {
        let end = self.ended()?;
        if end == End::Flows {
            return Some((
                if mutant(Mutant::StreamingConnectionPooled) {
                    ConnectionDisposition::Reuse
                } else {
                    ConnectionDisposition::Lend
                },
                FinishedAttempt { end },
            ));
        }
        // Nothing was written for an unwanted attempt: its connection is as it was.
        let reusable = end.is_answer() && self.ready || end == End::NotWanted;
        let disposition = match (reusable, unread && !mutant(Mutant::UnreadConnectionPooled)) {
            (true, false) => ConnectionDisposition::Reuse,
            (true, true) => ConnectionDisposition::CloseSurplus,
            (false, _) if mutant(Mutant::ReportedBeforeClose) => ConnectionDisposition::Reuse,
            (false, _) => ConnectionDisposition::Close,
        };
        Some((disposition, FinishedAttempt { end }))
    }
}
