//! What each step changes.

use crate::connection::{Bytes, Connection, Connections, Step, WrittenAnswer, ATTEMPT_TIMEOUT, START};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::AttemptState;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::idle_connection::is_duplicate;
use petrelgauge_policy::Time;

/// How long before the attempt's deadline a late answer begins (microseconds): less than the timeout of an
/// answer.
const LATE_MARGIN: Time = 100_000;

impl Connections {
    pub(super) fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Send => self.begin(),
            Step::Wait(span) => (self.now, self.has_waited) = (self.now + span, true),
            Step::Proceed => self.proceed(),
            Step::Cancel => self.on_event(Event::Cancelled),
            Step::Unwanted => self.on_event(Event::Unwanted),
            Step::ResourcesExhausted if self.is_connecting() => {
                self.on_event(Event::NotConnected(End::NoDescriptor))
            }
            Step::ResourcesExhausted => self.on_event(Event::NoMemory),
            Step::Break if self.is_connecting() => self.on_event(Event::Refused),
            Step::Break => self.on_event(Event::ConnectionLost),
            Step::GreetingFails { rejected: true } => self.on_event(Event::Rejected(End::QueueFull)),
            Step::GreetingFails { rejected: false } => self.on_event(Event::Malformed),
            Step::GreetedLate => {
                // The gateway was stalled until after the attempt's deadline.
                self.now = self.now.max(START + ATTEMPT_TIMEOUT) + ATTEMPT_TIMEOUT;
                self.on_event(Event::HostReady);
            }
            Step::Due => {
                self.now = self.timeout_at().max(self.now);
                self.on_event(Event::Timeout);
            }
            Step::Read => self.read(),
            Step::BeginAnswerLate => {
                self.now = self.timeout_at().max(self.now + LATE_MARGIN) - LATE_MARGIN;
                self.apply_host_step(step);
            }
            _ => self.apply_host_step(step),
        }
    }

    fn is_connecting(&self) -> bool {
        matches!(self.state(), Some(AttemptState::Connecting { .. }))
    }

    /// Lets the attempt make progress.
    fn proceed(&mut self) {
        match self.state() {
            Some(AttemptState::Connecting { .. }) => {
                if let Some(attempt) = &mut self.attempt {
                    attempt.connection = Some(Connection::default());
                }
                self.on_event(Event::Connected);
            }
            Some(AttemptState::Greeting { .. }) => self.on_event(Event::HostReady),
            _ => {
                let request = self.attempt.as_ref().map_or(0, |attempt| attempt.request);
                if let Some(connection) = self.connection_mut() {
                    connection.unanswered.push(request);
                }
                self.on_event(Event::Written);
            }
        }
    }

    /// The host writes something, or closes the connection.
    fn apply_host_step(&mut self, step: &Step) {
        let now = self.now;
        let Some(connection) = self.connection_mut() else { return };
        match *step {
            Step::BeginAnswer | Step::BeginAnswerLate => connection.unread.push(Bytes::Part),
            // The host still has to write the rest of the row.
            Step::BeginRow => connection.unread.push(Bytes::Row(connection.unanswered[0])),
            Step::AnswerMalformed => {
                connection.unanswered.remove(0);
                connection.unread.push(Bytes::Garbage);
            }
            Step::Answer { has_position } => {
                let request = connection.unanswered.remove(0);
                connection.unread.push(Bytes::Answer { request, has_position });
                connection.written = Some(WrittenAnswer { request, has_position, at: now });
            }
            Step::DuplicateAnswer => {
                if let Some(WrittenAnswer { request, has_position, .. }) = connection.written.take() {
                    connection.unread.push(Bytes::Answer { request, has_position });
                }
            }
            Step::WriteGarbage => {
                connection.written = None;
                connection.unread.push(Bytes::Garbage);
            }
            Step::HostCloses => {
                connection.closed_by_host = true;
                connection.unread.push(Bytes::End);
            }
            _ => {}
        }
    }

    /// The gateway reads the next of the unread bytes.
    fn read(&mut self) {
        let Some(connection) = self.connection_mut() else { return };
        match connection.unread.remove(0) {
            Bytes::Part => {
                self.answer_begun = true;
                self.on_event(Event::AnswerBegan);
            }
            Bytes::Row(request) => {
                (self.answered, self.answer_begun) = (Some(request), true);
                self.on_event(Event::LongRowBegan);
            }
            Bytes::Garbage => self.on_event(Event::Malformed),
            Bytes::End => self.on_event(Event::ConnectionLost),
            Bytes::Answer { request, has_position } => {
                let answer = answer_hash(request, has_position);
                let last_answer = std::mem::replace(&mut connection.last_answer, answer);
                let is_duplicate = is_duplicate(connection.copy_expected, last_answer, answer);
                (self.answered, self.answer_begun) = (Some(request), true);
                self.on_event(Event::Answered { end: End::Served, is_duplicate });
            }
        }
    }
}

/// The hash that the gateway remembers of an answer. Only those with a position can be distinguished from
/// their successors.
fn answer_hash(request: u8, has_position: bool) -> Option<u64> {
    has_position.then_some(u64::from(request) + 1)
}
