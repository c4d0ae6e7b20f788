//! Primaries that this gateway has announced, or that were announced to it, and which of them are due for repetition.

use crate::{GroupId, MemberId, Time};
use std::collections::BTreeMap;

/// Shortest time until an announcement is repeated (microseconds): datagrams get lost, gateways start.
const MIN_REPEAT_INTERVAL: Time = 1_000_000;
/// Maximum number of repetitions per second: 2 KB a second for each receiver.
const MAX_REPEATS_PER_SECOND: Time = 100;
/// Microseconds in a second.
const SECOND: Time = 1_000_000;

#[derive(Clone, Copy)]
struct Announcement {
    member: MemberId,
    at: Time,
}

/// The announced primary of each group, with an entry for each group that the list names and that has a primary.
#[derive(Default)]
pub struct AnnouncedPrimaries {
    groups: BTreeMap<GroupId, Announcement>,
}

impl AnnouncedPrimaries {
    /// A primary was announced, by this gateway or by another one.
    pub fn insert(&mut self, now: Time, group: GroupId, member: MemberId) {
        self.groups.insert(group, Announcement { member, at: now });
    }

    /// Forgets groups: the next leader of their shard has to be sent everything.
    pub fn forget(&mut self, is_forgotten: impl Fn(GroupId) -> bool) {
        self.groups.retain(|group, _| !is_forgotten(*group));
    }

    /// Whether this primary is to be announced now: it is new or, if announcements are repeated, it was announced a
    /// while ago.
    pub fn is_due(&self, now: Time, group: GroupId, member: MemberId, repeats: bool) -> bool {
        let Some(last) = self.groups.get(&group) else { return true };
        last.member != member || (repeats && now - last.at >= self.repeat_interval())
    }

    /// Number of groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    fn repeat_interval(&self) -> Time {
        MIN_REPEAT_INTERVAL.max(self.groups.len() as Time * SECOND / MAX_REPEATS_PER_SECOND)
    }
}
