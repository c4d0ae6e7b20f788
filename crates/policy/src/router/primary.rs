//! The primary: which member it is taken to be, what only it may serve, and how it is found again.

use super::Router;
use crate::interface::{GroupId, MemberId, MemberStatus, Need, StaleReadPolicy, Time};
use crate::mutant::{mutant, Mutant::DrainIgnored};
use crate::state::{Member, Request};

/// Share of the primary's capacity that reads may fill (fraction); the rest is for what only it can do.
pub(super) const PRIMARY_READ_SHARE: f64 = 0.6;
/// Divisor of the latency target: the pause between two attempts to find the primary of a group.
const DISCOVERY_PAUSE_DIVISOR: Time = 16;
/// Attempts of a request that are kept for the primary itself (count).
const ATTEMPTS_FOR_PRIMARY: usize = 2;

/// How the primary ranks for one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrimaryRank {
    /// As the replicas do, by its sojourn.
    AmongReplicas,
    /// Later than its sojourn says: it has enough work of its own.
    BehindReplicas,
}

impl Router {
    /// The member with the newest evidence of being primary that it has not denied since.
    pub(crate) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let is_primary = |id: &&MemberId| self.members.get(id).is_some_and(Member::is_primary);
        let candidates = self.group_members(group).iter().filter(is_primary).copied();
        candidates.max_by_key(|id| (self.members[id].primary_evidence_at, *id))
    }

    /// The members of a group, in ascending order.
    pub(super) fn group_members(&self, group: GroupId) -> &[MemberId] {
        self.groups.get(&group).map_or(&[], |state| &state.members)
    }

    /// Whether the group has a primary that requests may be sent to.
    pub(super) fn has_selectable_primary(&self, group: GroupId) -> bool {
        self.primary(group).is_some_and(|id| self.is_selectable(id))
    }

    /// Whether the endpoint list leaves the member in service. With `soft_removal` the list is not trusted
    /// about removals: the member's own answers, its silence and its health checks decide, as for any other.
    /// That covers lists that are empty, old or incomplete, at the price of an attempt or two at each member
    /// that is truly removed.
    pub(super) fn is_in_service(&self, member: &Member) -> bool {
        let is_listed = member.status == MemberStatus::Up || self.settings.soft_removal;
        is_listed && !member.drained || mutant(DrainIgnored)
    }

    /// Whether the member is in service, healthy and not ejected.
    pub(super) fn is_selectable(&self, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let is_healthy = !member.down && !member.suspected;
        self.is_in_service(member) && is_healthy && self.now >= member.ejected_until
    }

    /// The member for a request that only the primary can serve: the primary, or another member to find it
    /// by.
    pub(super) fn select_primary(&mut self, sequence: u64) -> Option<MemberId> {
        let request = self.requests.get(&sequence)?;
        let is_write = self.settings.classes[request.class].need == Need::Write;
        if let Some(primary) = self.primary(request.group) {
            if self.is_selectable(primary) {
                let share = if is_write { 1.0 } else { PRIMARY_READ_SHARE };
                let has_capacity = self.has_capacity(primary, share, request.class)
                    && !self.was_just_tried(request, primary);
                return has_capacity.then_some(primary);
            }
            let silence = self.now - self.members[&primary].last_heard_at;
            if silence > 2 * self.silence_threshold && self.may_try_suspected(primary, request.class) {
                return Some(primary);
            }
        }
        // A replica that serves stale reads would answer a strong read with old data.
        if !is_write && self.settings.stale_read_policy == StaleReadPolicy::Serve {
            return None;
        }
        let group = request.group;
        let candidate = self.discovery_candidate(request)?;
        self.groups.get_mut(&group)?.last_discovery_at = self.now;
        Some(candidate)
    }

    /// A member that may have become primary: the one whose last evidence of being a replica is the oldest.
    /// One request at a time tries one while the others wait.
    fn discovery_candidate(&self, request: &Request) -> Option<MemberId> {
        let class = &self.settings.classes[request.class];
        let max_attempts = class.attempts.max(ATTEMPTS_FOR_PRIMARY as u32) as usize;
        if request.attempts.len() + ATTEMPTS_FOR_PRIMARY > max_attempts {
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

    /// Draws how the primary ranks for a read. It ranks among the replicas for so many reads as bring it to
    /// an even share of all work: more would overload it, fewer would overload the replicas.
    pub(super) fn draw_primary_rank(&mut self, usable_members: usize) -> PrimaryRank {
        let time = self.load.service_time;
        let write_share = time.writes / (time.reads + time.writes).max(1.0);
        let threshold = 1.0 - write_share * usable_members as f64;
        if self.rng.uniform_sample() * (1.0 - write_share) < threshold {
            PrimaryRank::AmongReplicas
        } else {
            PrimaryRank::BehindReplicas
        }
    }
}
