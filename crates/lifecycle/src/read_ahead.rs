//! Limits how far a client's messages are read ahead of the one being answered, and tracks when each arrived.
//!
//! The bounds are enforced by back pressure: at a bound nothing more is read from the connection until queued
//! messages have been dequeued, and further data from the client stays in the kernel's socket buffer. Nothing
//! is read that can't be answered, and no client is cut off for sending quickly.
//!
//! The arrival time of a message that waited in the kernel is unknown. [`ReadAhead::arrived_at`] returns the
//! earliest possible one, so that a client's remaining wait is never overestimated.
//!
//! Sizes are in bytes, times in microseconds. The state is of fixed size.

use petrelgauge_policy::Time;

/// Maximum number of messages queued while one is being answered. A longer queue would only move waiting
/// messages from the kernel's buffer to the gateway's memory.
pub const MAX_QUEUED: usize = 64;
/// Maximum number of queued bytes, including those of an incomplete message: twice the longest message, so
/// that a complete one fits together with the beginning of the next.
pub const MAX_BYTES: usize = 320 * 1024;

/// Messages and bytes that one connection has read and not yet answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadAhead {
    queued: usize,
    queued_bytes: usize,
    /// Bytes that have not been parsed into messages yet.
    unparsed_bytes: usize,
    /// Size of the message that was dequeued last, until it has been handled or handed over.
    current_bytes: usize,
    /// The message that was dequeued last has not been handled.
    is_handling: bool,
    /// Reading is paused, although the kernel may have received bytes.
    is_paused: bool,
    /// The last read left nothing in the kernel's buffer.
    is_kernel_buffer_empty: bool,
    last_read_at: Time,
    arrived_at: Time,
}

impl ReadAhead {
    /// A connection from which nothing has been read.
    pub fn new() -> ReadAhead {
        ReadAhead { is_kernel_buffer_empty: true, ..ReadAhead::default() }
    }

    /// Number of bytes that may be read now within the bounds of the connection. At 0 reading has to pause.
    pub fn allowance(&self) -> usize {
        if self.queued >= MAX_QUEUED {
            return 0;
        }
        MAX_BYTES.saturating_sub(self.queued_bytes + self.unparsed_bytes)
    }

    /// Whether no message is queued or being answered. In that case the connection can't free memory by
    /// itself.
    pub fn has_no_message(&self) -> bool {
        self.queued == 0 && !self.is_handling
    }

    /// Whether the message that was dequeued last has not been handled.
    pub fn is_handling(&self) -> bool {
        self.is_handling
    }

    /// Number of bytes of the messages that are queued or being handled. Unparsed bytes are not among them:
    /// the buffer that holds them may be larger than they are.
    pub fn message_bytes(&self) -> usize {
        self.current_bytes + self.queued_bytes
    }

    /// Records that reading pauses: bytes that arrive from now on are read later.
    pub fn pause(&mut self) {
        self.is_paused = true;
    }

    /// Whether reading has paused and nothing has been read since.
    pub fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Records that `read` bytes were read into a buffer of `capacity` bytes.
    pub fn on_read(&mut self, now: Time, read: usize, capacity: usize) {
        self.arrived_at = match (self.is_kernel_buffer_empty, self.is_paused) {
            // Bytes that the last read left in the kernel may be as old as those it returned.
            (false, _) => self.arrived_at,
            (true, true) => self.last_read_at,
            (true, false) => now,
        };
        self.unparsed_bytes += read;
        self.is_kernel_buffer_empty = read < capacity;
        self.is_paused = false;
        self.last_read_at = now;
    }

    /// Whether another message may be parsed and queued.
    pub fn may_queue(&self) -> bool {
        self.queued < MAX_QUEUED
    }

    /// Records that a message of `size` bytes was parsed and queued, and how many unparsed bytes are left.
    pub fn on_queued(&mut self, size: usize, unparsed_bytes: usize) {
        self.queued += 1;
        self.queued_bytes += size;
        self.unparsed_bytes = unparsed_bytes;
    }

    /// Records that a message of `size` bytes was dequeued. The previous one has been handled.
    pub fn on_dequeued(&mut self, size: usize) {
        self.queued = self.queued.saturating_sub(1);
        self.queued_bytes = self.queued_bytes.saturating_sub(size);
        self.current_bytes = size;
        self.is_handling = true;
    }

    /// Records that the bytes of the message that is being handled are accounted for elsewhere.
    pub fn on_handed_over(&mut self) {
        self.current_bytes = 0;
    }

    /// Records that the message that was dequeued last has been handled.
    pub fn on_handled(&mut self) {
        self.current_bytes = 0;
        self.is_handling = false;
    }

    /// Records how many unparsed bytes are left after some were dropped or consumed without being queued.
    pub fn set_unparsed_bytes(&mut self, unparsed_bytes: usize) {
        self.unparsed_bytes = unparsed_bytes;
    }

    /// Whether the kernel may have bytes that were received before the last read.
    pub fn may_have_unread(&self) -> bool {
        !self.is_kernel_buffer_empty
    }

    /// Clock time of the last read.
    pub fn last_read_at(&self) -> Time {
        self.last_read_at
    }

    /// The earliest time at which the message that is parsed next can have been completely received.
    pub fn arrived_at(&self) -> Time {
        self.arrived_at
    }
}
