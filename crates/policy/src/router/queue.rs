//! Queue of a group: dispatch order, expiry, and eviction of the requests with the lowest priority.

use super::concurrency::TARGET_SOJOURN;
use super::overload::value_for_work;
use super::Router;
use crate::interface::{Class, Effect, GroupId, MemberId, Need, Time};
use crate::state::{share_of, Request};
use std::collections::BTreeSet;

/// Share of the latency target after which starting a request is no longer useful, because the remainder is
/// needed to serve it.
pub(super) const USEFUL_START_SHARE: f64 = 1.0 - TARGET_SOJOURN;
/// Share of `max_open_requests` that requests may occupy (fraction); the rest is reserved for new requests.
const OPEN_REQUESTS_SHARE: f64 = 0.85;
/// Factor applied to the value of requests that only the primary can serve: other reads may still be served
/// by other members.
const PRIMARY_ONLY_FACTOR: f64 = 2.0;
/// Assumed probability that a write completes while its group has no selectable primary (fraction).
const COMPLETION_CHANCE_WITHOUT_PRIMARY: f64 = 0.1;
/// Time for which a member that has ended an attempt gets no further attempt of the same request, as a
/// divisor of the latency target.
const RETRY_PAUSE_DIVISOR: Time = 8;

/// A request with the value by which it is ranked.
struct RankedRequest {
    value: f64,
    sequence: u64,
}

impl Router {
    /// Whether it is too late to start the request and still meet its latency target.
    pub(super) fn is_start_late(&self, request: &Request) -> bool {
        let useful = share_of(self.settings.classes[request.class].latency_target, USEFUL_START_SHARE);
        self.now - request.first_arrived_at >= useful
    }

    /// Current value of the request per unit of work.
    fn value_density(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[request.class];
        let only_primary = matches!(class.need, Need::Write | Need::Strong);
        let factor = if only_primary { PRIMARY_ONLY_FACTOR } else { 1.0 };
        let late_factor = if self.is_start_late(request) { class.late_share } else { 1.0 };
        factor * value_for_work(class) * late_factor
    }

    /// Sends queued requests of a group, in descending order of value and latest first among equals. Once a
    /// new request finds no member, other new requests of its class are skipped in this step.
    pub(super) fn dispatch_queue(&mut self, group: GroupId) {
        self.refill_slow_start_buckets(group);
        let mut blocked_classes: BTreeSet<usize> = BTreeSet::new();
        for sequence in self.dispatch_order(group) {
            let Some(request) = self.requests.get(&sequence) else { continue };
            let class = request.class;
            let is_interchangeable = request.attempts.is_empty() && request.minimum_position.is_none();
            if is_interchangeable && blocked_classes.contains(&class) {
                continue;
            }
            if let Some(member) = self.select_member(sequence, class) {
                self.send(sequence, member);
            } else if is_interchangeable {
                blocked_classes.insert(class);
            }
        }
    }

    fn dispatch_order(&self, group: GroupId) -> Vec<u64> {
        let Some(state) = self.groups.get(&group) else { return Vec::new() };
        let mut ranked = Vec::with_capacity(state.waiting.len());
        for sequence in &state.waiting {
            if let Some(request) = self.requests.get(sequence) {
                ranked.push(RankedRequest { value: self.value_density(request), sequence: *sequence });
            }
        }
        ranked.sort_by(|a, b| b.value.total_cmp(&a.value).then(b.sequence.cmp(&a.sequence)));
        ranked.into_iter().map(|request| request.sequence).collect()
    }

    fn select_member(&mut self, sequence: u64, class: usize) -> Option<MemberId> {
        match self.settings.classes[class].need {
            Need::Write | Need::Strong => self.select_primary(sequence),
            Need::Session | Need::Bounded(_) | Need::Eventual => self.select_for_read(sequence),
        }
    }

    /// Whether an attempt of this request at this member has ended recently.
    pub(super) fn was_recently_tried(&self, request: &Request, id: MemberId) -> bool {
        let pause = self.settings.classes[request.class].latency_target / RETRY_PAUSE_DIVISOR;
        request.attempts.iter().any(|attempt| attempt.member == id && self.now - attempt.ended_at < pause)
    }

    /// Finishes requests whose answer would be too late and those for which no further attempt is possible.
    pub(super) fn expire_requests(&mut self) {
        let is_expired = |request: &Request| self.is_expired(request, &self.settings.classes[request.class]);
        let expired = self.requests.iter().filter(|(_, request)| is_expired(request));
        let expired: Vec<u64> = expired.map(|(sequence, _)| *sequence).collect();
        for sequence in expired {
            self.finish(sequence);
        }
    }

    fn is_expired(&self, request: &Request, class: &Class) -> bool {
        // A request that is still unsent after half of its time has little chance of completing here, and its
        // client still has time to retry.
        let unsent = request.attempts.iter().all(|attempt| !attempt.in_flight && !attempt.reached);
        let deadline = if unsent { request.unsent_deadline.min(request.deadline) } else { request.deadline };
        if self.now + 2 * self.settings.granularity >= deadline {
            return true;
        }
        // A request in flight is not finished for being late: the member would continue to work on it, and
        // the client would retry.
        if request.has_attempt_in_flight() {
            return false;
        }
        let has_no_late_value = class.effect == Effect::Safe && class.late_share <= 0.0;
        let is_worthless = has_no_late_value && self.is_start_late(request);
        is_worthless || request.is_exhausted(class, self.now + self.settings.granularity)
    }

    /// Evicts the lowest-value requests if there are too many open ones: queued requests, and late reads in
    /// flight. Clients have a bounded number of connections; if all of them were in use, no new request could
    /// arrive.
    pub(super) fn evict_lowest_priority(&mut self) {
        let max_requests = (f64::from(self.settings.max_open_requests) * OPEN_REQUESTS_SHARE) as usize;
        let excess = self.requests.len().saturating_sub(max_requests);
        if excess == 0 {
            return;
        }
        let mut ranked = Vec::new();
        for (sequence, request) in &self.requests {
            if self.is_evictable(request) {
                let value = self.value_density(request) * self.completion_chance(request);
                ranked.push(RankedRequest { value, sequence: *sequence });
            }
        }
        ranked.sort_by(|a, b| a.value.total_cmp(&b.value).then(a.sequence.cmp(&b.sequence)));
        for request in ranked.iter().take(excess) {
            self.finish(request.sequence);
        }
    }

    fn is_evictable(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        if class.effect != Effect::Safe {
            return request.first_possible_execution().is_none();
        }
        let is_late = self.now - request.first_arrived_at >= class.latency_target;
        is_late || !request.has_attempt_in_flight()
    }

    fn completion_chance(&self, request: &Request) -> f64 {
        let is_write = self.settings.classes[request.class].need == Need::Write;
        if is_write && !self.has_selectable_primary(request.group) {
            return COMPLETION_CHANCE_WITHOUT_PRIMARY;
        }
        1.0
    }
}
