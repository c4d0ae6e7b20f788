//! The life of a client's request at the front: one answer, and which one where several are due at a time.
//!
//! An answer that a host gave goes before what the decisions say, and both go before the client's leaving: the front
//! asks [`RequestState`] for each thing that happened, in whatever order it learned of them.

use petrelgauge_policy::Time;

/// What happens to a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The decisions want an attempt made.
    AttemptStarted,
    /// The attempt ended; `owed`: with the request's answer.
    AttemptEnded {
        /// The host's answer is the request's.
        answered: bool,
    },
    /// The decisions refuse it.
    Rejected {
        /// How long the client should stay away.
        wait: Time,
    },
    /// The decisions give it up.
    Failed,
    /// The client cancelled it.
    Cancelled,
    /// The client left.
    Disconnected,
    /// Its connection or the process is about to end, and the time for an answer before that is over.
    GracePeriodOver,
}

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The answer that a host gave.
    HostAnswer,
    /// Refused.
    Rejected {
        /// How long the client should stay away.
        wait: Time,
    },
    /// Failed.
    Failed,
    /// Its client cancelled it, and is told so.
    Cancelled,
    /// Nobody waits for an answer.
    Abandoned,
}

/// A request that has no answer yet, or has just got it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestState {
    attempt_in_flight: bool,
    /// An attempt was made.
    attempted: bool,
    ended: Option<FinalAnswer>,
}

impl RequestState {
    /// An attempt is being made.
    pub fn attempt_in_flight(&self) -> bool {
        self.attempt_in_flight
    }

    /// Something happened. Gives the request's end when that is it; nothing changes it afterwards.
    pub fn on(&mut self, event: Event) -> Option<FinalAnswer> {
        if self.ended.is_some() {
            return None;
        }
        match event {
            Event::AttemptStarted => (self.attempt_in_flight, self.attempted) = (true, true),
            Event::AttemptEnded { answered } => {
                self.attempt_in_flight = false;
                self.ended = answered.then_some(FinalAnswer::HostAnswer);
            }
            Event::Rejected { wait } => self.ended = Some(FinalAnswer::Rejected { wait }),
            Event::Failed => self.ended = Some(FinalAnswer::Failed),
            Event::Cancelled => self.ended = Some(FinalAnswer::Cancelled),
            Event::Disconnected => self.ended = Some(FinalAnswer::Abandoned),
            // It may have had an effect only if it was attempted.
            Event::GracePeriodOver if self.attempted => self.ended = Some(FinalAnswer::Failed),
            Event::GracePeriodOver => self.ended = Some(FinalAnswer::Rejected { wait: 0 }),
        }
        self.ended
    }
}
