//! How much work a gateway gets for each group: counts, seen from time to time, as rates that fade.

use super::demand::MAX_RATE;
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

/// Span over which a rate is a mean (microseconds): some seconds, to last a lull between two bursts.
const SPAN: f64 = 4e6;
/// Shortest span between two looks that tells anything (microseconds).
const SHORTEST: Time = 10_000;

/// RequestRates of one gateway. It holds the groups that it was told last, and no others.
#[derive(Clone, Debug, Default)]
pub struct RequestRates {
    seen: Option<Time>,
    /// Count when last seen, and requests a second.
    groups: BTreeMap<GroupId, (u64, f64)>,
    /// Which quota of the mean is made up of what was seen (fraction): a gateway that starts has seen little.
    whole: f64,
}

impl RequestRates {
    /// The counts of all groups by now.
    pub fn observe(&mut self, now: Time, counts: &BTreeMap<GroupId, u64>) {
        let Some(seen) = self.seen.filter(|seen| now - seen >= SHORTEST) else {
            if self.seen.is_none() {
                self.groups = counts.iter().map(|(group, count)| (*group, (*count, 0.0))).collect();
                self.seen = Some(now);
            }
            return;
        };
        let elapsed = (now - seen) as f64;
        let new = 1.0 - (-elapsed / SPAN).exp();
        self.groups = counts
            .iter()
            .map(|(group, count)| {
                let (before, rate) = self.groups.get(group).copied().unwrap_or((*count, 0.0));
                let came = count.saturating_sub(before) as f64 / elapsed * 1e6;
                (*group, (*count, rate + new * (came - rate)))
            })
            .collect();
        self.whole += new * (1.0 - self.whole);
        self.seen = Some(now);
    }

    /// RequestRates (thousandths of a request a second).
    pub fn per_group(&self) -> BTreeMap<GroupId, u32> {
        let whole = self.whole.max(1e-3);
        let told = |rate: f64| ((rate / whole * 1000.0) as u32).min(MAX_RATE);
        self.groups.iter().map(|(group, (_, rate))| (*group, told(*rate))).collect()
    }
}
