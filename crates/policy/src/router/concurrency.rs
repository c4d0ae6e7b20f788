//! The concurrency limit of each member and this router's quota of it.

use super::Router;
use crate::interface::{GroupId, MemberId, Time};
use crate::state::Member;

/// Mean sojourn that the limit steers to (share of the latency target): work is of very unequal length, so
/// the mean must stay well below the target.
pub(super) const TARGET_SOJOURN: f64 = 0.21;
/// Attempts that a member may have in flight before it has shown what it carries (count).
pub(super) const INITIAL_CONCURRENCY_LIMIT: f64 = 6.0;
/// Largest limit of a member (count).
const MAX_CONCURRENCY_LIMIT: f64 = 512.0;
/// Routers up to which each may use the whole limit (count); more of them get a quota each.
const ROUTERS_WITH_FULL_LIMIT: f64 = 8.0;
/// Exponent by which the quota falls with the number of routers: over 1, as each of many learns late.
const QUOTA_EXPONENT: f64 = 1.15;
/// Most that one answer counts in the mean sojourn (fraction): the mean must not swing past its samples.
const MAX_SAMPLE_WEIGHT: f64 = 0.5;
/// Weight of one answer in the mean sojourn at the full quota (fraction).
const SAMPLE_WEIGHT: f64 = 0.15;
/// Step of the limit for one answer at the full quota (count).
const LIMIT_STEP: f64 = 0.5;
/// Share of the limit that must be in use for it to grow (fraction).
const GROWTH_UTILIZATION: f64 = 0.7;
/// Factor on the limit for one answer that the queue is full, at the full quota.
const QUEUE_FULL_BACKOFF: f64 = 0.8;
/// Pauses that are saved up (count): some routers have many times the work of others, and never in even
/// steps.
const SAVED_PAUSES: f64 = 12.0;
/// Longest pause for one attempt (latency targets).
const LONGEST_PACING: f64 = 3.0;
/// From so many failures in a row on a member gets one attempt at a time (count).
const SINGLE_ATTEMPT_FAILURES: u32 = 4;

/// The part of the limits that each of so many routers may use.
pub(super) fn even_quota(routers: u32) -> f64 {
    (ROUTERS_WITH_FULL_LIMIT / f64::from(routers)).powf(QUOTA_EXPONENT).min(1.0)
}

impl Router {
    /// This router's part in the limits of a group's members: the even one, with what was lent or borrowed.
    pub(super) fn quota_part(&self, group: GroupId) -> f64 {
        self.base_quota * self.groups.get(&group).map_or(1.0, |state| state.quota_adjustment.at(self.now))
    }

    /// Whether a member may take one more attempt of this class, with this share of the quota open to it.
    pub(super) fn has_capacity(&self, id: MemberId, share: f64, class: usize) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        self.has_concurrency(id, share) && self.has_slow_start_tokens(member, class)
    }

    /// The same without regard to its slow start.
    pub(super) fn has_concurrency(&self, id: MemberId, share: f64) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let limit = if member.consecutive_failures >= SINGLE_ATTEMPT_FAILURES {
            1.0
        } else {
            member.concurrency_limit * self.quota_part(member.group) * share
        };
        let in_flight = f64::from(member.in_flight.saturating_sub(member.presumed_lost));
        in_flight < limit.max(1.0) && self.now >= member.paced_until
    }
}

/// Moves the limit of a member towards the target sojourn. The smaller a router's quota, the fewer of the
/// answers it sees, and the more each of them counts.
pub(super) fn adapt_concurrency_limit(member: &mut Member, sojourn: f64, quota: f64) {
    let weight = (SAMPLE_WEIGHT / quota.sqrt()).min(MAX_SAMPLE_WEIGHT);
    member.load += (sojourn - member.load) * weight;
    let ratio = (TARGET_SOJOURN / member.load.max(1e-6)).clamp(0.5, 1.0);
    // The root keeps small limits growing, so that many routers share a member evenly and none starves.
    let growth = 0.5 / member.concurrency_limit.sqrt();
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

/// Spaces the sends to a member of which this router may use less than one attempt: a tenth of an attempt is
/// one attempt and a pause nine times as long.
pub(super) fn pace_sends(member: &mut Member, sojourn: f64, latency_target: f64, quota: f64, now: Time) {
    let pause = latency_target
        * sojourn.max(member.load).clamp(TARGET_SOJOURN, LONGEST_PACING)
        * (1.0 / (member.concurrency_limit * quota) - 1.0).max(0.0);
    let saved = if sojourn < 1.0 { SAVED_PAUSES * pause } else { 0.0 };
    member.paced_until = member.paced_until.max(now - saved as Time) + pause as Time;
}
