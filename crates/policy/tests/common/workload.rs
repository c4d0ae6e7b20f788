//! A seeded random workload for one router: requests of every class, every ending, list changes, drains, restarts,
//! health checks, gossip, quotas, setting reloads, a process handover and idle time. It draws from a generator of its own,
//! so that the router's actions are the only thing that a change to the router can alter.

mod events;

use super::counts::Counts;
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
/// Idle members have a zone of their own: what its other members lose would put them in doubt.
const IDLE_ZONE: &str = "d";
const MEMBERS_OF_A_GROUP: u32 = 6;
/// Steps between two changes of the scenario's phase.
const PHASE: usize = 1_200;
const FIRST_IDLE_GROUP: GroupId = 1_000;
const FIRST_IDLE_MEMBER: MemberId = 100_000;
const LAST_MEMBER_PLACE: u32 = MEMBERS_OF_A_GROUP - 1;

/// How a member behaves, beside its line on the list.
struct Host {
    entry: Entry,
    lag: Time,
    answers: bool,
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
    pub counts: Counts,
    digest: Xxh3,
    rng: Pcg64Mcg,
    now: Time,
    groups: Vec<GroupId>,
    hosts: BTreeMap<MemberId, Host>,
    /// Lines of the list for members that no request is for.
    idle: Vec<Entry>,
    /// Every member has its full capacity from its start on.
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
            router: Router::new(phase_settings(0), seed).expect("sound settings"),
            counts: Counts::default(),
            digest: Xxh3::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5EED),
            now: START,
            groups: (1..=groups).collect(),
            hosts: BTreeMap::new(),
            idle: Vec::new(),
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
            (0..MEMBERS_OF_A_GROUP).for_each(|place| workload.add_host(group, place, 0));
        }
        workload
    }

    /// A workload beside groups that no request is for, without slow start: that depends on the number of members, as it
    /// is meant to. The idle members are known from another router, which has drawn its random numbers for them.
    pub fn beside_idle_groups(seed: u64, groups: u64, idle_groups: u64) -> Workload {
        let mut workload = Workload::new(seed, groups);
        workload.no_slow_start = true;
        let entry = |n: u64| Entry {
            member: FIRST_IDLE_MEMBER + n as MemberId,
            group: FIRST_IDLE_GROUP + n / MEMBERS_OF_A_GROUP as u64,
            zone: IDLE_ZONE.into(),
            weight: 1.0,
            started: 0,
            status: MemberStatus::Up,
            primary: n.is_multiple_of(MEMBERS_OF_A_GROUP as u64),
        };
        workload.idle = (0..idle_groups * MEMBERS_OF_A_GROUP as u64).map(entry).collect();
        let list = workload.list(true, workload.hosts.keys().copied().collect());
        workload.router.step(START, &[list], &mut Vec::new());
        let learned_state = workload.router.learned_state();
        workload.router = Router::new(workload.settings(0), seed).expect("sound settings");
        workload.router.adopt_learned_state(learned_state);
        workload
    }

    fn settings(&self, phase: usize) -> Settings {
        let settings = phase_settings(phase);
        let slow_start_initial_share =
            if self.no_slow_start { 1.0 } else { settings.slow_start_initial_share };
        Settings { slow_start_initial_share, ..settings }
    }

    /// The digest of the text of all actions so far.
    pub fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// Plays so many steps and returns the digest of all actions.
    pub fn play(&mut self, steps: usize) -> u64 {
        let list = self.list(true, self.hosts.keys().copied().collect());
        self.step(&[list]);
        for step in 0..steps {
            if step % PHASE == PHASE - 1 {
                self.change_phase(step / PHASE + 1);
            }
            self.pass_time(step);
            let mut events = Vec::new();
            if self.timer_at.is_some_and(|at| at <= self.now) {
                self.timer_at = None;
                events.push(Event::Timer { token: 0 });
            }
            for _ in 0..1 + self.below(3) {
                events.extend(self.event());
            }
            self.step(&events);
        }
        self.digest()
    }

    fn below(&mut self, count: u64) -> u64 {
        self.rng.next_u64() % count
    }

    fn one_of<T: Copy>(&mut self, options: &[T]) -> T {
        options[self.below(options.len() as u64) as usize]
    }

    fn add_host(&mut self, group: GroupId, place: u32, started: Time) {
        let member = self.next_member;
        self.next_member += 1;
        let entry = Entry {
            member,
            group,
            zone: ZONES[place as usize % ZONES.len()].into(),
            weight: if place == LAST_MEMBER_PLACE { 0.5 } else { 1.0 },
            started,
            status: MemberStatus::Up,
            primary: place == 0,
        };
        let lag = place as Time * 15 * MS;
        self.hosts.insert(member, Host { entry, lag, answers: true });
    }

    fn list(&self, complete: bool, members: Vec<MemberId>) -> Event {
        let mut entries = members.iter().map(|id| self.hosts[id].entry.clone()).collect::<Vec<_>>();
        entries.extend(self.idle.iter().filter(|_| complete).cloned());
        let update = if complete { Update::Complete } else { Update::Partial };
        Event::List { update, entries: entries.into() }
    }

    fn pass_time(&mut self, step: usize) {
        self.now += match self.below(100) {
            0 => 600 * MS,
            1..=4 => 60 * MS,
            5..=60 => self.below(8) as Time * MS,
            _ => self.below(900) as Time,
        };
        // Once so long that members that are gone are forgotten.
        self.now += if step == 5 * PHASE { 70_000 * MS } else { 0 };
    }

    /// Each phase has settings and faults of its own; the fourth one is played by a process that took over.
    fn change_phase(&mut self, phase: usize) {
        let settings = self.settings(phase);
        let silent_zone = [None, Some("b"), None, Some("c")][phase % 4];
        self.hosts.values_mut().for_each(|host| host.answers = Some(host.entry.zone.as_str()) != silent_zone);
        if phase == 4 {
            let learned_state = self.router.learned_state();
            self.router = Router::new(settings, phase as u64).expect("sound settings");
            self.router.adopt_learned_state(learned_state);
            self.timer_at = None;
            self.probes.clear();
            let list = self.list(true, self.hosts.keys().copied().collect());
            self.step(&[list]);
        } else {
            self.router.apply_settings(settings).expect("sound settings");
        }
    }

    fn any_member(&mut self) -> MemberId {
        let members: Vec<MemberId> = self.hosts.keys().copied().collect();
        self.one_of(&members)
    }

    fn open_request(&mut self) -> Option<RequestId> {
        let count = self.open.len() as u64;
        (count > 0).then(|| self.below(count)).map(|place| self.open[place as usize].clone())
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
                self.close(&request);
            }
            Action::Fail { request } => {
                self.counts.failures += 1;
                self.close(&request);
            }
            Action::Cancel { request, attempt } => {
                self.counts.cancellations += 1;
                let named = |out: &&mut InFlight| out.request == request && out.attempt == attempt;
                self.in_flight.iter_mut().filter(named).for_each(|out| out.cancelled = true);
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

    fn close(&mut self, request: &Arc<str>) {
        self.open.retain(|open| open != request);
    }
}
