//! The laboratory: emulated hosts, register and paths between instances on loopback, real gateways before them,
//! clients, a ledger that checks the rules from what was sent, run and answered, and experiments made of these.
//! It shows what the users' bench cannot: sessions across instances, restarts in waves, clocks that differ.
//!
//! | file | what it emulates or does |
//! | --- | --- |
//! | `group.rs`, `hosts.rs` | a replicated log with its primary and lagging replicas, and the hosts that serve it |
//! | `register.rs`, `relay.rs` | the host register; datagrams that are lost, doubled, late, altered |
//! | `gateways.rs`, `stage.rs` | gateway processes, and all of it together |
//! | `client.rs`, `ledger.rs` | clients, and what each session is owed |
//! | `figures.rs`, `report.rs` | what is measured and how it is told |
//! | `measure.rs` | what the system says of a process |
//! | `scale/` | fleets of hollow gateways |
//! | `cost.rs`, `ownership.rs`, `sessions.rs`, `large.rs`, `demo.rs` | the experiments |
//!
//! An experiment is trusted once it has caught a planted fault: each names its own.

pub mod client;
pub mod cost;
pub mod demo;
pub mod figures;
pub mod gateways;
pub mod group;
pub mod hosts;
pub mod large;
pub mod ledger;
pub mod measure;
pub mod ownership;
pub mod register;
pub mod relay;
pub mod report;
pub mod scale;
pub mod sessions;
pub mod stage;

use report::Verdict;
use std::path::PathBuf;

/// How an experiment is run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of all chance.
    pub seed: u64,
    /// Under a minute.
    pub short: bool,
    /// A fault that must make it fail.
    pub plant: Option<String>,
    /// An earlier build of the gateway, played in the same run.
    pub baseline: Option<PathBuf>,
}

/// An experiment.
pub struct Experiment {
    /// Its name.
    pub name: &'static str,
    /// What it shows, in a line.
    pub shows: &'static str,
    /// Faults that can be planted.
    pub plants: &'static [&'static str],
    /// Runs it.
    pub run: fn(&Options) -> std::io::Result<Verdict>,
}

/// All experiments.
pub const EXPERIMENTS: [Experiment; 6] = [
    Experiment {
        name: "cost",
        shows: "processor time per 10,000 requests, in turns with the build that --baseline names",
        plants: &cost::PLANTS,
        run: cost::run,
    },
    Experiment {
        name: "ownership",
        shows: "seven gateways, one scout: killed, stalled, cut off; no two owners, terms rise, a successor in time",
        plants: &ownership::PLANTS,
        run: ownership::run,
    },
    Experiment {
        name: "scale",
        shows: "fleets of hollow gateways, duties in shards over nine owners: what each role costs at the operators' size",
        plants: &scale::PLANTS,
        run: scale::run_sharded,
    },
    Experiment {
        name: "scale-single-owner",
        shows: "fleets of hollow gateways, one owner of all duties: what each role costs at the operators' size",
        plants: &scale::PLANTS,
        run: scale::run_single_owner,
    },
    Experiment {
        name: "sessions",
        shows:
            "no stale read across gateways, lag, restarts and a take-over; what it costs against baselines",
        plants: &sessions::PLANTS,
        run: sessions::run,
    },
    Experiment {
        name: "sessions-large",
        shows:
            "200 instances and 10 million sessions in simulated time: memory, false floors, messages, speed",
        plants: &large::PLANTS,
        run: large::run,
    },
];
