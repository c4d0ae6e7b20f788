//! The idle clients, which can be closed to free descriptors.

use crate::Time;
use petrelgauge_lifecycle::client::Idleness;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Idle clients, ordered by idleness and then by registration.
#[derive(Default)]
pub(super) struct IdleClients {
    clients: RefCell<BTreeMap<IdleKey, IdleClient>>,
    /// Number of clients of each idleness.
    counts: RefCell<BTreeMap<Idleness, usize>>,
    next_number: Cell<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    idleness: Idleness,
    number: u64,
}

struct IdleClient {
    idle_since: Time,
    /// Notified when the client must close.
    close: Rc<Notify>,
}

impl IdleClients {
    /// Registers a client until the returned guard is dropped.
    pub(super) fn register(
        idle_clients: &Rc<IdleClients>,
        idleness: Idleness,
        idle_since: Time,
        close: &Rc<Notify>,
    ) -> IdleGuard {
        let number = idle_clients.next_number.get();
        idle_clients.next_number.set(number + 1);
        let key = IdleKey { idleness, number };
        *idle_clients.counts.borrow_mut().entry(idleness).or_default() += 1;
        idle_clients.clients.borrow_mut().insert(key, IdleClient { idle_since, close: close.clone() });
        IdleGuard { idle_clients: idle_clients.clone(), key }
    }

    /// Number of clients with this idleness.
    pub(super) fn count(&self, idleness: Idleness) -> usize {
        self.counts.borrow().get(&idleness).copied().unwrap_or(0)
    }

    fn remove(&self, key: IdleKey) -> Option<IdleClient> {
        let removed = self.clients.borrow_mut().remove(&key)?;
        if let Some(count) = self.counts.borrow_mut().get_mut(&key.idleness) {
            *count -= 1;
        }
        Some(removed)
    }

    /// Asks the client that registered first with this idleness to close, unless it became idle after
    /// `idle_before`. Returns whether there is one.
    pub(super) fn shed(&self, idleness: Idleness, idle_before: Time) -> bool {
        let clients = self.clients.borrow();
        let keys = IdleKey { idleness, number: 0 }..=IdleKey { idleness, number: u64::MAX };
        let first = clients.range(keys).next().filter(|(_, client)| client.idle_since <= idle_before);
        let Some(key) = first.map(|(key, _)| *key) else { return false };
        drop(clients);
        self.remove(key).map(|client| client.close.notify_one()).is_some()
    }
}

/// The registration of an idle client, removed when the guard is dropped.
pub struct IdleGuard {
    idle_clients: Rc<IdleClients>,
    key: IdleKey,
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        self.idle_clients.remove(self.key);
    }
}
