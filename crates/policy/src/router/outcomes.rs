//! Outcomes: updates the state of the member when an attempt ends, and closes or requeues the request.

use super::concurrency::{adapt_concurrency_limit, pace_sends, reduce_concurrency_limit};
use super::evidence::{push_sample, Evidence};
use super::health::SILENCE_FAILURES;
use super::Router;
use crate::interface::{AttemptOutcome, Effect, Ending, MemberId, Need, Note, Report, Time};
use crate::mutant::{mutant, Mutant::UnsafeRetried};
use crate::state::{AttemptId, InFlightAttempt, Sample};

/// Maximum duration of an ejection, in doublings of the granularity (count).
const MAX_BACKOFF_DOUBLINGS: u32 = 7;
/// Time after which a failing connection is treated as hung, as a divisor of the shortest latency target. A
/// connection that is refused immediately indicates a fault of the process, one that hangs a fault of its
/// machine.
const HUNG_CONNECTION_DIVISOR: Time = 16;

/// Timing of an attempt, as a measurement of its member.
struct Measurement {
    sent: Time,
    /// Latency target of the class of the request (microseconds).
    latency_target: f64,
    /// Time from send to end, in latency targets.
    sojourn: f64,
    /// The sojourn divided by the number of attempts in flight at the time of the send, including this one.
    sample: Sample<f64>,
    /// This router's quota of the member's concurrency limit (fraction).
    quota: f64,
}

impl Router {
    /// Records the outcome of an attempt: updates the member's health, samples and concurrency limit, then
    /// closes the request or queues it for a retry.
    pub(super) fn record_outcome(&mut self, outcome: &AttemptOutcome) {
        let attempt_id = AttemptId { request: outcome.request.clone(), number: outcome.attempt };
        let attempt = self.in_flight.remove(&attempt_id);
        let is_write =
            attempt.as_ref().is_some_and(|attempt| self.settings.classes[attempt.class].need == Need::Write);
        if outcome.is_answer() {
            self.record_answer(outcome, is_write);
        }
        if outcome.ending == Ending::Served {
            self.record_service_time(is_write, outcome.took);
            if let Some(attempt) = &attempt {
                self.record_served_load(outcome.member, self.settings.classes[attempt.class].latency_target);
            }
        }
        if let Some(attempt) = attempt.filter(|_| self.members.contains_key(&outcome.member)) {
            let measurement = self.measure(outcome, &attempt);
            self.record_attempt_end(outcome);
            self.update_shed_share(outcome.ending, measurement.sample);
            self.record_sojourn(outcome, &measurement);
            self.record_suspicion(outcome, &measurement);
            self.back_off(outcome, &measurement);
        }
        self.close_or_requeue(outcome);
    }

    fn record_answer(&mut self, outcome: &AttemptOutcome, is_write: bool) {
        let now = self.now;
        let is_commit = is_write && outcome.ending == Ending::Served;
        let position = outcome.position.filter(|_| !is_commit);
        let answer = Evidence { position, role: outcome.role, role_at: Some(now) };
        self.record_evidence(outcome.member, answer);
        self.record_report(outcome.member, &outcome.report);
        if let Some(committed_at) = outcome.position.filter(|_| is_commit) {
            self.record_commit(outcome.member, committed_at);
        }
    }

    /// Records the role and position of a load report.
    pub(super) fn record_report(&mut self, id: MemberId, report: &Report) {
        let role_at = self.host_clock.as_of(report, self.now);
        let evidence = Evidence { position: report.position, role: report.role, role_at };
        self.record_evidence(id, evidence);
    }

    fn measure(&self, outcome: &AttemptOutcome, attempt: &InFlightAttempt) -> Measurement {
        let latency_target = self.settings.classes[attempt.class].latency_target as f64;
        let sojourn = outcome.took as f64 / latency_target;
        let group = self.group_of(outcome.member);
        Measurement {
            sent: attempt.sent,
            latency_target,
            sojourn,
            sample: Sample { taken_at: self.now, value: sojourn / (1.0 + attempt.others_in_flight) },
            quota: group.map_or(self.base_quota, |group| self.quota(group)),
        }
    }

    /// Records that the attempt is no longer in flight and, if the member answered, that it is responsive.
    fn record_attempt_end(&mut self, outcome: &AttemptOutcome) {
        let Some(member) = self.members.get_mut(&outcome.member) else { return };
        member.in_flight = member.in_flight.saturating_sub(1);
        if !outcome.is_answer() {
            return;
        }
        member.last_heard_at = self.now;
        if member.suspected {
            self.indexes.clear_suspicion(outcome.member, member);
            member.ejected_until = self.now;
            self.log_note(Note::MemberRecovered { member: outcome.member });
        }
    }

    /// Whether the attempt timed out at a member that was silent since the send. Always false if health
    /// checks are enabled, since they detect this instead.
    fn was_silent(&self, outcome: &AttemptOutcome, measurement: &Measurement) -> bool {
        let silent = self.members.get(&outcome.member).is_some_and(|m| m.last_heard_at <= measurement.sent);
        outcome.ending == Ending::TimedOut && silent && !self.settings.may_probe
    }

    /// Records the sojourn and adapts the member's concurrency limit. An attempt that timed out or was
    /// cancelled is recorded with the time it took until then: otherwise only fast answers would be recorded
    /// and an overloaded member would look healthy.
    fn record_sojourn(&mut self, outcome: &AttemptOutcome, measurement: &Measurement) {
        let was_silent = self.was_silent(outcome, measurement);
        let Some(member) = self.members.get_mut(&outcome.member) else { return };
        let Measurement { sojourn, sample, quota, .. } = *measurement;
        match outcome.ending {
            Ending::Served => {
                member.consecutive_failures = 0;
                push_sample(&mut member.sojourns, sample);
                push_sample(&mut self.load.sojourns, sample);
                adapt_concurrency_limit(member, sojourn, quota);
            }
            Ending::TimedOut | Ending::Cancelled if !was_silent => {
                push_sample(&mut member.sojourns, sample);
                adapt_concurrency_limit(member, sojourn.min(1.0), quota);
            }
            Ending::QueueFull => reduce_concurrency_limit(member, quota),
            _ => {}
        }
    }

    /// Suspects a member that was silent, or for which a connection failed right after another failure: a
    /// single connection failure may be accidental.
    fn record_suspicion(&mut self, outcome: &AttemptOutcome, measurement: &Measurement) {
        let was_silent = self.was_silent(outcome, measurement);
        let hung = outcome.took > self.shortest_latency_target / HUNG_CONNECTION_DIVISOR;
        let Some(member) = self.members.get_mut(&outcome.member) else { return };
        if was_silent {
            member.suspected = true;
            member.consecutive_failures = member.consecutive_failures.max(SILENCE_FAILURES);
        }
        if matches!(outcome.ending, Ending::ConnectFailed | Ending::ConnectionLost) {
            member.suspected |= member.consecutive_failures > 0;
            if hung {
                self.indexes.record_loss(member, self.now);
            }
        }
        self.indexes.update_unhealthy(outcome.member, member);
    }

    /// Paces sends to the member and ejects it after a failure. A member that fails fast (full queue,
    /// draining, broken connections) looks idle and fast and would attract more and more requests, so each
    /// consecutive failure doubles its ejection. This handles all faults in which a member answers health
    /// checks but fails requests; the cost to a member that failed by chance is one short ejection.
    fn back_off(&mut self, outcome: &AttemptOutcome, measurement: &Measurement) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&outcome.member) else { return };
        pace_sends(member, measurement.sojourn, measurement.latency_target, measurement.quota, now);
        if outcome.is_failure() {
            member.consecutive_failures = (member.consecutive_failures + 1).min(MAX_BACKOFF_DOUBLINGS);
            member.ejected_until = now + (self.settings.granularity << member.consecutive_failures);
        }
    }

    /// Closes the request, queues it for another attempt, or gives its final answer.
    fn close_or_requeue(&mut self, outcome: &AttemptOutcome) {
        let Some(sequence) = self.sequences.get(&outcome.request).copied() else { return };
        let Some(request) = self.requests.get_mut(&sequence) else { return };
        let never_ran = outcome.ending.never_ran();
        if let Some(attempt) = request.attempts.get_mut(outcome.attempt as usize) {
            attempt.in_flight = false;
            attempt.may_have_run = !never_ran;
            attempt.reached = !matches!(outcome.ending, Ending::ConnectFailed | Ending::NotSent);
            if outcome.ending != Ending::Cancelled {
                attempt.ended_at = self.now;
            }
        }
        if outcome.closed || outcome.ending == Ending::Served {
            return self.close(sequence);
        }
        if request.has_attempt_in_flight() {
            return;
        }
        let effect = self.settings.classes[request.class].effect;
        let group = request.group;
        if effect == Effect::Unsafe && !never_ran && !mutant(UnsafeRetried) {
            return self.finish(sequence);
        }
        self.enqueue(group, sequence);
    }
}
