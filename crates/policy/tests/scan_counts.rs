//! What health checks scan while members are silent: it must grow with what is silent and not with what the router
//! serves. Entries are counted, no time is measured.

mod common;
use common::*;
use petrelgauge_policy::*;
use std::collections::BTreeMap;

const MEMBERS_OF_A_GROUP: u32 = 6;
const FEW_GROUPS: u32 = 20;
const MANY_GROUPS: u32 = 320;
const ZONES: [&str; 3] = ["a", "b", "c"];
const READ: usize = 2;
const BETWEEN_REQUESTS: Time = 10 * MS;
const SERVICE_TIME: Time = 20 * MS;
const SECOND: Time = 1_000 * MS;

/// An attempt whose outcome comes later.
struct InFlight {
    request: RequestId,
    attempt: u32,
    member: MemberId,
    sent: Time,
    due: Time,
    ending: Ending,
}

/// A router with reads at an even pace, whatever the number of its groups.
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
        let entries: Vec<Entry> = (0..groups * MEMBERS_OF_A_GROUP).map(listed).collect();
        load.step(&[Event::List { update: Update::Complete, entries: entries.into() }]);
        load
    }

    fn run(&mut self, span: Time) {
        let end = self.now + span;
        while self.now < end {
            self.now += BETWEEN_REQUESTS;
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
        let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|out| out.due <= now);
        self.in_flight = later;
        let due: Vec<InFlight> = due;
        due.into_iter().map(|out| outcome(out, now)).collect()
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
            // No two answers take the same time, so that no member is the quickest one.
            let extra = Time::from(self.requested * 7_919 % 101) * MS / 10;
            (self.now + SERVICE_TIME + extra, Ending::Served)
        };
        self.in_flight.push(InFlight { request, attempt, member, sent: self.now, due, ending });
    }

    fn cancel(&mut self, request: &RequestId, attempt: u32) {
        let is_named = |out: &&mut InFlight| out.request == *request && out.attempt == attempt;
        for out in self.in_flight.iter_mut().filter(is_named) {
            (out.due, out.ending) = (self.now, Ending::Cancelled);
            self.cancelled += 1;
        }
    }

    /// What is scanned within the span, once everything has settled.
    fn scans_in(&mut self, span: Time) -> ScanCounts {
        let before = self.router.scan_counts();
        self.run(span);
        let after = self.router.scan_counts();
        ScanCounts { members: after.members - before.members, requests: after.requests - before.requests }
    }
}

fn listed(place: u32) -> Entry {
    Entry {
        member: place + 1,
        group: GroupId::from(place / MEMBERS_OF_A_GROUP),
        zone: ZONES[place as usize % ZONES.len()].into(),
        weight: 1.0,
        started: 0,
        status: MemberStatus::Up,
        primary: place.is_multiple_of(MEMBERS_OF_A_GROUP),
    }
}

fn outcome(out: InFlight, now: Time) -> Event {
    let is_served = out.ending == Ending::Served;
    let role =
        if (out.member - 1).is_multiple_of(MEMBERS_OF_A_GROUP) { Role::Primary } else { Role::Replica };
    Event::Outcome(AttemptOutcome {
        request: out.request,
        attempt: out.attempt,
        member: out.member,
        ending: out.ending,
        took: now - out.sent,
        closed: is_served,
        position: is_served.then_some(now),
        role: is_served.then_some(role),
        report: Report::default(),
    })
}

fn in_zone_b(member: MemberId) -> bool {
    (member - 1) % ZONES.len() as u32 == 1
}

/// Visits of ten seconds with a zone cut off, from two seconds after the cut on.
fn scans_during_a_cut(groups: u32) -> ScanCounts {
    let mut load = Load::new(groups);
    load.run(3 * SECOND);
    load.is_silent = in_zone_b;
    load.run(2 * SECOND);
    load.scans_in(10 * SECOND)
}

#[test]
fn an_unreachable_zone_is_not_scanned_with_each_check() {
    let few = scans_during_a_cut(FEW_GROUPS);
    let many = scans_during_a_cut(MANY_GROUPS);
    assert!(many.members <= few.members * 5 / 4, "{many:?}, with few groups {few:?}");
}

#[test]
fn a_silent_member_is_scanned_no_more_often_beside_many_groups() {
    let scans = |groups| {
        let mut load = Load::new(groups);
        load.run(3 * SECOND);
        load.is_silent = |member| member == 2;
        load.run(2 * SECOND);
        load.scans_in(10 * SECOND).members
    };
    let (few, many) = (scans(FEW_GROUPS), scans(MANY_GROUPS));
    // A loss has the zones checked: its trials may hang, and the answers in between clear it.
    let all = u64::from(MANY_GROUPS * MEMBERS_OF_A_GROUP);
    assert!(many <= few + 3 * all, "{many} beside many groups, {few} beside few");
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
    // Nothing is scanned for the other members of the zone, which have nothing in flight.
    assert!(scans.requests <= 2 * load.cancelled as u64, "{scans:?}, cancelled {}", load.cancelled);
}
