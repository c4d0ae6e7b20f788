//! Which elector should own which shard of a duty, so that the work of owners is spread evenly over all electors and
//! every shard of one that is gone has another owner.
//!
//! Groups fall into shards by a hash that all gateways reckon alike. For each shard the electors stand in an order of
//! preference, each first for as many shards as any other. An elector wants a shard while every one before it in that
//! order is absent, and yields one that it owns as soon as an earlier one has been present for a while. Heartbeats tell
//! who is present.
//!
//! ```text
//! absent --heartbeat--> present --[`Placement::settled_after`] without a gap--> settled
//!   ^                      |                                                      |
//!   +---- no heartbeat for [`Placement::absent_after`] ---------------------------+
//! ```
//!
//! **This decides nothing about safety.** Who may act is decided by leases alone; two electors that want one shard cost a
//! few denied bids, none that wants it costs the even parts until one does.
//!
//! Bounds: [`MOST_SHARDS`] shards, one entry for each elector. Spans in microseconds, all from the lease.

use crate::{Gateway, Settings};
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};
use std::collections::BTreeMap;

/// Shards of a duty at most (count): with two sharded duties these are all that gateways remember.
pub const MOST_SHARDS: u16 = 32;

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

/// One elector's view of who should own what.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    me: Gateway,
    electors: Vec<Gateway>,
    lease: Time,
    shards: u16,
    started: Time,
    present: BTreeMap<Gateway, Presence>,
    heartbeat_at: Time,
}

impl Placement {
    /// The view of an elector that starts now: it takes the others for present until it knows better.
    pub fn new(settings: &Settings, shards: u16, now: Time) -> Placement {
        Placement {
            me: settings.me,
            electors: settings.electors.clone(),
            lease: settings.lease,
            shards: shards.clamp(1, MOST_SHARDS),
            started: now,
            present: BTreeMap::new(),
            heartbeat_at: now,
        }
    }

    /// Between two heartbeats of one elector.
    pub fn heartbeat_every(&self) -> Time {
        self.lease / 2
    }

    /// An elector that was not heard for so long is absent: four heartbeats.
    pub fn absent_after(&self) -> Time {
        2 * self.lease
    }

    /// One that was heard for so long is settled, and is yielded to.
    pub fn settled_after(&self) -> Time {
        2 * self.lease
    }

    /// When [`Placement::heartbeat`] is due.
    pub fn due_at(&self) -> Time {
        self.heartbeat_at
    }

    /// Electors that are to get a heartbeat now, if it is time.
    pub fn heartbeat(&mut self, now: Time) -> Vec<Gateway> {
        if now < self.heartbeat_at {
            return Vec::new();
        }
        self.heartbeat_at = now + self.heartbeat_every();
        self.electors.iter().copied().filter(|elector| *elector != self.me).collect()
    }

    /// An elector was heard.
    pub fn heard(&mut self, now: Time, from: Gateway) {
        if from == self.me || !self.electors.contains(&from) {
            return;
        }
        let absent_after = self.absent_after();
        let presence = self.present.entry(from).or_insert(Presence { first: now, last: now });
        if now - presence.last > absent_after && !mutant(Mutant::PresenceKept) {
            presence.first = now;
        }
        presence.last = now;
    }

    /// This elector should own the shard, or try to.
    pub fn wants(&self, now: Time, shard: u16) -> bool {
        self.before_me(shard).all(|elector| !self.is_present(now, elector))
    }

    /// This elector should give up the shard, if it owns it.
    pub fn yields(&self, now: Time, shard: u16) -> bool {
        if mutant(Mutant::ShardKept) {
            return false;
        }
        self.before_me(shard).any(|elector| self.is_settled(now, elector))
    }

    /// Electors that the shard prefers to this one, the most preferred first.
    fn before_me(&self, shard: u16) -> impl Iterator<Item = Gateway> + '_ {
        let count = self.electors.len();
        let first = if mutant(Mutant::PreferenceOwn) {
            // Each begins the order at itself.
            self.electors.iter().position(|elector| *elector == self.me).unwrap_or(0)
        } else {
            usize::from(shard) % count.max(1)
        };
        let ordered = (0..count).map(move |place| self.electors[(first + place) % count]);
        ordered.take_while(|elector| *elector != self.me)
    }

    fn is_present(&self, now: Time, elector: Gateway) -> bool {
        let last = self.present.get(&elector).map_or(self.started, |presence| presence.last);
        mutant(Mutant::AbsenceIgnored) || now - last <= self.absent_after()
    }

    fn is_settled(&self, now: Time, elector: Gateway) -> bool {
        let Some(Presence { first, last }) = self.present.get(&elector) else { return false };
        let settled = now - first >= self.settled_after() || mutant(Mutant::SettledAtOnce);
        settled && now - last <= self.absent_after() / 2
    }
}
