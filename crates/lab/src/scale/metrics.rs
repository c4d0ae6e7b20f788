//! The metrics of each role, what they depend on, and their budgets at the operators' size.

use super::fit::Fit;
use super::fleet_size::{Column, FleetSize};
use super::role_costs::{Costs, MeasuredFleet};
use Column::{
    Changes, ChangesHosts, Gateways, GatewaysChanges, GatewaysGroups, GatewaysSquaredGroups, Groups, Hosts,
    One,
};

/// Budget of control traffic (bytes per second).
const BYTES_BUDGET: f64 = 20_000.0;
/// Budget of processor time (microseconds per second).
const CPU_BUDGET: f64 = 12_000.0;
/// Budget of memory (kB).
const MEMORY_BUDGET: f64 = 32_000.0;
/// Maximum duration of a start (seconds).
const START_SECONDS: f64 = 10.0;
/// Budget of a complete list (bytes): what the traffic budget allows during a start.
const COMPLETE_LIST_BUDGET: f64 = BYTES_BUDGET * START_SECONDS;

/// Names of roles in reports.
const GATEWAY: &str = "gateway";
const LEASE_HOLDER: &str = "owner of duties";
const LIST_SERVICE: &str = "list service";
const SESSION_GATEWAY: &str = "gateway, marks exchanged";

/// Names in reports of metrics that several roles have.
const BYTES: &str = "bytes, in and out";
const DATAGRAMS_IN: &str = "datagrams in";
const DATAGRAMS_OUT: &str = "datagrams out";
const CPU: &str = "processor time";
const MEMORY: &str = "memory";

/// Units.
const BYTES_PER_SECOND: &str = "B/s";
const PER_SECOND: &str = "1/s";
const CPU_US_PER_SECOND: &str = "us/s";
const KILOBYTES: &str = "kB";

/// One metric of one role.
pub struct Metric {
    /// The role.
    pub role: &'static str,
    /// The measured quantity.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What it depends on.
    pub columns: &'static [Column],
    /// Its value in the costs of a fleet.
    pub value: fn(&Costs) -> f64,
    /// The operators' budget, if any.
    pub budget: Option<f64>,
    /// Smaller differences are due to the machine and not to the fleet.
    pub noise_floor: f64,
}

/// Metrics of a fleet with leadership roles.
pub const LEADERSHIP_METRICS: [Metric; 13] = [
    Metric::new(GATEWAY, BYTES, BYTES_PER_SECOND, &[One, Groups, Changes])
        .measured(|costs| costs.gateway.control_bytes(), 300.0)
        .budget(BYTES_BUDGET),
    Metric::new(GATEWAY, DATAGRAMS_IN, PER_SECOND, &[One, Groups])
        .measured(|costs| costs.gateway.datagrams_in, 3.0),
    Metric::new(GATEWAY, DATAGRAMS_OUT, PER_SECOND, &[One, Groups])
        .measured(|costs| costs.gateway.datagrams_out, 3.0),
    Metric::new(GATEWAY, CPU, CPU_US_PER_SECOND, &[One, Groups, ChangesHosts])
        .measured(|costs| costs.real.cpu_us, 1_500.0)
        .budget(CPU_BUDGET),
    Metric::new(GATEWAY, MEMORY, KILOBYTES, &[One, Hosts])
        .measured(|costs| costs.real.rss_kb, 500.0)
        .budget(MEMORY_BUDGET),
    Metric::new(GATEWAY, "entries of state", "", &[Hosts, Groups])
        .measured(|costs| costs.gateway.entries, 20.0),
    Metric::new(LEASE_HOLDER, BYTES, BYTES_PER_SECOND, &[One, Gateways, GatewaysGroups])
        .measured(|costs| costs.lease_holder.control_bytes(), 3_000.0)
        .budget(BYTES_BUDGET),
    Metric::new(LEASE_HOLDER, DATAGRAMS_IN, PER_SECOND, &[One, Gateways, GatewaysGroups])
        .measured(|costs| costs.lease_holder.datagrams_in, 30.0),
    Metric::new(LEASE_HOLDER, DATAGRAMS_OUT, PER_SECOND, &[One, Gateways, GatewaysGroups])
        .measured(|costs| costs.lease_holder.datagrams_out, 30.0),
    Metric::new(
        LEASE_HOLDER,
        CPU,
        CPU_US_PER_SECOND,
        &[One, Gateways, GatewaysGroups, GatewaysSquaredGroups, ChangesHosts],
    )
    .measured(|costs| costs.lease_holder.cpu_us, 5_000.0)
    .budget(CPU_BUDGET),
    Metric::new(LEASE_HOLDER, MEMORY, KILOBYTES, &[One, GatewaysGroups])
        .measured(|costs| costs.lease_holder.rss_kb, 1_500.0)
        .budget(MEMORY_BUDGET),
    Metric::new(LIST_SERVICE, "bytes to all gateways", BYTES_PER_SECOND, &[Gateways, GatewaysChanges])
        .measured(|costs| costs.service_bytes, 500.0),
    Metric::new(LIST_SERVICE, "a whole list", "B", &[One, Hosts])
        .measured(|costs| costs.complete_list_bytes, 500.0)
        .budget(COMPLETE_LIST_BUDGET),
];

/// Metrics of a fleet that exchanges watermarks of sessions.
pub const SESSION_METRICS: [Metric; 2] = [
    Metric::new(SESSION_GATEWAY, BYTES, BYTES_PER_SECOND, &[One, GatewaysGroups])
        .measured(|costs| costs.gateway.control_bytes(), 1_000.0)
        .budget(BYTES_BUDGET),
    Metric::new(SESSION_GATEWAY, CPU, CPU_US_PER_SECOND, &[One, GatewaysGroups])
        .measured(|costs| costs.real.cpu_us, 3_000.0)
        .budget(CPU_BUDGET),
];

impl Metric {
    /// A metric without a value and a budget.
    const fn new(
        role: &'static str,
        name: &'static str,
        unit: &'static str,
        columns: &'static [Column],
    ) -> Metric {
        Metric { role, name, unit, columns, value: |_| 0.0, budget: None, noise_floor: 0.0 }
    }

    const fn measured(self, value: fn(&Costs) -> f64, noise_floor: f64) -> Metric {
        Metric { value, noise_floor, ..self }
    }

    const fn budget(self, budget: f64) -> Metric {
        Metric { budget: Some(budget), ..self }
    }

    /// Its full name: the role and the measured quantity.
    pub fn full_name(&self) -> String {
        format!("{}: {}", self.role, self.name)
    }

    /// Fits the metric to measurements; `None` if there are too few.
    pub fn fit(&self, measured: &[MeasuredFleet], quota_groups: f64) -> Option<Fit> {
        let rows: Vec<Vec<f64>> = measured.iter().map(|fleet| self.row(&fleet.size, quota_groups)).collect();
        let values: Vec<f64> = measured.iter().map(|fleet| (self.value)(&fleet.costs)).collect();
        Fit::of(&rows, &values)
    }

    /// The fitted value at a size.
    pub fn at(&self, fit: &Fit, size: &FleetSize, quota_groups: f64) -> f64 {
        fit.at(&self.row(size, quota_groups))
    }

    fn row(&self, size: &FleetSize, quota_groups: f64) -> Vec<f64> {
        self.columns.iter().map(|column| column.at(size, quota_groups)).collect()
    }
}
