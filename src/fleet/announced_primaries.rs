//! Tracks which primaries this gateway has announced or learned from announcements, and when each is due to
//! be announced again.

use crate::{GroupId, MemberId, Time};
use std::collections::BTreeMap;

/// Minimum interval between announcements of the same primary (microseconds). They are repeated because
/// datagrams get lost and gateways restart.
const MIN_REPEAT_INTERVAL: Time = 1_000_000;
/// Maximum number of repeated announcements per second, which take 2 KB per second and receiver.
const MAX_REPEATS_PER_SECOND: Time = 100;
const MICROSECONDS_PER_SECOND: Time = 1_000_000;

/// The last announcement for a group.
#[derive(Clone, Copy)]
struct Announcement {
    primary: MemberId,
    announced_at: Time,
}

/// The announced primary of each group. Bounded by the number of groups on the endpoint list.
#[derive(Default)]
pub(super) struct AnnouncedPrimaries {
    by_group: BTreeMap<GroupId, Announcement>,
}

impl AnnouncedPrimaries {
    /// Records an announcement that this gateway sent or received.
    pub(super) fn insert(&mut self, now: Time, group: GroupId, primary: MemberId) {
        self.by_group.insert(group, Announcement { primary, announced_at: now });
    }

    /// Removes the announcements of matching groups, so that their primaries are announced again.
    pub(super) fn remove_groups(&mut self, is_removed: impl Fn(GroupId) -> bool) {
        self.by_group.retain(|group, _| !is_removed(*group));
    }

    /// Whether this primary should be announced now: it differs from the last announced one, or announcements
    /// are repeated and the last one is older than the repeat interval.
    pub(super) fn is_due(&self, now: Time, group: GroupId, primary: MemberId, repeats: Repeats) -> bool {
        let Some(last) = self.by_group.get(&group) else { return true };
        let is_repeat_due = repeats == Repeats::Periodic && now - last.announced_at >= self.repeat_interval();
        last.primary != primary || is_repeat_due
    }

    /// Number of groups with an announced primary.
    pub(super) fn len(&self) -> usize {
        self.by_group.len()
    }

    /// The repeat interval. Grows with the number of groups to stay below [`MAX_REPEATS_PER_SECOND`].
    fn repeat_interval(&self) -> Time {
        let group_count = self.by_group.len() as Time;
        MIN_REPEAT_INTERVAL.max(group_count * MICROSECONDS_PER_SECOND / MAX_REPEATS_PER_SECOND)
    }
}

/// Whether unchanged primaries are announced again.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Repeats {
    /// Announced again after each repeat interval.
    Periodic,
    /// Only changes are announced.
    Never,
}
