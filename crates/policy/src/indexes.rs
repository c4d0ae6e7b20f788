//! Indexes of the groups and members that a step has to scan, so that the cost of a step depends on activity
//! and not on the number of groups and members served. They do not affect decisions: scanning everything
//! would give the same result.

use crate::interface::{GroupId, MemberId, MemberStatus, Time};
use crate::state::{Group, Member, SilentWaits};
use std::collections::{BTreeMap, BTreeSet};

/// Indexes over groups and members. The sets contain only groups and members that the router knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Indexes {
    /// Groups with queued requests.
    waiting: BTreeSet<GroupId>,
    /// Members with attempts in flight at the last check. Their waits are summed up again at each check.
    awaited: BTreeSet<MemberId>,
    /// Members that are suspected or down.
    unhealthy: BTreeSet<MemberId>,
    /// Members that are listed as removed or have been at any time since the last check.
    /// `Member::last_listed_at` is exact only for these; all others were in service at the last check if they
    /// were known by then.
    delisted: BTreeSet<MemberId>,
    /// Whether `Router::available` has to be recomputed.
    available_changed: bool,
    /// Upper bound of `Member::last_loss_at` over all members.
    newest_loss: Time,
    /// Whether a member was lost, listed again or cleared of suspicion since the last zone check. Otherwise
    /// all members of unreachable zones are still suspected.
    zone_check_needed: bool,
}

impl Indexes {
    /// Builds the indexes over these members and groups.
    pub(crate) fn of(members: &BTreeMap<MemberId, Member>, groups: &BTreeMap<GroupId, Group>) -> Indexes {
        let ids_of = |matches: fn(&Member) -> bool| {
            let matching = members.iter().filter(|(_, member)| matches(member));
            matching.map(|(id, _)| *id).collect::<BTreeSet<MemberId>>()
        };
        let waiting = groups.iter().filter(|(_, state)| !state.waiting.is_empty());
        Indexes {
            waiting: waiting.map(|(group, _)| *group).collect(),
            awaited: ids_of(|member| {
                member.presumed_lost > 0 || member.silent_waits != SilentWaits::default()
            }),
            unhealthy: ids_of(|member| member.suspected || member.down),
            delisted: ids_of(|member| member.status == MemberStatus::Removed),
            available_changed: true,
            zone_check_needed: true,
            newest_loss: members.values().map(|member| member.last_loss_at).max().unwrap_or(0),
        }
    }

    /// The groups with queued requests, in ascending order.
    pub(crate) fn waiting_groups(&self) -> Vec<GroupId> {
        self.waiting.iter().copied().collect()
    }

    /// Records that this group has queued requests.
    pub(crate) fn add_waiting(&mut self, group: GroupId) {
        self.waiting.insert(group);
    }

    /// Records that this group has no queued requests.
    pub(crate) fn remove_waiting(&mut self, group: GroupId) {
        self.waiting.remove(&group);
    }

    /// Begins a health check of the members by resetting their waits.
    pub(crate) fn begin_check(&mut self, members: &mut BTreeMap<MemberId, Member>) {
        for id in std::mem::take(&mut self.awaited) {
            if let Some(member) = members.get_mut(&id) {
                member.presumed_lost = 0;
                member.silent_waits = SilentWaits::default();
            }
        }
    }

    /// Records that an attempt is in flight at this member.
    pub(crate) fn record_awaited(&mut self, id: MemberId) {
        self.awaited.insert(id);
    }

    /// The members to check, in ascending order: those with attempts in flight and, if health checks are
    /// enabled, those that are suspected or down.
    pub(crate) fn members_to_check(&self, may_probe: bool) -> Vec<MemberId> {
        if !may_probe {
            return self.awaited.iter().copied().collect();
        }
        self.awaited.union(&self.unhealthy).copied().collect()
    }

    /// Sets whether a member is down.
    pub(crate) fn set_down(&mut self, id: MemberId, member: &mut Member, down: bool) {
        member.down = down;
        self.available_changed = true;
        self.update_unhealthy(id, member);
    }

    /// Clears the suspicion of a member that has answered.
    pub(crate) fn clear_suspicion(&mut self, id: MemberId, member: &mut Member) {
        self.zone_check_needed |= member.suspected;
        member.suspected = false;
        self.update_unhealthy(id, member);
    }

    /// Updates the index after a change of whether a member is suspected or down.
    pub(crate) fn update_unhealthy(&mut self, id: MemberId, member: &Member) {
        if member.suspected || member.down {
            self.unhealthy.insert(id);
        } else {
            self.unhealthy.remove(&id);
        }
    }

    /// Records that an attempt at this member has hung.
    pub(crate) fn record_loss(&mut self, member: &mut Member, now: Time) {
        member.last_loss_at = now;
        self.newest_loss = self.newest_loss.max(now);
        self.zone_check_needed = true;
    }

    /// Whether an attempt may have hung within the last `span`.
    pub(crate) fn lost_within(&self, span: Time, now: Time) -> bool {
        now - self.newest_loss < span
    }

    /// Whether a zone check may find members to suspect.
    pub(crate) fn needs_zone_check(&self) -> bool {
        self.zone_check_needed
    }

    /// Records the start of a zone check.
    pub(crate) fn begin_zone_check(&mut self) {
        self.zone_check_needed = false;
    }

    /// Records that the set of available members may have changed.
    pub(crate) fn mark_available_changed(&mut self) {
        self.available_changed = true;
    }

    /// Whether the set of available members may have changed since the last call.
    pub(crate) fn take_available_changed(&mut self) -> bool {
        std::mem::take(&mut self.available_changed)
    }

    /// Updates the indexes after a status update of the endpoint list. Returns whether the member is newly
    /// removed.
    pub(crate) fn update_status(&mut self, id: MemberId, status: MemberStatus) -> bool {
        self.available_changed = true;
        self.zone_check_needed = true;
        status == MemberStatus::Removed && self.delisted.insert(id)
    }

    /// Whether the member was removed at the last check or has been at any time since.
    pub(crate) fn is_delisted(&self, id: MemberId) -> bool {
        self.delisted.contains(&id)
    }

    /// Retains only the delisted members for which `keeps` returns true.
    pub(crate) fn retain_delisted(&mut self, keeps: impl FnMut(&MemberId) -> bool) {
        self.delisted.retain(keeps);
    }

    /// Removes a member that the router no longer tracks.
    pub(crate) fn remove_member(&mut self, id: MemberId) {
        self.unhealthy.remove(&id);
    }
}
