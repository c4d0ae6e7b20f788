//! Reports of attempts and abandoned requests. Each request ends exactly once.

use super::{AttemptInFlight, AttemptSpec, OpenRequest, Outcome, RequestTable, SessionNeed, SessionWrite};
use petrelgauge_policy::{
    mutant, AttemptOutcome, Ending, Event, MemberId, Mutant, Need, RequestId, Role, StaleReadPolicy, Time,
};
use petrelgauge_sessions::{AnswerEvidence, SessionKey, Verdict};

impl RequestTable {
    /// Ends a request whose client no longer waits. Returns whether the request was still open.
    pub fn abandon(&mut self, request: &RequestId) -> bool {
        if mutant(Mutant::SentAfterDeadline) {
            return self.open_requests.contains_key(request);
        }
        let Some(open) = self.open_requests.remove(request) else { return false };
        if let Some(key) = open.unconfirmed_write() {
            self.unconfirmed_writes.push(key);
        }
        self.pending_events.push(Event::Abandoned { request: request.clone() });
        true
    }

    /// Records the outcome of an attempt whose connection was closed or returned to the pool. Returns whether
    /// the member's answer is the final answer of the request, to be sent to the client. A second report of
    /// an attempt is ignored.
    pub fn report(&mut self, now: Time, attempt: &AttemptSpec, mut outcome: Outcome) -> bool {
        // A second report would decrement the member's attempt count twice.
        let Some(in_flight) = self.attempts_in_flight.remove(&attempt.id) else { return false };
        let request = &attempt.id.request;
        self.record_write(now, &in_flight, &outcome);
        let is_stale = self.is_stale_answer(attempt, in_flight.class, &outcome);
        if outcome.ending == Ending::Served && (is_stale || !self.accept_answer(now, request, &outcome)) {
            // The data were too old: treated as if the member itself had rejected the request.
            outcome.ending = Ending::Rejected;
        }
        self.record_position(attempt.host, &outcome);
        if let (false, Some(open)) = (outcome.ending.never_ran(), self.open_requests.get_mut(request)) {
            open.may_have_run_since.get_or_insert(attempt.issued_at);
        }
        let is_answer = outcome.ending == Ending::Served || outcome.is_unusable;
        // The request ends now and not with the next step, so that no rejection can replace the answer.
        let is_final_answer = is_answer
            && (self.open_requests.remove(request).is_some() || mutant(Mutant::RejectedAfterAnswer));
        self.pending_events.push(Event::Outcome(AttemptOutcome {
            request: request.clone(),
            attempt: attempt.id.number,
            member: attempt.host,
            ending: outcome.ending,
            took: (now - attempt.issued_at).max(0),
            closed: is_answer || !self.open_requests.contains_key(request),
            position: outcome.position,
            role: outcome.role,
            report: outcome.report,
        }));
        is_final_answer
    }

    /// Records the write of a session, even if its client has left: the session's next read may use another
    /// connection.
    fn record_write(&mut self, now: Time, attempt: &AttemptInFlight, outcome: &Outcome) {
        let hosts_now = self.latest_hosts_time(now);
        let (Some(tracker), Some(write)) = (&mut self.session_tracker, attempt.session_write) else { return };
        let SessionWrite { key, arrived_at } = write;
        match outcome.ending {
            Ending::Served => {
                let hosts_arrived_at = hosts_now - (now - arrived_at);
                tracker.record_write(hosts_now, key, hosts_arrived_at, outcome.position);
            }
            // The write may have been committed although its answer was lost.
            Ending::ConnectionLost | Ending::TimedOut | Ending::Cancelled => {
                tracker.record_unconfirmed_write(hosts_now, key)
            }
            _ => {}
        }
    }

    /// Records the position that a replica reported. A late report of a removed member must not add an entry
    /// for it.
    fn record_position(&mut self, host: MemberId, outcome: &Outcome) {
        let is_tracked = self.session_tracker.is_some() && self.listed_members.contains(&host);
        if let (Some(position), Some(Role::Replica), true) = (outcome.position, outcome.role, is_tracked) {
            let highest = self.reported_positions.entry(host).or_default();
            *highest = position.max(*highest);
        }
    }

    /// Records writes that were abandoned since the last call, at the current time: if they ran, they were
    /// committed before it.
    pub(super) fn record_unconfirmed_writes(&mut self, now: Time) {
        let hosts_now = self.latest_hosts_time(now);
        let Some(tracker) = &mut self.session_tracker else { return };
        self.unconfirmed_writes.drain(..).for_each(|key| tracker.record_unconfirmed_write(hosts_now, key));
    }

    /// Ends a request that was not served. Returns none if it has ended already.
    pub(super) fn end_unserved(&mut self, now: Time, request: &RequestId) -> Option<()> {
        let open = self.open_requests.remove(request)?;
        let hosts_now = self.latest_hosts_time(now);
        if let (Some(tracker), Some(key)) = (&mut self.session_tracker, open.unconfirmed_write()) {
            tracker.record_unconfirmed_write(hosts_now, key);
        }
        Some(())
    }

    /// Whether the member's report shows that its data are older than the class allows, because the router
    /// took a replica for the primary. Members that check staleness by themselves reject the request in that
    /// case.
    fn is_stale_answer(&self, attempt: &AttemptSpec, class: usize, outcome: &Outcome) -> bool {
        let need = self.classes.class(class).need;
        let Some(bound) = need.bound().or((need == Need::Strong).then_some(0)) else { return false };
        let is_unchecked_replica =
            self.settings.stale_read_policy == StaleReadPolicy::Serve && outcome.role == Some(Role::Replica);
        let oldest_allowed = self.latest_hosts_time(attempt.issued_at) - bound;
        is_unchecked_replica && outcome.position.is_some_and(|position| position < oldest_allowed)
    }

    /// Whether an answer can be the final answer of its request: the answer to a session's read must prove
    /// the minimum position. Records an accepted answer as seen by the session.
    fn accept_answer(&mut self, now: Time, request: &RequestId, outcome: &Outcome) -> bool {
        let hosts_now = self.latest_hosts_time(now);
        let Some(tracker) = &mut self.session_tracker else { return true };
        let session = self.open_requests.get(request).and_then(|open| open.session.as_ref());
        let Some(SessionNeed { key, minimum_position: Some(minimum), position_at_send, .. }) = session else {
            return true;
        };
        let evidence = AnswerEvidence {
            position: outcome.position,
            position_at_send: *position_at_send,
            role: outcome.role,
        };
        if tracker.verify_answer(minimum, &evidence) == Verdict::Unproven {
            return false;
        }
        tracker.record_read(hosts_now, *key, minimum, outcome.position.unwrap_or(0));
        true
    }
}

impl OpenRequest {
    /// The session whose write this is, if the write may have run.
    fn unconfirmed_write(&self) -> Option<SessionKey> {
        let session = self.session.as_ref().filter(|session| session.minimum_position.is_none());
        session.filter(|_| self.attempts > 0).map(|session| session.key)
    }
}
