//! Applies endpoint lists to the host pool, the routing decisions and the table of host names, and assigns
//! IDs to the hosts.

use crate::discovery::endpoint_list::{EndpointList, EndpointRow, Phase};
use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::host::pool::{Endpoint, HostPool};
use crate::{Entry, MemberId, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const MICROSECONDS_PER_MILLISECOND: Time = 1000;
/// Time for which the ID of a removed host stays reserved (microseconds). After it, no attempt to the host
/// is open, and the decisions keep no state about it.
const REMOVED_HOST_RETENTION: Time = 60_000_000;

/// The hosts of the current endpoint list.
pub(super) struct EndpointTable {
    facade: Facade,
    host_pool: Rc<HostPool>,
    known_hosts: BTreeMap<String, KnownHost>,
    /// ID of the next new host.
    next_id: MemberId,
    /// Host names and IDs, shared with the rest of the gateway.
    host_names: Rc<HostNames>,
    /// Revision of the current list, shared with the rest of the gateway.
    revision: Rc<Cell<u64>>,
}

/// A host that is on the list, or was within the last [`REMOVED_HOST_RETENTION`].
struct KnownHost {
    id: MemberId,
    /// Latest start time of the host (Unix time, microseconds).
    started_at: Time,
    /// When the host was removed from the list (microseconds of the gateway's clock).
    removed_at: Option<Time>,
}

impl EndpointTable {
    /// Creates a table without a list. Hosts in `assigned_ids` keep their IDs if a list contains them within
    /// [`REMOVED_HOST_RETENTION`].
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

    /// Names and IDs of the hosts, updated with each list.
    pub(super) fn host_names(&self) -> Rc<HostNames> {
        self.host_names.clone()
    }

    /// Revision of the current list, updated with each list.
    pub(super) fn revision(&self) -> Rc<Cell<u64>> {
        self.revision.clone()
    }

    /// Whether no host is known.
    pub(super) fn is_empty(&self) -> bool {
        self.known_hosts.is_empty()
    }

    /// Applies a list.
    pub(super) fn apply(&mut self, mut list: EndpointList, now: Time) {
        let restarted_since = self.remove_outdated_rows(&mut list);
        let update = list.update();
        let EndpointList { revision, complete, members: rows } = list;
        let entries: Vec<Entry> = rows.iter().map(|row| self.apply_row(row, revision, now)).collect();
        if complete {
            let listed = entries.iter().map(|entry| entry.member).chain(restarted_since).collect();
            self.remove_unlisted(&listed, now);
        }
        self.drop_expired_hosts(now);
        self.revision.set(revision);
        log::debug!(
            "endpoint list applied revision={revision} entries={} complete={complete}",
            entries.len()
        );
        self.facade.update(|table| table.update_endpoints(update, entries));
    }

    /// Removes rows whose start time is earlier than the latest known start of the host. Returns the IDs of
    /// these hosts, which count as listed.
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

    /// Applies one row to the host pool, and converts it to an entry of the decisions.
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

    /// Records the host of a row and returns its ID. A new host gets the next free ID.
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

    /// Marks the hosts that are missing from a complete list as removed.
    fn remove_unlisted(&mut self, listed: &BTreeSet<MemberId>, now: Time) {
        self.host_pool.retain_listed(&|id| listed.contains(&id));
        for host in self.known_hosts.values_mut().filter(|host| !listed.contains(&host.id)) {
            host.removed_at.get_or_insert(now);
        }
    }

    /// Drops hosts that were removed more than [`REMOVED_HOST_RETENTION`] ago. If such a host is listed
    /// again, it is treated as new.
    fn drop_expired_hosts(&mut self, now: Time) {
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
