//! Maps between the names, IDs and name hashes of hosts: discovery identifies a host by its name, the
//! routing decisions by its ID, and datagrams between gateways by the hash of its name.

use crate::MemberId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The names and IDs of hosts. Has an entry for each listed host, and for each removed one until its ID is
/// released.
#[derive(Default)]
pub struct HostNames {
    id_by_name: RefCell<BTreeMap<String, MemberId>>,
    id_by_hash: RefCell<BTreeMap<u64, MemberId>>,
    hash_by_id: RefCell<BTreeMap<MemberId, u64>>,
}

impl HostNames {
    /// Assigns an ID to a name, replacing a previous one.
    pub fn insert(&self, name: &str, id: MemberId) {
        if self.by_name(name) == Some(id) {
            return;
        }
        let hash = xxh3_64(name.as_bytes());
        let previous_id = self.id_by_name.borrow_mut().insert(name.to_string(), id);
        if let Some(previous_id) = previous_id {
            self.hash_by_id.borrow_mut().remove(&previous_id);
        }
        self.id_by_hash.borrow_mut().insert(hash, id);
        self.hash_by_id.borrow_mut().insert(id, hash);
    }

    /// Removes the host with this name.
    pub fn remove(&self, name: &str) {
        let Some(id) = self.id_by_name.borrow_mut().remove(name) else { return };
        if let Some(hash) = self.hash_by_id.borrow_mut().remove(&id) {
            self.id_by_hash.borrow_mut().remove(&hash);
        }
    }

    /// Returns the ID of the host whose name has this hash.
    pub fn by_hash(&self, hash: u64) -> Option<MemberId> {
        self.id_by_hash.borrow().get(&hash).copied()
    }

    /// Returns the hash of a host's name.
    pub fn hash(&self, id: MemberId) -> Option<u64> {
        self.hash_by_id.borrow().get(&id).copied()
    }

    /// Returns the ID of the host with this name.
    pub fn by_name(&self, name: &str) -> Option<MemberId> {
        self.id_by_name.borrow().get(name).copied()
    }

    /// Returns the IDs of all hosts, by name.
    pub fn all(&self) -> BTreeMap<String, MemberId> {
        self.id_by_name.borrow().clone()
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.id_by_name.borrow().len()
    }

    /// Whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
