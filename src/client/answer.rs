//! Writes the final answer of a request to its client.

use crate::client::request::RequestEnd;
use crate::client::request_parser::{ClientRequest, MICROSECONDS_PER_MILLISECOND};
use crate::client::session::ClientSession;
use crate::host::attempt::{AnswerBody, HostAnswer};
use crate::host::streamed_row::{RowCompletion, StreamedRow};
use crate::postgres::{self, sqlstate, Answer, Severity};
use crate::Time;
use bytes::{Buf, Bytes};
use petrelgauge_lifecycle::ending::End;

/// An error that is sent to a client as the answer to a request.
struct ErrorAnswer<'a> {
    sqlstate: &'a str,
    message: &'a str,
    detail: Option<String>,
    /// Whether the statement may have been executed. If so, the session's token is sent with the error, since
    /// the session's next read must see what the statement may have written.
    may_have_run: bool,
}

impl<'a> ErrorAnswer<'a> {
    fn new(sqlstate: &'a str, message: &'a str) -> ErrorAnswer<'a> {
        ErrorAnswer { sqlstate, message, detail: None, may_have_run: false }
    }
}

impl ClientSession<'_> {
    /// Writes the final answer of a request.
    ///
    /// # Errors
    ///
    /// Returns how the connection ended if that was before the complete answer was written.
    pub(super) async fn write_final_answer(
        &mut self,
        end: RequestEnd,
        request: &ClientRequest,
    ) -> Result<(), End> {
        let context = self.context.clone();
        let counters = &context.counters;
        let error = match end {
            RequestEnd::Answered(answer) => return self.write_host_answer(answer, request).await,
            RequestEnd::Rejected { retry_after } => {
                counters.rejected.add();
                let detail = (retry_after > 0).then(|| retry_after_detail(retry_after));
                let error = ErrorAnswer::new(sqlstate::TOO_MANY_CONNECTIONS, "too busy for this request now");
                ErrorAnswer { detail, ..error }
            }
            RequestEnd::Cancelled => {
                counters.cancelled.add();
                let message = "canceling statement due to user request";
                ErrorAnswer { may_have_run: true, ..ErrorAnswer::new(sqlstate::QUERY_CANCELED, message) }
            }
            RequestEnd::Failed => {
                counters.failed.add();
                let message = "no answer in time; it may have had an effect";
                let error = ErrorAnswer::new(sqlstate::STATEMENT_COMPLETION_UNKNOWN, message);
                ErrorAnswer { may_have_run: true, ..error }
            }
        };
        self.write_error(error, request).await
    }

    async fn write_host_answer(&mut self, answer: HostAnswer, request: &ClientRequest) -> Result<(), End> {
        let context = self.context.clone();
        // The answer's memory stays reserved until the answer is written.
        let HostAnswer { answer, memory: _memory } = answer;
        match answer {
            AnswerBody::Streamed(row) => {
                context.counters.served.add();
                self.stream_row(*row, request).await
            }
            AnswerBody::Complete(Answer::Row(messages)) => {
                context.counters.served.add();
                self.write_row(&messages, request).await
            }
            AnswerBody::Complete(Answer::Error(code)) => {
                context.counters.bad_statements.add();
                let error = ErrorAnswer::new(&code, "the database cannot use the statement");
                self.write_error(error, request).await
            }
        }
    }

    /// Writes a complete row exactly as the host sent it, without copying it.
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
        let detail = error.detail.as_deref();
        postgres::put_error(&mut out, Severity::Error, error.sqlstate, error.message, detail);
        if error.may_have_run {
            self.context.put_session_token(&mut out, request.session_key());
        }
        postgres::put_ready(&mut out);
        self.write(&out[..], request.request.deadline).await
    }

    /// Streams a long row from its host to the client. If the row ends early, the client's connection is
    /// closed, which is how the client detects it.
    async fn stream_row(&mut self, mut row: StreamedRow, request: &ClientRequest) -> Result<(), End> {
        let context = self.context.clone();
        let host = row.host();
        let streamed = async {
            row.forward(&mut self.writer).await?;
            row.complete().await
        };
        let RowCompletion { command_complete, mut outcome } = tokio::select! {
            biased;
            completion = streamed => completion?,
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
}

/// The DETAIL of an error with a Retry-After: whole milliseconds, at least one.
fn retry_after_detail(retry_after: Time) -> String {
    (retry_after / MICROSECONDS_PER_MILLISECOND).max(1).to_string()
}
