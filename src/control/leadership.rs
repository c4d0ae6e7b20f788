//! Builds this gateway's participation in the fleet's leadership roles from its configuration.

use crate::control::config::Config;
use crate::control::dependencies::Dependencies;
use crate::control::error::ControlError;
use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::fleet::leadership::{FleetLeadership, LeadershipConfig, LeadershipOptions};
use crate::fleet::primary_discovery::{PrimaryDiscovery, PrimaryDiscoveryOptions};
use crate::fleet::quota_lending::{QuotaLending, QuotaLendingOptions};
use crate::Time;
use petrelgauge_ownership::LeaseManager;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;

/// Builds the leadership roles that the operator's `ownership` record enables; `None` without that record.
pub(super) fn fleet_leadership(
    config: &Config,
    dependencies: &Dependencies,
    facade: &Facade,
    host_names: &Rc<HostNames>,
) -> Result<Option<Rc<FleetLeadership>>, ControlError> {
    let Some(record) = &config.operator.ownership else { return Ok(None) };
    if config.peer_listen.is_none() {
        return Err(ControlError::MissingPeerListen { record: "ownership" });
    }
    let self_id = config.peer_index().ok_or(ControlError::NotListedFor { record: "ownership" })?;
    let settings = record.settings(self_id, config.peers.len())?;
    let Dependencies { clock, counters, .. } = dependencies;
    let now = clock.now();
    let lease_manager = LeaseManager::new(settings.clone(), now, config.seed)?;
    let quota_lending = record.quota_lending.then(|| {
        QuotaLending::new(QuotaLendingOptions {
            settings,
            shards: record.shards,
            first_report_number: first_report_number(config.seed, now),
            facade: facade.clone(),
            clock: *clock,
            demand: dependencies.demand.clone(),
        })
    });
    Ok(Some(FleetLeadership::new(LeadershipOptions {
        config: LeadershipConfig {
            primary_discovery: record.primary_discovery,
            shards: record.shards,
            secret: record.secret,
        },
        lease_manager,
        primary_discovery: primary_discovery(record.shards, dependencies, facade, host_names),
        quota_lending,
        clock: *clock,
        counters: counters.clone(),
    })))
}

fn primary_discovery(
    shards: u16,
    dependencies: &Dependencies,
    facade: &Facade,
    host_names: &Rc<HostNames>,
) -> PrimaryDiscovery {
    PrimaryDiscovery::new(PrimaryDiscoveryOptions {
        shards,
        facade: facade.clone(),
        clock: dependencies.clock,
        counters: dependencies.counters.clone(),
        host_names: host_names.clone(),
    })
}

/// Random for each start, because a restarted process must not accept quota granted to the previous process.
fn first_report_number(seed: u64, now: Time) -> u32 {
    Pcg64Mcg::seed_from_u64(seed ^ now as u64).next_u32()
}
