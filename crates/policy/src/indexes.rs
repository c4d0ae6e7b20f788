//! Which groups and members a step has to look at, so that its cost grows with what happens and not with what
//! the router serves. Nothing here decides anything: looking at all the others would change nothing.

use crate::interface::{GroupId, MemberId, MemberStatus, Time};
use crate::state::{Group, Member, SilentWaits};
use std::collections::{BTreeMap, BTreeSet};

/// Indexes over groups and members. Each set names one of the router's own once at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct Indexes {
    /// The groups in which requests wait.
    waiting: BTreeSet<GroupId>,
    /// Members with attempts in flight at the last check: what they wait for is added up at each check.
    waited_for: BTreeSet<MemberId>,
    /// All members that are suspected or down.
    doubtful: BTreeSet<MemberId>,
    /// All members that are listed as removed; also those that were so since the last check. Of the members
    /// in it `Member::last_listed_at` is exact. All others were in service at the last check, if they were
    /// known then.
    delisted: BTreeSet<MemberId>,
    /// Something has changed that `Router::available_members` depends on.
    available_outdated: bool,
    /// No member has a `Member::last_loss_at` after this.
    newest_loss: Time,
    /// Since the zones were checked last, a member was lost, listed anew or cleared of suspicion: without any
    /// of that, all members of unreachable zones are suspected still.
    zones_outdated: bool,
}

impl Indexes {
    /// The groups in which requests wait, in ascending order.
    pub(crate) fn waiting_groups(&self) -> Vec<GroupId> {
        self.waiting.iter().copied().collect()
    }

    /// Members that may be silent and, where they may be probed, those that are suspected or down; in
    /// ascending order.
    pub(crate) fn members_to_check(&self, may_probe: bool) -> Vec<MemberId> {
        if !may_probe {
            return self.waited_for.iter().copied().collect();
        }
        self.waited_for.union(&self.doubtful).copied().collect()
    }

    /// A member answers or does not.
    pub(crate) fn set_down(&mut self, id: MemberId, member: &mut Member, down: bool) {
        member.down = down;
        self.available_outdated = true;
        self.note_doubt(id, member);
    }

    /// Doubts about a member may have come up or gone.
    pub(crate) fn note_doubt(&mut self, id: MemberId, member: &Member) {
        if member.suspected || member.down {
            self.doubtful.insert(id);
        } else {
            self.doubtful.remove(&id);
        }
    }

    /// An attempt at this member has hung.
    pub(crate) fn record_loss(&mut self, member: &mut Member, now: Time) {
        member.last_loss_at = now;
        self.newest_loss = self.newest_loss.max(now);
        self.zones_outdated = true;
    }

    /// The member has answered.
    pub(crate) fn clear_suspicion(&mut self, id: MemberId, member: &mut Member) {
        self.zones_outdated |= member.suspected;
        member.suspected = false;
        self.note_doubt(id, member);
    }

    /// Whether a check of the zones may find members to suspect.
    pub(crate) fn has_outdated_zones(&self) -> bool {
        self.zones_outdated
    }

    /// The zones are checked now.
    pub(crate) fn begin_zone_check(&mut self) {
        self.zones_outdated = false;
    }

    /// Who counts as in service may have changed.
    pub(crate) fn outdate_available(&mut self) {
        self.available_outdated = true;
    }

    /// Whether who counts as in service may have changed since this was asked last.
    pub(crate) fn take_available_outdated(&mut self) -> bool {
        std::mem::take(&mut self.available_outdated)
    }

    /// Whether an attempt may have hung within the span before now.
    pub(crate) fn lost_within(&self, span: Time, now: Time) -> bool {
        now - self.newest_loss < span
    }

    /// An attempt is in flight at this member.
    pub(crate) fn await_member(&mut self, id: MemberId) {
        self.waited_for.insert(id);
    }

    /// Begins a check: nothing is added up yet.
    pub(crate) fn begin_check(&mut self, members: &mut BTreeMap<MemberId, Member>) {
        for id in std::mem::take(&mut self.waited_for) {
            if let Some(member) = members.get_mut(&id) {
                member.presumed_lost = 0;
                member.silent_waits = SilentWaits::default();
            }
        }
    }

    /// Requests wait in this group.
    pub(crate) fn add_waiting(&mut self, group: GroupId) {
        self.waiting.insert(group);
    }

    /// No request waits in this group any more.
    pub(crate) fn remove_waiting(&mut self, group: GroupId) {
        self.waiting.remove(&group);
    }

    /// The list names the status of this member. Says whether it is removed now and was not before.
    pub(crate) fn note_status(&mut self, id: MemberId, status: MemberStatus) -> bool {
        self.available_outdated = true;
        self.zones_outdated = true;
        status == MemberStatus::Removed && self.delisted.insert(id)
    }

    /// Whether the member was removed at the last check, or since.
    pub(crate) fn is_delisted(&self, id: MemberId) -> bool {
        self.delisted.contains(&id)
    }

    /// The member is not known any more.
    pub(crate) fn forget_member(&mut self, id: MemberId) {
        self.doubtful.remove(&id);
    }

    /// Keeps only those of the removed members for which this holds.
    pub(crate) fn retain_delisted(&mut self, keeps: impl FnMut(&MemberId) -> bool) {
        self.delisted.retain(keeps);
    }

    /// The indexes over these members and groups.
    pub(crate) fn of(members: &BTreeMap<MemberId, Member>, groups: &BTreeMap<GroupId, Group>) -> Indexes {
        let ids_of = |fits: fn(&Member) -> bool| {
            let fitting = members.iter().filter(|(_, member)| fits(member));
            fitting.map(|(id, _)| *id).collect::<BTreeSet<MemberId>>()
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
}
