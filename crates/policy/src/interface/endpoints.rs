//! The endpoint list, this router's quota, and what members report of themselves.

use super::ids::{GroupId, MemberId, Time};
use serde::{Deserialize, Serialize};

/// Status of a member in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum MemberStatus {
    /// Runs.
    #[default]
    Up,
    /// Finishes its work.
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
    /// Its size in relation to the others.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started: Time,
    /// Its status.
    pub status: MemberStatus,
    /// The list names it as the primary.
    pub primary: bool,
}

/// This router's quota of the concurrency limits of a group's members, where it differs from an even one for
/// a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaAdjustment {
    /// Quota borrowed, in even parts; under 0 for quota lent, which is never all of it.
    pub extra: f64,
    /// When the loan ends: after that the quota is the even one.
    pub until: Time,
}

impl QuotaAdjustment {
    /// The smallest quota of any router, in even parts.
    pub const MIN_QUOTA: f64 = 0.5;

    /// The quota at a time, in even parts.
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
    /// It takes writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// A member that is taken for the primary of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPrimary {
    /// The group.
    pub group: GroupId,
    /// The member.
    pub member: MemberId,
    /// When it last gave evidence of it by itself.
    pub evidence_at: Time,
}

/// A load report of a member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Clock time up to which it has applied all commits, as of the report.
    pub position: Option<Time>,
    /// Its role, as of the report.
    pub role: Option<Role>,
    /// Requests waiting there.
    pub waiting: Option<f64>,
    /// Share of its processors in use.
    pub busy: Option<f64>,
}
