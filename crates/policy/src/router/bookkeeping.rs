//! Bookkeeping: changes of queues and members that the indexes have to follow. No decisions are made here.

use super::Router;
use crate::indexes::Indexes;
use crate::interface::{GroupId, MemberId, MemberStatus, Time};
use crate::state::Member;

/// Span after which a removed member is forgotten (microseconds): longer than a late list may still name it.
const FORGET_AFTER: Time = 60_000_000;

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

    /// Sets the status that the endpoint list names for a member.
    pub(super) fn set_status(&mut self, id: MemberId, status: MemberStatus) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.status = status;
        member.drained |= status == MemberStatus::Draining;
        if self.indexes.update_status(id, status) {
            member.last_listed_at = member.last_listed_at.max(self.health_checked_at);
        }
    }

    /// Forgets the removed members for which `is_kept` has returned false for as long as `FORGET_AFTER`. It
    /// has to return true for members that are not removed.
    pub(super) fn forget_members(&mut self, is_kept: impl Fn(&Member) -> bool) {
        let now = self.now;
        let members = &mut self.members;
        let mut forgotten = Vec::new();
        self.indexes.retain_delisted(|id| {
            let Some(member) = members.get_mut(id) else { return false };
            if is_kept(member) {
                member.last_listed_at = now;
            }
            let is_removed = member.status == MemberStatus::Removed;
            let is_forgotten = now - member.last_listed_at >= FORGET_AFTER;
            if is_forgotten {
                members.remove(id);
                forgotten.push(*id);
            }
            is_removed && !is_forgotten
        });
        for id in &forgotten {
            self.indexes.forget_member(*id);
        }
        if !forgotten.is_empty() {
            self.indexes.outdate_available();
            self.prune_groups();
        }
    }

    /// Removes forgotten members from their groups.
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

    /// When a member was last known to be in service or to have an attempt in flight.
    pub(crate) fn last_listed(&self, id: MemberId, member: &Member) -> Time {
        if self.indexes.is_delisted(id) {
            member.last_listed_at
        } else {
            member.last_listed_at.max(self.health_checked_at)
        }
    }
}
