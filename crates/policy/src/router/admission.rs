//! Admission: a new request is either rejected immediately or added to the queue of its group.

use super::queue::USEFUL_START_SHARE;
use super::Router;
use crate::interface::{Action, Class, RequestArrival, RequestId, Time};
use crate::state::{share_of, Request};

/// Budget for health checks, as a share of the value of all requests (fraction).
pub(super) const PROBE_BUDGET_SHARE: f64 = 0.002;
/// Maximum share of requests that may be sent to suspected members as trials (fraction).
const TRIAL_BUDGET_SHARE: f64 = 0.06;
/// Maximum number of trials that may accumulate in the trial budget.
const TRIAL_BURST: f64 = 2.0;
/// Step by which one first attempt moves the typical time left, as a divisor of it.
const TYPICAL_TIME_STEP_DIVISOR: Time = 64;
/// Tolerance by which a client's first attempt may be below the typical time left, as a divisor of it.
const TYPICAL_TIME_TOLERANCE_DIVISOR: Time = 16;

impl Router {
    /// Admits a new request to the queue of its group, or rejects it.
    pub(super) fn admit_request(&mut self, arrival: &RequestArrival) {
        let uniform_sample = self.rng.uniform_sample();
        if arrival.class >= self.settings.classes.len() {
            return self.reject(arrival, 0);
        }
        self.record_offered_load(arrival.group, self.settings.classes[arrival.class].latency_target);
        self.adapt_typical_time_left(arrival);
        if self.is_shed(&self.settings.classes[arrival.class], uniform_sample) {
            return self.reject(arrival, self.settings.max_retry_after);
        }
        self.budgets.probes += PROBE_BUDGET_SHARE;
        self.budgets.trials = (self.budgets.trials + TRIAL_BUDGET_SHARE).min(TRIAL_BURST);
        self.insert_request(arrival);
    }

    fn reject(&mut self, arrival: &RequestArrival, wait: Time) {
        self.actions.push(Action::Reject { request: arrival.request.clone(), wait });
    }

    /// Updates the running median of the time left with which first attempts of a class arrive.
    fn adapt_typical_time_left(&mut self, arrival: &RequestArrival) {
        if arrival.is_retry {
            return;
        }
        let typical = &mut self.typical_time_left[arrival.class];
        let step = if *typical == 0 { arrival.time_left } else { *typical / TYPICAL_TIME_STEP_DIVISOR };
        if arrival.time_left > *typical {
            *typical += step;
        } else {
            *typical -= step;
        }
    }

    /// Estimated time since the client's first attempt (microseconds). Most requests are first attempts with
    /// the same time left, so a request with clearly less than the median is treated as a retry. A request
    /// that is marked as a retry was most likely queued at another router until a start was no longer useful,
    /// and then rejected.
    fn age_at_arrival(&self, arrival: &RequestArrival, class: &Class) -> Time {
        let typical = self.typical_time_left[arrival.class];
        let looks_like_retry = arrival.time_left < typical - typical / TYPICAL_TIME_TOLERANCE_DIVISOR;
        let age = if looks_like_retry { class.deadline - arrival.time_left } else { 0 };
        if arrival.is_retry {
            return age.max(share_of(class.latency_target, USEFUL_START_SHARE)).max(0);
        }
        age.max(0)
    }

    fn insert_request(&mut self, arrival: &RequestArrival) {
        let age = self.age_at_arrival(arrival, &self.settings.classes[arrival.class]);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let time_left = arrival.time_left;
        let request = Request {
            id: arrival.request.clone(),
            sequence,
            class: arrival.class,
            group: arrival.group,
            first_arrived_at: self.now - age,
            arrived_at: self.now,
            deadline: (self.now + time_left).min(self.settings.final_answer_by),
            unsent_deadline: self.now + (time_left / 2 - self.settings.client_round_trip).max(time_left / 4),
            minimum_position: arrival.minimum_position,
            ..Request::default()
        };
        self.sequences.insert(arrival.request.clone(), sequence);
        self.requests.insert(sequence, request);
        self.enqueue(arrival.group, sequence);
    }

    /// Lowers the minimum position of a queued request. A higher position is ignored.
    pub(super) fn lower_minimum_position(&mut self, request: &RequestId, position: Time) {
        let Some(sequence) = self.sequences.get(request) else { return };
        let Some(request) = self.requests.get_mut(sequence) else { return };
        request.minimum_position = request.minimum_position.map(|minimum| minimum.min(position));
    }
}
