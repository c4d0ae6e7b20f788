//! A seeded random workload for one router: requests of every class, every ending, list changes, drains,
//! restarts, health checks, gossip, quotas, settings reloads, a process handover and idle time. It has a
//! random number generator of its own: a change to the router affects the workload only by way of the
//! router's actions.

mod events;

use super::counts::ActionCounts;
use super::phases::phase_settings;
use super::reference_text::reference_text;
use super::{MS, START};
use petrelgauge_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Idle members are in a zone of their own, since failed attempts at other members of their zone would make
/// the router suspect them.
const IDLE_ZONE: &str = "d";
const MEMBERS_PER_GROUP: u32 = 6;
const STEPS_PER_PHASE: usize = 1_200;
const FIRST_IDLE_GROUP: GroupId = 1_000;
const FIRST_IDLE_MEMBER: MemberId = 100_000;
const LAST_MEMBER_INDEX: u32 = MEMBERS_PER_GROUP - 1;

/// A simulated member: its entry in the endpoint list and its behaviour.
struct Host {
    entry: Entry,
    lag: Time,
    responds: bool,
}

/// An attempt whose outcome is not yet reported.
struct InFlight {
    request: RequestId,
    attempt: u32,
    member: MemberId,
    sent: Time,
    cancelled: bool,
}

pub struct Workload {
    pub router: Router,
    pub counts: ActionCounts,
    digest: Xxh3,
    rng: Pcg64Mcg,
    now: Time,
    groups: Vec<GroupId>,
    hosts: BTreeMap<MemberId, Host>,
    /// Entries of members of groups that get no requests.
    idle_entries: Vec<Entry>,
    /// Every member has its full capacity as soon as it starts.
    no_slow_start: bool,
    in_flight: Vec<InFlight>,
    attempts: BTreeMap<RequestId, u32>,
    open: Vec<RequestId>,
    probes: BTreeSet<MemberId>,
    timer_at: Option<Time>,
    requested: usize,
    next_member: MemberId,
}

impl Workload {
    pub fn new(seed: u64, groups: u64) -> Workload {
        let mut workload = Workload {
            router: Router::new(phase_settings(0), seed).expect("valid settings"),
            counts: ActionCounts::default(),
            digest: Xxh3::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5EED),
            now: START,
            groups: (1..=groups).collect(),
            hosts: BTreeMap::new(),
            idle_entries: Vec::new(),
            no_slow_start: false,
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            open: Vec::new(),
            probes: BTreeSet::new(),
            timer_at: None,
            requested: 0,
            next_member: 1,
        };
        for group in 1..=groups {
            (0..MEMBERS_PER_GROUP).for_each(|index| workload.add_host(group, index, 0));
        }
        workload
    }

    /// A workload with additional groups that get no requests. Slow start is disabled, since it depends on
    /// the number of members by design. The state of the idle members is adopted from another router, so that
    /// the random numbers drawn for them come from that router's generator.
    pub fn with_idle_groups(seed: u64, groups: u64, idle_groups: u64) -> Workload {
        let mut workload = Workload::new(seed, groups);
        workload.no_slow_start = true;
        let entry = |n: u64| Entry {
            member: FIRST_IDLE_MEMBER + n as MemberId,
            group: FIRST_IDLE_GROUP + n / MEMBERS_PER_GROUP as u64,
            zone: IDLE_ZONE.into(),
            weight: 1.0,
            started: 0,
            status: MemberStatus::Up,
            primary: n.is_multiple_of(MEMBERS_PER_GROUP as u64),
        };
        workload.idle_entries = (0..idle_groups * MEMBERS_PER_GROUP as u64).map(entry).collect();
        let list = workload.list(true, workload.hosts.keys().copied().collect());
        workload.router.step(START, &[list], &mut Vec::new());
        let learned_state = workload.router.learned_state();
        workload.router = Router::new(workload.settings(0), seed).expect("valid settings");
        workload.router.adopt_learned_state(learned_state);
        workload
    }

    fn settings(&self, phase: usize) -> Settings {
        let settings = phase_settings(phase);
        let slow_start_initial_share =
            if self.no_slow_start { 1.0 } else { settings.slow_start_initial_share };
        Settings { slow_start_initial_share, ..settings }
    }

    /// The digest of all actions so far, in their reference text.
    pub fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// Runs this number of steps and returns the digest of all actions.
    pub fn run(&mut self, steps: usize) -> u64 {
        let list = self.list(true, self.hosts.keys().copied().collect());
        self.step(&[list]);
        for step in 0..steps {
            if step % STEPS_PER_PHASE == STEPS_PER_PHASE - 1 {
                self.change_phase(step / STEPS_PER_PHASE + 1);
            }
            self.advance_time(step);
            let mut events = Vec::new();
            if self.timer_at.is_some_and(|at| at <= self.now) {
                self.timer_at = None;
                events.push(Event::Timer { token: 0 });
            }
            for _ in 0..1 + self.random_below(3) {
                events.extend(self.event());
            }
            self.step(&events);
        }
        self.digest()
    }

    fn random_below(&mut self, count: u64) -> u64 {
        self.rng.next_u64() % count
    }

    fn choose<T: Copy>(&mut self, options: &[T]) -> T {
        options[self.random_below(options.len() as u64) as usize]
    }

    fn add_host(&mut self, group: GroupId, index: u32, started: Time) {
        let member = self.next_member;
        self.next_member += 1;
        let entry = Entry {
            member,
            group,
            zone: ZONES[index as usize % ZONES.len()].into(),
            weight: if index == LAST_MEMBER_INDEX { 0.5 } else { 1.0 },
            started,
            status: MemberStatus::Up,
            primary: index == 0,
        };
        let lag = index as Time * 15 * MS;
        self.hosts.insert(member, Host { entry, lag, responds: true });
    }

    fn list(&self, complete: bool, members: Vec<MemberId>) -> Event {
        let mut entries = members.iter().map(|id| self.hosts[id].entry.clone()).collect::<Vec<_>>();
        entries.extend(self.idle_entries.iter().filter(|_| complete).cloned());
        let update = if complete { Update::Complete } else { Update::Partial };
        Event::List { update, entries: entries.into() }
    }

    fn advance_time(&mut self, step: usize) {
        self.now += match self.random_below(100) {
            0 => 600 * MS,
            1..=4 => 60 * MS,
            5..=60 => self.random_below(8) as Time * MS,
            _ => self.random_below(900) as Time,
        };
        // One pause is long enough for the router to forget removed members.
        self.now += if step == 5 * STEPS_PER_PHASE { 70_000 * MS } else { 0 };
    }

    /// Applies the settings and faults of a phase. At phase 4 a new router adopts the learned state of the
    /// current one, as in a process handover.
    fn change_phase(&mut self, phase: usize) {
        let settings = self.settings(phase);
        let silent_zone = [None, Some("b"), None, Some("c")][phase % 4];
        self.hosts
            .values_mut()
            .for_each(|host| host.responds = Some(host.entry.zone.as_str()) != silent_zone);
        if phase == 4 {
            let learned_state = self.router.learned_state();
            self.router = Router::new(settings, phase as u64).expect("valid settings");
            self.router.adopt_learned_state(learned_state);
            self.timer_at = None;
            self.probes.clear();
            let list = self.list(true, self.hosts.keys().copied().collect());
            self.step(&[list]);
        } else {
            self.router.apply_settings(settings).expect("valid settings");
        }
    }

    fn any_member(&mut self) -> MemberId {
        let members: Vec<MemberId> = self.hosts.keys().copied().collect();
        self.choose(&members)
    }

    fn open_request(&mut self) -> Option<RequestId> {
        let count = self.open.len() as u64;
        (count > 0).then(|| self.random_below(count)).map(|index| self.open[index as usize].clone())
    }

    fn step(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.router.step(self.now, events, &mut actions);
        self.counts.events += events.len();
        self.digest.update(reference_text(&actions).as_bytes());
        actions.into_iter().for_each(|action| self.carry_out(action));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, member, .. } => {
                self.counts.sends += 1;
                let count = self.attempts.entry(request.clone()).or_default();
                let attempt = *count;
                *count += 1;
                self.in_flight.push(InFlight { request, attempt, member, sent: self.now, cancelled: false });
            }
            Action::Reject { request, .. } => {
                self.counts.rejections += 1;
                self.close_request(&request);
            }
            Action::Fail { request } => {
                self.counts.failures += 1;
                self.close_request(&request);
            }
            Action::Cancel { request, attempt } => {
                self.counts.cancellations += 1;
                let is_named = |other: &&mut InFlight| other.request == request && other.attempt == attempt;
                self.in_flight.iter_mut().filter(is_named).for_each(|other| other.cancelled = true);
            }
            Action::Probe { member } => {
                self.counts.health_checks += 1;
                self.probes.insert(member);
            }
            Action::WatchList => self.counts.list_watches += 1,
            Action::ReadList => {}
            Action::Timer { at, .. } => {
                self.counts.timers += 1;
                self.timer_at = Some(at);
            }
            Action::Log(_) => self.counts.notes += 1,
        }
    }

    fn close_request(&mut self, request: &Arc<str>) {
        self.open.retain(|open| open != request);
    }
}
