//! The messages that one client has sent and that are not handled yet, with the memory that they hold.

use crate::client::settings_tracker::SettingsTracker;
use crate::facade::SettingsHold;
use crate::postgres::{Framer, Malformed, Message, Opening};
use crate::resources::budget::MemoryReservation;
use crate::Time;
use petrelgauge_lifecycle::client::MessageKind;
use petrelgauge_lifecycle::read_ahead::ReadAhead;
use std::collections::VecDeque;

/// Bytes that a message needs beside its own: the header and the rounding of its allocation, and the counter
/// of its references.
const ALLOCATION_OVERHEAD_BYTES: usize = 64;

/// A message that was read ahead.
pub(super) struct QueuedMessage {
    pub(super) message: Message,
    pub(super) arrived_at: Time,
    /// The settings under which it was received.
    pub(super) settings: SettingsHold,
}

/// Received bytes and messages. They are bounded by [`ReadAhead`] and by the memory of all connections.
pub(super) struct MessageQueue {
    pub(super) framer: Framer,
    pub(super) read_ahead: ReadAhead,
    pub(super) memory: MemoryReservation,
    /// Bounded by [`petrelgauge_lifecycle::read_ahead::MAX_QUEUED`].
    messages: VecDeque<QueuedMessage>,
}

impl MessageQueue {
    /// An empty queue, which accounts for its memory with this reservation.
    pub(super) fn new(memory: MemoryReservation) -> MessageQueue {
        MessageQueue {
            framer: Framer::default(),
            read_ahead: ReadAhead::new(),
            memory,
            messages: VecDeque::new(),
        }
    }

    /// Takes the opening message, if it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid opening message.
    pub(super) fn opening(&mut self) -> Result<Option<Opening>, Malformed> {
        let opening = self.framer.opening();
        self.read_ahead.set_unparsed_bytes(self.framer.len());
        self.account_memory();
        opening
    }

    /// Parses received bytes into messages, as many as may be queued.
    ///
    /// # Errors
    ///
    /// Fails if the bytes behind the queued messages are not a valid message.
    pub(super) fn parse(&mut self, settings: &mut SettingsTracker) -> Result<(), Malformed> {
        while self.read_ahead.may_queue() {
            let Some(message) = self.framer.message()? else { break };
            self.push(message, settings);
        }
        self.account_memory();
        Ok(())
    }

    fn push(&mut self, message: Message, settings: &mut SettingsTracker) {
        let unparsed = self.framer.len();
        self.read_ahead.on_queued(accounted_bytes(&message), unparsed);
        let (arrived_at, settings) = (self.read_ahead.arrived_at(), settings.of_message(unparsed));
        self.messages.push_back(QueuedMessage { message, arrived_at, settings });
    }

    /// Takes the first message; the one before it has been handled.
    pub(super) fn pop(&mut self) -> Option<QueuedMessage> {
        let queued = self.messages.pop_front()?;
        self.read_ahead.on_dequeued(accounted_bytes(&queued.message));
        if self.messages.is_empty() {
            // An idle connection would keep the memory of its longest queue.
            self.messages = VecDeque::new();
        }
        Some(queued)
    }

    /// Records that the message that was taken last, if there is one, has been handled. The memory reserve is
    /// kept while the next message is incomplete.
    pub(super) fn on_handled(&mut self) {
        if self.read_ahead.is_handling() {
            self.read_ahead.on_handled();
            self.memory.release_reserve();
        }
    }

    /// Stops accounting for the message that was taken last, which its request accounts for from now on.
    pub(super) fn hand_over(&mut self) {
        self.read_ahead.on_handed_over();
        self.account_memory();
    }

    /// Records a read of `count` bytes into a buffer of `capacity` bytes.
    pub(super) fn on_read(&mut self, now: Time, count: usize, capacity: usize) {
        self.read_ahead.on_read(now, count, capacity);
        self.account_memory();
    }

    /// Drops the bytes that were not parsed.
    pub(super) fn discard_unparsed(&mut self) {
        self.framer.clear();
        self.read_ahead.set_unparsed_bytes(0);
        self.account_memory();
    }

    /// Whether no complete message is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether a Terminate message is queued.
    pub(super) fn has_terminate(&self) -> bool {
        let mut kinds = self.messages.iter().map(|queued| MessageKind::of(queued.message.kind()));
        kinds.any(|kind| kind == MessageKind::Terminate)
    }

    /// Number of bytes that may be read now.
    pub(super) fn allowance(&self) -> usize {
        self.read_ahead.allowance().min(self.memory.available())
    }

    /// Acquires the memory reserve if this connection cannot free memory by itself. Returns whether it holds
    /// the reserve now.
    pub(super) fn acquire_reserve(&self) -> bool {
        self.read_ahead.has_no_message() && self.memory.acquire_reserve()
    }

    /// Accounts for the memory of the queued messages, the current one and the receive buffer.
    fn account_memory(&mut self) {
        self.memory.resize(self.read_ahead.message_bytes() + self.framer.held_bytes());
    }
}

/// Bytes accounted for a queued message: its own, those of its allocation, and twice those of its queue entry,
/// since the queue grows by doubling. Many small messages use more memory than their bytes.
fn accounted_bytes(message: &Message) -> usize {
    message.raw.len() + ALLOCATION_OVERHEAD_BYTES + 2 * size_of::<QueuedMessage>()
}
