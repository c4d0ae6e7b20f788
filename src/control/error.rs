//! Why the control part cannot start, or cannot follow a configuration that was read again.

use crate::facade::SettingsRejected;
use crate::os::socket::SocketError;
use crate::settings::deployment::DeploymentError;
use crate::settings::operator::SessionClassesError;
use crate::SettingsError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the control part cannot start, or cannot follow a configuration that was read again.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A value of the deployment's settings is missing or not known.
    #[error("settings: {0}")]
    Deployment(#[from] DeploymentError),
    /// A figure of the deployment's settings is out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The running gateway cannot take the settings.
    #[error("settings: {0}")]
    SettingsRejected(SettingsRejected),
    /// Sessions cannot be kept for the classes that the operator names.
    #[error(transparent)]
    SessionClasses(#[from] SessionClassesError),
    /// The settings of the sessions are out of range.
    #[error("sessions: {0}")]
    Sessions(#[from] petrelgauge_sessions::SettingsError),
    /// The settings of the shared duties are out of range.
    #[error("ownership: {0}")]
    Ownership(#[from] petrelgauge_ownership::SettingsError),
    /// The operator's record needs other instances, and the configuration does not say where they reach this one.
    #[error("{record}: the configuration names no peer_listen")]
    MissingPeerListen {
        /// The record of the operator's file.
        record: &'static str,
    },
    /// The operator's record needs other instances, and this gateway is not listed among them.
    #[error("{record}: this gateway is none of the peers")]
    NotListedFor {
        /// The record of the operator's file.
        record: &'static str,
    },
    /// This gateway is not listed among the peers.
    #[error("peers: this gateway is none of them")]
    NotListed,
    /// The address for datagrams of other instances cannot be bound.
    #[error("cannot listen to other instances at {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: SocketError,
    },
}
