//! Request rates of one gateway: exponentially weighted means of counters that are sampled from time to time.

use super::demand::MAX_RATE;
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

/// Time constant of the mean (microseconds): some seconds, to outlast a lull between two bursts.
const TIME_CONSTANT: f64 = 4e6;
/// Samples that follow sooner are ignored (microseconds).
const MIN_SAMPLE_INTERVAL: Time = 10_000;
/// Lowest weight that is divided by.
const MIN_WEIGHT: f64 = 1e-3;
/// Microseconds in a second.
const SECOND: f64 = 1e6;

#[derive(Clone, Copy, Debug)]
struct GroupRate {
    /// The counter when it was last sampled.
    count: u64,
    /// Requests per second.
    rate: f64,
}

/// Request rates of one gateway. Holds the groups of the last sample and no others.
#[derive(Clone, Debug, Default)]
pub struct RequestRates {
    sampled_at: Option<Time>,
    groups: BTreeMap<GroupId, GroupRate>,
    /// Weight of all samples together in the mean (fraction): low while a gateway has just started.
    weight: f64,
}

impl RequestRates {
    /// Takes a sample: the counters of all groups by now.
    pub fn observe(&mut self, now: Time, counts: &BTreeMap<GroupId, u64>) {
        let Some(sampled_at) = self.sampled_at else {
            let first = |(group, count): (&GroupId, &u64)| (*group, GroupRate { count: *count, rate: 0.0 });
            self.groups = counts.iter().map(first).collect();
            self.sampled_at = Some(now);
            return;
        };
        if now - sampled_at < MIN_SAMPLE_INTERVAL {
            return;
        }
        let elapsed = (now - sampled_at) as f64;
        let weight = 1.0 - (-elapsed / TIME_CONSTANT).exp();
        let update =
            |(group, count): (&GroupId, &u64)| (*group, self.updated(*group, *count, elapsed, weight));
        self.groups = counts.iter().map(update).collect();
        self.weight += weight * (1.0 - self.weight);
        self.sampled_at = Some(now);
    }

    /// The rates (thousandths of a request per second).
    pub fn per_group(&self) -> BTreeMap<GroupId, u32> {
        let weight = self.weight.max(MIN_WEIGHT);
        let scaled = |rate: f64| ((rate / weight * 1000.0) as u32).min(MAX_RATE);
        self.groups.iter().map(|(group, state)| (*group, scaled(state.rate))).collect()
    }

    fn updated(&self, group: GroupId, count: u64, elapsed: f64, weight: f64) -> GroupRate {
        let before = self.groups.get(&group).copied().unwrap_or(GroupRate { count, rate: 0.0 });
        let current = count.saturating_sub(before.count) as f64 / elapsed * SECOND;
        GroupRate { count, rate: before.rate + weight * (current - before.rate) }
    }
}
