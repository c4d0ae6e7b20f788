//! Cost of one request and its outcome, by the number of groups that the router serves. The total rate is 100
//! requests per second for any number of groups, so any growth of the cost is caused by idle groups.

#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use petrelgauge_policy::*;

const GROUPS: [u64; 3] = [20, 133, 533];
const MEMBERS_PER_GROUP: u32 = 6;
const REQUEST_INTERVAL: Time = 10_000;
const SERVICE_TIME: Time = 4_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Requests before the measurement, so that the router has samples of the members.
const WARM_UP_REQUESTS: u64 = 2_000;

struct Workload {
    router: Router,
    now: Time,
    groups: u64,
    request_count: u64,
    actions: Vec<Action>,
}

fn settings() -> Settings {
    let class = |name: &str, need, effect| Class {
        name: name.into(),
        need,
        effect,
        attempts: 4,
        latency_target: 200_000,
        deadline: 1_000_000,
        priority_weight: 1.0,
        late_share: 0.0,
    };
    let idempotent = Effect::Keyed { window: 5_000_000, scope: Scope::Group };
    let classes = vec![
        class("read", Need::Bounded(300_000), Effect::Safe),
        class("any", Need::Eventual, Effect::Safe),
        class("write", Need::Write, idempotent),
    ];
    Settings { classes, zone: "a".into(), ..Settings::default() }
}

fn endpoint_list(groups: u64) -> Event {
    let entry = |n: u32| Entry {
        member: n + 1,
        group: n as u64 / MEMBERS_PER_GROUP as u64,
        zone: ZONES[n as usize % ZONES.len()].into(),
        weight: 1.0,
        started: 0,
        status: MemberStatus::Up,
        primary: n.is_multiple_of(MEMBERS_PER_GROUP),
    };
    let entries: Vec<Entry> = (0..groups as u32 * MEMBERS_PER_GROUP).map(entry).collect();
    Event::List { update: Update::Complete, entries: entries.into() }
}

impl Workload {
    fn new(groups: u64) -> Workload {
        let router = Router::new(settings(), 7).expect("valid settings");
        let mut workload =
            Workload { router, now: 1_000_000_000, groups, request_count: 0, actions: Vec::new() };
        workload.step(endpoint_list(groups));
        (0..WARM_UP_REQUESTS).for_each(|_| workload.request_and_outcome());
        workload
    }

    fn step(&mut self, event: Event) {
        self.actions.clear();
        self.router.step(self.now, &[event], &mut self.actions);
    }

    fn request_and_outcome(&mut self) {
        self.now += REQUEST_INTERVAL - SERVICE_TIME;
        self.request_count += 1;
        let request: RequestId = format!("r{}", self.request_count).into();
        self.step(Event::Request(RequestArrival {
            request: request.clone(),
            class: (self.request_count % 3) as usize,
            group: self.request_count.wrapping_mul(7_919) % self.groups,
            time_left: 900_000,
            is_retry: false,
            minimum_position: None,
        }));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { member, .. } => Some(*member),
            _ => None,
        });
        let member = sent.expect("idle members accept every request");
        self.now += SERVICE_TIME;
        self.step(self.served(request, member));
    }

    fn served(&self, request: RequestId, member: MemberId) -> Event {
        let primary = (member - 1).is_multiple_of(MEMBERS_PER_GROUP);
        Event::Outcome(AttemptOutcome {
            request,
            attempt: 0,
            member,
            ending: Ending::Served,
            took: SERVICE_TIME,
            closed: true,
            position: Some(self.now),
            role: Some(if primary { Role::Primary } else { Role::Replica }),
            report: Report::default(),
        })
    }
}

fn request_and_outcome(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request_and_outcome");
    for groups in GROUPS {
        let mut workload = Workload::new(groups);
        group.bench_function(BenchmarkId::from_parameter(groups), |bencher| {
            bencher.iter(|| workload.request_and_outcome());
        });
    }
    group.finish();
}

criterion_group!(benches, request_and_outcome);
criterion_main!(benches);
