//! Classes of requests: what data they need, what a retry may do, and what an answer is worth.

use super::ids::Time;

/// Span after which the answer of a member counts as known (microseconds; see the protocol page), whether or not
/// it has arrived: a connection may fail silently.
pub const ASSUMED_KNOWN_AFTER: Time = 100_000;

/// What data a request of a class needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// A write: only the primary serves it.
    Write,
    /// All commits from before the request arrived at the router.
    Strong,
    /// Commits up to the request's minimum position.
    Session,
    /// Data no older than this span (microseconds) when the request is sent.
    Bounded(Time),
    /// Any data will do.
    Eventual,
}

impl Need {
    /// The largest age of its data (microseconds), if it is bounded.
    pub fn bound(self) -> Option<Time> {
        match self {
            Need::Bounded(bound) => Some(bound),
            _ => None,
        }
    }
}

/// Whether a retry of a request may have a second effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Idempotent by nature: may be retried freely.
    Safe,
    /// Idempotent by a key: members ignore retries for `window` after the first attempt that may have run.
    Keyed {
        /// How long members remember the key (microseconds).
        window: Time,
        /// Which members remember it.
        scope: Scope,
    },
    /// Not idempotent: must not run twice.
    Unsafe,
}

/// The members that share the memory of an idempotency key.
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
    /// Its name. No decision depends on it.
    pub name: String,
    /// What data it needs.
    pub need: Need,
    /// Whether a retry may have a second effect.
    pub effect: Effect,
    /// Largest number of attempts for one request.
    pub attempts: u32,
    /// Time within which an answer has its full value (microseconds).
    pub latency_target: Time,
    /// How long a client waits in total, over all its attempts (microseconds).
    pub deadline: Time,
    /// Value of an answer within the latency target.
    pub priority_weight: f64,
    /// Share of that value that a later answer has (fraction).
    pub late_share: f64,
}
