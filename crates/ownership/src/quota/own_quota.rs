//! One gateway's quota: what it has lent and what it was granted, and for how long.

use super::demand::{
    pieces, GroupDemand, Milli, HEADROOM, MAX_DEMANDS, MAX_GRANTED, MAX_GROUPS, MAX_LENT, MAX_RATE,
    MAX_ROUNDS, MIN_DEMANDS,
};
use crate::{Settings, Term};
use petrelgauge_policy::{mutant, GroupId, Mutant, Share, Time};
use std::collections::{BTreeMap, VecDeque};

/// Pledges and grants of a group that are remembered (count): more rounds than a loan lives for.
const MOST: usize = 16;
/// Answers whose grants are still taken (count): those for all groups, of as many rounds as a lease holder knows.
const MOST_ASKED: usize = MAX_ROUNDS * MAX_GROUPS.div_ceil(MIN_DEMANDS);

#[derive(Clone, Copy, Debug)]
struct Loan {
    term: Term,
    lent: Milli,
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u32,
    granted: Milli,
    until: Time,
}

#[derive(Clone, Debug, Default)]
struct Group {
    loans: VecDeque<Loan>,
    grants: VecDeque<Grant>,
}

/// Answers that are due: the lease holder's term and round, and mean rates as told.
#[derive(Clone, Debug)]
struct Call {
    term: Term,
    round: u32,
    at: Time,
    means: BTreeMap<GroupId, u32>,
}

/// What one gateway answers to a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaReport {
    /// The lease holder's term.
    pub term: Term,
    /// Its round.
    pub round: u32,
    /// Counts this gateway's answers.
    pub number: u32,
    /// What it says.
    pub lines: Vec<GroupDemand>,
}

/// One gateway's quota in all groups.
#[derive(Clone, Debug)]
pub struct Quota {
    settings: Settings,
    /// Up to then it is as though the most had been lent, and nothing is: what was before the start is forgotten.
    starting: Time,
    groups: BTreeMap<GroupId, Group>,
    call: Option<Call>,
    /// Answers by number, and when each was sent.
    asked: VecDeque<(u32, Time)>,
    number: u32,
}

impl Quota {
    /// That of a gateway that starts now. `number`: what its answers are counted from; drawn, so that one that starts
    /// again takes nothing that was granted to the one before.
    pub fn new(settings: Settings, now: Time, number: u32) -> Quota {
        let drifted =
            settings.loan_duration() as f64 * (1.0 + settings.drift_bound) / (1.0 - settings.drift_bound);
        let starting = if mutant(Mutant::PledgeForgotten) { now } else { now + drifted.ceil() as Time };
        let (groups, asked) = (BTreeMap::new(), VecDeque::new());
        Quota { settings, starting, groups, call: None, asked, number }
    }

    /// A lease holder's round came. It is answered at this gateway's turn.
    pub fn on_round(&mut self, now: Time, term: Term, round: u32, means: &[(GroupId, u32)]) {
        let at = now + self.settings.turn();
        let call = self.call.get_or_insert_with(|| Call { term, round, at, means: BTreeMap::new() });
        if (call.term, call.round) < (term, round) {
            // One that was not answered yet is answered with the newer one, at the time that it had.
            (call.term, call.round) = (term, round);
        }
        if (call.term, call.round) == (term, round) {
            let room = MAX_GROUPS.saturating_sub(call.means.len());
            call.means.extend(means.iter().take(room).copied());
        }
    }

    /// When [`Quota::due_reports`] is to be called, if at all.
    pub fn next_deadline(&self) -> Option<Time> {
        self.call.as_ref().map(|call| call.at)
    }

    /// Answers that are to be sent now. `rates`: requests of each group (thousandths a second). The decisions have to
    /// be told of [`Quota::current`] before these leave.
    pub fn due_reports(&mut self, now: Time, rates: &BTreeMap<GroupId, u32>) -> Vec<QuotaReport> {
        if self.call.as_ref().is_none_or(|call| now < call.at) {
            return Vec::new();
        }
        let Some(Call { term, round, means, .. }) = self.call.take() else { return Vec::new() };
        self.groups.retain(|group, state| {
            state.loans.retain(|loan| now < loan.until);
            state.grants.retain(|grant| now < grant.until);
            rates.contains_key(group) || !state.loans.is_empty()
        });
        let lines: Vec<GroupDemand> = rates
            .iter()
            .take(MAX_GROUPS)
            .map(|(group, rate)| {
                let rate = (*rate).min(MAX_RATE);
                let mean = means.get(group).copied();
                GroupDemand { group: *group, rate, requested: self.requested(now, term, *group, rate, mean) }
            })
            .collect();
        let numbered = |lines: Vec<GroupDemand>| {
            self.number = self.number.wrapping_add(1);
            self.asked.push_back((self.number, now));
            if self.asked.len() > MOST_ASKED {
                self.asked.pop_front();
            }
            QuotaReport { term, round, number: self.number, lines }
        };
        pieces(&lines).into_iter().map(numbered).collect()
    }

    /// What is asked for a group, or lent, which is promised here and now.
    fn requested(&mut self, now: Time, term: Term, group: GroupId, rate: u32, mean: Option<u32>) -> Milli {
        // A lease holder that knows no mean yet is told the rate alone.
        let Some(mean) = mean.filter(|mean| *mean > 0) else { return 0 };
        let share = f64::from(rate) / f64::from(mean);
        let state = self.groups.entry(group).or_default();
        let lent = state.loans.iter().any(|loan| now < loan.until);
        if share * HEADROOM >= 1.0 {
            // What was lent is not back yet: nothing is asked for before.
            let requested = ((share - 1.0) * 1000.0).clamp(0.0, f64::from(MAX_GRANTED)) as Milli;
            return if lent { 0 } else { requested };
        }
        let elsewhere = state.loans.iter().any(|loan| now < loan.until && loan.term != term);
        let granted = state.grants.iter().any(|grant| now < grant.until);
        // A loan that lives is never forgotten: with so many of them nothing more is promised.
        let full = state.loans.len() >= MOST;
        if now < self.starting || (elsewhere && !mutant(Mutant::PledgedTwice)) || granted || full {
            return 0;
        }
        let lent = ((1.0 - share * HEADROOM) * 1000.0).clamp(0.0, f64::from(MAX_LENT)) as Milli;
        if lent > 0 {
            state.loans.push_back(Loan { term, lent, until: now + self.settings.loan_duration() });
        }
        -lent
    }

    /// A lease holder grants_for this, for an answer of this number.
    pub fn on_grant(&mut self, now: Time, number: u32, granted: &[(GroupId, Milli)]) {
        let Some((_, sent)) = self.asked.iter().find(|(known, _)| *known == number).copied() else { return };
        let begun = if mutant(Mutant::GrantFromArrival) { now } else { sent };
        let until = begun + self.settings.grant_duration();
        for (group, granted) in granted.iter().take(MAX_DEMANDS) {
            let Some(state) = self.groups.get_mut(group) else { continue };
            if now < until && *granted > 0 {
                state.grants.push_back(Grant { number, granted: (*granted).min(MAX_GRANTED), until });
                if state.grants.len() > MOST {
                    state.grants.pop_front();
                }
            }
        }
    }

    /// What this gateway may use of a group beside, or instead of, its even quota, and until when that is so.
    pub fn current(&self, now: Time, group: GroupId) -> Share {
        let state = self.groups.get(&group);
        let loans = state.into_iter().flat_map(|state| &state.loans).filter(|loan| now < loan.until);
        let (mut lent, mut until) = (0, Time::MIN);
        for loan in loans {
            (lent, until) = (loan.lent.max(lent), loan.until.max(until));
        }
        if now < self.starting {
            (lent, until) = (MAX_LENT, until.max(self.starting));
        }
        if lent > 0 {
            return Share { extra: -f64::from(lent) / 1000.0, until };
        }
        let grants = state.into_iter().flat_map(|state| &state.grants).filter(|grant| now < grant.until);
        // The newest asking's, though it may have come before an older one's.
        let newest = grants.max_by_key(|grant| grant.number.wrapping_sub(self.number.wrapping_add(1)));
        newest.map_or(Share::default(), |grant| Share {
            extra: f64::from(grant.granted) / 1000.0,
            until: grant.until,
        })
    }

    /// Groups of which something is lent or granted now.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.groups.keys().copied()
    }
}
