//! The share-out of limits, as one gateway carries it: what its part and its pool of each shard say goes out, and the
//! decisions are told of it first. What is lent, given and back in time stands in `petrelgauge_ownership::quota`.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::{GroupId, Share, Time};
use petrelgauge_ownership::quota::{
    GroupDemand, Quota, QuotaPool, QuotaReport, QuotaRound, QuotaTotals, RequestRates,
};
use petrelgauge_ownership::{
    shard_of, GatewayId, LeadershipRole, LeaseManager, Message, Notification, Outgoing,
};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The kind of its duty; each shard is a duty of its own.
pub const QUOTA_LENDING: u8 = 2;

/// Messages, each with whom it is for.
type Sent = Vec<Outgoing>;

/// Requests that came for each group so far.
pub type Demand = Rc<dyn Fn() -> BTreeMap<GroupId, u64>>;

/// One shard: this gateway's part in its groups and, while it owns the shard, what it has to give.
struct Shard {
    part: Quota,
    pool: Option<QuotaPool>,
}

/// What this gateway lends and is given, and, while it owns shards of the duty, what it has to give.
pub struct QuotaLending {
    shards: Vec<Shard>,
    rates: RequestRates,
    /// What the decisions were told, where that is not the even part.
    told: BTreeMap<GroupId, Share>,
    facade: Facade,
    clock: Clock,
    demand: Demand,
}

fn duty(shard: usize) -> LeadershipRole {
    LeadershipRole { kind: QUOTA_LENDING, shard: shard as u64 }
}

impl QuotaLending {
    /// For a gateway that starts now, with so many shards. `number`: drawn, see [`Quota::new`].
    pub fn new(
        office: &LeaseManager,
        shards: u16,
        number: u32,
        facade: Facade,
        clock: Clock,
        demand: Demand,
    ) -> QuotaLending {
        let part = || Quota::new(office.settings().clone(), clock.now(), number);
        let shards = (0..shards.max(1)).map(|_| Shard { part: part(), pool: None }).collect();
        QuotaLending { shards, rates: RequestRates::default(), told: BTreeMap::new(), facade, clock, demand }
    }

    fn shard_of(&self, group: GroupId) -> usize {
        usize::from(shard_of(group, self.shards.len() as u16))
    }

    /// When [`QuotaLending::due`] is to be called at the latest, beside the looks of the duties.
    pub fn due_at(&self) -> Option<Time> {
        self.shards.iter().filter_map(|shard| shard.part.next_deadline()).min()
    }

    /// What is to be sent now.
    pub fn due(&mut self, office: &mut LeaseManager) -> Sent {
        let now = self.clock.now();
        let mut sent = Vec::new();
        for shard in 0..self.shards.len() {
            sent.extend(self.open(now, shard, office));
        }
        if self.due_at().is_none_or(|due| now < due) {
            return sent;
        }
        let asked = (self.demand)();
        self.rates.observe(now, &asked);
        let mut rates: Vec<BTreeMap<GroupId, u32>> = vec![BTreeMap::new(); self.shards.len()];
        for (group, rate) in self.rates.per_group() {
            rates[self.shard_of(group)].insert(group, rate);
        }
        let mut answers: Vec<(usize, QuotaReport)> = Vec::new();
        for (place, (shard, rates)) in self.shards.iter_mut().zip(&rates).enumerate() {
            answers.extend(shard.part.due_reports(now, rates).into_iter().map(|answer| (place, answer)));
        }
        // What was promised holds from here on, before anybody hears of it.
        self.tell(now, asked.keys().copied());
        for (shard, answer) in answers {
            // An owner that is none any more counts on nothing. What was promised to it holds all the same.
            let owner = office.lease_holder(now, duty(shard)).filter(|holder| holder.term == answer.term);
            sent.extend(
                owner.map(|owner| Outgoing { to: owner.gateway, message: Message::QuotaReport(answer) }),
            );
        }
        sent
    }

    /// A round of this shard is due, where this gateway owns it.
    fn open(&mut self, now: Time, shard: usize, office: &mut LeaseManager) -> Sent {
        let pool = &mut self.shards[shard].pool;
        let Some(term) = office.held_term(now, duty(shard)) else {
            *pool = None;
            return Vec::new();
        };
        let settings = office.settings().clone();
        if pool.as_ref().is_none_or(|pool| pool.term() != term) {
            *pool = Some(QuotaPool::new(settings.clone(), term));
        }
        let Some(pool) = pool.as_mut().filter(|pool| now >= pool.next_deadline()) else { return Vec::new() };
        let QuotaRound { number: round, parts } = pool.open_round(now);
        let mut sent = Vec::new();
        for mean_rates in parts {
            // Asked right before it goes out, for each of them.
            let word = office.notification(
                self.clock.now(),
                duty(shard),
                Notification::QuotaRound { round, mean_rates },
            );
            let Some(word) = word else { break };
            sent.extend((0..settings.gateways).map(|to| Outgoing { to, message: word.clone() }));
        }
        sent
    }

    /// A message came that the office lets through.
    pub fn hear(&mut self, from: GatewayId, message: &Message, office: &mut LeaseManager) -> Sent {
        let now = self.clock.now();
        match message {
            Message::Notification {
                role: LeadershipRole { kind: QUOTA_LENDING, shard },
                term,
                notification: Notification::QuotaRound { round, mean_rates: means },
            } => {
                if let Some(state) = self.shards.get_mut(*shard as usize) {
                    state.part.on_round(now, *term, *round, means);
                }
                Vec::new()
            }
            Message::Notification {
                role: LeadershipRole { kind: QUOTA_LENDING, shard },
                notification: Notification::QuotaGrant { number, granted: given },
                ..
            } => {
                if let Some(state) = self.shards.get_mut(*shard as usize) {
                    state.part.on_grant(now, *number, given);
                }
                self.tell(now, given.iter().map(|grant| grant.group));
                Vec::new()
            }
            Message::QuotaReport(report) => self.give(now, from, report, office),
            _ => Vec::new(),
        }
    }

    /// What a gateway is given for these lines, all of which are of one shard.
    fn give(&mut self, now: Time, from: GatewayId, report: &QuotaReport, office: &mut LeaseManager) -> Sent {
        let QuotaReport { term, round, number, demands } = report;
        let Some(shard) = demands.first().map(|line| self.shard_of(line.group)) else { return Vec::new() };
        let lines: Vec<GroupDemand> =
            demands.iter().copied().filter(|line| self.shard_of(line.group) == shard).collect();
        let pool = self.shards[shard].pool.as_mut().filter(|pool| pool.term() == *term);
        let Some(pool) = pool.filter(|_| office.still_holds(now, duty(shard), *term)) else {
            return Vec::new();
        };
        let given = pool.on_report(now, from, *round, &lines);
        if given.is_empty() {
            return Vec::new();
        }
        let word = office.notification(
            self.clock.now(),
            duty(shard),
            Notification::QuotaGrant { number: *number, granted: given },
        );
        word.into_iter().map(|message| Outgoing { to: from, message }).collect()
    }

    /// Tells the decisions what may be used of these groups, where that is new.
    fn tell(&mut self, now: Time, groups: impl Iterator<Item = GroupId>) {
        for group in groups {
            let share = self.shards[self.shard_of(group)].part.current(now, group);
            let known = self.told.get(&group).copied().unwrap_or_default();
            if share == known {
                continue;
            }
            self.facade.share(group, share);
            match share == Share::default() {
                true => self.told.remove(&group),
                false => self.told.insert(group, share),
            };
        }
        self.told.retain(|_, share| now < share.until);
    }

    /// Entries of state: of this gateway's parts, and of what it has to give.
    pub fn entries(&self) -> usize {
        let pools = self.shards.iter().filter_map(|shard| shard.pool.as_ref());
        let parts = self.shards.iter().map(|shard| shard.part.groups().count());
        parts.sum::<usize>() + pools.map(QuotaPool::entries).sum::<usize>()
    }

    /// What there is to show: parts lent and given here, and, of the owner, lent to it and given by it, in thousandths of
    /// even parts.
    pub fn counts(&self) -> String {
        let now = self.clock.now();
        let extra = |shard: &Shard, group| (shard.part.current(now, group).extra * 1000.0).round() as i64;
        let extras = || {
            let shards = self.shards.iter();
            shards.flat_map(move |shard| shard.part.groups().map(move |group| extra(shard, group)))
        };
        let lent = -extras().filter(|extra| *extra < 0).sum::<i64>();
        let given: i64 = extras().filter(|extra| *extra > 0).sum();
        let totals: Vec<QuotaTotals> =
            self.shards.iter().filter_map(|shard| Some(shard.pool.as_ref()?.totals(now))).collect();
        let pool_lent: i64 = totals.iter().map(|totals| totals.lent).sum();
        let pool_given: i64 = totals.iter().map(|totals| totals.granted).sum();
        let pool = match totals.is_empty() {
            true => String::new(),
            false => format!(" pool_lent={pool_lent} pool_given={pool_given}"),
        };
        format!("share_lent={lent} share_given={given}{pool}")
    }
}
