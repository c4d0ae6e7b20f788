//! What hosts tell of their clock, and times that cross machines.

use super::*;

/// A change of the estimate after which the sessions' times start over (microseconds).
const TRACKER_STEP: Time = 1_000_000;

impl RequestTable {
    /// Takes what an answer tells of the hosts' clock, as of its arrival, and drops what lies in the hosts' future: that
    /// was not read from a clock but made up. `send` is the attempt it answers, if it is the answer's first word. False if
    /// the load report was dropped.
    pub fn validate_times(
        &mut self,
        now: Time,
        host: MemberId,
        send: Option<&Send>,
        outcome: &mut Outcome,
    ) -> bool {
        self.learn_clock(now, host, send, outcome);
        let fleet_clock = self.router.fleet_clock();
        outcome.position = outcome.position.filter(|position| fleet_clock.is_plausible(*position, now));
        let sound = outcome.report.position.is_none_or(|position| fleet_clock.is_plausible(position, now));
        if !sound {
            outcome.report = Report::default();
        }
        self.restart_tracker(now);
        sound
    }

    fn learn_clock(&mut self, now: Time, host: MemberId, send: Option<&Send>, outcome: &Outcome) {
        let out = send.and_then(|send| self.out.get(&(send.request.clone(), send.attempt)));
        let write = |out: &&OutAttempt| self.rules.class(out.class).need == Need::Write;
        let commit = out.filter(write).filter(|_| outcome.ending == Ending::Served);
        let fleet_clock = self.router.fleet_clock_mut();
        match (commit, outcome.position) {
            (Some(out), Some(commit)) => fleet_clock.record_commit(host, commit, out.at, now, out.first),
            (None, Some(position)) => fleet_clock.record_position(host, position, now),
            (_, None) => {}
        }
        if let Some(position) = outcome.report.position {
            fleet_clock.record_position(host, position, now);
        }
    }

    /// The hosts' clock turned out to differ from what the sessions' times were taken for: those that are known are of no
    /// use.
    fn restart_tracker(&mut self, now: Time) {
        let offset = self.hosts_now(now) - now;
        if (offset - self.tracker_offset).abs() <= TRACKER_STEP {
            return;
        }
        self.tracker_offset = offset;
        if let Some(tracker) = &mut self.session_tracker {
            tracker.restart(now + offset);
        }
    }

    /// The latest that the hosts' time can be now. Sessions are kept by that clock: their marks are commits.
    pub(super) fn hosts_now(&self, now: Time) -> Time {
        self.router.fleet_clock().latest_hosts_time(now)
    }
}
