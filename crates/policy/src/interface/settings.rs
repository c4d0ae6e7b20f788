//! The settings of a router and their validation.

use super::classes::{Class, Effect, Need};
use super::ids::Time;

/// What a member does with a read for which it is too far behind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StaleReadPolicy {
    /// It answers from what it has.
    Serve,
    /// It rejects the read at once.
    #[default]
    Reject,
    /// It waits up to this span (microseconds), then rejects it.
    Wait(Time),
}

/// What the endpoint list says of the primary's role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListRole {
    /// Nothing.
    #[default]
    Absent,
    /// As it was at the start.
    Static,
    /// As it was a few seconds ago.
    Trailing,
}

/// Most routers that can serve the same groups (count): a mistyped number would leave each with almost no
/// quota.
const MOST_ROUTERS: u32 = 10_000;

/// The configuration of a router. Spans are in microseconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes; requests name them by place.
    pub classes: Vec<Class>,
    /// How many routers serve these groups, this one included.
    pub routers: u32,
    /// Zone of this router.
    pub zone: String,
    /// Least span between two batches.
    pub granularity: Time,
    /// Most requests that clients can have open at this router.
    pub max_open_requests: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Two attempts of one request may be in flight together (hedged requests).
    pub may_hedge: bool,
    /// Members may be sent health checks.
    pub may_probe: bool,
    /// List changes come only when asked for.
    pub list_on_request: bool,
    /// Longest Retry-After that a rejected client obeys; 0 where none is sent.
    pub max_retry_after: Time,
    /// Span past the client's end in which a final answer still counts.
    pub answer_slack: Time,
    /// Time that a request takes from its client to the router and its rejection back. A rejection of a
    /// request never sent costs more once half of its time is over, by its client's clock.
    pub client_round_trip: Time,
    /// Clock time by which every admitted request has its final answer, whatever its client would wait.
    pub final_answer_by: Time,
    /// Share of its capacity that a member has right after its start (slow start).
    pub slow_start_initial_share: f64,
    /// Span after which a started member has all of its capacity at the latest.
    pub slow_start_span: Time,
    /// A member in slow start fails if it is sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... over this span.
    pub overload_span: Time,
    /// Span in which sends to a draining or removed member must end.
    pub drain_grace: Time,
    /// A router that has not polled the list for this long counts as notified of its changes.
    pub list_poll_interval: Time,
    /// Only a member listed as draining gets no requests, not one merely missing from the list.
    pub soft_removal: bool,
    /// What a member that lags does with a read.
    pub stale_read_policy: StaleReadPolicy,
    /// What the endpoint list says of the primary.
    pub list_role: ListRole,
    /// Longest that a read waits for a replica about to reach its minimum position; 0 where none does.
    pub read_wait_bound: Time,
    /// Primary discovery: factor on the interval between two attempts to find the primary of a group; 1 for a
    /// router that searches alone (count).
    pub discovery_interval_factor: Time,
    /// The router's clock may differ from the hosts' by any span: the difference is then estimated from their
    /// answers.
    pub clock_may_be_wrong: bool,
    /// Price of one crossing of zones a request, as a share of the value of all requests.
    pub crossing_price: f64,
    /// Price of one probe a request, as a share of the value of all requests.
    pub probe_price: f64,
}

impl Default for Settings {
    /// No classes yet; one router that may do nothing but send, with figures that a small installation can
    /// keep.
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
    /// Checks that every figure is in its valid range.
    ///
    /// # Errors
    ///
    /// Fails if there is no class, or names the first class or figure that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(place) = self.classes.iter().position(|class| !is_valid_class(class)) {
            return Err(SettingsError::BadClass(place));
        }
        let figures = [
            (self.classes.iter().all(|class| class.attempts > 0), "the most attempts"),
            ((1..=MOST_ROUTERS).contains(&self.routers), "the number of routers"),
            (self.granularity > 0, "the granularity"),
            (self.discovery_interval_factor > 0, "the factor on the interval of primary discovery"),
            (self.overload_factor > 0.0, "the overload factor"),
            ((0.0..=1.0).contains(&self.slow_start_initial_share), "the cold share"),
        ];
        match figures.iter().find(|(is_valid, _)| !is_valid) {
            Some((_, figure)) => Err(SettingsError::BadFigure(figure)),
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

/// Why a router could not be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingsError {
    /// No class at all.
    NoClasses,
    /// The class of this place has an invalid latency target, deadline, bound, window or value.
    BadClass(usize),
    /// The named figure makes no sense.
    BadFigure(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "the settings name no class"),
            SettingsError::BadClass(i) => write!(f, "class number {i} has a figure that makes no sense"),
            SettingsError::BadFigure(what) => write!(f, "{what} makes no sense"),
        }
    }
}

impl std::error::Error for SettingsError {}
