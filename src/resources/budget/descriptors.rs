//! The number of open connections.

use std::cell::Cell;
use std::rc::Rc;

/// Counts open connections.
#[derive(Default)]
pub(super) struct DescriptorCounts {
    open: Cell<usize>,
    /// Of the open ones, the clients'.
    clients: Cell<usize>,
}

impl DescriptorCounts {
    pub(super) fn open_count(&self) -> usize {
        self.open.get()
    }

    pub(super) fn client_count(&self) -> usize {
        self.clients.get()
    }
}

/// What a connection leads to.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Peer {
    Client,
    Host,
}

/// The descriptor of one open connection, counted until it is dropped.
pub struct DescriptorSlot {
    counts: Rc<DescriptorCounts>,
    peer: Peer,
}

impl DescriptorSlot {
    pub(super) fn new(counts: &Rc<DescriptorCounts>, peer: Peer) -> DescriptorSlot {
        counts.open.set(counts.open.get() + 1);
        if peer == Peer::Client {
            counts.clients.set(counts.clients.get() + 1);
        }
        DescriptorSlot { counts: counts.clone(), peer }
    }
}

impl Drop for DescriptorSlot {
    fn drop(&mut self) {
        let counts = &self.counts;
        counts.open.set(counts.open.get() - 1);
        if self.peer == Peer::Client {
            counts.clients.set(counts.clients.get() - 1);
        }
    }
}
