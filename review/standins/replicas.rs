//! A group of database hosts that hold the same data: a primary and replicas that apply its log a little later.

use super::discovery::Member;
use super::host::{Host, HostConnection, Query};
use super::record::Record;
use super::{sleep_ms, unix_ms, wire};
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A commit of a key.
#[derive(Clone, Copy)]
struct Commit {
    /// Unix time in milliseconds, rounded up.
    at_ms: u64,
    version: u64,
}

/// What the hosts of a group share.
pub struct Group {
    record: Record,
    /// The commits of each key, oldest first.
    log: Mutex<BTreeMap<String, Vec<Commit>>>,
    /// How far the replicas are behind (milliseconds), by the number of the replica.
    lags: Vec<AtomicU64>,
    work_ms: u64,
    long_class: &'static str,
    long_value: usize,
}

/// Options of [`Group::new`].
pub struct GroupOptions {
    /// How far each replica is behind at first (milliseconds).
    pub lags_ms: Vec<u64>,
    /// Time that a host works on a request (milliseconds).
    pub work_ms: u64,
    /// The class whose values are long; none if this is empty.
    pub long_class: &'static str,
    /// Size of a long value (bytes).
    pub long_value: usize,
}

/// Data of class `balance-view` are at most this old (milliseconds) when the request is sent.
const BALANCE_VIEW_BOUND_MS: u64 = 300;

impl Group {
    /// Creates a group.
    pub fn new(record: &Record, options: GroupOptions) -> Arc<Group> {
        let GroupOptions { lags_ms, work_ms, long_class, long_value } = options;
        let lags = lags_ms.into_iter().map(AtomicU64::new).collect();
        let log = Mutex::default();
        Arc::new(Group { record: record.clone(), log, lags, work_ms, long_class, long_value })
    }

    /// Starts the primary `s-0` and the replicas `s-1` and so on, and returns them as discovery lists them.
    pub fn start(self: &Arc<Self>, cell: u64) -> Vec<Member> {
        let mut members = Vec::new();
        for number in 0..=self.lags.len() {
            let group = self.clone();
            let host = Host::start(Arc::new(move |query: &Query, connection: &mut HostConnection| {
                group.answer(number, query, connection)
            }));
            let role = if number == 0 { "primary" } else { "standby" };
            members.push(Member::up(&format!("s-{number}"), host.address, cell, role));
        }
        members
    }

    /// Sets how far a replica is behind. Its position must not go back: a lag may grow by a millisecond a
    /// millisecond at most.
    pub fn set_lag(&self, replica: usize, lag_ms: u64) {
        self.lags[replica - 1].store(lag_ms, Ordering::Relaxed);
    }

    /// The time up to which a host has applied all commits (Unix time, milliseconds).
    fn position(&self, number: usize) -> u64 {
        let lag = if number == 0 { 0 } else { self.lags[number - 1].load(Ordering::Relaxed) };
        unix_ms() - lag
    }

    fn answer(&self, number: usize, query: &Query, connection: &mut HostConnection) -> io::Result<()> {
        sleep_ms(self.work_ms);
        let id = query.field("id");
        let role = if number == 0 { "primary" } else { "standby" };
        let (answer, position) = if query.is_write && number != 0 {
            (wire::error("25006"), self.position(number))
        } else if query.is_write {
            self.write(query, &id)
        } else {
            self.read(number, query, &id)
        };
        connection.write(
            &[
                answer,
                wire::parameter("replication_role", role),
                wire::parameter("log_position", &position.to_string()),
                wire::ready(),
            ]
            .concat(),
        )
    }

    /// Commits the version that the statement's value holds.
    fn write(&self, query: &Query, id: &str) -> (Vec<u8>, u64) {
        let digits = query.text.split("'\\x").nth(1).and_then(|rest| rest.split('\'').next());
        let version = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0);
        let mut log = self.log.lock().expect("not poisoned");
        let at_ms = unix_ms() + 1;
        log.entry(query.name.clone()).or_default().push(Commit { at_ms, version });
        self.record.line(format!("s-0 ran id={id} key={} version={version} commit={at_ms}", query.name));
        (wire::row(format!("{version}").as_bytes(), "INSERT 0 1"), at_ms)
    }

    fn read(&self, number: usize, query: &Query, id: &str) -> (Vec<u8>, u64) {
        let log = self.log.lock().expect("not poisoned");
        let position = self.position(number);
        let class = query.field("c");
        if class == "balance-view" && position + BALANCE_VIEW_BOUND_MS < unix_ms() {
            self.record.line(format!("s-{number} is too far behind for id={id} position={position}"));
            return (wire::error("72000"), position);
        }
        let commits = log.get(&query.name).map_or(&[][..], Vec::as_slice);
        // A primary has all commits; the position of a replica says which it has.
        let seen = commits.iter().filter(|commit| number == 0 || commit.at_ms <= position).next_back();
        let version = seen.map_or(0, |commit| commit.version);
        let mut value = format!("{version} ").into_bytes();
        if class == self.long_class {
            value.resize(self.long_value, b'.');
        }
        self.record.line(format!(
            "s-{number} ran id={id} class={class} key={} version={version} position={position}",
            query.name
        ));
        (wire::row(&value, "SELECT 1"), position)
    }
}

/// The version in a value.
pub fn version_of(value: &[u8]) -> u64 {
    let end = value.iter().position(|byte| !byte.is_ascii_digit()).unwrap_or(value.len());
    std::str::from_utf8(&value[..end]).ok().and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
