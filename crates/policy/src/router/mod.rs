//! The router: its state and one step. The types that it meets the embedding program with (settings, events,
//! actions) are in `interface.rs`; read that first. The state is plain data in `state.rs`. Each file here
//! decides one concern.

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

use crate::fleet_clock::FleetClock;
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

/// A time before all others, with room to subtract from.
const NEVER: Time = Time::MIN / 2;
/// Requests' worth of probes that a router starts with (count), as it may start in the middle of a fault.
const INITIAL_PROBE_REQUESTS: f64 = 100.0;
/// Shortest span between two notes in the log (microseconds).
const LOG_INTERVAL: Time = 200_000;

/// Token buckets that requests fill.
#[derive(Clone, Debug, Default)]
struct Budgets {
    /// What may be spent on probes, in the unit of `Settings::probe_price`.
    probes: f64,
    /// Requests that may be sent to suspected members (count).
    trials: f64,
}

/// One router: feed it events, carry out its actions.
#[derive(Clone, Debug, Default)]
pub struct Router {
    settings: Settings,
    /// This router's even part in the limits of the members (fraction).
    base_quota: f64,
    pub(crate) rng: SeededRng,
    /// The hosts' clock in relation to `now`.
    pub(crate) fleet_clock: FleetClock,
    /// Time of the current step.
    pub(crate) now: Time,
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    /// Requests without a final answer, by sequence number.
    requests: BTreeMap<u64, Request>,
    /// The sequence numbers of these requests.
    sequences: BTreeMap<RequestId, u64>,
    in_flight: InFlightAttempts,
    next_sequence: u64,
    /// Median of the time that first tries of each class come with (microseconds).
    typical_time_left: Vec<Time>,
    /// A timer is set.
    is_timer_set: bool,
    /// When the list was last subscribed to.
    list_watched_at: Time,
    budgets: Budgets,
    /// Silence that raises suspicion where members can be probed: half the longest latency target
    /// (microseconds).
    silence_threshold: Time,
    /// Shortest latency target of all classes (microseconds).
    pub(crate) shortest_latency_target: Time,
    /// When a note was last logged.
    logged_at: Time,
    /// Notes that were not logged since then (count).
    suppressed_notes: u32,
    /// Load of the members as a whole.
    pub(crate) load: LoadState,
    /// Members that are in service and not down.
    available: AvailableMembers,
    /// When health was last checked.
    pub(crate) watched_at: Time,
    pub(crate) indexes: Indexes,
    scan_counts: ScanCounts,
    /// Actions of the current step.
    actions: Vec<Action>,
}

impl Router {
    /// A router that knows nothing yet. The seed is its only source of random numbers.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid; see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        let mut router = Router {
            rng: SeededRng::seed_from_u64(seed),
            list_watched_at: NEVER,
            budgets: Budgets { probes: INITIAL_PROBE_REQUESTS * PROBE_BUDGET_SHARE, trials: 0.0 },
            logged_at: NEVER,
            watched_at: NEVER,
            ..Router::default()
        };
        router.apply_settings(settings)?;
        Ok(router)
    }

    /// Replaces the settings. Classes of open requests and of attempts in flight must keep their places.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid; those before them stay in force then.
    pub fn apply_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let latency_targets = || settings.classes.iter().map(|class| class.latency_target);
        self.silence_threshold = latency_targets().max().unwrap_or(0) / 2;
        self.shortest_latency_target = latency_targets().min().unwrap_or(0);
        self.typical_time_left = vec![0; settings.classes.len()];
        self.base_quota = concurrency::even_quota(settings.routers);
        self.fleet_clock.set_enabled(settings.clock_may_be_wrong);
        self.settings = settings;
        self.indexes.outdate_available();
        Ok(())
    }

    /// What is known of the hosts' clock. Times that cross machines are compared through it alone.
    pub fn fleet_clock(&self) -> &FleetClock {
        &self.fleet_clock
    }

    /// What the health checks have scanned so far.
    pub fn scan_counts(&self) -> ScanCounts {
        self.scan_counts
    }

    /// For whoever receives the hosts' answers, to pass on what they show of the hosts' clock when they
    /// arrive.
    pub fn fleet_clock_mut(&mut self) -> &mut FleetClock {
        &mut self.fleet_clock
    }

    /// Takes one batch of events, all at `now`, and appends what is to be done.
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

    /// Makes sure of another step while requests are open.
    fn set_timer(&mut self) {
        if !self.is_timer_set && !self.requests.is_empty() {
            self.is_timer_set = true;
            self.actions.push(Action::Timer { token: 0, at: self.now + 2 * self.settings.granularity });
        }
    }

    /// Subscribes to the list again, where its changes come only on request.
    fn watch_list(&mut self) {
        if self.settings.list_on_request
            && self.now - self.list_watched_at > self.settings.list_poll_interval / 2
        {
            self.list_watched_at = self.now;
            self.actions.push(Action::WatchList);
        }
    }

    /// Logs a note, unless another was logged less than `LOG_INTERVAL` ago.
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
