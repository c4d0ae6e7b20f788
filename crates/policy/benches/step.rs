//! What one request and its outcome cost a router, by the number of groups that it serves: 100 requests a second in all,
//! whatever the number of groups, so that a cost which grows with it is spent on idle groups.

#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use petrelgauge_policy::*;

const GROUPS: [u64; 3] = [20, 133, 533];
const MEMBERS_OF_A_GROUP: u32 = 6;
const BETWEEN_REQUESTS: Time = 10_000;
const SERVICE_TIME: Time = 4_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Requests before the measurement, so that members have samples.
const WARM_UP: u64 = 2_000;

struct Load {
    router: Router,
    now: Time,
    groups: u64,
    requested: u64,
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
        group: n as u64 / MEMBERS_OF_A_GROUP as u64,
        zone: ZONES[n as usize % ZONES.len()].into(),
        weight: 1.0,
        started: 0,
        status: MemberStatus::Up,
        primary: n.is_multiple_of(MEMBERS_OF_A_GROUP),
    };
    let entries: Vec<Entry> = (0..groups as u32 * MEMBERS_OF_A_GROUP).map(entry).collect();
    Event::List { update: Update::Complete, entries: entries.into() }
}

impl Load {
    fn new(groups: u64) -> Load {
        let router = Router::new(settings(), 7).expect("sound settings");
        let mut load = Load { router, now: 1_000_000_000, groups, requested: 0, actions: Vec::new() };
        load.step(endpoint_list(groups));
        (0..WARM_UP).for_each(|_| load.request_and_outcome());
        load
    }

    fn step(&mut self, event: Event) {
        self.actions.clear();
        self.router.step(self.now, &[event], &mut self.actions);
    }

    fn request_and_outcome(&mut self) {
        self.now += BETWEEN_REQUESTS - SERVICE_TIME;
        self.requested += 1;
        let request: RequestId = format!("r{}", self.requested).into();
        self.step(Event::Request(RequestArrival {
            request: request.clone(),
            class: (self.requested % 3) as usize,
            group: self.requested.wrapping_mul(7_919) % self.groups,
            time_left: 900_000,
            is_retry: false,
            minimum_position: None,
        }));
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { member, .. } => Some(*member),
            _ => None,
        });
        let member = sent.expect("members with so little work take every request");
        self.now += SERVICE_TIME;
        self.step(self.served(request, member));
    }

    fn served(&self, request: RequestId, member: MemberId) -> Event {
        let primary = (member - 1).is_multiple_of(MEMBERS_OF_A_GROUP);
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
        let mut load = Load::new(groups);
        group.bench_function(BenchmarkId::from_parameter(groups), |bencher| {
            bencher.iter(|| load.request_and_outcome());
        });
    }
    group.finish();
}

criterion_group!(benches, request_and_outcome);
criterion_main!(benches);
