//! The router: its state and the processing of a step. Start reading at `interface.rs`, which has the types
//! shared with the embedding program (settings, events, actions). The state is plain data in `state.rs`; each
//! file in this module handles one concern.

mod admission;
mod bookkeeping;
mod completion;
mod concurrency;
mod dispatch;
mod endpoints;
mod evidence;
mod freshness;
mod health;
mod load;
mod outcomes;
mod overload;
mod primary;
mod queue;
mod reads;
mod sampled_reads;
mod selection;
mod slow_start;
mod token_bucket;
mod zones;

pub use slow_start::SlowStart;

use crate::host_clock::HostClock;
use crate::in_flight::InFlightAttempts;
use crate::indexes::Indexes;
use crate::interface::{
    Action, Event, GroupId, LogEntry, MemberId, Note, RequestId, Role, ScanCounts, Settings, SettingsError,
    Time,
};
use crate::state::{AvailableMembers, Group, LoadState, Member, Request, SeededRng};
use admission::PROBE_BUDGET_SHARE;
use evidence::Evidence;
use std::collections::BTreeMap;

/// A time before all others that leaves room for subtraction.
const NEVER: Time = Time::MIN / 2;
/// Initial health check budget of a new router, in the refills of this many requests: a router may start in
/// the middle of a fault.
const INITIAL_PROBE_REQUESTS: f64 = 100.0;
/// Minimum interval between two notes in the log (microseconds).
const LOG_INTERVAL: Time = 200_000;

/// Budgets that are refilled by each admitted request.
#[derive(Clone, Debug, Default)]
struct Budgets {
    /// Budget for health checks, in the unit of `Settings::probe_price`.
    probes: f64,
    /// Budget for trials: number of requests that may be sent to suspected members.
    trials: f64,
}

/// A router. The embedding program passes events to [`Router::step`] and executes the returned actions.
#[derive(Clone, Debug, Default)]
pub struct Router {
    settings: Settings,
    /// Even quota of the members' concurrency limits, before adjustment (fraction).
    base_quota: f64,
    pub(crate) rng: SeededRng,
    /// Estimate of the hosts' clock relative to `now`.
    pub(crate) host_clock: HostClock,
    /// Time of the current step.
    pub(crate) now: Time,
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    /// Requests without a final answer, by sequence number.
    requests: BTreeMap<u64, Request>,
    /// The sequence numbers of these requests, by request identifier.
    sequences: BTreeMap<RequestId, u64>,
    in_flight: InFlightAttempts,
    next_sequence: u64,
    /// For each class, the running median of the time left with which first attempts arrive (microseconds).
    typical_time_left: Vec<Time>,
    is_timer_set: bool,
    /// When the endpoint list was last subscribed to.
    list_watched_at: Time,
    budgets: Budgets,
    /// Silence from which a member is suspected if health checks are enabled: half of the longest latency
    /// target (microseconds).
    silence_threshold: Time,
    /// Shortest latency target of all classes (microseconds).
    pub(crate) shortest_latency_target: Time,
    /// When a note was last logged.
    logged_at: Time,
    /// Number of notes suppressed since then.
    suppressed_notes: u32,
    /// Aggregate load of all members.
    pub(crate) load: LoadState,
    /// Members that are in service and not down, as of the last check of their health.
    available: AvailableMembers,
    /// When health was last checked.
    pub(crate) health_checked_at: Time,
    pub(crate) indexes: Indexes,
    scan_counts: ScanCounts,
    /// Actions produced by the current step.
    actions: Vec<Action>,
}

impl Router {
    /// Creates a router without any state. The seed determines all its random numbers.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid; see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        let mut router = Router {
            rng: SeededRng::seed_from_u64(seed),
            list_watched_at: NEVER,
            budgets: Budgets { probes: INITIAL_PROBE_REQUESTS * PROBE_BUDGET_SHARE, trials: 0.0 },
            logged_at: NEVER,
            health_checked_at: NEVER,
            ..Router::default()
        };
        router.apply_settings(settings)?;
        Ok(router)
    }

    /// Replaces the settings. The [classes in use](Router::classes_in_use) must keep their indexes, and so
    /// must those in events that have not been passed to [`Router::step`] yet.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid; the previous settings then remain in effect.
    pub fn apply_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let latency_targets = || settings.classes.iter().map(|class| class.latency_target);
        self.silence_threshold = latency_targets().max().unwrap_or(0) / 2;
        self.shortest_latency_target = latency_targets().min().unwrap_or(0);
        self.typical_time_left = vec![0; settings.classes.len()];
        self.base_quota = concurrency::even_quota(settings.routers);
        self.host_clock.set_enabled(settings.clock_may_be_wrong);
        self.settings = settings;
        self.indexes.mark_available_changed();
        Ok(())
    }

    /// The indexes of the classes of all requests and attempts whose end the router has not been told yet. An
    /// index may occur more than once.
    pub fn classes_in_use(&self) -> impl Iterator<Item = usize> + '_ {
        let requests = self.requests.values().map(|request| request.class);
        requests.chain(self.in_flight.iter().map(|attempt| attempt.class))
    }

    /// The estimate of the hosts' clock. Times of different machines must be compared only through it.
    pub fn host_clock(&self) -> &HostClock {
        &self.host_clock
    }

    /// Mutable access to the estimate of the hosts' clock, so that the embedding program can record the times
    /// in hosts' answers when they arrive.
    pub fn host_clock_mut(&mut self) -> &mut HostClock {
        &mut self.host_clock
    }

    /// Number of entries scanned by the health checks so far.
    pub fn scan_counts(&self) -> ScanCounts {
        self.scan_counts
    }

    /// Processes a batch of events at the time `now` and appends the actions to execute.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            self.handle_event(event);
        }
        self.check_health();
        self.expire_requests();
        self.evict_lowest_priority();
        for group in self.indexes.waiting_groups() {
            self.dispatch_queue(group);
        }
        self.set_timer();
        self.watch_list();
        actions.append(&mut self.actions);
    }

    fn handle_event(&mut self, event: &Event) {
        match event {
            Event::List { update, entries } => self.update_endpoints(*update, entries),
            Event::Request(arrival) => self.admit_request(arrival),
            Event::Outcome(outcome) => self.record_outcome(outcome),
            Event::MinimumPositionLowered { request, minimum_position } => {
                self.lower_minimum_position(request, *minimum_position)
            }
            Event::Abandoned { request } => self.abandon(request),
            Event::GossipedPrimary { member, at } => {
                let evidence = Evidence { position: None, role: Some(Role::Primary), role_at: Some(*at) };
                self.record_evidence(*member, evidence);
            }
            Event::QuotaAdjusted { group, adjustment } => {
                self.groups.entry(*group).or_default().quota_adjustment = *adjustment
            }
            Event::Probed { member, ending, report } => self.record_probe(*member, *ending, report),
            Event::Timer { .. } => self.is_timer_set = false,
        }
    }

    /// Sets a timer for another step while requests are open.
    fn set_timer(&mut self) {
        if !self.is_timer_set && !self.requests.is_empty() {
            self.is_timer_set = true;
            self.actions.push(Action::Timer { token: 0, at: self.now + 2 * self.settings.granularity });
        }
    }

    /// Renews the subscription to the endpoint list if changes are sent only on request.
    fn watch_list(&mut self) {
        if self.settings.list_on_request
            && self.now - self.list_watched_at > self.settings.list_poll_interval / 2
        {
            self.list_watched_at = self.now;
            self.actions.push(Action::WatchList);
        }
    }

    /// Logs a note, unless another one was logged within the last `LOG_INTERVAL`.
    fn log_note(&mut self, note: Note) {
        if self.now - self.logged_at <= LOG_INTERVAL {
            self.suppressed_notes += 1;
            return;
        }
        self.logged_at = self.now;
        let suppressed = std::mem::take(&mut self.suppressed_notes);
        self.actions.push(Action::Log(LogEntry { note, suppressed }));
    }
}
