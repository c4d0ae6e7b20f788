//! Quota lending, as one gateway carries it: reports, rounds and grants of each shard as messages, and the quotas in force
//! for the decisions. What is lent and granted, and until when, `petrelgauge_ownership::quota` decides.

use crate::facade::Facade;
use crate::os::clock::Clock;
use crate::{GroupId, QuotaAdjustment, Time};
use petrelgauge_ownership::quota::{
    GroupDemand, GroupGrant, MeanRate, Quota, QuotaPool, QuotaReport, QuotaTotals, RequestRates,
};
use petrelgauge_ownership::{
    shard_of, GatewayId, LeadershipRole, LeaseManager, Message, Notification, Outgoing, Term,
};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The kind of the role of quota lending; each shard has a lease of its own.
pub const QUOTA_LENDING: u8 = 2;
/// Thousandths in one even quota.
const EVEN_QUOTA: f64 = 1000.0;

/// Requests that arrived for each group so far.
pub type Demand = Rc<dyn Fn() -> BTreeMap<GroupId, u64>>;

/// One shard.
struct Shard {
    /// This gateway's quotas of the shard's groups.
    quota: Quota,
    /// While this gateway holds the lease of the shard.
    pool: Option<QuotaPool>,
}

/// This gateway's quotas and, for the shards whose lease it holds, the pools.
pub struct QuotaLending {
    shards: Vec<Shard>,
    rates: RequestRates,
    /// What the decisions apply now, of groups whose quota is not the even one.
    applied: BTreeMap<GroupId, QuotaAdjustment>,
    facade: Facade,
    clock: Clock,
    demand: Demand,
}

fn lending_role(shard: usize) -> LeadershipRole {
    LeadershipRole { kind: QUOTA_LENDING, shard: shard as u64 }
}

impl QuotaLending {
    /// For a gateway that starts now, with this many shards. `number` is random, see [`Quota::new`].
    pub fn new(
        lease_manager: &LeaseManager,
        shards: u16,
        number: u32,
        facade: Facade,
        clock: Clock,
        demand: Demand,
    ) -> QuotaLending {
        let new_quota = || Quota::new(lease_manager.settings().clone(), clock.now(), number);
        let shards = (0..shards.max(1)).map(|_| Shard { quota: new_quota(), pool: None }).collect();
        let (rates, applied) = (RequestRates::default(), BTreeMap::new());
        QuotaLending { shards, rates, applied, facade, clock, demand }
    }

    /// When [`QuotaLending::on_deadline`] is to be called at the latest; rounds are opened at any call.
    pub fn next_deadline(&self) -> Option<Time> {
        self.shards.iter().filter_map(|shard| shard.quota.next_deadline()).min()
    }

    /// The messages to send now.
    pub fn on_deadline(&mut self, lease_manager: &mut LeaseManager) -> Vec<Outgoing> {
        let now = self.clock.now();
        let mut outgoing = Vec::new();
        for shard in 0..self.shards.len() {
            outgoing.extend(self.open_round(now, shard, lease_manager));
        }
        if self.next_deadline().is_some_and(|deadline| now >= deadline) {
            outgoing.extend(self.report(now, lease_manager));
        }
        outgoing
    }

    /// A message arrived whose term the lease manager admits.
    pub fn on_message(
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

    /// Number of entries of state.
    pub fn entries(&self) -> usize {
        let pools = self.shards.iter().filter_map(|shard| shard.pool.as_ref());
        let groups = self.shards.iter().map(|shard| shard.quota.groups().count());
        groups.sum::<usize>() + pools.map(QuotaPool::entries).sum::<usize>()
    }

    /// The counters as text, in thousandths of an even quota. Their names are an interface to operators.
    pub fn counts(&self) -> String {
        let now = self.clock.now();
        let extras = self.shards.iter().flat_map(|shard| shard_extras(now, shard));
        let (lent, granted) = extras.fold((0, 0), |(lent, granted), extra| match extra < 0 {
            true => (lent - extra, granted),
            false => (lent, granted + extra),
        });
        let pools = self.shards.iter().filter_map(|shard| shard.pool.as_ref());
        let totals: Vec<QuotaTotals> = pools.map(|pool| pool.totals(now)).collect();
        let own = format!("share_lent={lent} share_given={granted}");
        if totals.is_empty() {
            return own;
        }
        let pool_lent: i64 = totals.iter().map(|totals| totals.lent).sum();
        let pool_granted: i64 = totals.iter().map(|totals| totals.granted).sum();
        format!("{own} pool_lent={pool_lent} pool_given={pool_granted}")
    }

    fn shard_of(&self, group: GroupId) -> usize {
        usize::from(shard_of(group, self.shards.len() as u16))
    }

    /// Opens a round of a shard if it is time and this gateway holds the lease. Without the lease there is no pool.
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
            let Some(part) = self.round_part(shard, round.number, mean_rates, lease_manager) else { break };
            outgoing.extend(part);
        }
        outgoing
    }

    /// A part of a round for all gateways, this one included. The lease is checked right before each part is sent.
    fn round_part(
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

    /// The reports that are due. What they lend is applied before anybody learns of it.
    fn report(&mut self, now: Time, lease_manager: &LeaseManager) -> Vec<Outgoing> {
        let counts = (self.demand)();
        self.rates.observe(now, &counts);
        let mut rates: Vec<BTreeMap<GroupId, u32>> = vec![BTreeMap::new(); self.shards.len()];
        for (group, rate) in self.rates.per_group() {
            rates[self.shard_of(group)].insert(group, rate);
        }
        let mut outgoing = Vec::new();
        for (index, (shard, rates)) in self.shards.iter_mut().zip(&rates).enumerate() {
            for report in shard.quota.due_reports(now, rates) {
                outgoing.extend(to_lease_holder(now, index, report, lease_manager));
            }
        }
        self.apply(now, counts.keys().copied());
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
            Notification::QuotaGrant { number, granted } => {
                if let Some(quota) = quota {
                    quota.on_grant(now, *number, granted);
                }
                self.apply(now, granted.iter().map(|grant| grant.group));
            }
            _ => {}
        }
    }

    /// The grant for a report, all of whose groups are of one shard.
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
        let notification = Notification::QuotaGrant { number: report.number, granted };
        let message = lease_manager.notification(self.clock.now(), lending_role(shard), notification)?;
        Some(Outgoing { to: from, message })
    }

    /// Passes the quotas of these groups to the decisions, where they have changed.
    fn apply(&mut self, now: Time, groups: impl Iterator<Item = GroupId>) {
        for group in groups {
            let adjustment = self.shards[self.shard_of(group)].quota.current(now, group);
            let before = self.applied.get(&group).copied().unwrap_or_default();
            if adjustment == before {
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

/// A report goes to the holder of the lease that its round was opened under. A later holder could not count on it; what
/// it lends binds all the same.
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

/// What a gateway uses of each group of a shard beside its even quota, in thousandths; negative if it lends.
fn shard_extras(now: Time, shard: &Shard) -> impl Iterator<Item = i64> + '_ {
    let extra = move |group| (shard.quota.current(now, group).extra * EVEN_QUOTA).round() as i64;
    shard.quota.groups().map(extra)
}
