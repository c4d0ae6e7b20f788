//! Adaptive concurrency limit of each member, and this router's quota of it.

use super::Router;
use crate::interface::{GroupId, MemberId, Time};
use crate::state::Member;

/// Mean sojourn that the concurrency limit is controlled to (share of the latency target). Service times vary
/// widely, so the mean has to stay well below the latency target.
pub(super) const TARGET_SOJOURN: f64 = 0.21;
/// Concurrency limit of a member that has not served any request yet (count).
pub(super) const INITIAL_CONCURRENCY_LIMIT: f64 = 6.0;
/// Maximum concurrency limit of a member (count).
const MAX_CONCURRENCY_LIMIT: f64 = 512.0;
/// Number of routers up to which each may use the full limit (count). More routers each get a quota.
const ROUTERS_WITH_FULL_LIMIT: f64 = 8.0;
/// Exponent by which the quota decreases with the number of routers. It is above 1 because with many routers,
/// each sees few answers and adapts late.
const QUOTA_EXPONENT: f64 = 1.15;
/// Maximum weight of one answer in the mean sojourn (fraction). A larger weight would make the mean
/// overshoot.
const MAX_SAMPLE_WEIGHT: f64 = 0.5;
/// Weight of one answer in the mean sojourn at the full quota (fraction).
const SAMPLE_WEIGHT: f64 = 0.15;
/// Minimum mean sojourn used to adapt the limit (latency targets): keeps the ratio finite.
const MIN_MEAN_SOJOURN: f64 = 1e-6;
/// Minimum ratio of target to mean sojourn used to compute a step: bounds the step down.
const MIN_SOJOURN_RATIO: f64 = 0.5;
/// Growth term of the step for one answer, divided by the square root of the limit.
const GROWTH: f64 = 0.5;
/// Step of the limit for one answer at the full quota (count).
const LIMIT_STEP: f64 = 0.5;
/// Share of the limit that must be in use for it to grow (fraction).
const GROWTH_UTILIZATION: f64 = 0.7;
/// Factor applied to the limit for each queue-full answer, at the full quota.
const QUEUE_FULL_BACKOFF: f64 = 0.8;
/// Number of pauses that a router may accumulate for a burst (count). Some routers have many times the load
/// of others, and arrivals are never evenly spaced.
const PACING_BURST: f64 = 12.0;
/// Maximum sojourn used to compute a pause (latency targets).
const MAX_PACING_SOJOURN: f64 = 3.0;
/// Number of consecutive failures from which a member receives only one attempt at a time (count).
const SINGLE_ATTEMPT_FAILURES: u32 = 4;

/// The even quota: the share of each member's concurrency limit that each of `routers` routers may use.
pub(super) fn even_quota(routers: u32) -> f64 {
    (ROUTERS_WITH_FULL_LIMIT / f64::from(routers)).powf(QUOTA_EXPONENT).min(1.0)
}

impl Router {
    /// This router's quota of the limits of a group's members (fraction): the even quota, adjusted by loans.
    pub(super) fn quota(&self, group: GroupId) -> f64 {
        self.base_quota * self.groups.get(&group).map_or(1.0, |state| state.quota_adjustment.at(self.now))
    }

    /// Whether a member may take one more attempt of this class, within the given share of this router's
    /// quota.
    pub(super) fn has_capacity(&self, id: MemberId, share: f64, class: usize) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        self.has_concurrency(id, share) && self.has_slow_start_tokens(member, class)
    }

    /// Whether the member's concurrency limit allows one more attempt, within the given share of this
    /// router's quota. Slow start is not considered.
    pub(super) fn has_concurrency(&self, id: MemberId, share: f64) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let limit = if member.consecutive_failures >= SINGLE_ATTEMPT_FAILURES {
            1.0
        } else {
            member.concurrency_limit * self.quota(member.group) * share
        };
        let in_flight = f64::from(member.in_flight.saturating_sub(member.presumed_lost));
        in_flight < limit.max(1.0) && self.now >= member.paced_until
    }
}

/// Adapts the limit of a member so that its mean sojourn approaches the target. A router with a small quota
/// sees few of the member's answers, so each has a larger weight.
pub(super) fn adapt_concurrency_limit(member: &mut Member, sojourn: f64, quota: f64) {
    let weight = (SAMPLE_WEIGHT / quota.sqrt()).min(MAX_SAMPLE_WEIGHT);
    member.mean_sojourn += (sojourn - member.mean_sojourn) * weight;
    let ratio = (TARGET_SOJOURN / member.mean_sojourn.max(MIN_MEAN_SOJOURN)).clamp(MIN_SOJOURN_RATIO, 1.0);
    // Dividing by the square root makes small limits grow faster, so that many routers share a member evenly
    // and none starves.
    let growth = GROWTH / member.concurrency_limit.sqrt();
    let step = LIMIT_STEP / quota.sqrt() * (ratio - 1.0 + growth);
    let in_use = f64::from(member.in_flight) + 1.0;
    if step < 0.0 || in_use >= GROWTH_UTILIZATION * member.concurrency_limit * quota {
        member.concurrency_limit = (member.concurrency_limit + step).clamp(1.0, MAX_CONCURRENCY_LIMIT);
    }
}

/// Lowers the limit of a member whose queue is full.
pub(super) fn reduce_concurrency_limit(member: &mut Member, quota: f64) {
    let factor = QUEUE_FULL_BACKOFF.powf(1.0 / quota.sqrt());
    member.concurrency_limit = (member.concurrency_limit * factor).max(1.0);
}

/// Paces the sends to a member if this router's quota is less than one attempt: a quota of one tenth results
/// in one attempt followed by a pause nine times as long.
pub(super) fn pace_sends(member: &mut Member, sojourn: f64, latency_target: f64, quota: f64, now: Time) {
    let pause = latency_target
        * sojourn.max(member.mean_sojourn).clamp(TARGET_SOJOURN, MAX_PACING_SOJOURN)
        * (1.0 / (member.concurrency_limit * quota) - 1.0).max(0.0);
    let burst = if sojourn < 1.0 { PACING_BURST * pause } else { 0.0 };
    member.paced_until = member.paced_until.max(now - burst as Time) + pause as Time;
}
