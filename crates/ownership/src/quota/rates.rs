//! Request rates of one gateway: exponentially weighted moving averages over samples of request counters.

use super::demand::MAX_RATE;
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

/// Time constant of the average (microseconds). Longer than the pauses between bursts.
const TIME_CONSTANT: f64 = 4e6;
/// Minimum interval between samples (microseconds). A sample that follows sooner is ignored.
const MIN_SAMPLE_INTERVAL: Time = 10_000;
/// Lower bound of the total weight when it is used as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 1e-3;
/// Microseconds per second.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

#[derive(Clone, Copy, Debug)]
struct GroupRate {
    /// Value of the request counter at the last sample.
    count: u64,
    /// Requests per second.
    rate: f64,
}

/// Request rates of one gateway. Keeps only the groups of the last sample.
#[derive(Clone, Debug, Default)]
pub struct RequestRates {
    sampled_at: Option<Time>,
    groups: BTreeMap<GroupId, GroupRate>,
    /// Total weight of all samples (fraction). Low after the start of the gateway; rates are divided by it to
    /// correct for that.
    total_weight: f64,
}

impl RequestRates {
    /// Records a sample of the request counters of all groups.
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
        self.total_weight += weight * (1.0 - self.total_weight);
        self.sampled_at = Some(now);
    }

    /// The rate of each group (thousandths of a request per second).
    pub fn per_group(&self) -> BTreeMap<GroupId, u32> {
        let total_weight = self.total_weight.max(MIN_TOTAL_WEIGHT);
        let scaled = |rate: f64| ((rate / total_weight * 1000.0) as u32).min(MAX_RATE);
        self.groups.iter().map(|(group, state)| (*group, scaled(state.rate))).collect()
    }

    fn updated(&self, group: GroupId, count: u64, elapsed: f64, weight: f64) -> GroupRate {
        let previous = self.groups.get(&group).copied().unwrap_or(GroupRate { count, rate: 0.0 });
        let current = count.saturating_sub(previous.count) as f64 / elapsed * MICROSECONDS_PER_SECOND;
        GroupRate { count, rate: previous.rate + weight * (current - previous.rate) }
    }
}
