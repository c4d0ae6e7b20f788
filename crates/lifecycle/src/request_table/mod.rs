//! The request table admits requests, steps the router, returns its decisions as commands, and accepts the
//! report of each attempt.
//!
//! It connects the network code with the router. Events for the router are queued in order and passed on in
//! batches, at most one batch per granularity of the settings.
//!
//! A request is **open** until it ends: served or unusable (by a report), rejected or failed (by the router),
//! or abandoned (its client left). An attempt is **in flight** from its command until its report, even if its
//! request has ended. The caller learns from [`RequestTable::report`] whether the host's answer is the final
//! answer for the client: only while the request is open, and never if the answer is too old for the
//! request's session.
//!
//! | file | subject |
//! | --- | --- |
//! | `types.rs` | requests, outcomes and commands, independent of any protocol |
//! | `admission.rs` | admission of requests, and the settings and endpoint list that it depends on |
//! | `steps.rs` | the router's steps, and the resulting commands |
//! | `completion.rs` | reports, abandoned requests, and how each request ends exactly once |
//! | `hosts_clock.rs` | the estimate of the hosts' clock, and checks of times that hosts report |
//! | `sessions.rs` | session consistency: tokens, minimum positions, watermark broadcasts |

mod admission;
mod completion;
mod hosts_clock;
mod sessions;
mod steps;
mod types;

pub use types::{
    AttemptId, AttemptSpec, ClassLookup, DueBroadcasts, Outcome, Request, SessionCounts, SessionRef,
    SessionTracking, SettingsRejected, TableCommand, Tick,
};

use crate::class_table::ClassTable;
use petrelgauge_policy::{
    Ending, Event, GroupId, KnownPrimary, LearnedState, MemberId, QuotaAdjustment, Report, RequestId, Router,
    Settings, SettingsError, SlowStart, Time,
};
use petrelgauge_sessions::{MinimumPosition, SessionKey, SessionTracker};
use std::collections::{BTreeMap, BTreeSet};

/// All requests and attempts of a gateway. Its size is bounded by the requests that clients may have open; an
/// attempt is kept until its report.
#[derive(Clone, Debug)]
pub struct RequestTable {
    router: Router,
    granularity: Time,
    last_step_at: Time,
    timer: Option<RouterTimer>,
    /// Events since the last step, in order. Here the `time_left` of a request holds its deadline as a clock
    /// time; the `took` of an outcome was computed when the outcome was reported.
    pending_events: Vec<Event>,
    next_request_id: u64,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    attempts_in_flight: BTreeMap<AttemptId, AttemptInFlight>,
    /// Groups that the endpoint list has named since the last complete list.
    listed_groups: BTreeSet<GroupId>,
    /// Members of the endpoint list.
    listed_members: BTreeSet<MemberId>,
    classes: ClassTable,
    /// The settings without the classes.
    settings: Settings,
    /// Indexes of classes with sessions.
    session_classes: BTreeSet<usize>,
    session_tracker: Option<SessionTracker>,
    /// Estimated offset of the hosts' clock from the gateway's own clock when the session tracker was last
    /// restarted; positive if the hosts' clock is ahead.
    tracker_offset: Time,
    /// Sessions whose write was abandoned by its client and has not been passed to the session tracker yet.
    unconfirmed_writes: Vec<SessionKey>,
    /// Highest position that each listed member has reported as a replica.
    reported_positions: BTreeMap<MemberId, Time>,
    /// Number of requests admitted so far, for each listed group.
    request_counts: BTreeMap<GroupId, u64>,
}

/// The timer that the router has set.
#[derive(Clone, Copy, Debug)]
struct RouterTimer {
    at: Time,
    token: u64,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    class: usize,
    /// Number of attempts issued so far.
    attempts: u32,
    /// Clock time at which the first attempt that may have run was issued.
    may_have_run_since: Option<Time>,
    /// Whether its client marked it as a retry.
    is_retry: bool,
    session: Option<SessionNeed>,
}

#[derive(Clone, Debug)]
struct AttemptInFlight {
    /// Index of its class.
    class: usize,
    issued_at: Time,
    /// Whether it is the first attempt of a request that is not a client's retry.
    is_first: bool,
    session_write: Option<SessionWrite>,
}

/// A write of a session, carried by an attempt.
#[derive(Clone, Copy, Debug)]
struct SessionWrite {
    key: SessionKey,
    /// Clock time at which its request arrived.
    arrived_at: Time,
}

/// What the session of an open request needs.
#[derive(Clone, Debug)]
struct SessionNeed {
    key: SessionKey,
    arrived_at: Time,
    /// The position that the answer to a read must prove; none for a write.
    minimum_position: Option<MinimumPosition>,
    /// The highest position that the member of the last attempt had reported when that attempt was issued.
    position_at_send: Option<Time>,
}

impl RequestTable {
    /// An empty table. `seed` determines all random choices. Without `sessions` session consistency is
    /// disabled.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn new(
        settings: Settings,
        seed: u64,
        sessions: Option<SessionTracking>,
    ) -> Result<RequestTable, SettingsError> {
        let (session_tracker, session_classes) =
            sessions.map(|SessionTracking { tracker, classes }| (tracker, classes)).unzip();
        Ok(RequestTable {
            granularity: settings.granularity,
            classes: ClassTable::new(settings.classes.clone()),
            session_classes: session_classes.into_iter().flatten().collect(),
            settings: Settings { classes: Vec::new(), ..settings.clone() },
            router: Router::new(settings, seed)?,
            last_step_at: Time::MIN / 2,
            timer: None,
            pending_events: Vec::new(),
            next_request_id: 0,
            open_requests: BTreeMap::new(),
            attempts_in_flight: BTreeMap::new(),
            listed_groups: BTreeSet::new(),
            listed_members: BTreeSet::new(),
            session_tracker,
            tracker_offset: 0,
            unconfirmed_writes: Vec::new(),
            reported_positions: BTreeMap::new(),
            request_counts: BTreeMap::new(),
        })
    }

    /// Number of requests without a final answer.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Number of attempts that have been issued and not reported.
    pub fn in_flight_attempt_count(&self) -> usize {
        self.attempts_in_flight.len()
    }

    /// Whether an attempt may still be sent: its request is open, and its member is known to be fresh enough
    /// for the request, unless members check that by themselves.
    pub fn may_send(&self, now: Time, attempt: &AttemptSpec) -> bool {
        let request = &attempt.id.request;
        self.open_requests.contains_key(request) && self.router.is_fresh(now, request, attempt.host)
    }

    /// Records the announcement of another gateway that this member answered it as the primary of its group,
    /// at time `at` of the hosts' clock. A time in the future is treated as now.
    pub fn record_gossiped_primary(&mut self, now: Time, member: MemberId, at: Time) {
        if self.listed_members.contains(&member) {
            let at = self.router.host_clock().own_time(at).min(now);
            self.pending_events.push(Event::GossipedPrimary { member, at });
        }
    }

    /// Sets the factor by which the interval between attempts to find the primary of a group is multiplied.
    pub fn set_discovery_interval_factor(&mut self, factor: Time) {
        self.settings.discovery_interval_factor = factor.max(1);
        // The settings were valid before, and this value can't make them invalid.
        let _ = self.router.apply_settings(self.settings_with_classes());
    }

    /// Adjusts this gateway's quota of the concurrency limits of a group's members. Takes effect with the
    /// next step of the router.
    pub fn adjust_quota(&mut self, group: GroupId, adjustment: QuotaAdjustment) {
        if self.listed_groups.contains(&group) {
            self.pending_events.push(Event::QuotaAdjusted { group, adjustment });
        }
    }

    /// Number of requests admitted so far, for each group of the endpoint list.
    pub fn requests_by_group(&self) -> BTreeMap<GroupId, u64> {
        self.listed_groups
            .iter()
            .map(|group| (*group, self.request_counts.get(group).copied().unwrap_or(0)))
            .collect()
    }

    /// The slow start of a member as of the last step; none for a member that is not in slow start.
    pub fn slow_start(&self, member: MemberId) -> Option<SlowStart> {
        self.router.slow_start(member)
    }

    /// The group of a member of the endpoint list.
    pub fn group_of(&self, member: MemberId) -> Option<GroupId> {
        self.router.group_of(member)
    }

    /// The known primaries. `evidence_at` is a time of the hosts' clock, which all gateways share.
    pub fn primaries(&self) -> Vec<KnownPrimary> {
        let host_clock = self.router.host_clock();
        let mut primaries = self.router.primaries();
        for primary in &mut primaries {
            primary.evidence_at = host_clock.hosts_time(primary.evidence_at);
        }
        primaries
    }

    /// What the router has learned about the members so far.
    pub fn learned_state(&self) -> LearnedState {
        self.router.learned_state()
    }

    /// Adopts the learned state of another process. To be called before the first endpoint list is applied.
    pub fn adopt_learned_state(&mut self, learned_state: LearnedState) {
        self.router.adopt_learned_state(learned_state);
    }

    /// Records what a member reported at the end of a streamed row, after its attempt had been reported.
    pub fn record_late_report(&mut self, now: Time, host: MemberId, outcome: Outcome) {
        let position = outcome.position.map(|position| position.min(self.latest_hosts_time(now)));
        let report = Report { position, role: outcome.role, ..outcome.report };
        self.pending_events.push(Event::Probed { member: host, ending: Ending::Served, report });
    }
}
