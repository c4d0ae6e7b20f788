//! Errors in the simulator's input.

use petrelgauge::settings::deployment::DeploymentError;
use petrelgauge::SettingsError;
use thiserror::Error;

/// Why a line of input was not answered.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Input(std::io::Error),
    /// The line is not a valid batch of events.
    #[error("not a batch: {0}")]
    InvalidBatch(serde_json::Error),
    /// An event of an instance is invalid.
    #[error("instance {instance}: {cause}")]
    Event {
        /// Number of the instance.
        instance: u64,
        /// What is wrong with the event.
        cause: EventError,
    },
}

/// Why an event is invalid.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance has not been configured.
    #[error("event before its Configure")]
    NotConfigured,
    /// The settings of the deployment are invalid.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// The router rejects the settings.
    #[error("info: {0}")]
    Settings(#[from] SettingsError),
    /// No endpoint list is defined in this slot.
    #[error("slot: no Page defines {0}")]
    UnknownSlot(u64),
    /// The kind of list delivery is unknown.
    #[error("mode: unknown value {0:?}")]
    UnknownMode(String),
    /// The settings define no class with this name.
    #[error("service: unknown class {0:?}")]
    UnknownClass(String),
    /// The status of a member is unknown.
    #[error("stage_state: unknown value {0:?}")]
    UnknownMemberStatus(String),
    /// The outcome of an attempt or health check is unknown.
    #[error("status: unknown outcome {0:?}")]
    UnknownEnding(String),
}
