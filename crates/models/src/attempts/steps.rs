//! The steps that are possible in a state.

use crate::attempts::{Attempt, Attempts, ClientRequest, HostAnswer, Step};
use petrelgauge_policy::Effect;

impl Attempts {
    pub(super) fn possible_steps(&self) -> Vec<Step> {
        let is_in_flight = self.attempts.iter().any(|attempt| !attempt.reported);
        let is_open = self.requests.iter().any(ClientRequest::is_open);
        // Once everything has ended, changes of the endpoint list have no effect.
        if !is_in_flight && !is_open {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for (index, attempt) in self.attempts.iter().enumerate().filter(|(_, attempt)| !attempt.reported) {
            self.steps_of_attempt(index, attempt, &mut steps);
        }
        // Time-outs and cancellations take effect before the next step of the router.
        let must_end = steps.iter().any(|step| matches!(step, Step::Cancelled(_) | Step::Due(_)));
        if self.clients_may_leave {
            let open = self.requests.iter().enumerate().filter(|(_, request)| request.is_open());
            steps.extend(open.map(|(index, _)| Step::ClientLeaves(index)));
        }
        if !self.changes.is_empty() {
            steps.push(Step::ListChanges);
        }
        if !must_end && self.now < self.horizon {
            steps.push(Step::TimePasses);
        }
        steps
    }

    fn steps_of_attempt(&self, index: usize, attempt: &Attempt, steps: &mut Vec<Step>) {
        if attempt.cancelled {
            steps.push(Step::Cancelled(index));
        }
        if self.now >= attempt.exchange.timeout_at() {
            steps.push(Step::Due(index));
        }
        if !attempt.exchange.may_have_run() {
            steps.extend([Step::Written(index), Step::Refused(index)]);
            return;
        }
        let is_write = self.effect_of(&attempt.spec.id.request) != Effect::Safe;
        let is_primary = attempt.spec.host == self.primary;
        if !is_write || is_primary {
            steps.push(Step::Answered(index, HostAnswer::Row));
        }
        if !is_primary {
            steps.push(Step::Answered(index, HostAnswer::Rejection));
        }
        steps.extend([Step::Answered(index, HostAnswer::Error), Step::Broken(index)]);
    }
}
