//! Slow start: the budget of work for a member that has just started.
//!
//! All routers together may send a warming member a multiple of its present capacity within a span. They
//! share that budget without coordination: each takes the part that it has in what members carry. Four
//! things keep the sum of the parts below the budget, whatever the number of routers, also when all send
//! in one moment:
//!
//! - Work is counted, not requests. The latency target of a class stands for the work of its requests, as
//!   it does where load is shed.
//! - What members carry is added up answer by answer, each divided by the members that there were then.
//! - A router keeps what it has not spent for a part of the span only. Where that is less than one request,
//!   the request may be sent in that part of the time instead. It begins at a random moment for each
//!   router: of many routers that part of them may send at once.
//! - Such a moment is seldom when a read comes. So where a router's part is that small, half of the budget
//!   goes to new reads as they come: each is drawn once, with a probability that follows from what members
//!   carry and what clients ask of the group, not from what was saved up.

use super::Router;
use crate::interface::{GroupId, MemberId, Time};
use crate::state::{Member, Request};

/// Part of the budget of a warming member that all routers together plan to send (fraction).
const PLANNED_SHARE: f64 = 0.6;
/// The same of a replica where new reads are drawn for it beside that (fraction).
const SHARE_BESIDE_DRAWN: f64 = 0.3;
/// Part of the budget of a warming replica that goes to new reads as they come (fraction). With what is
/// sent beside it and kept, it has to stay below 1 as well.
const DRAWN_SHARE: f64 = 0.45;
/// Members that were listed within this span count as recent (microseconds): as long as what they carried
/// does.
const RECENT_SPAN: Time = 4_000_000;
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
    /// The dearest request that may be sent: one that is more than the budget of all routers would break
    /// it alone.
    dearest: f64,
}

impl Budget {
    /// Whether there is room for work of this cost.
    fn has_room(&self, cost: f64) -> bool {
        if self.tokens < cost || cost > self.dearest {
            return false;
        }
        cost <= self.kept || self.tokens % cost < self.kept
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
        let tokens = member.slow_start_tokens / unit;
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

    /// The part that this router has in the budget of a warming member, in work a second.
    fn slow_start_part(&self, member: &Member) -> f64 {
        let carried = self.current_served_load() * member.weight.min(self.available.mean_weight());
        let least = MIN_CAPACITY * self.shortest_latency_target as f64 / f64::from(self.settings.routers);
        self.settings.overload_factor * self.capacity_share(member) * carried.max(least)
    }

    /// Whether new reads are drawn for a warming member: where this router's part is too small to keep a
    /// request for the next one that comes. Writes wait for their primary.
    fn draws_reads(&self, member: &Member) -> bool {
        let span = self.settings.overload_span as f64 / MICROSECONDS_PER_SECOND;
        let kept = KEPT_SHARE * span * PLANNED_SHARE * self.slow_start_part(member);
        !member.is_primary() && kept < self.shortest_latency_target as f64
    }

    /// What this router may send a warming member, in work a second.
    fn slow_start_rate(&self, member: &Member) -> f64 {
        let planned = if self.draws_reads(member) { SHARE_BESIDE_DRAWN } else { PLANNED_SHARE };
        planned * self.slow_start_part(member)
    }

    fn slow_start_budget(&self, member: &Member) -> Budget {
        let span = self.settings.overload_span as f64 / MICROSECONDS_PER_SECOND;
        let (routers, shortest) = (f64::from(self.settings.routers), self.shortest_latency_target as f64);
        let kept = KEPT_SHARE * span * self.slow_start_rate(member);
        Budget {
            tokens: member.slow_start_tokens,
            kept: kept.max(MIN_KEPT * shortest / routers),
            dearest: (span * self.slow_start_part(member) * routers).max(MIN_KEPT * shortest),
        }
    }

    /// Cost of a request of this class, in work.
    fn slow_start_cost(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_target.max(1) as f64
    }

    /// Whether the member is warm, or its budget has room for a request of this class.
    pub(super) fn has_slow_start_tokens(&self, member: &Member, class: usize) -> bool {
        self.capacity_share(member) >= 1.0
            || self.slow_start_budget(member).has_room(self.slow_start_cost(class))
    }

    /// What the budget of a member has left once a request of this class is sent.
    pub(super) fn slow_start_tokens_after_send(&self, member: &Member, class: usize) -> f64 {
        let (budget, cost) = (self.slow_start_budget(member), self.slow_start_cost(class));
        if self.capacity_share(member) >= 1.0 || !budget.has_room(cost) {
            return member.slow_start_tokens;
        }
        budget.spend(cost)
    }

    /// The tokens of a member that starts: enough for the dearest request, and a random part of one more,
    /// so that routers that hear of the start in the same moment do not send in the same moment.
    pub(super) fn initial_slow_start_tokens(&mut self) -> f64 {
        let dearest = self.settings.classes.iter().map(|class| class.latency_target).max().unwrap_or(0);
        (1.0 + self.rng.uniform_sample()) * dearest as f64
    }

    /// Whether a new read is one of those that a warming replica gets as they come, without its budget.
    /// Of the reads that would choose among the usable members a part is drawn, by which all routers
    /// together send their share of the budget: what members carry is what comes to each while all of
    /// them are usable.
    fn is_drawn(&self, request: &Request, id: MemberId, member: &Member) -> bool {
        let is_new =
            request.attempts.is_empty() && self.now - request.arrived_at <= self.settings.granularity;
        if !is_new || !self.draws_reads(member) {
            return false;
        }
        // A long statement can be as much as all of a small budget.
        let cheapness = self.shortest_latency_target as f64 / self.slow_start_cost(request.class);
        let share = self.settings.overload_factor * self.capacity_share(member) * DRAWN_SHARE;
        let part = share * cheapness * self.carried_part(request.group);
        uniform_hash(member.sampling_salt ^ request.sequence ^ u64::from(id).rotate_left(32)) < part
    }

    /// What a member carries, in parts of what comes to each of those that a new read may choose among,
    /// at least, with one that it is drawn for. Where others have left, fallen silent, are at their
    /// limits or warm up too, or where clients ask more of the group than of others, more comes to each.
    fn carried_part(&self, group: GroupId) -> f64 {
        let (mut recent, mut recent_weight, mut usable) = (0, 0.0, 1);
        for id in self.group_members(group) {
            let Some(member) = self.members.get(id) else { continue };
            if self.now - self.last_listed(*id, member) <= RECENT_SPAN {
                recent += 1;
                recent_weight += member.weight;
            }
            let is_warm = self.capacity_share(member) >= 1.0;
            usable += u32::from(is_warm && self.is_selectable(*id) && self.has_concurrency(*id, 1.0));
        }
        let usable_part = f64::from(usable) / f64::from(recent.max(1));
        let carried = self.current_served_load() * recent_weight;
        let asked = self.current_offered_load(group).max(f64::MIN_POSITIVE);
        usable_part.min(1.0) * (carried / asked).min(1.0)
    }

    /// Whether a request may be sent to the member as far as its slow start goes.
    pub(super) fn may_send_in_slow_start(&self, request: &Request, id: MemberId, member: &Member) -> bool {
        self.has_slow_start_tokens(member, request.class) || self.is_drawn(request, id, member)
    }

    /// Lets the budgets of a group's warming members take in what is due since they last did.
    pub(super) fn refill_slow_start_buckets(&mut self, group: GroupId) {
        for id in self.group_members(group).to_vec() {
            let Some(member) = self.members.get(&id) else { continue };
            let elapsed: Time = self.now - member.slow_start_refilled_at;
            let is_warming = self.capacity_share(member) < 1.0;
            let rate = if is_warming { self.slow_start_rate(member) } else { 0.0 };
            let Some(member) = self.members.get_mut(&id) else { continue };
            member.slow_start_tokens += rate * elapsed.max(0) as f64 / MICROSECONDS_PER_SECOND;
            member.slow_start_refilled_at = self.now;
        }
    }
}

/// A uniform sample of 0 to 1 that follows from a number (the finalizer of SplitMix64).
fn uniform_hash(number: u64) -> f64 {
    let mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}
