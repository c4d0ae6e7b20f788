//! The decisions of one gateway, built from its configuration.

use crate::control::config::Config;
use crate::control::effective_settings::settings;
use crate::control::error::ControlError;
use crate::control::session_tracking::sessions;
use crate::facade::Facade;
use crate::Time;
use std::net::SocketAddr;

/// The decisions of one gateway, before the first list.
pub struct Decisions {
    /// The decisions.
    pub facade: Facade,
    /// Requests that clients can hold open.
    pub max_open_requests: u32,
    /// Longest that a read is held for a replica (microseconds).
    pub read_wait_bound: Time,
    pub(super) gateways: u32,
    /// Where the watermark broadcasts of other gateways are received.
    pub(super) exchange: Option<SocketAddr>,
}

impl Decisions {
    /// Those of this configuration.
    ///
    /// # Errors
    ///
    /// Fails if the settings, or what the operator has set of sessions, cannot be used.
    pub fn new(config: &Config, now: Time) -> Result<Decisions, ControlError> {
        let mut settings = settings(config)?;
        let (sessions, exchange) = sessions(config, &settings.classes, now)?;
        let read_wait_bound =
            sessions.as_ref().map_or(0, |sessions| sessions.tracker.settings().max_read_wait);
        settings.read_wait_bound = read_wait_bound;
        let (max_open_requests, gateways) = (settings.max_open_requests, settings.routers);
        let facade = Facade::with_sessions(settings, config.seed, sessions)?;
        Ok(Decisions { facade, max_open_requests, read_wait_bound, gateways, exchange })
    }
}
