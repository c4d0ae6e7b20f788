//! One request of a client, from its admission to its one final answer.

use crate::client::context::ClientContext;
use crate::client::request_parser::ClientRequest;
use crate::client::session::ClientSession;
use crate::facade::{Decision, RequestHandle};
use crate::host::attempt::HostAnswer;
use crate::host::forwarded_statement::ForwardedStatement;
use crate::Time;
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::gateway::ServingState;
use petrelgauge_lifecycle::request::{Event, FinalAnswer, RequestState};
use std::pin::pin;
use std::rc::Rc;
use tokio::task::JoinHandle;

/// The final answer of a request that its client still waits for.
pub(super) enum RequestEnd {
    Answered(HostAnswer),
    /// The request was rejected and was not executed.
    Rejected {
        /// Retry-After for the client (microseconds); 0 for none.
        retry_after: Time,
    },
    /// The request may have been executed.
    Failed,
    Cancelled,
}

impl RequestEnd {
    fn as_str(&self) -> &'static str {
        match self {
            RequestEnd::Answered(_) => "answered",
            RequestEnd::Rejected { .. } => "rejected",
            RequestEnd::Failed => "failed",
            RequestEnd::Cancelled => "cancelled",
        }
    }
}

impl ClientSession<'_> {
    /// Runs a request and writes its final answer.
    ///
    /// # Errors
    ///
    /// Returns how the connection ended if that was before the answer was written.
    pub(super) async fn answer_request(&mut self, request: ClientRequest) -> Result<(), End> {
        let end = self.run_request(&request).await?;
        let now = self.context.clock.now();
        log::debug!(
            "request ended request={} class={} group={} end={} took_us={} left_us={} settings_version={}",
            request.statement.id,
            request.statement.class,
            request.statement.group,
            end.as_str(),
            now - request.request.arrived_at,
            request.request.deadline - now,
            request.received_under,
        );
        self.write_final_answer(end, &request).await
    }

    /// Admits a request and makes the attempts that the router decides on, until the request has its final
    /// answer.
    ///
    /// # Errors
    ///
    /// Returns how the client disconnected if that was before the final answer; the request is abandoned.
    async fn run_request(&mut self, request: &ClientRequest) -> Result<RequestEnd, End> {
        let context = self.context.clone();
        context.counters.requests.add();
        if self.is_past_final_answer() || self.reader.is_answer_grace_period_over() {
            return Ok(RequestEnd::Rejected { retry_after: 0 });
        }
        let mut open = OpenRequest::admit(&context, request);
        let mut state = RequestState::default();
        let mut disconnected_as = End::ClientLeft;
        // Created once: a future recreated in each iteration would miss a cancel that arrives together with
        // another event.
        let mut cancelled = pin!(self.cancel_key.cancelled());
        loop {
            // A host's answer takes precedence over decisions, and both over the client's disconnect.
            let event = tokio::select! {
                biased;
                event = open.next_event() => event,
                () = &mut cancelled => Event::Cancelled,
                () = final_answer_deadline(&context) => Event::GracePeriodExpired,
                end = self.reader.disconnected() => if self.reader.is_failed_with(end) {
                    Event::GracePeriodExpired
                } else {
                    disconnected_as = end;
                    Event::Disconnected
                },
            };
            match state.on(event) {
                None => {}
                Some(FinalAnswer::Abandoned) => {
                    context.counters.left.add();
                    return Err(disconnected_as);
                }
                Some(final_answer) => return Ok(open.end(final_answer)),
            }
        }
    }
}

/// An admitted request. Dropping it abandons the request, while an attempt in flight runs to completion.
struct OpenRequest<'a> {
    context: &'a ClientContext,
    statement: &'a Rc<ForwardedStatement>,
    handle: RequestHandle,
    /// The attempt in flight.
    attempt: Option<JoinHandle<Option<HostAnswer>>>,
    /// The host's answer that is the final one.
    host_answer: Option<HostAnswer>,
}

impl<'a> OpenRequest<'a> {
    fn admit(context: &'a ClientContext, request: &'a ClientRequest) -> OpenRequest<'a> {
        OpenRequest {
            context,
            statement: &request.statement,
            handle: context.facade.admit(request.request.clone()),
            attempt: None,
            host_answer: None,
        }
    }

    /// Waits until the attempt in flight ends or another decision arrives. Cancel safe.
    async fn next_event(&mut self) -> Event {
        tokio::select! {
            biased;
            host_answer = attempt_ended(&mut self.attempt) => {
                self.attempt = None;
                self.host_answer = host_answer;
                Event::AttemptEnded { answered: self.host_answer.is_some() }
            }
            decision = self.handle.next_decision() => self.on_decision(decision),
        }
    }

    fn on_decision(&mut self, decision: Decision) -> Event {
        match decision {
            Decision::Send(attempt) => {
                let run = self.context.host_pool.clone().attempt(attempt, self.statement.clone());
                // Runs in its own task, since it may outlive the request: the attempt of a write that was
                // reported to its client as failed may still be in flight.
                self.attempt = Some(tokio::task::spawn_local(run));
                Event::AttemptStarted
            }
            Decision::Reject { wait } => Event::Rejected { wait },
            Decision::Fail => Event::Failed,
        }
    }

    fn end(self, final_answer: FinalAnswer) -> RequestEnd {
        match (final_answer, self.host_answer) {
            (FinalAnswer::HostAnswer, Some(answer)) => RequestEnd::Answered(answer),
            (FinalAnswer::Rejected { wait }, _) => RequestEnd::Rejected { retry_after: wait },
            (FinalAnswer::Cancelled, _) => RequestEnd::Cancelled,
            (FinalAnswer::Failed | FinalAnswer::HostAnswer | FinalAnswer::Abandoned, _) => RequestEnd::Failed,
        }
    }
}

/// Waits for the end of the attempt in flight; forever if there is none. Cancel safe.
async fn attempt_ended(attempt: &mut Option<JoinHandle<Option<HostAnswer>>>) -> Option<HostAnswer> {
    match attempt {
        Some(task) => task.await.unwrap_or_default(),
        None => std::future::pending().await,
    }
}

/// Waits until the time by which a stopping gateway must have answered open requests: the process may be
/// killed after it, and a request that was admitted before the stop may have a later deadline.
async fn final_answer_deadline(context: &ClientContext) {
    // The deadline is set well before the serving state changes.
    let mut serving_state = context.serving_state.clone();
    if serving_state.wait_for(|state| *state == ServingState::Stopped).await.is_ok() {
        context.clock.sleep_until(context.final_answer_deadline.get()).await;
    } else {
        std::future::pending().await
    }
}
