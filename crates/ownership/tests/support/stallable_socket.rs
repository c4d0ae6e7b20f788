//! The socket of a simulated gateway.

use crate::simulated_network::Envelope;
use petrelgauge_policy::Time;

/// The socket of a gateway that may stall. Messages that arrive during a stall wait in a bounded buffer.
pub struct StallableSocket<M> {
    pub stalled_until: Time,
    buffer: Vec<Envelope<M>>,
    capacity: usize,
}

impl<M> StallableSocket<M> {
    pub fn new(capacity: usize) -> StallableSocket<M> {
        StallableSocket { stalled_until: 0, buffer: Vec::new(), capacity }
    }

    pub fn is_stalled(&self, now: Time) -> bool {
        self.stalled_until > now
    }

    /// Returns the message unless the gateway is stalled. Otherwise buffers it, or drops it if the buffer is
    /// full.
    pub fn receive(&mut self, now: Time, envelope: Envelope<M>) -> Option<Envelope<M>> {
        if !self.is_stalled(now) {
            return Some(envelope);
        }
        if self.buffer.len() < self.capacity {
            self.buffer.push(envelope);
        }
        None
    }

    /// Removes and returns the messages that arrived during the stall, in order.
    pub fn take_buffered(&mut self) -> Vec<Envelope<M>> {
        std::mem::take(&mut self.buffer)
    }
}
