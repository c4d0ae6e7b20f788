//! How far a client's messages are read ahead of the one that is being answered, and when each of them came.
//!
//! The bounds are kept by back pressure: at a bound nothing more is read from the connection until messages have been
//! taken up, and what the client goes on sending waits in the kernel's socket buffer. Nothing is read that cannot be
//! answered, and no client is cut off for sending quickly.
//!
//! A message that waited in the kernel came at an unknown time. [`ReadAhead::arrived`] gives the earliest possible one, so
//! that a client's wait is never taken for longer than it is.
//!
//! Sizes are in bytes, times in microseconds. State is of fixed size.

use petrelgauge_policy::Time;

/// Messages that may wait while one is being answered. A deeper queue would only wait here in place of the kernel.
pub const MAX_QUEUED: usize = 64;
/// Bytes that may wait, the part of a message that is not whole included: twice the longest message, so that a whole one
/// fits beside the beginning of the next.
pub const MAX_BYTES: usize = 320 * 1024;

/// What one connection has read and not yet answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadAhead {
    queued: usize,
    queued_bytes: usize,
    /// Bytes that are not cut into messages yet.
    unparsed: usize,
    /// Weight of the message that was taken up last.
    current: usize,
    /// Nothing was read for a while although something may have come.
    paused: bool,
    /// The last read left nothing in the kernel.
    drained: bool,
    last_read: Time,
    arrived: Time,
}

impl ReadAhead {
    /// A connection from which nothing has been read.
    pub fn new() -> ReadAhead {
        ReadAhead { drained: true, ..ReadAhead::default() }
    }

    /// Bytes that may be read now by the connection's own bounds. None: reading has to pause.
    pub fn allowance(&self) -> usize {
        match self.queued >= MAX_QUEUED {
            true => 0,
            false => MAX_BYTES.saturating_sub(self.queued_bytes + self.unparsed),
        }
    }

    /// No message of it is queued or being answered: it can free nothing by itself, and waits for memory of others.
    pub fn is_starved(&self) -> bool {
        self.queued == 0 && self.current == 0
    }

    /// Bytes that the connection holds in all.
    pub fn buffered_bytes(&self) -> usize {
        self.current + self.queued_bytes + self.unparsed
    }

    /// Reading pauses: what comes from now on is read later.
    pub fn pause(&mut self) {
        self.paused = true;
    }

    /// Reading pauses, and nothing was read since.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// `read` of at most `asked` bytes were read.
    pub fn on_read(&mut self, now: Time, read: usize, asked: usize) {
        self.arrived = match (self.drained, self.paused) {
            // What the last read left behind may be as old as what it took.
            (false, _) => self.arrived,
            (true, true) => self.last_read,
            (true, false) => now,
        };
        self.unparsed += read;
        self.drained = read < asked;
        self.paused = false;
        self.last_read = now;
    }

    /// Whether another message may be cut off the bytes that were read.
    pub fn may_queue(&self) -> bool {
        self.queued < MAX_QUEUED
    }

    /// A message of `weight` bytes was cut off, after which `unparsed` bytes are left.
    pub fn on_queued(&mut self, weight: usize, unparsed: usize) {
        self.queued += 1;
        self.queued_bytes += weight;
        self.unparsed = unparsed;
    }

    /// A queued message of `weight` bytes is taken up. The one before it is done with.
    pub fn on_taken(&mut self, weight: usize) {
        self.queued = self.queued.saturating_sub(1);
        self.queued_bytes = self.queued_bytes.saturating_sub(weight);
        self.current = weight;
    }

    /// The message that was taken up is done with.
    pub fn on_done(&mut self) {
        self.current = 0;
    }

    /// The bytes that are not cut were taken up in another way or dropped; so many are left.
    pub fn set_unparsed_bytes(&mut self, unparsed: usize) {
        self.unparsed = unparsed;
    }

    /// Something may lie in the kernel that came before the last read.
    pub fn is_behind(&self) -> bool {
        !self.drained
    }

    /// The time of the last read.
    pub fn last_read(&self) -> Time {
        self.last_read
    }

    /// The earliest time at which the message that is cut off next can have come whole.
    pub fn arrived(&self) -> Time {
        self.arrived
    }
}
