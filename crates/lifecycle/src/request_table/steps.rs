//! The router's steps, and the resulting commands.

use super::{
    AttemptId, AttemptInFlight, AttemptSpec, RequestTable, RouterTimer, SessionNeed, SessionWrite,
    TableCommand, Tick,
};
use petrelgauge_policy::{mutant, Action, Event, MemberId, Mutant, RequestId, Time};

impl RequestTable {
    /// Steps the router if a step is due: events are pending or the router's timer has expired, and at least
    /// one granularity has passed since the last step.
    pub fn tick(&mut self, now: Time) -> Tick {
        let earliest_step = self.last_step_at.saturating_add(self.granularity);
        let expired_timer = self.timer.filter(|timer| timer.at <= now);
        let is_needed = !self.pending_events.is_empty() || expired_timer.is_some();
        if now < earliest_step || !is_needed {
            return Tick { commands: Vec::new(), next_at: self.next_step_at(earliest_step) };
        }
        self.last_step_at = now;
        self.record_unconfirmed_writes(now);
        let events = self.take_events(now, expired_timer);
        let mut actions = Vec::new();
        self.router.step(now, &events, &mut actions);
        let commands = actions.into_iter().filter_map(|action| self.command_for(now, action)).collect();
        Tick { commands, next_at: self.timer.map(|timer| timer.at.max(now + self.granularity)) }
    }

    /// Clock time at which the next step is due, which is not before `earliest`.
    fn next_step_at(&self, earliest: Time) -> Option<Time> {
        if !self.pending_events.is_empty() {
            return Some(earliest);
        }
        self.timer.map(|timer| timer.at.max(earliest))
    }

    /// Takes the events for a step, and converts the deadlines of requests into the time left as of now.
    fn take_events(&mut self, now: Time, expired_timer: Option<RouterTimer>) -> Vec<Event> {
        let mut events = std::mem::take(&mut self.pending_events);
        for event in &mut events {
            if let Event::Request(arrival) = event {
                arrival.time_left -= now;
            }
        }
        if let Some(RouterTimer { token, .. }) = expired_timer {
            self.timer = None;
            events.push(Event::Timer { token });
        }
        events
    }

    /// Applies an action of the router. Returns the command for the caller, if there is one.
    fn command_for(&mut self, now: Time, action: Action) -> Option<TableCommand> {
        match action {
            Action::Send { request, member, until } => self.issue_attempt(now, request, member, until),
            Action::Reject { request, wait } => {
                self.end_unserved(now, &request)?;
                Some(TableCommand::Reject { request, wait })
            }
            Action::Fail { request } => {
                self.end_unserved(now, &request)?;
                Some(TableCommand::Fail { request })
            }
            Action::Cancel { request, attempt } => self.cancel(AttemptId { request, number: attempt }),
            Action::Timer { token, at } => {
                self.timer = Some(RouterTimer { at, token });
                None
            }
            Action::Log(entry) => Some(TableCommand::Log(entry)),
            // The gateway's settings disable health checks, and the endpoint list is watched continuously.
            Action::Probe { .. } | Action::WatchList | Action::ReadList => None,
        }
    }

    fn cancel(&mut self, id: AttemptId) -> Option<TableCommand> {
        let is_in_flight = self.attempts_in_flight.contains_key(&id);
        if mutant(Mutant::CancellationUnreported) {
            self.attempts_in_flight.remove(&id);
        }
        is_in_flight.then_some(TableCommand::Cancel(id))
    }

    fn issue_attempt(
        &mut self,
        now: Time,
        request: RequestId,
        host: MemberId,
        deadline: Time,
    ) -> Option<TableCommand> {
        let open = self.open_requests.get_mut(&request)?;
        let number = open.attempts;
        open.attempts += 1;
        if let Some(session) = &mut open.session {
            session.position_at_send = self.reported_positions.get(&host).copied();
        }
        let effect = self.classes.class(open.class).effect;
        let write_deadline =
            open.may_have_run_since.map_or(Time::MAX, |first_at| effect.retry_deadline(first_at));
        let attempt = AttemptInFlight {
            class: open.class,
            issued_at: now,
            is_first: number == 0 && !open.is_retry,
            session_write: open.session.as_ref().and_then(SessionNeed::as_write),
        };
        let id = AttemptId { request, number };
        self.attempts_in_flight.insert(id.clone(), attempt);
        Some(TableCommand::Send(AttemptSpec { id, host, deadline, write_deadline, issued_at: now }))
    }
}

impl SessionNeed {
    fn as_write(&self) -> Option<SessionWrite> {
        let is_write = self.minimum_position.is_none();
        is_write.then_some(SessionWrite { key: self.key, arrived_at: self.arrived_at })
    }
}
