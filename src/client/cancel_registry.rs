//! The cancel keys of all open clients. A cancel request arrives on a separate connection and cancels the
//! open query of the client that has the same key.

use crate::postgres::cancel::CancelKey;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;

/// The keys of all open clients. It has one entry per client, so the descriptor limit bounds its size.
pub struct CancelRegistry {
    open_clients: RefCell<BTreeMap<u32, OpenClient>>,
    secret_rng: RefCell<Pcg64Mcg>,
}

struct OpenClient {
    secret: u32,
    cancelled: Rc<Notify>,
}

impl CancelRegistry {
    /// Creates an empty registry. All secrets are derived from `seed`.
    pub fn new(seed: u64) -> Rc<CancelRegistry> {
        Rc::new(CancelRegistry {
            open_clients: RefCell::default(),
            secret_rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        })
    }

    /// Creates the key of the client with this connection number. The key is valid until the returned value
    /// is dropped.
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
            // Not `notify_one`, which would store a permit: a cancel that arrives while no query is open must
            // not cancel the next one.
            client.cancelled.notify_waiters();
        }
    }
}

/// The key of one client. Dropping it invalidates the key.
pub struct RegisteredKey {
    registry: Rc<CancelRegistry>,
    /// The key.
    pub key: CancelKey,
    cancelled: Rc<Notify>,
}

impl RegisteredKey {
    /// Waits until the query that is open now is cancelled. No cancel after this call is missed, even if the
    /// future is polled later.
    pub fn cancelled(&self) -> impl Future<Output = ()> + '_ {
        self.cancelled.notified()
    }
}

impl Drop for RegisteredKey {
    fn drop(&mut self) {
        self.registry.open_clients.borrow_mut().remove(&self.key.process);
    }
}
