//! What this gateway has told, or was told, of members that answered as their groups' primaries; and what of it is to be
//! told again.

use crate::{GroupId, MemberId, Time};
use std::collections::BTreeMap;

/// A leader that was told is told again after this span at the earliest (microseconds): datagrams get lost, gateways start.
const AGAIN: Time = 1_000_000;
/// AnnouncedPrimaries told again in a second at most (count): 2 KB a second for each gateway that hears them.
const AGAIN_A_SECOND: Time = 100;

/// AnnouncedPrimaries by group. Holds those of groups that the decisions know, and forgets the others.
#[derive(Default)]
pub struct AnnouncedPrimaries {
    told: BTreeMap<GroupId, (MemberId, Time)>,
}

impl AnnouncedPrimaries {
    /// A gateway was told of a leader, by this one or another.
    pub fn insert(&mut self, now: Time, group: GroupId, member: MemberId) {
        self.told.insert(group, (member, now));
    }

    /// Forgets the leaders of these groups: whoever owns their duty next has to be told anew.
    pub fn forget(&mut self, is_one: impl Fn(GroupId) -> bool) {
        self.told.retain(|group, _| !is_one(*group));
    }

    /// Whether this leader is to be told now: it is new or, `again`, was told a while ago.
    pub fn is_due(&self, now: Time, group: GroupId, member: MemberId, again: bool) -> bool {
        let Some((known, at)) = self.told.get(&group) else { return true };
        *known != member || (again && now - at >= self.again())
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    fn again(&self) -> Time {
        AGAIN.max(self.told.len() as Time * 1_000_000 / AGAIN_A_SECOND)
    }
}
