//! How far a client's messages are read ahead of the one that is being answered, and when each was received.
//!
//! The bounds are enforced by back pressure: at a bound nothing more is read from the connection until queued messages
//! have been dequeued, and what the client continues to send waits in the kernel's socket buffer. Nothing is read that
//! can't be answered, and no client is cut off for sending quickly.
//!
//! A message that waited in the kernel arrived at an unknown time. [`ReadAhead::arrived`] gives the earliest possible
//! one, so that a client's remaining wait is never overestimated.
//!
//! Sizes are in bytes, times in microseconds. The state is of fixed size.

use petrelgauge_policy::Time;

/// Messages that may be queued while one is being answered (count). In a longer queue they would only wait here instead of
/// in the kernel.
pub const MAX_QUEUED: usize = 64;
/// Bytes that may be queued, including those of an incomplete message: twice the longest message, so that a complete one
/// fits beside the beginning of the next.
pub const MAX_BYTES: usize = 320 * 1024;

/// What one connection has read and not yet answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadAhead {
    queued: usize,
    queued_bytes: usize,
    /// Bytes that have not been parsed into messages yet.
    unparsed: usize,
    /// Size of the message that was dequeued last.
    current: usize,
    /// Reading has paused, although bytes may have been received by the kernel.
    paused: bool,
    /// The last read left nothing in the kernel's buffer.
    drained: bool,
    last_read: Time,
    arrived: Time,
}

impl ReadAhead {
    /// A connection from which nothing has been read.
    pub fn new() -> ReadAhead {
        ReadAhead { drained: true, ..ReadAhead::default() }
    }

    /// How many bytes may be read now within the connection's own bounds. 0: reading has to pause.
    pub fn allowance(&self) -> usize {
        if self.queued >= MAX_QUEUED {
            return 0;
        }
        MAX_BYTES.saturating_sub(self.queued_bytes + self.unparsed)
    }

    /// Whether no message is queued or being answered: the connection can free no memory by itself, and depends on others
    /// to do so.
    pub fn is_starved(&self) -> bool {
        self.queued == 0 && self.current == 0
    }

    /// All bytes that the connection has in memory.
    pub fn buffered_bytes(&self) -> usize {
        self.current + self.queued_bytes + self.unparsed
    }

    /// Reading pauses: what is received from now on is read later.
    pub fn pause(&mut self) {
        self.paused = true;
    }

    /// Whether reading has paused and nothing was read since.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// `read` bytes were read into a buffer of `capacity` bytes.
    pub fn on_read(&mut self, now: Time, read: usize, capacity: usize) {
        self.arrived = match (self.drained, self.paused) {
            // What the last read left in the kernel may be as old as what it returned.
            (false, _) => self.arrived,
            (true, true) => self.last_read,
            (true, false) => now,
        };
        self.unparsed += read;
        self.drained = read < capacity;
        self.paused = false;
        self.last_read = now;
    }

    /// Whether another message may be parsed and queued.
    pub fn may_queue(&self) -> bool {
        self.queued < MAX_QUEUED
    }

    /// A message of `size` bytes was parsed and queued, after which `unparsed` bytes are left.
    pub fn on_queued(&mut self, size: usize, unparsed: usize) {
        self.queued += 1;
        self.queued_bytes += size;
        self.unparsed = unparsed;
    }

    /// A queued message of `size` bytes was dequeued. The one before it is finished.
    pub fn on_taken(&mut self, size: usize) {
        self.queued = self.queued.saturating_sub(1);
        self.queued_bytes = self.queued_bytes.saturating_sub(size);
        self.current = size;
    }

    /// The message that was dequeued last is finished.
    pub fn on_done(&mut self) {
        self.current = 0;
    }

    /// The unparsed bytes were consumed in another way or dropped; this many are left.
    pub fn set_unparsed_bytes(&mut self, unparsed: usize) {
        self.unparsed = unparsed;
    }

    /// Whether the kernel may have bytes that were received before the last read.
    pub fn is_behind(&self) -> bool {
        !self.drained
    }

    /// The time of the last read.
    pub fn last_read(&self) -> Time {
        self.last_read
    }

    /// The earliest time at which the message that is parsed next can have been completely received.
    pub fn arrived(&self) -> Time {
        self.arrived
    }
}
