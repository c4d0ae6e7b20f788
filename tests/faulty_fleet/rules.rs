//! The rules that a fleet keeps, checked on the records of hosts and clients.

use super::classes::{self, CLASSES, KEY_WINDOW};
use super::clients::{Fate, Record};
use super::hosts::{Arrival, Host};
use super::list::PUSH_SLACK;
use super::{Fleet, Time};
use petrelgauge_test_support::MAX_ATTEMPTS;
use std::collections::BTreeMap;
use std::time::Duration;

/// After this a host that drains gets nothing new, 50 ms of slack included.
const DRAIN_GRACE: Time = 2_050_000;
/// What a gateway tells a host may exceed what is left to the client by this.
const TOLD_WAIT_SLACK: Time = 150_000;
/// An attempt for a client that has gone begins at most this much later.
const GONE_SLACK: Time = 100_000;
/// How late this machine may hand over what was written, and clients and hosts may note it.
const MACHINE_SLACK: Time = 50_000;
/// A request that came so long after SIGTERM must not be found unanswered by SIGKILL.
const TAKEN_BEFORE_TERM: Time = 700_000;

/// The busiest window of a host's slow start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Busiest {
    pub host: usize,
    /// What the host was sent, in parts of what it may be sent with the spread of chance.
    pub part: f64,
    /// The same in requests of mean work.
    pub sent: f64,
    /// What it may be sent without that spread.
    pub budget: f64,
    /// How long after the start.
    pub age: Time,
}

/// The busiest window, of those that begin when all gateways count as notified, of each start.
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
        let (spread, more) = if budget < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        let part = sent / (budget + spread * budget.sqrt() + more);
        if part > busiest.part {
            busiest = Busiest { host: host.number, part, sent, budget, age };
        }
    }
    busiest
}

/// Each rule that was broken, in a sentence.
pub fn broken(fleet: &Fleet) -> Vec<String> {
    let mut broken = Vec::new();
    for window in busiest_windows(fleet).iter().filter(|window| window.part > 1.0) {
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

/// Whether a process that was killed owes this answer no more.
fn is_excused(fleet: &Fleet, record: &Record) -> bool {
    let (told_to_stop, killed) = fleet.gateways[record.gateway].stopped(record.sent);
    let is_late_in_stop = told_to_stop.is_some_and(|at| record.sent > at + TAKEN_BEFORE_TERM);
    killed.is_some_and(|at| at >= record.sent && at <= record.ended) && !is_late_in_stop
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
        if arrival.at + arrival.wait_ms as Time * 1_000 > ends + TOLD_WAIT_SLACK + MACHINE_SLACK {
            broken.push(format!("time told: {arrival:?} of {record:?}"));
        }
        let is_gone = record.fate == Fate::Left;
        if is_gone && arrival.at > record.ended + GONE_SLACK + MACHINE_SLACK {
            broken.push(format!("client gone: {arrival:?} of {record:?}"));
        }
        if let Some(key) = &arrival.key {
            let first = *first_of_key.entry(key.clone()).or_insert(arrival.at);
            if arrival.at > first + KEY_WINDOW.as_micros() as Time {
                broken.push(format!("key window: {arrival:?}, first at {first}"));
            }
        }
        // A client sends a request that crossed the end of a connection once more.
        if *count > 2 * MAX_ATTEMPTS {
            broken.push(format!("attempts: {arrival:?}"));
        }
    }
}

/// What was asked and served, for the reader of a play.
pub fn summary(fleet: &Fleet) -> String {
    let records = fleet.ledger.records.borrow();
    let count = |is: fn(&Fate) -> bool| records.iter().filter(|record| is(&record.fate)).count();
    let worst = busiest_windows(fleet).into_iter().max_by(|a, b| a.part.total_cmp(&b.part));
    format!(
        "asked {}, served {}, refused {}, failed {}, not taken {}, left {}, lost {}, busiest slow start {worst:.2?}",
        records.len(),
        count(|fate| *fate == Fate::Served),
        count(|fate| matches!(fate, Fate::Refused(_))),
        count(|fate| matches!(fate, Fate::Failed(_))),
        count(|fate| *fate == Fate::NotTaken),
        count(|fate| *fate == Fate::Left),
        count(|fate| matches!(fate, Fate::Lost(_))),
    )
}
