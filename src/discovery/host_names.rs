//! Names, numbers and hashes of the hosts: discovery knows a host by its name, the decisions by its number,
//! and other gateways by the hash of its name.

use crate::MemberId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The table of hosts. Has an entry for each listed host, and for removed ones until their number is free
/// again.
#[derive(Default)]
pub struct HostNames {
    id_by_name: RefCell<BTreeMap<String, MemberId>>,
    id_by_hash: RefCell<BTreeMap<u64, MemberId>>,
    hash_by_id: RefCell<BTreeMap<MemberId, u64>>,
}

impl HostNames {
    /// Assigns a number to a name, in place of an earlier one.
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

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        let Some(id) = self.id_by_name.borrow_mut().remove(name) else { return };
        if let Some(hash) = self.hash_by_id.borrow_mut().remove(&id) {
            self.id_by_hash.borrow_mut().remove(&hash);
        }
    }

    /// The number of the host whose name has this hash.
    pub fn by_hash(&self, hash: u64) -> Option<MemberId> {
        self.id_by_hash.borrow().get(&hash).copied()
    }

    /// The hash of a host's name.
    pub fn hash(&self, id: MemberId) -> Option<u64> {
        self.hash_by_id.borrow().get(&id).copied()
    }

    /// The number of the host of this name.
    pub fn by_name(&self, name: &str) -> Option<MemberId> {
        self.id_by_name.borrow().get(name).copied()
    }

    /// The numbers of all hosts by their names.
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
