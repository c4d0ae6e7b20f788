//! What health checks scan while members are silent: the cost must grow with the number of silent members and
//! not with the number of members that the router serves. The tests count scanned entries and measure no
//! time.

mod common;
use common::*;
use petrelgauge_policy::*;
use std::collections::BTreeMap;

const MEMBERS_PER_GROUP: u32 = 6;
const FEW_GROUPS: u32 = 20;
const MANY_GROUPS: u32 = 320;
const ZONES: [&str; 3] = ["a", "b", "c"];
const READ: usize = 2;
const REQUEST_INTERVAL: Time = 10 * MS;
const SERVICE_TIME: Time = 20 * MS;
const SECOND: Time = 1_000 * MS;

/// An attempt whose outcome is not yet reported.
struct InFlight {
    request: RequestId,
    attempt: u32,
    member: MemberId,
    sent: Time,
    due: Time,
    ending: Ending,
}

/// A router that gets reads at a constant rate, independent of the number of its groups.
struct Load {
    router: Router,
    now: Time,
    requested: u32,
    is_silent: fn(MemberId) -> bool,
    in_flight: Vec<InFlight>,
    attempts: BTreeMap<RequestId, u32>,
    cancelled: usize,
}

impl Load {
    fn new(groups: u32) -> Load {
        let settings = Settings { may_probe: false, ..settings() };
        let mut load = Load {
            router: Router::new(settings, 5).expect("sound settings"),
            now: START,
            requested: 0,
            is_silent: |_| false,
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            cancelled: 0,
        };
        let entries: Vec<Entry> = (0..groups * MEMBERS_PER_GROUP).map(listed).collect();
        load.step(&[Event::List { update: Update::Complete, entries: entries.into() }]);
        load
    }

    fn run(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.now += REQUEST_INTERVAL;
            self.requested += 1;
            let name = format!("r{}", self.requested);
            let mut events = self.outcomes();
            events.push(Event::Request(RequestArrival {
                request: name.as_str().into(),
                class: READ,
                group: GroupId::from(self.requested * 7 % FEW_GROUPS),
                time_left: 900 * MS,
                is_retry: false,
                minimum_position: None,
            }));
            events.push(Event::Timer { token: 0 });
            self.step(&events);
        }
    }

    fn outcomes(&mut self) -> Vec<Event> {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|attempt_in_flight| attempt_in_flight.due <= now);
        self.in_flight = later;
        let due: Vec<InFlight> = due;
        due.into_iter().map(|attempt_in_flight| outcome(attempt_in_flight, now)).collect()
    }

    fn step(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.router.step(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, member, until } => self.send(request, member, until),
                Action::Cancel { request, attempt } => self.cancel(&request, attempt),
                _ => {}
            }
        }
    }

    fn send(&mut self, request: RequestId, member: MemberId, until: Time) {
        let count = self.attempts.entry(request.clone()).or_default();
        let attempt = *count;
        *count += 1;
        let (due, ending) = if (self.is_silent)(member) {
            (until, Ending::TimedOut)
        } else {
            // Service times vary, so that no member is always the fastest one.
            let extra = Time::from(self.requested * 7_919 % 101) * MS / 10;
            (self.now + SERVICE_TIME + extra, Ending::Served)
        };
        self.in_flight.push(InFlight { request, attempt, member, sent: self.now, due, ending });
    }

    fn cancel(&mut self, request: &RequestId, attempt: u32) {
        let is_named = |attempt_in_flight: &&mut InFlight| {
            attempt_in_flight.request == *request && attempt_in_flight.attempt == attempt
        };
        for attempt_in_flight in self.in_flight.iter_mut().filter(is_named) {
            (attempt_in_flight.due, attempt_in_flight.ending) = (self.now, Ending::Cancelled);
            self.cancelled += 1;
        }
    }

    /// Entries scanned while running for this span.
    fn scans_in(&mut self, span: Time) -> ScanCounts {
        let before = self.router.scan_counts();
        self.run(span);
        let after = self.router.scan_counts();
        ScanCounts { members: after.members - before.members, requests: after.requests - before.requests }
    }
}

fn listed(index: u32) -> Entry {
    Entry {
        member: index + 1,
        group: GroupId::from(index / MEMBERS_PER_GROUP),
        zone: ZONES[index as usize % ZONES.len()].into(),
        weight: 1.0,
        started: 0,
        status: MemberStatus::Up,
        primary: index.is_multiple_of(MEMBERS_PER_GROUP),
    }
}

fn outcome(attempt_in_flight: InFlight, now: Time) -> Event {
    let is_served = attempt_in_flight.ending == Ending::Served;
    let role = if (attempt_in_flight.member - 1).is_multiple_of(MEMBERS_PER_GROUP) {
        Role::Primary
    } else {
        Role::Replica
    };
    Event::Outcome(AttemptOutcome {
        request: attempt_in_flight.request,
        attempt: attempt_in_flight.attempt,
        member: attempt_in_flight.member,
        ending: attempt_in_flight.ending,
        took: now - attempt_in_flight.sent,
        closed: is_served,
        position: is_served.then_some(now),
        role: is_served.then_some(role),
        report: Report::default(),
    })
}

fn in_zone_b(member: MemberId) -> bool {
    (member - 1) % ZONES.len() as u32 == 1
}

/// Entries scanned in ten seconds, from two seconds after a zone became unreachable.
fn scans_with_an_unreachable_zone(groups: u32) -> ScanCounts {
    let mut load = Load::new(groups);
    load.run(3 * SECOND);
    load.is_silent = in_zone_b;
    load.run(2 * SECOND);
    load.scans_in(10 * SECOND)
}

#[test]
fn an_unreachable_zone_is_not_scanned_with_each_check() {
    let few = scans_with_an_unreachable_zone(FEW_GROUPS);
    let many = scans_with_an_unreachable_zone(MANY_GROUPS);
    assert!(many.members <= few.members * 5 / 4, "{many:?}, with few groups {few:?}");
}

#[test]
fn a_silent_member_is_scanned_no_more_often_with_many_groups() {
    let scans = |groups| {
        let mut load = Load::new(groups);
        load.run(3 * SECOND);
        load.is_silent = |member| member == 2;
        load.run(2 * SECOND);
        load.scans_in(10 * SECOND).members
    };
    let (few, many) = (scans(FEW_GROUPS), scans(MANY_GROUPS));
    // A lost attempt leads to a check of the zones. Trials may stay unanswered, and answers in between end
    // the suspicion.
    let all = u64::from(MANY_GROUPS * MEMBERS_PER_GROUP);
    assert!(many <= few + 3 * all, "{many} with many groups, {few} with few");
}

#[test]
fn only_attempts_at_silent_members_are_scanned_for_cancellation() {
    let mut load = Load::new(MANY_GROUPS);
    load.run(3 * SECOND);
    load.is_silent = in_zone_b;
    let scans = load.scans_in(2 * SECOND);
    println!(
        "{scans:?}: {} cancelled, {} attempts, {} requests, {} in flight",
        load.cancelled,
        load.attempts.values().sum::<u32>(),
        load.requested,
        load.in_flight.len()
    );
    assert!(load.cancelled > 0);
    // The other members of the zone have nothing in flight and are not scanned.
    assert!(scans.requests <= 2 * load.cancelled as u64, "{scans:?}, cancelled {}", load.cancelled);
}
