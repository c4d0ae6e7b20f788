//! The descriptors that this process may hold, shared out between clients and database hosts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors kept for all that is not a client or a host: standard streams, the listener, the reactor,
/// signals, discovery, and a few to accept with while others are being freed.
const RESERVE: usize = 40;

/// Counts open connections and knows which clients are idle.
pub struct Budget {
    most: usize,
    open: Cell<usize>,
    next: Cell<u64>,
    /// Idle clients, the longest idle first.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

impl Budget {
    /// A budget for a process that may hold `sockets` descriptors.
    pub fn new(sockets: usize) -> Rc<Budget> {
        let most = sockets.saturating_sub(RESERVE).max(2);
        Rc::new(Budget { most, open: Cell::new(0), next: Cell::new(0), idle: RefCell::new(BTreeMap::new()) })
    }

    /// Counts a connection for as long as the slot lives.
    pub fn take(self: &Rc<Self>) -> Slot {
        self.open.set(self.open.get() + 1);
        Slot(self.clone())
    }

    /// No further connection fits.
    pub fn spent(&self) -> bool {
        self.open.get() >= self.most
    }

    /// Marks a client as idle for as long as the mark lives.
    pub fn idle(self: &Rc<Self>, client: &Rc<Notify>) -> Idle {
        let number = self.next.get();
        self.next.set(number + 1);
        self.idle.borrow_mut().insert(number, client.clone());
        Idle { budget: self.clone(), number }
    }

    /// Asks the client that is idle for longest to close. False if there is none.
    pub fn shed_client(&self) -> bool {
        let longest = self.idle.borrow_mut().pop_first();
        longest.map(|(_, client)| client.notify_one()).is_some()
    }
}

/// One open connection.
pub struct Slot(Rc<Budget>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// One idle client.
pub struct Idle {
    budget: Rc<Budget>,
    number: u64,
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.budget.idle.borrow_mut().remove(&self.number);
    }
}
