//! One attempt to serve a request at a database host: takes an idle connection or opens one, writes the
//! query, reads the answer, returns the connection to the pool or closes it, and reports the outcome.
//!
//! State transitions are decided by the attempt's state machine ([`Exchange`]). This module waits for events,
//! and `attempt_io` reads and writes.

use crate::facade::{Attempt, Outcome};
use crate::host::attempt_io::{AttemptIo, Progress};
use crate::host::connection::HostConnection;
use crate::host::forwarded_statement::ForwardedStatement;
use crate::host::load_report::parse_outcome;
use crate::host::pool::HostPool;
use crate::host::streamed_row::StreamedRow;
use crate::postgres::{Answer, AnswerAssembler, Reply};
use crate::resources::budget::MemoryReservation;
use crate::sql::statement::Statement;
use crate::{MemberId, SlowStart, Time};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::{ConnectionDisposition, Event, Exchange, FinishedAttempt};
use std::pin::pin;
use std::rc::Rc;

/// Value of the log field `written_us` for an attempt whose query was not written.
const NOT_WRITTEN: Time = -1;

/// A host's answer, with the memory that is reserved for it.
pub struct HostAnswer {
    /// The answer.
    pub answer: AnswerBody,
    pub(crate) memory: MemoryReservation,
}

/// An answer, or the beginning of one.
pub enum AnswerBody {
    /// A row, or an error that any other host would return as well.
    Complete(Answer),
    /// A long row, which is streamed to the client.
    Streamed(Box<StreamedRow>),
}

/// An attempt in flight.
struct AttemptRun {
    exchange: Exchange,
    io: AttemptIo,
    started_at: Time,
    /// When the last byte of the query was written.
    written_at: Option<Time>,
    is_connection_reused: bool,
}

impl HostPool {
    /// Makes an attempt and reports it. Returns the host's answer if that is the request's final answer.
    ///
    /// Not cancel safe: an attempt that is dropped before its end is reported as not sent, although its query
    /// may have been written. Must run in its own task.
    pub async fn attempt(
        self: Rc<Self>,
        mut attempt: Attempt,
        statement: Rc<ForwardedStatement>,
    ) -> Option<HostAnswer> {
        self.counters.attempts.add();
        let _in_flight = self.open_attempts.enter();
        log_slow_start(&attempt, &statement);
        let mut run = self.start(&attempt);
        self.run_to_end(&mut run, &mut attempt, &statement).await;
        self.finish(run, attempt, &statement)
    }

    /// Starts on an idle connection if there is one, and without a connection otherwise.
    fn start(&self, attempt: &Attempt) -> AttemptRun {
        let io = AttemptIo::new(self.take_idle(attempt.host()), self.budget.reserve_host_memory());
        let now = self.clock.now();
        let is_connection_reused = io.connection.is_some();
        let exchange = if is_connection_reused {
            Exchange::reusing(now, attempt.deadline())
        } else {
            Exchange::connecting(now + self.connect_timeout(attempt.host()), attempt.deadline())
        };
        let exchange = exchange.with_write_deadline(attempt.write_deadline());
        AttemptRun { exchange, io, started_at: now, written_at: None, is_connection_reused }
    }

    /// Runs the attempt until it has ended. Input from the host takes precedence over a cancellation, and
    /// both over a timeout.
    async fn run_to_end(&self, run: &mut AttemptRun, attempt: &mut Attempt, statement: &Statement) {
        let host = attempt.host();
        // The timer is reset only when the timeout changes, since most events leave it unchanged.
        let mut timeout_at = run.exchange.timeout_at();
        let mut timer = pin!(self.clock.sleep_until(timeout_at));
        while run.exchange.ended().is_none() {
            if run.exchange.timeout_at() != timeout_at {
                timeout_at = run.exchange.timeout_at();
                timer.set(self.clock.sleep_until(timeout_at));
            }
            let progress = tokio::select! {
                biased;
                progress = self.advance(run.exchange.state(), host, &mut run.io) => progress,
                () = attempt.cancelled() => Progress::Event(Event::Cancelled),
                () = &mut timer => {
                    timer.set(self.clock.sleep_until(timeout_at));
                    Progress::Event(Event::Timeout)
                }
            };
            let event = match progress {
                Progress::Event(event) => Some(event),
                Progress::ReadyToWrite => self.begin_query(&run.exchange, attempt, statement, &mut run.io),
            };
            if let Some(event) = event {
                self.on_event(run, host, event);
            }
        }
    }

    fn on_event(&self, run: &mut AttemptRun, host: MemberId, event: Event) {
        run.exchange.on(self.clock.now(), event);
        if event == Event::HostReady {
            self.record_connected(host, self.clock.now() - run.started_at);
        }
        if run.written_at.is_none() && run.exchange.may_have_run() {
            run.written_at = Some(self.clock.now());
        }
    }

    /// Releases the connection of an attempt that has ended, then reports the attempt. Returns the host's
    /// answer if that is the request's final answer.
    fn finish(
        self: &Rc<Self>,
        run: AttemptRun,
        attempt: Attempt,
        statement: &ForwardedStatement,
    ) -> Option<HostAnswer> {
        let ended_at = self.clock.now();
        let AttemptRun { mut exchange, io, started_at, written_at, is_connection_reused } = run;
        let AttemptIo { connection, reply, memory, assembler, .. } = io;
        if reply.as_ref().is_some_and(|reply| reply.is_ready) {
            exchange.record_host_ready();
        }
        let has_unread = connection.as_ref().is_some_and(|connection| !connection.framer.is_empty());
        let FinishedAttempt { end, disposition } = exchange.finish(has_unread)?;
        let streamed = self.release(attempt.host(), connection, assembler, disposition);
        self.count_end(attempt.host(), end);
        if written_at.is_some() && !end.to_router_ending().never_ran() {
            statement.record_use(ended_at);
        }
        log::debug!(
            "attempt ended request={} host={} class={} group={} end={end:?} took_us={} written_us={} reused={is_connection_reused}",
            statement.id,
            attempt.host(),
            statement.class,
            statement.group,
            ended_at - started_at,
            written_at.map_or(NOT_WRITTEN, |at| at - started_at),
        );
        // A reply that was read is ignored if the attempt ended for another reason.
        let reply = reply.filter(|_| end.is_answer());
        let is_final_answer =
            self.report(attempt, ended_at, self.outcome_of(end, reply.as_ref(), streamed.as_ref()));
        let answer = match reply {
            Some(reply) => Some(AnswerBody::Complete(reply.answer)),
            None => streamed.map(|row| AnswerBody::Streamed(Box::new(row))),
        };
        answer.map(|answer| HostAnswer { answer, memory }).filter(|_| is_final_answer)
    }

    /// Returns a connection to the pool, hands it to the row that is streamed on it, or closes it.
    fn release(
        self: &Rc<Self>,
        host: MemberId,
        connection: Option<HostConnection>,
        assembler: AnswerAssembler,
        disposition: ConnectionDisposition,
    ) -> Option<StreamedRow> {
        match (connection, disposition) {
            (Some(connection), ConnectionDisposition::Reuse) => self.return_connection(host, connection),
            (Some(connection), ConnectionDisposition::StreamToClient) => {
                return Some(StreamedRow::new(self.clone(), host, connection, assembler));
            }
            (connection, disposition) => {
                drop(connection);
                if disposition == ConnectionDisposition::CloseSurplus {
                    self.counters.ended(End::HostSurplus);
                }
            }
        }
        None
    }

    fn count_end(&self, host: MemberId, end: End) {
        self.counters.ended(end);
        if end == End::ConnectSilent {
            self.record_connect_timeout(host);
        }
    }

    fn outcome_of(&self, end: End, reply: Option<&Reply>, streamed: Option<&StreamedRow>) -> Outcome {
        match (reply, streamed) {
            (Some(reply), _) => parse_outcome(end, &reply.parameters, &self.counters),
            (None, Some(row)) => parse_outcome(end, row.parameters(), &self.counters),
            (None, None) => Outcome::without_report(end.to_router_ending()),
        }
    }

    /// Reports the attempt. Returns whether the host's answer is the request's final answer.
    fn report(&self, attempt: Attempt, now: Time, mut outcome: Outcome) -> bool {
        if !attempt.validate_times(now, &mut outcome) {
            self.counters.bad_reports.add();
        }
        attempt.report(now, outcome)
    }
}

/// Logs the slow start limits of the attempt's member, if it is in slow start.
fn log_slow_start(attempt: &Attempt, statement: &Statement) {
    let Some(SlowStart { capacity_share, rate, tokens }) = attempt.slow_start() else { return };
    log::debug!(
        "slow start attempt request={} host={} class={} capacity_share={capacity_share:.3} rate={rate:.2} tokens={tokens:.2}",
        statement.id,
        attempt.host(),
        statement.class,
    );
}
