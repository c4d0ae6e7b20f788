//! The state machine of a client's request. It has exactly one final answer, and the first event that ends it
//! decides which.
//!
//! An answer that a host gave takes precedence over what the router decides, and both over the client's
//! disconnecting: the caller steps [`RequestState`] with the events in that order when it learns of several
//! at a time.

use petrelgauge_policy::Time;

/// What happens to a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The router decided on an attempt.
    AttemptStarted,
    /// The attempt ended.
    AttemptEnded {
        /// The host's answer is the final answer of the request.
        answered: bool,
    },
    /// The router rejected it.
    Rejected {
        /// How long the client should wait before it retries (microseconds).
        wait: Time,
    },
    /// The router gave it up: it failed.
    Failed,
    /// The client cancelled it.
    Cancelled,
    /// The client disconnected.
    Disconnected,
    /// Its connection or the process is about to end, and the time for an answer before that has expired.
    GracePeriodExpired,
}

/// The final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The answer that a host gave.
    HostAnswer,
    /// It was rejected, and has not run.
    Rejected {
        /// How long the client should wait before it retries (microseconds).
        wait: Time,
    },
    /// It failed, and may have run.
    Failed,
    /// Its client cancelled it, and gets an error.
    Cancelled,
    /// Its client no longer waits for an answer.
    Abandoned,
}

/// A request and its final answer, once it has one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestState {
    attempt_in_flight: bool,
    was_attempted: bool,
    ended: Option<FinalAnswer>,
}

impl RequestState {
    /// Whether an attempt is in flight.
    pub fn attempt_in_flight(&self) -> bool {
        self.attempt_in_flight
    }

    /// Steps the machine. Returns the final answer if the event ends the request; later events change
    /// nothing.
    pub fn on(&mut self, event: Event) -> Option<FinalAnswer> {
        if self.ended.is_some() {
            return None;
        }
        match event {
            Event::AttemptStarted => {
                self.attempt_in_flight = true;
                self.was_attempted = true;
            }
            Event::AttemptEnded { answered } => {
                self.attempt_in_flight = false;
                self.ended = answered.then_some(FinalAnswer::HostAnswer);
            }
            Event::Rejected { wait } => self.ended = Some(FinalAnswer::Rejected { wait }),
            Event::Failed => self.ended = Some(FinalAnswer::Failed),
            Event::Cancelled => self.ended = Some(FinalAnswer::Cancelled),
            Event::Disconnected => self.ended = Some(FinalAnswer::Abandoned),
            // It may have had an effect only if it was attempted.
            Event::GracePeriodExpired if self.was_attempted => self.ended = Some(FinalAnswer::Failed),
            Event::GracePeriodExpired => self.ended = Some(FinalAnswer::Rejected { wait: 0 }),
        }
        self.ended
    }
}
