//! The request table: requests are admitted, the router's decisions are returned as orders, attempts are reported, and
//! each request ends once.
//!
//! It connects the code that serves connections with the router, which is stepped with batches of events. Events are
//! queued in order and passed on in batches, at most one per granularity of the settings.
//!
//! A request is **open** until it ends: served or unusable (by a report), rejected or failed (by the router), or abandoned
//! (its client left). An attempt is **in flight** from its order until its report, also when its request has ended. The
//! caller learns from the report whether the host's answer is the final answer for the client: only while the request is
//! open, and never if the answer is too old for the request's session.
//!
//! | file | concern |
//! | --- | --- |
//! | `types.rs` | requests, outcomes and orders, independent of any protocol |
//! | `admission.rs` | input: requests, settings, endpoint lists |
//! | `steps.rs` | the router's steps, and the orders that follow from them |
//! | `completion.rs` | reports, abandoned requests, the one end of each request |
//! | `hosts_clock.rs` | what hosts report about their clock, and times that cross machines |
//! | `sessions.rs` | session consistency: tokens, minimum positions, watermark broadcasts |

mod admission;
mod completion;
mod hosts_clock;
mod sessions;
mod steps;
mod types;

pub use types::{Order, Outcome, Request, Send, SessionRef, SessionTracking, SettingsRejected};

use crate::class_table::ClassTable;
use petrelgauge_policy::*;
use petrelgauge_sessions::{MinimumPosition, SessionKey, SessionTracker};
use std::collections::{BTreeMap, BTreeSet};

/// All requests and attempts of a gateway. Bounded by the requests that clients may have open; an attempt stays until its
/// report.
#[derive(Clone, Debug)]
pub struct RequestTable {
    router: Router,
    granularity: Time,
    stepped_at: Time,
    timer_at: Option<(Time, u64)>,
    /// Events since the last step, in order. The `time_left` of a request is its deadline here, as a clock time; the
    /// `took` of an outcome was computed when it was reported.
    queue: Vec<Event>,
    next_id: u64,
    open: BTreeMap<RequestId, OpenRequest>,
    in_flight: BTreeMap<(RequestId, u32), AttemptInFlight>,
    groups: BTreeSet<GroupId>,
    /// Members of the endpoint list.
    listed: BTreeSet<MemberId>,
    classes: ClassTable,
    /// The settings without the classes.
    settings: Settings,
    /// Indexes of classes with sessions.
    session_classes: BTreeSet<usize>,
    session_tracker: Option<SessionTracker>,
    /// By how much the hosts' clock was estimated to be ahead of the own one when the session tracker was last restarted.
    tracker_offset: Time,
    /// Sessions with writes that their clients abandoned since the time was last known.
    unconfirmed_writes: Vec<SessionKey>,
    /// Highest position that each listed member has reported.
    reported_positions: BTreeMap<MemberId, Time>,
    /// Requests for each listed group so far.
    request_counts: BTreeMap<GroupId, u64>,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    class: usize,
    attempts: u32,
    /// When the first attempt that may have run was ordered.
    may_have_run_since: Option<Time>,
    /// Its client marked it as a retry.
    is_retry: bool,
    session: Option<SessionNeed>,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
struct AttemptInFlight {
    /// Index of its class.
    class: usize,
    /// When it was ordered.
    at: Time,
    /// The first attempt of a request that is not a client's retry.
    first: bool,
    /// The session that it writes for, and when its request arrived.
    writes: Option<(SessionKey, Time)>,
}

/// What the session of an open request needs.
#[derive(Clone, Debug)]
struct SessionNeed {
    key: SessionKey,
    arrived: Time,
    /// The position that the answer to a read must prove; none for a write.
    minimum_position: Option<MinimumPosition>,
    /// The highest position that the member of the last attempt had reported when that was ordered.
    position_at_send: Option<Time>,
}

impl RequestTable {
    /// A request table with these settings that tracks sessions for the classes with these indexes, if any. All random
    /// choices follow from the seed.
    ///
    /// # Errors
    ///
    /// The settings are invalid.
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
            stepped_at: Time::MIN / 2,
            timer_at: None,
            queue: Vec::new(),
            next_id: 0,
            open: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            groups: BTreeSet::new(),
            listed: BTreeSet::new(),
            session_tracker,
            tracker_offset: 0,
            unconfirmed_writes: Vec::new(),
            reported_positions: BTreeMap::new(),
            request_counts: BTreeMap::new(),
        })
    }

    /// Number of requests without a final answer.
    pub fn open_request_count(&self) -> usize {
        self.open.len()
    }

    /// Number of attempts that have been ordered and not reported.
    pub fn in_flight_attempt_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether the request has not ended.
    pub fn is_open(&self, request: &RequestId) -> bool {
        self.open.contains_key(request)
    }

    /// Whether an attempt may still be written now: its request is open, and the member's data are known to be fresh enough
    /// where members don't check that by themselves.
    pub fn may_send(&self, now: Time, send: &Send) -> bool {
        self.is_open(&send.request) && self.router.is_fresh(now, &send.request, send.host)
    }

    /// Another gateway had an answer of this member as the primary of its group, at this time of the hosts' clock. A time in
    /// the future counts as now.
    pub fn gossiped_primary(&mut self, now: Time, member: MemberId, at: Time) {
        if self.listed.contains(&member) {
            let at = self.router.fleet_clock().own_time(at).min(now);
            self.queue.push(Event::GossipedPrimary { member, at });
        }
    }

    /// Multiplies the interval at which members of a group without a primary are tried.
    pub fn set_discovery_interval_factor(&mut self, times: Time) {
        self.settings.discovery_interval_factor = times.max(1);
        // The settings were valid before, and this value can't make them invalid.
        let _ = self.router.apply_settings(self.settings_with_classes());
    }

    /// What this gateway may use of the limits of a group's members.
    pub fn adjust_quota(&mut self, group: GroupId, adjustment: QuotaAdjustment) {
        if self.groups.contains(&group) {
            self.queue.push(Event::QuotaAdjusted { group, adjustment });
        }
    }

    /// Requests so far for each group of the endpoint list.
    pub fn requests_by_group(&self) -> BTreeMap<GroupId, u64> {
        self.groups
            .iter()
            .map(|group| (*group, self.request_counts.get(group).copied().unwrap_or(0)))
            .collect()
    }

    /// Where a member stands in its slow start, as of the last step; none for one that is warm.
    pub fn slow_start(&self, member: MemberId) -> Option<SlowStart> {
        self.router.slow_start(member)
    }

    /// The group of a member of the endpoint list.
    pub fn group_of(&self, member: MemberId) -> Option<GroupId> {
        self.router.group_of(member)
    }

    /// The known primaries. Their evidence has its time by the hosts' clock, which all gateways share.
    pub fn primaries(&self) -> Vec<KnownPrimary> {
        let fleet_clock = self.router.fleet_clock();
        let mut primaries = self.router.primaries();
        for primary in &mut primaries {
            primary.evidence_at = fleet_clock.hosts_time(primary.evidence_at);
        }
        primaries
    }

    /// What the router has learned about the members so far.
    pub fn learned_state(&self) -> LearnedState {
        self.router.learned_state()
    }

    /// Starts from what another process has learned; to be called before the first endpoint list.
    pub fn adopt_learned_state(&mut self, learned_state: LearnedState) {
        self.router.adopt_learned_state(learned_state);
    }

    /// A member reported this after its attempt had been reported: at the end of a streamed row.
    pub fn record_late_report(&mut self, now: Time, host: MemberId, outcome: Outcome) {
        let position = outcome.position.map(|position| position.min(self.hosts_now(now)));
        let report = Report { position, role: outcome.role, ..outcome.report };
        self.queue.push(Event::Probed { member: host, ending: Ending::Served, report });
    }
}
