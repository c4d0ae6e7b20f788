//! The settings that a configuration puts in force.

use crate::control::config::Config;
use crate::settings::deployment::DeploymentError;
use crate::{Settings, Time};

/// What a query waits here before it is read, the decisions before they are stepped, and a refusal before its client has
/// it (microseconds): the 99th percentile of one of the three with the processor shared. More is no better: a client that
/// is refused sooner has more time left than its Retry-After says, and comes back with nothing of it left.
const QUEUEING_ALLOWANCE: Time = 3_000;

/// The settings of a configuration, as this gateway keeps them.
pub(super) fn settings(config: &Config) -> Result<Settings, DeploymentError> {
    let mut settings = config.info.settings()?;
    // The protocol has no probes, and the watch of discovery is always open.
    settings.may_probe = false;
    settings.list_on_request = false;
    settings.clock_may_be_wrong = true;
    settings.client_round_trip = QUEUEING_ALLOWANCE;
    // Clients hold at most a third of the descriptors.
    settings.max_open_requests = settings.max_open_requests.min(config.sockets as u32 / 3);
    Ok(settings)
}
