//! Slow start: the budget of attempts for a member that has just started.

use super::Router;
use crate::interface::MemberId;
use crate::state::Member;

/// Part of the budget of a warming member that all routers together plan to use (fraction): it is estimated
/// from what members carry, which is less than they could.
const REPLICA_BUDGET_SHARE: f64 = 1.3;
/// The same for a primary: writes have nowhere else to go.
const PRIMARY_BUDGET_SHARE: f64 = 1.7;
/// The least that a started member is taken to carry (attempts a second, of all routers together).
const MIN_CAPACITY: f64 = 2.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Where a member stands in its slow start, as its router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that the member has by now (fraction).
    pub capacity_share: f64,
    /// What this router may send it (attempts a second).
    pub rate: f64,
    /// Attempts that its budget has room for now.
    pub tokens: f64,
}

impl Router {
    /// Where a member stands in its slow start; none for one that is warm or unknown.
    pub fn slow_start(&self, member: MemberId) -> Option<SlowStart> {
        let member = self.members.get(&member)?;
        let capacity_share = self.capacity_share(member);
        let (rate, tokens) = (self.slow_start_rate(member), self.slow_start_tokens(member));
        (capacity_share < 1.0).then_some(SlowStart { capacity_share, rate, tokens })
    }

    /// Share of its capacity that a member has by now; 1 once it is warm.
    pub(super) fn capacity_share(&self, member: &Member) -> f64 {
        let started = self.fleet_clock.started_at(member.started, member.listed_at).max(member.recovered_at);
        let warm_up = self.settings.slow_start_span.max(1);
        let age = if started > 0 { self.now - started } else { 2 * warm_up };
        let progress = age.max(0) as f64 / warm_up as f64;
        (self.settings.slow_start_initial_share + (1.0 - self.settings.slow_start_initial_share) * progress)
            .min(1.0)
    }

    /// Attempts that a warming member may be sent now: a token bucket. It gets its share of what this router
    /// sees members carry, so that the routers together stay inside the budget without coordination. The
    /// bucket starts with a random part of one attempt: with hundreds of routers even one from each at once
    /// would be too much.
    pub(super) fn slow_start_tokens(&self, member: &Member) -> f64 {
        let rate = self.slow_start_rate(member);
        let most = (rate * self.settings.overload_span as f64 / (2.0 * MICROSECONDS_PER_SECOND)).max(1.0);
        let refilled = rate * (self.now - member.start_tokens_at) as f64 / MICROSECONDS_PER_SECOND;
        (member.start_tokens + refilled).min(most)
    }

    /// What this router may send a warming member (attempts a second).
    fn slow_start_rate(&self, member: &Member) -> f64 {
        let carried =
            self.current_served_rate() / self.available_members.max(1) as f64 * member.weight.min(1.0);
        let least = MIN_CAPACITY / f64::from(self.settings.routers);
        let share = if member.is_primary() { PRIMARY_BUDGET_SHARE } else { REPLICA_BUDGET_SHARE };
        share * self.settings.overload_factor * self.capacity_share(member) * carried.max(least)
    }

    /// Whether the member is warm, or its budget has room for an attempt.
    pub(super) fn has_slow_start_budget(&self, member: &Member) -> bool {
        self.capacity_share(member) >= 1.0 || self.slow_start_tokens(member) >= 1.0
    }
}
