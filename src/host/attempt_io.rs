//! Input and output of one attempt: connects to the database host, reads its greeting, writes the query and
//! reads the answer.

use crate::facade::Attempt;
use crate::host::connection::HostConnection;
use crate::host::pool::HostPool;
use crate::os::socket::{self, SocketError};
use crate::postgres::message_type;
use crate::postgres::read_buffer;
use crate::postgres::{Answer, AnswerAssembler, Message, Reply};
use crate::resources::budget::MemoryReservation;
use crate::sql::statement::Statement;
use crate::MemberId;
use bytes::Buf;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::{AttemptState, Event, Exchange};
use petrelgauge_lifecycle::idle_connection::{is_distinguishable, is_duplicate};
use petrelgauge_lifecycle::verdict;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;

/// Body of AuthenticationOk.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// The parameter by which a host reports its log position.
const LOG_POSITION: &str = "log_position";

/// The result of a step of input or output.
pub(super) enum Progress {
    /// An event for the attempt's state machine.
    Event(Event),
    /// The connection is writable and the query can be started.
    ReadyToWrite,
}

/// The connection of an attempt, and what has been written and read on it.
pub(super) struct AttemptIo {
    pub(super) connection: Option<HostConnection>,
    /// The rest of a partially written query.
    unwritten: Option<Box<dyn Buf>>,
    /// Whether the first write failed for lack of local resources and is to be retried after a pause.
    is_write_delayed: bool,
    pub(super) assembler: AnswerAssembler,
    /// Bytes of the answer that were taken from the framer.
    answer_bytes: usize,
    answer_hash: DefaultHasher,
    pub(super) reply: Option<Reply>,
    pub(super) memory: MemoryReservation,
}

impl AttemptIo {
    /// For an attempt on this idle connection, or on a new one if there is none.
    pub(super) fn new(connection: Option<HostConnection>, memory: MemoryReservation) -> AttemptIo {
        AttemptIo {
            connection,
            unwritten: None,
            is_write_delayed: false,
            assembler: AnswerAssembler::default(),
            answer_bytes: 0,
            answer_hash: DefaultHasher::new(),
            reply: None,
            memory,
        }
    }

    /// Handles the buffered messages of the greeting. None if the greeting is incomplete.
    fn take_greeting(&mut self) -> Option<Event> {
        let Some(connection) = &mut self.connection else { return Some(Event::ConnectionLost) };
        loop {
            let message = match connection.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => return None,
                Err(_) => return Some(Event::Malformed),
            };
            match message.kind() {
                message_type::AUTHENTICATION if message.body() == AUTHENTICATION_OK => {}
                message_type::PARAMETER_STATUS
                | message_type::BACKEND_KEY_DATA
                | message_type::NOTICE_RESPONSE
                | message_type::NEGOTIATE_PROTOCOL_VERSION => {}
                message_type::READY_FOR_QUERY => return Some(Event::HostReady),
                message_type::ERROR_RESPONSE => return Some(self.on_rejection(message)),
                _ => return Some(Event::Malformed),
            }
        }
    }

    /// Handles the error with which the host rejected the connection.
    fn on_rejection(&mut self, message: Message) -> Event {
        let mut assembler = AnswerAssembler::default();
        if assembler.push(message).is_err() {
            return Event::Malformed;
        }
        self.reply = assembler.finish();
        let end = self.reply.as_ref().map(end_of_reply);
        end.map_or(Event::ConnectionLost, Event::Rejected)
    }

    /// Handles the buffered messages of the answer. None if the answer is incomplete.
    fn take_answer(&mut self) -> Option<Event> {
        let Some(connection) = &mut self.connection else { return Some(Event::ConnectionLost) };
        loop {
            let message = match connection.next_message() {
                Ok(Some(message)) => message,
                Ok(None) => return None,
                Err(Event::LongRowBegan) if !self.assembler.awaits_row() => return Some(Event::Malformed),
                Err(event) => return Some(event),
            };
            self.answer_bytes += message.raw.len();
            self.answer_hash.write(&message.raw);
            match self.assembler.push(message) {
                Err(_) => return Some(Event::Malformed),
                Ok(None) => {}
                Ok(Some(reply)) => return Some(self.complete_answer(reply)),
            }
        }
    }

    /// Handles a complete answer. A duplicate of the connection's last answer is recognized by its hash.
    fn complete_answer(&mut self, reply: Reply) -> Event {
        let Some(connection) = &mut self.connection else { return Event::ConnectionLost };
        let is_row = matches!(reply.answer, Answer::Row(_));
        let reports_position = reply.parameters.iter().any(|parameter| parameter.name == LOG_POSITION);
        let hash = is_distinguishable(is_row, reports_position).then(|| self.answer_hash.finish());
        let last_hash = std::mem::replace(&mut connection.last_answer_hash, hash);
        let is_duplicate = is_duplicate(connection.is_last_answer_recent, last_hash, hash);
        let end = end_of_reply(&reply);
        self.reply = Some(reply);
        Event::Answered { end, is_duplicate }
    }

    /// Handles the loss of the connection while an answer was awaited. An error message that was received
    /// before is the answer.
    fn on_connection_lost(&mut self) -> Event {
        self.reply = self.assembler.finish();
        let end = self.reply.as_ref().map(end_of_reply);
        end.map_or(Event::ConnectionLost, |end| Event::Answered { end, is_duplicate: false })
    }

    /// Accounts for the buffered bytes. Returns whether they are within the memory limit.
    fn reserve_memory(&mut self) -> bool {
        let unparsed = self.connection.as_ref().map_or(0, |connection| connection.framer.held_bytes());
        self.memory.resize(self.answer_bytes + unparsed)
    }
}

impl HostPool {
    /// Connects, reads or writes, depending on the state of the attempt, until there is an event.
    ///
    /// Cancel safe: what was connected, written and read is kept in `io`, and the next call continues from
    /// there. Only a connect in progress is restarted.
    pub(super) async fn advance(&self, state: AttemptState, host: MemberId, io: &mut AttemptIo) -> Progress {
        if io.connection.is_none() {
            return Progress::Event(self.open_connection(host, io).await);
        }
        match state {
            AttemptState::Connecting { .. } | AttemptState::Greeting { .. } => {
                Progress::Event(self.read_greeting(io).await)
            }
            AttemptState::Writing => self.write_query(io).await,
            AttemptState::Waiting | AttemptState::Answering { .. } => {
                Progress::Event(self.read_answer(state, io).await)
            }
            AttemptState::Ended(_) => std::future::pending().await,
        }
    }

    async fn open_connection(&self, host: MemberId, io: &mut AttemptIo) -> Event {
        match self.connect(host).await {
            Ok(connection) => {
                io.connection = Some(connection);
                Event::Connected
            }
            Err(event) => event,
        }
    }

    /// Waits until the query can be started, or writes the rest of a partially written query.
    async fn write_query(&self, io: &mut AttemptIo) -> Progress {
        let Some(connection) = &io.connection else { return Progress::Event(Event::ConnectionLost) };
        if let Some(rest) = &mut io.unwritten {
            return Progress::Event(match socket::write_all(&connection.stream, rest).await {
                Ok(()) => self.on_query_written(),
                Err(_) => Event::ConnectionLost,
            });
        }
        if io.is_write_delayed {
            socket::pause_after_shortage().await;
            io.is_write_delayed = false;
        }
        match socket::writable(&connection.stream).await {
            Ok(()) => Progress::ReadyToWrite,
            Err(_) => Progress::Event(Event::ConnectionLost),
        }
    }

    /// Writes the first bytes of the query if the attempt is still wanted: it may have been cancelled, or its
    /// host have moved or been removed, while the connection was being established or was not writable. Does
    /// not wait, so that the remaining wait that the query states is exact.
    ///
    /// Returns none if writing has to continue: either the query was written in part, or the connection
    /// accepted no byte and this function is to be called again.
    pub(super) fn begin_query(
        &self,
        exchange: &Exchange,
        attempt: &mut Attempt,
        statement: &Statement,
        io: &mut AttemptIo,
    ) -> Option<Event> {
        let Some(connection) = &io.connection else { return Some(Event::ConnectionLost) };
        let host_accepts_requests = self.accepts_requests(attempt.host(), connection.endpoint);
        let now = self.clock.now();
        if !host_accepts_requests || !attempt.is_wanted(now) {
            return Some(Event::Unwanted);
        }
        let Some(wait_ms) = exchange.remaining_wait_ms(now) else { return Some(Event::Unwanted) };
        let mut query = statement.query(wait_ms);
        match socket::write_now(&connection.stream, &mut query) {
            Ok(()) if !query.has_remaining() => Some(self.on_query_written()),
            Ok(()) => {
                io.unwritten = Some(Box::new(query));
                None
            }
            Err(SocketError::WouldBlock) => None,
            Err(SocketError::ResourceShortage(_)) => {
                io.is_write_delayed = true;
                None
            }
            Err(_) => Some(Event::ConnectionLost),
        }
    }

    fn on_query_written(&self) -> Event {
        self.counters.sent.add();
        Event::Written
    }

    /// Reads the host's greeting up to ReadyForQuery.
    async fn read_greeting(&self, io: &mut AttemptIo) -> Event {
        loop {
            if let Some(event) = io.take_greeting() {
                return event;
            }
            if self.read_more(io).await.is_err() {
                return Event::ConnectionLost;
            }
            if !io.reserve_memory() {
                return Event::NoMemory;
            }
        }
    }

    /// Reads the host's answer to the query.
    async fn read_answer(&self, state: AttemptState, io: &mut AttemptIo) -> Event {
        let mut has_begun = false;
        loop {
            if let Some(event) = io.take_answer() {
                return event;
            }
            // Most answers arrive in one read. Only for the others the beginning is a separate event.
            if has_begun {
                return Event::AnswerBegan;
            }
            if self.read_more(io).await.is_err() {
                return io.on_connection_lost();
            }
            if !io.reserve_memory() {
                return Event::NoMemory;
            }
            has_begun = state == AttemptState::Waiting;
        }
    }

    async fn read_more(&self, io: &mut AttemptIo) -> Result<(), Event> {
        let connection = io.connection.as_mut().ok_or(Event::ConnectionLost)?;
        connection.read(&self.read_buffer, read_buffer::SIZE).await
    }
}

/// The end of an attempt that received this reply.
fn end_of_reply(reply: &Reply) -> End {
    match &reply.answer {
        Answer::Row(_) => End::Served,
        Answer::Error(code) => verdict::end_for_code(code),
    }
}
