//! Entries of the endpoint list, quota adjustments, roles and load reports.

use super::ids::{GroupId, MemberId, Time};
use serde::{Deserialize, Serialize};

/// Status of a member in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// In service.
    #[default]
    Up,
    /// Shutting down gracefully: it finishes the work that it has.
    Draining,
    /// Removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: String,
    /// Its capacity in relation to the others.
    pub weight: f64,
    /// Its last start, by the hosts' clock; 0 for long ago.
    pub started: Time,
    /// Its status.
    pub status: MemberStatus,
    /// The list names it as the primary.
    pub primary: bool,
}

/// A temporary deviation of this router's quota of a group's concurrency limits from the even quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaAdjustment {
    /// Quota borrowed, in even quotas; negative for quota lent, which is never all of it.
    pub extra: f64,
    /// When the loan ends, and the quota is the even one again.
    pub until: Time,
}

impl QuotaAdjustment {
    /// The smallest quota of any router, in even quotas.
    pub const MIN_QUOTA: f64 = 0.5;

    /// The quota at a time, in even quotas.
    pub fn at(&self, now: Time) -> f64 {
        if now < self.until {
            (1.0 + self.extra).max(QuotaAdjustment::MIN_QUOTA)
        } else {
            1.0
        }
    }
}

/// A member's role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    /// It serves writes.
    Primary,
    /// It replicates the primary's commits.
    Replica,
}

/// A member that is taken for the primary of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPrimary {
    /// The group.
    pub group: GroupId,
    /// The member.
    pub member: MemberId,
    /// Newest evidence of it that came from the member itself, by the router's clock.
    pub evidence_at: Time,
}

/// A load report of a member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Time up to which it has applied all commits (hosts' clock).
    pub position: Option<Time>,
    /// Its role at that time.
    pub role: Option<Role>,
    /// Requests in its queue (count).
    pub waiting: Option<f64>,
    /// Share of its processors in use (fraction).
    pub busy: Option<f64>,
}
