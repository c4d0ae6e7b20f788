//! What the lease holder of the share-out has: who lent it what and until when, and whom it gave.

use super::demand::{pieces, GroupDemand, Milli, MAX_DEMANDS, MAX_GROUPS, MAX_ROUNDS};
use crate::{GatewayId, Settings, Term};
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};
use std::collections::{BTreeMap, VecDeque};

/// Pledges, and grants, of one gateway for one group that are counted (count): one a round, for as long as they live.
const MOST: usize = 8;

#[derive(Clone, Debug, Default)]
struct Member {
    /// Amounts and until when they hold.
    lent: VecDeque<(Milli, Time)>,
    granted: VecDeque<(Milli, Time)>,
    rate: u32,
    requested: Milli,
    heard: Time,
    /// What it counts for in [`Group::used`].
    counted: i64,
}

impl Member {
    /// What it has lent up to this time.
    fn lent(&self, until: Time) -> i64 {
        self.lent.iter().filter(|(_, end)| *end >= until).map(|(lent, _)| i64::from(*lent)).max().unwrap_or(0)
    }

    /// Most that it may be using.
    fn granted(&self, now: Time) -> i64 {
        self.granted
            .iter()
            .filter(|(_, end)| now <= *end)
            .map(|(granted, _)| i64::from(*granted))
            .max()
            .unwrap_or(0)
    }
}

#[derive(Clone, Debug, Default)]
struct Group {
    members: BTreeMap<GatewayId, Member>,
    /// Sums of what was lent for one round each, by when it ends; of [`MAX_ROUNDS`] rounds. The largest that still holds
    /// is no more than what is lent, and is known without a look at every member.
    lent: VecDeque<(Time, i64)>,
    /// What all members may be using: exact at the beginning of a round, never less until the next.
    used: i64,
    /// The last end of all that was granted.
    last_end: Time,
    /// Which quota of what is asked for there is (fraction), as of the last round.
    ratio: f64,
}

/// What a lease holder has to give under one term. It holds an entry for each gateway and group that was heard of lately, with
/// at most [`MAX_GROUPS`] groups; whoever carries datagrams lets none through from a number that no gateway has.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    settings: Settings,
    term: Term,
    round: u32,
    rounds: VecDeque<(u32, Time)>,
    groups: BTreeMap<GroupId, Group>,
}

impl QuotaPool {
    /// An empty one. What was lent to an earlier lease holder is not known here, and not counted.
    pub fn new(settings: Settings, term: Term) -> QuotaPool {
        QuotaPool { settings, term, round: 0, rounds: VecDeque::new(), groups: BTreeMap::new() }
    }

    /// The lease holder's term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// When the next round is due.
    pub fn next_deadline(&self) -> Time {
        self.rounds.back().map_or(Time::MIN, |(_, at)| at + self.settings.round_interval())
    }

    /// Opens a round: its number and, in pieces for one datagram each, the mean rates of all who were heard.
    pub fn open_round(&mut self, now: Time) -> (u32, Vec<Vec<(GroupId, u32)>>) {
        self.round = self.round.wrapping_add(1);
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        let lately = now - 3 * self.settings.round_interval();
        let horizon = now + self.settings.counted_grant_duration();
        let mut means = Vec::new();
        for (id, group) in &mut self.groups {
            for member in group.members.values_mut() {
                member.lent.retain(|(_, end)| now <= *end);
                member.granted.retain(|(_, end)| now <= *end);
            }
            group.members.retain(|_, m| m.heard > lately || !m.lent.is_empty() || !m.granted.is_empty());
            let heard = || group.members.values().filter(|member| member.heard > lately);
            let (count, sum) = (heard().count() as u64, heard().map(|m| u64::from(m.rate)).sum::<u64>());
            let asked: i64 = heard().map(|member| i64::from(member.requested.max(0))).sum();
            let lent: i64 = group.members.values().map(|member| member.lent(horizon)).sum();
            group.recount(now);
            group.ratio = if asked > 0 { (lent as f64 / asked as f64).min(1.0) } else { 0.0 };
            means.push((*id, (sum / count.max(1)) as u32));
        }
        self.groups.retain(|_, group| !group.members.is_empty());
        let pieces = pieces(&means);
        (self.round, if pieces.is_empty() { vec![Vec::new()] } else { pieces })
    }

    /// A gateway answers a round: what it is granted.
    pub fn on_report(
        &mut self,
        now: Time,
        from: GatewayId,
        round: u32,
        lines: &[GroupDemand],
    ) -> Vec<(GroupId, Milli)> {
        let Some((_, opened)) = self.rounds.iter().find(|(known, _)| *known == round) else {
            return Vec::new();
        };
        let counted = self.settings.counted_loan_duration();
        let lent_until = if mutant(Mutant::PledgeFromAnswer) { now } else { *opened } + counted;
        let mut granted = Vec::new();
        for GroupDemand { group, rate, requested } in lines.iter().take(MAX_DEMANDS) {
            if !self.groups.contains_key(group) && self.groups.len() >= MAX_GROUPS {
                continue;
            }
            let state = self.groups.entry(*group).or_default();
            let member = state.members.entry(from).or_default();
            (member.rate, member.requested, member.heard) = (*rate, *requested, now);
            if *requested < 0 {
                // A copy of what was counted already adds nothing.
                if !member.lent.iter().any(|(_, end)| *end == lent_until) {
                    let amount = requested.saturating_neg().min(super::demand::MAX_LENT);
                    keep(&mut member.lent, (amount, lent_until));
                    state.add_lent(lent_until, amount);
                }
                continue;
            }
            let fair = (f64::from(*requested) * state.ratio) as i64;
            let grants_for = self.settings.counted_grant_duration();
            let end = now
                + if mutant(Mutant::GrantUncounted) {
                    self.settings.grant_duration() / 4
                } else {
                    grants_for
                };
            let amount = state.room(from, end).min(fair);
            if amount > 0 {
                let amount = amount.min(i64::from(super::demand::MAX_GRANTED)) as Milli;
                state.add_granted(from, amount, end);
                granted.push((*group, amount));
            }
        }
        granted
    }

    /// Gateways that it holds something of, over all groups.
    pub fn entries(&self) -> usize {
        self.groups.values().map(|group| group.members.len()).sum()
    }

    /// Lent and granted away now, in thousandths of an even quota, over all groups.
    pub fn totals(&self, now: Time) -> (i64, i64) {
        let members = || self.groups.values().flat_map(|group| group.members.values());
        (members().map(|member| member.lent(now)).sum(), members().map(|member| member.granted(now)).sum())
    }
}

impl Group {
    /// What this gateway can be granted up to `end`. Counted as though all that is in use now were up to the last end of
    /// any of it, when the least is still lent.
    fn room(&self, to: GatewayId, end: Time) -> i64 {
        let last = self.last_end.max(end);
        let lent =
            self.lent.iter().filter(|(until, _)| *until >= last).map(|(_, sum)| *sum).max().unwrap_or(0);
        let before = self.members.get(&to).map_or(0, |member| member.counted);
        let full = self.members.get(&to).is_some_and(|member| member.granted.len() >= MOST);
        // What it was granted before may still be in use, and counts if it is more.
        if lent < self.used || full {
            return 0;
        }
        lent - (self.used - before)
    }

    fn add_lent(&mut self, until: Time, amount: Milli) {
        match self.lent.iter_mut().find(|(end, _)| *end == until) {
            Some((_, sum)) => *sum += i64::from(amount),
            None => {
                self.lent.push_back((until, i64::from(amount)));
                if self.lent.len() > MAX_ROUNDS {
                    self.lent.pop_front();
                }
            }
        }
    }

    fn add_granted(&mut self, to: GatewayId, amount: Milli, end: Time) {
        let member = self.members.entry(to).or_default();
        member.granted.push_back((amount, end));
        let counted = member.counted.max(i64::from(amount));
        self.used += counted - member.counted;
        member.counted = counted;
        self.last_end = self.last_end.max(end);
    }

    /// What is granted has run out in quotas since the last round.
    fn recount(&mut self, now: Time) {
        for member in self.members.values_mut() {
            member.counted = member.granted(now);
        }
        self.used = self.members.values().map(|member| member.counted).sum();
        self.lent.retain(|(until, _)| now <= *until);
    }
}

fn keep(held: &mut VecDeque<(Milli, Time)>, new: (Milli, Time)) {
    held.push_back(new);
    // The one that ends first counts least.
    if held.len() > MOST {
        held.pop_front();
    }
}
