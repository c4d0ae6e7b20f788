//! The router's steps, and the orders that follow from them.

use super::*;

impl RequestTable {
    /// Steps the router if it is time. Returns the orders, and when to call again at the latest.
    pub fn tick(&mut self, now: Time) -> (Vec<Order>, Option<Time>) {
        let earliest = self.stepped_at.saturating_add(self.granularity);
        let timer = self.timer_at.filter(|(at, _)| *at <= now);
        if now < earliest || (self.queue.is_empty() && timer.is_none()) {
            let due = if self.queue.is_empty() { self.timer_at.map(|(at, _)| at) } else { Some(earliest) };
            return (Vec::new(), due.map(|at| at.max(earliest)));
        }
        self.stepped_at = now;
        self.record_unconfirmed_writes(now);
        let mut events = std::mem::take(&mut self.queue);
        for event in &mut events {
            if let Event::Request { time_left, .. } = event {
                *time_left -= now;
            }
        }
        if let Some((_, token)) = timer {
            self.timer_at = None;
            events.push(Event::Timer { token });
        }
        let mut actions = Vec::new();
        self.router.step(now, &events, &mut actions);
        let orders = actions.into_iter().filter_map(|action| self.order(now, action)).collect();
        (orders, self.timer_at.map(|(at, _)| at.max(now + self.granularity)))
    }

    /// The order for an action of the router, if the action needs one.
    fn order(&mut self, now: Time, action: Action) -> Option<Order> {
        match action {
            Action::Send { request, member, until } => self.order_attempt(now, request, member, until),
            Action::Reject { request, wait } => {
                self.end(now, &request)?;
                Some(Order::Reject { request, wait })
            }
            Action::Fail { request } => {
                self.end(now, &request)?;
                Some(Order::Fail { request })
            }
            Action::Cancel { request, attempt } => {
                let id = (request.clone(), attempt);
                let is_in_flight = self.in_flight.contains_key(&id);
                if mutant(Mutant::CancellationUnreported) {
                    self.in_flight.remove(&id);
                }
                is_in_flight.then_some(Order::Cancel { request, attempt })
            }
            Action::Timer { token, at } => {
                self.timer_at = Some((at, token));
                None
            }
            Action::Log { text } => Some(Order::Log(text)),
            // The gateway's settings disable health checks, and it watches the endpoint list continuously.
            Action::Probe { .. } | Action::WatchList | Action::ReadList => None,
        }
    }

    fn order_attempt(&mut self, now: Time, request: RequestId, host: MemberId, until: Time) -> Option<Order> {
        let open = self.open.get_mut(&request)?;
        let attempt = open.attempts;
        let first = attempt == 0 && !open.is_retry;
        open.attempts += 1;
        if let Some(session) = &mut open.session {
            session.position_at_send = self.reported_positions.get(&host).copied();
        }
        let class = open.class;
        let effect = self.classes.class(class).effect;
        let write_by = open.may_have_run_since.map_or(Time::MAX, |first| effect.retry_deadline(first));
        let writes = open.session.as_ref().filter(|session| session.minimum_position.is_none());
        let writes = writes.map(|session| (session.key, session.arrived));
        self.in_flight.insert((request.clone(), attempt), AttemptInFlight { class, at: now, first, writes });
        Some(Order::Send(Send { request, attempt, host, until, write_by, at: now }))
    }
}
