//! Counts of open connections, each of which uses a descriptor.

use std::cell::Cell;
use std::rc::Rc;

/// Counts open connections.
#[derive(Default)]
pub(super) struct DescriptorCounts {
    open: Cell<usize>,
    /// Number of open connections that are clients'.
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

/// The remote side of a connection.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionKind {
    Client,
    Host,
}

/// The descriptor of an open connection, counted until the slot is dropped.
pub struct DescriptorSlot {
    counts: Rc<DescriptorCounts>,
    kind: ConnectionKind,
}

impl DescriptorSlot {
    pub(super) fn new(counts: &Rc<DescriptorCounts>, kind: ConnectionKind) -> DescriptorSlot {
        counts.open.set(counts.open.get() + 1);
        if kind == ConnectionKind::Client {
            counts.clients.set(counts.clients.get() + 1);
        }
        DescriptorSlot { counts: counts.clone(), kind }
    }
}

impl Drop for DescriptorSlot {
    fn drop(&mut self) {
        let counts = &self.counts;
        counts.open.set(counts.open.get() - 1);
        if self.kind == ConnectionKind::Client {
            counts.clients.set(counts.clients.get() - 1);
        }
    }
}
