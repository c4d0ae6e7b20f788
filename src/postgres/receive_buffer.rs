//! The bytes that a connection has received and not yet taken.
//!
//! What is taken out is copied into an allocation of its own size, so that a short message never keeps the
//! buffer it was received in, and the buffer shrinks with what is left in it. [`ReceiveBuffer::held_bytes`]
//! is therefore what the connection really holds.

use bytes::Bytes;

/// Unused bytes that are tolerated before a buffer is replaced by a smaller one, beside as many as are used.
const SPARE_BYTES: usize = 1024;

/// Received bytes. The caller bounds how many it appends.
#[derive(Debug, Default)]
pub(super) struct ReceiveBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the start of `bytes` that were taken.
    taken: usize,
}

impl ReceiveBuffer {
    /// The bytes that were not taken.
    pub(super) fn as_slice(&self) -> &[u8] {
        &self.bytes[self.taken..]
    }

    /// Size of the allocation (bytes).
    pub(super) fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Appends received bytes. If the buffer has to grow, it doubles, but not beyond `expected` bytes unless
    /// it holds more.
    pub(super) fn append(&mut self, received: &[u8], expected: Option<usize>) {
        if self.bytes.len() + received.len() > self.bytes.capacity() {
            let length = self.as_slice().len() + received.len();
            let doubled = 2 * length;
            self.reallocate(length.max(doubled.min(expected.unwrap_or(length))));
        }
        self.bytes.extend_from_slice(received);
    }

    /// Takes the first `count` bytes, which must have been received.
    pub(super) fn take(&mut self, count: usize) -> Bytes {
        if self.taken == 0 && count == self.bytes.len() {
            return std::mem::take(&mut self.bytes).into_boxed_slice().into();
        }
        let taken = Bytes::copy_from_slice(&self.as_slice()[..count]);
        self.taken += count;
        self.release_spare();
        taken
    }

    /// Replaces the buffer by a smaller one if less than half of it is used. The bytes that are copied are
    /// fewer than those that were taken since the last time.
    fn release_spare(&mut self) {
        let used = self.as_slice().len();
        if used == 0 {
            *self = ReceiveBuffer::default();
        } else if self.bytes.capacity() > 2 * used + SPARE_BYTES {
            self.reallocate(used);
        }
    }

    fn reallocate(&mut self, capacity: usize) {
        let mut bytes = Vec::with_capacity(capacity);
        bytes.extend_from_slice(self.as_slice());
        *self = ReceiveBuffer { bytes, taken: 0 };
    }
}
