//! The decisions' steps, and what they order.

use super::*;

impl RequestTable {
    /// Steps the module if it is time; gives what is to be done and when to call again at the latest.
    pub fn tick(&mut self, now: Time) -> (Vec<Order>, Option<Time>) {
        let earliest = self.stepped_at.saturating_add(self.granularity);
        let timer = self.timer_at.filter(|(at, _)| *at <= now);
        if now < earliest || (self.queue.is_empty() && timer.is_none()) {
            let due = if self.queue.is_empty() { self.timer_at.map(|(at, _)| at) } else { Some(earliest) };
            return (Vec::new(), due.map(|at| at.max(earliest)));
        }
        self.stepped_at = now;
        self.look(now);
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

    fn order(&mut self, now: Time, action: Action) -> Option<Order> {
        match action {
            Action::Send { request, member, until } => {
                let open = self.open.get_mut(&request)?;
                let attempt = open.attempts;
                let first = attempt == 0 && !open.is_retry;
                open.attempts += 1;
                if let Some(watch) = &mut open.watch {
                    watch.before = self.told.get(&member).copied();
                }
                let class = open.class;
                let effect = self.rules.class(class).effect;
                let write_by = open.ran_from.map_or(Time::MAX, |first| effect.retry_deadline(first));
                let writes = open.watch.as_ref().filter(|watch| watch.floor.is_none());
                let writes = writes.map(|watch| (watch.key, watch.arrived));
                self.out.insert((request.clone(), attempt), OutAttempt { class, at: now, first, writes });
                Some(Order::Send(Send { request, attempt, host: member, until, write_by, at: now }))
            }
            Action::Reject { request, wait } => {
                self.end(now, &request)?;
                Some(Order::Reject { request, wait })
            }
            Action::Fail { request } => {
                self.end(now, &request)?;
                Some(Order::Fail { request })
            }
            Action::Cancel { request, attempt } => {
                let name = (request.clone(), attempt);
                let out = self.out.contains_key(&name);
                if mutant(Mutant::CancellationUnreported) {
                    self.out.remove(&name);
                }
                out.then_some(Order::Cancel { request, attempt })
            }
            Action::Timer { token, at } => {
                self.timer_at = Some((at, token));
                None
            }
            Action::Log { text } => Some(Order::Log(text)),
            // The gateway's settings forbid probes, and it watches the list all the time unasked.
            Action::Probe { .. } | Action::WatchList | Action::ReadList => None,
        }
    }
}
