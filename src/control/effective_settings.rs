//! The routing settings that a configuration puts into effect at a gateway.

use crate::control::config::Config;
use crate::settings::deployment::DeploymentError;
use crate::{Settings, Time};

/// Time that a request and its rejection spend queued in this process (microseconds). A larger value would
/// have rejected clients return after their Retry-After with no time left.
const QUEUEING_ALLOWANCE: Time = 3_000;
/// Clients may use this fraction of the descriptors, as a divisor; each open request belongs to one client.
const CLIENT_DESCRIPTOR_DIVISOR: u32 = 3;

/// The deployment's settings, adjusted to what a gateway with this wire protocol and these descriptors can
/// do.
pub(super) fn effective_settings(config: &Config) -> Result<Settings, DeploymentError> {
    let mut settings = config.deployment.settings()?;
    // The wire protocol has no health checks, and the discovery watch is always open.
    settings.may_probe = false;
    settings.list_on_request = false;
    settings.clock_may_be_wrong = true;
    settings.client_round_trip = QUEUEING_ALLOWANCE;
    settings.max_open_requests = settings.max_open_requests.min(max_clients(config));
    Ok(settings)
}

/// Maximum number of clients that the configuration's descriptors admit.
pub(super) fn max_clients(config: &Config) -> u32 {
    config.max_descriptors as u32 / CLIENT_DESCRIPTOR_DIVISOR
}
