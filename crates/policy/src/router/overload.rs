//! Overload of the members as a whole, and the share of reads that is shed because of it.

use super::Router;
use crate::interface::{Class, Ending, Need};
use crate::state::Sample;

/// Sojourn (share of the latency target) above which an answer is evidence of overload. The shed share is
/// steady where a third of the answers are: a share of the answers and not a mean, because a few slow members
/// are no reason to shed.
const OVERLOADED_SOJOURN: f64 = 0.5;
/// Mean sojourn (share of the latency target) below which cancelled work is no sign of overload.
const BELOW_OVERLOAD_SOJOURN: f64 = 0.3;
/// Step of the shed share for each answer (fraction).
const SHED_STEP: f64 = 0.02;
/// Largest share of reads that is shed (fraction).
const MAX_SHED_SHARE: f64 = 0.95;
/// Steps up for an answer that shows overload; one that shows none takes one step down (count).
const OVERLOAD_STEPS: f64 = 2.0;
/// Least value for work that shedding compares with: classes may have no value at all.
const MIN_VALUE_FOR_WORK: f64 = 1e-12;

impl Router {
    /// Adapts the shed share to the outcome of an attempt. Cancelled and rejected work counts
    /// only as far as served answers are slow too; otherwise a few members are at fault.
    pub(super) fn update_shed_share(&mut self, ending: Ending, sample: Sample<f64>) {
        let steps = match ending {
            Ending::Served if sample.value > OVERLOADED_SOJOURN => OVERLOAD_STEPS,
            Ending::Served => -1.0,
            Ending::Cancelled | Ending::QueueFull => {
                OVERLOAD_STEPS * (self.mean_sojourn() / BELOW_OVERLOAD_SOJOURN - 1.0).clamp(0.0, 1.0)
            }
            _ => 0.0,
        };
        self.load.shed_share = (self.load.shed_share + SHED_STEP * steps).clamp(0.0, MAX_SHED_SHARE);
    }

    fn mean_sojourn(&self) -> f64 {
        let total: f64 = self.load.sojourns.iter().map(|sample| sample.value).sum();
        total / self.load.sojourns.len().max(1) as f64
    }

    /// Whether a request of this class is shed, decided by a uniform sample. Reads with the least value for
    /// their work go first: a class with k times that value is shed with the k-th power of the shed share.
    pub(super) fn is_shed(&self, class: &Class, uniform_sample: f64) -> bool {
        if class.need == Need::Write || self.load.shed_share <= 0.0 {
            return false;
        }
        let reads = self.settings.classes.iter().filter(|class| class.need != Need::Write);
        let least = reads.map(value_for_work).fold(f64::INFINITY, f64::min).max(MIN_VALUE_FOR_WORK);
        uniform_sample < self.load.shed_share.powf(value_for_work(class) / least)
    }
}

/// Value of a request for each unit of its work, for which the latency target stands.
pub(super) fn value_for_work(class: &Class) -> f64 {
    class.priority_weight / class.latency_target as f64
}
