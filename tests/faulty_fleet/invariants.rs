//! The invariants of a fleet, checked against the records of hosts and clients.

use super::classes::{self, CLASSES, KEY_WINDOW, ORDER};
use super::clients::{Outcome, Record};
use super::crowds::CROWD_ID_PREFIX;
use super::gateways::ProcessEnd;
use super::hosts::{Arrival, Host};
use super::list::PUSH_SLACK;
use super::{Fleet, Time};
use petrelgauge_test_support::MAX_ATTEMPTS;
use std::collections::BTreeMap;
use std::time::Duration;

/// A draining host gets no new requests after this time, which includes 50 ms of slack (microseconds).
const DRAIN_GRACE: Time = 2_050_000;
/// The wait stated to a host may exceed the time left until the client's deadline by this (microseconds).
const STATED_WAIT_SLACK: Time = 150_000;
/// An attempt for a client that has disconnected arrives at most this much later (microseconds).
const DISCONNECT_SLACK: Time = 100_000;
/// Allowance for delays of the test machine in delivering data and in recording it (microseconds).
const MACHINE_SLACK: Time = 50_000;
/// A request that is sent later than this after SIGTERM must be answered before SIGKILL (microseconds).
const ANSWERED_BEFORE_KILL: Time = 700_000;

const BYTES_PER_MIB: usize = 1024 * 1024;

/// A budget below this many requests counts as small.
const SMALL_BUDGET: f64 = 30.0;

/// The window of a host's slow start with the highest load.
#[derive(Clone, Copy, Debug, Default)]
pub struct BusiestWindow {
    pub host: usize,
    /// Work sent to the host, divided by the sum of its budget and the random variation allowed.
    pub load: f64,
    /// Work sent to the host, in requests of mean execution time.
    pub sent: f64,
    /// Budget of the host, in requests of mean execution time.
    pub budget: f64,
    /// The time from the start to the window (microseconds).
    pub age: Time,
}

/// The busiest window of each start, among those that begin after all gateways count as notified of it.
pub fn busiest_windows(fleet: &Fleet) -> Vec<BusiestWindow> {
    let mut windows = Vec::new();
    for host in &fleet.hosts {
        let starts = host.starts.borrow();
        for (index, start) in starts.iter().enumerate() {
            let Some(from) = start.notified_at else { continue };
            let until = starts.get(index + 1).map_or(Time::MAX, |next| next.at);
            let arrivals = host.arrivals.borrow();
            let own: Vec<&Arrival> =
                arrivals.iter().filter(|arrival| (from..until).contains(&arrival.at)).collect();
            windows.push(busiest_window(fleet, host, start.at, &own));
        }
    }
    windows
}

fn busiest_window(fleet: &Fleet, host: &Host, started: Time, arrivals: &[&Arrival]) -> BusiestWindow {
    let slow_start = fleet.plan.slow_start;
    let window = slow_start.overload_span;
    let mean_execution_time = classes::mean_execution_time(&fleet.plan).as_secs_f64();
    let mut busiest = BusiestWindow { host: host.number, ..BusiestWindow::default() };
    for (index, first) in arrivals.iter().enumerate() {
        let age = first.at - started;
        let end = first.at + window.as_micros() as Time;
        let within = arrivals[index..].iter().take_while(|arrival| arrival.at < end);
        let sent: f64 =
            within.map(|arrival| CLASSES[arrival.class].execution_time.as_secs_f64()).sum::<f64>()
                / mean_execution_time;
        let share = slow_start.share(Duration::from_micros(age as u64));
        let budget = slow_start.overload_factor * share * Host::capacity(&fleet.plan) * window.as_secs_f64();
        // The variation of a Poisson count; small counts are allowed more standard deviations.
        let variation = if budget < SMALL_BUDGET { 3.0 } else { 2.0 };
        let load = sent / (budget + variation * budget.sqrt() + variation);
        if load > busiest.load {
            busiest = BusiestWindow { host: host.number, load, sent, budget, age };
        }
    }
    busiest
}

/// All violations, each with the record that shows it.
pub fn violations(fleet: &Fleet) -> Vec<String> {
    let mut violations = Vec::new();
    for window in busiest_windows(fleet).iter().filter(|window| window.load > 1.0) {
        violations.push(format!("slow start: {window:?}"));
    }
    check_drains(fleet, &mut violations);
    check_requests(fleet, &mut violations);
    check_attempts(fleet, &mut violations);
    check_orders(fleet, &mut violations);
    check_crowds(fleet, &mut violations);
    check_memory(fleet, &mut violations);
    for gateway in &fleet.gateways {
        gateway.check_crash();
        if gateway.crashes.get() > 0 || gateway.process.log().contains("panicked") {
            violations.push(format!("crash: gateway {}: {}", gateway.number, gateway.process.log()));
        }
    }
    violations
}

fn check_drains(fleet: &Fleet, violations: &mut Vec<String>) {
    for drain in fleet.list.drains.borrow().iter() {
        let from = (drain.notified_at - PUSH_SLACK).saturating_add(DRAIN_GRACE + MACHINE_SLACK);
        let arrivals = fleet.hosts[drain.host].arrivals.borrow();
        if let Some(late) = arrivals.iter().find(|arrival| (from..drain.ended_at).contains(&arrival.at)) {
            violations
                .push(format!("drain: host {} notified at {}: {late:?}", drain.host, drain.notified_at));
        }
    }
}

fn check_requests(fleet: &Fleet, violations: &mut Vec<String>) {
    for record in fleet.request_log.records.borrow().iter() {
        if let Outcome::Lost(cause) = record.outcome {
            if !is_excused(fleet, record) {
                violations.push(format!("lost ({cause}): {record:?}"));
            }
        }
    }
}

/// Whether the answer was lost because the process was killed, except where the request had to be answered
/// before SIGKILL: see `ANSWERED_BEFORE_KILL`.
fn is_excused(fleet: &Fleet, record: &Record) -> bool {
    let ProcessEnd { terminated_at, killed_at } = fleet.gateways[record.gateway].process_end(record.sent);
    let is_late_in_shutdown = terminated_at.is_some_and(|at| record.sent > at + ANSWERED_BEFORE_KILL);
    killed_at.is_some_and(|at| at >= record.sent && at <= record.ended) && !is_late_in_shutdown
}

fn check_attempts(fleet: &Fleet, violations: &mut Vec<String>) {
    let records = fleet.request_log.records.borrow();
    let record_by_id: BTreeMap<&str, &Record> =
        records.iter().map(|record| (record.id.as_str(), record)).collect();
    let mut first_arrival_by_key: BTreeMap<String, Time> = BTreeMap::new();
    let mut attempts_by_id: BTreeMap<String, usize> = BTreeMap::new();
    let mut arrivals: Vec<Arrival> =
        fleet.hosts.iter().flat_map(|host| host.arrivals.borrow().clone()).collect();
    arrivals.retain(|arrival| !arrival.id.starts_with(CROWD_ID_PREFIX));
    arrivals.sort_by_key(|arrival| arrival.at);
    for arrival in &arrivals {
        let Some(record) = record_by_id.get(arrival.id.as_str()) else {
            violations.push(format!("unknown request: {arrival:?}"));
            continue;
        };
        let attempts = attempts_by_id.entry(arrival.id.clone()).or_default();
        *attempts += 1;
        let ends = record.sent + record.deadline.as_micros() as Time;
        if arrival.at + arrival.wait_ms as Time * 1_000 > ends + STATED_WAIT_SLACK + MACHINE_SLACK {
            violations.push(format!("stated wait: {arrival:?} of {record:?}"));
        }
        let is_disconnected = record.outcome == Outcome::Disconnected;
        if is_disconnected && arrival.at > record.ended + DISCONNECT_SLACK + MACHINE_SLACK {
            violations.push(format!("client disconnected: {arrival:?} of {record:?}"));
        }
        if let Some(key) = &arrival.key {
            let first = *first_arrival_by_key.entry(key.clone()).or_insert(arrival.at);
            if arrival.at > first + KEY_WINDOW.as_micros() as Time {
                violations.push(format!("key window: {arrival:?}, first at {first}"));
            }
        }
        // A client sends a request a second time if its connection ended before the request was read.
        if *attempts > 2 * MAX_ATTEMPTS {
            violations.push(format!("attempts: {arrival:?}"));
        }
    }
}

/// An order that was taken while its class allowed no repeat is executed once at most.
fn check_orders(fleet: &Fleet, violations: &mut Vec<String>) {
    let mut executions: BTreeMap<String, usize> = BTreeMap::new();
    for host in &fleet.hosts {
        host.executed_orders.borrow().iter().for_each(|id| *executions.entry(id.clone()).or_default() += 1);
    }
    for record in fleet.request_log.records.borrow().iter().filter(|record| record.class == ORDER) {
        let gateway = &fleet.gateways[record.gateway];
        let was_unsafe = |at: Time| gateway.binding_settings(at).orders_are_unsafe;
        let count = executions.get(&record.id).copied().unwrap_or(0);
        if count > 1 && was_unsafe(record.sent) && was_unsafe(record.sent + MACHINE_SLACK) {
            violations.push(format!("executed {count} times: {record:?}"));
        }
    }
}

/// A write that a crowd sends again after its client has left reaches a host once at most, but for attempts
/// that were rejected: a replica is no primary.
fn check_crowds(fleet: &Fleet, violations: &mut Vec<String>) {
    let mut writes: BTreeMap<String, usize> = BTreeMap::new();
    for host in fleet.hosts.iter().filter(|host| host.is_primary.get()) {
        let arrivals = host.arrivals.borrow();
        let own = arrivals.iter().filter(|arrival| arrival.id.starts_with(CROWD_ID_PREFIX));
        own.filter(|arrival| arrival.key.is_some())
            .for_each(|arrival| *writes.entry(arrival.id.clone()).or_default() += 1);
    }
    for (id, count) in writes.iter().filter(|(_, count)| **count > 1) {
        violations.push(format!("sent {count} times: {id}"));
    }
}

/// A gateway over its limit on memory is killed.
fn check_memory(fleet: &Fleet, violations: &mut Vec<String>) {
    for gateway in &fleet.gateways {
        let (peak, limit) = (gateway.peak_memory.get(), fleet.plan.memory_mb * BYTES_PER_MIB);
        if peak > limit {
            violations.push(format!("memory: gateway {} needed {peak} of {limit} bytes", gateway.number));
        }
    }
}

/// Counts of the requests by outcome, and the busiest slow start.
pub fn summary(fleet: &Fleet) -> String {
    let records = fleet.request_log.records.borrow();
    let count = |is: fn(&Outcome) -> bool| records.iter().filter(|record| is(&record.outcome)).count();
    let worst = busiest_windows(fleet).into_iter().max_by(|a, b| a.load.total_cmp(&b.load));
    format!(
        "requests {}, served {}, rejected {}, failed {}, not accepted {}, disconnected {}, lost {}, \
         memory {} KiB, busiest slow start {worst:.2?}",
        records.len(),
        count(|outcome| *outcome == Outcome::Served),
        count(|outcome| matches!(outcome, Outcome::Rejected(_))),
        count(|outcome| matches!(outcome, Outcome::Failed(_))),
        count(|outcome| *outcome == Outcome::NotAccepted),
        count(|outcome| *outcome == Outcome::Disconnected),
        count(|outcome| matches!(outcome, Outcome::Lost(_))),
        fleet.gateways.iter().map(|gateway| gateway.peak_memory.get()).max().unwrap_or(0) / 1024,
    )
}
