//! The memory for messages, which each connection reserves.

use crate::postgres;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Clients may use `CLIENT_MEMORY_PARTS` of `MESSAGE_MEMORY_PARTS` of the message memory; the rest is left
/// for hosts' answers.
const MESSAGE_MEMORY_PARTS: usize = 4;
const CLIENT_MEMORY_PARTS: usize = 3;
/// Bytes that each connection may hold regardless of the total usage; enough for typical messages.
const GUARANTEED_BYTES: usize = 4 * 1024;

/// The message memory in use (bytes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUsage {
    /// What all connections hold now.
    pub used_bytes: usize,
    /// The most that they have held at one time.
    pub peak_bytes: usize,
    /// The most that they may hold, beyond what each connection may hold in any case.
    pub max_bytes: usize,
}

/// Limit and usage of the message memory.
pub(super) struct MemoryBudget {
    max_bytes: Cell<usize>,
    used_bytes: Cell<usize>,
    /// The most that was in use at one time.
    peak_bytes: Cell<usize>,
    /// Notified whenever a connection shrinks its reservation or releases the reserve.
    released: Notify,
    /// Whether a connection holds the reserve.
    is_reserve_in_use: Cell<bool>,
}

impl MemoryBudget {
    pub(super) fn new(max_bytes: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            max_bytes: Cell::new(max_bytes),
            used_bytes: Cell::new(0),
            peak_bytes: Cell::new(0),
            released: Notify::new(),
            is_reserve_in_use: Cell::new(false),
        })
    }

    /// Changes the limit of later reservations.
    pub(super) fn set_limit(&self, max_bytes: usize) {
        self.max_bytes.set(max_bytes);
    }

    pub(super) fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    pub(super) fn usage(&self) -> MemoryUsage {
        MemoryUsage {
            used_bytes: self.used_bytes.get(),
            peak_bytes: self.peak_bytes.get(),
            max_bytes: self.max_bytes.get(),
        }
    }

    fn set_used_bytes(&self, bytes: usize) {
        self.used_bytes.set(bytes);
        self.peak_bytes.set(self.peak_bytes.get().max(bytes));
    }
}

/// The bytes reserved by one connection, released on drop.
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
    /// The connection may exceed the guaranteed bytes as long as the total of all connections is within this
    /// limit.
    max_total_bytes: usize,
    /// Whether the connection holds the reserve: it may exceed `max_total_bytes` to complete one message.
    has_reserve: Cell<bool>,
}

impl MemoryReservation {
    pub(super) fn for_client(budget: &Rc<MemoryBudget>) -> MemoryReservation {
        let max_total_bytes = budget.max_bytes.get() / MESSAGE_MEMORY_PARTS * CLIENT_MEMORY_PARTS;
        MemoryReservation::new(budget, max_total_bytes)
    }

    pub(super) fn for_host(budget: &Rc<MemoryBudget>) -> MemoryReservation {
        MemoryReservation::new(budget, budget.max_bytes.get())
    }

    fn new(budget: &Rc<MemoryBudget>, max_total_bytes: usize) -> MemoryReservation {
        MemoryReservation { budget: budget.clone(), bytes: 0, max_total_bytes, has_reserve: Cell::new(false) }
    }

    /// Sets the number of bytes that the connection holds. Returns whether they are within the limits, which
    /// a reduction always is. The bytes are counted in either case.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let used_bytes = self.budget.used_bytes.get() - self.bytes + bytes;
        self.budget.set_used_bytes(used_bytes);
        let previous_bytes = std::mem::replace(&mut self.bytes, bytes);
        if bytes < previous_bytes {
            self.budget.released.notify_waiters();
        }
        bytes <= previous_bytes || bytes <= GUARANTEED_BYTES || used_bytes <= self.max_total_bytes
    }

    /// Acquires the reserve for one message, unless another connection holds it. Returns whether this
    /// connection holds it now. Without the reserve, incomplete messages could fill the memory so that none
    /// could ever be completed (deadlock).
    pub fn acquire_reserve(&self) -> bool {
        if !self.budget.is_reserve_in_use.replace(true) {
            self.has_reserve.set(true);
        }
        self.has_reserve.get()
    }

    /// Releases the reserve, if this connection holds it.
    pub fn release_reserve(&self) {
        if self.has_reserve.take() {
            self.budget.is_reserve_in_use.set(false);
            self.budget.released.notify_waiters();
        }
    }

    /// Number of further bytes that this connection may hold.
    pub fn available(&self) -> usize {
        if self.has_reserve.get() {
            return postgres::MAX_MESSAGE_BYTES;
        }
        let shared_bytes = self.max_total_bytes.saturating_sub(self.budget.used_bytes.get());
        shared_bytes.max(GUARANTEED_BYTES.saturating_sub(self.bytes))
    }

    /// Completes when a connection shrinks its reservation or releases the reserve. A release between this
    /// call and the first poll is not missed.
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
