//! A seeded random workload for one router: requests of every class, every ending, list changes, drains, restarts,
//! health checks, gossip, quotas, setting reloads, a process handover and idle time. It draws from a generator of its own,
//! so that the router's actions are the only thing that a change to the router can alter.

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

    fn event(&mut self) -> Option<Event> {
        match self.below(1_000) {
            0..=389 => Some(self.request()),
            390..=869 => self.outcome(),
            870..=899 => self.probe_outcome(),
            900..=919 => Some(self.list_change()),
            920..=939 => Some(Event::GossipedPrimary { member: self.any_member(), at: self.now - 50 * MS }),
            940..=959 => Some(self.quota()),
            960..=974 => self.open_request().map(|request| Event::Abandoned { request }),
            975..=989 => {
                let minimum_position = self.now - self.below(400) as Time * MS;
                self.open_request().map(|request| Event::MinimumPositionLowered { request, minimum_position })
            }
            _ => Some(Event::Timer { token: 0 }),
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

    fn quota(&mut self) -> Event {
        let groups = self.groups.clone();
        let extra = self.below(30) as f64 / 10.0 - 0.9;
        Event::QuotaAdjusted {
            group: self.one_of(&groups),
            adjustment: QuotaAdjustment { extra, until: self.now + 2_000 * MS },
        }
    }

    fn request(&mut self) -> Event {
        self.requested += 1;
        let request: RequestId = format!("r{}", self.requested).into();
        self.open.push(request.clone());
        // Some groups have most of the work, and some requests name a class that there is not.
        let groups = self.groups.len() as u64;
        let place = self.below(groups).min(self.below(groups)) as usize;
        let has_minimum_position = self.below(5) == 0;
        Event::Request(RequestArrival {
            request,
            class: if self.below(300) == 0 { 99 } else { self.below(6) as usize },
            group: self.groups[place],
            time_left: self.one_of(&[900, 900, 900, 950, 400, 120]) * MS,
            is_retry: self.below(10) == 0,
            minimum_position: has_minimum_position.then(|| self.now - self.below(300) as Time * MS),
        })
    }

    fn outcome(&mut self) -> Option<Event> {
        let count = self.in_flight.len() as u64;
        if count == 0 {
            return None;
        }
        let place = self.below(count) as usize;
        let (member, sent) = (self.in_flight[place].member, self.in_flight[place].sent);
        let answers = self.hosts[&member].answers;
        // What a silent member has stays out for a while.
        if !answers && self.now - sent < 400 * MS {
            return None;
        }
        let out = self.in_flight.swap_remove(place);
        let ending = self.ending(&out, answers);
        let host = &self.hosts[&member];
        let (primary, lag) = (host.entry.primary, host.lag);
        let position = (answers && self.below(8) != 0).then_some(self.now - lag);
        let role = position.map(|_| if primary { Role::Primary } else { Role::Replica });
        let report = Report { position, role, waiting: Some(1.0), busy: None };
        let closed = ending == Ending::Served || self.below(40) == 0;
        let (request, attempt, took) = (out.request, out.attempt, self.now - sent);
        if closed {
            self.close(&request);
        }
        Some(Event::Outcome(AttemptOutcome {
            request,
            attempt,
            member,
            ending,
            took,
            closed,
            position,
            role,
            report,
        }))
    }

    fn ending(&mut self, out: &InFlight, answers: bool) -> Ending {
        if out.cancelled {
            return Ending::Cancelled;
        }
        if !answers {
            return self.one_of(&[Ending::TimedOut, Ending::ConnectFailed, Ending::ConnectionLost]);
        }
        match self.below(100) {
            0..=84 => Ending::Served,
            85..=86 => Ending::Error,
            87..=89 => Ending::QueueFull,
            90..=91 => Ending::TimedOut,
            92..=93 => Ending::ConnectFailed,
            94..=95 => Ending::ConnectionLost,
            96 => Ending::NotSent,
            _ => Ending::Rejected,
        }
    }

    fn probe_outcome(&mut self) -> Option<Event> {
        let member = self.probes.pop_first()?;
        let host = &self.hosts[&member];
        let role = if host.entry.primary { Role::Primary } else { Role::Replica };
        let (ending, is_reported) =
            if host.answers { (Ending::Served, true) } else { (Ending::TimedOut, false) };
        let position = is_reported.then_some(self.now - host.lag);
        let report = Report { position, role: is_reported.then_some(role), waiting: None, busy: Some(0.4) };
        Some(Event::Probed { member, ending, report })
    }

    fn list_change(&mut self) -> Event {
        let member = self.any_member();
        let now = self.now;
        let kind = self.below(12);
        let Some(host) = self.hosts.get_mut(&member) else { return Event::Timer { token: 0 } };
        let (group, primary) = (host.entry.group, host.entry.primary);
        match kind {
            0..=1 => host.entry.status = MemberStatus::Draining,
            2 => host.entry.status = MemberStatus::Removed,
            3..=6 => {
                (host.entry.started, host.entry.status) = (now, MemberStatus::Up);
            }
            7 if !primary => {
                let place = self.below(MEMBERS_OF_A_GROUP as u64 - 1) as u32 + 1;
                self.add_host(group, place, now);
                return self.list(false, vec![member, self.next_member - 1]);
            }
            8 => self.move_primary(group, member),
            9 => {
                // A complete list that leaves one out.
                let others = self.hosts.keys().copied().filter(|id| *id != member).collect();
                return self.list(true, others);
            }
            10 => return self.list(true, self.hosts.keys().copied().collect()),
            _ => host.lag = (host.lag * 7 + 20 * MS) % (900 * MS),
        }
        self.list(false, vec![member])
    }

    fn move_primary(&mut self, group: GroupId, to: MemberId) {
        let members = self.hosts.iter_mut().filter(|(_, host)| host.entry.group == group);
        members.for_each(|(id, host)| host.entry.primary = *id == to);
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
