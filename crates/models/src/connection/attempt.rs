//! The gateway's side of the model: choosing a connection for each request, stepping the attempt, and
//! disposing of the connection. Most properties are checked here.

use crate::connection::{
    Attempt, Bytes, Connection, Connections, IdleSince, ATTEMPT_TIMEOUT, CLOSED, CONNECT_TIMEOUT,
    IDLE_POLICY, ONCE, OWN_ANSWER, STALLED_EARLY, TOO_OLD, UNREAD,
};
use crate::coverage::record_transition;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::Exchange;
use petrelgauge_lifecycle::exchange::{ConnectionDisposition, Event};
use petrelgauge_lifecycle::idle_connection::{IdleConnection, SocketState};

impl Connections {
    /// Begins the attempt of the next request.
    pub(super) fn begin(&mut self) {
        let request = self.next_request;
        self.next_request += 1;
        (self.answered, self.answer_begun) = (None, false);
        let connection = self.reuse();
        let (now, deadline) = (self.now, self.now + ATTEMPT_TIMEOUT);
        let exchange = match connection {
            Some(_) => Exchange::reusing(now, deadline),
            None => Exchange::connecting(now + CONNECT_TIMEOUT, deadline),
        };
        self.attempt = Some(Attempt { request, exchange, connection });
    }

    /// The idle connection, if it may be reused now. One that may not is closed.
    fn reuse(&mut self) -> Option<Connection> {
        let IdleSince { since, mut connection } = self.idle.take()?;
        let idle = IdleConnection { since, detects_duplicates: connection.last_answer.is_some() };
        if IDLE_POLICY.choose(self.now, [idle].into_iter()).is_none() {
            self.idle = Some(IdleSince { since, connection });
            return None;
        }
        let socket = match (connection.unread.first(), connection.closed_by_host) {
            (Some(Bytes::End), _) | (None, true) => SocketState::Closed,
            (Some(_), _) => SocketState::UnexpectedBytes,
            (None, false) => SocketState::Quiet,
        };
        connection.copy_expected = IDLE_POLICY.may_use(self.now, idle, socket).ok()?;
        if !connection.unread.is_empty() {
            self.violated = Some(UNREAD);
        }
        if self.now - since > IDLE_POLICY.max_idle {
            self.violated = Some(TOO_OLD);
        }
        Some(connection)
    }

    /// Steps the attempt. If it has ended, disposes of its connection and reports it.
    pub(super) fn on_event(&mut self, event: Event) {
        let Some(mut attempt) = self.attempt.take() else { return };
        let before = attempt.exchange.state();
        attempt.exchange.on(self.now, event);
        record_transition(before, event, attempt.exchange.state());
        if attempt.exchange.ended().is_none() {
            self.attempt = Some(attempt);
            return;
        }
        self.finish(attempt);
    }

    fn finish(&mut self, attempt: Attempt) {
        let Attempt { request, mut exchange, connection } = attempt;
        if self.answered.is_some() {
            exchange.record_host_ready();
        }
        // A copy or garbage may have been read together with the answer.
        let unread = connection
            .as_ref()
            .is_some_and(|connection| connection.unread.first().is_some_and(|bytes| *bytes != Bytes::End));
        let Some(finished) = exchange.finish(unread) else {
            self.violated = Some(ONCE);
            return;
        };
        self.reports += 1;
        self.has_waited = false;
        self.check_end(request, finished.end);
        let unanswered =
            connection.as_ref().is_some_and(|connection| connection.unanswered.contains(&request));
        if !finished.end.is_answer()
            && finished.disposition == ConnectionDisposition::Reuse
            && (unanswered || finished.end != End::NotWanted)
        {
            self.violated = Some(CLOSED);
        }
        if let (ConnectionDisposition::Reuse, Some(connection)) = (finished.disposition, connection) {
            if unread {
                self.violated = Some(UNREAD);
            }
            // This model has one idle connection at most; the older one is closed.
            self.idle = Some(IdleSince { since: self.now, connection });
        }
    }

    fn check_end(&mut self, request: u8, end: End) {
        if matches!(end, End::Served | End::Flows) && self.answered != Some(request) {
            self.violated = Some(OWN_ANSWER);
        }
        if end == End::HostStalled && !self.answer_begun {
            self.violated = Some(STALLED_EARLY);
        }
    }
}
