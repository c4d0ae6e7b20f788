//! The protocol between the experiment and its hollow processes: one JSON object per line, over TCP on
//! loopback.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The plan of a hollow process, which reads it from a file at its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// Where the experiment listens.
    pub experiment: SocketAddr,
    /// Where the gateways' configurations are.
    pub folder: PathBuf,
    /// The gateways of this process.
    pub gateways: Vec<usize>,
    /// Gateways that report no demand and learn of no primary.
    pub idle: BTreeSet<usize>,
    /// Gateways of the whole fleet.
    pub fleet: usize,
    /// Seed of the demand.
    pub seed: u64,
    /// A fault that is injected.
    pub injected_fault: Option<InjectedFault>,
}

/// Faults that a scale run must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InjectedFault {
    /// A datagram for one gateway goes to all.
    Flood,
    /// A table keeps what it should forget.
    Hoard,
}

/// A command of the experiment to a hollow process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Report all statistics.
    Stats,
    /// Cut the regions off from each other.
    CutRegions,
    /// Join the regions again.
    JoinRegions,
    /// Stop these gateways.
    Stop(BTreeSet<usize>),
    /// Start or restart these gateways.
    Start(BTreeSet<usize>),
    /// Let all gateways read their configuration again.
    Reload,
}

/// The answer of a hollow process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Processor time of the process so far (nanoseconds).
    pub cpu_ns: u64,
    /// Resident memory (kB).
    pub rss_kb: u64,
    /// Resident memory before the first gateway was built (kB).
    pub base_kb: u64,
    /// Its gateways.
    pub gateways: Vec<GatewayStats>,
}

/// Statistics of one gateway since its start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct GatewayStats {
    /// Its number.
    pub number: usize,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of these datagrams.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Bytes of these datagrams.
    pub bytes_received: u64,
    /// Bytes received from the list service.
    pub list_bytes: u64,
    /// Revision of the endpoint list that it holds.
    pub list_revision: u64,
    /// Version of the settings that it holds.
    pub settings_version: u64,
    /// Entries of state that grow with the fleet.
    pub entries: u64,
    /// Leases that it holds.
    pub held_leases: u64,
    /// Leadership roles whose lease holder it knows.
    pub known_lease_holders: u64,
}
