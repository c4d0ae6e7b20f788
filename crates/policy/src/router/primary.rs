//! Primary: determines the primary of a group, selects it for requests that only it may serve, and discovers
//! a new one.

use super::Router;
use crate::interface::{GroupId, MemberId, MemberStatus, Need, StaleReadPolicy, Time};
use crate::mutant::{mutant, Mutant::DrainIgnored};
use crate::state::{Member, Request};

/// Share of the primary's capacity that reads may use (fraction); the rest is reserved for requests that only
/// it can serve.
pub(super) const PRIMARY_READ_SHARE: f64 = 0.6;
/// Interval between two attempts to discover the primary of a group, as a divisor of the latency target.
const DISCOVERY_PAUSE_DIVISOR: Time = 16;
/// Number of attempts of a request that are reserved for the primary itself.
const ATTEMPTS_FOR_PRIMARY: usize = 2;

/// Rank of the primary among the candidates for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PrimaryRank {
    /// Ranked by its sojourn, like the replicas.
    AmongReplicas,
    /// Ranked lower than its sojourn suggests, because writes already keep it busy.
    BehindReplicas,
}

impl Router {
    /// The member with the latest evidence of being primary that is not superseded by evidence of being a
    /// replica.
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

    /// Whether the member is in service according to the endpoint list. With `soft_removal`, removals in the
    /// list are not trusted: the member's answers, silence and health checks decide, as for any other member.
    /// This handles lists that are empty, outdated or incomplete, at the cost of one or two attempts at each
    /// member that has actually been removed.
    pub(super) fn is_in_service(&self, member: &Member) -> bool {
        let is_listed = member.status == MemberStatus::Up || self.settings.soft_removal;
        is_listed && !member.listed_draining || mutant(DrainIgnored)
    }

    /// Whether the member is in service, healthy and not ejected.
    pub(super) fn is_selectable(&self, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let is_healthy = !member.down && !member.suspected;
        self.is_in_service(member) && is_healthy && self.now >= member.ejected_until
    }

    /// Selects the member for a request that only the primary can serve: the primary, or another member in
    /// order to discover the new primary.
    pub(super) fn select_primary(&mut self, sequence: u64) -> Option<MemberId> {
        let request = self.requests.get(&sequence)?;
        let is_write = self.settings.classes[request.class].need == Need::Write;
        if let Some(primary) = self.primary(request.group) {
            if self.is_selectable(primary) {
                let share = if is_write { 1.0 } else { PRIMARY_READ_SHARE };
                let has_capacity = self.has_capacity(primary, share, request.class)
                    && !self.was_recently_tried(request, primary);
                return has_capacity.then_some(primary);
            }
            let silence = self.now - self.members[&primary].last_heard_at;
            if silence > 2 * self.silence_threshold && self.may_try_suspected(primary, request.class) {
                return Some(primary);
            }
        }
        // A replica that serves stale reads would answer a strong read with stale data.
        if !is_write && self.settings.stale_read_policy == StaleReadPolicy::Serve {
            return None;
        }
        let group = request.group;
        let candidate = self.discovery_candidate(request)?;
        self.groups.get_mut(&group)?.last_discovery_at = self.now;
        Some(candidate)
    }

    /// A member that may have become primary: the one whose evidence of being a replica is the oldest. Only
    /// one request at a time is used for discovery while the others wait.
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
            self.is_selectable(*id) && Some(*id) != primary && !self.was_recently_tried(request, *id)
        };
        let candidates = self.group_members(request.group).iter().copied().filter(is_candidate);
        candidates.min_by_key(|id| self.members[id].replica_evidence_at)
    }

    /// Draws the rank of the primary for a read. It is ranked among the replicas with the probability that
    /// gives it an equal share of all work: more reads would overload it, fewer would overload the replicas.
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
