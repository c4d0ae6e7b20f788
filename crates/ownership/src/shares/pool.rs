//! What the owner of the share-out has: who lent it what and until when, and whom it gave.

use super::{pieces, Line, Milli, MOST_GROUPS, MOST_LINES, MOST_ROUNDS};
use crate::{Gateway, Settings, Term};
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};
use std::collections::{BTreeMap, VecDeque};

/// Pledges, and grants, of one gateway for one group that are counted (count): one a round, for as long as they live.
const MOST: usize = 8;

#[derive(Clone, Debug, Default)]
struct Member {
    /// Amounts and until when they hold.
    lent: VecDeque<(Milli, Time)>,
    given: VecDeque<(Milli, Time)>,
    rate: u32,
    asks: Milli,
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
    fn given(&self, now: Time) -> i64 {
        self.given
            .iter()
            .filter(|(_, end)| now <= *end)
            .map(|(given, _)| i64::from(*given))
            .max()
            .unwrap_or(0)
    }
}

#[derive(Clone, Debug, Default)]
struct Group {
    members: BTreeMap<Gateway, Member>,
    /// Sums of what was lent for one round each, by when it ends; of [`MOST_ROUNDS`] rounds. The largest that still holds
    /// is no more than what is lent, and is known without a look at every member.
    lent: VecDeque<(Time, i64)>,
    /// What all members may be using: exact at the beginning of a round, never less until the next.
    used: i64,
    /// The last end of all that was given.
    last_end: Time,
    /// Which part of what is asked for there is (fraction), as of the last round.
    ratio: f64,
}

/// What an owner has to give under one term. It holds an entry for each gateway and group that was heard of lately, with
/// at most [`MOST_GROUPS`] groups; whoever carries datagrams lets none through from a number that no gateway has.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: Settings,
    term: Term,
    round: u32,
    rounds: VecDeque<(u32, Time)>,
    groups: BTreeMap<GroupId, Group>,
}

impl Pool {
    /// An empty one. What was lent to an earlier owner is not known here, and not counted.
    pub fn new(settings: Settings, term: Term) -> Pool {
        Pool { settings, term, round: 0, rounds: VecDeque::new(), groups: BTreeMap::new() }
    }

    /// The owner's term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// When the next round is due.
    pub fn due_at(&self) -> Time {
        self.rounds.back().map_or(Time::MIN, |(_, at)| at + self.settings.round_every())
    }

    /// Opens a round: its number and, in pieces for one datagram each, the mean rates of all who were heard.
    pub fn open(&mut self, now: Time) -> (u32, Vec<Vec<(GroupId, u32)>>) {
        self.round = self.round.wrapping_add(1);
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MOST_ROUNDS {
            self.rounds.pop_front();
        }
        let lately = now - 3 * self.settings.round_every();
        let horizon = now + self.settings.grant_counted();
        let mut means = Vec::new();
        for (id, group) in &mut self.groups {
            for member in group.members.values_mut() {
                member.lent.retain(|(_, end)| now <= *end);
                member.given.retain(|(_, end)| now <= *end);
            }
            group.members.retain(|_, m| m.heard > lately || !m.lent.is_empty() || !m.given.is_empty());
            let heard = || group.members.values().filter(|member| member.heard > lately);
            let (count, sum) = (heard().count() as u64, heard().map(|m| u64::from(m.rate)).sum::<u64>());
            let asked: i64 = heard().map(|member| i64::from(member.asks.max(0))).sum();
            let lent: i64 = group.members.values().map(|member| member.lent(horizon)).sum();
            group.recount(now);
            group.ratio = if asked > 0 { (lent as f64 / asked as f64).min(1.0) } else { 0.0 };
            means.push((*id, (sum / count.max(1)) as u32));
        }
        self.groups.retain(|_, group| !group.members.is_empty());
        let pieces = pieces(&means);
        (self.round, if pieces.is_empty() { vec![Vec::new()] } else { pieces })
    }

    /// A gateway answers a round: what it is given.
    pub fn hear(&mut self, now: Time, from: Gateway, round: u32, lines: &[Line]) -> Vec<(GroupId, Milli)> {
        let Some((_, opened)) = self.rounds.iter().find(|(known, _)| *known == round) else {
            return Vec::new();
        };
        let counted = self.settings.pledge_counted();
        let lent_until = if mutant(Mutant::PledgeFromAnswer) { now } else { *opened } + counted;
        let mut given = Vec::new();
        for Line { group, rate, asks } in lines.iter().take(MOST_LINES) {
            if !self.groups.contains_key(group) && self.groups.len() >= MOST_GROUPS {
                continue;
            }
            let state = self.groups.entry(*group).or_default();
            let member = state.members.entry(from).or_default();
            (member.rate, member.asks, member.heard) = (*rate, *asks, now);
            if *asks < 0 {
                // A copy of what was counted already adds nothing.
                if !member.lent.iter().any(|(_, end)| *end == lent_until) {
                    let amount = asks.saturating_neg().min(super::MOST_LENT);
                    keep(&mut member.lent, (amount, lent_until));
                    state.add_lent(lent_until, amount);
                }
                continue;
            }
            let fair = (f64::from(*asks) * state.ratio) as i64;
            let gives = self.settings.grant_counted();
            let end =
                now + if mutant(Mutant::GrantUncounted) { self.settings.grant_life() / 4 } else { gives };
            let amount = state.room(from, end).min(fair);
            if amount > 0 {
                let amount = amount.min(i64::from(super::MOST_GIVEN)) as Milli;
                state.add_given(from, amount, end);
                given.push((*group, amount));
            }
        }
        given
    }

    /// Gateways that it holds something of, over all groups.
    pub fn entries(&self) -> usize {
        self.groups.values().map(|group| group.members.len()).sum()
    }

    /// Lent and given away now, in thousandths of an even part, over all groups.
    pub fn sums(&self, now: Time) -> (i64, i64) {
        let members = || self.groups.values().flat_map(|group| group.members.values());
        (members().map(|member| member.lent(now)).sum(), members().map(|member| member.given(now)).sum())
    }
}

impl Group {
    /// What this gateway can be given up to `end`. Counted as though all that is in use now were up to the last end of
    /// any of it, when the least is still lent.
    fn room(&self, to: Gateway, end: Time) -> i64 {
        let last = self.last_end.max(end);
        let lent =
            self.lent.iter().filter(|(until, _)| *until >= last).map(|(_, sum)| *sum).max().unwrap_or(0);
        let before = self.members.get(&to).map_or(0, |member| member.counted);
        let full = self.members.get(&to).is_some_and(|member| member.given.len() >= MOST);
        // What it was given before may still be in use, and counts if it is more.
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
                if self.lent.len() > MOST_ROUNDS {
                    self.lent.pop_front();
                }
            }
        }
    }

    fn add_given(&mut self, to: Gateway, amount: Milli, end: Time) {
        let member = self.members.entry(to).or_default();
        member.given.push_back((amount, end));
        let counted = member.counted.max(i64::from(amount));
        self.used += counted - member.counted;
        member.counted = counted;
        self.last_end = self.last_end.max(end);
    }

    /// What is given has run out in parts since the last round.
    fn recount(&mut self, now: Time) {
        for member in self.members.values_mut() {
            member.counted = member.given(now);
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
