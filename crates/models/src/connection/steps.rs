//! The steps that are possible in a state.

use crate::connection::{Bytes, Connection, Connections, Step, IDLE_POLICY};
use petrelgauge_lifecycle::exchange::AttemptState;
use petrelgauge_lifecycle::idle_connection::{DUPLICATE_WINDOW, SETTLE_TIME};

/// Maximum number of unread messages on a connection, to keep the model small.
const MAX_UNREAD: usize = 2;

impl Connections {
    pub(super) fn possible_steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        match self.state() {
            None => self.steps_between_attempts(&mut steps),
            Some(state) => self.steps_of_attempt(state, &mut steps),
        }
        if let Some(connection) = self.connection().filter(|connection| !connection.closed_by_host) {
            let is_reading =
                matches!(self.state(), Some(AttemptState::Waiting | AttemptState::Answering { .. }));
            if is_reading && !connection.unread.is_empty() {
                steps.push(Step::Read);
            }
            if connection.unread.len() < MAX_UNREAD {
                self.steps_of_host(connection, &mut steps);
            }
        }
        steps
    }

    fn steps_between_attempts(&self, steps: &mut Vec<Step>) {
        if self.next_request >= self.max_requests {
            return;
        }
        steps.push(Step::Send);
        if self.idle.is_some() && !self.has_waited {
            let spans = [SETTLE_TIME / 2, SETTLE_TIME, DUPLICATE_WINDOW, IDLE_POLICY.max_idle + 1];
            steps.extend(spans.map(Step::Wait));
        }
    }

    fn steps_of_attempt(&self, state: AttemptState, steps: &mut Vec<Step>) {
        steps.extend([Step::Cancel, Step::Due]);
        steps.push(if state == AttemptState::Writing { Step::Unwanted } else { Step::ResourcesExhausted });
        if matches!(state, AttemptState::Greeting { .. }) {
            let failures = [true, false].map(|rejected| Step::GreetingFails { rejected });
            steps.extend(failures);
            steps.push(Step::GreetedLate);
        }
        if !matches!(state, AttemptState::Waiting | AttemptState::Answering { .. }) {
            steps.extend([Step::Proceed, Step::Break]);
        } else if self.connection().is_some_and(|connection| connection.unread.is_empty()) {
            steps.push(Step::Break);
        }
    }

    fn steps_of_host(&self, connection: &Connection, steps: &mut Vec<Step>) {
        if !connection.unanswered.is_empty() {
            steps.extend([true, false].map(|has_position| Step::Answer { has_position }));
            steps.push(Step::AnswerMalformed);
            if connection.unread.is_empty() {
                steps.push(Step::BeginRow);
            }
            if !connection.unread.contains(&Bytes::Part) && !self.answer_begun {
                steps.extend([Step::BeginAnswer, Step::BeginAnswerLate]);
            }
        }
        if let Some(written) = connection.written {
            let age = self.now - written.at;
            // Garbage follows an answer within the settling time; a duplicate that can be detected may come
            // later.
            let copy_window = if written.has_position { DUPLICATE_WINDOW } else { SETTLE_TIME };
            if age < copy_window {
                steps.push(Step::DuplicateAnswer);
            }
            if age < SETTLE_TIME && connection.unanswered.is_empty() {
                steps.push(Step::WriteGarbage);
            }
        }
        if connection.unanswered.is_empty() {
            steps.push(Step::HostCloses);
        }
    }
}
