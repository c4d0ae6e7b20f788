//! One group of a quota pool: the loans and grants of each gateway, and their totals.

use super::demand::{GroupDemand, Thousandths, MAX_LENT, MAX_ROUNDS};
use crate::GatewayId;
use petrelgauge_policy::Time;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of loans, and of grants, that are counted for one gateway: one for each round during which
/// they are in force.
const MAX_ENTRIES_PER_GATEWAY: usize = 8;

/// A loan or a grant.
#[derive(Clone, Copy, Debug)]
struct ExpiringAmount {
    amount: Thousandths,
    expires_at: Time,
}

/// The sum of all loans reported for one round.
#[derive(Clone, Copy, Debug)]
struct RoundLoans {
    total: i64,
    expires_at: Time,
}

/// The loans, grants and last report of one gateway.
#[derive(Clone, Debug, Default)]
struct GatewayEntry {
    loans: VecDeque<ExpiringAmount>,
    grants: VecDeque<ExpiringAmount>,
    rate: u32,
    requested: Thousandths,
    reported_at: Time,
    /// The gateway's part of [`PoolGroup::used`].
    counted: i64,
}

impl GatewayEntry {
    /// The largest loan that is in force at least until this time.
    fn lent_until(&self, until: Time) -> i64 {
        largest(self.loans.iter().filter(|loan| loan.expires_at >= until))
    }

    /// The largest grant that may be in use now.
    fn granted(&self, now: Time) -> i64 {
        largest(self.grants.iter().filter(|grant| now <= grant.expires_at))
    }

    fn expire(&mut self, now: Time) {
        self.loans.retain(|loan| now <= loan.expires_at);
        self.grants.retain(|grant| now <= grant.expires_at);
    }

    /// Adds a loan. If there are [`MAX_ENTRIES_PER_GATEWAY`] others, the oldest is removed.
    fn add_loan(&mut self, loan: ExpiringAmount) {
        self.loans.push_back(loan);
        if self.loans.len() > MAX_ENTRIES_PER_GATEWAY {
            self.loans.pop_front();
        }
    }
}

fn largest<'a>(amounts: impl Iterator<Item = &'a ExpiringAmount>) -> i64 {
    amounts.map(|amount| i64::from(amount.amount)).max().unwrap_or(0)
}

/// One group of a quota pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolGroup {
    gateways: BTreeMap<GatewayId, GatewayEntry>,
    /// The total loans of the last [`MAX_ROUNDS`] rounds. The largest total in force is a lower bound of what
    /// is lent that needs no iteration over all gateways.
    round_loans: VecDeque<RoundLoans>,
    /// Upper bound of the quota that all gateways may be using; exact at the start of a round.
    used: i64,
    /// The latest expiry of any grant.
    last_expiry: Time,
    /// Ratio of the quota lent at the start of the round to the quota requested then, at most 1.
    granted_ratio: f64,
}

impl PoolGroup {
    /// Starts a round. Removes expired loans and grants, and gateways that have none left and have not
    /// reported since `reported_since`. Returns the mean rate of the gateways that have reported since then.
    /// Loans in force until `horizon` count as available.
    pub(super) fn start_round(&mut self, now: Time, reported_since: Time, horizon: Time) -> u32 {
        self.expire(now, reported_since);
        let recent = || self.gateways.values().filter(|gateway| gateway.reported_at > reported_since);
        let count = recent().count() as u64;
        let rates: u64 = recent().map(|gateway| u64::from(gateway.rate)).sum();
        let requested: i64 = recent().map(|gateway| i64::from(gateway.requested.max(0))).sum();
        let lent: i64 = self.gateways.values().map(|gateway| gateway.lent_until(horizon)).sum();
        self.granted_ratio = if requested > 0 { (lent as f64 / requested as f64).min(1.0) } else { 0.0 };
        self.recount(now);
        (rates / count.max(1)) as u32
    }

    /// Records a gateway's report.
    pub(super) fn record(&mut self, now: Time, from: GatewayId, demand: &GroupDemand) {
        let gateway = self.gateways.entry(from).or_default();
        gateway.rate = demand.rate;
        gateway.requested = demand.requested;
        gateway.reported_at = now;
    }

    /// Counts a loan. A duplicate of a report is not counted again.
    pub(super) fn add_loan(&mut self, from: GatewayId, amount: Thousandths, expires_at: Time) {
        let gateway = self.gateways.entry(from).or_default();
        if gateway.loans.iter().any(|loan| loan.expires_at == expires_at) {
            return;
        }
        let amount = amount.min(MAX_LENT);
        gateway.add_loan(ExpiringAmount { amount, expires_at });
        self.add_to_round(i64::from(amount), expires_at);
    }

    /// How much of its request a gateway can be granted.
    pub(super) fn grantable(&self, to: GatewayId, requested: Thousandths, expires_at: Time) -> i64 {
        let fair_amount = (f64::from(requested) * self.granted_ratio) as i64;
        self.available(to, expires_at).min(fair_amount)
    }

    /// Counts a grant.
    pub(super) fn add_grant(&mut self, to: GatewayId, amount: Thousandths, expires_at: Time) {
        let gateway = self.gateways.entry(to).or_default();
        gateway.grants.push_back(ExpiringAmount { amount, expires_at });
        let counted = gateway.counted.max(i64::from(amount));
        self.used += counted - gateway.counted;
        gateway.counted = counted;
        self.last_expiry = self.last_expiry.max(expires_at);
    }

    /// Total quota lent now by all gateways.
    pub(super) fn lent(&self, now: Time) -> i64 {
        self.gateways.values().map(|gateway| gateway.lent_until(now)).sum()
    }

    /// Total quota that all gateways may be using now.
    pub(super) fn granted(&self, now: Time) -> i64 {
        self.gateways.values().map(|gateway| gateway.granted(now)).sum()
    }

    /// Number of gateways.
    pub(super) fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Whether there are no gateways.
    pub(super) fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// How much quota a gateway can be granted until `expires_at`. All quota in use counts as used until the
    /// latest expiry of any grant, when the fewest loans are still in force.
    fn available(&self, to: GatewayId, expires_at: Time) -> i64 {
        let last_expiry = self.last_expiry.max(expires_at);
        let lasting_rounds = self.round_loans.iter().filter(|round| round.expires_at >= last_expiry);
        let lent = lasting_rounds.map(|round| round.total).max().unwrap_or(0);
        let gateway = self.gateways.get(&to);
        let is_full = gateway.is_some_and(|gateway| gateway.grants.len() >= MAX_ENTRIES_PER_GATEWAY);
        if lent < self.used || is_full {
            return 0;
        }
        // An earlier grant to this gateway may still be in use; the larger of the two counts.
        let counted = gateway.map_or(0, |gateway| gateway.counted);
        lent - (self.used - counted)
    }

    fn add_to_round(&mut self, amount: i64, expires_at: Time) {
        if let Some(round) = self.round_loans.iter_mut().find(|round| round.expires_at == expires_at) {
            round.total += amount;
            return;
        }
        self.round_loans.push_back(RoundLoans { total: amount, expires_at });
        if self.round_loans.len() > MAX_ROUNDS {
            self.round_loans.pop_front();
        }
    }

    fn expire(&mut self, now: Time, reported_since: Time) {
        self.gateways.values_mut().for_each(|gateway| gateway.expire(now));
        self.gateways.retain(|_, gateway| {
            let has_reported = gateway.reported_at > reported_since;
            has_reported || !gateway.loans.is_empty() || !gateway.grants.is_empty()
        });
    }

    /// Recomputes the quota in use without the grants that have expired since the last round.
    fn recount(&mut self, now: Time) {
        for gateway in self.gateways.values_mut() {
            gateway.counted = gateway.granted(now);
        }
        self.used = self.gateways.values().map(|gateway| gateway.counted).sum();
        self.round_loans.retain(|round| now <= round.expires_at);
    }
}
