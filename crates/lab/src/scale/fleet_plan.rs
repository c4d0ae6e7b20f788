//! The plan of a fleet: its size, its acceptors, and which gateways are real, idle or busy.

use super::list_service::MEMBERS_OF_GROUP;
use super::protocol::InjectedFault;
use super::run_parameters::PlannedSize;
use std::collections::BTreeSet;

/// Number of real gateways: the first ones that are no acceptors.
pub const REAL_GATEWAYS: usize = 4;
/// Number of hollow gateways without demand, the next ones. They are compared with the real ones, which have
/// no clients.
pub const IDLE_GATEWAYS: usize = 4;
/// Number of groups with emulated hosts.
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

/// The plan of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Its size, including real gateways and emulated hosts.
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
    /// The injected fault, if any.
    pub injected_fault: Option<InjectedFault>,
}

impl FleetPlan {
    /// Number of groups on the list, including those of emulated hosts.
    pub fn groups(&self) -> usize {
        self.listed_only_hosts().div_ceil(MEMBERS_OF_GROUP) + EMULATED_GROUPS
    }

    /// Number of entries on the list without an emulated host.
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
        (0..acceptors).map(|index| index * gateways / acceptors).collect()
    }
}
