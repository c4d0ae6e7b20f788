//! Settings that change while the router still has to learn what happened to requests of an earlier class.

use petrelgauge_lifecycle::class_table::{IdempotencyKey, OVERLAP};
use petrelgauge_lifecycle::request_table::{
    AttemptSpec, ClassLookup, Outcome, Request, RequestTable, TableCommand,
};
use petrelgauge_policy::{
    Class, Effect, Ending, Entry, MemberStatus, Need, RequestId, Settings, Time, Update,
};

const SECOND: Time = 1_000_000;
const START: Time = 100 * SECOND;
/// Minimum time between two steps of the router (microseconds).
const GRANULARITY: Time = 5_000;

fn class(name: &str, attempts: u32) -> Class {
    Class {
        name: name.into(),
        need: Need::Eventual,
        effect: Effect::Safe,
        attempts,
        latency_target: 4 * SECOND,
        deadline: 8 * SECOND,
        priority_weight: 1.0,
        late_share: 0.2,
    }
}

fn settings(classes: Vec<Class>) -> Settings {
    Settings { granularity: GRANULARITY, classes, ..Settings::default() }
}

fn table(classes: Vec<Class>) -> RequestTable {
    let mut table = RequestTable::new(settings(classes), 7, None).expect("valid settings");
    let member = Entry {
        member: 1,
        group: 9,
        zone: "here".into(),
        weight: 1.0,
        started: 0,
        status: MemberStatus::Up,
        primary: true,
    };
    table.update_endpoints(Update::Complete, vec![member]);
    table.tick(START);
    table
}

fn reload(table: &mut RequestTable, now: Time, classes: Vec<Class>) {
    table.apply_settings(now, settings(classes), &[]).expect("valid settings");
}

fn find(table: &RequestTable, now: Time, name: &str) -> usize {
    let ClassLookup { index, .. } =
        table.find_class(table.class_version(), now, name, IdempotencyKey::Absent).expect("it is in force");
    index
}

fn admit(table: &mut RequestTable, now: Time, class: usize) -> RequestId {
    table.admit(Request {
        class,
        group: 9,
        deadline: now + 8 * SECOND,
        is_retry: false,
        arrived_at: now,
        required_position: None,
        session: None,
    })
}

fn step(table: &mut RequestTable, now: Time) -> Vec<TableCommand> {
    table.tick(now).commands
}

fn sent(commands: Vec<TableCommand>) -> AttemptSpec {
    let attempt = commands.into_iter().find_map(|command| match command {
        TableCommand::Send(attempt) => Some(attempt),
        _ => None,
    });
    attempt.expect("an attempt is issued")
}

/// A table in which the outcome of an attempt waits for the router's next step. The attempt is of the class
/// `view` with seven attempts, which is neither in force nor known to clients any more. Returns the time and
/// the index of that class too.
fn with_waiting_outcome(beside: Vec<Class>) -> (RequestTable, Time, usize) {
    let in_force = || [vec![class("view", 8)], beside.clone()].concat();
    let mut table = table(in_force());
    let mut now = START + SECOND;
    reload(&mut table, now, [vec![class("view", 7)], beside.clone()].concat());
    let held = find(&table, now, "view");
    admit(&mut table, now, held);
    let attempt = sent(step(&mut table, now));
    reload(&mut table, now, in_force());
    now += OVERLAP;
    step(&mut table, now);
    assert!(table.report(now + 1, &attempt, Outcome::without_report(Ending::Served)));
    (table, now + 2, held)
}

// Regression: a reload between the report of an attempt and the router's next step cut its class off the
// table. The router then looked the class up by an index that was gone, and the process ended.
#[test]
fn an_outcome_that_waits_for_the_next_step_keeps_its_class() {
    let (mut table, now, _) = with_waiting_outcome(Vec::new());
    reload(&mut table, now, vec![class("view", 8)]);
    assert_eq!(step(&mut table, now + GRANULARITY), Vec::new());
    assert_eq!((table.open_request_count(), table.in_flight_attempt_count()), (0, 0));
}

// Regression: where the index was not cut off but given to another class, nothing ended, and the outcome
// counted for that class.
#[test]
fn the_class_of_a_waiting_outcome_is_not_replaced_by_another() {
    let beside = vec![class("browse", 8)];
    let (mut table, now, held) = with_waiting_outcome(beside.clone());
    let more = [vec![class("view", 8)], beside, vec![class("extra", 8), class("other", 8)]].concat();
    reload(&mut table, now, more);
    let indexes = ["extra", "other"].map(|name| find(&table, now, name));
    assert!(!indexes.contains(&held), "{indexes:?} {held}");
    assert_eq!(table.class(held), Some(&class("view", 7)));
    // Once the router has stepped, the index is free again.
    step(&mut table, now + GRANULARITY);
    reload(&mut table, now + GRANULARITY, vec![class("view", 8), class("browse", 8), class("new", 8)]);
    assert_eq!(find(&table, now + GRANULARITY, "new"), held);
}

// The client has left before the router learned of the request: its arrival and its end wait together.
#[test]
fn an_abandoned_request_that_the_router_has_not_seen_keeps_its_class() {
    let mut table = table(vec![class("view", 8)]);
    let mut now = START + SECOND;
    reload(&mut table, now, vec![class("view", 7)]);
    let held = find(&table, now, "view");
    step(&mut table, now);
    reload(&mut table, now, vec![class("view", 8)]);
    now += OVERLAP;
    let request = admit(&mut table, now, held);
    assert!(table.abandon(&request));
    reload(&mut table, now, vec![class("view", 8), class("extra", 8)]);
    assert_ne!(find(&table, now, "extra"), held);
    assert_eq!(table.class(held), Some(&class("view", 7)));
    assert_eq!(step(&mut table, now + GRANULARITY), Vec::new());
}

// The request has its answer from the router's own decision; its attempt may end much later.
#[test]
fn an_attempt_that_outlives_its_request_keeps_its_class() {
    let mut table = table(vec![class("view", 8)]);
    let mut now = START + SECOND;
    reload(&mut table, now, vec![class("view", 7)]);
    let held = find(&table, now, "view");
    let request = admit(&mut table, now, held);
    let attempt = sent(step(&mut table, now));
    assert!(table.abandon(&request));
    step(&mut table, now + GRANULARITY);
    for _ in 0..3 {
        now += OVERLAP;
        reload(&mut table, now, vec![class("view", 8), class("extra", 8)]);
        assert_eq!(table.class(held), Some(&class("view", 7)));
    }
    assert!(!table.report(now, &attempt, Outcome::without_report(Ending::Cancelled)));
    step(&mut table, now + GRANULARITY);
    assert_eq!(table.in_flight_attempt_count(), 0);
}
