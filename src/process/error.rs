//! Errors that prevent the gateway from starting, end it while it runs, or reject a reload.

use petrelgauge::control::config::ConfigError;
use petrelgauge::control::ControlError;
use petrelgauge::os::inherited::InheritedSocketError;
use petrelgauge::os::signals::SignalError;
use petrelgauge::os::socket::SocketError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;

/// An error that ends the program with exit code 2. The message is shown to operators.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The asynchronous runtime cannot be built.
    #[error("cannot start: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers cannot be registered.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// The configuration cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The clients' listening socket cannot be inherited from the platform.
    #[error(transparent)]
    InheritedSocket(#[from] InheritedSocketError),
    /// The control plane cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The inherited clients' socket cannot be registered with the runtime.
    #[error("cannot listen: {0}")]
    RegisterListener(#[source] io::Error),
    /// The clients' address cannot be bound.
    #[error("cannot listen: {0}")]
    ListenForClients(#[source] SocketError),
    /// The operators' address cannot be bound.
    #[error("ops: cannot listen at {address}: {source}")]
    ListenForOperators {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be bound.
        source: SocketError,
    },
    /// A task that must run for the lifetime of the gateway has ended.
    #[error("a background task ended unexpectedly: {0:?}")]
    TaskEnded(Result<(), JoinError>),
}

/// Why a reloaded configuration is rejected. The message is logged.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The configuration cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The running gateway cannot switch to the configuration.
    #[error(transparent)]
    Control(#[from] ControlError),
}
