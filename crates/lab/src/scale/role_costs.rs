//! What gateways of each role cost.

use super::protocol::GatewayStats;

/// What one gateway of a role costs in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Datagrams heard.
    pub datagrams_in: f64,
    /// Datagrams told.
    pub datagrams_out: f64,
    /// Bytes heard in datagrams.
    pub bytes_in: f64,
    /// Bytes told in datagrams.
    pub bytes_out: f64,
    /// Bytes of discovery's watch.
    pub list_bytes: f64,
    /// Processor time (microseconds).
    pub cpu_us: f64,
    /// Resident memory (kB).
    pub rss_kb: f64,
    /// Entries of state.
    pub entries: f64,
}

impl Cost {
    /// So many times this cost; what is there once, entries and memory, included.
    pub(super) fn times(self, factor: f64) -> Cost {
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

/// What a fleet cost between two snapshots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// A gateway that is no acceptor: the mean.
    pub gateway: Cost,
    /// An owner of duties: all that acceptors cost, over those that share the work.
    pub owner: Cost,
    /// A real gateway: the mean.
    pub real: Cost,
    /// A hollow gateway without demand: the mean.
    pub quiet: Cost,
    /// Bytes that the list service sent in a second.
    pub service_bytes: f64,
    /// Bytes of a whole list.
    pub complete_list_bytes: f64,
    /// Changes of the list in a second.
    pub changes: f64,
}

impl Costs {
    /// The same with the lesser processor time of the two, role by role.
    pub fn with_least_cpu(self, other: Costs) -> Costs {
        let least = |one: Cost, other: Cost| Cost { cpu_us: one.cpu_us.min(other.cpu_us), ..one };
        Costs {
            gateway: least(self.gateway, other.gateway),
            owner: least(self.owner, other.owner),
            real: least(self.real, other.real),
            quiet: least(self.quiet, other.quiet),
            ..self
        }
    }
}

/// What one gateway cost between two looks, in a second.
pub(super) fn cost(
    earlier: Option<&GatewayStats>,
    one: &GatewayStats,
    seconds: f64,
    cpu_us: f64,
    rss_kb: f64,
) -> Cost {
    let zero = GatewayStats::default();
    let earlier = earlier.unwrap_or(&zero);
    // One that was started anew counts from 0 again.
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    Cost {
        datagrams_in: rate(one.heard, earlier.heard),
        datagrams_out: rate(one.told, earlier.told),
        bytes_in: rate(one.heard_bytes, earlier.heard_bytes),
        bytes_out: rate(one.told_bytes, earlier.told_bytes),
        list_bytes: rate(one.list_bytes, earlier.list_bytes),
        cpu_us,
        rss_kb,
        entries: one.entries as f64,
    }
}

/// The mean of several.
pub(super) fn mean(costs: &[Cost]) -> Cost {
    let count = costs.len().max(1) as f64;
    let of = |figure: fn(&Cost) -> f64| costs.iter().map(figure).sum::<f64>() / count;
    Cost {
        datagrams_in: of(|cost| cost.datagrams_in),
        datagrams_out: of(|cost| cost.datagrams_out),
        bytes_in: of(|cost| cost.bytes_in),
        bytes_out: of(|cost| cost.bytes_out),
        list_bytes: of(|cost| cost.list_bytes),
        cpu_us: of(|cost| cost.cpu_us),
        rss_kb: of(|cost| cost.rss_kb),
        entries: of(|cost| cost.entries),
    }
}
