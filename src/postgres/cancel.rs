//! Cancel requests of the protocol: each client is sent a key with the answer to its startup message, and whoever brings
//! that key on a connection of its own cancels the query that this client has open.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;

/// What names a client in a cancel request (the protocol's BackendKeyData).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The connection's number.
    pub process: u32,
    /// Known to its client alone.
    pub secret: u32,
}

/// The keys of all open clients: one entry for each, so that descriptors bound it.
pub struct CancelKeys {
    open: RefCell<BTreeMap<u32, OpenClient>>,
    secrets: RefCell<Pcg64Mcg>,
}

/// What is kept for the number of an open client.
struct OpenClient {
    secret: u32,
    cancelled: Rc<Notify>,
}

impl CancelKeys {
    /// No client yet. The seed is the only source of secrets.
    pub fn new(seed: u64) -> Rc<CancelKeys> {
        Rc::new(CancelKeys { open: RefCell::default(), secrets: RefCell::new(Pcg64Mcg::seed_from_u64(seed)) })
    }

    /// A key for the client of this number, which is valid for as long as the value lives.
    pub fn register(self: &Rc<Self>, process: u32) -> RegisteredKey {
        let key = CancelKey { process, secret: self.secrets.borrow_mut().next_u32() };
        let cancelled = Rc::new(Notify::new());
        let client = OpenClient { secret: key.secret, cancelled: cancelled.clone() };
        self.open.borrow_mut().insert(process, client);
        RegisteredKey { keys: self.clone(), key, cancelled }
    }

    /// Cancels the open query of the client with this key. Any other key does nothing.
    pub fn cancel(&self, key: CancelKey) {
        let open = self.open.borrow();
        if let Some(client) = open.get(&key.process).filter(|client| client.secret == key.secret) {
            // Without an open query nobody waits, and nothing is kept for the next one.
            client.cancelled.notify_waiters();
        }
    }
}

/// One client's key; dropped, it is no longer valid.
pub struct RegisteredKey {
    keys: Rc<CancelKeys>,
    /// The key.
    pub key: CancelKey,
    cancelled: Rc<Notify>,
}

impl RegisteredKey {
    /// Waits until the query that is open now is cancelled. A cancel that comes after this call is not missed, whenever
    /// the future is polled.
    pub fn cancelled(&self) -> impl Future<Output = ()> + '_ {
        self.cancelled.notified()
    }
}

impl Drop for RegisteredKey {
    fn drop(&mut self) {
        self.keys.open.borrow_mut().remove(&self.key.process);
    }
}
