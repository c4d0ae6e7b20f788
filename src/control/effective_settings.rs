//! Derives the effective routing settings of a gateway from its configuration.

use crate::control::config::Config;
use crate::settings::deployment::DeploymentError;
use crate::{Settings, Time};

/// Time that a request and its rejection spend queued in this process (microseconds). With a larger value,
/// rejected clients would return after their Retry-After with no time left.
const QUEUEING_ALLOWANCE: Time = 3_000;
/// The descriptors are divided by this number to get the maximum number of clients. Each open request
/// belongs to one client.
const CLIENT_DESCRIPTOR_DIVISOR: u32 = 3;

/// Returns the deployment's settings, adjusted to what the wire protocol and the descriptor limit of this
/// gateway support.
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

/// Returns the maximum number of clients for the configured descriptor limit.
pub(super) fn max_clients(config: &Config) -> u32 {
    config.max_descriptors as u32 / CLIENT_DESCRIPTOR_DIVISOR
}
