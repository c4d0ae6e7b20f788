//! Classes of requests: the data they need, the effect of a retry, and the value of an answer.

use super::ids::Time;

/// Span after which what a member has answered counts as known (microseconds; see the protocol page), whether
/// or not the answer has arrived: a connection may fail silently.
pub const ASSUMED_KNOWN_AFTER: Time = 100_000;

/// What data a request of a class needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// A write: only the primary takes it.
    Write,
    /// All commits before the request reached the router.
    Strong,
    /// Commits up to the request's minimum position.
    Session,
    /// Data no older than this span when it is sent.
    Bounded(Time),
    /// Any data will do.
    Eventual,
}

impl Need {
    /// How old its data may be, where that is bounded by a span.
    pub fn bound(self) -> Option<Time> {
        match self {
            Need::Bounded(bound) => Some(bound),
            _ => None,
        }
    }
}

/// What a retry of a request does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May be retried freely.
    Safe,
    /// Idempotent by a key: members drop retries for `window` after the first attempt that may have run.
    Keyed {
        /// How long the key is remembered.
        window: Time,
        /// Where it is remembered.
        scope: Scope,
    },
    /// Must not run twice.
    Unsafe,
}

/// Members that share the memory of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scope {
    /// All members.
    All,
    /// Members in the zone of the first attempt.
    Zone,
    /// Members of the same group.
    Group,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name; never looked at by the decisions.
    pub name: String,
    /// What data it needs.
    pub need: Need,
    /// What a retry does.
    pub effect: Effect,
    /// Most attempts for one request.
    pub attempts: u32,
    /// An answer within this span has the full value (microseconds).
    pub latency_target: Time,
    /// How long a client waits in all, over all its attempts (microseconds).
    pub deadline: Time,
    /// Value of an answer within the latency target.
    pub priority_weight: f64,
    /// Share of the value of an answer after the latency target.
    pub late_share: f64,
}
