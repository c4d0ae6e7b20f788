//! The routing decisions of one gateway, built from its configuration.

use crate::control::config::Config;
use crate::control::effective_settings::effective_settings;
use crate::control::error::ControlError;
use crate::control::session_tracking::{session_tracking, SessionSetup};
use crate::facade::Facade;
use crate::Time;
use std::net::SocketAddr;

/// The routing decisions of one gateway before its first endpoint list, and the derived settings that other
/// components need.
pub struct RoutingDecisions {
    /// Access to the decisions.
    pub facade: Facade,
    /// Maximum number of concurrently open requests.
    pub max_open_requests: u32,
    /// Maximum time that a read waits for a replica to catch up (microseconds).
    pub read_wait_bound: Time,
    /// Number of gateways that share the hosts.
    pub(super) gateway_count: u32,
    /// Listen address for watermark broadcasts from other gateways, if sessions use them.
    pub(super) broadcast_address: Option<SocketAddr>,
}

impl RoutingDecisions {
    /// Builds the decisions from `config`.
    ///
    /// # Errors
    ///
    /// Fails if the deployment's settings or the operator's `sessions` record are invalid.
    pub fn new(config: &Config, now: Time) -> Result<RoutingDecisions, ControlError> {
        let mut settings = effective_settings(config)?;
        let SessionSetup { tracking, broadcast_address } = session_tracking(config, &settings.classes, now)?;
        let read_wait_bound =
            tracking.as_ref().map_or(0, |tracking| tracking.tracker.settings().max_read_wait);
        settings.read_wait_bound = read_wait_bound;
        let max_open_requests = settings.max_open_requests;
        let gateway_count = settings.routers;
        let facade = Facade::with_sessions(settings, config.seed, tracking)?;
        Ok(RoutingDecisions { facade, max_open_requests, read_wait_bound, gateway_count, broadcast_address })
    }
}
