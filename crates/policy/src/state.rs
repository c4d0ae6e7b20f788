//! Router state as plain data: members, groups, requests and attempts. No decision logic.

use crate::interface::{
    Class, GroupId, MemberId, MemberStatus, QuotaAdjustment, RequestId, Time, ASSUMED_KNOWN_AFTER,
};
use crate::mutant::{mutant, Mutant::RetriedAfterKeyWindow};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// The only source of randomness of a router.
#[derive(Clone, Debug)]
pub(crate) struct SeededRng(Pcg64Mcg);

impl SeededRng {
    pub(crate) fn seed_from_u64(seed: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A uniform sample from the closed interval from 0 to 1.
    pub(crate) fn uniform_sample(&mut self) -> f64 {
        self.next_u64() as f64 / u64::MAX as f64
    }
}

impl Default for SeededRng {
    fn default() -> SeededRng {
        SeededRng::seed_from_u64(0)
    }
}

/// A measured value with the time of the measurement.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Sample<T> {
    pub(crate) taken_at: Time,
    pub(crate) value: T,
}

/// The latest samples, oldest first; at most `SAMPLES_KEPT`.
pub(crate) type Samples<T> = VecDeque<Sample<T>>;

/// Waits of the attempts that were sent to a member since it last answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct SilentWaits {
    /// Sum of the waits, each as a multiple of the latency target of its class.
    pub(crate) total_in_targets: f64,
    /// The longest wait (microseconds).
    pub(crate) longest: Time,
}

/// Total time of recently served attempts (microseconds, exponentially decayed).
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ServiceTime {
    pub(crate) reads: f64,
    pub(crate) writes: f64,
}

/// Aggregate load of all members, as observed by this router.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadState {
    /// Latest sojourns at any member, in the same unit as `Member::sojourns`.
    pub(crate) sojourns: Samples<f64>,
    /// Work (microseconds of latency target) served per second by a member of weight 1, as of
    /// `served_load_at`.
    pub(crate) served_load: f64,
    pub(crate) served_load_at: Time,
    pub(crate) service_time: ServiceTime,
    /// Share of the reads in the lowest-value class that is shed (fraction).
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
    /// Mean weight of the available members; 1 if there are none.
    pub(crate) fn mean_weight(&self) -> f64 {
        if self.count == 0 {
            return 1.0;
        }
        self.weight / self.count as f64
    }
}

pub(crate) const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A fraction of a duration, truncated to whole microseconds.
pub(crate) fn share_of(span: Time, share: f64) -> Time {
    (span as f64 * share) as Time
}

/// State of a member. Times are by the router's clock unless stated otherwise.
///
/// Serialized into handover records without field names: field order, types and serde attributes must not
/// change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) group: GroupId,
    pub(crate) zone: Arc<str>,
    /// Capacity relative to other members.
    pub(crate) weight: f64,
    pub(crate) status: MemberStatus,
    /// Whether it was listed as draining since its last start. Later lists do not reset this.
    pub(crate) listed_draining: bool,
    /// Time of its last start, by the hosts' clock; 0 if it started long ago.
    pub(crate) started: Time,
    /// When it was first listed with this start time. Not part of the learned state.
    #[serde(skip)]
    pub(crate) listed_at: Time,
    /// When it last recovered from being down by answering a health check.
    pub(crate) recovered_at: Time,
    /// Time of the latest evidence that it is primary; 1 if the endpoint list is the only evidence.
    pub(crate) primary_evidence_at: Time,
    /// Time of the latest evidence that it is a replica.
    pub(crate) replica_evidence_at: Time,
    /// Highest reported replication position, by the hosts' clock.
    pub(crate) position: Time,
    /// Replication lags (microseconds).
    pub(crate) lags: Samples<Time>,
    /// Sojourns (time from send to answer, including queueing) in latency targets, each divided by the number
    /// of attempts in flight at the time of the send, including its own.
    pub(crate) sojourns: Samples<f64>,
    /// Moving average of the undivided sojourns, in latency targets.
    pub(crate) mean_sojourn: f64,
    /// Maximum number of attempts that all routers together may have in flight at this member.
    pub(crate) concurrency_limit: f64,
    /// Pacing: no sends before this time. Used when this router's quota is less than one attempt.
    pub(crate) paced_until: Time,
    /// Attempts of this router in flight at this member.
    pub(crate) in_flight: u32,
    /// Of these, attempts well past their latency target although the member has answered since they were
    /// sent.
    pub(crate) presumed_lost: u32,
    /// Waits of the attempts sent since the member last answered.
    pub(crate) silent_waits: SilentWaits,
    /// When it was last in service or had an attempt in flight.
    pub(crate) last_listed_at: Time,
    /// When it last answered.
    pub(crate) last_heard_at: Time,
    /// When an attempt at this member last hung without an answer.
    pub(crate) last_loss_at: Time,
    /// Whether it is presumed unresponsive, until it answers.
    pub(crate) suspected: bool,
    /// Whether its last health check failed.
    pub(crate) down: bool,
    /// Number of consecutive attempts that were not served.
    pub(crate) consecutive_failures: u32,
    /// Outlier ejection: no sends before this time.
    pub(crate) ejected_until: Time,
    pub(crate) probe_in_flight: bool,
    pub(crate) probed_at: Time,
    /// Tokens in its slow-start bucket (microseconds of latency target) as of `slow_start_refilled_at`.
    pub(crate) slow_start_tokens: f64,
    pub(crate) slow_start_refilled_at: Time,
    /// Salt of the hash that samples new reads for it during slow start. Not part of the learned state.
    #[serde(skip)]
    pub(crate) sampling_salt: u64,
}

impl Member {
    /// Whether the latest evidence says that it is the primary.
    pub(crate) fn is_primary(&self) -> bool {
        self.primary_evidence_at > self.replica_evidence_at
    }
}

/// State of a group. Serialized into handover records under the same constraints as `Member`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Group {
    /// In ascending order.
    pub(crate) members: Vec<MemberId>,
    /// Sequence numbers of the requests in its queue.
    pub(crate) waiting: BTreeSet<u64>,
    /// Times of the latest known commits, by the hosts' clock, in ascending order.
    pub(crate) commits: VecDeque<Time>,
    /// When a request was last sent to a member in order to discover the primary.
    pub(crate) last_discovery_at: Time,
    /// Quota borrowed from other routers or lent to them.
    pub(crate) quota_adjustment: QuotaAdjustment,
    /// Work (microseconds of latency target) that clients offered the group per second, as of
    /// `offered_load_at`. Not part of the learned state.
    #[serde(skip)]
    pub(crate) offered_load: f64,
    #[serde(skip)]
    pub(crate) offered_load_at: Time,
}

/// An attempt, as recorded in its request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) member: MemberId,
    pub(crate) sent: Time,
    pub(crate) in_flight: bool,
    /// Whether the member may have executed it.
    pub(crate) may_have_run: bool,
    /// Whether it was written to the member, as far as its ending shows.
    pub(crate) reached: bool,
    /// When it ended; 0 while it is in flight or if it was cancelled.
    pub(crate) ended_at: Time,
}

/// A request that has no final answer yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    /// Position in arrival order.
    pub(crate) sequence: u64,
    /// Index of the class in the settings.
    pub(crate) class: usize,
    pub(crate) group: GroupId,
    /// Estimated time at which the client first sent the request to any router.
    pub(crate) first_arrived_at: Time,
    /// When the request arrived at this router.
    pub(crate) arrived_at: Time,
    /// When the client stops waiting for the request.
    pub(crate) deadline: Time,
    /// When the request is finished if no attempt has reached a member: after half of its time has passed.
    pub(crate) unsent_deadline: Time,
    /// Replication position that the data must include, by the hosts' clock.
    pub(crate) minimum_position: Option<Time>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// Whether any attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// The first attempt that may have run or may still run.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.in_flight || attempt.may_have_run)
    }

    /// Whether no further attempt can be sent after this time: all attempts are used, or the idempotency
    /// key's window, which starts with the first attempt that may have run, has expired.
    pub(crate) fn is_exhausted(&self, class: &Class, by: Time) -> bool {
        let closes = match self.first_possible_execution() {
            Some(first) if !mutant(RetriedAfterKeyWindow) => class.effect.retry_deadline(first.sent),
            _ => Time::MAX,
        };
        closes <= by || self.attempts.len() >= class.attempts as usize
    }
}

/// Identifies an attempt by its request and its index in send order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: u32,
}

/// An attempt in flight. It is kept until its outcome arrives, even if its request is closed earlier.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) member: MemberId,
    pub(crate) sent: Time,
    pub(crate) class: usize,
    /// Number of other attempts of this router in flight at the member at the time of the send.
    pub(crate) others_in_flight: f64,
}

impl InFlightAttempt {
    /// Whether it was sent so long ago that its answer counts as known even if the answer was lost.
    pub(crate) fn may_be_lost(&self, now: Time) -> bool {
        self.sent <= now - ASSUMED_KNOWN_AFTER
    }
}
