//! One attempt to have a request served by a database host: take an idle connection or make one, write the query, read
//! the answer, give the connection back or close it, report.
//!
//! What happens to an attempt is decided by its state machine ([`Exchange`]); this module does the waiting for it, and
//! `attempt_io` the input and output.

use crate::facade::{Attempt, Outcome};
use crate::host::attempt_io::{AttemptIo, Progress};
use crate::host::connection::HostConnection;
use crate::host::load_report::outcome;
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

/// What `written_us` of the log line is of an attempt whose query was not written.
const NOT_WRITTEN: Time = -1;

/// A host's answer, with the memory that is accounted for it.
pub struct HostAnswer {
    /// The answer.
    pub answer: AnswerBody,
    pub(crate) memory: MemoryReservation,
}

/// An answer, or the beginning of one.
pub enum AnswerBody {
    /// A row, or an error that no other host would spare the client.
    Complete(Answer),
    /// A row so long that it is passed on as it comes.
    Streamed(Box<StreamedRow>),
}

/// An attempt under way.
struct AttemptRun {
    exchange: Exchange,
    io: AttemptIo,
    started_at: Time,
    /// When the last byte of the query was seen to be written.
    written_at: Option<Time>,
    reused: bool,
}

impl HostPool {
    /// Makes one attempt and reports it. Gives the host's answer if it is the request's final answer.
    ///
    /// Not cancel safe: dropped before its end, the attempt would be reported as not sent although its query may be
    /// out. It runs in a task of its own.
    pub async fn attempt(
        self: Rc<Self>,
        mut attempt: Attempt,
        statement: Rc<Statement>,
    ) -> Option<HostAnswer> {
        self.counters.attempts.add();
        let _open_attempt = self.open_attempts.enter();
        log_slow_start(&attempt, &statement);
        let mut run = self.start(&attempt);
        self.run_to_end(&mut run, &mut attempt, &statement).await;
        self.conclude(run, attempt, &statement)
    }

    /// Takes an idle connection, if there is one; else one will be made.
    fn start(&self, attempt: &Attempt) -> AttemptRun {
        let io = AttemptIo::new(self.take_idle(attempt.host()), self.budget.reserve_host_memory());
        let now = self.clock.now();
        let reused = io.connection.is_some();
        let exchange = if reused {
            Exchange::reusing(now, attempt.deadline())
        } else {
            Exchange::connecting(now + self.connect_timeout(attempt.host()), attempt.deadline())
        };
        let exchange = exchange.with_write_deadline(attempt.write_deadline());
        AttemptRun { exchange, io, started_at: now, written_at: None, reused }
    }

    /// Does what the attempt's state asks for, until it has ended. What the connection brings goes before a
    /// cancellation, and both before the deadline.
    async fn run_to_end(&self, run: &mut AttemptRun, attempt: &mut Attempt, statement: &Statement) {
        let host = attempt.host();
        // One timer for as long as the deadline is the same.
        let mut due = run.exchange.timeout_at();
        let mut timer = pin!(self.clock.sleep_until(due));
        while run.exchange.ended().is_none() {
            if run.exchange.timeout_at() != due {
                due = run.exchange.timeout_at();
                timer.set(self.clock.sleep_until(due));
            }
            let progress = tokio::select! {
                biased;
                progress = self.advance(run.exchange.state(), host, &mut run.io) => progress,
                () = attempt.cancelled() => Progress::Event(Event::Cancelled),
                () = &mut timer => {
                    timer.set(self.clock.sleep_until(due));
                    Progress::Event(Event::Timeout)
                }
            };
            let event = match progress {
                Progress::Event(event) => Some(event),
                Progress::MayBegin => self.begin_query(&run.exchange, attempt, statement, &mut run.io),
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

    /// Releases the connection of an attempt that has ended, and then reports it.
    fn conclude(
        self: &Rc<Self>,
        run: AttemptRun,
        attempt: Attempt,
        statement: &Statement,
    ) -> Option<HostAnswer> {
        let ended_at = self.clock.now();
        let AttemptRun { mut exchange, io, started_at, written_at, reused } = run;
        let AttemptIo { connection, reply, memory, assembler, .. } = io;
        if reply.as_ref().is_some_and(|reply| reply.ready) {
            exchange.record_host_ready();
        }
        let unread = connection.as_ref().is_some_and(|connection| !connection.framer.is_empty());
        let FinishedAttempt { end, disposition } = exchange.finish(unread)?;
        let streamed = self.release(attempt.host(), connection, assembler, disposition);
        self.count_end(attempt.host(), end);
        log::debug!(
            "attempt ended request={} host={} class={} group={} end={end:?} took_us={} written_us={} reused={reused}",
            statement.id,
            attempt.host(),
            statement.class,
            statement.group,
            ended_at - started_at,
            written_at.map_or(NOT_WRITTEN, |at| at - started_at),
        );
        // What a host sent counts only if that is how the attempt ended.
        let reply = reply.filter(|_| end.is_answer());
        let owed = self.report(attempt, ended_at, self.outcome_of(end, reply.as_ref(), streamed.as_ref()));
        let answer = match reply {
            Some(reply) => Some(AnswerBody::Complete(reply.answer)),
            None => streamed.map(|row| AnswerBody::Streamed(Box::new(row))),
        };
        answer.map(|answer| HostAnswer { answer, memory }).filter(|_| owed)
    }

    /// Gives a connection back, lends it to the row that has begun on it, or closes it.
    fn release(
        self: &Rc<Self>,
        host: MemberId,
        connection: Option<HostConnection>,
        assembler: AnswerAssembler,
        disposition: ConnectionDisposition,
    ) -> Option<StreamedRow> {
        match (connection, disposition) {
            (Some(connection), ConnectionDisposition::Reuse) => self.put_back(host, connection),
            (Some(connection), ConnectionDisposition::Lend) => {
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

    /// What the decisions learn from the attempt.
    fn outcome_of(&self, end: End, reply: Option<&Reply>, streamed: Option<&StreamedRow>) -> Outcome {
        match (reply, streamed) {
            (Some(reply), _) => outcome(end, &reply.parameters, &self.counters),
            (None, Some(row)) => outcome(end, row.parameters(), &self.counters),
            (None, None) => Outcome::silent(end.as_ending()),
        }
    }

    /// Reports the attempt. True if the host's answer is owed to the client.
    fn report(&self, attempt: Attempt, now: Time, mut outcome: Outcome) -> bool {
        if !attempt.validate_times(now, &mut outcome) {
            self.counters.bad_reports.add();
        }
        attempt.report(now, outcome)
    }
}

/// Writes by which budget a member that has just started gets an attempt.
fn log_slow_start(attempt: &Attempt, statement: &Statement) {
    let Some(SlowStart { capacity_share, rate, tokens }) = attempt.slow_start() else { return };
    log::debug!(
        "slow start attempt request={} host={} class={} capacity_share={capacity_share:.3} rate={rate:.2} tokens={tokens:.2}",
        statement.id,
        attempt.host(),
        statement.class,
    );
}
