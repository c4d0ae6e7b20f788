//! One client's connection: PostgreSQL's simple queries in, one final answer out for each.

use crate::client::cancel_registry::RegisteredKey;
use crate::client::context::ClientContext;
use crate::client::reader::{ClientEvent, ClientReader, ProtocolError, UNFINISHED, UNKNOWN};
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
use tokio::sync::{watch, Notify};

/// Span after a request's end in which its client must have taken the answer (microseconds).
const TAKING: Time = 2_000_000;
/// Span in which a client that is cut off may send to the end and read the reason, and in which one that is closed for
/// the stop may take its last answer (microseconds).
const LINGER: Time = 1_000_000;
/// While clients are being closed: span after its coming in which a client that has asked for nothing yet is left to
/// (microseconds), since its first query may be on its way.
const FIRST_WORD: Time = 500_000;
/// The same for a message that has begun, from the first wish to close on, and between two looks at it.
const LAST_MESSAGE: Time = 2_000_000;
const LOOK: Time = 20_000;

pub(super) struct ClientSession<'a> {
    pub(super) context: Rc<ClientContext>,
    pub(super) reader: ClientReader<'a>,
    pub(super) writer: WriteHalf<'a>,
    pub(super) shed: Rc<Notify>,
    pub(super) serving_state: watch::Receiver<ServingState>,
    /// A wish to close it is put off to this time.
    pub(super) close_from: Time,
    /// What cancels its open query.
    pub(super) cancel_key: RegisteredKey,
    /// Session tokens that it set.
    pub(super) session_tokens: SessionTokens,
}

impl ClientSession<'_> {
    pub(super) async fn run(&mut self) -> End {
        match self.talk().await {
            Ok(end) | Err(end) => end,
        }
    }

    /// Tells the connection's life what happens and does what it says, until it ends.
    async fn talk(&mut self) -> Result<End, End> {
        let clock = self.context.clock;
        let mut life = ClientConnection::new(clock.now());
        loop {
            let event = self.hear(&life).await;
            let mut out = Vec::new();
            event.cancel.into_iter().for_each(|key| self.context.cancel_registry.cancel(key));
            let mut action = life.on(clock.now(), event.event);
            if action == Action::AnswerQuery {
                let (text, at) = event.query.unwrap_or_default();
                let event = match self.query(text, at).await {
                    Ok(used) => Event::Answered(used),
                    Err(end) => Event::Disconnected(end),
                };
                action = life.on(clock.now(), event);
            }
            match action {
                Action::Wait | Action::AnswerQuery | Action::Pause { .. } => continue,
                Action::Close(end) => {
                    if matches!(end, End::Stopped | End::ClientIdle) {
                        self.wait_for_close().await;
                    }
                    return Ok(end);
                }
                Action::CutOff(CutOffReason::IncompleteMessage) => return self.cut_off(UNFINISHED).await,
                Action::CutOff(_) => return self.cut_off(event.error.unwrap_or(UNKNOWN)).await,
                Action::DeclineEncryption => out.push(b'N'),
                Action::AcceptStartup => {
                    postgres::put_startup_answer(&mut out, event.minor, self.cancel_key.key)
                }
                Action::SendReady => postgres::put_ready(&mut out),
                Action::RejectUnsupported { then_ready: ready } => {
                    put_unsupported(&mut out);
                    if ready {
                        postgres::put_ready(&mut out);
                    }
                }
            }
            self.write(&out[..], clock.now()).await?;
        }
    }

    /// Waits for what happens next. What the client sent goes before every reason to close.
    async fn hear(&mut self, life: &ClientConnection) -> ClientEvent {
        let (context, shed, mut serving_state) =
            (self.context.clone(), self.shed.clone(), self.serving_state.clone());
        let clock = context.clock;
        if let ClientState::Pausing { until } = life.state() {
            return tokio::select! {
                () = clock.sleep_until(until) => Event::PauseEnded.into(),
                end = self.reader.left() => match self.reader.is_failed_with(end) {
                    true => Event::PauseEnded.into(),
                    false => Event::Disconnected(end).into(),
                },
            };
        }
        let IdleSince { kind: why, since } = life.idle_since();
        // The process may be killed soon: nothing more is read, and what was read is answered first.
        let over = clock.now() >= context.final_read_deadlines.get().of(why);
        let done = !self.reader.holds(life.state()) && !self.reader.is_behind();
        if serving_state.borrow().closes_idle_clients() && over && done {
            return Event::Stop { has_unread: false }.into();
        }
        let _idle = context.budget.register_idle(why, since, &shed);
        // A client that has just come is about to say something.
        let close_from = self.close_from.max(if why == Idleness::New { since + FIRST_WORD } else { since });
        let closed = async {
            let wished =
                serving_state.wait_for(|serving_state| serving_state.closes_idle_clients()).await.is_ok();
            clock.sleep_until(close_from.min(context.final_answer_deadline.get())).await;
            wished
        };
        tokio::select! {
            biased;
            event = self.reader.hear(life.state()) => event,
            () = shed.notified() => {
                let unread = self.unread(life.state()).await;
                if unread {
                    // It was asked to make room, and still is once that is answered.
                    shed.notify_one();
                }
                Event::Shed { has_unread: unread }.into()
            }
            _ = closed => {
                let last = context.final_answer_deadline.get().min(since + LAST_MESSAGE);
                let begun = !self.reader.framer.is_empty() && clock.now() < last;
                let unread = self.unread(life.state()).await;
                self.close_from = if begun { clock.now() + LOOK } else { self.close_from };
                Event::Stop { has_unread: unread || begun }.into()
            }
            () = clock.sleep_until(life.timeout_at()) => {
                let unread = self.unread(life.state()).await;
                Event::Timeout { has_unread: unread, partial_at: self.reader.partial_at() }.into()
            }
        }
    }

    /// Whether something lies there that has not been taken up: a query that was read is lost if its connection ends,
    /// and one that was not has to be sent again. The kernel is asked itself, for the reactor has not yet event of what
    /// came a moment ago. After it the reactor knows.
    async fn unread(&mut self, state: ClientState) -> bool {
        if self.reader.holds(state) {
            return true;
        }
        if !self.reader.may_read() {
            // It waits for memory in the middle of a message.
            return false;
        }
        let unread = socket::unread_on(self.writer.as_ref()) == Unread::Bytes;
        if unread {
            tokio::task::yield_now().await;
        }
        unread
    }

    /// The last answers of a stop were due.
    pub(super) fn late(&self) -> bool {
        self.context.clock.now() >= self.context.final_answer_deadline.get()
    }

    /// Says why the connection ends, and ends it.
    async fn cut_off(&mut self, error: ProtocolError) -> Result<End, End> {
        let mut out = Vec::new();
        postgres::put_error(&mut out, Severity::Fatal, error.code, error.text, None);
        let clock = self.context.clock;
        self.reader.fail(error);
        self.write(&out[..], clock.now()).await?;
        // Closed with bytes unread, the connection would be reset and the client not see the reason.
        let _ = self.writer.shutdown().await;
        let _idle = self.context.budget.register_idle(Idleness::CutOff, clock.now(), &self.shed);
        let by = clock.now() + LINGER;
        tokio::select! {
            () = self.reader.discard() => {}
            () = self.shed.notified() => {}
            () = clock.sleep_until(by) => {}
        }
        Ok(error.end)
    }

    /// Closes the write half and waits until the client has closed too, so that an answer that it has not taken to the
    /// end is not lost to the reset that bytes of it cause once the socket is closed. Nothing more is read: a query
    /// that was read here would have no answer, and one that was not is sent again to another gateway.
    async fn wait_for_close(&mut self) {
        let _ = self.writer.shutdown().await;
        let now = self.context.clock.now();
        let by = (now + LINGER).min(self.context.final_answer_deadline.get());
        let _idle = self.context.budget.register_idle(Idleness::CutOff, now, &self.shed);
        tokio::select! {
            () = self.reader.closed() => {}
            () = self.shed.notified() => {}
            () = self.context.clock.sleep_until(by) => {}
        }
    }

    /// Writes all of it, or ends the connection of a client that does not take it.
    pub(super) async fn write(&mut self, mut bytes: impl Buf, end: Time) -> Result<(), End> {
        // A request that waited behind others may end long after its time.
        let by = end.max(self.context.clock.now()) + TAKING;
        tokio::select! {
            biased;
            written = socket::write_all(self.writer.as_ref(), &mut bytes) => written.map_err(|_| End::ClientLeft),
            () = self.reader.read_ahead() => Err(End::ClientLeft),
            () = self.context.clock.sleep_until(by) => Err(End::ClientStuck),
        }
    }
}

fn put_unsupported(out: &mut Vec<u8>) {
    postgres::put_error(out, Severity::Error, "0A000", "only simple queries are served", None);
}
