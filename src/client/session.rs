//! Serves the connection of one client: reads PostgreSQL simple queries and writes one final answer to each.

use crate::client::cancel_registry::RegisteredKey;
use crate::client::client_event::{ClientEvent, Payload, ProtocolError, Query};
use crate::client::context::ClientContext;
use crate::client::reader::ClientReader;
use crate::os::socket::{self, Unread};
use crate::postgres::{self, Severity};
use crate::resources::budget::Idleness;
use crate::Time;
use bytes::Buf;
use petrelgauge_lifecycle::client::{Action, ClientConnection, ClientState, CutOffReason, Event, IdleSince};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::gateway::ServingState;
use petrelgauge_sessions::SessionTokens;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};

/// Time after a request's deadline within which its client must read the answer (microseconds).
const ANSWER_WRITE_TIMEOUT: Time = 2_000_000;
/// Time after closing the write half within which the client may read the rest and close its side
/// (microseconds).
const LINGERING_CLOSE_TIMEOUT: Time = 1_000_000;
/// Time after its accept during which a client that has sent no query is not closed for a drain or stop
/// (microseconds). Its first query may be in transit.
const FIRST_QUERY_GRACE_PERIOD: Time = 500_000;
/// Time after the last use of the connection during which a client that has sent part of a message is not
/// closed for a drain or stop (microseconds).
const PARTIAL_MESSAGE_GRACE_PERIOD: Time = 2_000_000;
/// Interval at which an incomplete message is checked during [`PARTIAL_MESSAGE_GRACE_PERIOD`] (microseconds).
const PARTIAL_MESSAGE_POLL_INTERVAL: Time = 20_000;

/// The answer to a request for encryption (SSLRequest or GSSENCRequest).
const ENCRYPTION_DECLINED: u8 = b'N';

/// The connection of one client, owned by the task that serves it.
pub(super) struct ClientSession<'a> {
    pub(super) context: Rc<ClientContext>,
    pub(super) reader: ClientReader<'a>,
    pub(super) writer: WriteHalf<'a>,
    pub(super) serving_state: watch::Receiver<ServingState>,
    pub(super) cancel_key: RegisteredKey,
    /// Session tokens that the client has set for its connection.
    pub(super) session_tokens: SessionTokens,
    /// Notified when the connection is to be closed to free its descriptor.
    shed: Rc<Notify>,
    /// Clock time before which the connection is not closed for a drain or stop.
    no_close_before: Time,
}

impl<'a> ClientSession<'a> {
    /// Creates the session of the client with this connection number.
    pub(super) fn new(
        context: Rc<ClientContext>,
        stream: &'a mut TcpStream,
        number: u32,
    ) -> ClientSession<'a> {
        let (reader, writer) = stream.split();
        ClientSession {
            reader: ClientReader::new(reader, &context),
            writer,
            serving_state: context.serving_state.clone(),
            cancel_key: context.cancel_registry.register(number),
            session_tokens: SessionTokens::default(),
            shed: Rc::new(Notify::new()),
            no_close_before: 0,
            context,
        }
    }

    /// Drives the connection's state machine until the connection ends, and returns how it ended.
    pub(super) async fn run_until_closed(&mut self) -> End {
        let clock = self.context.clock;
        let mut connection = ClientConnection::new(clock.now());
        loop {
            let ClientEvent { event, payload } = self.next_event(&connection).await;
            if let Payload::Cancel(key) = &payload {
                self.context.cancel_registry.cancel(*key);
            }
            let mut action = connection.on(clock.now(), event);
            if let (Action::AnswerQuery, Payload::Query(query)) = (action, &payload) {
                let answered = self.answer_query(query).await;
                action = connection.on(clock.now(), answered);
            }
            match self.perform(action, &payload).await {
                Ok(None) => {}
                Ok(Some(end)) | Err(end) => return end,
            }
            if matches!(event, Event::Message(_)) {
                // A client whose messages need no host must not keep the others waiting: thousands of them fit
                // into one read.
                tokio::task::yield_now().await;
            }
        }
    }

    async fn answer_query(&mut self, query: &Query) -> Event {
        match self.answer(query).await {
            Ok(outcome) => Event::Answered(outcome),
            Err(end) => Event::Disconnected(end),
        }
    }

    /// Performs an action of the state machine. Returns how the connection ended, if it has ended.
    async fn perform(&mut self, action: Action, payload: &Payload) -> Result<Option<End>, End> {
        let mut out = Vec::new();
        match (action, payload) {
            (Action::Wait | Action::AnswerQuery | Action::Pause { .. }, _) => return Ok(None),
            (Action::Close(end), _) => {
                if matches!(end, End::Stopped | End::ClientIdle) {
                    self.close_lingering().await;
                }
                return Ok(Some(end));
            }
            (Action::CutOff(reason), payload) => {
                return self.cut_off(protocol_error(reason, payload)).await.map(Some);
            }
            (Action::DeclineEncryption, _) => out.push(ENCRYPTION_DECLINED),
            (Action::AcceptStartup, payload) => {
                postgres::put_startup_answer(&mut out, minor_version(payload), self.cancel_key.key);
            }
            (Action::SendReady, _) => postgres::put_ready(&mut out),
            (Action::RejectUnsupported { then_ready }, _) => {
                put_unsupported(&mut out);
                if then_ready {
                    postgres::put_ready(&mut out);
                }
            }
        }
        self.write(&out[..], self.context.clock.now()).await?;
        Ok(None)
    }

    /// Returns the next event. Bytes from the client take precedence over every reason to close.
    async fn next_event(&mut self, connection: &ClientConnection) -> ClientEvent {
        let state = connection.state();
        if let ClientState::Pausing { until } = state {
            return self.next_event_while_paused(until).await;
        }
        if self.is_past_final_read(connection) {
            return Event::Stop { has_unread: false }.into();
        }
        let (context, shed) = (self.context.clone(), self.shed.clone());
        let IdleSince { kind, since } = connection.idle_since();
        let idle = connection.idle_since_with(self.reader.partial_at());
        let _idle = context.budget.register_idle(idle.kind, idle.since, &shed);
        let grace_period = if kind == Idleness::New { FIRST_QUERY_GRACE_PERIOD } else { 0 };
        let no_close_before = self.no_close_before.max(since + grace_period);
        let close_requested = close_requested(&context, self.serving_state.clone(), no_close_before);
        tokio::select! {
            biased;
            event = self.reader.next_event(state) => event,
            () = shed.notified() => self.on_shed(state).await,
            () = close_requested => self.on_close_requested(state, since).await,
            () = context.clock.sleep_until(connection.timeout_at()) => self.on_timeout(state).await,
        }
    }

    async fn next_event_while_paused(&mut self, until: Time) -> ClientEvent {
        let clock = self.context.clock;
        tokio::select! {
            () = clock.sleep_until(until) => Event::PauseEnded.into(),
            end = self.reader.disconnected() => if self.reader.is_failed_with(end) {
                Event::PauseEnded.into()
            } else {
                Event::Disconnected(end).into()
            },
        }
    }

    /// Whether to close the connection for a stop without another read: the process may be killed soon, and
    /// everything that was read has been answered.
    fn is_past_final_read(&mut self, connection: &ClientConnection) -> bool {
        let read_deadline = self.context.final_read_deadlines.get().of(connection.idle_since().kind);
        self.serving_state.borrow().closes_idle_clients()
            && self.context.clock.now() >= read_deadline
            && !self.reader.has_event(connection.state())
            && !self.reader.may_have_unread()
    }

    async fn on_shed(&mut self, state: ClientState) -> ClientEvent {
        let has_unread = self.has_unread(state).await;
        if has_unread {
            // The descriptor still has to be freed once these bytes are answered.
            self.shed.notify_one();
        }
        Event::Shed { has_unread }.into()
    }

    async fn on_close_requested(&mut self, state: ClientState, idle_since: Time) -> ClientEvent {
        let clock = self.context.clock;
        let partial_message_deadline =
            self.context.final_answer_deadline.get().min(idle_since + PARTIAL_MESSAGE_GRACE_PERIOD);
        let awaits_message = self.reader.has_partial_message() && clock.now() < partial_message_deadline;
        let has_unread = self.has_unread(state).await;
        if awaits_message {
            self.no_close_before = clock.now() + PARTIAL_MESSAGE_POLL_INTERVAL;
        }
        Event::Stop { has_unread: has_unread || awaits_message }.into()
    }

    async fn on_timeout(&mut self, state: ClientState) -> ClientEvent {
        let has_unread = self.has_unread(state).await;
        Event::Timeout { has_unread, partial_at: self.reader.partial_at() }.into()
    }

    /// Whether the socket or the reader has unhandled bytes. A query that was read but not answered is lost
    /// when the connection closes; the client can retry an unread one elsewhere.
    ///
    /// Queries the kernel, since the reactor may not know yet of bytes that have just arrived, and then
    /// yields to let the reactor run.
    async fn has_unread(&mut self, state: ClientState) -> bool {
        if self.reader.has_event(state) {
            return true;
        }
        if !self.reader.may_read() {
            // Reading is paused for lack of memory in the middle of a message.
            return false;
        }
        let has_unread = socket::unread_on(self.writer.as_ref()) == Unread::Bytes;
        if has_unread {
            tokio::task::yield_now().await;
        }
        has_unread
    }

    /// Whether the gateway is stopping and the time for answers is over.
    pub(super) fn is_past_final_answer(&self) -> bool {
        self.context.clock.now() >= self.context.final_answer_deadline.get()
    }

    /// Sends the client the error for which its connection ends, and closes the connection.
    async fn cut_off(&mut self, error: ProtocolError) -> Result<End, End> {
        let clock = self.context.clock;
        let mut out = Vec::new();
        postgres::put_error(&mut out, Severity::Fatal, error.sqlstate, error.message, None);
        self.reader.fail(error);
        self.write(&out[..], clock.now()).await?;
        // Closing a socket with unread bytes resets the connection, and the client would not get the error.
        let _ = self.writer.shutdown().await;
        let _idle = self.context.budget.register_idle(Idleness::CutOff, clock.now(), &self.shed);
        let close_at = clock.now() + LINGERING_CLOSE_TIMEOUT;
        tokio::select! {
            () = self.reader.discard_input() => {}
            () = self.shed.notified() => {}
            () = clock.sleep_until(close_at) => {}
        }
        Ok(error.end)
    }

    /// Closes the write half and waits until the client has closed its side, so that it gets the rest of its
    /// last answer: closing a socket with unread bytes resets the connection. Nothing more is read, since a
    /// query that is read here gets no answer, while an unread one can be retried elsewhere.
    async fn close_lingering(&mut self) {
        let _ = self.writer.shutdown().await;
        let now = self.context.clock.now();
        let close_at = (now + LINGERING_CLOSE_TIMEOUT).min(self.context.final_answer_deadline.get());
        let _idle = self.context.budget.register_idle(Idleness::CutOff, now, &self.shed);
        tokio::select! {
            () = self.reader.closed_by_client() => {}
            () = self.shed.notified() => {}
            () = self.context.clock.sleep_until(close_at) => {}
        }
    }

    /// Writes all of `bytes`. `deadline` is the deadline of the answered request; a client that has not read
    /// the answer within [`ANSWER_WRITE_TIMEOUT`] after it is disconnected.
    ///
    /// # Errors
    ///
    /// Returns how the connection ended: [`End::ClientLeft`] or [`End::ClientStuck`].
    pub(super) async fn write(&mut self, mut bytes: impl Buf, deadline: Time) -> Result<(), End> {
        // A request that was queued behind others may end long after its deadline.
        let write_deadline = deadline.max(self.context.clock.now()) + ANSWER_WRITE_TIMEOUT;
        tokio::select! {
            biased;
            written = socket::write_all(self.writer.as_ref(), &mut bytes) => written.map_err(|_| End::ClientLeft),
            () = self.reader.read_ahead() => Err(End::ClientLeft),
            () = self.context.clock.sleep_until(write_deadline) => Err(End::ClientStuck),
        }
    }
}

/// Waits until idle clients are to be closed, and then until `no_close_before` or the final answer deadline,
/// whichever is earlier.
async fn close_requested(
    context: &ClientContext,
    mut serving_state: watch::Receiver<ServingState>,
    no_close_before: Time,
) {
    // An error means that the gateway has ended.
    let _ = serving_state.wait_for(|state| state.closes_idle_clients()).await;
    context.clock.sleep_until(no_close_before.min(context.final_answer_deadline.get())).await;
}

fn protocol_error(reason: CutOffReason, payload: &Payload) -> ProtocolError {
    match (reason, payload) {
        (CutOffReason::IncompleteMessage, _) => ProtocolError::INCOMPLETE_MESSAGE,
        (CutOffReason::ProtocolError, Payload::ProtocolError(error)) => *error,
        (CutOffReason::ProtocolError | CutOffReason::UnknownMessage, _) => ProtocolError::UNKNOWN_MESSAGE,
    }
}

fn minor_version(payload: &Payload) -> u16 {
    match payload {
        Payload::Startup { minor_version } => *minor_version,
        _ => 0,
    }
}

fn put_unsupported(out: &mut Vec<u8>) {
    postgres::put_error(out, Severity::Error, "0A000", "only simple queries are served", None);
}
