//! One query of a client: read, decided on, and answered.

use crate::client::context::ClientContext;
use crate::client::request_parser::{ClientRequest, UnusableStatement, MICROSECONDS_PER_MILLISECOND};
use crate::client::session::ClientSession;
use crate::facade::Decision;
use crate::host::attempt::{AnswerBody, HostAnswer};
use crate::host::streamed_row::{RowCompletion, StreamedRow};
use crate::postgres::sqlstate;
use crate::postgres::{self, Answer, Severity};
use crate::sql::set_statement::{self, Setting};
use crate::Time;
use bytes::{Buf, Bytes};
use petrelgauge_lifecycle::client::QueryOutcome;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::gateway::ServingState;
use petrelgauge_lifecycle::request::{Event, FinalAnswer, RequestState};
use std::pin::pin;
use tokio::task::JoinHandle;

/// How a request ends for its client.
enum RequestEnd {
    Answered(HostAnswer),
    /// Shed: not sent, or not run. 0 if the client need not wait before it asks again.
    Rejected {
        retry_after: Time,
    },
    Failed,
    Cancelled,
}

impl RequestEnd {
    /// What it is called in the log.
    fn log_name(&self) -> &'static str {
        match self {
            RequestEnd::Answered(_) => "answered",
            RequestEnd::Rejected { .. } => "rejected",
            RequestEnd::Failed => "failed",
            RequestEnd::Cancelled => "cancelled",
        }
    }
}

/// An error that a client gets as its answer.
struct ErrorAnswer<'a> {
    sqlstate: &'a str,
    message: &'a str,
    detail: Option<String>,
    /// The statement may have run: what its session reads next must be as new as this moment, and so its token is sent.
    may_have_run: bool,
}

impl<'a> ErrorAnswer<'a> {
    fn new(sqlstate: &'a str, message: &'a str) -> ErrorAnswer<'a> {
        ErrorAnswer { sqlstate, message, detail: None, may_have_run: false }
    }
}

impl ClientSession<'_> {
    /// Answers a query that came at this time, and says what it was of use for.
    ///
    /// # Errors
    ///
    /// How the connection ended.
    pub(super) async fn query(&mut self, text: Bytes, at: Time) -> Result<QueryOutcome, End> {
        let mut out = Vec::new();
        let used = if is_empty_query(&text) {
            self.put_empty_query_answer(&mut out);
            QueryOutcome::AnsweredLocally
        } else if let Some(setting) = set_statement::parse(&text) {
            match self.apply(setting) {
                Ok(tag) => postgres::put_complete(&mut out, tag),
                Err(error) => self.put_unusable(&mut out, &error),
            }
            QueryOutcome::AnsweredLocally
        } else {
            match self.context.parse_request(&text, at, &self.session_tokens) {
                Ok(request) => return self.answer(request).await.map(|()| QueryOutcome::Request),
                Err(error) => self.put_unusable(&mut out, &error),
            }
            QueryOutcome::Unusable
        };
        postgres::put_ready(&mut out);
        self.write(&out[..], at).await?;
        Ok(used)
    }

    /// The answer to an empty query, by which load balancers learn whether to send clients here.
    fn put_empty_query_answer(&self, out: &mut Vec<u8>) {
        if self.serving_state.borrow().reports_ready() {
            postgres::put_empty(out);
        } else {
            let message = "this gateway is being drained";
            postgres::put_error(out, Severity::Error, sqlstate::CANNOT_CONNECT_NOW, message, None);
        }
    }

    fn put_unusable(&self, out: &mut Vec<u8>, error: &UnusableStatement) {
        self.context.counters.bad_statements.add();
        postgres::put_error(out, Severity::Error, error.sqlstate(), &error.to_string(), None);
    }

    /// Carries out a setting, and gives the tag of its completion. Only the session's tokens have an effect here.
    fn apply(&mut self, setting: Setting) -> Result<&'static str, UnusableStatement> {
        match &setting {
            Setting::SetTokens(text) if self.context.facade.read(|table| table.tracks_sessions()) => {
                self.context.facade.read(|table| table.set_tokens(&mut self.session_tokens, text))?;
            }
            Setting::ResetTokens | Setting::Discard => self.session_tokens.clear(),
            Setting::SetTokens(_) | Setting::Other | Setting::Reset => {}
        }
        Ok(setting.tag())
    }

    /// Sees a request to its one final answer.
    async fn answer(&mut self, request: ClientRequest) -> Result<(), End> {
        let end = self.decide(&request).await?;
        self.log_end(&request, &end);
        let context = self.context.clone();
        let counters = &context.counters;
        match end {
            RequestEnd::Answered(HostAnswer { answer, memory }) => match answer {
                AnswerBody::Streamed(row) => {
                    counters.served.add();
                    self.pass_on(*row, &request).await
                }
                AnswerBody::Complete(Answer::Row(messages)) => {
                    counters.served.add();
                    self.write_row(&messages, &request).await
                }
                AnswerBody::Complete(Answer::Error(code)) => {
                    drop(memory);
                    counters.bad_statements.add();
                    let error = ErrorAnswer::new(&code, "the database cannot use the statement");
                    self.write_error(error, &request).await
                }
            },
            RequestEnd::Rejected { retry_after } => {
                counters.rejected.add();
                let detail = (retry_after > 0).then(|| retry_after_detail(retry_after));
                let message = "too busy for this request now";
                let error = ErrorAnswer::new(sqlstate::TOO_MANY_CONNECTIONS, message);
                self.write_error(ErrorAnswer { detail, ..error }, &request).await
            }
            RequestEnd::Cancelled => {
                counters.cancelled.add();
                let message = "canceling statement due to user request";
                let error = ErrorAnswer::new(sqlstate::QUERY_CANCELED, message);
                self.write_error(ErrorAnswer { may_have_run: true, ..error }, &request).await
            }
            RequestEnd::Failed => {
                counters.failed.add();
                let message = "no answer in time; it may have had an effect";
                let error = ErrorAnswer::new(sqlstate::STATEMENT_COMPLETION_UNKNOWN, message);
                self.write_error(ErrorAnswer { may_have_run: true, ..error }, &request).await
            }
        }
    }

    fn log_end(&self, request: &ClientRequest, end: &RequestEnd) {
        log::debug!(
            "request ended request={} class={} group={} end={} took_us={} left_us={}",
            request.statement.id,
            request.statement.class,
            request.statement.group,
            end.log_name(),
            self.context.clock.now() - request.request.arrived_at,
            request.request.deadline - self.context.clock.now(),
        );
    }

    /// Writes a complete row as the host sent it, without copying it.
    async fn write_row(&mut self, messages: &[Bytes], request: &ClientRequest) -> Result<(), End> {
        let mut out = Vec::new();
        self.context.put_session_token(&mut out, request.session_key());
        postgres::put_ready(&mut out);
        let [description, row, completion] =
            [0, 1, 2].map(|index| messages.get(index).cloned().unwrap_or_default());
        let answer = description.chain(row).chain(completion).chain(Bytes::from(out));
        self.write(answer, request.request.deadline).await
    }

    async fn write_error(&mut self, error: ErrorAnswer<'_>, request: &ClientRequest) -> Result<(), End> {
        let mut out = Vec::new();
        postgres::put_error(
            &mut out,
            Severity::Error,
            error.sqlstate,
            error.message,
            error.detail.as_deref(),
        );
        if error.may_have_run {
            self.context.put_session_token(&mut out, request.session_key());
        }
        postgres::put_ready(&mut out);
        self.write(&out[..], request.request.deadline).await
    }

    /// Passes a long row on as it comes. Cut off in the middle, the connection ends, so that its client can tell.
    async fn pass_on(&mut self, mut row: StreamedRow, request: &ClientRequest) -> Result<(), End> {
        let context = self.context.clone();
        let host = row.host();
        let passed = async {
            row.pass_on(&mut self.writer).await?;
            row.complete().await
        };
        let RowCompletion { command_complete, mut outcome } = tokio::select! {
            biased;
            completion = passed => completion?,
            () = self.reader.read_ahead() => return Err(End::ClientLeft),
        };
        let now = context.clock.now();
        if !context.facade.update(|table| table.validate_times(now, host, None, &mut outcome)) {
            context.counters.bad_reports.add();
        }
        context.facade.update(|table| table.record_late_report(now, host, outcome));
        let mut out = command_complete.to_vec();
        context.put_session_token(&mut out, request.session_key());
        postgres::put_ready(&mut out);
        self.write(&out[..], context.clock.now()).await
    }

    /// Admits a request and waits for how it ends, making the attempts that are decided on.
    async fn decide(&mut self, request: &ClientRequest) -> Result<RequestEnd, End> {
        let context = self.context.clone();
        context.counters.requests.add();
        if self.late() || self.reader.is_grace_over() {
            return Ok(RequestEnd::Rejected { retry_after: 0 });
        }
        let mut ticket = context.facade.admit(request.request.clone());
        let mut state = RequestState::default();
        let mut attempt: Option<JoinHandle<Option<HostAnswer>>> = None;
        // One for all turns: made anew in each, it would miss a cancel that comes in the turn of another event.
        let mut cancelled = pin!(self.cancel_key.cancelled());
        loop {
            let (mut host_answer, mut client_end) = (None, End::ClientLeft);
            // The order matters: what a host served goes before what the decisions say, and both before
            // the client's leaving, which withdraws the request with the ticket.
            let event = tokio::select! {
                biased;
                answer = finished(&mut attempt) => {
                    (attempt, host_answer) = (None, answer);
                    Event::AttemptEnded { answered: host_answer.is_some() }
                }
                decision = ticket.pick() => match decision {
                    // Its own task: a write with an idempotency key that failed for its client may still be open.
                    Decision::Send(send) => {
                        let sent = context.host_pool.clone().attempt(send, request.statement.clone());
                        attempt = Some(tokio::task::spawn_local(sent));
                        Event::AttemptStarted
                    }
                    Decision::Reject { wait } => Event::Rejected { wait },
                    Decision::Fail => Event::Failed,
                },
                () = &mut cancelled => Event::Cancelled,
                () = stop_deadline(&context) => Event::GracePeriodOver,
                end = self.reader.left() => if self.reader.is_failed_with(end) {
                    Event::GracePeriodOver
                } else {
                    client_end = end;
                    Event::Disconnected
                },
            };
            if let Some(final_answer) = state.on(event) {
                if final_answer == FinalAnswer::Abandoned {
                    context.counters.left.add();
                    return Err(client_end);
                }
                // The ticket goes with this: nothing more is sent.
                return Ok(request_end(final_answer, host_answer));
            }
        }
    }
}

/// How a request ends for its client that nobody withdrew.
fn request_end(final_answer: FinalAnswer, host_answer: Option<HostAnswer>) -> RequestEnd {
    match (final_answer, host_answer) {
        (FinalAnswer::HostAnswer, Some(answer)) => RequestEnd::Answered(answer),
        (FinalAnswer::Rejected { wait }, _) => RequestEnd::Rejected { retry_after: wait },
        (FinalAnswer::Cancelled, _) => RequestEnd::Cancelled,
        (FinalAnswer::Failed | FinalAnswer::HostAnswer | FinalAnswer::Abandoned, _) => RequestEnd::Failed,
    }
}

fn is_empty_query(text: &[u8]) -> bool {
    text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';')
}

/// The time after which a client may ask again, in whole milliseconds and at least one, as the error's detail.
fn retry_after_detail(retry_after: Time) -> String {
    (retry_after / MICROSECONDS_PER_MILLISECOND).max(1).to_string()
}

/// Waits until the last answers of a stop are due: the process may be killed soon, and a request that came before the stop
/// may have more time than that.
async fn stop_deadline(context: &ClientContext) {
    // The deadline is known from the stop on, well before the serving state says so.
    let mut serving_state = context.serving_state.clone();
    if serving_state.wait_for(|state| *state == ServingState::Stopped).await.is_ok() {
        context.clock.sleep_until(context.final_answer_deadline.get()).await;
    } else {
        std::future::pending().await
    }
}

/// Waits for the attempt that is open, if there is one. Cancel safe.
async fn finished(attempt: &mut Option<JoinHandle<Option<HostAnswer>>>) -> Option<HostAnswer> {
    match attempt {
        Some(task) => task.await.unwrap_or_default(),
        None => std::future::pending().await,
    }
}
