//! The primary: who it is taken to be, and what only it may take.

use super::*;

impl Router {
    /// The member with the newest evidence of being primary that it has not itself denied since.
    pub(crate) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let lead = |id: &&MemberId| self.members.get(id).is_some_and(Member::is_primary);
        self.group_members(group)
            .iter()
            .filter(lead)
            .copied()
            .max_by_key(|id| (self.members[id].primary_evidence_at, *id))
    }

    pub(super) fn group_members(&self, group: GroupId) -> &[MemberId] {
        self.groups.get(&group).map_or(&[], |g| &g.members)
    }

    /// Does the list leave it in service? With `soft_removal` a member called gone is only claimed to be: its
    /// own answers, its silence and its probes decide, as for any other. Covers lists that are empty, old or
    /// short of running members; harms by an attempt or two at each member that has truly gone.
    pub(super) fn is_in_service(&self, member: &Member) -> bool {
        !member.drained && (member.standing == MemberStatus::Up || self.set.soft_removal)
            || mutant(DrainIgnored)
    }

    pub(super) fn is_selectable(&self, id: MemberId) -> bool {
        let fit =
            |m: &Member| self.is_in_service(m) && !m.down && !m.suspected && self.now >= m.ejected_until;
        self.members.get(&id).is_some_and(fit)
    }

    pub(super) fn select_primary(&mut self, seq: u64) -> Option<MemberId> {
        let req = self.requests.get(&seq)?;
        let group = req.group;
        let class = &self.set.classes[req.class];
        let (write, pause) = (class.need == Need::Write, class.latency_target / 8);
        if let Some(primary) = self.primary(group) {
            if self.is_selectable(primary) {
                let free = self.has_capacity(primary, if write { 1.0 } else { READ_ROOM });
                return (free && !self.lately_refused(req, primary)).then_some(primary);
            }
            // Reads try it again first: of a write nobody knows then whether it ran.
            let silent = self
                .members
                .get(&primary)
                .is_some_and(|m| self.now - m.last_heard_at > 2 * self.silence_threshold);
            if silent && self.may_try_suspected(primary) {
                return Some(primary);
            }
        }
        // No primary that answers: one request at a time scouts another member; the rest wait.
        if !write && self.set.behind == Behind::Serve {
            return None;
        }
        let spent = req.attempts.len() + 2 > class.attempts.max(2) as usize;
        if spent || self.now - self.groups.get(&group)?.last_discovery_at < pause / 2 * self.set.scout_every {
            return None;
        }
        let other = |id: &MemberId| Some(*id) != self.primary(group) && !self.lately_refused(req, *id);
        let options =
            self.group_members(group).iter().copied().filter(|id| self.is_selectable(*id) && other(id));
        let oldest = options.min_by_key(|id| self.members[id].replica_evidence_at)?;
        self.groups.get_mut(&group)?.last_discovery_at = self.now;
        Some(oldest)
    }
}
