//! Figures of roles: what each depends on, its budget at the operators' size, its slopes, and what they predict.

use super::fit::Fit;
use super::role_costs::{Cost, Costs};
use serde::{Deserialize, Serialize};

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Gateways.
    pub gateways: f64,
    /// Entries of the list.
    pub hosts: f64,
    /// Groups of the list.
    pub groups: f64,
    /// Changes of the list in a second.
    pub changes: f64,
}

/// The operators' size: 1,500 gateways before 2,900 databases, groups of six; changes as they state them in a day (380
/// restarts and 6 failures, each told in three changes of the list, and 2 changes of primary).
pub const OPERATORS: Size =
    Size { gateways: 1_500.0, hosts: 2_900.0, groups: 484.0, changes: (386.0 * 3.0 + 2.0) / 86_400.0 };

/// Something that a figure can depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Column {
    /// Nothing: a constant.
    One,
    /// Gateways.
    Gateways,
    /// Groups, as far as limits of them are shared out.
    Groups,
    /// Entries of the list.
    Hosts,
    /// Changes of the list in a second.
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
    /// Its value at a size, where limits of `shared` groups at most are shared out.
    pub fn at(self, size: &Size, shared: f64) -> f64 {
        let groups = size.groups.min(shared);
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

    /// In words.
    pub fn word(self) -> &'static str {
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

    /// It grows with the square of the fleet.
    pub fn is_quadratic(self) -> bool {
        self == Column::GatewaysSquaredGroups
    }
}

/// One figure of one role.
pub struct Metric {
    /// The role.
    pub role: &'static str,
    /// What it is.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What it depends on.
    pub columns: &'static [Column],
    /// Where it stands among what was measured.
    pub of: fn(&Costs) -> f64,
    /// What the operators leave it, where they do.
    pub budget: Option<f64>,
    /// Differences under this are the machine's, not the fleet's.
    pub floor: f64,
}

/// Bytes a second for control (the operators' letter: 20 KB).
const BYTES: f64 = 20_000.0;
/// Microseconds of processor time a second (1.2% of a core).
const CPU: f64 = 12_000.0;
/// Kilobytes of memory (32 MB).
const MEMORY: f64 = 32_000.0;
/// A whole list at 20 KB a second within the 10 s that a start may take.
const WHOLE_LIST: f64 = BYTES * 10.0;

fn control_bytes(cost: &Cost) -> f64 {
    cost.bytes_in + cost.bytes_out + cost.list_bytes
}

use Column::{
    Changes, ChangesHosts, Gateways, GatewaysChanges, GatewaysGroups, GatewaysSquaredGroups, Groups, Hosts,
    One,
};

/// Figures of a fleet with duties.
pub const LEADERSHIP_METRICS: [Metric; 13] = [
    Metric {
        role: "gateway",
        name: "bytes, in and out",
        unit: "B/s",
        columns: &[One, Groups, Changes],
        of: |costs| control_bytes(&costs.gateway),
        budget: Some(BYTES),
        floor: 300.0,
    },
    Metric {
        role: "gateway",
        name: "datagrams in",
        unit: "1/s",
        columns: &[One, Groups],
        of: |costs| costs.gateway.datagrams_in,
        budget: None,
        floor: 3.0,
    },
    Metric {
        role: "gateway",
        name: "datagrams out",
        unit: "1/s",
        columns: &[One, Groups],
        of: |costs| costs.gateway.datagrams_out,
        budget: None,
        floor: 3.0,
    },
    Metric {
        role: "gateway",
        name: "processor time",
        unit: "us/s",
        columns: &[One, Groups, ChangesHosts],
        of: |costs| costs.real.cpu_us,
        budget: Some(CPU),
        floor: 1_500.0,
    },
    Metric {
        role: "gateway",
        name: "memory",
        unit: "kB",
        columns: &[One, Hosts],
        of: |costs| costs.real.rss_kb,
        budget: Some(MEMORY),
        floor: 500.0,
    },
    Metric {
        role: "gateway",
        name: "entries of state",
        unit: "",
        columns: &[Hosts, Groups],
        of: |costs| costs.gateway.entries,
        budget: None,
        floor: 20.0,
    },
    Metric {
        role: "owner of duties",
        name: "bytes, in and out",
        unit: "B/s",
        columns: &[One, Gateways, GatewaysGroups],
        of: |costs| control_bytes(&costs.owner),
        budget: Some(BYTES),
        floor: 3_000.0,
    },
    Metric {
        role: "owner of duties",
        name: "datagrams in",
        unit: "1/s",
        columns: &[One, Gateways, GatewaysGroups],
        of: |costs| costs.owner.datagrams_in,
        budget: None,
        floor: 30.0,
    },
    Metric {
        role: "owner of duties",
        name: "datagrams out",
        unit: "1/s",
        columns: &[One, Gateways, GatewaysGroups],
        of: |costs| costs.owner.datagrams_out,
        budget: None,
        floor: 30.0,
    },
    Metric {
        role: "owner of duties",
        name: "processor time",
        unit: "us/s",
        columns: &[One, Gateways, GatewaysGroups, GatewaysSquaredGroups, ChangesHosts],
        of: |costs| costs.owner.cpu_us,
        budget: Some(CPU),
        floor: 5_000.0,
    },
    Metric {
        role: "owner of duties",
        name: "memory",
        unit: "kB",
        columns: &[One, GatewaysGroups],
        of: |costs| costs.owner.rss_kb,
        budget: Some(MEMORY),
        floor: 1_500.0,
    },
    Metric {
        role: "list service",
        name: "bytes to all gateways",
        unit: "B/s",
        columns: &[Gateways, GatewaysChanges],
        of: |costs| costs.service_bytes,
        budget: None,
        floor: 500.0,
    },
    Metric {
        role: "list service",
        name: "a whole list",
        unit: "B",
        columns: &[One, Hosts],
        of: |costs| costs.complete_list_bytes,
        budget: Some(WHOLE_LIST),
        floor: 500.0,
    },
];

/// Figures of a fleet that exchanges marks of sessions.
pub const SESSION_METRICS: [Metric; 2] = [
    Metric {
        role: "gateway, marks exchanged",
        name: "bytes, in and out",
        unit: "B/s",
        columns: &[One, GatewaysGroups],
        of: |costs| control_bytes(&costs.gateway),
        budget: Some(BYTES),
        floor: 1_000.0,
    },
    Metric {
        role: "gateway, marks exchanged",
        name: "processor time",
        unit: "us/s",
        columns: &[One, GatewaysGroups],
        of: |costs| costs.real.cpu_us,
        budget: Some(CPU),
        floor: 3_000.0,
    },
];

/// A figure at the operators' size, reckoned from its slopes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    /// The role.
    pub role: String,
    /// What it is.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// What it depends on, in words.
    pub columns: Vec<String>,
    /// Slopes and their spread.
    pub fit: Fit,
    /// It grows with the square of the fleet.
    pub square: bool,
    /// What it comes to.
    pub value: f64,
    /// What the operators leave it.
    pub budget: Option<f64>,
}

impl Projection {
    /// How many times its budget it is.
    pub fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// A size that was predicted before it was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prediction {
    /// The role and what it is.
    pub figure: String,
    /// The size.
    pub size: Size,
    /// Projection from the smaller sizes.
    pub predicted: f64,
    /// Measured after that.
    pub measured: f64,
    /// Within a quarter, or the difference is under the figure's floor.
    pub holds: bool,
}

/// How far a prediction may be off.
const TOLERANCE: f64 = 0.25;

impl Metric {
    /// Its slopes over what was measured.
    pub fn fit(&self, played: &[(Size, Costs)], shared: f64) -> Option<Fit> {
        let row = |size: &Size| self.columns.iter().map(|column| column.at(size, shared)).collect();
        let rows: Vec<Vec<f64>> = played.iter().map(|(size, _)| row(size)).collect();
        let values: Vec<f64> = played.iter().map(|(_, costs)| (self.of)(costs)).collect();
        Fit::of(&rows, &values)
    }

    /// What these slopes give at a size.
    pub fn at(&self, fit: &Fit, size: &Size, shared: f64) -> f64 {
        let columns: Vec<f64> = self.columns.iter().map(|column| column.at(size, shared)).collect();
        fit.at(&columns)
    }

    /// Compares what was predicted of a size with what was measured there.
    pub fn compare(&self, predicted: f64, size: Size, costs: &Costs) -> Prediction {
        let measured = (self.of)(costs);
        let off = (predicted - measured).abs();
        let holds = off <= TOLERANCE * measured.abs() || off <= self.floor;
        Prediction { figure: format!("{}: {}", self.role, self.name), size, predicted, measured, holds }
    }

    /// The figure at the operators' size.
    pub fn project(&self, fit: Fit, shared: f64) -> Projection {
        let value = self.at(&fit, &OPERATORS, shared);
        let square =
            self.columns.iter().zip(&fit.slopes).any(|(column, slope)| column.is_quadratic() && *slope > 0.0);
        Projection {
            role: self.role.into(),
            name: self.name.into(),
            unit: self.unit.into(),
            columns: self.columns.iter().map(|column| column.word().into()).collect(),
            fit,
            square,
            value,
            budget: self.budget,
        }
    }
}
