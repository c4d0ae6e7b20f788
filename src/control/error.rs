//! Why the control plane cannot start, or cannot apply a reloaded configuration.

use crate::facade::SettingsRejected;
use crate::os::socket::SocketError;
use crate::settings::deployment::DeploymentError;
use crate::settings::operator::SessionClassesError;
use crate::SettingsError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the control plane cannot start, or cannot apply a reloaded configuration. The messages are shown to
/// operators.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A value of the deployment's settings is missing or unknown.
    #[error("settings: {0}")]
    Deployment(#[from] DeploymentError),
    /// A value of the deployment's settings is out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The running gateway cannot change to the new settings.
    #[error("settings: {0}")]
    SettingsRejected(SettingsRejected),
    /// The operator's `sessions` record names unusable classes.
    #[error(transparent)]
    SessionClasses(#[from] SessionClassesError),
    /// The session settings are out of range.
    #[error("sessions: {0}")]
    Sessions(#[from] petrelgauge_sessions::SettingsError),
    /// The lease settings are out of range.
    #[error("ownership: {0}")]
    Ownership(#[from] petrelgauge_ownership::SettingsError),
    /// A record of the operator's file needs other gateways, and the configuration has no address to receive
    /// from them.
    #[error("{record}: the configuration names no peer_listen")]
    MissingPeerListen {
        /// Name of the record.
        record: &'static str,
    },
    /// A record of the operator's file needs other gateways, and this one is not among the configured peers.
    #[error("{record}: this gateway is none of the peers")]
    NotListedFor {
        /// Name of the record.
        record: &'static str,
    },
    /// This gateway is not among the configured peers.
    #[error("peers: this gateway is none of them")]
    NotListed,
    /// The socket for datagrams between gateways cannot be opened.
    #[error("cannot listen to other instances at {address}: {source}")]
    Bind {
        /// Address of the socket.
        address: SocketAddr,
        /// The failed system call.
        source: SocketError,
    },
}
