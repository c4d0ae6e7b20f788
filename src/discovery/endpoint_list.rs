//! The JSON form of an endpoint list: complete, or only the rows that changed.

use crate::{Entry, MemberId, MemberStatus, Time, Update};
use serde::Deserialize;
use std::net::SocketAddr;

/// Value of `replication` that marks a group's primary.
const PRIMARY: &str = "primary";
/// Weight of a host whose row has none.
const DEFAULT_WEIGHT: f64 = 1.0;
const MICROSECONDS_PER_MILLISECOND: Time = 1000;

/// An endpoint list. The names of its fields are those of its JSON form.
// Operators see `expecting` in the message about a list of another type.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct List")]
pub struct EndpointList {
    pub(super) revision: u64,
    /// Whether it has a row for every host, not only for those that changed.
    pub(super) complete: bool,
    pub(super) members: Vec<EndpointRow>,
}

/// One host of a list.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Row")]
pub(super) struct EndpointRow {
    /// Name of the host, the same at every gateway and across restarts.
    pub(super) id: String,
    /// Address of the host. Optional for a removed host.
    pub(super) host_port: Option<SocketAddr>,
    /// Zone of the host.
    #[serde(default)]
    pub(super) locality: String,
    /// Group of the host.
    #[serde(default)]
    pub(super) cell: u64,
    pub(super) phase: Phase,
    /// Weight of the host.
    #[serde(default = "default_weight")]
    pub(super) size: f64,
    /// When the host started (milliseconds of Unix time).
    #[serde(default)]
    pub(super) up_since_ms: Time,
    #[serde(default)]
    pub(super) replication: Option<String>,
}

/// The state of a host.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Phase {
    Up,
    Draining,
    Removed,
}

impl EndpointList {
    /// What its rows stand for.
    pub(super) fn update(&self) -> Update {
        if self.complete {
            Update::Complete
        } else {
            Update::Partial
        }
    }

    /// The first host that is in service and has no address. A list with such a host is rejected.
    pub(super) fn host_without_address(&self) -> Option<&str> {
        let mut rows = self.members.iter();
        let found = rows.find(|row| row.phase != Phase::Removed && row.host_port.is_none());
        found.map(|row| row.id.as_str())
    }
}

impl EndpointRow {
    /// When the host started (microseconds of Unix time).
    pub(super) fn started_at(&self) -> Time {
        self.up_since_ms.saturating_mul(MICROSECONDS_PER_MILLISECOND).max(0)
    }

    /// The row in the form of the routing decisions, which know the host as `member`.
    pub(super) fn to_entry(&self, member: MemberId) -> Entry {
        Entry {
            member,
            group: self.cell,
            zone: self.locality.clone(),
            weight: self.size,
            started: self.started_at(),
            status: match self.phase {
                Phase::Up => MemberStatus::Up,
                Phase::Draining => MemberStatus::Draining,
                Phase::Removed => MemberStatus::Removed,
            },
            primary: self.replication.as_deref() == Some(PRIMARY),
        }
    }
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}
