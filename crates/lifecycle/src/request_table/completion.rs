//! Reports and withdrawals: the one end of each request.

use super::*;
use petrelgauge_sessions::{AnswerEvidence, Verdict};

impl RequestTable {
    /// The client no longer waits. Whether the request was still open.
    pub fn abandon(&mut self, request: &RequestId) -> bool {
        if mutant(Mutant::SentAfterDeadline) {
            return self.open.contains_key(request);
        }
        let Some(open) = self.open.remove(request) else { return false };
        if let Open { attempts: 1.., watch: Some(SessionWatch { key, floor: None, .. }), .. } = open {
            self.unsure.push(key);
        }
        self.queue.push(Event::Abandoned { request: request.clone() });
        true
    }

    /// An attempt ended: its connection rests or is closed. True if the member answered and the request is still
    /// open: then what the member said is the request's final answer, and is owed to the client.
    pub fn report(&mut self, now: Time, send: &Send, mut outcome: Outcome) -> bool {
        // Reported already? A second word would count the attempt out twice.
        let Some(errand) = self.out.remove(&(send.request.clone(), send.attempt)) else { return false };
        let hosts_now = self.hosts_now(now);
        if let (Some(tracker), Some((key, arrived))) = (&mut self.session_tracker, errand.writes) {
            let arrived = hosts_now - (now - arrived);
            match outcome.ending {
                // Also if its client has left: the session's next read may come by another connection.
                Ending::Served => tracker.record_write(hosts_now, key, arrived, outcome.position),
                // Its answer may have been lost on the way.
                Ending::ConnectionLost | Ending::TimedOut | Ending::Cancelled => {
                    tracker.record_unconfirmed_write(hosts_now, key)
                }
                _ => {}
            }
        }
        let old = self.shows_old_data(send, errand.class, &outcome);
        if outcome.ending == Ending::Served && (old || !self.served(now, &send.request, &outcome)) {
            // Its data were too old: as if the member had turned the read away by itself.
            outcome.ending = Ending::Rejected;
        }
        // A late word of a member that is gone must not keep a place for it.
        let kept = self.session_tracker.is_some() && self.listed.contains(&send.host);
        if let (Some(position), Some(Role::Replica), true) = (outcome.position, outcome.role, kept) {
            let told = self.told.entry(send.host).or_default();
            *told = position.max(*told);
        }
        if let (false, Some(open)) = (outcome.ending.never_ran(), self.open.get_mut(&send.request)) {
            open.ran_from.get_or_insert(send.at);
        }
        let answered = outcome.ending == Ending::Served || outcome.unusable;
        // Closed here and not by the next step: no refusal may overtake an answer.
        let owed =
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
        owed
    }

    /// Learns the time: what was given up before it, and may have run, was committed before it.
    pub(super) fn look(&mut self, now: Time) {
        let hosts_now = self.hosts_now(now);
        let Some(tracker) = &mut self.session_tracker else { return };
        self.unsure.drain(..).for_each(|key| tracker.record_unconfirmed_write(hosts_now, key));
    }

    /// A request ends without having been served.
    pub(super) fn end(&mut self, now: Time, request: &RequestId) -> Option<Open> {
        let open = self.open.remove(request)?;
        let hosts_now = self.hosts_now(now);
        if let (Some(tracker), Some(SessionWatch { key, floor: None, .. })) =
            (&mut self.session_tracker, &open.watch)
        {
            if open.attempts > 0 {
                tracker.record_unconfirmed_write(hosts_now, *key);
            }
        }
        Some(open)
    }

    /// What a member says of itself with its answer shows that its data were older than the class allows: it was taken for
    /// the primary, and is none. Where members check for themselves they do not answer then.
    pub(super) fn shows_old_data(&self, send: &Send, class: usize, outcome: &Outcome) -> bool {
        let need = self.rules.class(class).need;
        let Some(bound) = need.bound().or((need == Need::Strong).then_some(0)) else { return false };
        let replica =
            self.settings.stale_read_policy == StaleReadPolicy::Serve && outcome.role == Some(Role::Replica);
        replica && outcome.position.is_some_and(|position| position < self.hosts_now(send.at) - bound)
    }

    /// A member served an open request. Whether that is the answer: for a session's read it must prove its floor.
    pub(super) fn served(&mut self, now: Time, request: &RequestId, outcome: &Outcome) -> bool {
        let hosts_now = self.hosts_now(now);
        let Some(tracker) = &mut self.session_tracker else { return true };
        let watch = self.open.get(request).and_then(|open| open.watch.as_ref());
        // What a write has made was recorded by the tracker.
        let Some(SessionWatch { key, floor: Some(floor), before, .. }) = watch else { return true };
        let answer =
            AnswerEvidence { position: outcome.position, position_at_send: *before, role: outcome.role };
        if tracker.verify_answer(floor, &answer) == Verdict::Unproven {
            return false;
        }
        tracker.record_read(hosts_now, *key, floor, outcome.position.unwrap_or(0));
        true
    }
}
