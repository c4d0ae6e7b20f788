//! Quota lending at one gateway: exchanges the reports, rounds and grants of each shard, and applies the
//! resulting quotas to the decisions. `petrelgauge_ownership::quota` decides what is lent and granted, and
//! until when.

use crate::facade::Facade;
use crate::os::clock::Clock;
use crate::{GroupId, QuotaAdjustment, Time};
use petrelgauge_ownership::quota::{
    GroupDemand, GroupGrant, MeanRate, Quota, QuotaPool, QuotaReport, QuotaTotals, RequestRates,
};
use petrelgauge_ownership::{
    shard_of, GatewayId, LeadershipRole, LeaseManager, Message, Notification, Outgoing, Settings, Term,
};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Kind of the leadership role of quota lending; each shard has a lease of its own.
pub const QUOTA_LENDING: u8 = 2;
/// Quotas in counters are in thousandths of an even quota.
const THOUSANDTHS: f64 = 1000.0;

/// Callback that returns the number of requests received so far, by group.
pub type Demand = Rc<dyn Fn() -> BTreeMap<GroupId, u64>>;

/// The state of quota lending for one shard.
struct Shard {
    /// This gateway's quotas for the shard's groups.
    quota: Quota,
    /// The quotas of all gateways; present only while this gateway holds the shard's lease.
    pool: Option<QuotaPool>,
}

/// Options of [`QuotaLending::new`].
pub struct QuotaLendingOptions {
    /// Lease settings: gateways, acceptors and durations.
    pub settings: Settings,
    /// Number of shards, at least 1.
    pub shards: u16,
    /// Random number of the first report; see [`Quota::new`].
    pub first_report_number: u32,
    /// The decisions that apply the quotas.
    pub facade: Facade,
    /// Clock for leases and loans.
    pub clock: Clock,
    /// Requests received per group.
    pub demand: Demand,
}

/// Quota lending at this gateway.
pub struct QuotaLending {
    shards: Vec<Shard>,
    request_rates: RequestRates,
    /// Quotas applied to the decisions, for the groups whose quota differs from the even one.
    applied: BTreeMap<GroupId, QuotaAdjustment>,
    facade: Facade,
    clock: Clock,
    demand: Demand,
}

fn lending_role(shard: usize) -> LeadershipRole {
    LeadershipRole { kind: QUOTA_LENDING, shard: shard as u64 }
}

impl QuotaLending {
    /// Starts with the minimum quota for every group.
    pub fn new(options: QuotaLendingOptions) -> QuotaLending {
        let QuotaLendingOptions { settings, shards, first_report_number, facade, clock, demand } = options;
        let new_quota = || Quota::new(settings.clone(), clock.now(), first_report_number);
        let shards = (0..shards.max(1)).map(|_| Shard { quota: new_quota(), pool: None }).collect();
        let (request_rates, applied) = (RequestRates::default(), BTreeMap::new());
        QuotaLending { shards, request_rates, applied, facade, clock, demand }
    }

    /// When the next report is due; [`QuotaLending::on_deadline`] must be called by then. Every call also
    /// opens due rounds.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.shards.iter().filter_map(|shard| shard.quota.next_deadline()).min()
    }

    /// Opens due rounds and returns the messages for them and for due reports.
    pub(super) fn on_deadline(&mut self, lease_manager: &mut LeaseManager) -> Vec<Outgoing> {
        let now = self.clock.now();
        let mut outgoing = Vec::new();
        for shard in 0..self.shards.len() {
            outgoing.extend(self.open_round(now, shard, lease_manager));
        }
        if self.next_deadline().is_some_and(|deadline| now >= deadline) {
            outgoing.extend(self.due_reports(now, lease_manager));
        }
        outgoing
    }

    /// Processes a message whose term the lease manager has admitted, and returns the responses.
    pub(super) fn on_message(
        &mut self,
        from: GatewayId,
        message: &Message,
        lease_manager: &mut LeaseManager,
    ) -> Vec<Outgoing> {
        let now = self.clock.now();
        match message {
            Message::Notification { role, term, notification } if role.kind == QUOTA_LENDING => {
                self.on_notification(now, role.shard as usize, *term, notification);
                Vec::new()
            }
            Message::QuotaReport(report) => {
                self.grant(now, from, report, lease_manager).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Number of state entries.
    pub(super) fn entry_count(&self) -> usize {
        let pools = self.shards.iter().filter_map(|shard| shard.pool.as_ref());
        let groups = self.shards.iter().map(|shard| shard.quota.groups().count());
        groups.sum::<usize>() + pools.map(QuotaPool::entries).sum::<usize>()
    }

    /// Formats the counters as text, in thousandths of an even quota. Their names are part of the operators'
    /// interface.
    pub(super) fn counts(&self) -> String {
        let now = self.clock.now();
        let extras = self.shards.iter().flat_map(|shard| shard_extras(now, shard));
        let (mut lent, mut borrowed) = (0, 0);
        for extra in extras {
            if extra < 0 {
                lent -= extra;
            } else {
                borrowed += extra;
            }
        }
        let own_totals = format!("quota_lent={lent} quota_borrowed={borrowed}");
        let pools = self.shards.iter().filter_map(|shard| shard.pool.as_ref());
        let pool_totals: Vec<QuotaTotals> = pools.map(|pool| pool.totals(now)).collect();
        if pool_totals.is_empty() {
            return own_totals;
        }
        let pool_lent: i64 = pool_totals.iter().map(|totals| totals.lent).sum();
        let pool_granted: i64 = pool_totals.iter().map(|totals| totals.granted).sum();
        format!("{own_totals} pool_lent={pool_lent} pool_granted={pool_granted}")
    }

    fn shard_of(&self, group: GroupId) -> usize {
        usize::from(shard_of(group, self.shards.len() as u16))
    }

    /// Opens a round of a shard if one is due and this gateway holds the lease. Without the lease, drops the
    /// pool.
    fn open_round(&mut self, now: Time, shard: usize, lease_manager: &mut LeaseManager) -> Vec<Outgoing> {
        let pool = &mut self.shards[shard].pool;
        let Some(term) = lease_manager.held_term(now, lending_role(shard)) else {
            *pool = None;
            return Vec::new();
        };
        if pool.as_ref().is_none_or(|pool| pool.term() != term) {
            *pool = Some(QuotaPool::new(lease_manager.settings().clone(), term));
        }
        let Some(pool) = pool.as_mut().filter(|pool| now >= pool.next_deadline()) else { return Vec::new() };
        let round = pool.open_round(now);
        let mut outgoing = Vec::new();
        for mean_rates in round.parts {
            let messages = self.round_messages(shard, round.number, mean_rates, lease_manager);
            let Some(messages) = messages else { break };
            outgoing.extend(messages);
        }
        outgoing
    }

    /// Returns one part of a round as messages to all gateways, including this one; `None` if the lease is
    /// lost. The lease is checked for each part, because it must still be held when the part is sent.
    fn round_messages(
        &self,
        shard: usize,
        round: u32,
        mean_rates: Vec<MeanRate>,
        lease_manager: &mut LeaseManager,
    ) -> Option<Vec<Outgoing>> {
        let notification = Notification::QuotaRound { round, mean_rates };
        let message = lease_manager.notification(self.clock.now(), lending_role(shard), notification)?;
        let gateways = 0..lease_manager.settings().gateways;
        Some(gateways.map(|to| Outgoing { to, message: message.clone() }).collect())
    }

    /// Returns the due reports. Lent quota is deducted from this gateway's own quota before the reports are
    /// sent.
    fn due_reports(&mut self, now: Time, lease_manager: &LeaseManager) -> Vec<Outgoing> {
        let request_counts = (self.demand)();
        self.request_rates.observe(now, &request_counts);
        let mut rates: Vec<BTreeMap<GroupId, u32>> = vec![BTreeMap::new(); self.shards.len()];
        for (group, rate) in self.request_rates.per_group() {
            rates[self.shard_of(group)].insert(group, rate);
        }
        let mut outgoing = Vec::new();
        for (index, (shard, rates)) in self.shards.iter_mut().zip(&rates).enumerate() {
            for report in shard.quota.due_reports(now, rates) {
                outgoing.extend(to_lease_holder(now, index, report, lease_manager));
            }
        }
        self.apply(now, request_counts.keys().copied());
        outgoing
    }

    fn on_notification(&mut self, now: Time, shard: usize, term: Term, notification: &Notification) {
        let quota = self.shards.get_mut(shard).map(|shard| &mut shard.quota);
        match notification {
            Notification::QuotaRound { round, mean_rates } => {
                if let Some(quota) = quota {
                    quota.on_round(now, term, *round, mean_rates);
                }
            }
            Notification::QuotaGrant { report_number, granted } => {
                if let Some(quota) = quota {
                    quota.on_grant(now, *report_number, granted);
                }
                self.apply(now, granted.iter().map(|grant| grant.group));
            }
            _ => {}
        }
    }

    /// Returns the grant for a report, if any. A report concerns the shard of its first group; groups of
    /// other shards are ignored.
    fn grant(
        &mut self,
        now: Time,
        from: GatewayId,
        report: &QuotaReport,
        lease_manager: &mut LeaseManager,
    ) -> Option<Outgoing> {
        let shard = self.shard_of(report.demands.first()?.group);
        let is_in_shard = |demand: &&GroupDemand| self.shard_of(demand.group) == shard;
        let demands: Vec<GroupDemand> = report.demands.iter().filter(is_in_shard).copied().collect();
        let pool = self.shards[shard].pool.as_mut().filter(|pool| pool.term() == report.term)?;
        if !lease_manager.still_holds(now, lending_role(shard), report.term) {
            return None;
        }
        let granted: Vec<GroupGrant> = pool.on_report(now, from, report.round, &demands);
        if granted.is_empty() {
            return None;
        }
        let notification = Notification::QuotaGrant { report_number: report.number, granted };
        let message = lease_manager.notification(self.clock.now(), lending_role(shard), notification)?;
        Some(Outgoing { to: from, message })
    }

    /// Applies changed quotas of these groups to the decisions.
    fn apply(&mut self, now: Time, groups: impl Iterator<Item = GroupId>) {
        for group in groups {
            let adjustment = self.shards[self.shard_of(group)].quota.current(now, group);
            let applied = self.applied.get(&group).copied().unwrap_or_default();
            if adjustment == applied {
                continue;
            }
            self.facade.update(|table| table.adjust_quota(group, adjustment));
            if adjustment == QuotaAdjustment::default() {
                self.applied.remove(&group);
            } else {
                self.applied.insert(group, adjustment);
            }
        }
        self.applied.retain(|_, adjustment| now < adjustment.until);
    }
}

/// Addresses a report to the lease holder that opened its round. A later holder cannot use the report, so it
/// is dropped then; the loans in it remain in effect.
fn to_lease_holder(
    now: Time,
    shard: usize,
    report: QuotaReport,
    lease_manager: &LeaseManager,
) -> Option<Outgoing> {
    let holder = lease_manager.lease_holder(now, lending_role(shard))?;
    if holder.term != report.term {
        return None;
    }
    Some(Outgoing { to: holder.gateway, message: Message::QuotaReport(report) })
}

/// Returns how much this gateway borrows in each group of a shard, in thousandths of an even quota; negative
/// if it lends.
fn shard_extras(now: Time, shard: &Shard) -> impl Iterator<Item = i64> + '_ {
    let extra = move |group| (shard.quota.current(now, group).extra * THOUSANDTHS).round() as i64;
    shard.quota.groups().map(extra)
}
