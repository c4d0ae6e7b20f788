//! The size of a fleet, and the columns of a regression over it.

use serde::{Deserialize, Serialize};

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Number of gateways.
    pub gateways: f64,
    /// Entries of the endpoint list.
    pub hosts: f64,
    /// Groups of the endpoint list.
    pub groups: f64,
    /// Changes of the endpoint list per second.
    pub changes: f64,
}

/// The operators' size: 1,500 gateways, 2,900 databases in groups of six. Changes are those of a day: 380
/// restarts and 6 failures, each published as three changes of the list, and 2 changes of primaries.
pub const OPERATORS_SIZE: FleetSize =
    FleetSize { gateways: 1_500.0, hosts: 2_900.0, groups: 484.0, changes: (386.0 * 3.0 + 2.0) / 86_400.0 };

/// A quantity that a metric can depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Nothing: a constant.
    One,
    /// Gateways.
    Gateways,
    /// Groups that have shared quotas.
    Groups,
    /// Entries of the list.
    Hosts,
    /// Changes of the list per second.
    Changes,
    /// Gateways times groups.
    GatewaysGroups,
    /// Gateways squared times groups.
    GatewaysSquaredGroups,
    /// Gateways times changes.
    GatewaysChanges,
    /// Changes times entries.
    ChangesHosts,
}

impl Column {
    /// Its value at a size, with at most `quota_groups` groups that have shared quotas.
    pub fn at(self, size: &FleetSize, quota_groups: f64) -> f64 {
        let groups = size.groups.min(quota_groups);
        match self {
            Column::One => 1.0,
            Column::Gateways => size.gateways,
            Column::Groups => groups,
            Column::Hosts => size.hosts,
            Column::Changes => size.changes,
            Column::GatewaysGroups => size.gateways * groups,
            Column::GatewaysSquaredGroups => size.gateways * size.gateways * groups,
            Column::GatewaysChanges => size.gateways * size.changes,
            Column::ChangesHosts => size.changes * size.hosts,
        }
    }

    /// Its name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Column::One => "constant",
            Column::Gateways => "gateway",
            Column::Groups => "group",
            Column::Hosts => "host",
            Column::Changes => "change/s",
            Column::GatewaysGroups => "gateway x group",
            Column::GatewaysSquaredGroups => "gateway² x group",
            Column::GatewaysChanges => "gateway x change/s",
            Column::ChangesHosts => "change/s x host",
        }
    }

    /// Whether it grows with the square of the fleet.
    pub fn is_quadratic(self) -> bool {
        self == Column::GatewaysSquaredGroups
    }
}
