//! The rules that a fleet has to keep, checked against the records of hosts and clients.

use super::classes::{self, CLASSES, KEY_WINDOW};
use super::clients::{Fate, Record};
use super::gateways::ProcessEnd;
use super::hosts::{Arrival, Host};
use super::list::PUSH_SLACK;
use super::{Fleet, Time};
use petrelgauge_test_support::MAX_ATTEMPTS;
use std::collections::BTreeMap;
use std::time::Duration;

/// A draining host gets nothing new after this, 50 ms of slack included (microseconds).
const DRAIN_GRACE: Time = 2_050_000;
/// The time stated to a host may exceed the time that is left to the client by this (microseconds).
const STATED_WAIT_SLACK: Time = 150_000;
/// An attempt for a client that has disconnected arrives at most this much later (microseconds).
const DISCONNECT_SLACK: Time = 100_000;
/// How late the machine may deliver what was written, and clients and hosts may record it (microseconds).
const MACHINE_SLACK: Time = 50_000;
/// A request that was sent later than this after SIGTERM has to be answered before SIGKILL (microseconds).
const ANSWERED_BEFORE_KILL: Time = 700_000;

/// A budget below this many requests counts as small.
const SMALL_BUDGET: f64 = 30.0;

/// The busiest window of a host's slow start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Busiest {
    /// The host.
    pub host: usize,
    /// What the host was sent, as a share of its budget and the spread of chance.
    pub load: f64,
    /// What it was sent, in requests of mean execution time.
    pub sent: f64,
    /// Its budget, in the same unit.
    pub budget: f64,
    /// The time from the start to the window (microseconds).
    pub age: Time,
}

/// For each start, its busiest window among those that begin when all gateways count as notified.
pub fn busiest_windows(fleet: &Fleet) -> Vec<Busiest> {
    let mut windows = Vec::new();
    for host in &fleet.hosts {
        let starts = host.starts.borrow();
        for (place, start) in starts.iter().enumerate() {
            let Some(from) = start.notified_at else { continue };
            let until = starts.get(place + 1).map_or(Time::MAX, |next| next.at);
            let arrivals = host.arrivals.borrow();
            let own: Vec<&Arrival> =
                arrivals.iter().filter(|arrival| (from..until).contains(&arrival.at)).collect();
            windows.push(busiest(fleet, host, start.at, &own));
        }
    }
    windows
}

fn busiest(fleet: &Fleet, host: &Host, started: Time, arrivals: &[&Arrival]) -> Busiest {
    let slow_start = fleet.plan.slow_start;
    let window = slow_start.overload_span;
    let mean_work = classes::mean_work(&fleet.plan).as_secs_f64();
    let mut busiest = Busiest { host: host.number, ..Busiest::default() };
    for (place, first) in arrivals.iter().enumerate() {
        let age = first.at - started;
        let end = first.at + window.as_micros() as Time;
        let within = arrivals[place..].iter().take_while(|arrival| arrival.at < end);
        let sent: f64 =
            within.map(|arrival| CLASSES[arrival.class].work.as_secs_f64()).sum::<f64>() / mean_work;
        let share = slow_start.share(Duration::from_micros(age as u64));
        let budget = slow_start.overload_factor * share * Host::capacity(&fleet.plan) * window.as_secs_f64();
        // The spread of a Poisson count: more standard deviations where the count is small.
        let spread = if budget < SMALL_BUDGET { 3.0 } else { 2.0 };
        let load = sent / (budget + spread * budget.sqrt() + spread);
        if load > busiest.load {
            busiest = Busiest { host: host.number, load, sent, budget, age };
        }
    }
    busiest
}

/// The rules that were broken: each with what broke it.
pub fn broken(fleet: &Fleet) -> Vec<String> {
    let mut broken = Vec::new();
    for window in busiest_windows(fleet).iter().filter(|window| window.load > 1.0) {
        broken.push(format!("slow start: {window:?}"));
    }
    check_drains(fleet, &mut broken);
    check_requests(fleet, &mut broken);
    check_attempts(fleet, &mut broken);
    for gateway in &fleet.gateways {
        gateway.check_crash();
        if gateway.crashes.get() > 0 || gateway.process.log().contains("panicked") {
            broken.push(format!("crash: gateway {}: {}", gateway.number, gateway.process.log()));
        }
    }
    broken
}

fn check_drains(fleet: &Fleet, broken: &mut Vec<String>) {
    for drain in fleet.list.drains.borrow().iter() {
        let from = (drain.notified_at - PUSH_SLACK).saturating_add(DRAIN_GRACE + MACHINE_SLACK);
        let arrivals = fleet.hosts[drain.host].arrivals.borrow();
        if let Some(late) = arrivals.iter().find(|arrival| (from..drain.ended_at).contains(&arrival.at)) {
            broken.push(format!("drain: host {} notified at {}: {late:?}", drain.host, drain.notified_at));
        }
    }
}

fn check_requests(fleet: &Fleet, broken: &mut Vec<String>) {
    for record in fleet.ledger.records.borrow().iter() {
        if let Fate::Lost(cause) = record.fate {
            if !is_excused(fleet, record) {
                broken.push(format!("lost ({cause}): {record:?}"));
            }
        }
    }
}

/// Whether the answer was lost with a process that was killed before it owed the answer.
fn is_excused(fleet: &Fleet, record: &Record) -> bool {
    let ProcessEnd { terminated_at, killed_at } = fleet.gateways[record.gateway].process_end(record.sent);
    let is_late_in_shutdown = terminated_at.is_some_and(|at| record.sent > at + ANSWERED_BEFORE_KILL);
    killed_at.is_some_and(|at| at >= record.sent && at <= record.ended) && !is_late_in_shutdown
}

fn check_attempts(fleet: &Fleet, broken: &mut Vec<String>) {
    let records = fleet.ledger.records.borrow();
    let by_id: BTreeMap<&str, &Record> = records.iter().map(|record| (record.id.as_str(), record)).collect();
    let mut first_of_key: BTreeMap<String, Time> = BTreeMap::new();
    let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
    let mut arrivals: Vec<Arrival> =
        fleet.hosts.iter().flat_map(|host| host.arrivals.borrow().clone()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    for arrival in &arrivals {
        let Some(record) = by_id.get(arrival.id.as_str()) else {
            broken.push(format!("unknown request: {arrival:?}"));
            continue;
        };
        let count = attempts.entry(arrival.id.clone()).or_default();
        *count += 1;
        let ends = record.sent + record.deadline.as_micros() as Time;
        if arrival.at + arrival.wait_ms as Time * 1_000 > ends + STATED_WAIT_SLACK + MACHINE_SLACK {
            broken.push(format!("stated time: {arrival:?} of {record:?}"));
        }
        let is_disconnected = record.fate == Fate::Disconnected;
        if is_disconnected && arrival.at > record.ended + DISCONNECT_SLACK + MACHINE_SLACK {
            broken.push(format!("client disconnected: {arrival:?} of {record:?}"));
        }
        if let Some(key) = &arrival.key {
            let first = *first_of_key.entry(key.clone()).or_insert(arrival.at);
            if arrival.at > first + KEY_WINDOW.as_micros() as Time {
                broken.push(format!("key window: {arrival:?}, first at {first}"));
            }
        }
        // A client repeats a request that crossed the end of its connection.
        if *count > 2 * MAX_ATTEMPTS {
            broken.push(format!("attempts: {arrival:?}"));
        }
    }
}

/// How the requests of a play ended.
pub fn summary(fleet: &Fleet) -> String {
    let records = fleet.ledger.records.borrow();
    let count = |is: fn(&Fate) -> bool| records.iter().filter(|record| is(&record.fate)).count();
    let worst = busiest_windows(fleet).into_iter().max_by(|a, b| a.load.total_cmp(&b.load));
    format!(
        "requests {}, served {}, rejected {}, failed {}, not accepted {}, disconnected {}, lost {}, busiest slow start {worst:.2?}",
        records.len(),
        count(|fate| *fate == Fate::Served),
        count(|fate| matches!(fate, Fate::Rejected(_))),
        count(|fate| matches!(fate, Fate::Failed(_))),
        count(|fate| *fate == Fate::NotAccepted),
        count(|fate| *fate == Fate::Disconnected),
        count(|fate| matches!(fate, Fate::Lost(_))),
    )
}
