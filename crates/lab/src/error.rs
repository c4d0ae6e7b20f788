//! Errors of the laboratory.

use crate::scale::capacity::CapacityError;
use petrelgauge::control::config::ConfigError;
use petrelgauge::control::ControlError;
use std::time::Duration;
use thiserror::Error;

/// Why an experiment or another command could not be run. Failed checks of an experiment are not errors; its
/// verdict reports them.
#[derive(Debug, Error)]
pub enum LabError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A message between processes of the laboratory, or one of their files, is not valid JSON of the
    /// expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The capacity page cannot be checked or written.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// A gateway's configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A gateway's control plane cannot be built, or rejects a configuration.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// No experiment has this name.
    #[error("there is no experiment {0:?}")]
    UnknownExperiment(String),
    /// The experiment has no such injected fault.
    #[error("{experiment} has no fault {fault:?}, but {known}")]
    UnknownFault {
        /// The experiment.
        experiment: String,
        /// The requested fault.
        fault: String,
        /// The faults of the experiment.
        known: String,
    },
    /// The gateway's program is not in the folder of the laboratory's.
    #[error("the gateway is not built: cargo build --release --workspace")]
    GatewayNotBuilt,
    /// A gateway does not accept clients in time.
    #[error("a gateway does not come up: {log}")]
    GatewayNotReady {
        /// What the first gateway logged.
        log: String,
    },
    /// A gateway is not running.
    #[error("gateway {0} is not running")]
    GatewayDown(usize),
    /// A gateway did not log its counters on request.
    #[error("gateway {0} does not log its counters")]
    CountersMissing(usize),
    /// A hollow process did not connect in time.
    #[error("a hollow process does not start")]
    HollowProcessNotStarted,
    /// A process that does not belong to this fleet has connected.
    #[error("a stranger among the hollow processes")]
    UnknownHollowProcess,
    /// A hollow process ended unexpectedly.
    #[error("a hollow process ended")]
    HollowProcessEnded,
    /// Not every gateway reached a state in time.
    #[error("not all gateways hold {state} within {limit:?}")]
    StateNotReached {
        /// The state.
        state: String,
        /// The time limit.
        limit: Duration,
    },
    /// A file in `/proc` lacks a figure.
    #[error("{path} has no {name}")]
    FigureMissing {
        /// The file.
        path: String,
        /// The figure.
        name: String,
    },
    /// A plot cannot be drawn.
    #[error("cannot plot {plot}: {cause}")]
    Plot {
        /// The plot.
        plot: String,
        /// The error of the drawing library.
        cause: String,
    },
}
