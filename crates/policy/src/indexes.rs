//! Which groups and members a step has to look at, so that its cost grows with what happens and not with what the router
//! serves. Nothing here decides anything: looking at all the others would change nothing.

use crate::interface::{GroupId, MemberId, MemberStatus, Time};
use crate::router::Router;
use crate::state::{Member, SilentWaits};
use std::collections::{BTreeMap, BTreeSet};

/// Span after which a removed member is forgotten (microseconds): no list that old may name it again.
const FORGET_AFTER: Time = 60_000_000;

/// Indexes over groups and members. Each set names one of the router's own once at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct Indexes {
    /// The groups in which requests wait.
    waiting: BTreeSet<GroupId>,
    /// Members with attempts in flight at the last check: what they wait for is added up at each check.
    waited_for: BTreeSet<MemberId>,
    /// All members that are suspected or down; also some that were so since the last check.
    doubtful: BTreeSet<MemberId>,
    /// All members that are listed as gone; also those that were so since the last check. Of the members in it
    /// `Member::last_listed_at` is exact. All others were in service at the last check, if they were known then.
    delisted: BTreeSet<MemberId>,
    /// Something has changed that `Router::available_members` depends on.
    available_outdated: bool,
    /// No member has a `Member::last_loss_at` after this.
    newest_loss: Time,
}

impl Indexes {
    /// The groups in which requests wait, in ascending order.
    pub(crate) fn waiting_groups(&self) -> Vec<GroupId> {
        self.waiting.iter().copied().collect()
    }

    /// Members that may be silent, suspected or down, in ascending order.
    pub(crate) fn members_to_check(&self) -> Vec<MemberId> {
        self.waited_for.union(&self.doubtful).copied().collect()
    }

    /// A member answers or does not.
    pub(crate) fn set_down(&mut self, id: MemberId, member: &mut Member, down: bool) {
        member.down = down;
        self.available_outdated = true;
        self.note_doubt(id, member);
    }

    /// Doubts about a member may have come up, or an attempt there have hung.
    pub(crate) fn note_doubt(&mut self, id: MemberId, member: &Member) {
        self.newest_loss = self.newest_loss.max(member.last_loss_at);
        if member.suspected || member.down {
            self.doubtful.insert(id);
        }
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

    /// Begins a check: nothing is added up yet, and only those in doubt stay so.
    pub(crate) fn begin_check(&mut self, members: &mut BTreeMap<MemberId, Member>) {
        for id in std::mem::take(&mut self.waited_for) {
            if let Some(member) = members.get_mut(&id) {
                member.presumed_lost = 0;
                member.silent_waits = SilentWaits::default();
            }
        }
        self.doubtful.retain(|id| members.get(id).is_some_and(|member| member.suspected || member.down));
    }
}

impl Router {
    /// The request waits in its group from now on.
    pub(crate) fn enqueue(&mut self, group: GroupId, seq: u64) {
        self.groups.entry(group).or_default().waiting.insert(seq);
        self.indexes.waiting.insert(group);
    }

    /// The request no longer waits in its group.
    pub(crate) fn dequeue(&mut self, group: GroupId, seq: u64) {
        let Some(state) = self.groups.get_mut(&group) else { return };
        state.waiting.remove(&seq);
        if state.waiting.is_empty() {
            self.indexes.waiting.remove(&group);
        }
    }

    /// The list names the standing of a member.
    pub(crate) fn set_standing(&mut self, id: MemberId, standing: MemberStatus) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.standing = standing;
        member.drained |= standing == MemberStatus::Draining;
        self.indexes.available_outdated = true;
        if standing == MemberStatus::Removed && self.indexes.delisted.insert(id) {
            member.last_listed_at = member.last_listed_at.max(self.watched_at);
        }
    }

    /// Notes for members that were gone which of them are kept, and forgets those that were not for
    /// a minute. Members that are not gone must be kept.
    pub(crate) fn forget_members(&mut self, kept: impl Fn(&Member) -> bool) {
        let now = self.now;
        let members = &mut self.members;
        let count = members.len();
        self.indexes.delisted.retain(|id| {
            let Some(member) = members.get_mut(id) else { return false };
            member.last_listed_at = if kept(member) { now } else { member.last_listed_at };
            let gone = member.standing == MemberStatus::Removed;
            let forgotten = now - member.last_listed_at >= FORGET_AFTER;
            if forgotten {
                members.remove(id);
            }
            gone && !forgotten
        });
        if members.len() < count {
            self.indexes.outdate_available();
            self.prune_groups();
        }
    }

    /// Removes members from their groups that are no longer known.
    fn prune_groups(&mut self) {
        let members = &self.members;
        self.groups.values_mut().for_each(|group| group.members.retain(|id| members.contains_key(id)));
    }

    /// Brings the indexes in line with members and groups, when all of them have changed.
    pub(crate) fn rebuild_indexes(&mut self) {
        self.prune_groups();
        let members = &self.members;
        let ids_of = |fits: fn(&Member) -> bool| {
            let fitting = members.iter().filter(|(_, member)| fits(member));
            fitting.map(|(id, _)| *id).collect::<BTreeSet<MemberId>>()
        };
        let waiting = self.groups.iter().filter(|(_, state)| !state.waiting.is_empty());
        self.indexes = Indexes {
            waiting: waiting.map(|(group, _)| *group).collect(),
            waited_for: ids_of(|member| {
                member.presumed_lost > 0 || member.silent_waits != SilentWaits::default()
            }),
            doubtful: ids_of(|member| member.suspected || member.down),
            delisted: ids_of(|member| member.standing == MemberStatus::Removed),
            available_outdated: true,
            newest_loss: members.values().map(|member| member.last_loss_at).max().unwrap_or(0),
        };
    }

    /// When a member was last known to be in service or to have an attempt in flight.
    pub(crate) fn last_listed(&self, id: MemberId, member: &Member) -> Time {
        if self.indexes.delisted.contains(&id) {
            member.last_listed_at
        } else {
            member.last_listed_at.max(self.watched_at)
        }
    }
}
