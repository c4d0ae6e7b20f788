//! The client of discovery: one watch over HTTP/1.1, kept open, its answer read line by line.

use crate::discovery::endpoint_list::{EndpointList, EndpointRow, Phase};
use crate::discovery::host_names::HostNames;
use crate::discovery::list_assembler::ListText;
use crate::discovery::list_request::{call, open, ListResponse, RequestError};
use crate::facade::Facade;
use crate::host::pool::{Endpoint, Hosts};
use crate::os::clock::Clock;
use crate::resources::counters::Counters;
use crate::{Entry, MemberId, Time};
use petrelgauge_lifecycle::backoff::{Backoff, Cause};
use petrelgauge_lifecycle::watch::{WatchState, COMPLETE_LIST_INTERVAL};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::watch;

const MICROSECONDS_PER_MILLISECOND: Time = 1000;

/// Span in which a host that was removed keeps its number (microseconds). Nothing of it is out by then, and
/// the decisions remember it no longer.
const REMOVED_HOST_RETENTION: Time = 60_000_000;

/// Why a list is not used.
#[derive(Debug, Error)]
enum ListError {
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    #[error("it breaks off")]
    Truncated,
    #[error("{0} has no address")]
    HostWithoutAddress(String),
    #[error("revision {0} is older than the one before it")]
    Outdated(u64),
    #[error("revision {0} is not complete")]
    NotComplete(u64),
    #[error(transparent)]
    Source(#[from] RequestError),
}

/// Follows the endpoint list of discovery and updates the decisions and the host connections.
pub struct DiscoveryWatch {
    facade: Facade,
    hosts: Rc<Hosts>,
    counters: Rc<Counters>,
    clock: Clock,
    /// The decisions know hosts by number; discovery's names stay the same at every gateway and restart.
    hosts_by_name: BTreeMap<String, KnownHost>,
    next_id: MemberId,
    watch_state: WatchState,
    backoff: Backoff,
    /// Discovery has sent a usable list since the start.
    has_spoken: Rc<Cell<bool>>,
    /// The names and numbers, for whoever else needs them.
    names: Rc<HostNames>,
    /// The revision that is held.
    revision: Rc<Cell<u64>>,
}

/// A host that discovery has listed.
struct KnownHost {
    id: MemberId,
    /// When it last started (microseconds of Unix time). Rows about an earlier run are skipped.
    started: Time,
    /// When it was removed from the list (microseconds of the gateway's clock).
    removed_at: Option<Time>,
}

impl DiscoveryWatch {
    /// A watch that starts from the list `initial`. `assigned` are the numbers that another process of this gateway has
    /// assigned to hosts.
    pub fn new(
        facade: Facade,
        hosts: Rc<Hosts>,
        counters: Rc<Counters>,
        clock: Clock,
        initial: Option<EndpointList>,
        backoff: Backoff,
        assigned: Vec<(String, MemberId)>,
    ) -> DiscoveryWatch {
        let next_id = assigned.iter().map(|(_, id)| id.wrapping_add(1)).max().unwrap_or(0);
        let names = Rc::new(HostNames::default());
        let mut hosts_by_name = BTreeMap::new();
        for (name, id) in assigned {
            names.insert(&name, id);
            hosts_by_name.insert(name, KnownHost { id, started: 0, removed_at: Some(clock.now()) });
        }
        let mut watch = DiscoveryWatch {
            facade,
            hosts,
            counters,
            clock,
            hosts_by_name,
            next_id,
            watch_state: WatchState::default(),
            backoff,
            has_spoken: Rc::default(),
            names,
            revision: Rc::default(),
        };
        if let Some(list) = initial {
            // Whatever it says of itself, it is all that is known: there is no older list to change.
            watch.apply_initial_list(EndpointList { complete: true, ..list });
        }
        watch
    }

    fn apply_initial_list(&mut self, list: EndpointList) {
        if let Some(id) = list.host_without_address() {
            self.counters.bad_lists.add();
            return log::warn!("initial endpoint list rejected host={id} cause=no_address");
        }
        self.watch_state.on_update(list.revision, true);
        self.apply(list);
    }

    /// The names and numbers of the hosts, kept up.
    pub fn names(&self) -> Rc<HostNames> {
        self.names.clone()
    }

    /// The revision of the list that is held, kept up.
    pub fn revision(&self) -> Rc<Cell<u64>> {
        self.revision.clone()
    }

    /// Turns true once discovery has sent a usable list.
    pub fn has_spoken(&self) -> Rc<Cell<bool>> {
        self.has_spoken.clone()
    }

    /// Keeps a watch open for good, always at the address that was named last.
    pub async fn follow(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let clock = self.clock;
        let mut last = String::new();
        loop {
            let address = *addresses.borrow_and_update();
            self.counters.watches.add();
            let cause = tokio::select! {
                ended = self.watch(address) => ended,
                Ok(()) = addresses.changed() => {
                    // Whether the next source counts its revisions alike is not known: it is asked for the
                    // complete list. Until it answers, the list stays as it is.
                    self.watch_state.on_source_changed();
                    last.clear();
                    continue;
                }
            };
            // While discovery is down the same cause is logged once, not at every attempt.
            let text = cause.to_string();
            if text != last {
                log::warn!("discovery watch ended address={address} cause={text}");
                last = text;
            }
            // An attempt that waits is over, too, when the address moves.
            let pause = self.backoff.pause(if cause.is_refusal() { Cause::Rejected } else { Cause::Lost });
            log::debug!("discovery watch retry scheduled pause_us={pause} cause={last}");
            tokio::select! {
                () = clock.sleep_until(clock.now() + pause) => {}
                Ok(()) = addresses.changed() => self.watch_state.on_source_changed(),
            }
        }
    }

    /// Watches until the connection ends, and gives the cause.
    async fn watch(&mut self, address: SocketAddr) -> RequestError {
        let clock = self.clock;
        let after =
            self.watch_state.resume_after().map(|revision| format!("&after={revision}")).unwrap_or_default();
        self.watch_state.on_watch_opened();
        let mut answer = ListResponse::default();
        let stream = match open(address, &format!("?watch=1{after}"), clock).await {
            Ok(stream) => stream,
            Err(cause) => return cause,
        };
        // The request for the complete list beside the watch, while one is needed.
        let mut call: Option<Call> = None;
        let cause = loop {
            let read = tokio::select! {
                read = answer.read(&stream, clock) => read,
                called = finished(&mut call) => {
                    call = None;
                    if let Err(cause) = called.map_err(ListError::from).and_then(|list| self.apply_complete_list(list)) {
                        log::debug!("complete endpoint list request failed cause={cause}");
                        call = self.request_complete_list(address);
                    }
                    continue;
                }
            };
            self.counters.list_bytes.add_many(std::mem::take(&mut answer.bytes));
            if answer.lines.began() {
                self.backoff.reset();
            }
            let texts = std::mem::take(&mut answer.texts);
            if texts.into_iter().filter(|text| !self.apply_update(text)).count() > 0 && call.is_none() {
                call = self.request_complete_list(address);
            }
            if let Err(cause) = read {
                break cause;
            }
        };
        if cause.is_malformed() {
            self.counters.bad_lists.add();
        }
        cause
    }

    /// A request for the complete list, after a pause, if one is needed.
    fn request_complete_list(&mut self, address: SocketAddr) -> Option<Call> {
        let from = self.clock.now() + COMPLETE_LIST_INTERVAL;
        self.watch_state.needs_complete_list().then(|| Box::pin(call(address, from, self.clock)) as Call)
    }

    /// Applies the answer of that request, unless the watch has brought a newer list.
    fn apply_complete_list(&mut self, list: EndpointList) -> Result<(), ListError> {
        if !list.complete {
            return Err(ListError::NotComplete(list.revision));
        }
        if let Some(host) = list.host_without_address() {
            return Err(ListError::HostWithoutAddress(host.to_string()));
        }
        if !self.watch_state.on_complete_list(list.revision) {
            return Err(ListError::Outdated(list.revision));
        }
        self.apply(list);
        Ok(())
    }

    /// Uses a list that came on the watch. False if it cannot be used: one bad line must not take the good list away,
    /// nor may what it carried be lost.
    fn apply_update(&mut self, text: &ListText) -> bool {
        let Err(cause) = read_list(text).and_then(|list| self.apply_newer_list(list)) else { return true };
        self.watch_state.on_unusable_line();
        self.counters.bad_lists.add();
        log::warn!("endpoint list update rejected cause={cause}");
        false
    }

    fn apply_newer_list(&mut self, list: EndpointList) -> Result<(), ListError> {
        let EndpointList { revision, complete, .. } = list;
        self.has_spoken.set(true);
        if self.watch_state.is_first_list() && !self.hosts_by_name.is_empty() {
            log::info!("discovery source changed revision={revision} complete={complete}");
        }
        if !self.watch_state.on_update(revision, complete) {
            return Err(ListError::Outdated(revision));
        }
        self.apply(list);
        Ok(())
    }

    /// Uses a list: connections, decisions and the table of names follow it.
    fn apply(&mut self, mut list: EndpointList) {
        self.counters.lists.add();
        let skipped = self.skip_earlier_runs(&mut list);
        let now = self.clock.now();
        let entries: Vec<Entry> =
            list.members.iter().map(|row| self.apply_row(row, list.revision, now)).collect();
        if list.complete {
            let listed = entries.iter().map(|entry| entry.member).chain(skipped).collect();
            self.remove_unlisted(&listed, now);
        }
        self.forget_removed(now);
        self.revision.set(list.revision);
        let EndpointList { revision, complete, .. } = list;
        log::debug!(
            "endpoint list applied revision={revision} entries={} complete={complete}",
            entries.len()
        );
        self.facade.update_endpoints(complete, entries);
    }

    /// Takes out rows about an earlier run of a host: the decisions pass over them, and so does whoever connects to it.
    /// Gives the numbers of these hosts, which are listed nonetheless.
    fn skip_earlier_runs(&self, list: &mut EndpointList) -> BTreeSet<MemberId> {
        let mut skipped_names = BTreeSet::new();
        let mut skipped_ids = BTreeSet::new();
        for row in &list.members {
            let Some(host) = self.hosts_by_name.get(&row.id) else { continue };
            if row.started() < host.started {
                skipped_names.insert(row.id.clone());
                skipped_ids.insert(host.id);
            }
        }
        list.members.retain(|row| !skipped_names.contains(&row.id));
        skipped_ids
    }

    /// Registers a host, or what changed of it, and gives its entry for the decisions.
    fn apply_row(&mut self, row: &EndpointRow, revision: u64, now: Time) -> Entry {
        let id = self.register(row, now);
        log::debug!(
            "endpoint listed host={id} name={} group={} zone={} phase={:?} up_since_ms={} role={} revision={revision}",
            row.id,
            row.cell,
            row.locality,
            row.phase,
            row.up_since_ms,
            row.replication.as_deref().unwrap_or("-"),
        );
        match row.host_port {
            Some(address) if row.phase != Phase::Removed => {
                self.hosts.set_endpoint(
                    id,
                    Endpoint { address, started: row.started(), up: row.phase == Phase::Up },
                );
            }
            _ => self.hosts.remove(id),
        }
        row.entry(id)
    }

    /// The number of a host; a host that is new gets the next one.
    fn register(&mut self, row: &EndpointRow, now: Time) -> MemberId {
        let new = KnownHost { id: self.next_id, started: 0, removed_at: None };
        let host = self.hosts_by_name.entry(row.id.clone()).or_insert(new);
        if row.started() > host.started {
            log::info!(
                "host start listed host={} name={} group={} up_since_ms={} age_ms={}",
                host.id,
                row.id,
                row.cell,
                row.up_since_ms,
                (now - row.started()) / MICROSECONDS_PER_MILLISECOND,
            );
        }
        host.started = row.started();
        host.removed_at = (row.phase == Phase::Removed).then_some(host.removed_at.unwrap_or(now));
        self.next_id = self.next_id.max(host.id.wrapping_add(1));
        self.names.insert(&row.id, host.id);
        host.id
    }

    /// A complete list has come: hosts that it does not name are removed.
    fn remove_unlisted(&mut self, listed: &BTreeSet<MemberId>, now: Time) {
        self.hosts.retain_listed(&|id| listed.contains(&id));
        for host in self.hosts_by_name.values_mut().filter(|host| !listed.contains(&host.id)) {
            host.removed_at.get_or_insert(now);
        }
    }

    /// Forgets hosts that were removed long ago: hosts are replaced for as long as the gateway runs. One that comes back
    /// later is a new one.
    fn forget_removed(&mut self, now: Time) {
        let names = &self.names;
        self.hosts_by_name.retain(|name, host| {
            let kept = host.removed_at.is_none_or(|removed_at| now - removed_at < REMOVED_HOST_RETENTION);
            if !kept {
                names.remove(name);
            }
            kept
        });
    }
}

fn read_list(text: &ListText) -> Result<EndpointList, ListError> {
    let ListText::Complete(text) = text else { return Err(ListError::Truncated) };
    let list: EndpointList = serde_json::from_slice(text)?;
    match list.host_without_address() {
        Some(host) => Err(ListError::HostWithoutAddress(host.to_string())),
        None => Ok(list),
    }
}

type Call = Pin<Box<dyn Future<Output = Result<EndpointList, RequestError>>>>;

/// Waits for the call that is being made, if there is one.
async fn finished(call: &mut Option<Call>) -> Result<EndpointList, RequestError> {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
