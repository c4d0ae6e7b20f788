//! The cancel keys of all open clients. A cancel request comes on a connection of its own and cancels the
//! query that the client with its key has open.

use crate::postgres::cancel::CancelKey;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;

/// The keys of all open clients. It has one entry for each client, and so is bounded by the descriptors.
pub struct CancelRegistry {
    open_clients: RefCell<BTreeMap<u32, OpenClient>>,
    secret_rng: RefCell<Pcg64Mcg>,
}

struct OpenClient {
    secret: u32,
    cancelled: Rc<Notify>,
}

impl CancelRegistry {
    /// An empty registry. `seed` is the only source of secrets.
    pub fn new(seed: u64) -> Rc<CancelRegistry> {
        Rc::new(CancelRegistry {
            open_clients: RefCell::default(),
            secret_rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        })
    }

    /// Creates the key of the client with this connection number. It is valid for as long as the returned
    /// value lives.
    pub fn register(self: &Rc<Self>, process: u32) -> RegisteredKey {
        let key = CancelKey { process, secret: self.secret_rng.borrow_mut().next_u32() };
        let cancelled = Rc::new(Notify::new());
        let client = OpenClient { secret: key.secret, cancelled: cancelled.clone() };
        self.open_clients.borrow_mut().insert(process, client);
        RegisteredKey { registry: self.clone(), key, cancelled }
    }

    /// Cancels the open query of the client with this key. An unknown key is ignored.
    pub fn cancel(&self, key: CancelKey) {
        let open_clients = self.open_clients.borrow();
        if let Some(client) = open_clients.get(&key.process).filter(|client| client.secret == key.secret) {
            // Not `notify_one`: without an open query nobody waits, and the next query must not be cancelled
            // for it.
            client.cancelled.notify_waiters();
        }
    }
}

/// The key of one client. Dropping it makes the key invalid.
pub struct RegisteredKey {
    registry: Rc<CancelRegistry>,
    /// The key.
    pub key: CancelKey,
    cancelled: Rc<Notify>,
}

impl RegisteredKey {
    /// Waits until the query that is open now is cancelled. A cancel after this call is not missed, whenever
    /// the future is first polled.
    pub fn cancelled(&self) -> impl Future<Output = ()> + '_ {
        self.cancelled.notified()
    }
}

impl Drop for RegisteredKey {
    fn drop(&mut self) {
        self.registry.open_clients.borrow_mut().remove(&self.key.process);
    }
}
