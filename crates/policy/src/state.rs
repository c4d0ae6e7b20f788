//! The state of a router as plain data: members, groups, requests and attempts. No decisions are made here.

use crate::interface::{
    Class, GroupId, MemberId, MemberStatus, QuotaAdjustment, RequestId, Time, ASSUMED_KNOWN_AFTER,
};
use crate::mutant::{mutant, Mutant::RetriedAfterKeyWindow};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// A router's only source of random numbers.
#[derive(Clone, Debug)]
pub(crate) struct SeededRng(Pcg64Mcg);

impl SeededRng {
    pub(crate) fn seed_from_u64(seed: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A uniform sample of 0 to 1, both included.
    pub(crate) fn uniform_sample(&mut self) -> f64 {
        self.next_u64() as f64 / u64::MAX as f64
    }
}

impl Default for SeededRng {
    fn default() -> SeededRng {
        SeededRng::seed_from_u64(0)
    }
}

/// A measurement with the time at which it was taken.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Sample<T> {
    pub(crate) taken_at: Time,
    pub(crate) value: T,
}

/// The latest measurements, oldest first: at most `SAMPLES_KEPT` of them.
pub(crate) type Samples<T> = VecDeque<Sample<T>>;

/// Waits of the attempts that a member has not answered since its last sign of life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct SilentWaits {
    /// Sum of the waits, each in latency targets of its class.
    pub(crate) total_in_targets: f64,
    /// The longest wait (microseconds).
    pub(crate) longest: Time,
}

/// Time that members recently spent on served attempts (microseconds, decayed).
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ServiceTime {
    pub(crate) reads: f64,
    pub(crate) writes: f64,
}

/// Load of the members as a whole, as this router sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadState {
    /// Latest sojourns at all members, as `Member::sojourns`.
    pub(crate) sojourns: Samples<f64>,
    /// Work (microseconds of latency target) that a member of weight 1 served a second, as of `served_load_at`.
    pub(crate) served_load: f64,
    pub(crate) served_load_at: Time,
    pub(crate) service_time: ServiceTime,
    /// Share of the reads of least value that is shed (fraction).
    pub(crate) shed_share: f64,
}

/// Members that are in service and not down.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AvailableMembers {
    pub(crate) count: usize,
    /// Sum of their weights.
    pub(crate) weight: f64,
}

impl AvailableMembers {
    /// Mean weight of a member; 1 where there are none.
    pub(crate) fn mean_weight(&self) -> f64 {
        if self.count == 0 {
            return 1.0;
        }
        self.weight / self.count as f64
    }
}

pub(crate) const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A share of a span, in whole microseconds.
pub(crate) fn share_of(span: Time, share: f64) -> Time {
    (span as f64 * share) as Time
}

/// What a router knows of a member. Times are by the router's clock where nothing else is said.
///
/// Stored in handover records without field names: order, types and serde attributes must stay.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) group: GroupId,
    pub(crate) zone: Arc<str>,
    /// Capacity in relation to other members.
    pub(crate) weight: f64,
    pub(crate) status: MemberStatus,
    /// Listed as draining since its last start. Later lists do not take that back.
    pub(crate) drained: bool,
    /// Its last start, by the hosts' clock; 0 for long ago.
    pub(crate) started: Time,
    /// When it was first listed with this start. Not part of the learned state.
    #[serde(skip)]
    pub(crate) listed_at: Time,
    /// When it last answered a health check after being down.
    pub(crate) recovered_at: Time,
    /// Newest evidence that it is primary; 1 where only the endpoint list says so.
    pub(crate) primary_evidence_at: Time,
    /// Newest evidence that it is a replica.
    pub(crate) replica_evidence_at: Time,
    /// Highest position that it reported, by the hosts' clock.
    pub(crate) position: Time,
    /// Replication lags (microseconds).
    pub(crate) lags: Samples<Time>,
    /// Sojourns (time from send to answer, queueing included) in latency targets, each divided by the attempts
    /// in flight at the send, its own included.
    pub(crate) sojourns: Samples<f64>,
    /// Moving mean of the undivided sojourns, in latency targets.
    pub(crate) load: f64,
    /// Attempts that all routers together may have in flight here.
    pub(crate) concurrency_limit: f64,
    /// No sends before this: pacing where this router's quota is less than one attempt.
    pub(crate) paced_until: Time,
    /// Attempts of this router in flight here.
    pub(crate) in_flight: u32,
    /// Of these, attempts long past their latency target while the member has answered others since.
    pub(crate) presumed_lost: u32,
    /// Attempts unanswered since the last sign of life.
    pub(crate) silent_waits: SilentWaits,
    /// When it was last in service or had an attempt in flight.
    pub(crate) last_listed_at: Time,
    /// Last sign of life.
    pub(crate) last_heard_at: Time,
    /// When an attempt here last hung unanswered.
    pub(crate) last_loss_at: Time,
    /// Taken for unresponsive until it answers.
    pub(crate) suspected: bool,
    /// Its last health check failed.
    pub(crate) down: bool,
    /// Attempts in a row that got no service.
    pub(crate) consecutive_failures: u32,
    /// No sends before this: outlier ejection.
    pub(crate) ejected_until: Time,
    pub(crate) probe_in_flight: bool,
    pub(crate) probed_at: Time,
    /// Tokens of its slow-start bucket (microseconds of latency target) as of `slow_start_refilled_at`.
    pub(crate) slow_start_tokens: f64,
    pub(crate) slow_start_refilled_at: Time,
    /// Salt of the hash by which new reads are sampled for it during slow start. Not part of the learned state.
    #[serde(skip)]
    pub(crate) sampling_salt: u64,
}

impl Member {
    /// Whether its newest evidence says that it is the primary.
    pub(crate) fn is_primary(&self) -> bool {
        self.primary_evidence_at > self.replica_evidence_at
    }
}

/// What a router knows of a group. Stored in handover records, as `Member`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Group {
    /// In ascending order.
    pub(crate) members: Vec<MemberId>,
    /// Sequence numbers of the requests in its queue.
    pub(crate) waiting: BTreeSet<u64>,
    /// Times of the last commits, by the hosts' clock, in ascending order.
    pub(crate) commits: VecDeque<Time>,
    /// When a request was last sent to a member to find the primary.
    pub(crate) last_discovery_at: Time,
    /// Quota borrowed from other routers, or lent to them.
    pub(crate) quota_adjustment: QuotaAdjustment,
    /// Work (microseconds of latency target) that its clients offered a second, as of `offered_load_at`. Not part of
    /// the learned state.
    #[serde(skip)]
    pub(crate) offered_load: f64,
    #[serde(skip)]
    pub(crate) offered_load_at: Time,
}

/// An attempt, as its request knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) member: MemberId,
    pub(crate) sent: Time,
    pub(crate) in_flight: bool,
    /// The member may have executed it.
    pub(crate) may_have_run: bool,
    /// It was written to the member, as far as its ending shows.
    pub(crate) reached: bool,
    /// When it ended; 0 while it is in flight, and if it was cancelled.
    pub(crate) ended_at: Time,
}

/// A request that has no final answer yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    /// Its place in the order of arrival.
    pub(crate) sequence: u64,
    /// Index of its class in the settings.
    pub(crate) class: usize,
    pub(crate) group: GroupId,
    /// Estimated time at which the client first sent it, to any router.
    pub(crate) first_arrived_at: Time,
    /// When it arrived at this router.
    pub(crate) arrived_at: Time,
    /// When its client gives it up.
    pub(crate) deadline: Time,
    /// When it is given up if it was never sent: half of its time has passed.
    pub(crate) unsent_deadline: Time,
    /// Commit that its data must include, by the hosts' clock.
    pub(crate) minimum_position: Option<Time>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Whether one of its attempts is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// The first attempt that has run or may yet run, as far as is known.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.in_flight || attempt.may_have_run)
    }

    /// Whether no further attempt can be sent from this time on: all are used, or the window of its idempotency
    /// key has closed, which the first attempt that may have run opened.
    pub(crate) fn is_exhausted(&self, class: &Class, by: Time) -> bool {
        let closes = match self.first_possible_execution() {
            Some(first) if !mutant(RetriedAfterKeyWindow) => class.effect.retry_deadline(first.sent),
            _ => Time::MAX,
        };
        closes <= by || self.attempts.len() >= class.attempts as usize
    }
}

/// An attempt, by its request and its number in the order of sends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: u32,
}

/// An attempt in flight. It is kept until its outcome arrives, even after its request is closed.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) member: MemberId,
    pub(crate) sent: Time,
    pub(crate) class: usize,
    /// Other attempts of this router in flight at the member when it was sent (count).
    pub(crate) others_in_flight: f64,
}

impl InFlightAttempt {
    /// Whether it was sent so long ago that the member's answer, if it was lost, already counts as known.
    pub(crate) fn may_be_lost(&self, now: Time) -> bool {
        self.sent <= now - ASSUMED_KNOWN_AFTER
    }
}
