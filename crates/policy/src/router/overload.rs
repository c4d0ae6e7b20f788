//! Overload of the members as a whole: the share of reads that is shed, and the load that members carry.

use super::Router;
use crate::interface::{Class, Ending, GroupId, MemberId, Need, Time};
use crate::state::Sample;

/// Sojourn (share of the latency target) that a third of the answers may pass before the members as a whole
/// count as overloaded. A share of the answers, not a mean: a few slow members are no reason to shed.
const OVERLOADED_SOJOURN: f64 = 0.5;
/// Mean sojourn (share of the latency target) under which cancelled work is no sign of overload.
const BELOW_OVERLOAD_SOJOURN: f64 = 0.3;
/// Step of the shed share for each answer (fraction): some tens of answers from nothing to all.
const SHED_STEP: f64 = 0.02;
/// Largest share of reads that is shed (fraction).
const MAX_SHED_SHARE: f64 = 0.95;
/// Steps up for an answer that shows overload; one that shows none takes one step down (count).
const OVERLOAD_STEPS: f64 = 2.0;
/// Span over which the work that a router had served is counted (microseconds): some seconds, to outlast
/// a lull.
const LOAD_DECAY_SPAN: f64 = 4e6;
/// A warming member is not taken for colder than this where its work is counted (share of its capacity):
/// the settings say what it has at least, and it may have twice as much.
const MIN_COUNTED_SHARE: f64 = 0.5;
/// Served answers over which the work of reads and writes is compared (count).
const SERVICE_TIME_ANSWERS: f64 = 100.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

impl Router {
    /// Work (microseconds of latency target) that a member of weight 1 carries a second for this router,
    /// as of now: a decaying mean.
    pub(super) fn current_served_load(&self) -> f64 {
        let age = (self.now - self.load.served_load_at) as f64;
        self.load.served_load * (-age / LOAD_DECAY_SPAN).exp()
    }

    /// Work that clients ask of a group a second, as of now: a decaying mean as that of what members carry.
    pub(super) fn current_offered_load(&self, group: GroupId) -> f64 {
        let Some(state) = self.groups.get(&group) else { return 0.0 };
        let age = (self.now - state.offered_load_at) as f64;
        state.offered_load * (-age / LOAD_DECAY_SPAN).exp()
    }

    /// Counts the work of a request that has come.
    pub(super) fn record_offered_load(&mut self, group: GroupId, latency_target: Time) {
        let rate = latency_target as f64 * MICROSECONDS_PER_SECOND / LOAD_DECAY_SPAN;
        let rate = self.current_offered_load(group) + rate;
        let now = self.now;
        if let Some(state) = self.groups.get_mut(&group) {
            (state.offered_load, state.offered_load_at) = (rate, now);
        }
    }

    /// Counts the work of an answer that a member served, divided by the members that there are now: a
    /// mean over seconds, divided by the members left at its end, would grow when members leave. A
    /// warming member would do more if it were warm.
    pub(super) fn record_served_load(&mut self, id: MemberId, latency_target: Time) {
        let Some(member) = self.members.get(&id) else { return };
        let work = latency_target as f64 / self.capacity_share(member).max(MIN_COUNTED_SHARE);
        let weight = if self.available.weight > 0.0 { self.available.weight } else { 1.0 };
        let rate = work / weight * MICROSECONDS_PER_SECOND / LOAD_DECAY_SPAN;
        self.load.served_load = self.current_served_load() + rate;
        self.load.served_load_at = self.now;
    }

    /// Compares the work of reads and writes by a served answer that took so long.
    pub(super) fn record_service_time(&mut self, is_write: bool, took: Time) {
        let decay = 1.0 - 1.0 / SERVICE_TIME_ANSWERS;
        self.load.service_time.reads *= decay;
        self.load.service_time.writes *= decay;
        if is_write {
            self.load.service_time.writes += took as f64;
        } else {
            self.load.service_time.reads += took as f64;
        }
    }

    /// Adapts the share of reads that is shed to one more ending. Cancelled and rejected work counts only
    /// where served answers are slow too: else a few members did it.
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

    /// Whether a request of this class is shed, decided by a uniform sample. The least value for its work
    /// goes first; what is worth k times as much is shed with the k-th power of the probability.
    pub(super) fn is_shed(&self, class: &Class, uniform_sample: f64) -> bool {
        if class.need == Need::Write || self.load.shed_share <= 0.0 {
            return false;
        }
        let reads = self.settings.classes.iter().filter(|class| class.need != Need::Write);
        let least = reads.map(value_for_work).fold(f64::INFINITY, f64::min).max(1e-12);
        uniform_sample < self.load.shed_share.powf(value_for_work(class) / least)
    }
}

/// Value for each unit of work. The latency target stands for the work, as it is set by it.
pub(super) fn value_for_work(class: &Class) -> f64 {
    class.priority_weight / class.latency_target as f64
}
