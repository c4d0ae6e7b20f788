//! This gateway's part in the fleet's leadership roles, built from its configuration.

use crate::control::config::Config;
use crate::control::error::ControlError;
use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::fleet::leadership::{FleetLeadership, LeadershipConfig};
use crate::fleet::primary_discovery::PrimaryDiscovery;
use crate::fleet::quota_lending::{Demand, QuotaLending};
use crate::os::clock::Clock;
use crate::resources::counters::Counters;
use petrelgauge_ownership::LeaseManager;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;

/// This gateway's part in the fleet's leadership roles, if the operator has switched them on.
pub(super) fn leadership(
    config: &Config,
    facade: &Facade,
    clock: Clock,
    counters: &Rc<Counters>,
    names: &Rc<HostNames>,
    demand: Demand,
) -> Result<Option<Rc<FleetLeadership>>, ControlError> {
    let Some(set) = &config.operator.ownership else { return Ok(None) };
    if config.peer_listen.is_none() {
        return Err(ControlError::MissingPeerListen { record: "ownership" });
    }
    let me = config.place().ok_or(ControlError::NotListedFor { record: "ownership" })?;
    let settings = set.settings(me, config.peers.len())?;
    let now = clock.now();
    let lease_manager = LeaseManager::new(settings, now, config.seed)?;
    // A restarted process must not accept what was granted to the one before it.
    let number = Pcg64Mcg::seed_from_u64(config.seed ^ now as u64).next_u32();
    let quota_lending = set
        .quota_lending
        .then(|| QuotaLending::new(&lease_manager, set.shards, number, facade.clone(), clock, demand));
    let (facade, counters, names) = (facade.clone(), counters.clone(), names.clone());
    let config =
        LeadershipConfig { primary_discovery: set.primary_discovery, shards: set.shards, secret: set.secret };
    let discovery = PrimaryDiscovery::new(set.shards, facade, clock, counters.clone(), names);
    Ok(Some(FleetLeadership::new(lease_manager, discovery, quota_lending, config, clock, counters)))
}
