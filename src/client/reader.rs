//! Reads the messages of one client in order, with bounded read-ahead while a query is being answered.

use crate::client::client_event::{ClientEvent, Payload, ProtocolError, Query, ReadError};
use crate::client::context::ClientContext;
use crate::client::disconnect::{closed_by_client, is_closed_by_client};
use crate::client::message_queue::{MessageQueue, QueuedMessage};
use crate::client::settings_tracker::SettingsTracker;
use crate::os::clock::Clock;
use crate::os::socket::{self, SocketError};
use crate::postgres::read_buffer::{self, ReadBuffer};
use crate::postgres::Opening;
use crate::resources::counters::Counters;
use crate::Time;
use petrelgauge_lifecycle::client::{ClientState, Event, MessageKind};
use petrelgauge_lifecycle::ending::End;
use std::rc::Rc;
use tokio::net::tcp::ReadHalf;

/// Time within which an open query may still be answered after a protocol error that followed it
/// (microseconds).
const ANSWER_GRACE_PERIOD: Time = 1_000_000;

/// Reads from one client.
///
/// Each message keeps its arrival time, since a client measures its wait from when it sent a query, even
/// while its earlier queries are being answered, and the settings under which it was received, since these
/// apply to it whenever its turn comes. Buffered data is bounded by [`ReadAhead`] and by the memory
/// of all connections. At either bound reading pauses, and only the client's disconnect is still detected.
///
/// All methods that wait are cancel safe: what was read stays in the reader.
pub(super) struct ClientReader<'a> {
    stream: ReadHalf<'a>,
    clock: Clock,
    read_buffer: Rc<ReadBuffer>,
    counters: Rc<Counters>,
    messages: MessageQueue,
    settings: SettingsTracker,
    /// Whether the startup message was received.
    has_started: bool,
    failure: Option<Failure>,
}

/// A protocol error, and the time until which queries received before it may still be answered.
#[derive(Clone, Copy)]
struct Failure {
    error: ProtocolError,
    answer_deadline: Time,
}

impl<'a> ClientReader<'a> {
    pub(super) fn new(stream: ReadHalf<'a>, context: &ClientContext) -> ClientReader<'a> {
        ClientReader {
            stream,
            clock: context.clock,
            read_buffer: context.read_buffer.clone(),
            counters: context.counters.clone(),
            messages: MessageQueue::new(context.budget.reserve_client_memory()),
            settings: SettingsTracker::new(&context.facade),
            has_started: false,
            failure: None,
        }
    }

    /// Returns the next event on the connection.
    pub(super) async fn next_event(&mut self, state: ClientState) -> ClientEvent {
        let event = match state {
            ClientState::Opening => self.next_opening().await,
            _ => self.next_message().await,
        };
        event.unwrap_or_else(ClientEvent::from)
    }

    /// Reads ahead until the client disconnects, or until the time to answer the queries before a protocol
    /// error is over. Terminate counts as a disconnect even if queries are queued before it, since a client
    /// that sends it closes the connection at once.
    pub(super) async fn disconnected(&mut self) -> End {
        loop {
            self.parse_messages();
            if self.messages.has_terminate() {
                return End::ClientTerminated;
            }
            let failure = self.failure;
            let readable = tokio::select! {
                biased;
                () = answer_grace_period_over(self.clock, failure) => {
                    return failure.map_or(End::ClientLeft, |failure| failure.error.end);
                }
                readable = self.wait_readable() => readable,
            };
            let allowance = match readable {
                Ok(allowance) => allowance,
                Err(end) => return end,
            };
            // Checked before the bytes that precede the close are read: reading yields, and another task
            // could send the open query to a host in the meantime.
            if is_closed_by_client(&self.stream).await {
                return End::ClientLeft;
            }
            if let Err(end) = self.read_up_to(allowance).await {
                return end;
            }
        }
    }

    /// Reads ahead while an answer is being written; never returns. A query left in the kernel buffer until
    /// the answer is written would get a later arrival time, and its host would be given more time than the
    /// client waits.
    pub(super) async fn read_ahead(&mut self) {
        if self.has_started {
            self.disconnected().await;
        }
        std::future::pending().await
    }

    /// Reads and discards bytes until the client disconnects.
    pub(super) async fn discard_input(&mut self) {
        while self.read().await.is_ok() {
            self.messages.discard_unparsed();
        }
    }

    /// Waits until the client has closed its side, without reading.
    pub(super) async fn closed_by_client(&self) {
        closed_by_client(&self.stream).await;
    }

    /// Stops parsing after a protocol error. Messages before it stay queued; nothing after it is buffered.
    pub(super) fn fail(&mut self, error: ProtocolError) {
        let answer_deadline = self.clock.now() + ANSWER_GRACE_PERIOD;
        self.failure = self.failure.or(Some(Failure { error, answer_deadline }));
        self.messages.discard_unparsed();
    }

    /// Whether a protocol error that ends the connection with this `end` was recorded.
    pub(super) fn is_failed_with(&self, end: End) -> bool {
        self.failure.is_some_and(|failure| failure.error.end == end)
    }

    /// Whether a protocol error followed the open query, and the time to answer the query is over.
    pub(super) fn is_answer_grace_period_over(&self) -> bool {
        self.failure.is_some_and(|failure| self.clock.now() >= failure.answer_deadline)
    }

    /// Whether [`next_event`](Self::next_event) would return without reading, because there is a complete
    /// message or a protocol error.
    pub(super) fn has_event(&mut self, state: ClientState) -> bool {
        if state == ClientState::Opening {
            return self.failure.is_some() || self.messages.framer.has_opening();
        }
        self.parse_messages();
        self.failure.is_some() || !self.messages.is_empty()
    }

    /// Whether reading is currently within its bounds.
    pub(super) fn may_read(&self) -> bool {
        self.allowance() > 0
    }

    /// Whether the kernel buffer may still hold bytes that arrived before the last read.
    pub(super) fn may_have_unread(&self) -> bool {
        self.messages.read_ahead.may_have_unread()
    }

    /// Whether an incomplete message is buffered.
    pub(super) fn has_partial_message(&self) -> bool {
        !self.messages.framer.is_empty()
    }

    /// When the last bytes of an incomplete message were received, if there is one. Returns the current time
    /// while reading is paused for lack of memory, since the client does not cause that delay.
    pub(super) fn partial_at(&self) -> Option<Time> {
        let at = if self.may_read() { self.messages.read_ahead.last_read_at() } else { self.clock.now() };
        self.has_partial_message().then_some(at)
    }

    async fn next_opening(&mut self) -> Result<ClientEvent, ReadError> {
        Ok(match self.read_opening().await? {
            Opening::Encryption => Event::EncryptionRequested.into(),
            Opening::Cancel(key) => ClientEvent::new(Event::CancelRequested, Payload::Cancel(key)),
            Opening::Startup { minor } => {
                self.has_started = true;
                ClientEvent::new(Event::StartupReceived, Payload::Startup { minor_version: minor })
            }
        })
    }

    async fn read_opening(&mut self) -> Result<Opening, ReadError> {
        loop {
            let opening = self.messages.opening()?;
            if let Some(failure) = self.failure {
                return Err(ReadError::Protocol(failure.error));
            }
            match opening {
                Some(opening) => return Ok(opening),
                None => self.read().await?,
            }
        }
    }

    async fn next_message(&mut self) -> Result<ClientEvent, ReadError> {
        let Some(queued) = self.read_message().await? else { return Ok(Event::PartialReceived.into()) };
        let QueuedMessage { message, arrived_at, settings } = queued;
        let kind = MessageKind::of(message.kind());
        let payload = match kind {
            MessageKind::Query => Payload::Query(Query { text: message.text()?, arrived_at, settings }),
            _ => Payload::None,
        };
        Ok(ClientEvent::new(Event::Message(kind), payload))
    }

    /// Reads the next message. None if a part of it was received.
    async fn read_message(&mut self) -> Result<Option<QueuedMessage>, ReadError> {
        self.messages.on_handled();
        if let Some(queued) = self.take_message()? {
            return Ok(Some(queued));
        }
        self.read().await?;
        self.take_message()
    }

    /// Takes the next message that was received. Complete messages before a protocol error come first.
    fn take_message(&mut self) -> Result<Option<QueuedMessage>, ReadError> {
        self.parse_messages();
        match (self.messages.pop(), self.failure) {
            (Some(queued), _) => Ok(Some(queued)),
            (None, Some(failure)) => Err(ReadError::Protocol(failure.error)),
            (None, None) => Ok(None),
        }
    }

    /// Parses buffered bytes into messages, as many as may be queued.
    fn parse_messages(&mut self) {
        if self.failure.is_some() {
            return;
        }
        if let Err(malformed) = self.messages.parse(&mut self.settings) {
            self.fail(malformed.into());
        }
    }

    /// Stops accounting for the message that was read last, which its request accounts for from now on.
    pub(super) fn hand_over_message(&mut self) {
        self.messages.hand_over();
    }

    /// Number of bytes that may be read now.
    fn allowance(&self) -> usize {
        match self.failure {
            // Bytes after an error are discarded; they are read only to detect the client's disconnect.
            Some(_) => read_buffer::SIZE,
            None => self.messages.allowance(),
        }
    }

    /// Waits until bytes may be read and returns how many.
    ///
    /// At the connection's own bound only the client's disconnect ends the wait; taking a message from the
    /// queue cancels the wait and starts reading again.
    async fn wait_for_allowance(&mut self) -> Result<usize, End> {
        loop {
            // Created before the allowance is checked, so that no release in between is missed.
            let released = self.messages.memory.released();
            let allowance = self.allowance();
            if allowance > 0 {
                return Ok(allowance);
            }
            if self.messages.acquire_reserve() {
                continue;
            }
            if !self.messages.read_ahead.is_paused() {
                self.messages.read_ahead.pause();
                self.counters.read_pauses.add();
            }
            let waits_for_memory = self.messages.read_ahead.allowance() > 0;
            tokio::select! {
                biased;
                () = closed_by_client(&self.stream) => return Err(End::ClientLeft),
                () = self.settings.changed() => self.on_settings_changed(),
                () = released, if waits_for_memory => {}
            }
        }
    }

    /// Waits until bytes may be read and the socket is readable, or the connection has ended. Returns how
    /// many bytes may be read.
    async fn wait_readable(&mut self) -> Result<usize, End> {
        let allowance = self.wait_for_allowance().await?;
        self.readable().await?;
        Ok(allowance)
    }

    /// Waits until the socket is readable. When it returns, every change of the settings that came before the
    /// unread bytes is recorded, provided that they are read without waiting.
    async fn readable(&mut self) -> Result<(), End> {
        loop {
            tokio::select! {
                biased;
                () = self.settings.changed() => self.on_settings_changed(),
                readable = self.stream.readable() => return readable.map_err(|_| End::ClientLeft),
            }
        }
    }

    /// Records that what the client has sent so far was received under the settings before a change.
    fn on_settings_changed(&mut self) {
        let unread = socket::unread_count(self.stream.as_ref());
        self.settings.on_changed(self.messages.framer.len(), unread);
    }

    /// Reads once, as soon as it is allowed.
    async fn read(&mut self) -> Result<(), End> {
        let allowance = self.wait_for_allowance().await?;
        self.read_up_to(allowance).await
    }

    /// Reads once, at most `allowance` bytes.
    async fn read_up_to(&mut self, allowance: usize) -> Result<(), End> {
        loop {
            self.readable().await?;
            match self.try_read(allowance) {
                Ok(Some(1..)) => break,
                Ok(None) => {}
                Err(SocketError::ResourceShortage(_)) => socket::pause_after_shortage().await,
                Ok(Some(0)) | Err(_) => return Err(End::ClientLeft),
            }
        }
        // Yields so that a client that sends continuously does not starve the others.
        tokio::task::yield_now().await;
        Ok(())
    }

    /// Reads what is available, at most `allowance` bytes. Returns how many bytes were read: 0 at the end of
    /// the stream, none if nothing is available.
    fn try_read(&mut self, allowance: usize) -> Result<Option<usize>, SocketError> {
        let framer = self.failure.is_none().then_some(&mut self.messages.framer);
        let mut capacity = 0;
        let read_once = |bytes: &mut [u8]| {
            capacity = allowance.min(bytes.len());
            self.stream.try_read(&mut bytes[..capacity])
        };
        let read = self.read_buffer.read(read_once, framer)?;
        if let (Some(count @ 1..), None) = (read, self.failure) {
            self.messages.on_read(self.clock.now(), count, capacity);
            self.settings.on_read(count);
        }
        Ok(read)
    }
}

/// Waits until the time to answer the queries before a protocol error is over; forever without an error.
async fn answer_grace_period_over(clock: Clock, failure: Option<Failure>) {
    match failure {
        Some(failure) => clock.sleep_until(failure.answer_deadline).await,
        None => std::future::pending().await,
    }
}
