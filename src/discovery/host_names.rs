//! The hosts that discovery names: their names, the numbers that the decisions know them by, and the hashes by which
//! gateways name them to each other.

use crate::MemberId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The tables. Bounded by the list and by what the follower of discovery remembers of it.
#[derive(Default)]
pub struct HostNames {
    by_name: RefCell<BTreeMap<String, MemberId>>,
    by_hash: RefCell<BTreeMap<u64, MemberId>>,
    hashes: RefCell<BTreeMap<MemberId, u64>>,
}

impl HostNames {
    /// Names a host.
    pub fn insert(&self, name: &str, id: MemberId) {
        if self.by_name.borrow().get(name) == Some(&id) {
            return;
        }
        let hash = xxh3_64(name.as_bytes());
        let before = self.by_name.borrow_mut().insert(name.to_string(), id);
        before.map(|before| self.hashes.borrow_mut().remove(&before));
        self.by_hash.borrow_mut().insert(hash, id);
        self.hashes.borrow_mut().insert(id, hash);
    }

    /// Forgets a host.
    pub fn remove(&self, name: &str) {
        let Some(id) = self.by_name.borrow_mut().remove(name) else { return };
        if let Some(hash) = self.hashes.borrow_mut().remove(&id) {
            self.by_hash.borrow_mut().remove(&hash);
        }
    }

    /// The number of the host with this hash.
    pub fn by_hash(&self, hash: u64) -> Option<MemberId> {
        self.by_hash.borrow().get(&hash).copied()
    }

    /// The hash of a host's name.
    pub fn hash(&self, id: MemberId) -> Option<u64> {
        self.hashes.borrow().get(&id).copied()
    }

    /// The number of the host of this name.
    pub fn by_name(&self, name: &str) -> Option<MemberId> {
        self.by_name.borrow().get(name).copied()
    }

    /// All names and numbers.
    pub fn all(&self) -> Vec<(String, MemberId)> {
        self.by_name.borrow().iter().map(|(name, id)| (name.clone(), *id)).collect()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.borrow().len()
    }

    /// None is named.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
