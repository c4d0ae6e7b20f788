//! The client of discovery: one watch over HTTP/1.1, kept open, its answer read line by line.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::net::counters::Counters;
use crate::net::host_names::HostNames;
use crate::net::hosts::{Hosts, Site};
pub use crate::net::lines::Lines;
use crate::net::lines::{Text, REFUSED};
use crate::net::source::{call, open, Answer};
use crate::{Entry, MemberId, MemberStatus, Time};
use petrelgauge_lifecycle::backoff::{Backoff, Cause};
use petrelgauge_lifecycle::watch::{Holding, AGAIN};
use serde::Deserialize;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::watch;

/// Span in which a host that was removed keeps its number (microseconds). Nothing of it is out by then, and
/// the decisions remember it no longer.
const REMEMBERED: Time = 60_000_000;

/// A list as discovery writes it: whole, or what changed.
#[derive(Debug, Clone, Deserialize)]
pub struct List {
    revision: u64,
    complete: bool,
    members: Vec<Row>,
}

#[derive(Debug, Clone, Deserialize)]
struct Row {
    id: String,
    host_port: Option<SocketAddr>,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u64,
    phase: Phase,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: Time,
    #[serde(default)]
    replication: Option<String>,
}

impl Row {
    fn started(&self) -> Time {
        self.up_since_ms.saturating_mul(1000).max(0)
    }
}

impl List {
    /// Half a list is none: nothing of it is used if a host that runs has no address. Gives the first such.
    fn unusable(&self) -> Option<&str> {
        let mut rows = self.members.iter();
        rows.find(|row| row.phase != Phase::Removed && row.host_port.is_none()).map(|row| row.id.as_str())
    }
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Up,
    Draining,
    Removed,
}

/// Follows discovery and tells the facade and the hosts.
pub struct Follower {
    facade: Facade,
    hosts: Rc<Hosts>,
    counters: Rc<Counters>,
    clock: Clock,
    /// The decisions know hosts by number; discovery's names stay the same at every gateway and restart.
    numbers: BTreeMap<String, Known>,
    next: MemberId,
    holding: Holding,
    backoff: Backoff,
    /// It has spoken since the start.
    told: Rc<Cell<bool>>,
    /// The names and numbers, for whoever else needs them.
    names: Rc<HostNames>,
    /// The revision that is held.
    revision: Rc<Cell<u64>>,
}

/// A host that discovery named.
struct Known {
    id: MemberId,
    /// When it last started: what is told of an earlier run is old.
    started: Time,
    /// Since when it is named no more.
    gone: Option<Time>,
}

impl Follower {
    /// A follower that starts from the list as it was last known. `numbers` are those that another process of this
    /// gateway has given.
    pub fn new(
        facade: Facade,
        hosts: Rc<Hosts>,
        counters: Rc<Counters>,
        clock: Clock,
        known: Option<List>,
        backoff: Backoff,
        given: Vec<(String, MemberId)>,
    ) -> Follower {
        let next = given.iter().map(|(_, id)| id.wrapping_add(1)).max().unwrap_or(0);
        let gone = Some(clock.now());
        let numbers = given.into_iter().map(|(name, id)| (name, Known { id, started: 0, gone })).collect();
        let (holding, names) = (Holding::default(), Rc::default());
        let (told, revision) = (Rc::default(), Rc::default());
        let mut follower = Follower {
            facade,
            hosts,
            counters,
            clock,
            numbers,
            next,
            holding,
            backoff,
            told,
            names,
            revision,
        };
        follower.numbers.iter().for_each(|(name, known)| follower.names.insert(name, known.id));
        if let Some(list) = known {
            // Whatever it says of itself, it is all that is known: there is no older list to change.
            follower.start_from(List { complete: true, ..list });
        }
        follower
    }

    fn start_from(&mut self, list: List) {
        if let Some(id) = list.unusable() {
            self.counters.bad_lists.add();
            return log::warn!("the list of the configuration cannot be used: {id} has no address");
        }
        self.holding.news(list.revision, true);
        self.take(list);
    }

    /// The names and numbers of the hosts, kept up.
    pub fn names(&self) -> Rc<HostNames> {
        self.names.clone()
    }

    /// The revision of the list that is held, kept up.
    pub fn revision(&self) -> Rc<Cell<u64>> {
        self.revision.clone()
    }

    /// Turns true once discovery has spoken.
    pub fn told(&self) -> Rc<Cell<bool>> {
        self.told.clone()
    }

    /// Keeps a watch open for good, always at the address that was named last.
    pub async fn follow(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let clock = self.clock;
        let mut last = String::new();
        loop {
            let address = *addresses.borrow_and_update();
            self.counters.watches.add();
            let cause = tokio::select! {
                ended = self.watch(address) => ended.err().unwrap_or_default(),
                Ok(()) = addresses.changed() => {
                    // Whether the next source counts its revisions alike is not known: it is asked for the
                    // whole list. Until it speaks, the list stays as it is.
                    self.holding.moved();
                    last.clear();
                    continue;
                }
            };
            // While discovery is down the same is said once, not at every try.
            if cause != last {
                log::warn!("the watch of discovery ended: {cause}; the last list still holds");
                last = cause;
            }
            // Also a try that waits is over when the address moves.
            let pause = self.backoff.pause(if last == REFUSED { Cause::Refused } else { Cause::Lost });
            log::debug!("the watch of discovery ended: {last}; the next in {pause} us");
            tokio::select! {
                () = clock.sleep_until(clock.now() + pause) => {}
                Ok(()) = addresses.changed() => self.holding.moved(),
            }
        }
    }

    async fn watch(&mut self, address: SocketAddr) -> Result<(), String> {
        let clock = self.clock;
        let after = self.holding.after().map(|revision| format!("&after={revision}")).unwrap_or_default();
        self.holding.opened();
        let mut answer = Answer::default();
        let stream = open(address, &format!("?watch=1{after}"), clock).await?;
        // A call for the whole list beside the watch, while it is owed.
        let mut call: Option<Call> = None;
        let cause = loop {
            let read = tokio::select! {
                read = answer.read(&stream, clock) => read,
                called = finished(&mut call) => {
                    call = None;
                    if let Err(cause) = called.and_then(|list| self.called(list)) {
                        log::debug!("a call for the whole list: {cause}");
                        call = self.call(address);
                    }
                    continue;
                }
            };
            self.counters.list_bytes.add_many(std::mem::take(&mut answer.bytes));
            if answer.lines.began() {
                self.backoff.reset();
            }
            let texts = std::mem::take(&mut answer.texts);
            if texts.into_iter().filter(|text| !self.text(text)).count() > 0 && call.is_none() {
                call = self.call(address);
            }
            if let Err(cause) = read {
                break cause;
            }
        };
        if cause.flawed {
            self.counters.bad_lists.add();
        }
        Err(cause.text)
    }

    /// A call for the whole list, after a pause, if it is owed.
    fn call(&mut self, address: SocketAddr) -> Option<Call> {
        let from = self.clock.now() + AGAIN;
        self.holding.owed().then(|| Box::pin(call(address, from, self.clock)) as Call)
    }

    /// Uses what a call brought, unless the watch has brought what is newer.
    fn called(&mut self, list: List) -> Result<(), String> {
        let usable = list.complete && list.unusable().is_none();
        if !usable || !self.holding.called(list.revision) {
            return Err(format!("revision {}, usable: {usable}", list.revision));
        }
        self.take(list);
        Ok(())
    }

    /// Uses a list that came on the watch. False if it cannot be used: one bad line must not take the good list away,
    /// nor may what it carried be lost.
    fn text(&mut self, text: &Text) -> bool {
        let read = match text {
            Text::Whole(text) => serde_json::from_slice::<List>(text).map_err(|cause| cause.to_string()),
            Text::Broken => Err("it breaks off".into()),
        };
        let whole = read.and_then(|list| match list.unusable() {
            Some(id) => Err(format!("{id} has no address")),
            None => Ok(list),
        });
        let flaw = match whole {
            Ok(list) => {
                self.told.set(true);
                if self.holding.is_new() && !self.numbers.is_empty() {
                    let List { revision, complete, .. } = list;
                    log::info!("the new discovery begins with revision {revision}, whole: {complete}");
                }
                if self.holding.news(list.revision, list.complete) {
                    self.take(list);
                    return true;
                }
                format!("revision {} is older than the one before it", list.revision)
            }
            Err(cause) => cause,
        };
        self.holding.spoilt();
        self.counters.bad_lists.add();
        log::warn!("news from discovery cannot be used, and the whole list is asked for: {flaw}");
        false
    }

    fn take(&mut self, mut list: List) {
        self.counters.lists.add();
        // The decisions pass over what is told of an earlier run of a host, and so does whoever connects to it.
        let known = |row: &Row| self.numbers.get(&row.id).map_or(0, |known| known.started);
        let stale: BTreeSet<String> =
            list.members.iter().filter(|row| row.started() < known(row)).map(|row| row.id.clone()).collect();
        let named_still = list.members.iter().filter(|row| stale.contains(&row.id));
        let still: BTreeSet<MemberId> = named_still.map(|row| self.numbers[&row.id].id).collect();
        list.members.retain(|row| !stale.contains(&row.id));
        let mut entries = Vec::new();
        let now = self.clock.now();
        for row in &list.members {
            let next = self.next;
            let known = self.numbers.entry(row.id.clone()).or_insert_with(|| Known {
                id: next,
                started: 0,
                gone: None,
            });
            self.names.insert(&row.id, known.id);
            let (id, started) = (known.id, row.started());
            known.started = started;
            self.next = next.max(id.wrapping_add(1));
            known.gone = (row.phase == Phase::Removed).then_some(known.gone.unwrap_or(now));
            log::debug!(
                "list host={id} name={} cluster={} zone={} phase={:?} up_since_ms={} role={} revision={}",
                row.id,
                row.cell,
                row.locality,
                row.phase,
                row.up_since_ms,
                row.replication.as_deref().unwrap_or("-"),
                list.revision,
            );
            match row.host_port {
                Some(address) if row.phase != Phase::Removed => {
                    self.hosts.place(id, Site { address, started, up: row.phase == Phase::Up });
                }
                _ => self.hosts.remove(id),
            }
            entries.push(Entry {
                member: id,
                group: row.cell,
                zone: row.locality.clone(),
                weight: row.size,
                started,
                standing: match row.phase {
                    Phase::Up => MemberStatus::Up,
                    Phase::Draining => MemberStatus::Draining,
                    Phase::Removed => MemberStatus::Removed,
                },
                primary: row.replication.as_deref() == Some("primary"),
            });
        }
        if list.complete {
            let named = entries.iter().map(|entry| entry.member).chain(still).collect::<BTreeSet<MemberId>>();
            self.hosts.keep_only(&|id| named.contains(&id));
            let unnamed = self.numbers.values_mut().filter(|known| !named.contains(&known.id));
            unnamed.for_each(|known| known.gone = known.gone.or(Some(now)));
        }
        // Hosts are replaced for as long as the gateway runs. One that comes back later is a new one.
        let names = &self.names;
        self.numbers.retain(|name, known| {
            let kept = known.gone.is_none_or(|gone| now - gone < REMEMBERED);
            if !kept {
                names.remove(name);
            }
            kept
        });
        self.revision.set(list.revision);
        log::debug!("list {}, {} entries, whole: {}", list.revision, entries.len(), list.complete);
        self.facade.list(list.complete, entries);
    }
}

type Call = Pin<Box<dyn Future<Output = Result<List, String>>>>;

/// Waits for the call that is being made, if there is one.
async fn finished(call: &mut Option<Call>) -> Result<List, String> {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
