//! Completion: the final answer of a request, and cancelling what it has in flight.

use super::Router;
use crate::interface::{Action, Class, Effect, MemberId, RequestId, Scope};
use crate::mutant::{mutant, Mutant::RejectedAsRetryable};
use crate::state::Request;

impl Router {
    /// Gives the one final answer of a request that this router ends itself: a rejection where a retry is
    /// harmless, a failure elsewhere.
    pub(super) fn finish(&mut self, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else { return };
        let class = &self.settings.classes[request.class];
        let id = request.id.clone();
        let harmless = is_retry_harmless(request, class);
        if class.effect == Effect::Safe {
            self.cancel_attempts(sequence, None);
        }
        self.actions.push(if harmless {
            Action::Reject { request: id, wait: self.settings.max_retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.forget_request(sequence);
    }

    /// The request has its answer, or nobody waits for it any more.
    pub(super) fn close(&mut self, sequence: u64) {
        self.cancel_attempts(sequence, None);
        self.forget_request(sequence);
    }

    /// Closes a request that its client has given up.
    pub(super) fn abandon(&mut self, request: &RequestId) {
        if let Some(sequence) = self.sequences.get(request).copied() {
            self.close(sequence);
        }
    }

    fn forget_request(&mut self, sequence: u64) {
        let Some(request) = self.requests.remove(&sequence) else { return };
        self.sequences.remove(&request.id);
        self.dequeue(request.group, sequence);
    }

    /// Cancels what a request has in flight, at one member or at all of them.
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

/// Whether the client may send the request again without a second effect.
fn is_retry_harmless(request: &Request, class: &Class) -> bool {
    match class.effect {
        Effect::Safe | Effect::Keyed { scope: Scope::All, .. } => true,
        Effect::Keyed { .. } | Effect::Unsafe => request
            .attempts
            .iter()
            .all(|attempt| !attempt.in_flight && (!attempt.may_have_run || mutant(RejectedAsRetryable))),
    }
}
