//! Settings of a router and their validation.

use super::classes::{Class, Effect, Need};
use super::ids::Time;

/// How members handle a read that requires newer data than they have.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StaleReadPolicy {
    /// The member serves the read from stale data.
    Serve,
    /// The member rejects the read immediately.
    #[default]
    Reject,
    /// The member waits up to this long (microseconds) for newer data, then rejects the read.
    Wait(Time),
}

/// Whether the endpoint list contains roles, and how current they are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListRole {
    /// The list contains no roles.
    #[default]
    Absent,
    /// The roles are those at the start of the deployment and are never updated.
    Static,
    /// The roles are updated with a delay of a few seconds.
    Trailing,
}

/// Maximum number of routers that serve the same groups. A larger number is assumed to be a typing error,
/// which would leave each router with almost no quota.
const MAX_ROUTERS: u32 = 10_000;

/// Configuration of a router. Durations are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes. Requests refer to them by index.
    pub classes: Vec<Class>,
    /// Number of routers that serve the same groups, including this one.
    pub routers: u32,
    /// Zone in which this router runs.
    pub zone: String,
    /// Minimum interval between two steps.
    pub granularity: Time,
    /// Maximum number of requests that clients can have open at this router.
    pub max_open_requests: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether two attempts of a request may be in flight at the same time (hedged requests).
    pub may_hedge: bool,
    /// Whether health checks may be sent to members.
    pub may_probe: bool,
    /// Whether changes of the endpoint list are sent only on request.
    pub list_on_request: bool,
    /// Maximum Retry-After that rejected clients honor; 0 if none is sent.
    pub max_retry_after: Time,
    /// Time after the client's deadline during which a final answer is still accepted.
    pub answer_slack: Time,
    /// Time for a request to travel from its client to the router and for its rejection to travel back.
    /// Rejecting a request that was never sent costs more once half of its time has passed by the client's
    /// clock.
    pub client_round_trip: Time,
    /// Clock time by which every admitted request gets its final answer, regardless of its own deadline.
    pub final_answer_by: Time,
    /// Slow start: share of its full capacity that a member has immediately after its start.
    pub slow_start_initial_share: f64,
    /// Slow start: maximum time from a member's start until it has its full capacity.
    pub slow_start_span: Time,
    /// Slow start: a member fails if it receives more than this multiple of its capacity within
    /// `overload_span`.
    pub overload_factor: f64,
    /// Slow start: the time window that `overload_factor` refers to.
    pub overload_span: Time,
    /// Grace period after which nothing more may be sent to a draining or removed member.
    pub drain_grace: Time,
    /// A router that has not polled the list for this long is treated as notified of its changes.
    pub list_poll_interval: Time,
    /// Whether a member that is only missing from the endpoint list still receives requests. A draining
    /// member never does.
    pub soft_removal: bool,
    /// How members handle a read that requires newer data than they have.
    pub stale_read_policy: StaleReadPolicy,
    /// Whether the endpoint list contains roles, and how current they are.
    pub list_role: ListRole,
    /// Maximum time that a read waits for a replica that is about to reach its minimum position; 0 disables
    /// waiting.
    pub read_wait_bound: Time,
    /// Primary discovery: multiplier of the interval between two attempts to find the primary of a group; 1
    /// for a router that is the only one to search.
    pub discovery_interval_factor: Time,
    /// Whether the router's clock may differ from the hosts' clock by any amount, so that the offset has to
    /// be estimated from the hosts' answers.
    pub clock_may_be_wrong: bool,
    /// Cost of one cross-zone send per request, as a share of the value of all requests.
    pub crossing_price: f64,
    /// Cost of one health check per request, as a share of the value of all requests.
    pub probe_price: f64,
}

impl Default for Settings {
    /// A single router without optional features. It has no classes, so [`Settings::check`] fails until at
    /// least one is added.
    fn default() -> Settings {
        Settings {
            classes: Vec::new(),
            routers: 1,
            zone: String::new(),
            granularity: 5_000,
            max_open_requests: 20_000,
            may_cancel: true,
            may_hedge: false,
            may_probe: false,
            list_on_request: false,
            max_retry_after: 500_000,
            answer_slack: 20_000,
            client_round_trip: 0,
            final_answer_by: Time::MAX,
            slow_start_initial_share: 0.2,
            slow_start_span: 10_000_000,
            overload_factor: 4.0,
            overload_span: 3_000_000,
            drain_grace: 250_000,
            list_poll_interval: 10_000_000,
            soft_removal: false,
            stale_read_policy: StaleReadPolicy::Reject,
            list_role: ListRole::Trailing,
            read_wait_bound: 0,
            discovery_interval_factor: 1,
            clock_may_be_wrong: false,
            crossing_price: 0.0,
            probe_price: 0.0,
        }
    }
}

impl Settings {
    /// Checks that every value is within its valid range.
    ///
    /// # Errors
    ///
    /// Fails if there are no classes; otherwise reports the first class or value that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(index) = self.classes.iter().position(|class| !is_valid_class(class)) {
            return Err(SettingsError::InvalidClass(index));
        }
        let checks = [
            (self.classes.iter().all(|class| class.attempts > 0), "the maximum number of attempts"),
            ((1..=MAX_ROUTERS).contains(&self.routers), "the number of routers"),
            (self.granularity > 0, "the granularity"),
            (self.discovery_interval_factor > 0, "the primary discovery interval factor"),
            (self.overload_factor > 0.0, "the overload factor"),
            ((0.0..=1.0).contains(&self.slow_start_initial_share), "the initial slow start share"),
        ];
        match checks.iter().find(|(is_valid, _)| !is_valid) {
            Some((_, name)) => Err(SettingsError::InvalidValue(name)),
            None => Ok(()),
        }
    }
}

fn is_valid_class(class: &Class) -> bool {
    let has_valid_window = !matches!(class.effect, Effect::Keyed { window, .. } if window < 0);
    let has_valid_bound = !matches!(class.need, Need::Bounded(bound) if bound < 0);
    let has_valid_times = class.latency_target > 0 && class.deadline >= class.latency_target;
    let has_valid_weight = class.priority_weight.is_finite() && class.priority_weight >= 0.0;
    has_valid_window && has_valid_bound && has_valid_times && has_valid_weight && class.late_share.is_finite()
}

/// The reason why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingsError {
    /// No classes are defined.
    NoClasses,
    /// The class at this index has an invalid latency target, deadline, staleness bound, idempotency window
    /// or value.
    InvalidClass(usize),
    /// The named value is out of range.
    InvalidValue(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "no request classes are defined"),
            SettingsError::InvalidClass(index) => {
                write!(f, "class number {index} has a value that is out of range")
            }
            SettingsError::InvalidValue(name) => write!(f, "{name} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}
