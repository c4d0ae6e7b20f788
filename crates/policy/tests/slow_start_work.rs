//! Two fleets, of 43 and 47 gateways, sent a host that had just started more than its budget, and it failed 5.9 s and 3.3 s
//! after its start. Each gateway reckons a part of the budget by itself, and nothing held the sum of the parts below the
//! budget. A gateway counted requests and not their work, so that a few long statements, held back while other hosts were
//! silent or draining, took several times what was reckoned. It divided what it had served in the last seconds by the
//! hosts that were left now, so that its part grew when hosts left. It planned for 1.3 to 1.7 times the budget. And each
//! gateway kept one whole request saved up, which all could spend in the same moment.
//!
//! What settled it: under the settings of that deployment, 45 routers stayed below 0.8 of the bound by count and went up to
//! 1.35 times the bound by work, when hosts started together (load 0.75, four plays). Right before each failure the log
//! showed that other hosts fell silent: host 23 for 0.62 s, host 17 for 0.74 s.

mod common;
use common::fleet::*;
use common::*;
use petrelgauge_policy::*;

const MEMBERS: MemberId = 6;
const PRIMARY: MemberId = 1;
/// The member that starts first.
const STARTED: MemberId = 3;
/// What a member does at a time, and mean work of a request.
const SLOTS: usize = 5;
const WORK: Time = 108 * MS;
const TICKS_PER_SECOND: f64 = 200.0;
/// Before anything happens, so that routers have seen what members carry.
const WARM_UP: Time = 4_000 * MS;
/// Shares of the requests, their work in parts of the mean, and how long clients wait: bounded reads, long statements,
/// reads of any age, writes.
const TRAFFIC: [Traffic; 4] = [
    Traffic { class: 0, share: 0.44, work: 0.97, wait: 1_200 * MS },
    Traffic { class: 1, share: 0.025, work: 9.7, wait: 8_000 * MS },
    Traffic { class: 2, share: 0.235, work: 0.97, wait: 1_500 * MS },
    Traffic { class: 5, share: 0.3, work: 0.57, wait: 5_000 * MS },
];

struct Traffic {
    class: usize,
    share: f64,
    work: f64,
    wait: Time,
}

/// How members start, and by which window what they are sent is counted.
#[derive(Clone, Copy, Debug)]
struct SlowStartSettings {
    overload_factor: f64,
    initial_share: f64,
    window: Time,
}

/// Those of the deployment, and colder ones.
const SETTINGS: [SlowStartSettings; 3] = [
    SlowStartSettings { overload_factor: 4.0, initial_share: 0.24, window: 1_000 * MS },
    SlowStartSettings { overload_factor: 4.0, initial_share: 0.08, window: 1_000 * MS },
    SlowStartSettings { overload_factor: 2.0, initial_share: 0.1, window: 500 * MS },
];

#[derive(Clone, Copy, Debug)]
struct Case {
    routers: usize,
    load: f64,
    settings: SlowStartSettings,
}

struct Play {
    case: Case,
    fleet: Fleet,
    load: f64,
    due: [f64; TRAFFIC.len()],
    starts: Vec<(MemberId, Time)>,
}

fn fleet_settings(case: Case) -> Settings {
    let mut settings = settings();
    settings.overload_factor = case.settings.overload_factor;
    settings.slow_start_initial_share = case.settings.initial_share;
    settings.overload_span = case.settings.window;
    let targets = [(0, 500 * MS), (1, 4_000 * MS), (2, 600 * MS), (5, 500 * MS)];
    for (class, target) in targets {
        settings.classes[class].latency_target = target;
        settings.classes[class].deadline = 8_000 * MS;
    }
    settings.classes[1].need = Need::Eventual;
    settings
}

impl Play {
    fn new(case: Case) -> Play {
        let entries: Vec<Entry> =
            (1..=MEMBERS).map(|id| entry(id, MemberStatus::Up, id == PRIMARY, 0)).collect();
        let members = (1..=MEMBERS).map(|id| (id, id == PRIMARY, SLOTS, WORK)).collect();
        let mut fleet = Fleet::with_settings(case.routers, &entries, members, fleet_settings(case));
        TRAFFIC.iter().for_each(|traffic| fleet.class_work[traffic.class] = traffic.work);
        let mut play = Play { case, fleet, load: case.load, due: [0.0; 4], starts: Vec::new() };
        play.run(WARM_UP);
        play
    }

    fn share(&self, age: Time) -> f64 {
        let settings = fleet_settings(self.case);
        let grown = age as f64 / settings.slow_start_span as f64;
        let initial = settings.slow_start_initial_share;
        (initial + (1.0 - initial) * grown).min(1.0)
    }

    fn run(&mut self, span: Time) {
        let until = self.fleet.now + span;
        while self.fleet.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        let capacity = f64::from(MEMBERS) * SLOTS as f64 * 1e6 / WORK as f64;
        for (place, traffic) in TRAFFIC.iter().enumerate() {
            self.due[place] += self.load * capacity * traffic.share / TICKS_PER_SECOND;
            while self.due[place] >= 1.0 {
                self.due[place] -= 1.0;
                let router =
                    (self.fleet.asked * 37 + self.fleet.asked / self.case.routers * 11) % self.case.routers;
                self.fleet.ask(router, traffic.class, traffic.wait);
            }
        }
        for (id, at) in &self.starts {
            let work = WORK as f64 / self.share(self.fleet.now - at);
            self.fleet.members.get_mut(id).expect("it is there").work = work as Time;
        }
        self.fleet.step();
    }

    fn notify(&mut self, entries: Vec<Entry>) {
        let list = Event::List { update: Update::Partial, entries: entries.into() };
        self.fleet.inbox.iter_mut().for_each(|inbox| inbox.push(list.clone()));
    }

    /// A member starts: it loses what it had, and all routers are notified.
    fn start(&mut self, id: MemberId) {
        let now = self.fleet.now;
        let member = self.fleet.members.get_mut(&id).expect("it is there");
        member.silent = false;
        let queued = std::mem::take(&mut member.queue);
        let busy = std::mem::take(&mut member.busy);
        let lost: Vec<Job> = queued.into_iter().chain(busy.into_iter().map(|(_, job)| job)).collect();
        lost.iter().for_each(|job| self.fleet.tell(job, id, Ending::ConnectionLost));
        self.starts.push((id, now));
        self.notify(vec![entry(id, MemberStatus::Up, id == PRIMARY, now)]);
    }

    fn silence(&mut self, ids: &[MemberId]) {
        ids.iter().for_each(|id| self.fleet.members.get_mut(id).expect("it is there").silent = true);
    }

    fn drain(&mut self, ids: &[MemberId]) {
        let entries = ids.iter().map(|id| entry(*id, MemberStatus::Draining, *id == PRIMARY, 0));
        self.notify(entries.collect());
    }

    /// The busiest window of a member's slow start, in parts of what it may be sent.
    fn busiest(&self) -> f64 {
        self.starts.iter().map(|(id, at)| self.busiest_of(*id, *at)).fold(0.0, f64::max)
    }

    fn busiest_of(&self, id: MemberId, started: Time) -> f64 {
        let member = &self.fleet.members[&id];
        let sends = member.times.iter().zip(&member.classes).filter(|(at, _)| **at >= started);
        let sends: Vec<(Time, f64)> = sends.map(|(at, class)| (*at, self.fleet.class_work[*class])).collect();
        let SlowStartSettings { overload_factor, window, .. } = self.case.settings;
        let warm = SLOTS as f64 * window as f64 / WORK as f64;
        let part = |(place, (from, _)): (usize, &(Time, f64))| {
            let sent: f64 =
                sends[place..].iter().take_while(|(at, _)| *at < from + window).map(|send| send.1).sum();
            let budget = overload_factor * self.share(from - started) * warm;
            let (spread, more) = if budget < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
            sent / (budget + spread * budget.sqrt() + more)
        };
        sends.iter().enumerate().map(part).fold(0.0, f64::max)
    }
}

/// What happens around a start.
type Scenario = (&'static str, fn(&mut Play));

const SCENARIOS: [Scenario; 6] = [
    ("three start together", |play| [2, 3, 4].into_iter().for_each(|id| play.start(id))),
    ("the primary starts", |play| play.start(PRIMARY)),
    ("others leave the list after a start", |play| {
        play.start(STARTED);
        play.run(2_000 * MS);
        play.drain(&[2, 4, 5, 6]);
    }),
    ("others fall silent after a start", |play| {
        play.start(STARTED);
        play.run(3_000 * MS);
        play.silence(&[2, 4, 5, 6]);
    }),
    ("others are silent before a start", |play| {
        play.silence(&[2, 4, 5, 6]);
        play.run(1_000 * MS);
        play.start(STARTED);
    }),
    ("clients ask twice as much after a start", |play| {
        play.start(STARTED);
        play.run(3_000 * MS);
        play.load *= 2.0;
    }),
];

/// All cases: fleets of several sizes, at several loads and settings.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for settings in SETTINGS {
        for routers in [4, 43, 200] {
            cases.extend([0.6, 0.75, 0.9].map(|load| Case { routers, load, settings }));
        }
    }
    cases
}

#[test]
fn members_that_start_are_sent_no_more_work_than_their_budget() {
    let mut broken = Vec::new();
    for (name, scenario) in SCENARIOS {
        for case in cases() {
            let mut play = Play::new(case);
            scenario(&mut play);
            play.run(5_000 * MS);
            let busiest = play.busiest();
            let served = play.fleet.served as f64 / play.fleet.asked as f64;
            println!("{name}: {case:?}: {busiest:.2} of the bound, {served:.3} served");
            if busiest > 1.0 {
                broken.push(format!("{name}: {case:?}: {busiest:.2} of the bound"));
            }
        }
    }
    assert_eq!(broken, Vec::<String>::new());
}

// What a router served in the last seconds was served by the members of that time. Divided by those that are left, it
// would say at once that each carries more.
#[test]
fn what_a_member_may_be_sent_does_not_grow_at_once_when_others_leave() {
    let mut play = Play::new(Case { routers: 4, load: 0.75, settings: SETTINGS[0] });
    play.start(STARTED);
    play.run(1_000 * MS);
    let rate_when_warm = |play: &Play| {
        let slow_start = play.fleet.routers[0].slow_start(STARTED).expect("it is warming up");
        slow_start.rate / slow_start.capacity_share
    };
    let before = rate_when_warm(&play);
    play.drain(&[2, 4, 5, 6]);
    play.run(100 * MS);
    let growth = rate_when_warm(&play) / before;
    assert!((0.5..1.2).contains(&growth), "{growth:.2} times as much a tenth of a second later");
}
