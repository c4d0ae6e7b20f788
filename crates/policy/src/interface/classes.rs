//! Request classes: consistency, idempotency, deadlines and priority.

use super::ids::Time;

/// Time after a send at which the member's answer is treated as known, even if it has not arrived
/// (microseconds; specified in the protocol document): a connection may fail silently and lose the answer.
pub const ASSUMED_KNOWN_AFTER: Time = 100_000;

/// The role or data freshness that requests of a class require.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// A write: only the primary serves it.
    Write,
    /// A read that must see every commit made before the request arrived at the router.
    Strong,
    /// A read that must see all commits up to the request's minimum position.
    Session,
    /// A read whose data is at most this old (microseconds) when the request is sent.
    Bounded(Time),
    /// A read without a freshness requirement.
    Eventual,
}

impl Need {
    /// The staleness bound (microseconds) of a bounded read.
    pub fn bound(self) -> Option<Time> {
        match self {
            Need::Bounded(bound) => Some(bound),
            _ => None,
        }
    }
}

/// Whether a request may be retried without taking effect twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Inherently idempotent: may be retried without limit.
    Safe,
    /// Idempotent by key: members deduplicate retries for `window` after the first attempt that may have run.
    Keyed {
        /// How long members retain the idempotency key (microseconds).
        window: Time,
        /// Which members share the key.
        scope: Scope,
    },
    /// Not idempotent: must not be executed twice.
    Unsafe,
}

/// The members that share the record of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scope {
    /// All members.
    All,
    /// Members in the zone of the first attempt's member.
    Zone,
    /// Members of the same group.
    Group,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class. Decisions do not depend on it.
    pub name: String,
    /// Required role or data freshness.
    pub need: Need,
    /// Idempotency of the class's requests.
    pub effect: Effect,
    /// Maximum number of attempts for one request.
    pub attempts: u32,
    /// Time within which an answer has its full value (microseconds).
    pub latency_target: Time,
    /// Total time that a client waits, over all its attempts (microseconds).
    pub deadline: Time,
    /// Value of an answer within the latency target.
    pub priority_weight: f64,
    /// Share of that value that an answer after the latency target retains (fraction).
    pub late_share: f64,
}
