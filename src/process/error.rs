//! Why the gateway cannot start, why it has ended by itself, and why a reload fails.

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
    /// The clients' socket that the platform holds cannot be inherited.
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
        /// The failed system call.
        source: SocketError,
    },
    /// A task that must run as long as the gateway has ended.
    #[error("a task ended: {0:?}")]
    TaskEnded(Result<(), JoinError>),
}

/// Why a reloaded configuration is rejected. The message is logged.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// It cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The running gateway cannot change to it.
    #[error(transparent)]
    Control(#[from] ControlError),
}
