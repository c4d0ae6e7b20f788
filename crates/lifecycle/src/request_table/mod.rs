//! The request table: requests come in, decisions go out, attempts are reported, and each request ends once.
//!
//! It stands between the decision module, which is stepped with batches of events, and whoever serves connections.
//! What comes in is kept in order and handed over in batches, at most one per granularity.
//!
//! A request is **open** until it has its one end: served or unusable (by a report), refused or failed (by the
//! module), or withdrawn (its client left). An attempt is **out** from its order until its report, also when its
//! request has ended. A report tells whether its answer is owed to the client: only while the request is open, and
//! never if the session of the request would find it too old.
//!
//! | file | concern |
//! | --- | --- |
//! | `types.rs` | requests, outcomes, orders, in no protocol's words |
//! | `admission.rs` | what is taken in: requests, settings, lists |
//! | `steps.rs` | the decisions' steps, and what they order |
//! | `completion.rs` | reports, withdrawals, the one end of each request |
//! | `hosts_clock.rs` | what hosts tell of their clock, and times that cross machines |
//! | `sessions.rs` | what sessions are owed, and what gateways tell each other of them |

mod admission;
mod completion;
mod hosts_clock;
mod sessions;
mod steps;
mod types;

pub use types::{Order, Outcome, Request, Send, SessionRef, SettingsRejected};

use crate::class_table::ClassTable;
use petrelgauge_policy::*;
use petrelgauge_sessions::{MinimumPosition, SessionKey, SessionTracker};
use std::collections::{BTreeMap, BTreeSet};

/// All requests and attempts of a gateway. Bounded by what clients may hold open; an attempt stays until its report.
#[derive(Clone, Debug)]
pub struct RequestTable {
    router: Router,
    granularity: Time,
    stepped_at: Time,
    timer_at: Option<(Time, u64)>,
    /// What came in since the last step, in order. A request's `time_left` is its end here, as a clock time;
    /// an outcome's `took` is the span when it came in.
    queue: Vec<Event>,
    next: u64,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<(RequestId, u32), OutAttempt>,
    groups: BTreeSet<GroupId>,
    /// Members that the list names.
    listed: BTreeSet<MemberId>,
    rules: ClassTable,
    /// What holds beside the classes.
    settings: Settings,
    /// Places of classes that carry sessions.
    carrying: BTreeSet<usize>,
    session_tracker: Option<SessionTracker>,
    /// How far the hosts' clock was taken to be ahead of the own one when the session tracker last started over.
    tracker_offset: Time,
    /// Sessions whose writes were given up by their clients since the last look at the clock.
    unsure: Vec<SessionKey>,
    /// Highest position that each listed member told.
    told: BTreeMap<MemberId, Time>,
    /// Requests that came for each listed group so far.
    asked: BTreeMap<GroupId, u64>,
}

#[derive(Clone, Debug)]
struct Open {
    class: usize,
    attempts: u32,
    /// When the first attempt was ordered that may have run.
    ran_from: Option<Time>,
    /// Its client marked it as a repeat.
    is_retry: bool,
    watch: Option<SessionWatch>,
}

/// An attempt that is out.
#[derive(Clone, Debug)]
struct OutAttempt {
    /// Place of its class.
    class: usize,
    /// When it was ordered.
    at: Time,
    /// The first attempt of a request that is no client's repeat.
    first: bool,
    /// The session that it writes for, and when its request came.
    writes: Option<(SessionKey, Time)>,
}

/// What is owed to the session of an open request.
#[derive(Clone, Debug)]
struct SessionWatch {
    key: SessionKey,
    arrived: Time,
    /// What a read must prove; none for a write.
    floor: Option<MinimumPosition>,
    /// What the member had told when the last attempt went out.
    before: Option<Time>,
}

impl RequestTable {
    /// A desk for these settings that keeps sessions for the classes of these places, if any. The seed is its only
    /// source of chance.
    pub fn new(
        settings: Settings,
        seed: u64,
        sessions: Option<(SessionTracker, Vec<usize>)>,
    ) -> Result<RequestTable, SettingsError> {
        let (session_tracker, places) = sessions.unzip();
        let places = places.unwrap_or_default();
        Ok(RequestTable {
            granularity: settings.granularity,
            rules: ClassTable::new(settings.classes.clone()),
            carrying: places.into_iter().collect(),
            settings: Settings { classes: Vec::new(), ..settings.clone() },
            router: Router::new(settings, seed)?,
            stepped_at: Time::MIN / 2,
            timer_at: None,
            queue: Vec::new(),
            next: 0,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            groups: BTreeSet::new(),
            listed: BTreeSet::new(),
            session_tracker,
            tracker_offset: 0,
            unsure: Vec::new(),
            told: BTreeMap::new(),
            asked: BTreeMap::new(),
        })
    }

    /// Requests without an end, and attempts without a report.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.open.len(), self.out.len())
    }

    /// Whether the request still waits for its end.
    pub fn is_open(&self, request: &RequestId) -> bool {
        self.open.contains_key(request)
    }

    /// Whether an attempt may still be written, as of now: its request waits for its end, and what it would read at its
    /// member is known to be fresh enough where members do not check that for themselves.
    pub fn may_send(&self, now: Time, send: &Send) -> bool {
        self.is_open(&send.request) && self.router.is_fresh(now, &send.request, send.host)
    }

    /// Another gateway had an answer of this member as its group's primary, at a time of the hosts' clock. No word is of a
    /// time to come.
    pub fn gossiped_primary(&mut self, now: Time, member: MemberId, at: Time) {
        if self.listed.contains(&member) {
            let at = self.router.fleet_clock().own_time(at).min(now);
            self.queue.push(Event::GossipedPrimary { member, at });
        }
    }

    /// Members of a group without a primary are tried so many times as rarely as usual from now on.
    pub fn set_discovery_interval_factor(&mut self, times: Time) {
        self.settings.discovery_interval_factor = times.max(1);
        // They were sound before.
        let _ = self.router.apply_settings(admission::with_all_classes(&self.settings, &self.rules));
    }

    /// What this router may use of the limits of a group's members.
    pub fn adjust_quota(&mut self, group: GroupId, adjustment: QuotaAdjustment) {
        if self.groups.contains(&group) {
            self.queue.push(Event::QuotaAdjusted { group, adjustment });
        }
    }

    /// Requests that came for each group that the list names.
    pub fn requests_by_group(&self) -> BTreeMap<GroupId, u64> {
        self.groups.iter().map(|group| (*group, self.asked.get(group).copied().unwrap_or(0))).collect()
    }

    /// The group of a member that the list names.
    pub fn group_of(&self, member: MemberId) -> Option<GroupId> {
        self.router.group_of(member)
    }

    /// Members taken for primaries, and when they last said so, by the hosts' clock: other gateways read that one.
    pub fn primaries(&self) -> Vec<(GroupId, MemberId, Time)> {
        let fleet_clock = self.router.fleet_clock();
        let leaders = self.router.primaries().into_iter();
        leaders.map(|(group, member, at)| (group, member, fleet_clock.hosts_time(at))).collect()
    }

    /// What the module has learned of the members so far.
    pub fn learned_state(&self) -> LearnedState {
        self.router.learned_state()
    }

    /// Starts from what another process has learned; to be called before the first list.
    pub fn adopt_learned_state(&mut self, learned_state: LearnedState) {
        self.router.adopt_learned_state(learned_state);
    }

    /// A member said this of itself after its attempt was reported: behind a row that was passed on as it came.
    pub fn record_late_report(&mut self, now: Time, host: MemberId, said: Outcome) {
        let position = said.position.map(|position| position.min(self.hosts_now(now)));
        let report = Report { position, role: said.role, ..said.report };
        self.queue.push(Event::Probed { member: host, ending: Ending::Served, report });
    }
}
