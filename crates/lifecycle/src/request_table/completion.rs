//! Reports and abandoned requests: the one end of each request.

use super::*;
use petrelgauge_sessions::{AnswerEvidence, Verdict};

impl RequestTable {
    /// The client no longer waits. Returns whether the request was still open.
    pub fn abandon(&mut self, request: &RequestId) -> bool {
        if mutant(Mutant::SentAfterDeadline) {
            return self.open.contains_key(request);
        }
        let Some(open) = self.open.remove(request) else { return false };
        if let OpenRequest {
            attempts: 1..,
            session: Some(SessionNeed { key, minimum_position: None, .. }),
            ..
        } = open
        {
            self.unconfirmed_writes.push(key);
        }
        self.queue.push(Event::Abandoned { request: request.clone() });
        true
    }

    /// An attempt ended, and its connection was closed or returned to the pool. Returns whether the member's answer is the
    /// final answer of the request, to be sent to the client. A second report of an attempt is ignored.
    pub fn report(&mut self, now: Time, send: &Send, mut outcome: Outcome) -> bool {
        // A second report would decrement the attempts of the member twice.
        let Some(attempt) = self.in_flight.remove(&(send.request.clone(), send.attempt)) else {
            return false;
        };
        self.record_write(now, &attempt, &outcome);
        let is_stale = self.shows_old_data(send, attempt.class, &outcome);
        if outcome.ending == Ending::Served && (is_stale || !self.accept_answer(now, &send.request, &outcome))
        {
            // The data were too old: as if the member had rejected the request by itself.
            outcome.ending = Ending::Rejected;
        }
        self.record_position(send.host, &outcome);
        if let (false, Some(open)) = (outcome.ending.never_ran(), self.open.get_mut(&send.request)) {
            open.may_have_run_since.get_or_insert(send.at);
        }
        let answered = outcome.ending == Ending::Served || outcome.unusable;
        // The request ends here and not with the next step: no rejection may replace an answer.
        let is_final =
            answered && (self.open.remove(&send.request).is_some() || mutant(Mutant::RejectedAfterAnswer));
        self.queue.push(Event::Outcome {
            request: send.request.clone(),
            attempt: send.attempt,
            member: send.host,
            ending: outcome.ending,
            took: (now - send.at).max(0),
            closed: answered || !self.open.contains_key(&send.request),
            position: outcome.position,
            role: outcome.role,
            report: outcome.report,
        });
        is_final
    }

    /// Records the write of a session, also if its client has left: the session's next read may use another connection.
    fn record_write(&mut self, now: Time, attempt: &AttemptInFlight, outcome: &Outcome) {
        let hosts_now = self.hosts_now(now);
        let (Some(tracker), Some((key, arrived))) = (&mut self.session_tracker, attempt.writes) else {
            return;
        };
        let arrived = hosts_now - (now - arrived);
        match outcome.ending {
            Ending::Served => tracker.record_write(hosts_now, key, arrived, outcome.position),
            // The write may have been committed, and its answer lost.
            Ending::ConnectionLost | Ending::TimedOut | Ending::Cancelled => {
                tracker.record_unconfirmed_write(hosts_now, key)
            }
            _ => {}
        }
    }

    /// Records the position that a replica reported. A late report of a removed member must not add an entry for it.
    fn record_position(&mut self, host: MemberId, outcome: &Outcome) {
        let is_tracked = self.session_tracker.is_some() && self.listed.contains(&host);
        if let (Some(position), Some(Role::Replica), true) = (outcome.position, outcome.role, is_tracked) {
            let highest = self.reported_positions.entry(host).or_default();
            *highest = position.max(*highest);
        }
    }

    /// Records abandoned writes, now that the time is known: what may have run was committed before it.
    pub(super) fn record_unconfirmed_writes(&mut self, now: Time) {
        let hosts_now = self.hosts_now(now);
        let Some(tracker) = &mut self.session_tracker else { return };
        self.unconfirmed_writes.drain(..).for_each(|key| tracker.record_unconfirmed_write(hosts_now, key));
    }

    /// A request ends without having been served.
    pub(super) fn end(&mut self, now: Time, request: &RequestId) -> Option<OpenRequest> {
        let open = self.open.remove(request)?;
        let hosts_now = self.hosts_now(now);
        if let (Some(tracker), Some(SessionNeed { key, minimum_position: None, .. })) =
            (&mut self.session_tracker, &open.session)
        {
            if open.attempts > 0 {
                tracker.record_unconfirmed_write(hosts_now, *key);
            }
        }
        Some(open)
    }

    /// Whether the member's report shows that its data are older than the class allows: it was taken for the primary, and
    /// is a replica. Members that check this by themselves don't answer in that case.
    fn shows_old_data(&self, send: &Send, class: usize, outcome: &Outcome) -> bool {
        let need = self.classes.class(class).need;
        let Some(bound) = need.bound().or((need == Need::Strong).then_some(0)) else { return false };
        let replica =
            self.settings.stale_read_policy == StaleReadPolicy::Serve && outcome.role == Some(Role::Replica);
        replica && outcome.position.is_some_and(|position| position < self.hosts_now(send.at) - bound)
    }

    /// Whether the answer of a member that served an open request can be its final answer: for a read of a session it must
    /// prove the minimum position. What the session has seen is recorded then.
    fn accept_answer(&mut self, now: Time, request: &RequestId, outcome: &Outcome) -> bool {
        let hosts_now = self.hosts_now(now);
        let Some(tracker) = &mut self.session_tracker else { return true };
        let session = self.open.get(request).and_then(|open| open.session.as_ref());
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
