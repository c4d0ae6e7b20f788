//! Which acceptor should own which shard of a role, so that the work of lease holders is spread evenly over all acceptors and
//! every shard of one that is gone has another lease holder.
//!
//! Groups fall into shards by a hash that all gateways reckon alike. For each shard the acceptors stand in an order of
//! preference, each first for as many shards as any other. An acceptor wants a shard while every one before it in that
//! order is absent, and yields one that it owns as soon as an earlier one has been present for a while. Heartbeats tell
//! who is present.
//!
//! ```text
//! absent --heartbeat--> present --[`Placement::settling_time`] without a gap--> settled
//!   ^                      |                                                      |
//!   +---- no heartbeat for [`Placement::absence_timeout`] ---------------------------+
//! ```
//!
//! **This decides nothing about safety.** Who may act is decided by leases alone; two acceptors that want one shard cost a
//! few denied bids, none that wants it costs the even parts until one does.
//!
//! Bounds: [`MAX_SHARDS`] shards, one entry for each acceptor. Spans in microseconds, all from the lease.

use crate::{GatewayId, Settings};
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};
use std::collections::BTreeMap;

/// Shards of a role at most (count): with two sharded roles these are all that gateways remember.
pub const MAX_SHARDS: u16 = 32;

/// The shard that a group falls into, from 0.
pub fn shard_of(group: GroupId, shards: u16) -> u16 {
    // Fibonacci hashing: groups are numbered in a row, and neighbours should not share a shard.
    let mixed = group.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    (mixed % u64::from(shards.max(1))) as u16
}

/// A row of heartbeats without a long gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Presence {
    first: Time,
    last: Time,
}

/// One acceptor's view of who should own what.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    self_id: GatewayId,
    acceptors: Vec<GatewayId>,
    lease: Time,
    shards: u16,
    started: Time,
    present: BTreeMap<GatewayId, Presence>,
    heartbeat_at: Time,
}

impl Placement {
    /// The view of an acceptor that starts now: it takes the others for present until it knows better.
    pub fn new(settings: &Settings, shards: u16, now: Time) -> Placement {
        Placement {
            self_id: settings.self_id,
            acceptors: settings.acceptors.clone(),
            lease: settings.lease,
            shards: shards.clamp(1, MAX_SHARDS),
            started: now,
            present: BTreeMap::new(),
            heartbeat_at: now,
        }
    }

    /// Between two heartbeats of one acceptor.
    pub fn heartbeat_interval(&self) -> Time {
        self.lease / 2
    }

    /// An acceptor that was not heard for so long is absent: four heartbeats.
    pub fn absence_timeout(&self) -> Time {
        2 * self.lease
    }

    /// One that was heard for so long is settled, and is yielded to.
    pub fn settling_time(&self) -> Time {
        2 * self.lease
    }

    /// When [`Placement::due_heartbeats`] is due.
    pub fn next_deadline(&self) -> Time {
        self.heartbeat_at
    }

    /// Electors that are to get a heartbeat now, if it is time.
    pub fn due_heartbeats(&mut self, now: Time) -> Vec<GatewayId> {
        if now < self.heartbeat_at {
            return Vec::new();
        }
        self.heartbeat_at = now + self.heartbeat_interval();
        self.acceptors.iter().copied().filter(|acceptor| *acceptor != self.self_id).collect()
    }

    /// An acceptor was heard.
    pub fn on_heartbeat(&mut self, now: Time, from: GatewayId) {
        if from == self.self_id || !self.acceptors.contains(&from) {
            return;
        }
        let absence_timeout = self.absence_timeout();
        let presence = self.present.entry(from).or_insert(Presence { first: now, last: now });
        if now - presence.last > absence_timeout && !mutant(Mutant::PresenceKept) {
            presence.first = now;
        }
        presence.last = now;
    }

    /// This acceptor should own the shard, or try to.
    pub fn wants(&self, now: Time, shard: u16) -> bool {
        self.preferred_over_self(shard).all(|acceptor| !self.is_present(now, acceptor))
    }

    /// This acceptor should give up the shard, if it owns it.
    pub fn yields(&self, now: Time, shard: u16) -> bool {
        if mutant(Mutant::ShardKept) {
            return false;
        }
        self.preferred_over_self(shard).any(|acceptor| self.is_settled(now, acceptor))
    }

    /// Electors that the shard prefers to this one, the most preferred first.
    fn preferred_over_self(&self, shard: u16) -> impl Iterator<Item = GatewayId> + '_ {
        let count = self.acceptors.len();
        let first = if mutant(Mutant::PreferenceOwn) {
            // Each begins the order at itself.
            self.acceptors.iter().position(|acceptor| *acceptor == self.self_id).unwrap_or(0)
        } else {
            usize::from(shard) % count.max(1)
        };
        let ordered = (0..count).map(move |place| self.acceptors[(first + place) % count]);
        ordered.take_while(|acceptor| *acceptor != self.self_id)
    }

    fn is_present(&self, now: Time, acceptor: GatewayId) -> bool {
        let last = self.present.get(&acceptor).map_or(self.started, |presence| presence.last);
        mutant(Mutant::AbsenceIgnored) || now - last <= self.absence_timeout()
    }

    fn is_settled(&self, now: Time, acceptor: GatewayId) -> bool {
        let Some(Presence { first, last }) = self.present.get(&acceptor) else { return false };
        let settled = now - first >= self.settling_time() || mutant(Mutant::SettledAtOnce);
        settled && now - last <= self.absence_timeout() / 2
    }
}
