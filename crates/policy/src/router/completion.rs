//! Completion: the final answer to a request, and the cancellation of its attempts in flight.

use super::Router;
use crate::interface::{Action, Class, Effect, MemberId, RequestId, Scope};
use crate::mutant::{mutant, Mutant::RejectedAsRetryable};
use crate::state::Request;

impl Router {
    /// Gives the only final answer to a request that no member has answered: a rejection if the client may
    /// safely retry, otherwise a failure.
    pub(super) fn finish(&mut self, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else { return };
        let class = &self.settings.classes[request.class];
        let id = request.id.clone();
        let may_client_retry = is_client_retry_safe(request, class);
        if class.effect == Effect::Safe {
            self.cancel_attempts(sequence, None);
        }
        self.actions.push(if may_client_retry {
            Action::Reject { request: id, wait: self.settings.max_retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.remove_request(sequence);
    }

    /// Closes a request that has been answered or whose client no longer waits for it.
    pub(super) fn close(&mut self, sequence: u64) {
        self.cancel_attempts(sequence, None);
        self.remove_request(sequence);
    }

    /// Closes a request that its client has abandoned.
    pub(super) fn abandon(&mut self, request: &RequestId) {
        if let Some(sequence) = self.sequences.get(request).copied() {
            self.close(sequence);
        }
    }

    fn remove_request(&mut self, sequence: u64) {
        let Some(request) = self.requests.remove(&sequence) else { return };
        self.sequences.remove(&request.id);
        self.dequeue(request.group, sequence);
    }

    /// Cancels the attempts in flight of a request: those at the given member, or all if `at` is `None`.
    pub(super) fn cancel_attempts(&mut self, sequence: u64, at: Option<MemberId>) {
        if !self.settings.may_cancel {
            return;
        }
        let Some(request) = self.requests.get(&sequence) else { return };
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight && at.is_none_or(|id| id == attempt.member) {
                let attempt = number as u32;
                self.actions.push(Action::Cancel { request: request.id.clone(), attempt });
            }
        }
    }
}

/// Whether the client may retry the request without it taking effect twice.
fn is_client_retry_safe(request: &Request, class: &Class) -> bool {
    match class.effect {
        Effect::Safe | Effect::Keyed { scope: Scope::All, .. } => true,
        Effect::Keyed { .. } | Effect::Unsafe => request
            .attempts
            .iter()
            .all(|attempt| !attempt.in_flight && (!attempt.may_have_run || mutant(RejectedAsRetryable))),
    }
}
