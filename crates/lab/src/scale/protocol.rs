//! What the experiment and its hollow processes say to each other: one JSON object a line, over TCP on loopback.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a hollow process is told at its start, in a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// Where the experiment listens.
    pub experiment: SocketAddr,
    /// Where the gateways' configurations are.
    pub folder: PathBuf,
    /// The gateways of this process.
    pub gateways: Vec<usize>,
    /// Those that report no demand and hear of no primary.
    pub quiet: BTreeSet<usize>,
    /// Gateways in all.
    pub fleet: usize,
    /// Seed of the demand.
    pub seed: u64,
    /// A fault that is injected.
    pub injected_fault: Option<InjectedFault>,
}

/// Faults that a scale run must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InjectedFault {
    /// A message for one gateway goes to all.
    Flood,
    /// A table keeps what it should forget.
    Hoard,
}

/// What the experiment wants of a hollow process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Tell all figures.
    Stats,
    /// Nothing passes between the regions any more, or again.
    Cut(bool),
    /// These gateways stand still: their tasks end.
    Stop(BTreeSet<usize>),
    /// These gateways start anew.
    Start(BTreeSet<usize>),
    /// All read their settings again.
    Reload,
}

/// What a hollow process answers.
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

/// Figures of one gateway since its start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct GatewayStats {
    /// Its number.
    pub number: usize,
    /// It runs.
    pub up: bool,
    /// Datagrams sent.
    pub told: u64,
    /// Bytes of them.
    pub told_bytes: u64,
    /// Datagrams received.
    pub heard: u64,
    /// Bytes of them.
    pub heard_bytes: u64,
    /// Bytes of discovery's watch.
    pub list_bytes: u64,
    /// Revision of the list that it holds.
    pub revision: u64,
    /// Version of the settings that it holds.
    pub version: u64,
    /// Entries of state that grow with the fleet.
    pub entries: u64,
    /// Duties that it owns.
    pub owned: u64,
    /// Duties whose owner it knows.
    pub known_lease_holders: u64,
}
