//! Reads one client's messages in order, a bounded number of them ahead of the one that is being answered.

use crate::client::context::ClientContext;
use crate::os::clock::Clock;
use crate::os::socket::{self, SocketError};
use crate::postgres::cancel::CancelKey;
use crate::postgres::read_buffer::{self, ReadBuffer};
use crate::postgres::{self, Framer, Message, Opening};
use crate::resources::budget::MemoryReservation;
use crate::resources::counters::Counters;
use crate::Time;
use bytes::Bytes;
use petrelgauge_lifecycle::client::{ClientState, Event, MessageKind};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::read_ahead::ReadAhead;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::tcp::ReadHalf;

/// Span in which a query that is open may still be answered when bytes behind it made no sense (microseconds).
const GRACE: Time = 1_000_000;

/// Messages of a client in order, each with the time at which it came: a client counts its wait from its sending, also
/// when other queries are answered first. What is held is bounded by [`ReadAhead`] and by the memory of all connections;
/// at either bound reading pauses, and only the client's leaving is still noticed.
pub(super) struct ClientReader<'a> {
    reader: ReadHalf<'a>,
    clock: Clock,
    read_buffer: Rc<ReadBuffer>,
    counters: Rc<Counters>,
    memory: MemoryReservation,
    pub(super) framer: Framer,
    /// Bounded by [`petrelgauge_lifecycle::read_ahead::MAX_QUEUED`].
    queue: VecDeque<(Message, Time)>,
    ahead: ReadAhead,
    /// The client has said who it is: what follows are messages.
    opened: bool,
    /// What made no sense, and until when what came before it may still be answered.
    pub(super) error: Option<(ProtocolError, Time)>,
}

/// Why a client is cut off.
#[derive(Clone, Copy)]
pub(super) struct ProtocolError {
    pub(super) end: End,
    pub(super) code: &'static str,
    pub(super) text: &'static str,
}

impl From<postgres::Malformed> for ProtocolError {
    fn from(malformed: postgres::Malformed) -> ProtocolError {
        ProtocolError { end: End::ClientMalformed, code: "08P01", text: malformed.0 }
    }
}

pub(super) const UNKNOWN: ProtocolError =
    ProtocolError { end: End::ClientMalformed, code: "08P01", text: "invalid frontend message type" };
pub(super) const UNFINISHED: ProtocolError =
    ProtocolError { end: End::ClientSilent, code: "08P01", text: "message not whole in time" };

impl<'a> ClientReader<'a> {
    pub(super) fn new(reader: ReadHalf<'a>, context: &ClientContext) -> ClientReader<'a> {
        ClientReader {
            reader,
            clock: context.clock,
            read_buffer: context.read_buffer.clone(),
            counters: context.counters.clone(),
            memory: context.budget.reserve_client_memory(),
            framer: Framer::default(),
            queue: VecDeque::new(),
            ahead: ReadAhead::new(),
            opened: false,
            error: None,
        }
    }

    /// Bytes that may be read now.
    fn allowance(&self) -> usize {
        match self.error {
            // Nothing is kept behind an error: it is read only to notice the client leave.
            Some(_) => read_buffer::SIZE,
            None => self.ahead.allowance().min(self.memory.available()),
        }
    }

    /// The kernel may hold bytes that could be read now.
    pub(super) fn may_read(&self) -> bool {
        self.allowance() > 0
    }

    /// Bytes that came before the last read may still lie in the kernel.
    pub(super) fn is_behind(&self) -> bool {
        self.ahead.is_behind()
    }

    /// When the last part of a message that has begun came, if there is one. Now, while nothing can be read for want of
    /// memory: then it is not the client that does not go on.
    pub(super) fn partial_at(&self) -> Option<Time> {
        let at = if self.may_read() { self.ahead.last_read() } else { self.clock.now() };
        (!self.framer.is_empty()).then_some(at)
    }

    /// Waits until something may be read: gives how much, or the client's leaving. At the connection's own bound it
    /// waits for that alone: whoever takes a message up reads anew.
    async fn wait_for_allowance(&mut self) -> Result<usize, End> {
        loop {
            // Made before the look, so that nothing that is freed in between is missed.
            let freed = self.memory.released();
            let allowance = self.allowance();
            if allowance > 0 {
                return Ok(allowance);
            }
            if self.ahead.is_starved() && self.memory.acquire_reserve() {
                continue;
            }
            if !self.ahead.is_paused() {
                self.ahead.pause();
                self.counters.read_pauses.add();
            }
            let waits_for_memory = self.ahead.allowance() > 0;
            tokio::select! {
                biased;
                () = closed(&self.reader) => return Err(End::ClientLeft),
                () = freed, if waits_for_memory => {}
            }
        }
    }

    /// Reads once, when it may. May be cancelled without loss.
    async fn read(&mut self) -> Result<(), End> {
        let allowance = self.wait_for_allowance().await?;
        self.read_up_to(allowance).await
    }

    /// Waits until bytes can be read, or the connection has ended: gives how many may be. May be cancelled without loss.
    async fn wait_readable(&mut self) -> Result<usize, End> {
        let allowance = self.wait_for_allowance().await?;
        self.reader.readable().await.map_err(|_| End::ClientLeft)?;
        Ok(allowance)
    }

    /// Reads once, so many bytes at most. May be cancelled without loss.
    async fn read_up_to(&mut self, allowance: usize) -> Result<(), End> {
        let mut framer = self.error.is_none().then_some(&mut self.framer);
        let reader = &self.reader;
        let (read, asked) = loop {
            reader.readable().await.map_err(|_| End::ClientLeft)?;
            let mut asked = 0;
            let once = |bytes: &mut [u8]| {
                asked = allowance.min(bytes.len());
                reader.try_read(&mut bytes[..asked])
            };
            match self.read_buffer.read(once, framer.as_deref_mut()) {
                Ok(Some(read @ 1..)) => break (read, asked),
                Ok(None) => {}
                Err(SocketError::OwnShortage(_)) => socket::pause_after_shortage().await,
                Ok(Some(0)) | Err(_) => return Err(End::ClientLeft),
            }
        };
        if self.error.is_none() {
            self.ahead.on_read(self.clock.now(), read, asked);
            self.memory.resize(self.ahead.buffered_bytes());
        }
        // A client that sends without a pause must not keep the others from being served.
        tokio::task::yield_now().await;
        Ok(())
    }

    /// The connection is to end for this reason; nothing that follows is kept.
    pub(super) fn fail(&mut self, error: ProtocolError) {
        self.error = self.error.or(Some((error, self.clock.now() + GRACE)));
        self.framer.clear();
        self.ahead.set_unparsed_bytes(0);
    }

    async fn opening(&mut self) -> Result<Result<Opening, ProtocolError>, End> {
        loop {
            let opening = self.framer.opening();
            self.ahead.set_unparsed_bytes(self.framer.len());
            match (opening, self.error) {
                (Err(malformed), _) => return Ok(Err(malformed.into())),
                (_, Some((error, _))) => return Ok(Err(error)),
                (Ok(Some(opening)), _) => return Ok(Ok(opening)),
                (Ok(None), _) => self.read().await?,
            }
        }
    }

    /// The connection is to end so, since what came on it made no sense.
    pub(super) fn is_failed_with(&self, end: End) -> bool {
        self.error.is_some_and(|(error, _)| error.end == end)
    }

    /// Malformed bytes came behind the open query, and the time for its answer is over.
    pub(super) fn is_grace_over(&self) -> bool {
        self.error.is_some_and(|(_, by)| self.clock.now() >= by)
    }

    /// Reads and forgets until the client leaves.
    pub(super) async fn discard(&mut self) {
        while self.read().await.is_ok() {
            self.framer.clear();
        }
    }

    /// Waits until the client has closed its side, without reading.
    pub(super) async fn closed(&self) {
        closed(&self.reader).await;
    }

    /// Cuts what was read into messages, as many as may be queued.
    fn cut(&mut self) {
        while self.error.is_none() && self.ahead.may_queue() {
            match self.framer.message() {
                Ok(Some(message)) => {
                    self.ahead.on_queued(weight(&message), self.framer.len());
                    self.queue.push_back((message, self.ahead.arrived()));
                }
                Ok(None) => break,
                Err(malformed) => self.fail(malformed.into()),
            }
        }
        self.memory.resize(self.ahead.buffered_bytes());
    }

    /// Something that can be taken up lies here: a whole message, or a reason to cut the client off. What was read in a
    /// wait that was cancelled is here and nowhere else.
    pub(super) fn holds(&mut self, state: ClientState) -> bool {
        if state == ClientState::Opening {
            return self.error.is_some() || self.framer.has_opening();
        }
        self.cut();
        self.error.is_some() || !self.queue.is_empty()
    }

    /// The next message. May be cancelled without loss.
    async fn next(&mut self) -> Result<Result<(Message, Time), ProtocolError>, End> {
        self.ahead.on_done();
        self.memory.release_reserve();
        loop {
            self.cut();
            // What came whole before an error is answered first.
            if let Some((message, at)) = self.queue.pop_front() {
                self.ahead.on_taken(weight(&message));
                return Ok(Ok((message, at)));
            }
            if let Some((error, _)) = self.error {
                return Ok(Err(error));
            }
            self.read().await?;
        }
    }

    /// What the client sent next. May be cancelled without loss.
    pub(super) async fn hear(&mut self, state: ClientState) -> ClientEvent {
        let heard = if state == ClientState::Opening {
            self.opening().await.map(|opened| {
                opened.map(|opening| match opening {
                    Opening::Encryption => Event::EncryptionRequested.into(),
                    Opening::Cancel(key) => {
                        ClientEvent { cancel: Some(key), ..Event::CancelRequested.into() }
                    }
                    Opening::Startup { minor } => {
                        self.opened = true;
                        ClientEvent { minor, ..Event::StartupReceived.into() }
                    }
                })
            })
        } else {
            self.next().await.map(|next| {
                let (message, at) = next?;
                let kind = MessageKind::of(message.kind());
                let query = if kind == MessageKind::Query { Some((message.text()?, at)) } else { None };
                Ok(ClientEvent { query, ..Event::Message(kind).into() })
            })
        };
        match heard {
            Ok(Ok(heard)) => heard,
            Ok(Err(error)) => ClientEvent { error: Some(error), ..Event::ProtocolError(error.end).into() },
            Err(end) => Event::Disconnected(end).into(),
        }
    }

    /// Reads ahead while an answer is being written, and never ends. A query that comes meanwhile would else be taken for
    /// one that has just come when the answer is written, and its host be given more time than its client has.
    pub(super) async fn read_ahead(&mut self) {
        if self.opened {
            self.left().await;
        }
        std::future::pending().await
    }

    /// Reads ahead until the client leaves, or what it sent must be answered with its end. A goodbye is its leaving,
    /// whatever it asked before: who says it closes at once. May be cancelled without loss.
    pub(super) async fn left(&mut self) -> End {
        loop {
            self.cut();
            if self.queue.iter().any(|(message, _)| MessageKind::of(message.kind()) == MessageKind::Terminate)
            {
                return End::ClientTerminated;
            }
            let error = self.error;
            let ready = tokio::select! {
                biased;
                () = due(self.clock, error) => return error.map_or(End::ClientLeft, |(error, _)| error.end),
                ready = self.wait_readable() => ready,
            };
            let allowance = match ready {
                Ok(allowance) => allowance,
                Err(end) => return end,
            };
            // Before the bytes that lie in context of the end: reading them takes turns, in which a query could go out.
            if is_closed(&self.reader).await {
                return End::ClientLeft;
            }
            if let Err(end) = self.read_up_to(allowance).await {
                return end;
            }
        }
    }
}

/// Something that happened, with what it brought.
pub(super) struct ClientEvent {
    pub(super) event: Event,
    /// A query's text, and when it came.
    pub(super) query: Option<(Bytes, Time)>,
    /// The protocol's minor version that was asked for.
    pub(super) minor: u16,
    pub(super) error: Option<ProtocolError>,
    /// The key of a cancel request.
    pub(super) cancel: Option<CancelKey>,
}

impl From<Event> for ClientEvent {
    fn from(event: Event) -> ClientEvent {
        ClientEvent { event, query: None, minor: 0, error: None, cancel: None }
    }
}

/// Waits until an error must be answered, if there is one.
async fn due(clock: Clock, error: Option<(ProtocolError, Time)>) {
    match error {
        Some((_, by)) => clock.sleep_until(by).await,
        None => std::future::pending().await,
    }
}

/// Waits until the client has closed its side or the connection broke, without reading. Of the readiness that it asks
/// for the reactor tells closing alone: urgent data is not registered for.
async fn closed(reader: &ReadHalf<'_>) {
    loop {
        match reader.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => tokio::task::yield_now().await,
            _ => return,
        }
    }
}

/// Whether the client has closed its side or the connection broke, as far as the reactor knows.
async fn is_closed(reader: &ReadHalf<'_>) -> bool {
    tokio::select! {
        biased;
        () = closed(reader) => true,
        () = std::future::ready(()) => false,
    }
}

/// What a message that waits costs: a flood of the smallest ones must not cost more than it seems.
fn weight(message: &Message) -> usize {
    message.raw.len() + std::mem::size_of::<(Message, Time)>()
}
