//! Spans of quota lending, all from the lease.

use crate::Settings;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Spans of the share-out (microseconds), all from the lease.
impl Settings {
    /// How long a loan binds, by the clock of whoever made it.
    pub fn loan_duration(&self) -> Time {
        self.lease
    }

    /// The same as a lease holder may count on it, by its own clock, from its round on: both may be off, one each way.
    pub fn counted_loan_duration(&self) -> Time {
        (self.lease as f64 * (1.0 - self.drift_bound) / (1.0 + self.drift_bound)).floor() as Time
    }

    /// How long a grant may be used, from when it was asked for.
    pub fn grant_duration(&self) -> Time {
        self.lease / 2
    }

    /// The same as a lease holder counts it, from when the asking came.
    pub fn counted_grant_duration(&self) -> Time {
        let life = self.grant_duration() / if mutant(Mutant::GrantUncounted) { 4 } else { 1 };
        (life as f64 * (1.0 + self.drift_bound) / (1.0 - self.drift_bound)).ceil() as Time
    }

    /// Whether what is lent in a round lasts for what is granted in it: else clocks are too far off, or datagrams too slow,
    /// for this lease, and all that is lent would lie idle.
    pub fn loans_outlast_grants(&self) -> bool {
        self.counted_loan_duration() >= self.lease / 16 + 2 * self.max_delay + self.counted_grant_duration()
    }

    /// Between two rounds of a lease holder.
    pub fn round_interval(&self) -> Time {
        self.lease / 4
    }

    /// When a gateway answers a round: each has a moment of its own, for hundreds at once would fill the lease holder's socket.
    pub fn turn(&self) -> Time {
        self.lease / 16 * Time::from(self.self_id) / Time::from(self.gateways.max(1))
    }
}
