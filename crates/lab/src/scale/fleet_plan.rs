//! The plan of a fleet: its size, who grants leases, which gateways are real and which report no demand.

use super::list_service::MEMBERS_OF_GROUP;
use super::protocol::InjectedFault;
use super::run_parameters::PlannedSize;
use std::collections::BTreeSet;

/// Real gateways beside the hollow ones: the first numbers that are no acceptor.
pub const REAL_GATEWAYS: usize = 4;
/// Hollow gateways without demand, compared with the real ones while these serve nobody: the next numbers.
pub const IDLE_GATEWAYS: usize = 4;
/// Groups of emulated hosts that real gateways serve from.
pub(super) const EMULATED_GROUPS: usize = 4;
/// Members of each of these groups.
pub(super) const EMULATED_MEMBERS: usize = 5;

/// What gateways exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetTraffic {
    /// Leases, primary announcements, quotas.
    Leadership,
    /// Watermarks of sessions.
    Sessions,
}

/// A fleet to be played.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Its size. Real gateways and emulated hosts are included.
    pub size: PlannedSize,
    /// What gateways exchange.
    pub traffic: FleetTraffic,
    /// The record `ownership` of the operator's file, without its secret.
    pub ownership: String,
    /// Numbers of the acceptors.
    pub acceptors: Vec<usize>,
    /// How many of them share the lease holders' work; the others only grant leases.
    pub lease_holders: usize,
    /// Seed of all random generators.
    pub seed: u64,
    /// A fault that is injected.
    pub injected_fault: Option<InjectedFault>,
}

impl FleetPlan {
    /// Groups of the list, those of the emulated hosts included.
    pub fn groups(&self) -> usize {
        self.listed_only_hosts().div_ceil(MEMBERS_OF_GROUP) + EMULATED_GROUPS
    }

    /// Entries of the list that stand for no emulated host.
    pub(super) fn listed_only_hosts(&self) -> usize {
        self.size.hosts.saturating_sub(EMULATED_GROUPS * EMULATED_MEMBERS)
    }

    /// Gateways that are no acceptors, in order.
    pub(super) fn plain(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.size.gateways).filter(|number| !self.acceptors.contains(number))
    }

    /// Real gateways.
    pub(super) fn real(&self) -> Vec<usize> {
        self.plain().take(REAL_GATEWAYS).collect()
    }

    /// Hollow gateways without demand.
    pub fn idle(&self) -> BTreeSet<usize> {
        self.plain().skip(REAL_GATEWAYS).take(IDLE_GATEWAYS).collect()
    }

    /// Hollow gateways with demand.
    pub(super) fn busy(&self) -> Vec<usize> {
        self.plain().skip(REAL_GATEWAYS + IDLE_GATEWAYS).collect()
    }

    /// The numbers of acceptors spread evenly over a fleet, as the gateways choose them.
    pub fn spread(acceptors: usize, gateways: usize) -> Vec<usize> {
        (0..acceptors).map(|place| place * gateways / acceptors).collect()
    }
}
