//! Why a line of the simulator cannot be used.

use petrelgauge::settings::deployment::DeploymentError;
use petrelgauge::SettingsError;
use thiserror::Error;

/// Why a line cannot be answered.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Input(std::io::Error),
    /// The line is not a batch of events.
    #[error("not a batch: {0}")]
    NotABatch(serde_json::Error),
    /// An event of an instance cannot be used.
    #[error("instance {instance}: {cause}")]
    Event {
        /// Number of the instance.
        instance: u64,
        /// What is wrong with the event.
        cause: EventError,
    },
}

/// Why an event cannot be used.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance has no settings yet.
    #[error("event before its Configure")]
    NotConfigured,
    /// The settings of the deployment cannot be used.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// The router does not take the settings.
    #[error("info: {0}")]
    Settings(#[from] SettingsError),
    /// No endpoint list was defined under this number.
    #[error("slot: no Page {0} was defined")]
    UnknownSlot(u64),
    /// The kind of list is not known.
    #[error("mode: unknown value {0:?}")]
    UnknownMode(String),
    /// The settings have no class of this name.
    #[error("service: unknown class {0:?}")]
    UnknownClass(String),
    /// The status of a member is not known.
    #[error("stage_state: unknown value {0:?}")]
    UnknownMemberStatus(String),
    /// The end of an attempt is not known.
    #[error("status: unknown outcome {0:?}")]
    UnknownEnding(String),
}
