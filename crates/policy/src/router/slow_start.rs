//! Slow start: limits the work that a router may send to a recently started member.
//!
//! Within a time window, all routers together may send a member in slow start a multiple of its current
//! capacity, which is its budget. Without coordination, each router uses a share of the budget in proportion
//! to the load that it observes members serving. Four rules keep the sum of the shares below the budget for
//! any number of routers, even if all of them send at the same time:
//!
//! - Work is counted instead of requests. The latency target of a class serves as the measure of the work of
//!   its requests, as it does in load shedding.
//! - The served load is summed per answer, each divided by the members available at that time.
//! - Each router spends tokens of a bucket (`token_bucket.rs`) that holds only the refill of a part of the
//!   time window. A request that costs more than the bucket can hold has a send window instead, which opens
//!   at a random phase in each router.
//! - If a router's share is so small that hardly any read arrives within a send window, half of the budget is
//!   used for a sample of the new reads (`sampled_reads.rs`).

use super::token_bucket::TokenBucket;
use super::Router;
use crate::interface::{GroupId, MemberId, Time};
use crate::state::{Member, Request, MICROSECONDS_PER_SECOND};

/// Share of the budget of a member in slow start that the token buckets of all routers refill (fraction).
const REFILL_SHARE: f64 = 0.6;
/// The same share if new reads are also sampled for the member (fraction).
const REFILL_SHARE_WITH_SAMPLING: f64 = 0.3;
/// Capacity of a bucket, as the refill of this part of the overload span (fraction). A full bucket may be
/// spent in addition to the refill of an entire span, so `REFILL_SHARE * (1 + BURST_SHARE)` has to stay below
/// 1.
const BURST_SHARE: f64 = 0.6;
/// Minimum served load that a budget is derived from (requests of the shortest latency target per second, for
/// all routers together).
const MIN_SERVED_REQUESTS: f64 = 2.0;
/// Minimum total capacity of the buckets of all routers (requests of the shortest latency target): random
/// variation alone may exceed a budget by this much.
const MIN_BURST_REQUESTS: f64 = 2.0;

/// State of a member's slow start in this router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Current capacity of the member as a share of its full capacity (fraction).
    pub capacity_share: f64,
    /// Refill rate of this router's bucket (requests of the shortest latency target per second).
    pub rate: f64,
    /// Tokens in the bucket (requests of the shortest latency target).
    pub tokens: f64,
}

impl Router {
    /// The slow start of a member; `None` if the member is unknown or its slow start has ended.
    pub fn slow_start(&self, member: MemberId) -> Option<SlowStart> {
        let member = self.members.get(&member)?;
        let capacity_share = self.capacity_share(member);
        let unit = self.shortest_latency_target.max(1) as f64;
        let rate = self.refill_rate(member) / unit;
        let tokens = member.slow_start_tokens / unit;
        (capacity_share < 1.0).then_some(SlowStart { capacity_share, rate, tokens })
    }

    /// Current capacity of a member as a share of its full capacity; 1 after slow start.
    pub(super) fn capacity_share(&self, member: &Member) -> f64 {
        let started = self.host_clock.started_at(member.started, member.listed_at).max(member.recovered_at);
        let slow_start_span = self.settings.slow_start_span.max(1);
        let age = if started > 0 { self.now - started } else { 2 * slow_start_span };
        let progress = age.max(0) as f64 / slow_start_span as f64;
        (self.settings.slow_start_initial_share + (1.0 - self.settings.slow_start_initial_share) * progress)
            .min(1.0)
    }

    pub(super) fn is_in_slow_start(&self, member: &Member) -> bool {
        self.capacity_share(member) < 1.0
    }

    /// Whether the slow start of the member permits sending it this request.
    pub(super) fn may_send_in_slow_start(&self, request: &Request, id: MemberId, member: &Member) -> bool {
        self.has_slow_start_tokens(member, request.class) || self.is_sampled(request, id, member)
    }

    /// Whether the member is not in slow start, or its bucket admits a request of this class.
    pub(super) fn has_slow_start_tokens(&self, member: &Member, class: usize) -> bool {
        !self.is_in_slow_start(member) || self.slow_start_bucket(member).admits(self.request_cost(class))
    }

    /// Tokens left in the member's bucket after a request of this class is sent. No tokens are spent outside
    /// slow start, or on a sampled read that the bucket does not admit.
    pub(super) fn slow_start_tokens_after_send(&self, member: &Member, class: usize) -> f64 {
        let (bucket, cost) = (self.slow_start_bucket(member), self.request_cost(class));
        if !self.is_in_slow_start(member) || !bucket.admits(cost) {
            return member.slow_start_tokens;
        }
        bucket.tokens_after(cost)
    }

    /// Initial tokens of a member that starts: enough for the request with the highest cost, and a random
    /// part of another one. As a result, the send windows of routers that learn of the start at the same time
    /// open at different times.
    pub(super) fn initial_slow_start_tokens(&mut self) -> f64 {
        let max_cost = self.settings.classes.iter().map(|class| class.latency_target).max().unwrap_or(0);
        (1.0 + self.rng.uniform_sample()) * max_cost as f64
    }

    /// Refills the buckets of a group's members in slow start for the time since the last refill.
    pub(super) fn refill_slow_start_buckets(&mut self, group: GroupId) {
        for id in self.group_members(group).to_vec() {
            let Some(member) = self.members.get(&id) else { continue };
            let elapsed: Time = self.now - member.slow_start_refilled_at;
            let rate = if self.is_in_slow_start(member) { self.refill_rate(member) } else { 0.0 };
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

    /// This router's share of the budget of a member in slow start, in work per second.
    fn budget_rate(&self, member: &Member) -> f64 {
        let served = self.current_served_load() * member.weight.min(self.available.mean_weight());
        let min_served =
            MIN_SERVED_REQUESTS * self.shortest_latency_target as f64 / f64::from(self.settings.routers);
        self.settings.overload_factor * self.capacity_share(member) * served.max(min_served)
    }

    /// Refill rate of the bucket of a member in slow start, in work per second.
    fn refill_rate(&self, member: &Member) -> f64 {
        let share = if self.samples_reads_for(member) { REFILL_SHARE_WITH_SAMPLING } else { REFILL_SHARE };
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
