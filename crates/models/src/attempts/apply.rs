//! What each step changes.

use crate::attempts::{entry, Attempts, Change, HostAnswer, Step, GRANULE};
use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::Event;
use petrelgauge_policy::{MemberStatus, Update};

impl Attempts {
    pub(super) fn apply_step(&mut self, step: &Step) {
        match *step {
            Step::TimePasses => {
                self.now += GRANULE;
                self.step_router();
            }
            Step::Written(index) => self.write(index),
            Step::Refused(index) => self.on_event(index, Event::Refused),
            Step::Broken(index) => self.on_event(index, Event::ConnectionLost),
            Step::Due(index) => self.on_event(index, Event::Timeout),
            Step::Cancelled(index) => self.on_event(index, Event::Cancelled),
            Step::Answered(index, answer) => {
                let end = match answer {
                    HostAnswer::Row => End::Served,
                    HostAnswer::Rejection => End::Rejected,
                    HostAnswer::Error => End::HostError,
                };
                self.on_event(index, Event::Answered { end, is_duplicate: false });
            }
            Step::ClientLeaves(index) => {
                self.requests[index].client_left = true;
                let id = self.requests[index].id.clone();
                self.table.abandon(&id);
            }
            Step::ListChanges => self.change_list(),
        }
    }

    /// Connects an attempt and writes its request completely, unless the attempt ends before.
    fn write(&mut self, index: usize) {
        for event in [Event::Connected, Event::HostReady, Event::Written] {
            if self.attempts[index].exchange.ended().is_none() {
                self.attempts[index].may_have_run = event == Event::Written;
                self.on_event(index, event);
            }
        }
        if self.attempts[index].may_have_run {
            self.check_written(index);
        }
    }

    fn change_list(&mut self) {
        let changed = match self.changes.remove(0) {
            Change::Drains(member) => {
                self.draining = Some((member, self.now));
                entry(member, MemberStatus::Draining, member == 1, 0)
            }
            Change::BecomesPrimary(member) => entry(member, MemberStatus::Up, true, 0),
            Change::Restarts(member) => entry(member, MemberStatus::Up, false, self.now),
        };
        self.table.update_endpoints(Update::Partial, vec![changed]);
    }
}
