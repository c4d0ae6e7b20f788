//! Requests: how they come in, the order they wait in, and how the router ends them.

use super::*;

impl Router {
    pub(super) fn request(&mut self, event: &Event) {
        let Event::Request { request, class, group, time_left, repeat, floor } = event else { return };
        let chance = self.uniform_sample();
        let Some(spec) = self.set.classes.get(*class) else {
            return self.actions.push(Action::Refuse { request: request.clone(), wait: 0 });
        };
        // Most requests are first tries with one span: well less time than the middle means a later try,
        // whose first is so much older. A middle, for some later tries come with more time than that.
        let typical = &mut self.typical_try[*class];
        let step = if *typical == 0 { *time_left } else { *typical / 64 };
        if !repeat {
            *typical += if *time_left > *typical { step } else { -step };
        }
        let age = if *time_left < *typical - *typical / 16 { spec.deadline - time_left } else { 0 };
        // A marked repeat was most likely refused by a router that had held it while there was hope.
        let age = if *repeat { age.max(share_of(spec.latency_target, HOPE)) } else { age };
        // The least worth for its work goes first; what is worth k times as much is shed with the k-th power.
        let reads = self.set.classes.iter().filter(|c| c.need != Need::Write);
        let least = reads.map(weight_for_work).fold(f64::INFINITY, f64::min).max(1e-12);
        let shed = if spec.need == Need::Write { 0.0 } else { self.shed };
        if shed > 0.0 && chance < shed.powf(weight_for_work(spec) / least) {
            let wait = self.set.max_wait_hint;
            return self.actions.push(Action::Refuse { request: request.clone(), wait });
        }
        let (seq, _) = (self.next, self.next += 1);
        self.probe_budget += PROBE_SPEND;
        self.trial_budget = (self.trial_budget + TRIAL_SPEND).min(MOST_TRIALS);
        self.names.insert(request.clone(), seq);
        let state = Request {
            id: request.clone(),
            class: *class,
            group: *group,
            first_arrived_at: self.now - age.max(0),
            deadline: (self.now + time_left).min(self.set.last),
            unsent_deadline: self.now + (time_left / 2 - self.set.way).max(time_left / 4),
            minimum_position: *floor,
            ..Request::default()
        };
        self.requests.insert(seq, state);
        self.enqueue(*group, seq);
    }

    /// Worth for each unit of work, judged now.
    pub(super) fn value_density(&self, req: &Request) -> f64 {
        let class = &self.set.classes[req.class];
        let late = self.now - req.first_arrived_at >= share_of(class.latency_target, HOPE);
        // What only the primary can do goes first: other members may yet take the reads.
        let bound = matches!(class.need, Need::Write | Need::Strong) as u8 as f64;
        (1.0 + bound) * weight_for_work(class) * if late { class.late_share } else { 1.0 }
    }

    pub(super) fn dispatch_queue(&mut self, group: GroupId) {
        let Some(state) = self.groups.get(&group) else { return };
        let with_density = |seq: &u64| Some((self.value_density(self.requests.get(seq)?), *seq));
        let mut order: Vec<(f64, u64)> = state.waiting.iter().filter_map(with_density).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut stuck: BTreeSet<usize> = BTreeSet::new();
        for (_, seq) in order {
            let Some(req) = self.requests.get(&seq) else { continue };
            let (class, calm) = (req.class, req.attempts.is_empty() && req.minimum_position.is_none());
            if calm && stuck.contains(&class) {
                continue;
            }
            let choice = match self.set.classes[class].need {
                Need::Write | Need::Strong => self.select_primary(seq),
                _ => self.select_for_read(seq),
            };
            if let Some(member) = choice {
                self.send(seq, member);
            } else if calm {
                stuck.insert(class);
            }
        }
    }

    pub(super) fn lately_refused(&self, req: &Request, id: MemberId) -> bool {
        let pause = self.set.classes[req.class].latency_target / 8;
        req.attempts.iter().any(|a| a.member == id && self.now - a.refused_at < pause)
    }

    pub(super) fn expire(&mut self) {
        let mut ended = Vec::new();
        for (seq, req) in &self.requests {
            let class = &self.set.classes[req.class];
            // What is out is not given up for being late: its work goes on, and its client would come again.
            let safe = class.effect == Effect::Safe && class.late_share <= 0.0;
            let worthless = safe && self.now >= req.first_arrived_at + share_of(class.latency_target, HOPE);
            let spent = req.is_exhausted(class, self.now + self.set.granularity);
            // Never sent by half its time, it has little hope here; its client still has time to retry.
            let unsent = req.attempts.iter().all(|a| !a.in_flight && !a.reached);
            let end = if unsent { req.unsent_deadline.min(req.deadline) } else { req.deadline };
            if self.now + 2 * self.set.granularity >= end
                || !req.has_attempt_in_flight() && (worthless || spent)
            {
                ended.push(*seq);
            }
        }
        ended.into_iter().for_each(|seq| self.finish(seq));
    }

    /// Clients hold only so many connections: with all of them in use the next request reaches nobody. What
    /// waits with the least to gain gives way, and then late reads that are out.
    pub(super) fn evict_lowest_priority(&mut self) {
        let excess = self.requests.len().saturating_sub((self.set.most_open as f64 * OPEN_SHARE) as usize);
        if excess == 0 {
            return;
        }
        let mut least: Vec<(f64, u64)> = Vec::new();
        for (seq, req) in &self.requests {
            let class = &self.set.classes[req.class];
            let late = self.now - req.first_arrived_at >= class.latency_target;
            let safe = class.effect == Effect::Safe;
            let spare = if safe {
                !req.has_attempt_in_flight() || late
            } else {
                req.first_possible_execution().is_none()
            };
            let led = self.primary(req.group).is_some_and(|id| self.is_selectable(id));
            let hope = if class.need == Need::Write && !led { 0.1 } else { 1.0 };
            if spare {
                least.push((self.value_density(req) * hope, *seq));
            }
        }
        least.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.iter().take(excess).for_each(|(_, seq)| self.finish(*seq));
    }

    /// The one final answer of a request this router ends itself.
    pub(super) fn finish(&mut self, seq: u64) {
        let Some(req) = self.requests.get(&seq) else { return };
        let id = req.id.clone();
        let class = &self.set.classes[req.class];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed { scope: Scope::All, .. } => true,
            _ => req.attempts.iter().all(|a| !a.in_flight && (!a.may_have_run || mutant(RefusedAsHarmless))),
        };
        if class.effect == Effect::Safe {
            self.cancel_attempts(seq, None);
        }
        let refuse = Action::Refuse { request: id.clone(), wait: self.set.max_wait_hint };
        self.actions.push(if harmless { refuse } else { Action::Fail { request: id } });
        self.forget(seq);
    }

    /// Nobody waits for it any more.
    pub(super) fn close(&mut self, seq: u64) {
        self.cancel_attempts(seq, None);
        self.forget(seq);
    }

    pub(super) fn forget(&mut self, seq: u64) {
        let Some(req) = self.requests.remove(&seq) else { return };
        self.names.remove(&req.id);
        self.dequeue(req.group, seq);
    }

    /// Calls off what a request has out, at one member or wherever it is.
    pub(super) fn cancel_attempts(&mut self, seq: u64, at: Option<MemberId>) {
        let Some(req) = self.requests.get(&seq).filter(|_| self.set.may_cancel) else { return };
        for (place, tried) in req.attempts.iter().enumerate() {
            if tried.in_flight && at.is_none_or(|id| id == tried.member) {
                self.actions.push(Action::Cancel { request: req.id.clone(), attempt: place as u32 });
            }
        }
    }
}

/// Worth for each unit of work. Aims stand for work: they are set by it.
pub(super) fn weight_for_work(class: &Class) -> f64 {
    class.priority_weight / class.latency_target as f64
}
