//! Reads that replicas may serve: usable members, trials of suspected members, and waiting for a replica that
//! is about to be fresh enough.

use super::primary::{PrimaryRank, PRIMARY_READ_SHARE};
use super::Router;
use crate::interface::{Effect, MemberId, Time};
use crate::state::{share_of, Request};

/// Maximum time that a read waits for a replica (share of the latency target).
const MAX_READ_WAIT_SHARE: f64 = 0.25;
/// Maximum latency target of a request that may be used as a trial (multiple of the shortest latency target).
const MAX_TRIAL_TARGETS: Time = 2;

impl Router {
    /// Selects the member for a read, if one is usable now.
    pub(super) fn select_for_read(&mut self, sequence: u64) -> Option<MemberId> {
        let request = self.requests.get(&sequence)?;
        if let Some(id) = self.suspected_to_try(request) {
            return Some(id);
        }
        let primary = self.primary(request.group);
        let wait_until = self.read_wait_deadline(request);
        let awaited = request.minimum_position.filter(|_| self.may_wait(request, wait_until));
        let awaited = awaited.map(|position| self.host_clock.own_time(position));
        let usable = self.usable_for_read(request, primary);
        let commit = self.forecast_commit(sequence);
        let primary_rank = self.draw_primary_rank(usable.len());
        let choice = self.select_fresh(commit, &usable, primary_rank);
        let Some(position_at) = awaited else { return choice };
        if choice != primary || primary_rank == PrimaryRank::AmongReplicas {
            return choice;
        }
        // Only the primary is fresh, and writes already keep it busy. A short wait is better if a replica is
        // about to reach the position.
        for id in usable.into_iter().filter(|id| Some(*id) != primary) {
            let fresh_at = position_at + self.draw_lag(id);
            if (self.now..wait_until).contains(&fresh_at) {
                return None;
            }
        }
        choice
    }

    /// A suspected member to which this request may be sent as a trial.
    fn suspected_to_try(&self, request: &Request) -> Option<MemberId> {
        if self.settings.classes[request.class].effect != Effect::Safe {
            return None;
        }
        if self.has_only_suspected_members(request.group) {
            return self.least_recently_tried(request);
        }
        if !self.may_spend_trial(request) {
            return None;
        }
        self.group_members(request.group).iter().copied().find(|id| self.may_try_with(request, *id))
    }

    /// Whether the request may be sent to a suspected member although others are healthy: it must have a
    /// short latency target and no attempts, and the trial budget must not be exhausted.
    fn may_spend_trial(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let is_short = class.latency_target <= MAX_TRIAL_TARGETS * self.shortest_latency_target;
        request.attempts.is_empty() && is_short && self.budgets.trials >= 1.0
    }

    /// The member whose last trial was the longest ago, for groups with only suspected members: trying them
    /// in turn finds a member that has recovered even if others have not. Any attempt of a read may be used
    /// as a trial, since no other member would serve it.
    fn least_recently_tried(&self, request: &Request) -> Option<MemberId> {
        let may_try =
            |id: &MemberId| self.may_try_with(request, *id) && !self.was_recently_tried(request, *id);
        let candidates = self.group_members(request.group).iter().copied().filter(may_try);
        candidates.min_by_key(|id| (self.members[id].ejected_until, *id))
    }

    /// Whether this request may be sent to this suspected member as a trial. Members whose data is not known
    /// to be fresh enough are not tried with this request.
    fn may_try_with(&self, request: &Request, id: MemberId) -> bool {
        self.may_try_suspected(id, request.class) && self.is_fresh(self.now, &request.id, id)
    }

    /// Whether only one attempt is left. The last attempt is reserved for the primary.
    fn is_last_attempt(&self, request: &Request) -> bool {
        let max_attempts = self.settings.classes[request.class].attempts as usize;
        !request.attempts.is_empty() && request.attempts.len() + 1 >= max_attempts
    }

    fn read_wait_deadline(&self, request: &Request) -> Time {
        let latency_target = self.settings.classes[request.class].latency_target;
        request.first_arrived_at
            + self.settings.read_wait_bound.min(share_of(latency_target, MAX_READ_WAIT_SHARE))
    }

    fn may_wait(&self, request: &Request, wait_until: Time) -> bool {
        !self.is_last_attempt(request) && self.now < wait_until
    }

    fn usable_for_read(&self, request: &Request, primary: Option<MemberId>) -> Vec<MemberId> {
        let only_primary = self.is_last_attempt(request);
        let mut usable: Vec<MemberId> = Vec::new();
        for id in self.group_members(request.group).iter().copied() {
            let is_primary = Some(id) == primary;
            let share = if is_primary { PRIMARY_READ_SHARE } else { 1.0 };
            let Some(member) = self.members.get(&id) else { continue };
            let has_capacity = self.is_selectable(id)
                && self.has_concurrency(id, share)
                && self.may_send_in_slow_start(request, id, member);
            if has_capacity && !self.was_recently_tried(request, id) && (!only_primary || is_primary) {
                usable.push(id);
            }
        }
        // The slow-start budget of a primary is reserved for writes as long as reads have another usable
        // member.
        if usable.iter().any(|id| Some(*id) != primary) {
            usable.retain(|id| Some(*id) != primary || !self.is_in_slow_start(&self.members[id]));
        }
        usable
    }
}
