//! Experiment `scale`: fleets of hollow and a few real gateways of growing size. Measures the costs of each
//! role, projects them to the operators' size, and measures the costs of faults of the whole fleet.
//!
//! | file | contents |
//! | --- | --- |
//! | `addresses.rs` | addresses, zones and regions of gateways |
//! | `list_service.rs` | the emulated list service of a fleet |
//! | `protocol.rs` | the protocol between the experiment and its hollow processes |
//! | `hollow.rs`, `hollow_gateway.rs` | a process of hollow gateways, and a hollow gateway |
//! | `run_parameters.rs`, `fleet_plan.rs` | the sizes and durations of a run, and the plan of a fleet |
//! | `fleet.rs`, `processes.rs`, `configuration_files.rs` | a running fleet, its processes, and their files |
//! | `scale_run.rs`, `faults.rs` | a run, and the faults of a whole fleet |
//! | `role_costs.rs` | costs by role |
//! | `fleet_size.rs`, `metrics.rs`, `fit.rs` | what metrics depend on, their budgets and their fits |
//! | `projection.rs`, `assessment.rs` | projections and predictions, checks and figures |
//! | `capacity.rs` | the tables of `docs/CAPACITY.md` from the committed JSON |

pub mod addresses;
mod assessment;
pub mod capacity;
mod configuration_files;
pub mod faults;
pub mod fit;
pub mod fleet;
mod fleet_plan;
pub mod fleet_size;
pub mod hollow;
mod hollow_gateway;
pub mod list_service;
pub mod metrics;
mod processes;
pub mod projection;
pub mod protocol;
pub mod role_costs;
pub mod run_parameters;
mod scale_run;

use crate::error::LabError;
use crate::report::Verdict;
use crate::Options;
use petrelgauge_test_support::block_on;
use run_parameters::{Mode, SHARDED, SINGLE_OWNER};
use scale_run::ScaleRun;

/// Faults that can be injected and must make the experiment fail: a datagram for one gateway is sent to all;
/// a table that keeps what it should forget.
pub const INJECTED_FAULTS: [&str; 2] = ["flood", "hoard"];
/// Version of the figures' JSON.
pub const FIGURES_VERSION: u64 = 1;

/// Runs the experiment with one lease holder of all leadership roles.
///
/// # Errors
///
/// Fails if a fleet cannot be started or does not recover from a fault.
pub fn run_single_owner(options: &Options) -> Result<Verdict, LabError> {
    run(&SINGLE_OWNER, options)
}

/// Runs the experiment with leadership roles in shards.
///
/// # Errors
///
/// Fails if a fleet cannot be started or does not recover from a fault.
pub fn run_sharded(options: &Options) -> Result<Verdict, LabError> {
    run(&SHARDED, options)
}

fn run(mode: &Mode, options: &Options) -> Result<Verdict, LabError> {
    block_on(ScaleRun::new(mode, options).play())
}
