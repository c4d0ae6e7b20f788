//! One query of a client: read, decided on, and answered.

use crate::facade::{Decision, Request, SessionRef};
use crate::net::attempt::{AnswerBody, HostAnswer};
use crate::net::client_session::ClientSession;
use crate::net::ending::End;
use crate::net::front::{Front, ReservedRequestId};
use crate::net::pg::{self, Answer, Severity};
use crate::net::set_statement::{self, Setting};
use crate::net::statement::Statement;
use crate::net::streamed_row::StreamedRow;
use crate::{Effect, Need, Time};
use bytes::{Buf, Bytes};
use petrelgauge_lifecycle::client::QueryOutcome;
use petrelgauge_lifecycle::gateway::ServingState;
use petrelgauge_lifecycle::request::{Event, FinalAnswer, RequestState};
use petrelgauge_sessions::SessionKey;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::JoinHandle;

impl ClientSession<'_> {
    /// Answers a query, and says what it was of use for.
    pub(super) async fn query(&mut self, text: Bytes, at: Time) -> Result<QueryOutcome, End> {
        let (mut out, mut used) = (Vec::new(), QueryOutcome::AnsweredLocally);
        let unusable_for = if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            // So the front learns whether to send clients here.
            if self.serving_state.borrow().reports_ready() {
                pg::put_empty(&mut out);
            } else {
                pg::put_error(&mut out, Severity::Error, "57P03", "this gateway is being drained", None);
            }
            None
        } else if let Some(setting) = set_statement::parse(&text) {
            self.set(setting).map(|tag| pg::put_complete(&mut out, tag)).err()
        } else {
            match self.read_statement(&text, at) {
                Ok(taken) => return self.answer(taken).await.map(|()| QueryOutcome::Request),
                Err(unusable) => {
                    used = QueryOutcome::Unusable;
                    Some(unusable)
                }
            }
        };
        if let Some((code, cause)) = unusable_for {
            self.front.counters.bad_statements.add();
            pg::put_error(&mut out, Severity::Error, code, &cause, None);
        }
        pg::put_ready(&mut out);
        self.write(&out[..], at).await?;
        Ok(used)
    }

    /// Carries out what may be set here: the session's tokens. All other settings have no effect.
    fn set(&mut self, setting: Setting) -> Result<&'static str, Unusable> {
        match &setting {
            Setting::SetTokens(text) if self.front.facade.tracks_sessions() => {
                let set = self.front.facade.set_tokens(&mut self.session_tokens, text);
                set.map_err(|cause| ("22023", cause.to_string()))?;
            }
            Setting::ResetTokens | Setting::Discard => self.session_tokens.clear(),
            Setting::SetTokens(_) | Setting::Other | Setting::Reset => {}
        }
        Ok(setting.tag())
    }

    /// The session of a request, if its class carries sessions, with the tokens that its comment or its
    /// connection brought.
    fn session_of(
        &self,
        place: usize,
        statement: &Statement,
        at: Time,
    ) -> Result<Option<SessionRef>, Unusable> {
        let facade = &self.front.facade;
        if !facade.class_has_sessions(place) {
            return Ok(None);
        }
        let name = statement.session.as_ref().unwrap_or(&statement.name);
        let brought = statement
            .session_tokens
            .iter()
            .flat_map(|text| text.split('+'))
            .filter(|token| !token.is_empty());
        let tokens: Vec<&str> = brought.chain(self.session_tokens.for_group(statement.group)).collect();
        facade.session_ref(at, statement.group, name, &tokens).map_err(|cause| ("22023", cause.to_string()))
    }

    fn read_statement(&self, text: &Bytes, at: Time) -> Result<Taken, Unusable> {
        let statement = Statement::parse(text).map_err(|cause| ("42601", cause.to_string()))?;
        let named = self.front.facade.find_class(at, &statement.class, statement.has_idempotency_key);
        let unusable = |code: &'static str, cause: &str| Err((code, cause.to_string()));
        let Some((place, class)) = named else { return unusable("22023", "no such class") };
        if statement.is_write != (class.need == Need::Write) {
            return unusable("42601", "the statement does not fit its class");
        }
        if matches!(class.effect, Effect::Keyed { .. }) && !statement.has_idempotency_key {
            return unusable("22023", "its class asks for a key, and the comment names no k");
        }
        // Two tries' time would be generous; no client of the class waits longer than its deadline.
        let wait = (statement.wait_ms as Time).saturating_mul(1000);
        if wait > self.front.facade.longest_wait(at, &class.name).saturating_mul(2) {
            return unusable("22023", "its class gives no request so long a time");
        }
        if !self.front.facade.may_serve_group(statement.group) {
            return unusable("22023", "no such cluster");
        }
        let session = self.session_of(place, &statement, at)?;
        let Some(claim) = self.front.reserve_request_id(&statement.id) else {
            return unusable("22023", "another open request has this id");
        };
        let reads_session = class.need == Need::Session;
        let request = Request {
            class: place,
            group: statement.group,
            until: at.saturating_add(wait),
            is_retry: statement.is_retry,
            at,
            after: statement.after_ms.filter(|_| reads_session).map(|ms| (ms as Time).saturating_mul(1000)),
            session,
        };
        Ok(Taken { request, statement: Rc::new(statement), _claim: claim })
    }

    /// Sees a request to its one final answer.
    async fn answer(&mut self, taken: Taken) -> Result<(), End> {
        let until = taken.request.until;
        let (mut out, given) = (Vec::new(), self.decide(&taken).await?);
        let counters = &self.front.counters;
        log::debug!(
            "request ended request={} class={} group={} end={} took_us={} left_us={}",
            taken.statement.id,
            taken.statement.class,
            taken.statement.group,
            given.word(),
            self.front.clock.now() - taken.request.at,
            until - self.front.clock.now(),
        );
        match given {
            RequestEnd::Answered(HostAnswer { answer: AnswerBody::Streamed(flow), _hold }) => {
                counters.served.add();
                return self.pass_on(*flow, &taken).await;
            }
            RequestEnd::Answered(HostAnswer { answer: AnswerBody::Complete(Answer::Row(row)), _hold }) => {
                counters.served.add();
                self.front.put_session_token(&mut out, taken.session_key());
                pg::put_ready(&mut out);
                let [first, second, third] =
                    [0, 1, 2].map(|place| row.get(place).cloned().unwrap_or_default());
                let whole = first.chain(second).chain(third).chain(Bytes::from(out));
                return self.write(whole, until).await;
            }
            RequestEnd::Answered(HostAnswer { answer: AnswerBody::Complete(Answer::Error(code)), _hold }) => {
                counters.bad_statements.add();
                pg::put_error(
                    &mut out,
                    Severity::Error,
                    &code,
                    "the database cannot use the statement",
                    None,
                );
            }
            RequestEnd::Refused { wait } => {
                counters.refused.add();
                let hint = (wait > 0).then(|| (wait / 1000).max(1).to_string());
                let text = "too busy for this request now";
                pg::put_error(&mut out, Severity::Error, "53300", text, hint.as_deref());
            }
            RequestEnd::Cancelled => {
                counters.cancelled.add();
                let text = "canceling statement due to user request";
                pg::put_error(&mut out, Severity::Error, "57014", text, None);
                // As with a failure: it may have written.
                self.front.put_session_token(&mut out, taken.session_key());
            }
            RequestEnd::Failed => {
                counters.failed.add();
                let text = "no answer in time; it may have had an effect";
                pg::put_error(&mut out, Severity::Error, "40003", text, None);
                // It may have written: what its session reads next must be as new as this moment.
                self.front.put_session_token(&mut out, taken.session_key());
            }
        }
        pg::put_ready(&mut out);
        self.write(&out[..], until).await
    }

    /// Passes a long row on as it comes. Cut off in the middle, the connection ends, so that its client can tell.
    async fn pass_on(&mut self, mut flow: StreamedRow, taken: &Taken) -> Result<(), End> {
        let (mut out, front) = (Vec::new(), self.front.clone());
        let host = flow.host();
        let passed = async {
            flow.pass(&mut self.writer).await?;
            flow.end().await
        };
        let (complete, mut said) = tokio::select! {
            biased;
            passed = passed => passed?,
            () = self.reader.read_ahead() => return Err(End::ClientLeft),
        };
        let now = front.clock.now();
        if !front.facade.validate_times(now, host, &mut said) {
            front.counters.bad_reports.add();
        }
        front.facade.record_late_report(now, host, said);
        out.extend_from_slice(&complete);
        front.put_session_token(&mut out, taken.session_key());
        pg::put_ready(&mut out);
        self.write(&out[..], front.clock.now()).await
    }

    async fn decide(&mut self, taken: &Taken) -> Result<RequestEnd, End> {
        let front = self.front.clone();
        front.counters.requests.add();
        if self.late() || self.reader.is_grace_over() {
            return Ok(RequestEnd::Refused { wait: 0 });
        }
        let mut ticket = front.facade.admit(taken.request.clone());
        let (mut state, mut given, mut left) = (RequestState::default(), None, End::ClientLeft);
        let mut attempt: Option<JoinHandle<Option<HostAnswer>>> = None;
        // One for all turns: made anew in each, it would miss a cancel that comes in the turn of another event.
        let mut cancelled = pin!(self.cancel_key.cancelled());
        loop {
            // The order matters: what a host served goes before what the decisions say, and both before
            // the client's leaving, which withdraws the request with the ticket.
            let event = tokio::select! {
                biased;
                ended = finished(&mut attempt) => {
                    (attempt, given) = (None, ended);
                    Event::AttemptEnded { answered: given.is_some() }
                }
                decision = ticket.pick() => match decision {
                    // Its own task: a keyed write that failed for its client may still be out.
                    Decision::Send(send) => {
                        let sent = front.hosts.clone().attempt(send, taken.statement.clone());
                        attempt = Some(tokio::task::spawn_local(sent));
                        Event::AttemptStarted
                    }
                    Decision::Reject { wait } => Event::Rejected { wait },
                    Decision::Fail => Event::Failed,
                },
                () = &mut cancelled => Event::Cancelled,
                () = stop_deadline(&front) => Event::GracePeriodOver,
                end = self.reader.left() => match self.reader.is_failed_with(end) {
                    true => Event::GracePeriodOver,
                    false => {
                        left = end;
                        Event::Disconnected
                    }
                },
            };
            match (state.on(event), given.take()) {
                (None, _) => {}
                (Some(FinalAnswer::HostAnswer), Some(given)) => return Ok(RequestEnd::Answered(given)),
                (Some(FinalAnswer::Rejected { wait }), _) => return Ok(RequestEnd::Refused { wait }),
                (Some(FinalAnswer::Failed | FinalAnswer::HostAnswer), _) => return Ok(RequestEnd::Failed),
                // The ticket goes with this: nothing more is sent.
                (Some(FinalAnswer::Cancelled), _) => return Ok(RequestEnd::Cancelled),
                (Some(FinalAnswer::Abandoned), _) => {
                    front.counters.left.add();
                    return Err(left);
                }
            }
        }
    }
}

/// Code and cause of a statement that cannot be used.
type Unusable = (&'static str, String);

/// A request that was taken in.
struct Taken {
    request: Request,
    statement: Rc<Statement>,
    _claim: ReservedRequestId,
}

impl Taken {
    fn session_key(&self) -> Option<SessionKey> {
        self.request.session.as_ref().map(|session| session.key)
    }
}

/// How it ends for its client.
enum RequestEnd {
    Answered(HostAnswer),
    Refused { wait: Time },
    Failed,
    Cancelled,
}

impl RequestEnd {
    fn word(&self) -> &'static str {
        match self {
            RequestEnd::Answered(_) => "given",
            RequestEnd::Refused { .. } => "refused",
            RequestEnd::Failed => "failed",
            RequestEnd::Cancelled => "cancelled",
        }
    }
}

/// Waits until the last answers of a stop are due: the process may be killed soon, and a request that came before the stop
/// may have more time than that.
async fn stop_deadline(front: &Front) {
    // The deadline is known from the stop on, well before the serving state says so.
    let stopped = front
        .serving_state
        .clone()
        .wait_for(|serving_state| *serving_state == ServingState::Stopped)
        .await
        .is_ok();
    match stopped {
        true => front.clock.sleep_until(front.final_answer_deadline.get()).await,
        false => std::future::pending().await,
    }
}

/// Waits for the attempt that is out, if there is one.
async fn finished(attempt: &mut Option<JoinHandle<Option<HostAnswer>>>) -> Option<HostAnswer> {
    match attempt {
        Some(task) => task.await.unwrap_or_default(),
        None => std::future::pending().await,
    }
}
