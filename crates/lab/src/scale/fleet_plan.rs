//! The plan of a fleet: its sizes, who grants leases, which gateways are real and which report no demand.

use super::list_service::MEMBERS;
use super::protocol::InjectedFault;
use std::collections::BTreeSet;

/// Real gateways beside the hollow ones: the first places that have no acceptor.
pub const REAL: usize = 4;
/// Hollow gateways that report no demand, compared with the real ones while these serve nobody: the next places.
pub const QUIET: usize = 4;
/// Groups and members of the real hosts that real gateways serve from.
pub(super) const EMULATED_GROUPS_AND_MEMBERS: (usize, usize) = (4, 5);

/// What gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetTraffic {
    /// Duties: leases, primaries' words, the share-out.
    Leadership,
    /// Marks of sessions.
    Sessions,
}

/// A fleet to be played.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Gateways, real ones included.
    pub gateways: usize,
    /// Entries of the list.
    pub hosts: usize,
    /// Changes of the list.
    pub changes_per_minute: f64,
    /// What they tell each other.
    pub traffic: FleetTraffic,
    /// The record `ownership` beside its secret.
    pub ownership: String,
    /// Places of the acceptors.
    pub acceptors: Vec<usize>,
    /// How many of them share the owners' work; the others only grant leases.
    pub owners: usize,
    /// Seed of all chance.
    pub seed: u64,
    /// A fault that is injected.
    pub injected_fault: Option<InjectedFault>,
}

impl FleetPlan {
    /// Groups of the list, those of the real hosts included.
    pub fn groups(&self) -> usize {
        self.phantoms().div_ceil(MEMBERS) + EMULATED_GROUPS_AND_MEMBERS.0
    }

    pub(super) fn phantoms(&self) -> usize {
        self.hosts.saturating_sub(EMULATED_GROUPS_AND_MEMBERS.0 * EMULATED_GROUPS_AND_MEMBERS.1)
    }

    /// Gateways that grant no leases, in order.
    pub(super) fn plain(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.gateways).filter(|number| !self.acceptors.contains(number))
    }

    pub(super) fn real(&self) -> Vec<usize> {
        self.plain().take(REAL).collect()
    }

    /// Hollow gateways without demand.
    pub fn quiet(&self) -> BTreeSet<usize> {
        self.plain().skip(REAL).take(QUIET).collect()
    }

    /// The places of so many acceptors among so many gateways, as the operator's file has them.
    pub fn spread(acceptors: usize, gateways: usize) -> Vec<usize> {
        (0..acceptors).map(|place| place * gateways / acceptors).collect()
    }
}
