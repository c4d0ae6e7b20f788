//! The lease holder's quota pool: the loans that it has received and the grants that it has made.

use super::demand::{
    split_into_datagrams, GroupDemand, GroupGrant, MeanRate, Thousandths, MAX_ENTRIES_PER_DATAGRAM,
    MAX_GRANTED, MAX_GROUPS, MAX_ROUNDS,
};
use super::pool_group::PoolGroup;
use crate::{GatewayId, Settings, Term};
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};
use std::collections::{BTreeMap, VecDeque};

/// Number of rounds without a report after which a gateway no longer counts towards the mean rates.
const REPORTED_WITHIN_ROUNDS: Time = 3;

/// A round that the pool has opened.
#[derive(Clone, Copy, Debug)]
struct OpenRound {
    number: u32,
    opened_at: Time,
}

/// The contents of a round's notifications.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRound {
    /// Number of the round.
    pub number: u32,
    /// Mean rates over the gateways that have reported recently, in parts that each fit into one datagram; at
    /// least one part.
    pub parts: Vec<Vec<MeanRate>>,
}

/// Sums over all groups and gateways, in thousandths of an even quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaTotals {
    /// The quota that is lent.
    pub lent: i64,
    /// The quota that may be in use in addition to even quotas.
    pub granted: i64,
}

/// The pool of a lease holder under one term. Holds at most [`MAX_GROUPS`] groups, with an entry for each
/// gateway that has reported recently. The caller must drop reports from senders that are not gateways of the
/// fleet.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    settings: Settings,
    term: Term,
    last_round: u32,
    rounds: VecDeque<OpenRound>,
    groups: BTreeMap<GroupId, PoolGroup>,
}

impl QuotaPool {
    /// Creates an empty pool. Loans to earlier lease holders are unknown here and don't count.
    pub fn new(settings: Settings, term: Term) -> QuotaPool {
        QuotaPool { settings, term, last_round: 0, rounds: VecDeque::new(), groups: BTreeMap::new() }
    }

    /// The lease holder's term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// When [`QuotaPool::open_round`] is to be called next.
    pub fn next_deadline(&self) -> Time {
        let interval = self.settings.round_interval();
        self.rounds.back().map_or(Time::MIN, |last| last.opened_at + interval)
    }

    /// Opens a round. Returns the mean rates to send to all gateways.
    pub fn open_round(&mut self, now: Time) -> QuotaRound {
        self.last_round = self.last_round.wrapping_add(1);
        self.rounds.push_back(OpenRound { number: self.last_round, opened_at: now });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        let reported_since = now - REPORTED_WITHIN_ROUNDS * self.settings.round_interval();
        let horizon = now + self.settings.counted_grant_duration();
        let mut mean_rates = Vec::new();
        for (group, state) in &mut self.groups {
            let rate = state.start_round(now, reported_since, horizon);
            mean_rates.push(MeanRate { group: *group, rate });
        }
        self.groups.retain(|_, group| !group.is_empty());
        let mut parts = split_into_datagrams(&mean_rates);
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        QuotaRound { number: self.last_round, parts }
    }

    /// Handles a gateway's report for a round: counts its loans and returns the grants for its requests.
    /// Reports for rounds that are unknown or too old are ignored.
    pub fn on_report(
        &mut self,
        now: Time,
        from: GatewayId,
        round_number: u32,
        demands: &[GroupDemand],
    ) -> Vec<GroupGrant> {
        let Some(round) = self.rounds.iter().find(|round| round.number == round_number) else {
            return Vec::new();
        };
        let counted_from = if mutant(Mutant::LoanCountedFromArrival) { now } else { round.opened_at };
        let loans_expire_at = counted_from + self.settings.counted_loan_duration();
        let mut granted = Vec::new();
        for demand in demands.iter().take(MAX_ENTRIES_PER_DATAGRAM) {
            let Some(group) = self.group_mut(demand.group) else { continue };
            group.record(now, from, demand);
            if demand.requested < 0 {
                group.add_loan(from, demand.requested.saturating_neg(), loans_expire_at);
            } else if let Some(amount) = self.grant(now, from, demand) {
                granted.push(GroupGrant { group: demand.group, amount });
            }
        }
        granted
    }

    /// Number of entries: one per gateway and group.
    pub fn entries(&self) -> usize {
        self.groups.values().map(PoolGroup::len).sum()
    }

    /// Sums of the loans and grants in force.
    pub fn totals(&self, now: Time) -> QuotaTotals {
        let lent = self.groups.values().map(|group| group.lent(now)).sum();
        let granted = self.groups.values().map(|group| group.granted(now)).sum();
        QuotaTotals { lent, granted }
    }

    /// The state of a group, created if needed; `None` if there are already [`MAX_GROUPS`] others.
    fn group_mut(&mut self, group: GroupId) -> Option<&mut PoolGroup> {
        if !self.groups.contains_key(&group) && self.groups.len() >= MAX_GROUPS {
            return None;
        }
        Some(self.groups.entry(group).or_default())
    }

    fn grant(&mut self, now: Time, to: GatewayId, demand: &GroupDemand) -> Option<Thousandths> {
        let duration = if mutant(Mutant::GrantReturnedEarly) {
            self.settings.grant_duration() / 4
        } else {
            self.settings.counted_grant_duration()
        };
        let expires_at = now + duration;
        let group = self.group_mut(demand.group)?;
        let amount = group.grantable(to, demand.requested, expires_at).min(i64::from(MAX_GRANTED));
        if amount <= 0 {
            return None;
        }
        let amount = amount as Thousandths;
        group.add_grant(to, amount, expires_at);
        Some(amount)
    }
}
