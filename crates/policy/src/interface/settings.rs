//! The settings of a router and their validation.

use super::classes::{Class, Effect, Need};
use super::ids::Time;

/// What a member does with a read that needs newer data than it has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StaleReadPolicy {
    /// It serves the read from old data.
    Serve,
    /// It rejects the read at once.
    #[default]
    Reject,
    /// It waits up to this span (microseconds), then rejects it.
    Wait(Time),
}

/// How current the roles in the endpoint list are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListRole {
    /// The list has no roles.
    #[default]
    Absent,
    /// The roles are those of the deployment's start.
    Static,
    /// The roles are a few seconds old.
    Trailing,
}

/// Largest number of routers for the same groups (count): a mistyped number would leave each with almost no
/// quota.
const MAX_ROUTERS: u32 = 10_000;

/// The configuration of a router. Spans are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes. Requests refer to them by index.
    pub classes: Vec<Class>,
    /// Number of routers that serve these groups, this one included.
    pub routers: u32,
    /// Zone of this router.
    pub zone: String,
    /// Shortest interval between two steps.
    pub granularity: Time,
    /// Largest number of requests that clients can have open at this router.
    pub max_open_requests: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Two attempts of one request may be in flight together (hedged requests).
    pub may_hedge: bool,
    /// Members may be sent health checks.
    pub may_probe: bool,
    /// Changes of the endpoint list are sent on request only.
    pub list_on_request: bool,
    /// Longest Retry-After that a rejected client obeys; 0 where none is sent.
    pub max_retry_after: Time,
    /// Time after the client's deadline in which a final answer still counts.
    pub answer_slack: Time,
    /// Time that a request takes from its client to the router and its rejection back. The rejection of a request
    /// that was never sent costs more after half of its time, by its client's clock.
    pub client_round_trip: Time,
    /// Clock time by which every admitted request has its final answer, however long its client would wait.
    pub final_answer_by: Time,
    /// Slow start: share of its capacity that a member has right after its start.
    pub slow_start_initial_share: f64,
    /// Slow start: span after which a started member has its full capacity at the latest.
    pub slow_start_span: Time,
    /// Slow start: a member fails if it is sent more than this multiple of its capacity within `overload_span`.
    pub overload_factor: f64,
    /// Slow start: the span to which `overload_factor` applies.
    pub overload_span: Time,
    /// Grace period in which sends to a draining or removed member must end.
    pub drain_grace: Time,
    /// A router that has not polled the list for this long counts as notified of its changes.
    pub list_poll_interval: Time,
    /// A member that is merely missing from the endpoint list still gets requests; a draining one does not.
    pub soft_removal: bool,
    /// What a member does with a read that needs newer data than it has.
    pub stale_read_policy: StaleReadPolicy,
    /// How current the roles in the endpoint list are.
    pub list_role: ListRole,
    /// Longest wait of a read for a replica that is about to reach its minimum position; 0 for none.
    pub read_wait_bound: Time,
    /// Primary discovery: factor on the interval between two attempts to find the primary of a group (count); 1 for
    /// a router that searches alone.
    pub discovery_interval_factor: Time,
    /// The router's clock may differ from the hosts' clock by any span, so the offset is estimated from their answers.
    pub clock_may_be_wrong: bool,
    /// Price of one crossing of zones for each request, as a share of the value of all requests.
    pub crossing_price: f64,
    /// Price of one health check for each request, as a share of the value of all requests.
    pub probe_price: f64,
}

impl Default for Settings {
    /// A single router without classes, which [`Settings::check`] requires, and without optional features.
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
    /// Checks that every value is in its valid range.
    ///
    /// # Errors
    ///
    /// Fails if there is no class; otherwise names the first class or value that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(index) = self.classes.iter().position(|class| !is_valid_class(class)) {
            return Err(SettingsError::BadClass(index));
        }
        let checks = [
            (self.classes.iter().all(|class| class.attempts > 0), "the most attempts"),
            ((1..=MAX_ROUTERS).contains(&self.routers), "the number of routers"),
            (self.granularity > 0, "the granularity"),
            (self.discovery_interval_factor > 0, "the factor on the interval of primary discovery"),
            (self.overload_factor > 0.0, "the overload factor"),
            ((0.0..=1.0).contains(&self.slow_start_initial_share), "the cold share"),
        ];
        match checks.iter().find(|(is_valid, _)| !is_valid) {
            Some((_, name)) => Err(SettingsError::BadFigure(name)),
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

/// Why settings are not valid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// The class with this index has an invalid latency target, deadline, bound, window or value.
    BadClass(usize),
    /// The named value is out of its range.
    BadFigure(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "the settings name no class"),
            SettingsError::BadClass(index) => {
                write!(f, "class number {index} has a figure that makes no sense")
            }
            SettingsError::BadFigure(name) => write!(f, "{name} makes no sense"),
        }
    }
}

impl std::error::Error for SettingsError {}
