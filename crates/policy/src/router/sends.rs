//! Guards and sends: what every attempt must pass, whatever path wants it.

use super::*;

impl Router {
    pub(super) fn has_capacity(&self, id: MemberId, share: f64) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let cap = if member.consecutive_failures >= DOUBTFUL {
            1.0
        } else {
            member.concurrency_limit * self.quota_part(member.group) * share
        };
        let out = member.in_flight.saturating_sub(member.presumed_lost) as f64;
        out < cap.max(1.0) && self.now >= member.paced_until && self.has_slow_start_budget(member)
    }

    /// May this attempt go out at all? Asked for every send, whatever path wants it.
    pub(super) fn allowed(&self, req: &Request, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let class = &self.set.classes[req.class];
        // Rule 1: only an open request, and only while its client waits. No key is used behind its window.
        let in_time = self.now < req.deadline && !req.is_exhausted(class, self.now + self.set.granularity);
        // Rule 2: no second effect, no second copy where there may be none.
        let alone = self.set.may_hedge || mutant(SecondCopy) || !req.has_attempt_in_flight();
        let repeatable = match (class.effect, req.first_possible_execution()) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, Some(_)) => mutant(UnsafeRepeated),
            (Effect::Keyed { scope, .. }, Some(first)) => match scope {
                Scope::All => true,
                Scope::Group => self.members.get(&first.member).is_some_and(|m| m.group == member.group),
                Scope::Zone => first.member == id,
            },
        };
        // Rule 3: nothing new to a member known to drain or be gone (the grace is not used).
        let standing = self.is_in_service(member) && member.group == req.group;
        let fresh = self.is_fresh(self.now, &req.id, id);
        // Rule 4: the cold budget.
        in_time && alone && repeatable && standing && fresh && self.has_slow_start_budget(member)
    }

    /// Rule 5: where members do not check for themselves, the data must be known to be fresh enough. That is
    /// asked again right before an attempt's first byte: a connection may have taken long to come up.
    pub fn is_fresh(&self, now: Time, request: &RequestId, id: MemberId) -> bool {
        let req = self.names.get(request).and_then(|seq| self.requests.get(seq));
        let (Some(req), Some(member)) = (req, self.members.get(&id)) else { return false };
        let need = self.set.classes[req.class].need;
        let mark = req.minimum_position.max(need.bound().map(|bound| self.fleet_clock.horizon(bound, now)));
        let known = need != Need::Strong && mark.is_none_or(|mark| member.position >= mark);
        // What has long been out there may have been answered by one that leads no more, and that been lost.
        let lost =
            |(of, out): (&(RequestId, u32), &InFlightAttempt)| of.0 != *request && out.may_be_lost(id, now);
        let recent = now - member.primary_evidence_at
            <= need.bound().unwrap_or(0).max(2 * ASSUMED_KNOWN_AFTER) - ASSUMED_KNOWN_AFTER;
        let checked = need == Need::Write || self.set.behind != Behind::Serve || known;
        checked || member.is_primary() && (recent || !self.in_flight.iter().any(lost))
    }

    pub(super) fn send(&mut self, seq: u64, id: MemberId) {
        let Some(req) = self.requests.get(&seq).filter(|req| self.allowed(req, id)) else { return };
        let (now, request, class, group, end) =
            (self.now, req.id.clone(), req.class, req.group, req.deadline);
        let place = req.attempts.len() as u32;
        let credit = self.members.get(&id).map_or(0.0, |member| self.slow_start_tokens(member)) - 1.0;
        let Some(member) = self.members.get_mut(&id) else { return };
        (member.start_tokens, member.start_tokens_at) = (credit, now);
        // A suspect is tried for a short while, so that its request has time left for another.
        // What no other can take is better off in its queue for a while, if it is only crowded.
        let trial =
            if member.is_primary() { (end - now) / 2 } else { self.set.classes[class].latency_target / 2 }
                + now;
        let until = if member.suspected { end.min(trial) } else { end };
        if member.suspected {
            member.ejected_until = trial;
            self.trial_budget -= if member.is_primary() { 0.0 } else { 1.0 };
        }
        let out = InFlightAttempt { member: id, sent: now, class, beside: member.in_flight as f64 };
        self.in_flight.insert((request.clone(), place), out);
        member.in_flight += 1;
        if let Some(req) = self.requests.get_mut(&seq) {
            req.attempts.push(Attempt { member: id, sent: now, in_flight: true, ..Attempt::default() });
            if !mutant(SecondCopy) {
                self.dequeue(group, seq);
            }
        }
        self.actions.push(Action::Send { request, member: id, until });
    }
}
