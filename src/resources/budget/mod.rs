//! The process's descriptors and its memory for messages, shared by the connections of clients and hosts.
//!
//! Each connection holds a [`DescriptorSlot`] for its descriptor and a [`MemoryReservation`] for its bytes.
//! Slots are handed out beyond the limit, too: the caller has to close an idle connection first. A client
//! that can be closed registers itself and is asked to close by [`Budget::shed_client`].

mod descriptors;
mod idle_clients;
mod memory;

pub use descriptors::DescriptorSlot;
pub use idle_clients::IdleGuard;
pub use memory::MemoryReservation;
pub use petrelgauge_lifecycle::client::Idleness;

use crate::resources::budget::descriptors::{DescriptorCounts, Peer};
use crate::resources::budget::idle_clients::IdleClients;
use crate::resources::budget::memory::MemoryBudget;
use crate::Time;
use petrelgauge_handover::Reservation;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors reserved for everything except client and host connections: standard streams, the listener,
/// the reactor, signals, discovery, and a few to accept with while others are being closed.
const RESERVED_DESCRIPTORS: usize = 40;
/// Of the reserved descriptors, those that are always open.
const ALWAYS_OPEN_DESCRIPTORS: usize = 16;
/// Smallest number of descriptors for connections: one client and one host.
const MIN_CONNECTIONS: usize = 2;
/// Clients beyond this fraction of the descriptors, as a divisor, are excess. Clients with open requests hold
/// up to a third; the difference is left to the next ones.
const CLIENT_DIVISOR: usize = 4;
/// Messages may take this fraction of the memory, as a divisor. The rest is for the program and its state.
const MESSAGE_MEMORY_DIVISOR: usize = 4;

/// Limits and usage of descriptors and message memory.
pub struct Budget {
    /// Descriptors that the process may hold.
    max_descriptors: Cell<usize>,
    connections: Rc<DescriptorCounts>,
    memory: Rc<MemoryBudget>,
    idle_clients: Rc<IdleClients>,
}

impl Budget {
    /// The budget of a process that may hold `max_descriptors` and `max_memory` (bytes).
    pub fn new(max_descriptors: usize, max_memory: usize) -> Rc<Budget> {
        Rc::new(Budget {
            max_descriptors: Cell::new(max_descriptors),
            connections: Rc::default(),
            memory: MemoryBudget::new(max_memory / MESSAGE_MEMORY_DIVISOR),
            idle_clients: Rc::default(),
        })
    }

    /// Changes the limits. Connections beyond a lower limit are closed when they are idle; existing memory
    /// reservations keep their limit.
    pub fn set_limits(&self, max_descriptors: usize, max_memory: usize) {
        self.max_descriptors.set(max_descriptors);
        self.memory.set_limit(max_memory / MESSAGE_MEMORY_DIVISOR);
    }

    /// What is in use now: descriptors, including those that are always open, and message bytes. Open
    /// requests are not counted here.
    pub fn usage(&self) -> Reservation {
        let sockets = self.connections.open_count() + ALWAYS_OPEN_DESCRIPTORS;
        Reservation { sockets, memory: self.memory.used_bytes(), open_requests: 0 }
    }

    /// Counts a connection to a host until the slot is dropped.
    pub fn acquire_host_slot(&self) -> DescriptorSlot {
        DescriptorSlot::new(&self.connections, Peer::Host)
    }

    /// Counts a client until the slot is dropped.
    pub fn acquire_client_slot(&self) -> DescriptorSlot {
        DescriptorSlot::new(&self.connections, Peer::Client)
    }

    /// Whether no descriptor is left for another connection.
    pub fn is_exhausted(&self) -> bool {
        let max_connections =
            self.max_descriptors.get().saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
        self.connections.open_count() >= max_connections
    }

    /// Number of clients beyond their share of the descriptors.
    pub fn excess_clients(&self) -> usize {
        self.connections.client_count().saturating_sub(self.max_descriptors.get() / CLIENT_DIVISOR)
    }

    /// Registers a client that can be closed and has been idle since `idle_since`, until the guard is
    /// dropped. `close` is notified when it has to close.
    pub fn register_idle(&self, idleness: Idleness, idle_since: Time, close: &Rc<Notify>) -> IdleGuard {
        IdleClients::register(&self.idle_clients, idleness, idle_since, close)
    }

    /// Asks the client that registered first with this idleness to close, if it has been idle since
    /// `idle_before` or longer. Returns whether there is one.
    pub fn shed_client(&self, idleness: Idleness, idle_before: Time) -> bool {
        self.idle_clients.shed(idleness, idle_before)
    }

    /// Starts an empty memory reservation of a client. Clients leave a quarter of the message memory to the
    /// answers of hosts.
    pub fn reserve_client_memory(&self) -> MemoryReservation {
        MemoryReservation::for_client(&self.memory)
    }

    /// Starts an empty memory reservation of a connection to a host.
    pub fn reserve_host_memory(&self) -> MemoryReservation {
        MemoryReservation::for_host(&self.memory)
    }
}
