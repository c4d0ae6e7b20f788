//! Why the gateway cannot start, or has ended by itself.

use petrelgauge::control::config::ConfigError;
use petrelgauge::control::ControlError;
use petrelgauge::os::inherited::InheritedSocketError;
use petrelgauge::os::signals::SignalError;
use petrelgauge::os::socket::SocketError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::task::JoinError;

/// What ends the program with exit code 2. Its text is the sentence that an operator reads.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The asynchronous runtime cannot be built.
    #[error("cannot start: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers cannot be registered.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// There is no configuration to use.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The clients' socket that the platform holds cannot be taken over.
    #[error(transparent)]
    InheritedSocket(#[from] InheritedSocketError),
    /// The control part cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The clients' socket that was taken over cannot be registered with the runtime.
    #[error("cannot listen: {0}")]
    RegisterListener(#[source] io::Error),
    /// The clients' address cannot be bound.
    #[error("cannot listen: {0}")]
    ListenForClients(#[source] SocketError),
    /// The address for operators cannot be bound.
    #[error("ops: cannot listen at {address}: {source}")]
    ListenForOperators {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: SocketError,
    },
    /// A task that must run for as long as the gateway has ended.
    #[error("a task ended: {0:?}")]
    TaskEnded(Result<(), JoinError>),
}

/// Why a configuration that was read again cannot be used.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// There is no configuration to use.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The running gateway cannot follow it.
    #[error(transparent)]
    Control(#[from] ControlError),
}
