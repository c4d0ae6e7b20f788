//! One group of a quota pool: the loans and grants of each gateway, and their sums.

use super::demand::{GroupDemand, Thousandths, MAX_LENT, MAX_ROUNDS};
use crate::GatewayId;
use petrelgauge_policy::Time;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of loans, and of grants, that are counted for one gateway: one for each round during which
/// they last.
const MAX_ENTRIES: usize = 8;

/// A loan or a grant.
#[derive(Clone, Copy, Debug)]
struct Amount {
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
struct Member {
    loans: VecDeque<Amount>,
    grants: VecDeque<Amount>,
    rate: u32,
    requested: Thousandths,
    reported_at: Time,
    /// Its part of [`PoolGroup::used`].
    counted: i64,
}

impl Member {
    /// The largest loan that lasts at least until this time.
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

    /// Adds a loan. If there are too many, it replaces the oldest.
    fn add_loan(&mut self, loan: Amount) {
        self.loans.push_back(loan);
        if self.loans.len() > MAX_ENTRIES {
            self.loans.pop_front();
        }
    }
}

fn largest<'a>(amounts: impl Iterator<Item = &'a Amount>) -> i64 {
    amounts.map(|amount| i64::from(amount.amount)).max().unwrap_or(0)
}

/// One group of a quota pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolGroup {
    members: BTreeMap<GatewayId, Member>,
    /// The loans of the last [`MAX_ROUNDS`] rounds. The largest total in force is a lower bound of what is
    /// lent, found without iterating over all members.
    loans: VecDeque<RoundLoans>,
    /// Upper bound of what all members may be using; exact at the start of a round.
    used: i64,
    /// The latest expiry of any grant.
    last_expiry: Time,
    /// Ratio of what was available at the start of the round to what was requested, at most 1.
    granted_ratio: f64,
}

impl PoolGroup {
    /// Starts a round: removes expired entries, and members that have not reported since `reported_since`.
    /// Returns the mean rate of the others. Loans that last until `horizon` count as available.
    pub(super) fn start_round(&mut self, now: Time, reported_since: Time, horizon: Time) -> u32 {
        self.expire(now, reported_since);
        let recent = || self.members.values().filter(|member| member.reported_at > reported_since);
        let count = recent().count() as u64;
        let rates: u64 = recent().map(|member| u64::from(member.rate)).sum();
        let requested: i64 = recent().map(|member| i64::from(member.requested.max(0))).sum();
        let lent: i64 = self.members.values().map(|member| member.lent_until(horizon)).sum();
        self.granted_ratio = if requested > 0 { (lent as f64 / requested as f64).min(1.0) } else { 0.0 };
        self.recount(now);
        (rates / count.max(1)) as u32
    }

    /// Records a member's report.
    pub(super) fn record(&mut self, now: Time, from: GatewayId, demand: &GroupDemand) {
        let member = self.members.entry(from).or_default();
        member.rate = demand.rate;
        member.requested = demand.requested;
        member.reported_at = now;
    }

    /// Counts a loan. Duplicates of a report count once.
    pub(super) fn add_loan(&mut self, from: GatewayId, amount: Thousandths, expires_at: Time) {
        let member = self.members.entry(from).or_default();
        if member.loans.iter().any(|loan| loan.expires_at == expires_at) {
            return;
        }
        let amount = amount.min(MAX_LENT);
        member.add_loan(Amount { amount, expires_at });
        self.add_to_round(i64::from(amount), expires_at);
    }

    /// How much of its request a member can be granted.
    pub(super) fn grantable(&self, to: GatewayId, requested: Thousandths, expires_at: Time) -> i64 {
        let fair = (f64::from(requested) * self.granted_ratio) as i64;
        self.available(to, expires_at).min(fair)
    }

    /// Counts a grant.
    pub(super) fn add_grant(&mut self, to: GatewayId, amount: Thousandths, expires_at: Time) {
        let member = self.members.entry(to).or_default();
        member.grants.push_back(Amount { amount, expires_at });
        let counted = member.counted.max(i64::from(amount));
        self.used += counted - member.counted;
        member.counted = counted;
        self.last_expiry = self.last_expiry.max(expires_at);
    }

    /// What is lent now, over all members.
    pub(super) fn lent(&self, now: Time) -> i64 {
        self.members.values().map(|member| member.lent_until(now)).sum()
    }

    /// What may be in use now, over all members.
    pub(super) fn granted(&self, now: Time) -> i64 {
        self.members.values().map(|member| member.granted(now)).sum()
    }

    /// Number of members.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// What a member can be granted until `expires_at`. Everything in use counts as used until the latest
    /// expiry of any grant, when the fewest loans are still in force.
    fn available(&self, to: GatewayId, expires_at: Time) -> i64 {
        let last_expiry = self.last_expiry.max(expires_at);
        let lasting = self.loans.iter().filter(|round| round.expires_at >= last_expiry);
        let lent = lasting.map(|round| round.total).max().unwrap_or(0);
        let member = self.members.get(&to);
        let is_full = member.is_some_and(|member| member.grants.len() >= MAX_ENTRIES);
        if lent < self.used || is_full {
            return 0;
        }
        // An earlier grant may still be in use; the larger of both counts.
        let counted = member.map_or(0, |member| member.counted);
        lent - (self.used - counted)
    }

    fn add_to_round(&mut self, amount: i64, expires_at: Time) {
        if let Some(round) = self.loans.iter_mut().find(|round| round.expires_at == expires_at) {
            round.total += amount;
            return;
        }
        self.loans.push_back(RoundLoans { total: amount, expires_at });
        if self.loans.len() > MAX_ROUNDS {
            self.loans.pop_front();
        }
    }

    fn expire(&mut self, now: Time, reported_since: Time) {
        self.members.values_mut().for_each(|member| member.expire(now));
        self.members.retain(|_, member| {
            let has_reported = member.reported_at > reported_since;
            has_reported || !member.loans.is_empty() || !member.grants.is_empty()
        });
    }

    /// Recomputes what is in use, without the grants that have expired since the last round.
    fn recount(&mut self, now: Time) {
        for member in self.members.values_mut() {
            member.counted = member.granted(now);
        }
        self.used = self.members.values().map(|member| member.counted).sum();
        self.loans.retain(|round| now <= round.expires_at);
    }
}
