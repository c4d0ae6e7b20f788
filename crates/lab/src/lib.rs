//! The laboratory: experiments with real gateway processes in front of emulated database hosts, on loopback,
//! with a list service, lossy datagram paths and clients. A ledger checks consistency from what was sent,
//! executed and answered.
//!
//! | file | what it emulates or does |
//! | --- | --- |
//! | `replicated_group.rs`, `emulated_hosts.rs` | a replicated log with its primary and lagging replicas, and the hosts that serve it |
//! | `list_service.rs` | the list service that gateways discover hosts from |
//! | `datagram_relay.rs` | datagrams between gateways: lost, duplicated, delayed, altered, cut |
//! | `gateways.rs`, `test_cluster.rs` | gateway processes, and a cluster of all of the above |
//! | `client.rs`, `statements.rs`, `ledger.rs` | clients, their statements, and what each session's reads must show |
//! | `phase_statistics.rs`, `report.rs` | statistics of reads, and the report of an experiment |
//! | `measure.rs` | processor time and memory of processes |
//! | `scale/` | fleets of hollow gateways |
//! | `cost.rs`, `ownership/`, `sessions/`, `sessions_large/` | the other experiments |
//! | `demo.rs` | a cluster for manual use, and a demonstration |
//!
//! Each experiment names faults that can be injected and that it must detect.

pub mod client;
pub mod cost;
pub mod datagram_relay;
pub mod demo;
pub mod emulated_hosts;
pub mod error;
pub mod gateways;
pub mod ledger;
pub mod list_service;
pub mod measure;
pub mod ownership;
pub mod phase_statistics;
pub mod replicated_group;
pub mod report;
pub mod scale;
pub mod sessions;
pub mod sessions_large;
pub mod statements;
pub mod test_cluster;

use error::LabError;
use report::Verdict;
use std::path::PathBuf;

/// Options of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of all random generators.
    pub seed: u64,
    /// Whether to stay under a minute.
    pub short: bool,
    /// A fault to inject, which must make the experiment fail.
    pub injected_fault: Option<String>,
    /// An earlier build of the gateway to compare with in the same run.
    pub baseline: Option<PathBuf>,
}

/// An experiment.
pub struct Experiment {
    /// Its name.
    pub name: &'static str,
    /// What it shows, in one line.
    pub summary: &'static str,
    /// Faults that can be injected (`--plant`).
    pub injected_faults: &'static [&'static str],
    /// Runs it.
    pub run: fn(&Options) -> Result<Verdict, LabError>,
}

/// All experiments.
pub static EXPERIMENTS: [Experiment; 6] = [
    Experiment {
        name: "cost",
        summary: "processor time per 10,000 requests, in turns with the build that --baseline names",
        injected_faults: &cost::INJECTED_FAULTS,
        run: cost::run,
    },
    Experiment {
        name: "ownership",
        summary:
            "seven gateways, a leader killed, stalled, cut off; one holder, rising terms, takeover in time",
        injected_faults: &ownership::INJECTED_FAULTS,
        run: ownership::run,
    },
    Experiment {
        name: "scale",
        summary: "fleets of hollow gateways, roles in shards: what each role costs at the operators' size",
        injected_faults: &scale::INJECTED_FAULTS,
        run: scale::run_sharded,
    },
    Experiment {
        name: "scale-single-owner",
        summary: "fleets of hollow gateways, one lease holder: what each role costs at the operators' size",
        injected_faults: &scale::INJECTED_FAULTS,
        run: scale::run_single_owner,
    },
    Experiment {
        name: "sessions",
        summary: "no stale read across gateways, lag, restarts and a failover; its cost against baselines",
        injected_faults: &sessions::INJECTED_FAULTS,
        run: sessions::run,
    },
    Experiment {
        name: "sessions-large",
        summary:
            "200 instances and 10 million sessions in simulated time: memory, overestimates, messages, speed",
        injected_faults: &sessions_large::INJECTED_FAULTS,
        run: sessions_large::run,
    },
];
