//! The life of a client's request at the front: one answer, and which one where several are due at a time.
//!
//! An answer that a host gave goes before what the decisions say, and both go before the client's leaving: the front
//! asks [`RequestState`] for each thing that happened, in whatever order it learned of them.

use petrelgauge_policy::Time;

/// What happens to a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The decisions want an attempt made.
    Ordered,
    /// The attempt ended; `owed`: with the request's answer.
    Returned {
        /// The host's answer is the request's.
        owed: bool,
    },
    /// The decisions refuse it.
    Refused {
        /// How long the client should stay away.
        wait: Time,
    },
    /// The decisions give it up.
    Failed,
    /// The client cancelled it.
    Cancelled,
    /// The client left.
    Left,
    /// Its connection or the process is about to end, and the time for an answer before that is over.
    GraceOver,
}

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The answer that a host gave.
    Given,
    /// Refused.
    Refused {
        /// How long the client should stay away.
        wait: Time,
    },
    /// Failed.
    Failed,
    /// Its client cancelled it, and is told so.
    Cancelled,
    /// Nobody waits for an answer.
    Withdrawn,
}

/// A request that has no answer yet, or has just got it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestState {
    out: bool,
    /// An attempt was made.
    attempted: bool,
    ended: Option<FinalAnswer>,
}

impl RequestState {
    /// An attempt is being made.
    pub fn out(&self) -> bool {
        self.out
    }

    /// Something happened. Gives the request's end when that is it; nothing changes it afterwards.
    pub fn on(&mut self, event: Event) -> Option<FinalAnswer> {
        if self.ended.is_some() {
            return None;
        }
        match event {
            Event::Ordered => (self.out, self.attempted) = (true, true),
            Event::Returned { owed } => {
                self.out = false;
                self.ended = owed.then_some(FinalAnswer::Given);
            }
            Event::Refused { wait } => self.ended = Some(FinalAnswer::Refused { wait }),
            Event::Failed => self.ended = Some(FinalAnswer::Failed),
            Event::Cancelled => self.ended = Some(FinalAnswer::Cancelled),
            Event::Left => self.ended = Some(FinalAnswer::Withdrawn),
            // It may have had an effect only if it was attempted.
            Event::GraceOver if self.attempted => self.ended = Some(FinalAnswer::Failed),
            Event::GraceOver => self.ended = Some(FinalAnswer::Refused { wait: 0 }),
        }
        self.ended
    }
}
