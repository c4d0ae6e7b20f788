//! The endpoint list as discovery writes it: complete, or the rows that changed.

use crate::{Entry, MemberId, MemberStatus, Time};
use serde::Deserialize;
use std::net::SocketAddr;

/// The value of `replication` that marks a group's primary.
const PRIMARY: &str = "primary";
/// The weight of a host whose row names none.
const DEFAULT_SIZE: f64 = 1.0;
const MICROSECONDS_PER_MILLISECOND: Time = 1000;

/// One list of a watch, or of a call beside it.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointList {
    pub(super) revision: u64,
    /// It names every host. If not, only those that changed.
    pub(super) complete: bool,
    pub(super) members: Vec<EndpointRow>,
}

/// One host of a list.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct EndpointRow {
    pub(super) id: String,
    /// Where it is reached. A host that was removed needs none.
    pub(super) host_port: Option<SocketAddr>,
    #[serde(default)]
    pub(super) locality: String,
    #[serde(default)]
    pub(super) cell: u64,
    pub(super) phase: Phase,
    #[serde(default = "default_size")]
    pub(super) size: f64,
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
    /// The first host that is to be used and has no address. A list with such a host is not used at all.
    pub(super) fn host_without_address(&self) -> Option<&str> {
        let mut rows = self.members.iter();
        let found = rows.find(|row| row.phase != Phase::Removed && row.host_port.is_none());
        found.map(|row| row.id.as_str())
    }
}

impl EndpointRow {
    /// When the host last started (microseconds of Unix time).
    pub(super) fn started(&self) -> Time {
        self.up_since_ms.saturating_mul(MICROSECONDS_PER_MILLISECOND).max(0)
    }

    /// What the router is notified of the host with the number `member`.
    pub(super) fn entry(&self, member: MemberId) -> Entry {
        Entry {
            member,
            group: self.cell,
            zone: self.locality.clone(),
            weight: self.size,
            started: self.started(),
            status: match self.phase {
                Phase::Up => MemberStatus::Up,
                Phase::Draining => MemberStatus::Draining,
                Phase::Removed => MemberStatus::Removed,
            },
            primary: self.replication.as_deref() == Some(PRIMARY),
        }
    }
}

fn default_size() -> f64 {
    DEFAULT_SIZE
}
