//! A test harness that steps one router with a group of three members.
#![allow(dead_code)]

use petrelgauge_policy::*;

pub mod counts;
pub mod fleet;
pub mod phases;
pub mod reference_text;
pub mod workload;

pub const GROUP: GroupId = 7;
pub const MS: Time = 1_000;
pub const START: Time = 1_000_000_000;

pub fn class(name: &str, need: Need, effect: Effect) -> Class {
    Class {
        name: name.into(),
        need,
        effect,
        attempts: 6,
        latency_target: 300 * MS,
        deadline: 1_000 * MS,
        priority_weight: 2.0,
        late_share: if need == Need::Write { 0.5 } else { 0.0 },
    }
}

/// Settings with one class of each kind: 0 bounded read, 1 session read, 2 eventual read, 3 strong read,
/// 4 unsafe write, 5 keyed write.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class("bounded", Need::Bounded(200 * MS), Effect::Safe),
            class("session", Need::Session, Effect::Safe),
            class("any", Need::Eventual, Effect::Safe),
            class("strong", Need::Strong, Effect::Safe),
            class("unsafe", Need::Write, Effect::Unsafe),
            class("keyed", Need::Write, Effect::Keyed { window: 400 * MS, scope: Scope::Group }),
        ],
        routers: 1,
        zone: "a".into(),
        granularity: 5 * MS,
        max_open_requests: 20_000,
        may_cancel: true,
        may_hedge: false,
        may_probe: true,
        list_on_request: false,
        max_retry_after: 500 * MS,
        answer_slack: 20 * MS,
        client_round_trip: 0,
        final_answer_by: Time::MAX,
        slow_start_initial_share: 0.15,
        slow_start_span: 16_000 * MS,
        overload_factor: 4.0,
        overload_span: 1_500 * MS,
        discovery_interval_factor: 1,
        drain_grace: 250 * MS,
        list_poll_interval: 10_000 * MS,
        soft_removal: false,
        stale_read_policy: StaleReadPolicy::Reject,
        list_role: ListRole::Static,
        read_wait_bound: 0,
        clock_may_be_wrong: false,
        crossing_price: 0.0,
        probe_price: 0.01,
    }
}

pub fn entry(member: MemberId, status: MemberStatus, primary: bool, started: Time) -> Entry {
    Entry { member, group: GROUP, zone: "a".into(), weight: 1.0, started, status, primary }
}

/// A router under test with a simulated clock.
pub struct Harness {
    pub router: Router,
    pub now: Time,
    /// Actions of the last step.
    pub last_actions: Vec<Action>,
    /// For each request, the attempts that `serve_all` has served (count).
    pub attempt_counts: std::collections::BTreeMap<RequestId, u32>,
}

impl Harness {
    /// A router that has received a list: member 1 is the primary, 2 and 3 are replicas.
    pub fn new(settings: Settings) -> Harness {
        let mut harness = Harness::empty(settings);
        let list = (1..=3).map(|m| entry(m, MemberStatus::Up, m == 1, 0)).collect::<Vec<_>>();
        harness.step(Event::List { update: Update::Complete, entries: list.into() });
        harness
    }

    /// A router that has received no list.
    pub fn empty(settings: Settings) -> Harness {
        Harness {
            router: Router::new(settings, 11).expect("valid settings"),
            now: START,
            last_actions: Vec::new(),
            attempt_counts: Default::default(),
        }
    }

    /// Steps the router with one event at the current time.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        self.last_actions.clear();
        self.router.step(self.now, &[event], &mut self.last_actions);
        self.last_actions.clone()
    }

    /// Advances the clock, then steps the router with a timer event.
    pub fn advance(&mut self, span: Time) -> Vec<Action> {
        self.now += span;
        self.step(Event::Timer { token: 0 })
    }

    /// A client sends a request of this class.
    pub fn send_request(&mut self, name: &str, class: usize, time_left: Time) -> Vec<Action> {
        self.step(request(name, class, time_left, None))
    }

    /// Serves all attempts among these actions, each after `took`, and all attempts that are sent as a
    /// result. Returns the number of attempts served.
    pub fn serve_all(&mut self, actions: Vec<Action>, took: Time) -> usize {
        let (mut queue, mut served) = (actions, 0);
        while let Some(action) = queue.pop() {
            let Action::Send { request, member, .. } = action else { continue };
            let count = self.attempt_counts.entry(request.clone()).or_insert(0);
            let attempt = std::mem::replace(count, *count + 1);
            let event = Event::Outcome(AttemptOutcome {
                request,
                attempt,
                member,
                ending: Ending::Served,
                took,
                closed: true,
                position: Some(self.now),
                role: Some(if member == 1 { Role::Primary } else { Role::Replica }),
                report: Report::default(),
            });
            served += 1;
            queue.extend(self.step(event));
        }
        served
    }

    /// Reports how an attempt ended.
    pub fn report_attempt(
        &mut self,
        name: &str,
        attempt: u32,
        member: MemberId,
        ending: Ending,
    ) -> Vec<Action> {
        self.report_attempt_with(name, attempt, member, ending, None, None)
    }

    /// Reports how an attempt ended, with the lag and the role that the member reports.
    pub fn report_attempt_with(
        &mut self,
        name: &str,
        attempt: u32,
        member: MemberId,
        ending: Ending,
        lag: Option<Time>,
        role: Option<Role>,
    ) -> Vec<Action> {
        let event = Event::Outcome(AttemptOutcome {
            request: name.into(),
            attempt,
            member,
            ending,
            // Response times vary with the request.
            took: 20 * MS + (request_hash(name) % 10) as Time * MS,
            closed: ending == Ending::Served,
            position: lag.map(|lag| self.now - lag),
            role,
            report: Report::default(),
        });
        self.step(event)
    }
}

fn request_hash(name: &str) -> u64 {
    name.bytes().fold(7u64, |h, b| (h ^ b as u64).wrapping_mul(0x9E3779B97F4A7C15)) >> 40
}

pub fn request(name: &str, class: usize, time_left: Time, minimum_position: Option<Time>) -> Event {
    Event::Request(RequestArrival {
        request: name.into(),
        class,
        group: GROUP,
        time_left,
        is_retry: false,
        minimum_position,
    })
}

pub fn sent_to(actions: &[Action]) -> Option<MemberId> {
    actions.iter().find_map(|a| match a {
        Action::Send { member, .. } => Some(*member),
        _ => None,
    })
}

pub fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Sends rounds of eventual reads, whose answers report these lags of members 1 to 3.
pub fn report_lags(harness: &mut Harness, lags: [Time; 3], rounds: usize) {
    for round in 0..rounds {
        for n in 0..6 {
            let name = format!("t{}-{round}-{n}", harness.now);
            if let Some(member) = sent_to(&harness.send_request(&name, 2, 900 * MS)) {
                let role = if member == 1 { Role::Primary } else { Role::Replica };
                let lag = lags[member as usize - 1];
                harness.report_attempt_with(&name, 0, member, Ending::Served, Some(lag), Some(role));
            }
        }
        harness.advance(20 * MS);
    }
}

/// Sends a hundred requests of this class and returns the share that this member was sent.
pub fn share_sent_to(harness: &mut Harness, class: usize, member: MemberId) -> f64 {
    let mut sent_count = 0;
    for n in 0..100 {
        let name = format!("c{}-{n}", harness.now);
        if let Some(target) = sent_to(&harness.send_request(&name, class, 900 * MS)) {
            sent_count += (target == member) as u32;
            let role = if target == 1 { Role::Primary } else { Role::Replica };
            harness.report_attempt_with(&name, 0, target, Ending::Served, None, Some(role));
        }
        harness.now += 10 * MS;
    }
    sent_count as f64 / 100.0
}
