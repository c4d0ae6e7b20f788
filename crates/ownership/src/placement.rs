//! Placement of a role's shards on acceptors. Spreads the shards evenly, and moves those of a failed acceptor
//! to others.
//!
//! A hash that is the same at all gateways maps groups to shards. Each shard ranks the acceptors by
//! preference, and first choices are spread evenly over the acceptors. An acceptor campaigns for a shard
//! while all acceptors that the shard prefers to it are absent, and yields a shard that it leads once one of
//! them has settled. Heartbeats show which acceptors are present.
//!
//! ```text
//! absent --heartbeat--> present --[`Placement::settling_time`] without a gap--> settled
//!   ^                      |                                                      |
//!   +---- no heartbeat for [`Placement::absence_timeout`] ------------------------+
//! ```
//!
//! **Safety does not depend on placement.** Only leases decide who may act. If two acceptors campaign for the
//! same shard, a few ballots are rejected; a shard for which no acceptor campaigns has no leader until one
//! does.
//!
//! Bounds: [`MAX_SHARDS`] shards and one entry for each acceptor. All durations are in microseconds and
//! derive from the lease.

use crate::{GatewayId, Settings};
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};
use std::collections::BTreeMap;

/// Maximum number of shards of a role. Two sharded roles together reach [`crate::MAX_ROLES`].
pub const MAX_SHARDS: u16 = 32;
/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const FIBONACCI_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The shard of a group, counted from 0. Hashes the group's number so that consecutive groups are spread
/// over the shards.
pub fn shard_of(group: GroupId, shards: u16) -> u16 {
    let mixed = group.wrapping_add(1).wrapping_mul(FIBONACCI_MULTIPLIER) >> 32;
    (mixed % u64::from(shards.max(1))) as u16
}

/// A series of heartbeats without a gap longer than [`Placement::absence_timeout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Presence {
    first: Time,
    last: Time,
}

/// One acceptor's view of the placement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    self_id: GatewayId,
    acceptors: Vec<GatewayId>,
    lease: Time,
    shards: u16,
    started_at: Time,
    presence: BTreeMap<GatewayId, Presence>,
    next_heartbeat_at: Time,
}

impl Placement {
    /// Creates the view of an acceptor that starts now. The others count as present until
    /// [`Placement::absence_timeout`] has passed without a heartbeat from them.
    pub fn new(settings: &Settings, shards: u16, now: Time) -> Placement {
        Placement {
            self_id: settings.self_id,
            acceptors: settings.acceptors.clone(),
            lease: settings.lease,
            shards: shards.clamp(1, MAX_SHARDS),
            started_at: now,
            presence: BTreeMap::new(),
            next_heartbeat_at: now,
        }
    }

    /// Interval between the heartbeats of an acceptor.
    pub fn heartbeat_interval(&self) -> Time {
        self.lease / 2
    }

    /// An acceptor is absent if its last heartbeat is older than this: four heartbeat intervals.
    pub fn absence_timeout(&self) -> Time {
        2 * self.lease
    }

    /// An acceptor that has been present for this long is settled: others yield its shards to it.
    pub fn settling_time(&self) -> Time {
        2 * self.lease
    }

    /// When [`Placement::due_heartbeats`] is to be called next.
    pub fn next_deadline(&self) -> Time {
        self.next_heartbeat_at
    }

    /// Returns the acceptors to send a heartbeat to; none before [`Placement::next_deadline`].
    pub fn due_heartbeats(&mut self, now: Time) -> Vec<GatewayId> {
        if now < self.next_heartbeat_at {
            return Vec::new();
        }
        self.next_heartbeat_at = now + self.heartbeat_interval();
        self.acceptors.iter().copied().filter(|acceptor| *acceptor != self.self_id).collect()
    }

    /// Records a message from a gateway. Any message from another acceptor counts as its heartbeat.
    pub fn on_heartbeat(&mut self, now: Time, from: GatewayId) {
        if from == self.self_id || !self.acceptors.contains(&from) {
            return;
        }
        let absence_timeout = self.absence_timeout();
        let presence = self.presence.entry(from).or_insert(Presence { first: now, last: now });
        if now - presence.last > absence_timeout && !mutant(Mutant::PresenceGapIgnored) {
            presence.first = now;
        }
        presence.last = now;
    }

    /// Whether this acceptor should campaign for the shard.
    pub fn should_campaign(&self, now: Time, shard: u16) -> bool {
        self.preferred_over_self(shard).all(|acceptor| !self.is_present(now, acceptor))
    }

    /// Whether this acceptor should release the shard's lease if it holds it.
    pub fn should_yield(&self, now: Time, shard: u16) -> bool {
        if mutant(Mutant::ShardKept) {
            return false;
        }
        self.preferred_over_self(shard).any(|acceptor| self.is_settled(now, acceptor))
    }

    /// The acceptors that the shard prefers to this one, most preferred first.
    fn preferred_over_self(&self, shard: u16) -> impl Iterator<Item = GatewayId> + '_ {
        let count = self.acceptors.len();
        let first = self.first_choice(shard);
        let ordered = (0..count).map(move |offset| self.acceptors[(first + offset) % count]);
        ordered.take_while(|acceptor| *acceptor != self.self_id)
    }

    /// Index of the shard's most preferred acceptor.
    fn first_choice(&self, shard: u16) -> usize {
        if mutant(Mutant::PrefersItself) {
            return self.acceptors.iter().position(|acceptor| *acceptor == self.self_id).unwrap_or(0);
        }
        usize::from(shard) % self.acceptors.len().max(1)
    }

    fn is_present(&self, now: Time, acceptor: GatewayId) -> bool {
        let last = self.presence.get(&acceptor).map_or(self.started_at, |presence| presence.last);
        mutant(Mutant::AbsenceIgnored) || now - last <= self.absence_timeout()
    }

    fn is_settled(&self, now: Time, acceptor: GatewayId) -> bool {
        let Some(Presence { first, last }) = self.presence.get(&acceptor) else { return false };
        let has_settled = now - first >= self.settling_time() || mutant(Mutant::YieldedAtOnce);
        has_settled && now - last <= self.absence_timeout() / 2
    }
}
