//! The quotas of one gateway: its loans and grants, and when they expire.

use super::demand::{
    split_into_datagrams, GroupDemand, GroupGrant, MeanRate, QuotaReport, Thousandths, EVEN_QUOTA,
    GUARANTEED_ENTRIES_PER_DATAGRAM, MAX_ENTRIES_PER_DATAGRAM, MAX_GRANTED, MAX_GROUPS, MAX_LENT, MAX_RATE,
    MAX_ROUNDS,
};
use crate::{Settings, Term};
use petrelgauge_policy::{mutant, GroupId, Mutant, QuotaAdjustment, Time};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of loans, and of grants, of a group. Higher than the number of rounds during one loan.
const MAX_ENTRIES_PER_GROUP: usize = 16;
/// Maximum number of reports whose grants are still accepted: reports about all groups, for as many rounds as
/// a lease holder keeps.
const MAX_SENT_REPORTS: usize = MAX_ROUNDS * MAX_GROUPS.div_ceil(GUARANTEED_ENTRIES_PER_DATAGRAM);
/// Ratio of the quota that a gateway keeps to what its traffic needs, so that it can absorb a burst.
const HEADROOM: f64 = 1.25;

#[derive(Clone, Copy, Debug)]
struct Loan {
    /// The term of the lease holder that borrows.
    term: Term,
    amount: Thousandths,
    expires_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    /// Number of the report that requested it.
    report_number: u32,
    amount: Thousandths,
    expires_at: Time,
}

#[derive(Clone, Debug, Default)]
struct GroupQuota {
    loans: VecDeque<Loan>,
    grants: VecDeque<Grant>,
}

impl GroupQuota {
    fn loans_in_force(&self, now: Time) -> impl Iterator<Item = &Loan> {
        self.loans.iter().filter(move |loan| now < loan.expires_at)
    }

    fn grants_in_force(&self, now: Time) -> impl Iterator<Item = &Grant> {
        self.grants.iter().filter(move |grant| now < grant.expires_at)
    }

    fn expire(&mut self, now: Time) {
        self.loans.retain(|loan| now < loan.expires_at);
        self.grants.retain(|grant| now < grant.expires_at);
    }

    /// Whether quota may be lent to the lease holder with this term. A loan in force must not be evicted, so
    /// nothing more is lent once there are [`MAX_ENTRIES_PER_GROUP`].
    fn may_lend(&self, now: Time, term: Term) -> bool {
        let lent_to_another = self.loans_in_force(now).any(|loan| loan.term != term);
        let has_grant = self.grants_in_force(now).next().is_some();
        let is_full = self.loans.len() >= MAX_ENTRIES_PER_GROUP;
        (!lent_to_another || mutant(Mutant::LentTwice)) && !has_grant && !is_full
    }

    fn add_grant(&mut self, grant: Grant) {
        self.grants.push_back(grant);
        if self.grants.len() > MAX_ENTRIES_PER_GROUP {
            self.grants.pop_front();
        }
    }
}

/// A round whose reports have not been sent yet.
#[derive(Clone, Debug)]
struct PendingRound {
    term: Term,
    round: u32,
    report_at: Time,
    mean_rates: BTreeMap<GroupId, u32>,
}

#[derive(Clone, Copy, Debug)]
struct SentReport {
    number: u32,
    sent_at: Time,
}

/// The quotas of one gateway, for at most [`MAX_GROUPS`] groups and for earlier groups whose loans are still
/// in force.
#[derive(Clone, Debug)]
pub struct Quota {
    settings: Settings,
    /// The gateway uses the minimum quota and lends nothing until this time, since it has forgotten the loans
    /// that it made before its start.
    restricted_until: Time,
    groups: BTreeMap<GroupId, GroupQuota>,
    pending: Option<PendingRound>,
    sent_reports: VecDeque<SentReport>,
    /// Number of the last report.
    last_report_number: u32,
}

impl Quota {
    /// Creates the quotas of a gateway that starts now. Its reports are numbered from `first_report_number`,
    /// which should be random so that a restarted gateway accepts no grants made to its previous process.
    pub fn new(settings: Settings, now: Time, first_report_number: u32) -> Quota {
        let Settings { drift_bound, .. } = settings;
        let restriction = settings.loan_duration() as f64 * (1.0 + drift_bound) / (1.0 - drift_bound);
        let restricted_until =
            if mutant(Mutant::LoanForgotten) { now } else { now + restriction.ceil() as Time };
        Quota {
            settings,
            restricted_until,
            groups: BTreeMap::new(),
            pending: None,
            sent_reports: VecDeque::new(),
            last_report_number: first_report_number,
        }
    }

    /// Records a round, or another part of its mean rates. Its reports are due after
    /// [`Settings::report_delay`]. A newer round replaces one whose reports are still pending, and the
    /// reports remain due at the same time.
    pub fn on_round(&mut self, now: Time, term: Term, round: u32, mean_rates: &[MeanRate]) {
        let report_at = now + self.settings.report_delay();
        let new = || PendingRound { term, round, report_at, mean_rates: BTreeMap::new() };
        let pending = self.pending.get_or_insert_with(new);
        if (pending.term, pending.round) < (term, round) {
            (pending.term, pending.round) = (term, round);
        }
        if (pending.term, pending.round) == (term, round) {
            let capacity = MAX_GROUPS.saturating_sub(pending.mean_rates.len());
            pending.mean_rates.extend(mean_rates.iter().take(capacity).map(|mean| (mean.group, mean.rate)));
        }
    }

    /// When [`Quota::due_reports`] is to be called next; `None` if no report is pending.
    pub fn next_deadline(&self) -> Option<Time> {
        self.pending.as_ref().map(|pending| pending.report_at)
    }

    /// Returns the reports to send now. `rates` are the request rates of all groups (thousandths of a request
    /// per second). Loans bind from this call on, so [`Quota::current`] must be applied before the reports
    /// are sent.
    pub fn due_reports(&mut self, now: Time, rates: &BTreeMap<GroupId, u32>) -> Vec<QuotaReport> {
        let Some(pending) = self.pending.take_if(|pending| now >= pending.report_at) else {
            return Vec::new();
        };
        self.groups.retain(|group, quota| {
            quota.expire(now);
            rates.contains_key(group) || !quota.loans.is_empty()
        });
        let mut demands = Vec::new();
        for (group, rate) in rates.iter().take(MAX_GROUPS) {
            let rate = (*rate).min(MAX_RATE);
            let mean_rate = pending.mean_rates.get(group).copied();
            let requested = self.request_or_lend(now, pending.term, *group, rate, mean_rate);
            demands.push(GroupDemand { group: *group, rate, requested });
        }
        let parts = split_into_datagrams(&demands);
        parts.into_iter().map(|demands| self.report(now, &pending, demands)).collect()
    }

    /// Records the grants for the report with this number.
    pub fn on_grant(&mut self, now: Time, report_number: u32, granted: &[GroupGrant]) {
        let Some(report) = self.sent_reports.iter().find(|report| report.number == report_number) else {
            return;
        };
        let started_at = if mutant(Mutant::GrantUsedFromArrival) { now } else { report.sent_at };
        let expires_at = started_at + self.settings.grant_duration();
        if now >= expires_at {
            return;
        }
        for GroupGrant { group, amount } in granted.iter().take(MAX_ENTRIES_PER_DATAGRAM) {
            let Some(quota) = self.groups.get_mut(group) else { continue };
            if *amount > 0 {
                quota.add_grant(Grant { report_number, amount: (*amount).min(MAX_GRANTED), expires_at });
            }
        }
    }

    /// How much of a group's limits this gateway may use now, and until when.
    pub fn current(&self, now: Time, group: GroupId) -> QuotaAdjustment {
        let quota = self.groups.get(&group);
        self.lent_adjustment(now, quota).or_else(|| self.granted_adjustment(now, quota)).unwrap_or_default()
    }

    /// The groups whose state is kept.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.groups.keys().copied()
    }

    fn lent_adjustment(&self, now: Time, quota: Option<&GroupQuota>) -> Option<QuotaAdjustment> {
        let (mut lent, mut until) = (0, Time::MIN);
        for loan in quota.into_iter().flat_map(|quota| quota.loans_in_force(now)) {
            lent = lent.max(loan.amount);
            until = until.max(loan.expires_at);
        }
        if now < self.restricted_until {
            lent = MAX_LENT;
            until = until.max(self.restricted_until);
        }
        (lent > 0).then(|| QuotaAdjustment { extra: -f64::from(lent) / EVEN_QUOTA, until })
    }

    /// The grant for the newest report, since grants may arrive out of order.
    fn granted_adjustment(&self, now: Time, quota: Option<&GroupQuota>) -> Option<QuotaAdjustment> {
        let oldest_number = self.last_report_number.wrapping_add(1);
        let grants = quota.into_iter().flat_map(|quota| quota.grants_in_force(now));
        let newest = grants.max_by_key(|grant| grant.report_number.wrapping_sub(oldest_number))?;
        Some(QuotaAdjustment { extra: f64::from(newest.amount) / EVEN_QUOTA, until: newest.expires_at })
    }

    fn report(&mut self, now: Time, pending: &PendingRound, demands: Vec<GroupDemand>) -> QuotaReport {
        self.last_report_number = self.last_report_number.wrapping_add(1);
        let number = self.last_report_number;
        self.sent_reports.push_back(SentReport { number, sent_at: now });
        if self.sent_reports.len() > MAX_SENT_REPORTS {
            self.sent_reports.pop_front();
        }
        QuotaReport { term: pending.term, round: pending.round, number, demands }
    }

    /// The amount requested for a group, or lent if negative. A loan binds from now on. Nothing is requested
    /// while a loan is in force, and nothing is requested or lent if the group's mean rate is unknown.
    fn request_or_lend(
        &mut self,
        now: Time,
        term: Term,
        group: GroupId,
        rate: u32,
        mean_rate: Option<u32>,
    ) -> Thousandths {
        let Some(mean_rate) = mean_rate.filter(|mean_rate| *mean_rate > 0) else { return 0 };
        let needed = f64::from(rate) / f64::from(mean_rate);
        let quota = self.groups.entry(group).or_default();
        if needed * HEADROOM >= 1.0 {
            let has_loan = quota.loans_in_force(now).next().is_some();
            return if has_loan { 0 } else { requested_amount(needed) };
        }
        if now < self.restricted_until || !quota.may_lend(now, term) {
            return 0;
        }
        let amount = spare_amount(needed);
        if amount > 0 {
            let expires_at = now + self.settings.loan_duration();
            quota.loans.push_back(Loan { term, amount, expires_at });
        }
        -amount
    }
}

/// The amount to request for this need (in even quotas).
fn requested_amount(needed: f64) -> Thousandths {
    ((needed - 1.0) * EVEN_QUOTA).clamp(0.0, f64::from(MAX_GRANTED)) as Thousandths
}

/// The amount that can be lent with this need (in even quotas).
fn spare_amount(needed: f64) -> Thousandths {
    let spare = (1.0 - needed * HEADROOM) * EVEN_QUOTA;
    spare.clamp(0.0, f64::from(MAX_LENT)) as Thousandths
}
