//! The primary: which member it is taken to be, what only it may take, and how it is found again.

use super::Router;
use crate::interface::{GroupId, MemberId, MemberStatus, Need, StaleReadPolicy, Time};
use crate::mutant::{mutant, Mutant::DrainIgnored};
use crate::state::{Member, Request};

/// Share of the primary's capacity that reads may fill (fraction); the rest is for what only it can do.
pub(super) const PRIMARY_READ_SHARE: f64 = 0.6;
/// Part of the latency target (divisor) that passes between two tries to find the primary.
const DISCOVERY_PAUSE_DIVISOR: Time = 16;

impl Router {
    /// The member with the newest evidence of being primary that it has not itself denied since.
    pub(crate) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let is_primary = |id: &&MemberId| self.members.get(id).is_some_and(Member::is_primary);
        let candidates = self.group_members(group).iter().filter(is_primary).copied();
        candidates.max_by_key(|id| (self.members[id].primary_evidence_at, *id))
    }

    /// The members of a group, in ascending order.
    pub(super) fn group_members(&self, group: GroupId) -> &[MemberId] {
        self.groups.get(&group).map_or(&[], |state| &state.members)
    }

    /// The group has a primary that may be sent requests.
    pub(super) fn has_selectable_primary(&self, group: GroupId) -> bool {
        self.primary(group).is_some_and(|id| self.is_selectable(id))
    }

    /// Whether the list leaves it in service. With `soft_removal` a member called removed is only claimed to
    /// be: its own answers, its silence and its probes decide, as for any other. That covers lists that are
    /// empty, old or short of running members; it costs an attempt or two at each member that is truly
    /// removed.
    pub(super) fn is_in_service(&self, member: &Member) -> bool {
        let is_listed = member.status == MemberStatus::Up || self.settings.soft_removal;
        is_listed && !member.drained || mutant(DrainIgnored)
    }

    /// Whether it is in service and healthy, and not ejected.
    pub(super) fn is_selectable(&self, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let is_healthy = !member.down && !member.suspected;
        self.is_in_service(member) && is_healthy && self.now >= member.ejected_until
    }

    /// The member for a request that only the primary can serve, or another to find the primary by.
    pub(super) fn select_primary(&mut self, sequence: u64) -> Option<MemberId> {
        let request = self.requests.get(&sequence)?;
        let is_write = self.settings.classes[request.class].need == Need::Write;
        if let Some(primary) = self.primary(request.group) {
            if self.is_selectable(primary) {
                let share = if is_write { 1.0 } else { PRIMARY_READ_SHARE };
                let is_free = self.has_capacity(primary, share, request.class)
                    && !self.was_just_tried(request, primary);
                return is_free.then_some(primary);
            }
            let silence = self.now - self.members[&primary].last_heard_at;
            if silence > 2 * self.silence_threshold && self.may_try_suspected(primary, request.class) {
                return Some(primary);
            }
        }
        // Reads are not used to find it where a replica would serve them from old data.
        if !is_write && self.settings.stale_read_policy == StaleReadPolicy::Serve {
            return None;
        }
        let group = request.group;
        let candidate = self.discovery_candidate(request)?;
        self.groups.get_mut(&group)?.last_discovery_at = self.now;
        Some(candidate)
    }

    /// A member that may have become primary: the one that was a replica the longest time ago. One request at
    /// a time tries one; the rest wait. The last attempts of a request are kept for the primary itself.
    fn discovery_candidate(&self, request: &Request) -> Option<MemberId> {
        let class = &self.settings.classes[request.class];
        if request.attempts.len() + 2 > class.attempts.max(2) as usize {
            return None;
        }
        let pause = class.latency_target / DISCOVERY_PAUSE_DIVISOR * self.settings.discovery_interval_factor;
        if self.now - self.groups.get(&request.group)?.last_discovery_at < pause {
            return None;
        }
        let primary = self.primary(request.group);
        let is_candidate = |id: &MemberId| {
            self.is_selectable(*id) && Some(*id) != primary && !self.was_just_tried(request, *id)
        };
        let candidates = self.group_members(request.group).iter().copied().filter(is_candidate);
        candidates.min_by_key(|id| self.members[id].replica_evidence_at)
    }
}
