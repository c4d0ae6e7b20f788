//! Slow start: how much work a router may send a member that has just started.
//!
//! Within a span, all routers together may send a warming member a multiple of its present capacity: its
//! budget. Each router takes a share of the budget in proportion to the load that it sees members serve,
//! without coordination. Four rules keep the sum of the shares below the budget for any number of routers,
//! also when all of them send in the same moment:
//!
//! - Work is counted, not requests. The latency target of a class stands for the work of its requests, as it
//!   does in load shedding.
//! - The served load is summed answer by answer, each divided by the members available at that time.
//! - Each router pays from a token bucket (`token_bucket.rs`) that holds the refill of a part of the span
//!   only. A request that costs more than the bucket holds has a send window instead, which opens at a random
//!   phase in each router.
//! - Where a router's share is so small that hardly any read arrives within a send window, half of the budget
//!   goes to a sample of the new reads (`sampled_reads.rs`).

use super::token_bucket::TokenBucket;
use super::Router;
use crate::interface::{GroupId, MemberId, Time};
use crate::state::{Member, Request, MICROSECONDS_PER_SECOND};

/// Share of a warming member's budget that the token buckets of all routers refill (fraction).
const REFILL_SHARE: f64 = 0.6;
/// The same where new reads are sampled for the member as well (fraction).
const REFILL_SHARE_BESIDE_SAMPLING: f64 = 0.3;
/// Part of the overload span whose refill a bucket holds (fraction). A full bucket may be spent on top of the
/// refill of a whole span, so `REFILL_SHARE * (1 + BURST_SHARE)` has to stay below 1.
const BURST_SHARE: f64 = 0.6;
/// Smallest served load that a budget is derived from (requests of the shortest latency target a second, of
/// all routers together).
const MIN_SERVED_REQUESTS: f64 = 2.0;
/// Smallest capacity of the buckets of all routers together (requests of the shortest latency target): chance
/// alone may exceed a budget by as much.
const MIN_BURST_REQUESTS: f64 = 2.0;

/// The slow start of a member, as its router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that the member has by now (fraction).
    pub capacity_share: f64,
    /// Refill rate of this router's bucket (requests of the shortest latency target a second).
    pub rate: f64,
    /// Tokens in the bucket (requests of the shortest latency target).
    pub tokens: f64,
}

impl Router {
    /// The slow start of a member; `None` for one that is warm or unknown.
    pub fn slow_start(&self, member: MemberId) -> Option<SlowStart> {
        let member = self.members.get(&member)?;
        let capacity_share = self.capacity_share(member);
        let unit = self.shortest_latency_target.max(1) as f64;
        let rate = self.refill_rate(member) / unit;
        let tokens = member.slow_start_tokens / unit;
        (capacity_share < 1.0).then_some(SlowStart { capacity_share, rate, tokens })
    }

    /// Share of its capacity that a member has by now; 1 once it is warm.
    pub(super) fn capacity_share(&self, member: &Member) -> f64 {
        let started = self.host_clock.started_at(member.started, member.listed_at).max(member.recovered_at);
        let warm_up = self.settings.slow_start_span.max(1);
        let age = if started > 0 { self.now - started } else { 2 * warm_up };
        let progress = age.max(0) as f64 / warm_up as f64;
        (self.settings.slow_start_initial_share + (1.0 - self.settings.slow_start_initial_share) * progress)
            .min(1.0)
    }

    pub(super) fn is_warming_up(&self, member: &Member) -> bool {
        self.capacity_share(member) < 1.0
    }

    /// Whether a request may be sent to the member as far as its slow start is concerned.
    pub(super) fn may_send_in_slow_start(&self, request: &Request, id: MemberId, member: &Member) -> bool {
        self.has_slow_start_tokens(member, request.class) || self.is_sampled(request, id, member)
    }

    /// Whether the member is warm, or its bucket admits a request of this class.
    pub(super) fn has_slow_start_tokens(&self, member: &Member, class: usize) -> bool {
        !self.is_warming_up(member) || self.slow_start_bucket(member).admits(self.request_cost(class))
    }

    /// Tokens left in the member's bucket once a request of this class is sent. Nothing is spent on a warm
    /// member, or on a sampled read that the bucket does not admit.
    pub(super) fn slow_start_tokens_after_send(&self, member: &Member, class: usize) -> f64 {
        let (bucket, cost) = (self.slow_start_bucket(member), self.request_cost(class));
        if !self.is_warming_up(member) || !bucket.admits(cost) {
            return member.slow_start_tokens;
        }
        bucket.tokens_after(cost)
    }

    /// Tokens of a member that starts: enough for the request with the largest cost, and a random part of one
    /// more. The send windows of routers that learn of the start together so open at different times.
    pub(super) fn initial_slow_start_tokens(&mut self) -> f64 {
        let max_cost = self.settings.classes.iter().map(|class| class.latency_target).max().unwrap_or(0);
        (1.0 + self.rng.uniform_sample()) * max_cost as f64
    }

    /// Refills the buckets of a group's warming members for the time since the last refill.
    pub(super) fn refill_slow_start_buckets(&mut self, group: GroupId) {
        for id in self.group_members(group).to_vec() {
            let Some(member) = self.members.get(&id) else { continue };
            let elapsed: Time = self.now - member.slow_start_refilled_at;
            let rate = if self.is_warming_up(member) { self.refill_rate(member) } else { 0.0 };
            let Some(member) = self.members.get_mut(&id) else { continue };
            member.slow_start_tokens += rate * elapsed.max(0) as f64 / MICROSECONDS_PER_SECOND;
            member.slow_start_refilled_at = self.now;
        }
    }

    /// Cost of a request of this class (microseconds of latency target).
    pub(super) fn request_cost(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_target.max(1) as f64
    }

    /// Capacity of a bucket that is refilled at the full `REFILL_SHARE` (microseconds of latency target).
    pub(super) fn full_burst(&self, member: &Member) -> f64 {
        BURST_SHARE * self.overload_seconds() * REFILL_SHARE * self.budget_rate(member)
    }

    /// This router's share of a warming member's budget, in work a second.
    fn budget_rate(&self, member: &Member) -> f64 {
        let served = self.current_served_load() * member.weight.min(self.available.mean_weight());
        let least =
            MIN_SERVED_REQUESTS * self.shortest_latency_target as f64 / f64::from(self.settings.routers);
        self.settings.overload_factor * self.capacity_share(member) * served.max(least)
    }

    /// Refill rate of a warming member's bucket, in work a second.
    fn refill_rate(&self, member: &Member) -> f64 {
        let share = if self.samples_reads_for(member) { REFILL_SHARE_BESIDE_SAMPLING } else { REFILL_SHARE };
        share * self.budget_rate(member)
    }

    fn slow_start_bucket(&self, member: &Member) -> TokenBucket {
        let span = self.overload_seconds();
        let routers = f64::from(self.settings.routers);
        let min_burst = MIN_BURST_REQUESTS * self.shortest_latency_target as f64;
        let burst = BURST_SHARE * span * self.refill_rate(member);
        TokenBucket {
            tokens: member.slow_start_tokens,
            burst: burst.max(min_burst / routers),
            max_cost: (span * self.budget_rate(member) * routers).max(min_burst),
        }
    }

    fn overload_seconds(&self) -> f64 {
        self.settings.overload_span as f64 / MICROSECONDS_PER_SECOND
    }
}
