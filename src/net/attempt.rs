//! One attempt on a connection to a database host.

use crate::facade::{Attempt, Outcome};
use crate::net::budget::MemoryReservation;
use crate::net::host_connection::Connection;
use crate::net::host_report::outcome;
use crate::net::hosts::Hosts;
use crate::net::pg::{Answer, AnswerAssembler, Reply};
use crate::net::read_buffer;
use crate::net::socket::{self, SocketError};
use crate::net::statement::Statement;
use crate::net::streamed_row::StreamedRow;
use crate::MemberId;
use bytes::Buf;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::{ConnectionDisposition, Event, Exchange, Stage};
use petrelgauge_lifecycle::idle_connection::{is_copy, is_distinguishable};
use petrelgauge_lifecycle::verdict;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::pin::pin;
use std::rc::Rc;

impl Hosts {
    /// Makes one attempt and reports it. Gives what the host said if it is the request's final answer.
    #[expect(clippy::too_many_lines, reason = "to be split by its steps")]
    pub async fn attempt(
        self: Rc<Self>,
        mut attempt: Attempt,
        statement: Rc<Statement>,
    ) -> Option<HostAnswer> {
        self.counters.attempts.add();
        let _out = self.open_attempts.enter();
        let (host, until) = (attempt.host, attempt.until);
        let mut line = Line::new(self.take_idle(host), self.budget.reserve_host_memory());
        let now = self.clock.now();
        let (began, reused, mut written) = (now, line.connection.is_some(), None);
        let mut life =
            Exchange::new(reused, now, now + self.connect_timeout(host), until).written_by(attempt.write_by);
        // One timer for as long as the limit is the same.
        let mut due = life.due();
        let mut timer = pin!(self.clock.sleep_until(due));
        while life.ended().is_none() {
            if life.due() != due {
                due = life.due();
                timer.set(self.clock.sleep_until(due));
            }
            let progress = tokio::select! {
                biased;
                progress = self.work(life.stage(), host, &mut line) => progress,
                () = attempt.cancelled() => Progress::Event(Event::Cancelled),
                () = &mut timer => {
                    timer.set(self.clock.sleep_until(due));
                    Progress::Event(Event::Due)
                }
            };
            let begun = match progress {
                Progress::Event(event) => Some(event),
                Progress::MayBegin => self.begin(&life, &mut attempt, &statement, &mut line),
            };
            let Some(event) = begun else { continue };
            life.on(self.clock.now(), event);
            if event == Event::Greeted {
                self.came_up(host, self.clock.now() - began);
            }
            written = written.or_else(|| life.may_have_run().then(|| self.clock.now()));
        }
        let now = self.clock.now();
        let Line { connection, reply, hold, assembler, .. } = line;
        if reply.as_ref().is_some_and(|reply| reply.ready) {
            life.host_is_ready();
        }
        let unread = connection.as_ref().is_some_and(|connection| !connection.framer.is_empty());
        let (disposition, finished) = life.finish(unread)?;
        let mut flow = None;
        match (connection, disposition) {
            (Some(connection), ConnectionDisposition::Reuse) => self.put_back(host, connection),
            (Some(connection), ConnectionDisposition::Lend) => {
                flow = Some(StreamedRow::new(self.clone(), host, connection, assembler))
            }
            (connection, disposition) => {
                drop(connection);
                if disposition == ConnectionDisposition::CloseSurplus {
                    self.counters.ended(End::HostSurplus);
                }
            }
        }
        self.counters.ended(finished.end);
        if finished.end == End::ConnectSilent {
            self.count_missed(host, |missed| missed.saturating_add(1));
        }
        log::debug!(
            "attempt ended host={host} class={} group={} end={:?} took_us={} written_us={} reused={reused}",
            statement.class,
            statement.group,
            finished.end,
            now - began,
            written.map_or(-1, |at| at - began),
        );
        // What a host said counts only if that is how the attempt ended.
        let reply = reply.filter(|_| finished.end.is_answer());
        let mut outcome = match (&reply, &flow) {
            (Some(reply), _) => outcome(finished.end, &reply.parameters, &self.counters),
            (None, Some(flow)) => outcome(finished.end, flow.parameters(), &self.counters),
            (None, None) => Outcome::silent(finished.end.as_ending()),
        };
        if !attempt.validate_times(now, &mut outcome) {
            self.counters.bad_reports.add();
        }
        let owed = attempt.report(now, outcome);
        let answer = match (reply, flow) {
            (Some(reply), _) => Some(AnswerBody::Complete(reply.answer)),
            (None, flow) => flow.map(|flow| AnswerBody::Streamed(Box::new(flow))),
        };
        answer.map(|answer| HostAnswer { answer, _hold: hold }).filter(|_| owed)
    }

    /// Does what the stage of an attempt asks for, until something happens. May be cancelled without loss.
    async fn work(&self, stage: Stage, host: MemberId, line: &mut Line) -> Progress {
        let Some(connection) = &mut line.connection else {
            return Progress::Event(match self.connect(host).await {
                Ok(connection) => {
                    line.connection = Some(connection);
                    Event::Connected
                }
                Err(event) => event,
            });
        };
        Progress::Event(match (stage, &mut line.unwritten) {
            (Stage::Writing, None) => {
                if line.write_failed_locally {
                    socket::pause_after_shortage().await;
                    line.write_failed_locally = false;
                }
                match socket::writable(&connection.stream).await {
                    Ok(()) => return Progress::MayBegin,
                    Err(_) => Event::Broke,
                }
            }
            (Stage::Writing, Some(query)) => match socket::write_all(&connection.stream, query).await {
                Ok(()) => self.written(),
                Err(_) => Event::Broke,
            },
            (Stage::Connecting { .. } | Stage::Greeting { .. }, _) => self.greeting(line).await,
            (Stage::Waiting | Stage::Answering { .. }, _) => self.answer(stage, line).await,
            (Stage::Ended(_), _) => std::future::pending().await,
        })
    }

    /// Writes the first bytes of an attempt, if it may still be made. Much may have happened while its connection came up
    /// or did not take bytes; from the clock's reading here to the first byte nothing is waited for. None if that changed
    /// nothing: either the query is written in part, or the connection took no byte and all of this is to be done anew.
    fn begin(
        &self,
        life: &Exchange,
        attempt: &mut Attempt,
        statement: &Statement,
        line: &mut Line,
    ) -> Option<Event> {
        let Some(connection) = &line.connection else { return Some(Event::Broke) };
        let takes = self.accepts(attempt.host, connection.endpoint);
        let now = self.clock.now();
        let wanted = takes && attempt.is_wanted(now);
        let Some(wait_ms) = life.remaining_wait_ms(now).filter(|_| wanted) else {
            return Some(Event::Unwanted);
        };
        let mut query = statement.query(wait_ms);
        match socket::write_now(&connection.stream, &mut query) {
            Ok(()) if !query.has_remaining() => Some(self.written()),
            Ok(()) => {
                line.unwritten = Some(Box::new(query));
                None
            }
            Err(SocketError::WouldBlock) => None,
            Err(SocketError::OwnShortage(_)) => {
                line.write_failed_locally = true;
                None
            }
            Err(_) => Some(Event::Broke),
        }
    }

    fn written(&self) -> Event {
        self.counters.sent.add();
        Event::Written
    }

    /// What a host says before it takes requests.
    async fn greeting(&self, line: &mut Line) -> Event {
        let Some(connection) = &mut line.connection else { return Event::Broke };
        loop {
            loop {
                let message = match connection.next() {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(_) => return Event::Malformed,
                };
                match message.kind() {
                    b'R' if message.body() == [0; 4] => {}
                    b'S' | b'K' | b'N' | b'v' => {}
                    b'Z' => return Event::Greeted,
                    b'E' => {
                        let mut assembler = AnswerAssembler::default();
                        if assembler.push(message).is_err() {
                            return Event::Malformed;
                        }
                        line.reply = assembler.finish();
                        let end = line.reply.as_ref().map(judge);
                        return end.map_or(Event::Broke, Event::Rejected);
                    }
                    _ => return Event::Malformed,
                }
            }
            if connection.read(&self.read_buffer, read_buffer::SIZE).await.is_err() {
                return Event::Broke;
            }
            if !line.hold.resize(connection.framer.len()) {
                return Event::NoMemory;
            }
        }
    }

    /// What a host says to a request that was written.
    async fn answer(&self, stage: Stage, line: &mut Line) -> Event {
        let Some(connection) = &mut line.connection else { return Event::Broke };
        let mut began = false;
        loop {
            loop {
                let message = match connection.next() {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(Event::Flows) if !line.assembler.awaits_row() => return Event::Malformed,
                    Err(event) => return event,
                };
                line.taken += message.raw.len();
                line.hash.write(&message.raw);
                match line.assembler.push(message) {
                    Err(_) => return Event::Malformed,
                    Ok(None) => {}
                    Ok(Some(reply)) => {
                        let row = matches!(reply.answer, Answer::Row(_));
                        let tells = reply.parameters.iter().any(|(name, _)| name == "log_position");
                        let this = is_distinguishable(row, tells).then(|| line.hash.finish());
                        let last = std::mem::replace(&mut connection.last, this);
                        let (end, copy) = (judge(&reply), is_copy(connection.recent, last, this));
                        line.reply = Some(reply);
                        return Event::Answered { end, copy };
                    }
                }
            }
            // Most answers come whole; only of one that does not is it told that it has begun.
            if began {
                return Event::Began;
            }
            if connection.read(&self.read_buffer, read_buffer::SIZE).await.is_err() {
                line.reply = line.assembler.finish();
                let end = line.reply.as_ref().map(judge);
                return end.map_or(Event::Broke, |end| Event::Answered { end, copy: false });
            }
            if !line.hold.resize(line.taken + connection.framer.len()) {
                return Event::NoMemory;
            }
            began = stage == Stage::Waiting;
        }
    }
}

/// What a host said to a request, with its share of the memory.
pub struct HostAnswer {
    /// What it said.
    pub answer: AnswerBody,
    pub(super) _hold: MemoryReservation,
}

/// An answer, or the beginning of one.
pub enum AnswerBody {
    /// A row, or an error that no other host would spare the client.
    Complete(Answer),
    /// A row so long that it is passed on as it comes.
    Streamed(Box<StreamedRow>),
}

/// How the work on an attempt went on.
enum Progress {
    /// Something happened.
    Event(Event),
    /// The connection takes bytes, and the first of the query can be written.
    MayBegin,
}

/// An attempt's connection and what has been read of its answer.
struct Line {
    connection: Option<Connection>,
    /// What is left of a query of which a part has been written.
    unwritten: Option<Box<dyn Buf>>,
    /// The first write failed for a shortage of this machine: it is repeated after a pause.
    write_failed_locally: bool,
    assembler: AnswerAssembler,
    taken: usize,
    hash: DefaultHasher,
    reply: Option<Reply>,
    hold: MemoryReservation,
}

impl Line {
    fn new(connection: Option<Connection>, hold: MemoryReservation) -> Line {
        let (assembler, hash) = (AnswerAssembler::default(), DefaultHasher::new());
        Line {
            connection,
            unwritten: None,
            write_failed_locally: false,
            assembler,
            taken: 0,
            hash,
            reply: None,
            hold,
        }
    }
}

/// How an answered attempt ended.
fn judge(reply: &Reply) -> End {
    match &reply.answer {
        Answer::Row(_) => End::Served,
        Answer::Error(code) => verdict::end_for_code(code),
    }
}
