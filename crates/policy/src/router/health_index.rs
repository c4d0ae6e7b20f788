//! Which members a health check has to look at: those with attempts out, in doubt, or listed as gone. A check leaves all
//! others as they are, so that its cost grows with what happens and not with the number of members.

use super::*;

/// An index over the members. Each of its sets names a member of the router once at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthIndex {
    /// Members with attempts out at the last check: what they wait for is added up at each check.
    pub(super) waited_for: BTreeSet<MemberId>,
    /// All members that are suspect or down; also some that were so since the last check.
    pub(super) in_doubt: BTreeSet<MemberId>,
    /// All members that are listed as gone; also those that were so since the last check. Of the members in it
    /// `Member::named` is exact. All others were in service at the last check, if they were known then.
    pub(super) delisted: BTreeSet<MemberId>,
    /// Something has changed that `Router::alive` depends on.
    pub(super) alive_outdated: bool,
    /// No member has a `Member::lost_at` after this.
    pub(super) newest_loss: Time,
}

impl HealthIndex {
    /// The index for members that another router has left, which it kept in order.
    pub(super) fn of(members: &BTreeMap<MemberId, Member>) -> HealthIndex {
        let ids_of = |fits: fn(&Member) -> bool| {
            let fitting = members.iter().filter(|(_, member)| fits(member));
            fitting.map(|(id, _)| *id).collect::<BTreeSet<MemberId>>()
        };
        HealthIndex {
            waited_for: ids_of(|member| member.lost > 0 || member.quiet != (0.0, 0)),
            in_doubt: ids_of(|member| member.suspect || member.down),
            delisted: ids_of(|member| member.standing == Standing::Gone),
            alive_outdated: true,
            newest_loss: members.values().map(|member| member.lost_at).max().unwrap_or(0),
        }
    }

    /// The list names a standing of a member.
    pub(super) fn set_standing(
        &mut self,
        id: MemberId,
        member: &mut Member,
        standing: Standing,
        checked_at: Time,
    ) {
        member.standing = standing;
        member.drained |= standing == Standing::Draining;
        self.alive_outdated = true;
        if standing == Standing::Gone && self.delisted.insert(id) {
            member.named = member.named.max(checked_at);
        }
    }

    /// Members that may be silent, suspect or down, in ascending order.
    pub(super) fn to_check(&self) -> Vec<MemberId> {
        self.waited_for.union(&self.in_doubt).copied().collect()
    }
}

impl Router {
    /// Checks the next time whether this member is in doubt.
    pub(super) fn doubt(&mut self, id: MemberId) {
        self.health.in_doubt.insert(id);
    }

    /// Removes members that have been gone for long: they are replaced for as long as a router runs.
    pub(super) fn forget_members(&mut self) {
        let (now, soft_removal) = (self.now, self.set.soft_removal);
        let members = &mut self.members;
        let count = members.len();
        self.health.delisted.retain(|id| {
            let Some(member) = members.get_mut(id) else { return false };
            let gone = member.standing == Standing::Gone;
            if !gone || member.out > 0 || soft_removal {
                member.named = now;
            }
            let forgotten = now - member.named >= FORGOTTEN;
            if forgotten {
                members.remove(id);
            }
            gone && !forgotten
        });
        if self.members.len() < count {
            self.health.alive_outdated = true;
            self.prune_groups();
        }
    }

    /// Removes members from their groups that are no longer known.
    pub(crate) fn prune_groups(&mut self) {
        let members = &self.members;
        self.groups.values_mut().for_each(|group| group.members.retain(|id| members.contains_key(id)));
    }

    /// Adds up what members have not answered yet.
    pub(super) fn add_up_waits(&mut self) {
        // A member that drops some of its work and answers the rest must not have its room held by what is
        // lost. Covers lossy paths and hung requests of any kind; harms a crowded member by some more work.
        for id in std::mem::take(&mut self.health.waited_for) {
            if let Some(member) = self.members.get_mut(&id) {
                (member.lost, member.quiet) = (0, (0.0, 0));
            }
        }
        for out in self.outs.values() {
            let Some(member) = self.members.get_mut(&out.member) else { continue };
            self.health.waited_for.insert(out.member);
            let (waited, aim) = (self.now - out.sent, self.set.classes[out.class].aim);
            if member.heard > out.sent {
                member.lost += (waited > share_of(aim, LOST)) as u32;
            } else {
                member.quiet = (member.quiet.0 + waited as f64 / aim as f64, member.quiet.1.max(waited));
            }
        }
    }

    /// Counts the members that answer, if that may have changed.
    pub(super) fn count_alive(&mut self) {
        if std::mem::take(&mut self.health.alive_outdated) {
            self.alive = self.members.values().filter(|m| self.standing(m) && !m.down).count();
        }
    }
}
