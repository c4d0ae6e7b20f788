//! Sampled reads: new reads that are sent to a replica in slow start without consuming tokens.
//!
//! If a router's share of a member's budget is less than one request, a read rarely arrives within a send
//! window. Each new read is then sampled once, with the probability at which all routers together send their
//! part of the budget. The probability is derived from the load that members serve and that clients offer,
//! not from tokens.

use super::Router;
use crate::interface::{GroupId, MemberId, Time};
use crate::state::{Member, Request};

/// Share of the budget of a replica in slow start that sampled reads use (fraction). The sum of this share
/// and of what the replica's token buckets refill and hold at the same time has to stay below 1.
const SAMPLED_SHARE: f64 = 0.45;
/// Members that were listed within this span are treated as recent (microseconds). It matches the time for
/// which their answers contribute to the served load.
const RECENT_SPAN: Time = 4_000_000;

impl Router {
    /// Whether new reads are sampled for a member in slow start, which is the case if its bucket could not
    /// hold one request even at the full refill rate. Primaries are excluded, since writes wait for their
    /// primary.
    pub(super) fn samples_reads_for(&self, member: &Member) -> bool {
        !member.is_primary() && self.full_burst(member) < self.shortest_latency_target as f64
    }

    /// Whether a read is sampled for a replica in slow start. The result is the same each time for the same
    /// read.
    pub(super) fn is_sampled(&self, request: &Request, id: MemberId, member: &Member) -> bool {
        let is_new =
            request.attempts.is_empty() && self.now - request.arrived_at <= self.settings.granularity;
        if !is_new || !self.samples_reads_for(member) {
            return false;
        }
        // A long statement may cost as much as an entire small budget.
        let inverse_cost = self.shortest_latency_target as f64 / self.request_cost(request.class);
        let budget = self.settings.overload_factor * self.capacity_share(member) * SAMPLED_SHARE;
        let probability = budget * inverse_cost * self.served_share(request.group);
        uniform_hash(member.sampling_salt ^ request.sequence ^ u64::from(id).rotate_left(32)) < probability
    }

    /// The load served by a member as a share of the load offered to each candidate for a new read, including
    /// the sampled member (at most 1). The share is smaller if other members have left, are silent, are at
    /// their limits or are in slow start as well, and if clients offer this group more load than others: in
    /// these cases each candidate is offered more.
    fn served_share(&self, group: GroupId) -> f64 {
        let (mut recent, mut recent_weight, mut usable) = (0, 0.0, 1);
        for id in self.group_members(group) {
            let Some(member) = self.members.get(id) else { continue };
            if self.now - self.last_listed(*id, member) <= RECENT_SPAN {
                recent += 1;
                recent_weight += member.weight;
            }
            let is_usable =
                !self.is_in_slow_start(member) && self.is_selectable(*id) && self.has_concurrency(*id, 1.0);
            usable += u32::from(is_usable);
        }
        let usable_share = f64::from(usable) / f64::from(recent.max(1));
        let served = self.current_served_load() * recent_weight;
        let offered = self.current_offered_load(group).max(f64::MIN_POSITIVE);
        usable_share.min(1.0) * (served / offered).min(1.0)
    }
}

/// Maps a number to a deterministic, uniformly distributed value from 0 to 1 (the finalizer of SplitMix64).
fn uniform_hash(number: u64) -> f64 {
    let mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}
