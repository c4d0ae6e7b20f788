//! The costs of a fleet, by the roles of its gateways.

use super::fleet_size::FleetSize;
use super::protocol::GatewayStats;
use std::iter::Sum;
use std::ops::{Add, Mul};

/// The cost of one gateway: rates per second, memory and entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Datagrams received.
    pub datagrams_in: f64,
    /// Datagrams sent.
    pub datagrams_out: f64,
    /// Bytes received in datagrams.
    pub bytes_in: f64,
    /// Bytes sent in datagrams.
    pub bytes_out: f64,
    /// Bytes received from the list service.
    pub list_bytes: f64,
    /// Processor time (microseconds).
    pub cpu_us: f64,
    /// Resident memory (kB).
    pub rss_kb: f64,
    /// Entries of state.
    pub entries: f64,
}

impl Cost {
    /// All bytes of control traffic, in and out.
    pub fn control_bytes(&self) -> f64 {
        self.bytes_in + self.bytes_out + self.list_bytes
    }

    /// The mean of several costs; zero if there are none.
    pub(super) fn mean(costs: &[Cost]) -> Cost {
        costs.iter().copied().sum::<Cost>() * (1.0 / costs.len().max(1) as f64)
    }
}

impl Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost {
            datagrams_in: self.datagrams_in + other.datagrams_in,
            datagrams_out: self.datagrams_out + other.datagrams_out,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
            list_bytes: self.list_bytes + other.list_bytes,
            cpu_us: self.cpu_us + other.cpu_us,
            rss_kb: self.rss_kb + other.rss_kb,
            entries: self.entries + other.entries,
        }
    }
}

impl Sum for Cost {
    fn sum<I: Iterator<Item = Cost>>(costs: I) -> Cost {
        costs.fold(Cost::default(), Add::add)
    }
}

impl Mul<f64> for Cost {
    type Output = Cost;

    /// Multiplies all values, including memory and entries.
    fn mul(self, factor: f64) -> Cost {
        Cost {
            datagrams_in: self.datagrams_in * factor,
            datagrams_out: self.datagrams_out * factor,
            bytes_in: self.bytes_in * factor,
            bytes_out: self.bytes_out * factor,
            list_bytes: self.list_bytes * factor,
            cpu_us: self.cpu_us * factor,
            rss_kb: self.rss_kb * factor,
            entries: self.entries * factor,
        }
    }
}

/// A fleet and its costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredFleet {
    /// The size of the fleet.
    pub size: FleetSize,
    /// Its costs.
    pub costs: Costs,
}

/// The costs of a fleet between two snapshots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Mean of the gateways that are no acceptors.
    pub gateway: Cost,
    /// The cost of all acceptors, divided by the number of lease holders among them.
    pub lease_holder: Cost,
    /// Mean of the real gateways.
    pub real: Cost,
    /// Mean of the hollow gateways without demand.
    pub idle: Cost,
    /// Bytes per second sent by the list service.
    pub service_bytes: f64,
    /// Length of a complete list (bytes).
    pub complete_list_bytes: f64,
    /// Changes of the list per second.
    pub changes: f64,
}

impl Costs {
    /// The same costs, with the lower processor time of both for each role.
    pub fn with_least_cpu(self, other: Costs) -> Costs {
        let least = |one: Cost, other: Cost| Cost { cpu_us: one.cpu_us.min(other.cpu_us), ..one };
        Costs {
            gateway: least(self.gateway, other.gateway),
            lease_holder: least(self.lease_holder, other.lease_holder),
            real: least(self.real, other.real),
            idle: least(self.idle, other.idle),
            ..self
        }
    }
}

/// The resources that a process used between two snapshots, for each of its gateways.
pub(super) struct ProcessUse {
    /// Time between the snapshots (seconds).
    pub(super) seconds: f64,
    /// Processor time (microseconds per second).
    pub(super) cpu_us: f64,
    /// Resident memory (kB).
    pub(super) rss_kb: f64,
}

/// The cost of one gateway between two snapshots. The counters of a restarted gateway start from 0 again.
pub(super) fn cost(before: &GatewayStats, after: &GatewayStats, process: &ProcessUse) -> Cost {
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / process.seconds;
    Cost {
        datagrams_in: rate(after.datagrams_received, before.datagrams_received),
        datagrams_out: rate(after.datagrams_sent, before.datagrams_sent),
        bytes_in: rate(after.bytes_received, before.bytes_received),
        bytes_out: rate(after.bytes_sent, before.bytes_sent),
        list_bytes: rate(after.list_bytes, before.list_bytes),
        cpu_us: process.cpu_us,
        rss_kb: process.rss_kb,
        entries: after.entries as f64,
    }
}
