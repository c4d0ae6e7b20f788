//! Executing the commands of the request table, and reporting attempts. Most properties are checked here.

use crate::attempts::{
    Attempt, Attempts, ABANDONED, ATTEMPTS, DRAINED, DRAIN_GRACE, GRANULE, MAX_ATTEMPTS, ONE_ANSWER,
    ONE_ATTEMPT, REPORTED, RETRY, SAFE_REJECTION,
};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_lifecycle::exchange::Exchange;
use petrelgauge_lifecycle::request_table::{AttemptSpec, Outcome, TableCommand};
use petrelgauge_policy::{Effect, MemberId, Role, Time};

/// Connect timeout of an attempt (microseconds).
const CONNECT_TIMEOUT: Time = 3 * GRANULE;
/// Lag of the replicas (microseconds).
const REPLICA_LAG: Time = 20_000;

impl Attempts {
    /// Steps the router and executes the commands that follow.
    pub(super) fn step_router(&mut self) {
        let commands = self.table.tick(self.now).commands;
        commands.into_iter().for_each(|command| self.execute(command));
        self.compare_in_flight();
    }

    fn execute(&mut self, command: TableCommand) {
        match command {
            TableCommand::Send(spec) => self.start_attempt(spec),
            TableCommand::Reject { request, .. } => {
                if self.effect_of(&request) != Effect::Safe && self.may_have_run_since(&request).is_some() {
                    self.violate(SAFE_REJECTION);
                }
                self.answer(self.request_index(&request));
            }
            TableCommand::Fail { request } => self.answer(self.request_index(&request)),
            TableCommand::Cancel(id) => {
                for attempt in &mut self.attempts {
                    attempt.cancelled |= attempt.spec.id == id;
                }
            }
            TableCommand::Log(_) => {}
        }
    }

    fn start_attempt(&mut self, spec: AttemptSpec) {
        self.check_start(&spec);
        // All connections are new; reused ones are explored by the model `connection`.
        let exchange = Exchange::connecting(self.now + CONNECT_TIMEOUT, spec.deadline)
            .with_write_deadline(spec.write_deadline);
        self.attempts.push(Attempt {
            spec,
            exchange,
            may_have_run: false,
            cancelled: false,
            reported: false,
        });
    }

    fn check_start(&mut self, spec: &AttemptSpec) {
        let request = &self.requests[self.request_index(&spec.id.request)];
        if !request.is_open() || self.now >= request.until {
            self.violate(ABANDONED);
        }
        if self.attempts_of(&spec.id.request).any(|attempt| !attempt.reported) {
            self.violate(ONE_ATTEMPT);
        }
        if self.attempts_of(&spec.id.request).count() >= MAX_ATTEMPTS {
            self.violate(ATTEMPTS);
        }
        if self.draining.is_some_and(|(member, at)| member == spec.host && self.now > at + DRAIN_GRACE) {
            self.violate(DRAINED);
        }
        let may_start = match (self.effect_of(&spec.id.request), self.may_have_run_since(&spec.id.request)) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Keyed { window, .. }, Some(first)) => self.now <= first + window,
            (Effect::Unsafe, Some(_)) => false,
        };
        if !may_start {
            self.violate(RETRY);
        }
    }

    /// Checks that a retry was written within the window of its key, however long its connection took.
    pub(super) fn check_written(&mut self, index: usize) {
        let request = self.attempts[index].spec.id.request.clone();
        let Effect::Keyed { window, .. } = self.effect_of(&request) else { return };
        if self.may_have_run_since(&request).is_some_and(|first| self.now > first + window) {
            self.violate(RETRY);
        }
    }

    /// Delivers a final answer to the client of this request.
    fn answer(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.answers += 1;
        if request.answers > 1 {
            self.violate(ONE_ANSWER);
        }
    }

    /// Steps an attempt, and reports it if it has ended.
    pub(super) fn on_event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let attempt = &mut self.attempts[index];
        attempt.exchange.on(now, event);
        let Some(end) = attempt.exchange.ended() else { return };
        // The connection must be disposed of first: only that yields the end to report.
        let Some(finished) = attempt.exchange.clone().finish(false) else { return };
        if matches!(end, End::Rejected | End::QueueFull) {
            attempt.may_have_run = false;
        }
        attempt.reported = true;
        let spec = attempt.spec.clone();
        let outcome = self.outcome(spec.host, finished.end);
        if self.table.report(now, &spec, outcome) {
            self.answer(self.request_index(&spec.id.request));
        }
        self.compare_in_flight();
    }

    /// The outcome that the gateway reports for an attempt at this host with this end.
    fn outcome(&self, host: MemberId, end: End) -> Outcome {
        let silent = Outcome::without_report(end.to_router_ending());
        if !end.is_answer() {
            return silent;
        }
        let (role, position) = if host == self.primary {
            (Role::Primary, self.now)
        } else {
            (Role::Replica, self.now - REPLICA_LAG)
        };
        Outcome { role: Some(role), position: Some(position), ..silent }
    }

    /// Checks that the request table counts exactly the attempts in flight.
    fn compare_in_flight(&mut self) {
        let in_flight = self.attempts.iter().filter(|attempt| !attempt.reported).count();
        if self.table.in_flight_attempt_count() != in_flight {
            self.violate(REPORTED);
        }
    }
}
