//! Why the laboratory cannot run something.

use crate::scale::capacity::CapacityError;
use petrelgauge::control::config::ConfigError;
use petrelgauge::control::ControlError;
use std::time::Duration;
use thiserror::Error;

/// Why an experiment or another command cannot be run. An experiment whose checks fail is no error: its verdict says so.
#[derive(Debug, Error)]
pub enum LabError {
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A message between processes of the laboratory, or a file of theirs, is not the JSON that it should be.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The capacity page cannot be checked or written.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// A gateway's configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A gateway's control part cannot be built, or does not accept a new configuration.
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
        /// The fault that was asked for.
        fault: String,
        /// The faults that it has.
        known: String,
    },
    /// The gateway's program is not beside the laboratory's.
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
    /// A gateway did not log its counters when it was asked to.
    #[error("gateway {0} does not log its counters")]
    CountersMissing(usize),
    /// A hollow process did not connect in time.
    #[error("a hollow process does not start")]
    HollowProcessNotStarted,
    /// Something that is no hollow process of this fleet connected.
    #[error("a stranger among the hollow processes")]
    UnknownHollowProcess,
    /// A hollow process ended before it was asked to.
    #[error("a hollow process ended")]
    HollowProcessEnded,
    /// Not every gateway reached a state in time.
    #[error("not all gateways hold {state} within {limit:?}")]
    StateNotReached {
        /// What they should hold.
        state: String,
        /// The time that they had.
        limit: Duration,
    },
    /// A file under `/proc` lacks a figure.
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
        /// What the drawing library says.
        cause: String,
    },
}
