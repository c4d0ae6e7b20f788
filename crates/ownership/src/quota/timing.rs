//! Durations of quota lending, in microseconds. All are derived from the lease.

use crate::Settings;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Number of rounds during one lease.
const ROUNDS_PER_LEASE: Time = 4;
/// Number of report windows that make up one lease. The reports of a round are spread over one window.
const REPORT_WINDOWS_PER_LEASE: Time = 16;

impl Settings {
    /// How long a loan binds the lender, by the lender's clock, from its report on.
    pub fn loan_duration(&self) -> Time {
        self.lease
    }

    /// How long the lease holder relies on a loan, by its own clock, from the start of the round. Shorter
    /// than the loan, since the two clocks may drift in opposite directions.
    pub fn counted_loan_duration(&self) -> Time {
        (self.lease as f64 * (1.0 - self.drift_bound) / (1.0 + self.drift_bound)).floor() as Time
    }

    /// How long a grant may be used, by the borrower's clock, from the report that requested it on.
    pub fn grant_duration(&self) -> Time {
        self.lease / 2
    }

    /// How long the lease holder counts a grant as used, by its own clock, from the arrival of the report on.
    /// Longer than the grant, since the two clocks may drift in opposite directions.
    pub fn counted_grant_duration(&self) -> Time {
        let duration = self.grant_duration() / if mutant(Mutant::GrantReturnedEarly) { 4 } else { 1 };
        (duration as f64 * (1.0 + self.drift_bound) / (1.0 - self.drift_bound)).ceil() as Time
    }

    /// Whether the loans of a round outlast the grants of that round. If not, the drift bound or the maximum
    /// delay is too high for this lease, and no lent quota could ever be granted.
    pub fn loans_outlast_grants(&self) -> bool {
        let reports_and_delays = self.report_window() + 2 * self.max_delay;
        self.counted_loan_duration() >= reports_and_delays + self.counted_grant_duration()
    }

    /// Interval between rounds.
    pub fn round_interval(&self) -> Time {
        self.lease / ROUNDS_PER_LEASE
    }

    /// Delay between the arrival of a round and this gateway's report. It differs between gateways, because
    /// hundreds of simultaneous reports would overflow the lease holder's socket buffer.
    pub fn report_delay(&self) -> Time {
        self.report_window() * Time::from(self.self_id) / Time::from(self.gateways.max(1))
    }

    fn report_window(&self) -> Time {
        self.lease / REPORT_WINDOWS_PER_LEASE
    }
}
