//! Every decision of a router. The words it is written in (settings, events, actions, endings) stand in
//! `interface.rs`; read that first. What it keeps in mind is plain data in `state.rs`. A file per concern.

mod cold;
mod health;
mod list;
mod pick;
mod primary;
mod requests;
mod sends;

use crate::fleet_clock::FleetClock;
use crate::indexes::Indexes;
use crate::interface::*;
use crate::mutant::{mutant, Mutant::*};
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Trials of one forecast (count). Enough to tell a stale share of a tenth; the paper leaves it open.
const TRIALS: u32 = 24;
/// Allowed stale share. A refusal costs little where members refuse by themselves.
const STALE_RATIO: f64 = 0.15;
/// Lag and latency samples kept for a member (count), and for how long (microseconds): a few seconds.
const HISTORY: usize = 12;
const HISTORY_AGE: Time = 3_000_000;
/// Sojourn at a member that admission steers to, as a share of the aim: work is of very unequal length,
/// so the mean must stay well under the aim.
const TARGET: f64 = 0.21;
/// Share of the aim after which a request not yet sent is held to come late: the rest is for the work.
const HOPE: f64 = 1.0 - TARGET;
/// Sojourn, as a share of the aim, that a third of the answers may pass before the members as a whole are
/// crowded. A share of the answers, not a mean: a few bad members are no reason to refuse.
const CROWDED: f64 = 0.5;
/// Mean sojourn under which work given up does not count as a sign of a crowd (share of the aim).
const CALM: f64 = 0.3;
/// Part of the aim that a read waits for a replica at most (fraction).
const HOLD: f64 = 0.25;
/// Step of the share then refused unsent, for each answer: some tens of answers from nothing to all.
const SHED_STEP: f64 = 0.02;
/// Attempts a member may have out before it has shown what it carries (count). Limits are reckoned for so
/// many routers. More have a part of them each, and less in all (power): each then learns late.
const FIRST_LIMIT: f64 = 6.0;
const FEW: f64 = 8.0;
const RARE: f64 = 1.15;
/// Pauses that are saved up (count): some routers have many times the work of others, none in even steps.
const SAVED: f64 = 12.0;
/// Most that one answer tells of a load (fraction): no mean may swing past what it is made of.
const TELLING: f64 = 0.5;
/// Share of the primary's room that reads may fill; the rest is kept for what only it can do (fraction).
const READ_ROOM: f64 = 0.6;
/// Part of a cold member's budget that all routers together plan to use, reckoned from what members carry,
/// which is less than they could (fraction). A cold primary gets more: writes have nowhere else to go.
const COLD_SHARE: f64 = 1.3;
const COLD_PRIMARY: f64 = 1.7;
/// The least that a started member is taken to carry: attempts a second of all routers together.
const COLD_LEAST: f64 = 2.0;
/// Span over which a router's own served answers are counted (microseconds): some seconds, to last a lull.
const RATE_SPAN: f64 = 4e6;
/// Times its drawn sojourn that a primary with enough work of its own is ranked at.
const PRIMARY_HANDICAP: f64 = 2.0;
/// Served answers over which the work that only primaries do is compared with reads (count).
const WORK_SEEN: f64 = 100.0;
/// Share of all worth that may be spent on probes (fraction).
const PROBE_SPEND: f64 = 0.002;
/// Share of requests that may go to suspects, to try them (fraction), and trials kept at most (count).
const TRIAL_SPEND: f64 = 0.06;
const MOST_TRIALS: f64 = 2.0;
/// Members of a zone that must have fallen silent since any of it was heard, for it to be dark (count).
const DARK: usize = 3;
/// Longest pause after attempts without service, in doublings of the granularity (count), and the first one
/// after silence. From so many in a row on, a member gets one attempt at a time.
const LONGEST_PAUSE: u32 = 7;
const SILENT_PAUSE: u32 = 4;
const DOUBTFUL: u32 = 4;
/// Wait after which work counts as lost at a member that answers, in aims: sooner, and a crowd looks lost.
const LOST: f64 = 1.25;
/// Silence that a member is allowed, as a share of the shortest aim: so much, and so many of its sojourns.
const QUIET: f64 = 0.3;
const QUIET_LOAD: f64 = 6.0;
/// Span after which a member that is gone is forgotten (microseconds): no list that old may name it again.
pub(crate) const FORGOTTEN: Time = 60_000_000;
/// Share of what clients can hold open that may be held here: the rest is for those yet to come (fraction).
const OPEN_SHARE: f64 = 0.85;

/// One router: feed it events, carry out its actions.
#[derive(Clone, Debug, Default)]
pub struct Router {
    set: Settings,
    /// This router's even part in the limits of a few.
    base_quota: f64,
    rng: SeededRng,
    /// The hosts' clock in relation to `now`.
    pub(crate) fleet_clock: FleetClock,
    pub(crate) now: Time,
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<u64, Request>,
    names: BTreeMap<RequestId, u64>,
    in_flight: BTreeMap<(RequestId, u32), InFlightAttempt>,
    next: u64,
    /// Middle of the time that tries of a class come with.
    typical_try: Vec<Time>,
    ticking: bool,
    asked_at: Time,
    probe_budget: f64,
    trial_budget: f64,
    /// Half the longest aim, and the shortest aim.
    silence_threshold: Time,
    shortest_latency_target: Time,
    noted_at: Time,
    /// Served answers a second, as of when; members that answer.
    pub(crate) rate: f64,
    pub(crate) rated_at: Time,
    alive: usize,
    /// What all members showed lately, as `Member::sojourns`.
    pub(crate) sojourns: Samples<f64>,
    pub(crate) watched_at: Time,
    pub(crate) indexes: Indexes,
    /// Time that reads and writes lately took at members.
    pub(crate) work: [f64; 2],
    /// Share of the least worthy reads that is refused unsent.
    pub(crate) shed: f64,
    actions: Vec<Action>,
}

impl Router {
    /// A router that knows nothing yet. The seed is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        let never = Time::MIN / 2;
        let mut router = Router {
            rng: SeededRng::seed_from_u64(seed),
            asked_at: never,
            // Some probes in advance, for a router that starts in the middle of trouble.
            probe_budget: 100.0 * PROBE_SPEND,
            noted_at: never,
            watched_at: never,
            ..Router::default()
        };
        router.follow(settings).map(|()| router)
    }

    /// These hold from now on. Classes that requests or attempts out still have must keep their places.
    pub fn follow(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        self.typical_try = vec![0; settings.classes.len()];
        self.silence_threshold = settings.classes.iter().map(|c| c.latency_target).max().unwrap_or(0) / 2;
        self.shortest_latency_target = settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(0);
        self.base_quota = (FEW / settings.routers as f64).powf(RARE).min(1.0);
        self.fleet_clock.set_enabled(settings.clock_may_be_wrong);
        self.set = settings;
        self.indexes.outdate_alive();
        Ok(())
    }

    /// Takes one batch of events, all at `now`, and appends what is to be done.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            match event {
                Event::List { whole, entries } => self.list(*whole, entries),
                Event::Request { .. } => self.request(event),
                Event::Outcome { .. } => self.outcome(event),
                Event::Floor { request, floor } => {
                    let open = self.names.get(request).and_then(|seq| self.requests.get_mut(seq));
                    open.into_iter().for_each(|req| {
                        req.minimum_position = req.minimum_position.map(|mark| mark.min(*floor))
                    });
                }
                Event::Withdrawn { request } => {
                    self.names.get(request).copied().into_iter().for_each(|seq| self.close(seq));
                }
                Event::GossipedPrimary { member, at } => {
                    self.learn(*member, None, Some(Role::Primary), Some(*at))
                }
                Event::Share(group, share) => self.groups.entry(*group).or_default().share = *share,
                Event::Probed { member, ending, report } => self.probed(*member, *ending, report),
                Event::Timer { .. } => self.ticking = false,
            }
        }
        self.check_health();
        self.expire();
        self.evict_lowest_priority();
        self.indexes.waiting_groups().into_iter().for_each(|group| self.dispatch_queue(group));
        if !self.ticking && !self.requests.is_empty() {
            self.ticking = true;
            self.actions.push(Action::Timer { token: 0, at: now + 2 * self.set.granularity });
        }
        if self.set.list_on_request && now - self.asked_at > self.set.ask_every / 2 {
            self.asked_at = now;
            self.actions.push(Action::WatchList);
        }
        actions.append(&mut self.actions);
    }

    /// This router's part in the limits of a group's members: the even one, with what was given or lent.
    pub(super) fn quota_part(&self, group: GroupId) -> f64 {
        self.base_quota * self.groups.get(&group).map_or(1.0, |g| g.share.at(self.now))
    }

    fn note(&mut self, text: String) {
        if self.now - self.noted_at > 200_000 {
            self.noted_at = self.now;
            self.actions.push(Action::Log { text });
        }
    }
}

impl Member {
    pub(super) fn is_primary(&self) -> bool {
        self.primary_evidence_at > self.replica_evidence_at
    }
}

fn share_of(span: Time, share: f64) -> Time {
    (span as f64 * share) as Time
}
