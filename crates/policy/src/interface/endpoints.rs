//! Entries of the endpoint list, quota adjustments, roles and load reports.

use super::ids::{GroupId, MemberId, Time};
use serde::{Deserialize, Serialize};

/// Status of a member in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// Accepts requests.
    #[default]
    Up,
    /// Shutting down gracefully: it completes requests in progress and accepts no new ones.
    Draining,
    /// Out of service. A known member that a complete list omits is treated like this.
    Removed,
}

/// What the endpoint list states about one member.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Identifier of the member, which stays the same when it restarts.
    pub member: MemberId,
    /// The group it belongs to.
    pub group: GroupId,
    /// Name of the zone it runs in. The members of a zone may become unreachable together.
    pub zone: String,
    /// Capacity relative to the other members. A value that is not finite and positive counts as 1.
    pub weight: f64,
    /// Time of its last start, by the hosts' clock; 0 if it started long ago.
    pub started: Time,
    /// Whether the member is in service, as the list states it.
    pub status: MemberStatus,
    /// Whether the list marks it as the primary. Roles that members report take precedence.
    pub primary: bool,
}

/// A temporary change to this router's quota of a group's concurrency limits, relative to the even quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaAdjustment {
    /// Quota borrowed, in multiples of the even quota; negative for quota lent. A router never lends all of
    /// it.
    pub extra: f64,
    /// When the loan expires and the quota returns to the even quota.
    pub until: Time,
}

impl QuotaAdjustment {
    /// Minimum quota of a router, in multiples of the even quota.
    pub const MIN_QUOTA: f64 = 0.5;

    /// The quota at the time `now`, in multiples of the even quota.
    pub fn at(&self, now: Time) -> f64 {
        if now < self.until {
            (1.0 + self.extra).max(QuotaAdjustment::MIN_QUOTA)
        } else {
            1.0
        }
    }
}

/// The replication role of a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    /// Serves writes.
    Primary,
    /// Replicates the primary's commits.
    Replica,
}

/// The member that a router currently considers the primary of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPrimary {
    /// The group that the member is the primary of.
    pub group: GroupId,
    /// The member with the latest evidence of being the primary.
    pub member: MemberId,
    /// Time of the latest evidence that the member itself provided, by the router's clock.
    pub evidence_at: Time,
}

/// What a member reports about itself with an answer or a health check. Values that it did not report are
/// `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Replication position: all commits up to this time are applied (hosts' clock).
    pub position: Option<Time>,
    /// Role that the member had at that position.
    pub role: Option<Role>,
    /// Number of requests in the member's queue.
    pub waiting: Option<f64>,
    /// CPU utilization of the member (fraction).
    pub busy: Option<f64>,
}
