//! Applies endpoint lists to the host pool, the routing decisions and the table of host names, and numbers
//! the hosts.

use crate::discovery::endpoint_list::{EndpointList, EndpointRow, Phase};
use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::host::pool::{Endpoint, HostPool};
use crate::{Entry, MemberId, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const MICROSECONDS_PER_MILLISECOND: Time = 1000;
/// Time for which a removed host keeps its number (microseconds): by then no attempt at it is open, and the
/// decisions have forgotten it.
const REMOVED_HOST_RETENTION: Time = 60_000_000;

/// The hosts of the endpoint list in force.
pub(super) struct EndpointTable {
    facade: Facade,
    host_pool: Rc<HostPool>,
    known_hosts: BTreeMap<String, KnownHost>,
    /// Number of the next new host.
    next_id: MemberId,
    /// Names and numbers, shared with the rest of the gateway.
    host_names: Rc<HostNames>,
    /// Revision in force, shared with the rest of the gateway.
    revision: Rc<Cell<u64>>,
}

/// A host that discovery lists, or has listed within [`REMOVED_HOST_RETENTION`].
struct KnownHost {
    id: MemberId,
    /// When it last started (microseconds of Unix time).
    started_at: Time,
    /// When it was removed from the list (microseconds of the gateway's clock).
    removed_at: Option<Time>,
}

impl EndpointTable {
    /// A table without a list. The hosts in `assigned_ids` keep their numbers if a list names them in time.
    pub(super) fn new(
        facade: Facade,
        host_pool: Rc<HostPool>,
        assigned_ids: BTreeMap<String, MemberId>,
        now: Time,
    ) -> EndpointTable {
        let next_id = assigned_ids.values().map(|id| id.wrapping_add(1)).max().unwrap_or(0);
        let host_names = Rc::new(HostNames::default());
        let mut known_hosts = BTreeMap::new();
        for (name, id) in assigned_ids {
            host_names.insert(&name, id);
            known_hosts.insert(name, KnownHost { id, started_at: 0, removed_at: Some(now) });
        }
        EndpointTable { facade, host_pool, known_hosts, next_id, host_names, revision: Rc::default() }
    }

    /// Names and numbers of the hosts, kept up to date.
    pub(super) fn host_names(&self) -> Rc<HostNames> {
        self.host_names.clone()
    }

    /// Revision in force, kept up to date.
    pub(super) fn revision(&self) -> Rc<Cell<u64>> {
        self.revision.clone()
    }

    /// Whether no host is known.
    pub(super) fn is_empty(&self) -> bool {
        self.known_hosts.is_empty()
    }

    /// Puts a list in force.
    pub(super) fn apply(&mut self, mut list: EndpointList, now: Time) {
        let restarted_since = self.remove_outdated_rows(&mut list);
        let update = list.update();
        let EndpointList { revision, complete, members: rows } = list;
        let entries: Vec<Entry> = rows.iter().map(|row| self.apply_row(row, revision, now)).collect();
        if complete {
            let listed = entries.iter().map(|entry| entry.member).chain(restarted_since).collect();
            self.remove_unlisted(&listed, now);
        }
        self.forget_removed(now);
        self.revision.set(revision);
        log::debug!(
            "endpoint list applied revision={revision} entries={} complete={complete}",
            entries.len()
        );
        self.facade.update(|table| table.update_endpoints(update, entries));
    }

    /// Removes rows about an earlier run of a host than the latest known one. Returns the numbers of these
    /// hosts, which count as listed.
    fn remove_outdated_rows(&self, list: &mut EndpointList) -> BTreeSet<MemberId> {
        let mut outdated_names = BTreeSet::new();
        let mut restarted_since = BTreeSet::new();
        for row in &list.members {
            let Some(host) = self.known_hosts.get(&row.id) else { continue };
            if row.started_at() < host.started_at {
                outdated_names.insert(row.id.clone());
                restarted_since.insert(host.id);
            }
        }
        list.members.retain(|row| !outdated_names.contains(&row.id));
        restarted_since
    }

    /// Applies one row to the host pool, and returns it in the form of the decisions.
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
                let is_up = row.phase == Phase::Up;
                self.host_pool.set_endpoint(id, Endpoint { address, started_at: row.started_at(), is_up });
            }
            _ => self.host_pool.remove(id),
        }
        row.to_entry(id)
    }

    /// Records the host of a row and returns its number; a new host gets the next one.
    fn register(&mut self, row: &EndpointRow, now: Time) -> MemberId {
        let new_host = KnownHost { id: self.next_id, started_at: 0, removed_at: None };
        let host = self.known_hosts.entry(row.id.clone()).or_insert(new_host);
        if row.started_at() > host.started_at {
            log::info!(
                "host start listed host={} name={} group={} up_since_ms={} age_ms={}",
                host.id,
                row.id,
                row.cell,
                row.up_since_ms,
                (now - row.started_at()) / MICROSECONDS_PER_MILLISECOND,
            );
        }
        host.started_at = row.started_at();
        host.removed_at = (row.phase == Phase::Removed).then_some(host.removed_at.unwrap_or(now));
        self.next_id = self.next_id.max(host.id.wrapping_add(1));
        self.host_names.insert(&row.id, host.id);
        host.id
    }

    /// Marks hosts that a complete list does not name as removed.
    fn remove_unlisted(&mut self, listed: &BTreeSet<MemberId>, now: Time) {
        self.host_pool.retain_listed(&|id| listed.contains(&id));
        for host in self.known_hosts.values_mut().filter(|host| !listed.contains(&host.id)) {
            host.removed_at.get_or_insert(now);
        }
    }

    /// Forgets hosts that were removed longer than [`REMOVED_HOST_RETENTION`] ago. One that is listed again
    /// later is new.
    fn forget_removed(&mut self, now: Time) {
        let host_names = &self.host_names;
        self.known_hosts.retain(|name, host| {
            let is_retained =
                host.removed_at.is_none_or(|removed_at| now - removed_at < REMOVED_HOST_RETENTION);
            if !is_retained {
                host_names.remove(name);
            }
            is_retained
        });
    }
}
