//! The life of one attempt, from its order to its report.
//!
//! ```text
//!            Connected          Greeted           Written            Began
//! Connecting ---------> Greeting -------> Writing -------> Waiting ---------> Answering
//!     |                    |                 |                |                   |
//!     +--------------------+-----------------+----------------+-------------------+--> Ended(end)
//! ```
//!
//! With the first bytes of a long row an attempt ends as [`End::Flows`], and its connection is lent to whoever passes
//! the row on: the request has its answer.
//!
//! A reused connection begins in Writing. Whatever the state, an attempt ends once, by [`Exchange::on`], and its
//! connection is disposed of (kept idle or closed) before the end may be reported: [`Exchange::finish`] says how, and
//! only its result holds the end. A second copy could else go out beside a connection that still carries the first.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Span in which an answer that has begun must be whole (microseconds): hosts write it in one go. One that claims to
/// go on and does not would else keep its request until its time is over.
pub const ANSWER_TIMEOUT: Time = 300_000;

/// The unit in which hosts are told how long an answer is waited for (microseconds).
const MILLISECOND: Time = 1_000;

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// A connection is coming up; it must within the time given.
    Connecting {
        /// Clock time.
        by: Time,
    },
    /// It is up, and the host has not said that it is ready.
    Greeting {
        /// Clock time.
        by: Time,
    },
    /// The request is being written.
    Writing,
    /// It was written whole. From here on it may have run.
    Waiting,
    /// The answer has begun.
    Answering {
        /// Clock time by which it must be whole.
        by: Time,
    },
    /// Over.
    Ended(End),
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The connection is up.
    Connected,
    /// The host refused it.
    Refused,
    /// There was no descriptor for it, or no address.
    NotTried(End),
    /// The host is ready for a request.
    Greeted,
    /// The host turned the connection away with an error of its own.
    Rejected(End),
    /// Before the first byte of the request: its client has left, it was called off, or its host is no longer to get
    /// anything.
    Unwanted,
    /// The last byte of the request was written.
    Written,
    /// The first bytes of an answer came.
    Began,
    /// The answer is whole, and judged so. `copy`: it is the last one again.
    Answered {
        /// What it says of the attempt.
        end: End,
        /// It is alike to the last answer of the connection to the last bit.
        copy: bool,
    },
    /// A long row has begun: its client gets it as it comes.
    Flows,
    /// The host's bytes make no sense.
    Malformed,
    /// The connection broke or ended.
    Broke,
    /// There is no room for more of the answer.
    NoMemory,
    /// The decisions want it given up.
    Cancelled,
    /// The time that [`Exchange::due`] named has come.
    Due,
}

/// What happens to the connection of a finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionDisposition {
    /// It is kept idle and may carry another request.
    Reuse,
    /// It is handed to the client's session with the row that has begun on it.
    Lend,
    /// It is closed: more came than belonged to the answer, and more of it may follow.
    CloseSurplus,
    /// It is closed, as the attempt's own end says.
    Close,
}

/// An attempt under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Exchange {
    stage: Stage,
    /// Clock time at which it is given up.
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
    /// On a connection that rested; else on a new one, which must be up by `up_by`.
    pub fn new(reused: bool, now: Time, up_by: Time, until: Time) -> Exchange {
        let stage = match reused {
            true if now >= until => Stage::Ended(End::TooLate),
            true => Stage::Writing,
            false => Stage::Connecting { by: up_by.min(until) },
        };
        Exchange { stage, until, write_by: until, ready: false }
    }

    /// The same, with a request that must be written by then or not at all: behind the window of its key a repeat would
    /// be a second effect, however long its connection took to come up.
    pub fn written_by(self, at: Time) -> Exchange {
        let write_by = if mutant(Mutant::RetryWrittenLate) { self.until } else { self.until.min(at) };
        Exchange { write_by, ..self }
    }

    /// The time in whole milliseconds that the host may be told that the answer is waited for, if the first byte of
    /// the request is written now. None if it is not to be begun any more: less than a millisecond is left, which can't
    /// be told, or it would come too late.
    pub fn remaining_wait_ms(&self, now: Time) -> Option<u64> {
        if now >= self.write_by {
            return None;
        }
        u64::try_from((self.until - now) / MILLISECOND).ok().filter(|left| *left > 0)
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How it ended, once it has.
    pub fn ended(&self) -> Option<End> {
        match self.stage {
            Stage::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Whether its request has been written whole, and so may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::Answering { .. })
    }

    /// Clock time at which [`Event::Due`] is to be told.
    pub fn due(&self) -> Time {
        match self.stage {
            Stage::Connecting { by } | Stage::Greeting { by } => by.min(self.write_by),
            Stage::Answering { by } => by.min(self.until),
            Stage::Writing => self.write_by,
            Stage::Waiting | Stage::Ended(_) => self.until,
        }
    }

    /// Something happened. What does not fit the stage changes nothing: a connection that is being put away may
    /// still say something.
    pub fn on(&mut self, now: Time, event: Event) {
        self.stage = self.next(now, event);
    }

    fn next(&self, now: Time, event: Event) -> Stage {
        use Stage::*;
        match (self.stage, event) {
            (Ended(end), _) => Ended(end),
            // It was called off; whether it ran is not known.
            (_, Event::Cancelled) => Ended(End::Cancelled),
            (Connecting { .. }, Event::NotTried(end)) => Ended(end),

            (Connecting { by }, Event::Connected) => Greeting { by },
            (Connecting { .. }, Event::Refused) => Ended(End::ConnectRefused),
            (Greeting { .. }, Event::Greeted) if now >= self.write_by => Ended(End::TooLate),
            (Greeting { .. }, Event::Greeted) => Writing,
            (Greeting { .. }, Event::Rejected(end)) => Ended(end),
            (Greeting { .. }, Event::Broke | Event::Malformed) => Ended(End::BrokenUnsent),
            (Greeting { .. }, Event::NoMemory) => Ended(End::NoDescriptor),
            // No more time for it, which says nothing of the host.
            (Connecting { by } | Greeting { by }, Event::Due) if self.write_by <= now && now < by => {
                Ended(End::TooLate)
            }
            (Connecting { by } | Greeting { by }, Event::Due) if now >= by => Ended(End::ConnectSilent),
            (Writing, Event::Unwanted) => Ended(End::NotWanted),

            (Writing, Event::Written) if mutant(Mutant::StallLimitBeforeAnswer) => {
                Answering { by: now + ANSWER_TIMEOUT }
            }
            (Writing, Event::Written) => Waiting,
            (Writing, Event::Broke) => Ended(End::BrokenUnsent),
            // Not written whole: it never ran.
            (Writing, Event::Due) if now >= self.write_by => Ended(End::ConnectSilent),

            (Waiting, Event::Began) => Answering { by: now + ANSWER_TIMEOUT },
            (Waiting | Answering { .. }, Event::Answered { copy: true, .. }) => {
                // Whose answer this is nobody knows, and whether the request has run neither.
                Ended(if mutant(Mutant::DuplicateAnswerAccepted) { End::Served } else { End::HostRepeated })
            }
            (Waiting | Answering { .. }, Event::Answered { end, .. }) => Ended(end),
            (Waiting | Answering { .. }, Event::Flows) => Ended(End::Flows),
            (Waiting | Answering { .. }, Event::Malformed) => Ended(End::HostMalformed),
            (Waiting | Answering { .. }, Event::Broke) => {
                Ended(if mutant(Mutant::ResetCountsAsUnsent) { End::BrokenUnsent } else { End::BrokenSent })
            }
            (Waiting | Answering { .. }, Event::NoMemory) => Ended(End::NoMemory),
            (Waiting | Answering { .. }, Event::Due) if now >= self.until => Ended(End::NoAnswer),
            (Answering { by }, Event::Due) if now >= by => Ended(End::HostStalled),
            (stage, _) => stage,
        }
    }

    /// The host said, with its answer, that it is ready for another request.
    pub fn host_is_ready(&mut self) {
        self.ready = true;
    }

    /// What becomes of the connection, once the attempt has ended: it rests only if the host gave a whole answer of
    /// its own and is ready for more. `unread`: bytes of it lie there that belong to no answer.
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
        // Nothing was written on one that was not wanted: it is as fresh as it was.
        let fit = end.is_answer() && self.ready || end == End::NotWanted;
        let disposition = match (fit, unread && !mutant(Mutant::UnreadConnectionPooled)) {
            (true, false) => ConnectionDisposition::Reuse,
            (true, true) => ConnectionDisposition::CloseSurplus,
            (false, _) if mutant(Mutant::ReportedBeforeClose) => ConnectionDisposition::Reuse,
            (false, _) => ConnectionDisposition::Close,
        };
        Some((disposition, FinishedAttempt { end }))
    }
}
