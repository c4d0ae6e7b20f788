//! Bookkeeping: changes of queues and members that also update the indexes. No decision logic.

use super::Router;
use crate::indexes::Indexes;
use crate::interface::{GroupId, MemberId, MemberStatus, Time};
use crate::state::Member;

/// Time for which a removed member is retained (microseconds): longer than a delayed list may still contain
/// it.
const REMOVED_MEMBER_RETENTION: Time = 60_000_000;

impl Router {
    /// Adds a request to the queue of its group.
    pub(super) fn enqueue(&mut self, group: GroupId, sequence: u64) {
        self.groups.entry(group).or_default().waiting.insert(sequence);
        self.indexes.add_waiting(group);
    }

    /// Removes a request from the queue of its group.
    pub(super) fn dequeue(&mut self, group: GroupId, sequence: u64) {
        let Some(state) = self.groups.get_mut(&group) else { return };
        state.waiting.remove(&sequence);
        if state.waiting.is_empty() {
            self.indexes.remove_waiting(group);
        }
    }

    /// Sets the listed status of a member.
    pub(super) fn set_status(&mut self, id: MemberId, status: MemberStatus) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.status = status;
        member.listed_draining |= status == MemberStatus::Draining;
        if self.indexes.update_status(id, status) {
            member.last_listed_at = member.last_listed_at.max(self.health_checked_at);
        }
    }

    /// Purges removed members for which `is_kept` has returned false for `REMOVED_MEMBER_RETENTION`.
    /// `is_kept` must return true for members that are not removed.
    pub(super) fn purge_removed_members(&mut self, is_kept: impl Fn(&Member) -> bool) {
        let now = self.now;
        let members = &mut self.members;
        let mut purged = Vec::new();
        self.indexes.retain_delisted(|id| {
            let Some(member) = members.get_mut(id) else { return false };
            if is_kept(member) {
                member.last_listed_at = now;
            }
            let is_removed = member.status == MemberStatus::Removed;
            let is_expired = now - member.last_listed_at >= REMOVED_MEMBER_RETENTION;
            if is_expired {
                members.remove(id);
                purged.push(*id);
            }
            is_removed && !is_expired
        });
        for id in &purged {
            self.indexes.remove_member(*id);
        }
        if !purged.is_empty() {
            self.indexes.mark_available_changed();
            self.prune_groups();
        }
    }

    /// Removes purged members from their groups.
    fn prune_groups(&mut self) {
        let members = &self.members;
        for group in self.groups.values_mut() {
            group.members.retain(|id| members.contains_key(id));
        }
    }

    /// Rebuilds the indexes after all members and groups have been replaced.
    pub(crate) fn rebuild_indexes(&mut self) {
        self.prune_groups();
        self.indexes = Indexes::of(&self.members, &self.groups);
    }

    /// When the member was last known to be in service or to have an attempt in flight.
    pub(crate) fn last_listed(&self, id: MemberId, member: &Member) -> Time {
        if self.indexes.is_delisted(id) {
            member.last_listed_at
        } else {
            member.last_listed_at.max(self.health_checked_at)
        }
    }
}
