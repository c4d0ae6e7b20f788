//! Load of the members as observed by this router: served work, offered work, and service times of reads and
//! writes. No decision logic.

use super::Router;
use crate::interface::{GroupId, MemberId, Time};
use crate::state::MICROSECONDS_PER_SECOND;

/// Time constant of the exponentially decaying load averages (microseconds): several seconds, so that a short
/// idle period does not reset them.
const LOAD_DECAY_SPAN: f64 = 4e6;
/// Minimum capacity share that served work is divided by (fraction): the settings give the lowest capacity
/// share of a member in slow start, and its actual share may be twice as large.
const MIN_COUNTED_SHARE: f64 = 0.5;
/// Number of served answers over which the service times of reads and writes are averaged.
const SERVICE_TIME_ANSWERS: f64 = 100.0;

impl Router {
    /// Work (microseconds of latency target) that a member of weight 1 serves per second for this router: a
    /// decaying average as of now.
    pub(super) fn current_served_load(&self) -> f64 {
        let age = (self.now - self.load.served_load_at) as f64;
        self.load.served_load * (-age / LOAD_DECAY_SPAN).exp()
    }

    /// Work (microseconds of latency target) that clients offer a group per second: a decaying average as of
    /// now.
    pub(super) fn current_offered_load(&self, group: GroupId) -> f64 {
        let Some(state) = self.groups.get(&group) else { return 0.0 };
        let age = (self.now - state.offered_load_at) as f64;
        state.offered_load * (-age / LOAD_DECAY_SPAN).exp()
    }

    /// Adds the work of an arriving request to the offered load of its group.
    pub(super) fn record_offered_load(&mut self, group: GroupId, latency_target: Time) {
        let rate = latency_target as f64 * MICROSECONDS_PER_SECOND / LOAD_DECAY_SPAN;
        let rate = self.current_offered_load(group) + rate;
        let now = self.now;
        if let Some(state) = self.groups.get_mut(&group) {
            (state.offered_load, state.offered_load_at) = (rate, now);
        }
    }

    /// Adds the work of a served answer to the served load, divided by the total weight of the members
    /// available now. If the sum were divided later instead, the average would grow when members leave. The
    /// work of a member in slow start is scaled up to what it would have served at full capacity.
    pub(super) fn record_served_load(&mut self, id: MemberId, latency_target: Time) {
        let Some(member) = self.members.get(&id) else { return };
        let work = latency_target as f64 / self.capacity_share(member).max(MIN_COUNTED_SHARE);
        let weight = if self.available.weight > 0.0 { self.available.weight } else { 1.0 };
        let rate = work / weight * MICROSECONDS_PER_SECOND / LOAD_DECAY_SPAN;
        self.load.served_load = self.current_served_load() + rate;
        self.load.served_load_at = self.now;
    }

    /// Adds the service time of an answer (microseconds) to the total of reads or of writes.
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
}
