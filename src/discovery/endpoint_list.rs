//! The JSON representation of an endpoint list: the complete list, or only the rows that changed.

use crate::{Entry, MemberId, MemberStatus, Time, Update};
use serde::Deserialize;
use std::net::SocketAddr;

/// Value of `replication` for the primary of a group.
const PRIMARY: &str = "primary";
/// Weight of a host whose row sets none.
const DEFAULT_WEIGHT: f64 = 1.0;
const MICROSECONDS_PER_MILLISECOND: Time = 1000;

/// An endpoint list. The field names are the JSON keys.
// `expecting` is part of the error message for a value of the wrong type, which operators see.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct List")]
pub struct EndpointList {
    pub(super) revision: u64,
    /// Whether the list has a row for every host, or only for those that changed.
    pub(super) complete: bool,
    pub(super) members: Vec<EndpointRow>,
}

/// One host of a list.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Row")]
pub(super) struct EndpointRow {
    /// Name of the host; the same at every gateway and across restarts.
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
    /// Start time of the host (Unix time, milliseconds).
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
    /// Whether the rows are the complete list or a partial update.
    pub(super) fn update(&self) -> Update {
        if self.complete {
            Update::Complete
        } else {
            Update::Partial
        }
    }

    /// Returns the first host that is not removed and has no address. A list with such a host is rejected.
    pub(super) fn host_without_address(&self) -> Option<&str> {
        let mut rows = self.members.iter();
        let found = rows.find(|row| row.phase != Phase::Removed && row.host_port.is_none());
        found.map(|row| row.id.as_str())
    }
}

impl EndpointRow {
    /// Start time of the host (Unix time, microseconds).
    pub(super) fn started_at(&self) -> Time {
        self.up_since_ms.saturating_mul(MICROSECONDS_PER_MILLISECOND).max(0)
    }

    /// Converts the row to an entry of the routing decisions, where the host has the ID `member`.
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
