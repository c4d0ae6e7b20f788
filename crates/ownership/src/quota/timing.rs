//! Durations of quota lending. All derive from the lease (microseconds).

use crate::Settings;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Rounds during one lease.
const ROUNDS_PER_LEASE: Time = 4;
/// Part of the lease over which the gateways' reports of a round are spread.
const REPORT_WINDOWS_PER_LEASE: Time = 16;

impl Settings {
    /// How long a loan binds the lender, by its clock.
    pub fn loan_duration(&self) -> Time {
        self.lease
    }

    /// How long the lease holder counts on a loan, by its own clock, from the round on: both clocks may be off, one each
    /// way.
    pub fn counted_loan_duration(&self) -> Time {
        (self.lease as f64 * (1.0 - self.drift_bound) / (1.0 + self.drift_bound)).floor() as Time
    }

    /// How long a grant may be used, by the user's clock, from the report that requested it.
    pub fn grant_duration(&self) -> Time {
        self.lease / 2
    }

    /// How long the lease holder counts a grant as used, by its own clock, from the report's arrival on.
    pub fn counted_grant_duration(&self) -> Time {
        let duration = self.grant_duration() / if mutant(Mutant::GrantReturnedEarly) { 4 } else { 1 };
        (duration as f64 * (1.0 + self.drift_bound) / (1.0 - self.drift_bound)).ceil() as Time
    }

    /// Whether the loans of a round last for the grants of that round. If not, clocks are too far off or datagrams too
    /// slow for this lease, and nothing that is lent could ever be granted.
    pub fn loans_outlast_grants(&self) -> bool {
        let reports_and_delays = self.report_window() + 2 * self.max_delay;
        self.counted_loan_duration() >= reports_and_delays + self.counted_grant_duration()
    }

    /// Time between two rounds.
    pub fn round_interval(&self) -> Time {
        self.lease / ROUNDS_PER_LEASE
    }

    /// How long after a round's arrival this gateway reports: each gateway has its own moment, for hundreds of reports at
    /// once would overflow the lease holder's socket.
    pub fn report_delay(&self) -> Time {
        self.report_window() * Time::from(self.self_id) / Time::from(self.gateways.max(1))
    }

    fn report_window(&self) -> Time {
        self.lease / REPORT_WINDOWS_PER_LEASE
    }
}
