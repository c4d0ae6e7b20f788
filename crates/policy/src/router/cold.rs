//! The cold budget: what a started member may be sent.

use super::*;

impl Router {
    pub(super) fn capacity_share(&self, member: &Member) -> f64 {
        let started = self.fleet_clock.started_at(member.started, member.listed_at).max(member.recovered_at);
        let age = if started > 0 { self.now - started } else { 2 * self.set.cold_for.max(1) };
        let grown = age.max(0) as f64 / self.set.cold_for.max(1) as f64;
        (self.set.cold_from + (1.0 - self.set.cold_from) * grown).min(1.0)
    }

    /// Served answers a second, as of now: a mean over some seconds.
    pub(super) fn rate_now(&self) -> f64 {
        self.rate * (-((self.now - self.rated_at) as f64) / RATE_SPAN).exp()
    }

    /// Attempts that a cold member may be sent now. It gets its share of what this router sees members carry,
    /// so that the routers together stay inside the budget without a word between them. Each starts from a
    /// drawn part of one attempt: with hundreds of routers even one from each at once would push it over.
    pub(super) fn slow_start_tokens(&self, member: &Member) -> f64 {
        let carried = self.rate_now() / self.alive.max(1) as f64 * member.weight.min(1.0);
        let least = COLD_LEAST / self.set.routers as f64;
        let part = if member.is_primary() { COLD_PRIMARY } else { COLD_SHARE };
        let rate = part * self.set.overload_factor * self.capacity_share(member) * carried.max(least);
        let most = (rate * self.set.overload_span as f64 / 2e6).max(1.0);
        (member.start_tokens + rate * (self.now - member.start_tokens_at) as f64 / 1e6).min(most)
    }

    pub(super) fn has_slow_start_budget(&self, member: &Member) -> bool {
        self.capacity_share(member) >= 1.0 || self.slow_start_tokens(member) >= 1.0
    }
}
