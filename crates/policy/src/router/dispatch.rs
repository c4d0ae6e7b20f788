//! Dispatch: the rules that every send must satisfy, regardless of the code path, and the send itself.

use super::Router;
use crate::interface::{
    Action, Effect, MemberId, Need, RequestId, Scope, StaleReadPolicy, Time, ASSUMED_KNOWN_AFTER,
};
use crate::mutant::{mutant, Mutant::UnsafeRetried, Mutant::UnwantedHedge};
use crate::state::{Attempt, AttemptId, InFlightAttempt, Member, Request};

/// Timeout of an attempt.
#[derive(Clone, Copy)]
struct AttemptDeadline {
    at: Time,
    /// Timeout that applies if the attempt is a trial of a suspected member.
    trial_end: Time,
}

impl Router {
    /// Whether the rules allow this request to be sent to this member.
    fn is_send_allowed(&self, request: &Request, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let class = &self.settings.classes[request.class];
        // Rule 1: only open requests, before their deadline and within the window of their idempotency key.
        let in_time =
            self.now < request.deadline && !request.is_exhausted(class, self.now + self.settings.granularity);
        // Rule 2: no second effect, and no hedged request unless hedging is enabled.
        let obeys_hedging_rule =
            self.settings.may_hedge || mutant(UnwantedHedge) || !request.has_attempt_in_flight();
        let is_duplicate_safe = self.is_duplicate_safe(request, class.effect, id, member);
        // Rule 3: no new sends to a member known to be draining or removed (the grace period is not used).
        let in_service = self.is_in_service(member) && member.group == request.group;
        // Rule 5: only to a member whose data is known to be fresh enough.
        let fresh = self.is_fresh(self.now, &request.id, id);
        // Rule 4: the slow-start budget.
        in_time
            && obeys_hedging_rule
            && is_duplicate_safe
            && in_service
            && fresh
            && self.may_send_in_slow_start(request, id, member)
    }

    /// Whether the request cannot take effect twice if another attempt is sent to this member.
    fn is_duplicate_safe(&self, request: &Request, effect: Effect, id: MemberId, member: &Member) -> bool {
        let Some(first) = request.first_possible_execution() else { return true };
        match effect {
            Effect::Safe | Effect::Keyed { scope: Scope::All, .. } => true,
            Effect::Unsafe => mutant(UnsafeRetried),
            Effect::Keyed { scope: Scope::Group, .. } => self.group_of(first.member) == Some(member.group),
            Effect::Keyed { scope: Scope::Zone, .. } => first.member == id,
        }
    }

    /// Whether the data of a member is known to be fresh enough for a request (rule 5); always true if
    /// members check freshness themselves. Must be checked again immediately before the first byte of an
    /// attempt is written, since opening the connection may have taken long.
    pub fn is_fresh(&self, now: Time, request: &RequestId, id: MemberId) -> bool {
        let Some(sequence) = self.sequences.get(request) else { return false };
        let (Some(state), Some(member)) = (self.requests.get(sequence), self.members.get(&id)) else {
            return false;
        };
        let need = self.settings.classes[state.class].need;
        if need == Need::Write || self.settings.stale_read_policy != StaleReadPolicy::Serve {
            return true;
        }
        let horizon = need.bound().map(|bound| self.host_clock.horizon(bound, now));
        let minimum = state.minimum_position.max(horizon);
        let is_known = need != Need::Strong && minimum.is_none_or(|minimum| member.position >= minimum);
        is_known || member.is_primary() && self.is_confirmed_primary(now, request, id, member, need)
    }

    /// Whether a member is still certain to be the primary. An attempt that has been in flight for long may
    /// have been answered by a former primary and its answer lost; in that case only recent evidence is
    /// accepted.
    fn is_confirmed_primary(
        &self,
        now: Time,
        request: &RequestId,
        id: MemberId,
        member: &Member,
        need: Need,
    ) -> bool {
        let span = need.bound().unwrap_or(0).max(2 * ASSUMED_KNOWN_AFTER) - ASSUMED_KNOWN_AFTER;
        if now - member.primary_evidence_at <= span {
            return true;
        }
        let mut at_member = self.in_flight.at_member(id);
        !at_member.any(|(attempt_id, attempt)| attempt_id.request != *request && attempt.may_be_lost(now))
    }

    /// Sends a request to a member if the rules allow it.
    pub(super) fn send(&mut self, sequence: u64, id: MemberId) {
        let Some(request) = self.requests.get(&sequence) else { return };
        let Some(member) = self.members.get(&id) else { return };
        if !self.is_send_allowed(request, id) {
            return;
        }
        let deadline = self.attempt_deadline(request, member);
        let slow_start_tokens = self.slow_start_tokens_after_send(member, request.class);
        if self.is_paid_trial(request, member) {
            self.budgets.trials -= 1.0;
        }
        self.record_send(id, slow_start_tokens, deadline);
        self.insert_attempt(sequence, id, deadline);
    }

    /// Computes the timeout of an attempt. A trial of a suspected member is short, so that the request has
    /// time left for another attempt. At a primary it is longer: if the primary is only overloaded, a request
    /// that no other member can serve is better off in its queue.
    fn attempt_deadline(&self, request: &Request, member: &Member) -> AttemptDeadline {
        let span = if member.is_primary() {
            (request.deadline - self.now) / 2
        } else {
            self.settings.classes[request.class].latency_target / 2
        };
        let trial_end = self.now + span;
        let at = if member.suspected { request.deadline.min(trial_end) } else { request.deadline };
        AttemptDeadline { at, trial_end }
    }

    /// Whether this send is a trial that consumes trial budget. It does not if only suspected members are
    /// left, since the request has no better candidate.
    fn is_paid_trial(&self, request: &Request, member: &Member) -> bool {
        member.suspected && !member.is_primary() && !self.has_only_suspected_members(request.group)
    }

    fn record_send(&mut self, id: MemberId, slow_start_tokens: f64, deadline: AttemptDeadline) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.slow_start_tokens = slow_start_tokens;
        if member.suspected {
            member.ejected_until = deadline.trial_end;
        }
    }

    fn insert_attempt(&mut self, sequence: u64, id: MemberId, deadline: AttemptDeadline) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&sequence) else { return };
        let Some(member) = self.members.get_mut(&id) else { return };
        let number = request.attempts.len() as u32;
        let others_in_flight = f64::from(member.in_flight);
        let in_flight = InFlightAttempt { member: id, sent: now, class: request.class, others_in_flight };
        self.in_flight.insert(AttemptId { request: request.id.clone(), number }, in_flight);
        member.in_flight += 1;
        request.attempts.push(Attempt { member: id, sent: now, in_flight: true, ..Attempt::default() });
        let group = request.group;
        self.actions.push(Action::Send { request: request.id.clone(), member: id, until: deadline.at });
        if !mutant(UnwantedHedge) {
            self.dequeue(group, sequence);
        }
    }
}
