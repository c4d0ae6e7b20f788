//! The estimate of the hosts' clock, and checks of times that hosts report.

use super::{AttemptInFlight, AttemptSpec, Outcome, RequestTable};
use petrelgauge_policy::{Commit, Ending, MemberId, Need, Report, Time};

/// Change of the estimated clock offset above which the session tracker is restarted (microseconds).
const MAX_TRACKER_DRIFT: Time = 1_000_000;

impl RequestTable {
    /// Updates the estimate of the hosts' clock from the times of an answer that arrives now, and drops times
    /// that lie in the hosts' future: those can't have been read from a clock. `attempt` is the attempt that
    /// is answered; none if it has been reported already. Returns whether the load report was kept.
    pub fn validate_times(
        &mut self,
        now: Time,
        host: MemberId,
        attempt: Option<&AttemptSpec>,
        outcome: &mut Outcome,
    ) -> bool {
        self.update_clock_estimate(now, host, attempt, outcome);
        let host_clock = self.router.host_clock();
        outcome.position = outcome.position.filter(|position| host_clock.is_plausible(*position, now));
        let is_plausible =
            outcome.report.position.is_none_or(|position| host_clock.is_plausible(position, now));
        if !is_plausible {
            outcome.report = Report::default();
        }
        self.restart_tracker(now);
        is_plausible
    }

    fn update_clock_estimate(
        &mut self,
        now: Time,
        host: MemberId,
        attempt: Option<&AttemptSpec>,
        outcome: &Outcome,
    ) {
        let in_flight = attempt.and_then(|attempt| self.attempts_in_flight.get(&attempt.id));
        let is_write = |in_flight: &&AttemptInFlight| self.classes.class(in_flight.class).need == Need::Write;
        let served_write = in_flight.filter(is_write).filter(|_| outcome.ending == Ending::Served);
        let host_clock = self.router.host_clock_mut();
        match (served_write, outcome.position) {
            (Some(write), Some(commit)) => host_clock.record_commit(Commit {
                member: host,
                committed_at: commit,
                sent_at: write.issued_at,
                received_at: now,
                is_first_attempt: write.is_first,
            }),
            (None, Some(position)) => host_clock.record_position(host, position, now),
            (_, None) => {}
        }
        if let Some(position) = outcome.report.position {
            host_clock.record_position(host, position, now);
        }
    }

    /// Restarts the session tracker if the estimated clock offset has changed by more than
    /// [`MAX_TRACKER_DRIFT`], which invalidates the sessions' times.
    fn restart_tracker(&mut self, now: Time) {
        let offset = self.latest_hosts_time(now) - now;
        if (offset - self.tracker_offset).abs() <= MAX_TRACKER_DRIFT {
            return;
        }
        self.tracker_offset = offset;
        if let Some(tracker) = &mut self.session_tracker {
            tracker.restart(now + offset);
        }
    }

    /// The latest time that the hosts' clock can show now. Sessions are tracked on this clock, since their
    /// watermarks are commit times.
    pub(super) fn latest_hosts_time(&self, now: Time) -> Time {
        self.router.host_clock().latest_hosts_time(now)
    }
}
