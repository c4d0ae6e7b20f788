//! The error type of the control plane.

use crate::facade::SettingsRejected;
use crate::os::socket::SocketError;
use crate::settings::deployment::DeploymentError;
use crate::settings::operator::SessionClassesError;
use crate::SettingsError;
use std::net::SocketAddr;
use thiserror::Error;

/// Error from starting the control plane or applying a reloaded configuration. The messages are shown to
/// operators.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A value of the deployment's settings is missing or unknown.
    #[error("settings: {0}")]
    Deployment(#[from] DeploymentError),
    /// A value of the deployment's settings is out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The new settings cannot be applied while the gateway runs.
    #[error("settings: {0}")]
    SettingsRejected(SettingsRejected),
    /// The operator's `sessions` record names invalid classes.
    #[error(transparent)]
    SessionClasses(#[from] SessionClassesError),
    /// The session settings are out of range.
    #[error("sessions: {0}")]
    Sessions(#[from] petrelgauge_sessions::SettingsError),
    /// The lease settings are out of range.
    #[error("ownership: {0}")]
    Ownership(#[from] petrelgauge_ownership::SettingsError),
    /// A record of the operator's file requires datagrams from other gateways, but `peer_listen` is not set.
    #[error("{record}: the configuration does not set peer_listen")]
    MissingPeerListen {
        /// Name of the record.
        record: &'static str,
    },
    /// A record of the operator's file requires other gateways, but this gateway is not listed in `peers`.
    #[error("{record}: this gateway is not listed in peers")]
    NotListedFor {
        /// Name of the record.
        record: &'static str,
    },
    /// This gateway is not listed in `peers`.
    #[error("peers: this gateway is not listed")]
    NotListed,
    /// The socket for datagrams between gateways cannot be opened.
    #[error("cannot bind the datagram socket for other gateways at {address}: {source}")]
    Bind {
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the system call.
        source: SocketError,
    },
}
