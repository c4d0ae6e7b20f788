//! What hosts report about their clock, and times that cross machines.

use super::*;

/// A change of the estimate after which the session tracker is restarted (microseconds).
const TRACKER_STEP: Time = 1_000_000;

impl RequestTable {
    /// Learns from the times of an answer, as of its arrival, how far the hosts' clock is ahead, and drops times that lie in
    /// the hosts' future: those were not read from a clock. `send` is the attempt that is answered, unless the answer was
    /// reported before. Returns false if the load report was dropped.
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
        let is_plausible =
            outcome.report.position.is_none_or(|position| fleet_clock.is_plausible(position, now));
        if !is_plausible {
            outcome.report = Report::default();
        }
        self.restart_tracker(now);
        is_plausible
    }

    fn learn_clock(&mut self, now: Time, host: MemberId, send: Option<&Send>, outcome: &Outcome) {
        let attempt = send.and_then(|send| self.in_flight.get(&(send.request.clone(), send.attempt)));
        let is_write = |attempt: &&AttemptInFlight| self.classes.class(attempt.class).need == Need::Write;
        let write = attempt.filter(is_write).filter(|_| outcome.ending == Ending::Served);
        let fleet_clock = self.router.fleet_clock_mut();
        match (write, outcome.position) {
            (Some(attempt), Some(commit)) => {
                fleet_clock.record_commit(host, commit, attempt.at, now, attempt.first)
            }
            (None, Some(position)) => fleet_clock.record_position(host, position, now),
            (_, None) => {}
        }
        if let Some(position) = outcome.report.position {
            fleet_clock.record_position(host, position, now);
        }
    }

    /// Restarts the session tracker if the hosts' clock differs from the estimate that the times of the sessions are based
    /// on: those are useless then.
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

    /// The latest that the hosts' time can be now. Sessions are tracked by that clock: their watermarks are commit times.
    pub(super) fn hosts_now(&self, now: Time) -> Time {
        self.router.fleet_clock().latest_hosts_time(now)
    }
}
