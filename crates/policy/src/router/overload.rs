//! Load shedding: detects overload of the members as a whole, and sheds a share of the reads.

use super::Router;
use crate::interface::{Class, Ending, Need};
use crate::state::Sample;

/// Sojourn (share of the latency target) above which an answer indicates overload. The shed share is in
/// equilibrium if one third of the answers do. The share of answers is used rather than their mean, so that a
/// few slow members do not cause shedding.
const OVERLOADED_SOJOURN: f64 = 0.5;
/// Mean sojourn (share of the latency target) below which cancelled work does not indicate overload.
const BELOW_OVERLOAD_SOJOURN: f64 = 0.3;
/// Step by which one answer changes the shed share (fraction).
const SHED_STEP: f64 = 0.02;
/// Maximum share of reads that is shed (fraction).
const MAX_SHED_SHARE: f64 = 0.95;
/// Number of steps up for an answer that indicates overload; any other answer causes one step down.
const OVERLOAD_STEPS: f64 = 2.0;
/// Lower bound of the value for work that shedding divides by, since the value of a class may be zero.
const MIN_VALUE_FOR_WORK: f64 = 1e-12;

impl Router {
    /// Adapts the shed share to the ending of an attempt. Cancelled and rejected work indicates overload only
    /// to the extent that served answers are slow as well; otherwise it is caused by a few faulty members.
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

    /// Whether a request of this class is shed, given a uniform sample. Reads with the lowest value for their
    /// work are shed first: the shed probability is the k-th power of the shed share for a class with k times
    /// the lowest value.
    pub(super) fn is_shed(&self, class: &Class, uniform_sample: f64) -> bool {
        if class.need == Need::Write || self.load.shed_share <= 0.0 {
            return false;
        }
        let reads = self.settings.classes.iter().filter(|class| class.need != Need::Write);
        let min_value = reads.map(value_for_work).fold(f64::INFINITY, f64::min).max(MIN_VALUE_FOR_WORK);
        uniform_sample < self.load.shed_share.powf(value_for_work(class) / min_value)
    }
}

/// Value of a request per unit of work. The latency target serves as the measure of work.
pub(super) fn value_for_work(class: &Class) -> f64 {
    class.priority_weight / class.latency_target as f64
}
