//! The process's descriptors and its message memory, shared by the connections to clients and hosts.
//!
//! Each connection holds a [`DescriptorSlot`] for its descriptor and a [`MemoryReservation`] for its bytes.
//! Slots are granted even beyond the limit: the caller must check it and close an idle connection first. A
//! client that can be closed registers itself; [`Budget::shed_client`] asks it to close.

mod descriptors;
mod idle_clients;
mod memory;

pub use descriptors::DescriptorSlot;
pub use idle_clients::IdleGuard;
pub use memory::{MemoryReservation, MemoryUsage};
pub use petrelgauge_lifecycle::client::Idleness;

use crate::resources::budget::descriptors::{ConnectionKind, DescriptorCounts};
use crate::resources::budget::idle_clients::IdleClients;
use crate::resources::budget::memory::MemoryBudget;
use crate::Time;
use petrelgauge_handover::Reservation;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors reserved for everything except client and host connections: standard streams, the listener,
/// the reactor, signals, discovery, and a few to accept with while other connections are being closed.
const RESERVED_DESCRIPTORS: usize = 40;
/// Number of the reserved descriptors that are always open.
const ALWAYS_OPEN_DESCRIPTORS: usize = 16;
/// Smallest number of descriptors for connections: one client and one host.
const MIN_CONNECTIONS: usize = 2;
/// Clients that use more than one CLIENT_DIVISOR-th of the descriptors are in excess. Clients with open
/// requests use up to a third; the difference is left for new clients.
const CLIENT_DIVISOR: usize = 4;
/// One ANSWERED_SHARE_DIVISOR-th of the clients' share is left to clients that have been answered.
const ANSWERED_SHARE_DIVISOR: usize = 2;
/// One MESSAGE_MEMORY_DIVISOR-th of the memory is for messages. The rest is for the program and its state.
const MESSAGE_MEMORY_DIVISOR: usize = 4;

/// Limits and usage of descriptors and message memory.
pub struct Budget {
    /// Number of descriptors that the process may hold.
    max_descriptors: Cell<usize>,
    connections: Rc<DescriptorCounts>,
    memory: Rc<MemoryBudget>,
    idle_clients: Rc<IdleClients>,
}

impl Budget {
    /// Creates the budget of a process that may hold `max_descriptors` and `max_memory` (bytes).
    pub fn new(max_descriptors: usize, max_memory: usize) -> Rc<Budget> {
        Rc::new(Budget {
            max_descriptors: Cell::new(max_descriptors),
            connections: Rc::default(),
            memory: MemoryBudget::new(max_memory / MESSAGE_MEMORY_DIVISOR),
            idle_clients: Rc::default(),
        })
    }

    /// Changes the limits. Connections in excess of a lower limit are closed once idle; existing memory
    /// reservations keep their limit.
    pub fn set_limits(&self, max_descriptors: usize, max_memory: usize) {
        self.max_descriptors.set(max_descriptors);
        self.memory.set_limit(max_memory / MESSAGE_MEMORY_DIVISOR);
    }

    /// Returns the current usage: descriptors, including those that are always open, and message memory. Open
    /// requests are not counted here and returned as 0.
    pub fn usage(&self) -> Reservation {
        let sockets = self.connections.open_count() + ALWAYS_OPEN_DESCRIPTORS;
        Reservation { sockets, memory: self.memory.used_bytes(), open_requests: 0 }
    }

    /// Returns the usage of the message memory.
    pub fn memory_usage(&self) -> MemoryUsage {
        self.memory.usage()
    }

    /// Number of open connections of clients.
    pub fn client_count(&self) -> usize {
        self.connections.client_count()
    }

    /// Counts a connection to a host until the slot is dropped.
    pub fn acquire_host_slot(&self) -> DescriptorSlot {
        DescriptorSlot::new(&self.connections, ConnectionKind::Host)
    }

    /// Counts a client until the slot is dropped.
    pub fn acquire_client_slot(&self) -> DescriptorSlot {
        DescriptorSlot::new(&self.connections, ConnectionKind::Client)
    }

    /// Whether no descriptor is available for another connection.
    pub fn is_exhausted(&self) -> bool {
        let max_connections =
            self.max_descriptors.get().saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
        self.connections.open_count() >= max_connections
    }

    /// Number of clients in excess of their share of the descriptors.
    pub fn excess_clients(&self) -> usize {
        self.connections.client_count().saturating_sub(self.client_share())
    }

    /// Number of answered clients to close early while clients are in excess of their share. Clients that are
    /// closed soon on their own don't count for it, and half of the share is left to answered ones: closing
    /// those would free little where open requests hold the rest.
    pub fn excess_answered_clients(&self) -> usize {
        let closed_soon = [Idleness::CutOff, Idleness::New, Idleness::Stalled];
        let closed_soon: usize = closed_soon.into_iter().map(|kind| self.idle_clients.count(kind)).sum();
        let answered = self.idle_clients.count(Idleness::Answered);
        let kept = self.client_share() / ANSWERED_SHARE_DIVISOR;
        self.excess_clients().saturating_sub(closed_soon).min(answered.saturating_sub(kept))
    }

    /// Number of descriptors that clients may hold without being in excess.
    fn client_share(&self) -> usize {
        self.max_descriptors.get() / CLIENT_DIVISOR
    }

    /// Registers a client that can be closed and has been idle since `idle_since`, until the guard is
    /// dropped. `close` is notified when the client must close.
    pub fn register_idle(&self, idleness: Idleness, idle_since: Time, close: &Rc<Notify>) -> IdleGuard {
        IdleClients::register(&self.idle_clients, idleness, idle_since, close)
    }

    /// Asks the client that registered first with this idleness to close, if it has been idle since
    /// `idle_before` or longer. Returns whether there is one.
    pub fn shed_client(&self, idleness: Idleness, idle_before: Time) -> bool {
        self.idle_clients.shed(idleness, idle_before)
    }

    /// Creates an empty memory reservation for a client. Clients leave a quarter of the message memory for
    /// hosts' answers.
    pub fn reserve_client_memory(&self) -> MemoryReservation {
        MemoryReservation::for_client(&self.memory)
    }

    /// Creates an empty memory reservation for a connection to a host.
    pub fn reserve_host_memory(&self) -> MemoryReservation {
        MemoryReservation::for_host(&self.memory)
    }
}
