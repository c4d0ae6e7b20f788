//! The state machine of a client's request. A request gets exactly one final answer, which is determined by
//! the first event that ends it.
//!
//! A host's answer takes precedence over the router's decision, and both over the client's disconnecting: a
//! caller that learns of several events at once passes them to [`RequestState`] in that order.

use petrelgauge_policy::Time;

/// What happens to a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The router started an attempt.
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
    /// The router ended it as failed.
    Failed,
    /// The client cancelled it.
    Cancelled,
    /// The client disconnected.
    Disconnected,
    /// Its connection or the process is about to end, and the time left to answer it before that has passed.
    GracePeriodExpired,
}

/// The final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The answer of a host.
    HostAnswer,
    /// It was rejected and has not run.
    Rejected {
        /// How long the client should wait before it retries (microseconds).
        wait: Time,
    },
    /// It failed, and may have run.
    Failed,
    /// Its client cancelled it, and gets an error.
    Cancelled,
    /// Its client disconnected and gets no answer.
    Abandoned,
}

/// A request and its final answer, once it has one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestState {
    attempt_in_flight: bool,
    was_attempted: bool,
    final_answer: Option<FinalAnswer>,
}

impl RequestState {
    /// Whether an attempt is in flight.
    pub fn attempt_in_flight(&self) -> bool {
        self.attempt_in_flight
    }

    /// Steps the machine. Returns the final answer if the event ends the request; later events change
    /// nothing.
    pub fn on(&mut self, event: Event) -> Option<FinalAnswer> {
        if self.final_answer.is_some() {
            return None;
        }
        match event {
            Event::AttemptStarted => {
                self.attempt_in_flight = true;
                self.was_attempted = true;
            }
            Event::AttemptEnded { answered } => {
                self.attempt_in_flight = false;
                self.final_answer = answered.then_some(FinalAnswer::HostAnswer);
            }
            Event::Rejected { wait } => self.final_answer = Some(FinalAnswer::Rejected { wait }),
            Event::Failed => self.final_answer = Some(FinalAnswer::Failed),
            Event::Cancelled => self.final_answer = Some(FinalAnswer::Cancelled),
            Event::Disconnected => self.final_answer = Some(FinalAnswer::Abandoned),
            // Only a request that was attempted may have had an effect.
            Event::GracePeriodExpired if self.was_attempted => self.final_answer = Some(FinalAnswer::Failed),
            Event::GracePeriodExpired => self.final_answer = Some(FinalAnswer::Rejected { wait: 0 }),
        }
        self.final_answer
    }
}
