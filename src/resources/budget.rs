//! The process's descriptors and its memory for messages, shared out between clients and database hosts.
//!
//! Every connection counts its descriptor by a [`DescriptorSlot`] and its bytes by a [`MemoryReservation`]. Descriptors
//! are counted beyond the limit too: it is for the caller to close an idle connection first. A client that can be closed
//! registers itself, and is asked to close by [`Budget::shed_client`].

use crate::postgres;
use crate::Time;
use petrelgauge_handover::Reservation;
pub use petrelgauge_lifecycle::client::Idleness;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Descriptors kept for all that is not a client or a host: standard streams, the listener, the reactor, signals,
/// discovery, and a few to accept with while others are being freed.
const RESERVED_DESCRIPTORS: usize = 40;
/// Of these, the ones that are open all the time.
const OWN_DESCRIPTORS: usize = 16;
/// The fewest descriptors for clients and hosts: one of each.
const MIN_DESCRIPTORS: usize = 2;
/// Messages may take this part of the memory, as a divisor: the program itself and what it remembers need the rest.
const MESSAGE_MEMORY_DIVISOR: usize = 4;
/// Parts of the memory for messages, and how many of them clients may fill: the rest is left to what hosts answer.
const MESSAGE_MEMORY_PARTS: usize = 4;
const CLIENT_MEMORY_PARTS: usize = 3;
/// Bytes of messages that any connection may hold, however many all hold together: the usual ones.
const GUARANTEED_BYTES: usize = 4 * 1024;
/// Clients beyond this part of the descriptors, as a divisor, are too many. Those that ask hold a third at most: what is
/// left of it is for the next ones.
const CLIENT_DIVISOR: usize = 4;

/// Counts open connections and the bytes they hold, and knows which clients can be closed.
pub struct Budget {
    /// Descriptors that the process may hold.
    descriptors: Cell<usize>,
    /// Of these, the ones for clients and hosts.
    max_open: Cell<usize>,
    open: Cell<usize>,
    clients: Cell<usize>,
    max_bytes: Cell<usize>,
    bytes: Cell<usize>,
    /// Notified whenever a connection holds fewer bytes than before, or releases the reserve.
    released: Notify,
    /// A connection has the reserve of one message.
    reserve_in_use: Cell<bool>,
    next_idle_number: Cell<u64>,
    /// Clients that can be closed; of each kind, the one that registered first stands first.
    idle: RefCell<BTreeMap<IdleKey, IdleClient>>,
}

/// By what clients that can be closed are sorted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    why: Idleness,
    number: u64,
}

/// A client that can be closed.
struct IdleClient {
    since: Time,
    close: Rc<Notify>,
}

/// Descriptors for clients and hosts, of so many that the process may hold.
fn max_open(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS)
}

impl Budget {
    /// For a process that may hold so many descriptors and so much memory (bytes).
    pub fn new(descriptors: usize, memory: usize) -> Rc<Budget> {
        Rc::new(Budget {
            descriptors: Cell::new(descriptors),
            max_open: Cell::new(max_open(descriptors)),
            open: Cell::new(0),
            clients: Cell::new(0),
            max_bytes: Cell::new(memory / MESSAGE_MEMORY_DIVISOR),
            bytes: Cell::new(0),
            released: Notify::new(),
            reserve_in_use: Cell::new(false),
            next_idle_number: Cell::new(0),
            idle: RefCell::new(BTreeMap::new()),
        })
    }

    /// From now on the process may hold so many descriptors and so much memory (bytes). What is open beyond that is
    /// closed when it is idle; reservations keep the limit that they were made with.
    pub fn set_limits(&self, descriptors: usize, memory: usize) {
        self.descriptors.set(descriptors);
        self.max_open.set(max_open(descriptors));
        self.max_bytes.set(memory / MESSAGE_MEMORY_DIVISOR);
    }

    /// What is in use now: descriptors, also those that are neither a client's nor a host's, and bytes.
    pub fn usage(&self) -> Reservation {
        Reservation { sockets: self.open.get() + OWN_DESCRIPTORS, memory: self.bytes.get(), open_requests: 0 }
    }

    /// Counts a connection to a host for as long as the slot lives.
    pub fn acquire_host_slot(self: &Rc<Self>) -> DescriptorSlot {
        self.open.set(self.open.get() + 1);
        DescriptorSlot { budget: self.clone(), peer: Peer::Host }
    }

    /// Counts a client for as long as the slot lives.
    pub fn acquire_client_slot(self: &Rc<Self>) -> DescriptorSlot {
        self.open.set(self.open.get() + 1);
        self.clients.set(self.clients.get() + 1);
        DescriptorSlot { budget: self.clone(), peer: Peer::Client }
    }

    /// No descriptor is left for a further connection.
    pub fn is_exhausted(&self) -> bool {
        self.open.get() >= self.max_open.get()
    }

    /// How many clients there are beyond their part of the descriptors.
    pub fn excess_clients(&self) -> usize {
        self.clients.get().saturating_sub(self.descriptors.get() / CLIENT_DIVISOR)
    }

    /// Registers a client that can be closed, for as long as the guard lives. It has been idle since this time, and
    /// `close` is notified when it is to close.
    pub fn register_idle(self: &Rc<Self>, why: Idleness, since: Time, close: &Rc<Notify>) -> IdleGuard {
        let number = self.next_idle_number.get();
        self.next_idle_number.set(number + 1);
        let key = IdleKey { why, number };
        self.idle.borrow_mut().insert(key, IdleClient { since, close: close.clone() });
        IdleGuard { budget: self.clone(), key }
    }

    /// Asks the client to close that registered first of this kind, if it has been idle since `latest` at least. False
    /// if there is none.
    pub fn shed_client(&self, why: Idleness, latest: Time) -> bool {
        let mut idle = self.idle.borrow_mut();
        let all = IdleKey { why, number: 0 }..=IdleKey { why, number: u64::MAX };
        let first = idle.range(all).next().filter(|(_, client)| client.since <= latest);
        let Some(key) = first.map(|(key, _)| *key) else { return false };
        idle.remove(&key).map(|client| client.close.notify_one()).is_some()
    }

    /// The bytes of a client connection, none so far. Clients leave a quarter of all to what hosts answer.
    pub fn reserve_client_memory(self: &Rc<Self>) -> MemoryReservation {
        self.reserve_memory(self.max_bytes.get() / MESSAGE_MEMORY_PARTS * CLIENT_MEMORY_PARTS)
    }

    /// The bytes of a connection to a host, none so far.
    pub fn reserve_host_memory(self: &Rc<Self>) -> MemoryReservation {
        self.reserve_memory(self.max_bytes.get())
    }

    fn reserve_memory(self: &Rc<Self>, max_total: usize) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0, max_total, has_reserve: Cell::new(false) }
    }
}

/// What a connection leads to.
enum Peer {
    Client,
    Host,
}

/// The descriptor of one open connection; dropped, it is counted as closed.
pub struct DescriptorSlot {
    budget: Rc<Budget>,
    peer: Peer,
}

impl Drop for DescriptorSlot {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.open.set(budget.open.get() - 1);
        if matches!(self.peer, Peer::Client) {
            budget.clients.set(budget.clients.get() - 1);
        }
    }
}

/// One client that can be closed; dropped, it can't be any longer.
pub struct IdleGuard {
    budget: Rc<Budget>,
    key: IdleKey,
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        self.budget.idle.borrow_mut().remove(&self.key);
    }
}

/// The bytes that one connection holds; dropped, it holds none.
pub struct MemoryReservation {
    budget: Rc<Budget>,
    bytes: usize,
    /// It may hold more than is guaranteed while all hold no more than this (bytes).
    max_total: usize,
    /// It may go over `max_total` to complete one message.
    has_reserve: Cell<bool>,
}

impl MemoryReservation {
    /// The connection holds so many bytes now. False if that is more than before and too much beside what all others
    /// hold; they are counted all the same.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let total = &self.budget.bytes;
        total.set(total.get() - self.bytes + bytes);
        let before = std::mem::replace(&mut self.bytes, bytes);
        if bytes < before {
            self.budget.released.notify_waiters();
        }
        bytes <= before || bytes <= GUARANTEED_BYTES || total.get() <= self.max_total
    }

    /// Takes the reserve of one message, if no other connection has it. Without it, messages that have begun could
    /// hold all memory, and none of them would ever be completed.
    pub fn acquire_reserve(&self) -> bool {
        if !self.budget.reserve_in_use.replace(true) {
            self.has_reserve.set(true);
        }
        self.has_reserve.get()
    }

    /// Releases the reserve, if it has it.
    pub fn release_reserve(&self) {
        if self.has_reserve.take() {
            self.budget.reserve_in_use.set(false);
            self.budget.released.notify_waiters();
        }
    }

    /// Bytes that this connection may hold beyond what it holds.
    pub fn available(&self) -> usize {
        if self.has_reserve.get() {
            return postgres::MAX_MESSAGE_BYTES;
        }
        let shared = self.max_total.saturating_sub(self.budget.bytes.get());
        shared.max(GUARANTEED_BYTES.saturating_sub(self.bytes))
    }

    /// Ends when a connection holds fewer bytes than when this was called, or releases the reserve. A release between
    /// this call and the first poll is not missed.
    pub fn released(&self) -> Notified<'_> {
        self.budget.released.notified()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
        self.release_reserve();
    }
}
