//! What this process may hold, shared out between clients and database hosts: descriptors, and the bytes of
//! messages.

use crate::net::pg;
use crate::Time;
use petrelgauge_handover::Reservation;
pub use petrelgauge_lifecycle::client::Idleness;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Descriptors kept for all that is not a client or a host: standard streams, the listener, the reactor,
/// signals, discovery, and a few to accept with while others are being freed.
const RESERVE: usize = 40;
/// Of these, the ones that are open all the time.
const OWN: usize = 16;
/// Part of the memory that messages may take: the program itself and what it remembers need the rest.
const MESSAGES: usize = 4;
/// So many bytes of messages any connection may hold, however many all hold together: the usual ones.
const USUAL: usize = 4 * 1024;

/// Counts open connections and the bytes they hold, and knows which clients can be closed.
pub struct Budget {
    sockets: Cell<usize>,
    most: Cell<usize>,
    open: Cell<usize>,
    clients: Cell<usize>,
    most_bytes: Cell<usize>,
    bytes: Cell<usize>,
    /// Told whenever a connection holds fewer bytes than before, or gives the reserve back.
    freed: Notify,
    /// A client has the reserve.
    reserved: Cell<bool>,
    next: Cell<u64>,
    /// Clients that can be closed, by why and then the longest waiting first, each with its beginning.
    idle: RefCell<BTreeMap<Place, (Time, Rc<Notify>)>>,
}

/// Descriptors for clients and hosts, of so many.
fn most_of(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVE).max(2)
}

/// Why, and in what order.
type Place = (Idleness, u64);

impl Budget {
    /// A budget for a process that may hold `sockets` descriptors and `memory` bytes.
    pub fn new(sockets: usize, memory: usize) -> Rc<Budget> {
        Rc::new(Budget {
            sockets: Cell::new(sockets),
            most: Cell::new(most_of(sockets)),
            open: Cell::new(0),
            clients: Cell::new(0),
            most_bytes: Cell::new(memory / MESSAGES),
            bytes: Cell::new(0),
            freed: Notify::new(),
            reserved: Cell::new(false),
            next: Cell::new(0),
            idle: RefCell::new(BTreeMap::new()),
        })
    }

    /// From now on the process may hold so many descriptors and so much memory. What is open beyond that is closed as
    /// it can be spared.
    pub fn set_limits(&self, sockets: usize, memory: usize) {
        self.sockets.set(sockets);
        self.most.set(most_of(sockets));
        self.most_bytes.set(memory / MESSAGES);
    }

    /// What is held now: descriptors, also those that are neither a client's nor a host's, and bytes.
    pub fn usage(&self) -> Reservation {
        Reservation { sockets: self.open.get() + OWN, memory: self.bytes.get(), open: 0 }
    }

    /// Counts a connection to a host for as long as the slot lives.
    pub fn acquire_host_slot(self: &Rc<Self>) -> DescriptorSlot {
        self.slot(false)
    }

    /// Counts a client for as long as the slot lives.
    pub fn acquire_client_slot(self: &Rc<Self>) -> DescriptorSlot {
        self.slot(true)
    }

    fn slot(self: &Rc<Self>, client: bool) -> DescriptorSlot {
        self.open.set(self.open.get() + 1);
        self.clients.set(self.clients.get() + client as usize);
        DescriptorSlot { budget: self.clone(), client }
    }

    /// No further connection fits.
    pub fn is_exhausted(&self) -> bool {
        self.open.get() >= self.most.get()
    }

    /// How many clients there are beyond a quarter of all. Those that ask hold a third at most: what is left of
    /// it is for the next ones.
    pub fn excess_clients(&self) -> usize {
        self.clients.get().saturating_sub(self.sockets.get() / 4)
    }

    /// Marks a client as one that can be closed for as long as the mark lives, from `now` on.
    pub fn register_idle(self: &Rc<Self>, why: Idleness, now: Time, client: &Rc<Notify>) -> IdleGuard {
        let number = self.next.get();
        self.next.set(number + 1);
        self.idle.borrow_mut().insert((why, number), (now, client.clone()));
        IdleGuard { budget: self.clone(), place: (why, number) }
    }

    /// Asks the client to close that can be closed for this reason for the longest, at least since `latest`.
    /// False if there is none.
    pub fn shed_client(&self, why: Idleness, latest: Time) -> bool {
        let mut idle = self.idle.borrow_mut();
        let first = idle.range((why, 0)..=(why, u64::MAX)).next().filter(|(_, (since, _))| *since <= latest);
        let Some(place) = first.map(|(place, _)| *place) else { return false };
        idle.remove(&place).map(|(_, client)| client.notify_one()).is_some()
    }

    /// The bytes of a client connection, none so far. Clients leave a quarter of all to what hosts answer.
    pub fn reserve_client_memory(self: &Rc<Self>) -> MemoryReservation {
        self.reserve_memory(self.most_bytes.get() / 4 * 3)
    }

    /// The bytes of a connection to a host, none so far.
    pub fn reserve_host_memory(self: &Rc<Self>) -> MemoryReservation {
        self.reserve_memory(self.most_bytes.get())
    }

    fn reserve_memory(self: &Rc<Self>, most: usize) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0, most, reserve: Cell::new(false) }
    }
}

/// One open connection.
pub struct DescriptorSlot {
    budget: Rc<Budget>,
    client: bool,
}

impl Drop for DescriptorSlot {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.open.set(budget.open.get() - 1);
        budget.clients.set(budget.clients.get() - self.client as usize);
    }
}

/// One client that can be closed.
pub struct IdleGuard {
    budget: Rc<Budget>,
    place: Place,
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        self.budget.idle.borrow_mut().remove(&self.place);
    }
}

/// The bytes that one connection holds.
pub struct MemoryReservation {
    budget: Rc<Budget>,
    bytes: usize,
    most: usize,
    /// It may go over `most` to make one message whole.
    reserve: Cell<bool>,
}

impl MemoryReservation {
    /// So many they are now. False if that is too much beside what all others hold.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let all = &self.budget.bytes;
        all.set(all.get() - self.bytes + bytes);
        let before = std::mem::replace(&mut self.bytes, bytes);
        if bytes < before {
            self.budget.freed.notify_waiters();
        }
        bytes <= before || bytes <= USUAL || all.get() <= self.most
    }

    /// Takes the reserve of one message, if no other connection has it. Without it, messages that have begun could
    /// hold all memory, and none of them ever become whole.
    pub fn acquire_reserve(&self) -> bool {
        if !self.budget.reserved.replace(true) {
            self.reserve.set(true);
        }
        self.reserve.get()
    }

    /// Gives the reserve back, if it has it.
    pub fn release_reserve(&self) {
        if self.reserve.take() {
            self.budget.reserved.set(false);
            self.budget.freed.notify_waiters();
        }
    }

    /// Bytes that this connection may hold beyond what it holds.
    pub fn available(&self) -> usize {
        if self.reserve.get() {
            return pg::MAX_MESSAGE_BYTES;
        }
        let shared = self.most.saturating_sub(self.budget.bytes.get());
        shared.max(USUAL.saturating_sub(self.bytes))
    }

    /// Ends when a connection holds fewer bytes than when this was called, or gives the reserve back.
    pub fn released(&self) -> Notified<'_> {
        self.budget.freed.notified()
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
        self.release_reserve();
    }
}
