//! Which groups and members a step has to scan, so that its cost grows with what happens and not with what the
//! router serves. No decisions are made here: scanning all the others would change nothing.

use crate::interface::{GroupId, MemberId, MemberStatus, Time};
use crate::state::{Group, Member, SilentWaits};
use std::collections::{BTreeMap, BTreeSet};

/// Indexes over groups and members. Each set names only groups or members of the router, each at most once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Indexes {
    /// Groups in which requests wait.
    waiting: BTreeSet<GroupId>,
    /// Members with attempts in flight at the last check. Their waits are added up anew at each check.
    waited_for: BTreeSet<MemberId>,
    /// Members that are suspected or down.
    doubtful: BTreeSet<MemberId>,
    /// Members listed as removed, and those that have been so since the last check. `Member::last_listed_at` is
    /// exact for these only; all others were in service at the last check, if they were known then.
    delisted: BTreeSet<MemberId>,
    /// Something that `Router::available` depends on has changed.
    available_outdated: bool,
    /// No member has a later `Member::last_loss_at`.
    newest_loss: Time,
    /// Since the last check of the zones, a member was lost, listed anew or cleared of suspicion. Without any
    /// of these, all members of unreachable zones are still suspected.
    zones_outdated: bool,
}

impl Indexes {
    /// The indexes over these members and groups.
    pub(crate) fn of(members: &BTreeMap<MemberId, Member>, groups: &BTreeMap<GroupId, Group>) -> Indexes {
        let ids_of = |matches: fn(&Member) -> bool| {
            let matching = members.iter().filter(|(_, member)| matches(member));
            matching.map(|(id, _)| *id).collect::<BTreeSet<MemberId>>()
        };
        let waiting = groups.iter().filter(|(_, state)| !state.waiting.is_empty());
        Indexes {
            waiting: waiting.map(|(group, _)| *group).collect(),
            waited_for: ids_of(|member| {
                member.presumed_lost > 0 || member.silent_waits != SilentWaits::default()
            }),
            doubtful: ids_of(|member| member.suspected || member.down),
            delisted: ids_of(|member| member.status == MemberStatus::Removed),
            available_outdated: true,
            zones_outdated: true,
            newest_loss: members.values().map(|member| member.last_loss_at).max().unwrap_or(0),
        }
    }

    /// The groups in which requests wait, in ascending order.
    pub(crate) fn waiting_groups(&self) -> Vec<GroupId> {
        self.waiting.iter().copied().collect()
    }

    /// Records that requests wait in this group.
    pub(crate) fn add_waiting(&mut self, group: GroupId) {
        self.waiting.insert(group);
    }

    /// Records that no request waits in this group any more.
    pub(crate) fn remove_waiting(&mut self, group: GroupId) {
        self.waiting.remove(&group);
    }

    /// Begins a check of all members: their waits are reset.
    pub(crate) fn begin_check(&mut self, members: &mut BTreeMap<MemberId, Member>) {
        for id in std::mem::take(&mut self.waited_for) {
            if let Some(member) = members.get_mut(&id) {
                member.presumed_lost = 0;
                member.silent_waits = SilentWaits::default();
            }
        }
    }

    /// Records that an attempt is in flight at this member.
    pub(crate) fn await_member(&mut self, id: MemberId) {
        self.waited_for.insert(id);
    }

    /// The members to check, in ascending order: those that may be silent and, where there are health checks,
    /// those that are suspected or down.
    pub(crate) fn members_to_check(&self, may_probe: bool) -> Vec<MemberId> {
        if !may_probe {
            return self.waited_for.iter().copied().collect();
        }
        self.waited_for.union(&self.doubtful).copied().collect()
    }

    /// Sets whether a member is down.
    pub(crate) fn set_down(&mut self, id: MemberId, member: &mut Member, down: bool) {
        member.down = down;
        self.available_outdated = true;
        self.update_doubt(id, member);
    }

    /// Clears a member that has answered of suspicion.
    pub(crate) fn clear_suspicion(&mut self, id: MemberId, member: &mut Member) {
        self.zones_outdated |= member.suspected;
        member.suspected = false;
        self.update_doubt(id, member);
    }

    /// Follows a change of whether a member is suspected or down.
    pub(crate) fn update_doubt(&mut self, id: MemberId, member: &Member) {
        if member.suspected || member.down {
            self.doubtful.insert(id);
        } else {
            self.doubtful.remove(&id);
        }
    }

    /// Records that an attempt at this member has hung.
    pub(crate) fn record_loss(&mut self, member: &mut Member, now: Time) {
        member.last_loss_at = now;
        self.newest_loss = self.newest_loss.max(now);
        self.zones_outdated = true;
    }

    /// Whether an attempt may have hung within the span before now.
    pub(crate) fn lost_within(&self, span: Time, now: Time) -> bool {
        now - self.newest_loss < span
    }

    /// Whether a check of the zones may find members to suspect.
    pub(crate) fn has_outdated_zones(&self) -> bool {
        self.zones_outdated
    }

    /// Records that the zones are checked now.
    pub(crate) fn begin_zone_check(&mut self) {
        self.zones_outdated = false;
    }

    /// Records that the set of available members may have changed.
    pub(crate) fn outdate_available(&mut self) {
        self.available_outdated = true;
    }

    /// Whether the set of available members may have changed since the last call.
    pub(crate) fn take_available_outdated(&mut self) -> bool {
        std::mem::take(&mut self.available_outdated)
    }

    /// Follows a status of the endpoint list. Returns whether the member is newly removed.
    pub(crate) fn update_status(&mut self, id: MemberId, status: MemberStatus) -> bool {
        self.available_outdated = true;
        self.zones_outdated = true;
        status == MemberStatus::Removed && self.delisted.insert(id)
    }

    /// Whether the member was removed at the last check, or has been since.
    pub(crate) fn is_delisted(&self, id: MemberId) -> bool {
        self.delisted.contains(&id)
    }

    /// Keeps only those of the delisted members for which `keeps` returns true.
    pub(crate) fn retain_delisted(&mut self, keeps: impl FnMut(&MemberId) -> bool) {
        self.delisted.retain(keeps);
    }

    /// Removes a member that the router has forgotten.
    pub(crate) fn forget_member(&mut self, id: MemberId) {
        self.doubtful.remove(&id);
    }
}
