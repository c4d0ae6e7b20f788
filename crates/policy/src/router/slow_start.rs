//! Slow start: the budget of work for a member that has just started.
//!
//! All routers together may send a warming member a multiple of its present capacity within a span. They
//! share that budget without coordination: each takes the part that it has in what members carry. Three
//! things keep the sum of the parts below the budget, whatever the number of routers, also when all send
//! in one moment:
//!
//! - Work is counted, not requests. The latency target of a class stands for the work of its requests, as
//!   it does where load is shed.
//! - What members carry is added up answer by answer, each divided by the members that there were then.
//! - A router keeps what it has not spent for a part of the span only. Where that is less than one request,
//!   the request may be sent in that part of the time instead. It begins at a random moment for each
//!   router: of many routers that part of them may send at once.

use super::Router;
use crate::interface::{GroupId, MemberId, Time};
use crate::state::Member;

/// Part of the budget of a warming member that all routers together plan to send (fraction).
const PLANNED_SHARE: f64 = 0.6;
/// Part of the overload span whose unspent budget is kept (fraction). All of it may be spent beside what
/// comes in during the span: `PLANNED_SHARE * (1 + KEPT_SHARE)` has to stay below 1.
const KEPT_SHARE: f64 = 0.6;
/// The least that a started member is taken to carry (requests of the shortest latency target a second,
/// of all routers together).
const MIN_CAPACITY: f64 = 2.0;
/// The least that is kept (requests of the shortest latency target, of all routers together): so much a
/// budget may be passed by chance.
const MIN_KEPT: f64 = 2.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Where a member stands in its slow start, as its router sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that the member has by now (fraction).
    pub capacity_share: f64,
    /// What this router may send it (requests of the shortest latency target a second).
    pub rate: f64,
    /// What its budget has taken in and not spent, in such requests.
    pub tokens: f64,
}

/// What a router has of the budget of a warming member, in work: microseconds of latency target.
#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Taken in and not spent.
    tokens: f64,
    /// What may be kept.
    kept: f64,
}

impl Budget {
    /// Whether there is room for work of this cost.
    fn has_room(&self, cost: f64) -> bool {
        if cost <= self.kept {
            return self.tokens >= cost;
        }
        self.tokens >= cost && self.tokens % cost < self.kept
    }

    /// What is left once work of this cost is sent.
    fn spend(&self, cost: f64) -> f64 {
        if cost <= self.kept {
            return self.tokens.min(self.kept) - cost;
        }
        self.tokens % cost
    }
}

impl Router {
    /// Where a member stands in its slow start; none for one that is warm or unknown.
    pub fn slow_start(&self, member: MemberId) -> Option<SlowStart> {
        let member = self.members.get(&member)?;
        let capacity_share = self.capacity_share(member);
        let unit = self.shortest_latency_target.max(1) as f64;
        let rate = self.slow_start_rate(member) / unit;
        let tokens = member.start_tokens / unit;
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

    /// What this router may send a warming member, in work a second.
    fn slow_start_rate(&self, member: &Member) -> f64 {
        let carried = self.current_carried_rate() * member.weight.min(self.available.mean_weight());
        let least = MIN_CAPACITY * self.shortest_latency_target as f64 / f64::from(self.settings.routers);
        PLANNED_SHARE * self.settings.overload_factor * self.capacity_share(member) * carried.max(least)
    }

    fn slow_start_budget(&self, member: &Member) -> Budget {
        let kept_span = KEPT_SHARE * self.settings.overload_span as f64 / MICROSECONDS_PER_SECOND;
        let least = MIN_KEPT * self.shortest_latency_target as f64 / f64::from(self.settings.routers);
        let kept = (self.slow_start_rate(member) * kept_span).max(least);
        Budget { tokens: member.start_tokens, kept }
    }

    /// Cost of a request of this class, in work.
    fn slow_start_cost(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_target.max(1) as f64
    }

    /// Whether the member is warm, or its budget has room for a request of this class.
    pub(super) fn has_slow_start_budget(&self, member: &Member, class: usize) -> bool {
        self.capacity_share(member) >= 1.0
            || self.slow_start_budget(member).has_room(self.slow_start_cost(class))
    }

    /// What the budget of a member has left once a request of this class is sent.
    pub(super) fn slow_start_tokens_after(&self, member: &Member, class: usize) -> f64 {
        if self.capacity_share(member) >= 1.0 {
            return member.start_tokens;
        }
        self.slow_start_budget(member).spend(self.slow_start_cost(class))
    }

    /// The tokens of a member that starts: enough for the dearest request, and a random part of one more,
    /// so that routers that hear of the start in the same moment do not send in the same moment.
    pub(super) fn initial_start_tokens(&mut self) -> f64 {
        let dearest = self.settings.classes.iter().map(|class| class.latency_target).max().unwrap_or(0);
        (1.0 + self.rng.uniform_sample()) * dearest as f64
    }

    /// Lets the budgets of a group's warming members take in what is due since they last did.
    pub(super) fn refill_slow_start(&mut self, group: GroupId) {
        for id in self.group_members(group).to_vec() {
            let Some(member) = self.members.get(&id) else { continue };
            let elapsed: Time = self.now - member.start_tokens_at;
            let is_warming = self.capacity_share(member) < 1.0;
            let rate = if is_warming { self.slow_start_rate(member) } else { 0.0 };
            let Some(member) = self.members.get_mut(&id) else { continue };
            member.start_tokens += rate * elapsed.max(0) as f64 / MICROSECONDS_PER_SECOND;
            member.start_tokens_at = self.now;
        }
    }
}
