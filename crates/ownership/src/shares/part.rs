//! One gateway's part: what it has lent and what it was given, and for how long.

use super::{
    pieces, Line, Milli, HEADROOM, LEAST_LINES, MOST_GIVEN, MOST_GROUPS, MOST_LENT, MOST_LINES, MOST_RATE,
    MOST_ROUNDS,
};
use crate::{Settings, Term};
use petrelgauge_policy::{mutant, GroupId, Mutant, Share, Time};
use std::collections::{BTreeMap, VecDeque};

/// Pledges and grants of a group that are remembered (count): more rounds than a pledge lives for.
const MOST: usize = 16;
/// Answers whose grants are still taken (count): those for all groups, of as many rounds as an owner knows.
const MOST_ASKED: usize = MOST_ROUNDS * MOST_GROUPS.div_ceil(LEAST_LINES);

#[derive(Clone, Copy, Debug)]
struct Pledge {
    term: Term,
    lent: Milli,
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u32,
    given: Milli,
    until: Time,
}

#[derive(Clone, Debug, Default)]
struct Group {
    pledges: VecDeque<Pledge>,
    grants: VecDeque<Grant>,
}

/// Answers that are due: the owner's term and round, and mean rates as told.
#[derive(Clone, Debug)]
struct Call {
    term: Term,
    round: u32,
    at: Time,
    means: BTreeMap<GroupId, u32>,
}

/// What one gateway answers to a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The owner's term.
    pub term: Term,
    /// Its round.
    pub round: u32,
    /// Counts this gateway's answers.
    pub number: u32,
    /// What it says.
    pub lines: Vec<Line>,
}

/// One gateway's part in all groups.
#[derive(Clone, Debug)]
pub struct Part {
    settings: Settings,
    /// Up to then it is as though the most had been lent, and nothing is: what was before the start is forgotten.
    starting: Time,
    groups: BTreeMap<GroupId, Group>,
    call: Option<Call>,
    /// Answers by number, and when each was sent.
    asked: VecDeque<(u32, Time)>,
    number: u32,
}

impl Part {
    /// That of a gateway that starts now. `number`: what its answers are counted from; drawn, so that one that starts
    /// again takes nothing that was given to the one before.
    pub fn new(settings: Settings, now: Time, number: u32) -> Part {
        let drifted = settings.pledge_life() as f64 * (1.0 + settings.drift) / (1.0 - settings.drift);
        let starting = if mutant(Mutant::PledgeForgotten) { now } else { now + drifted.ceil() as Time };
        let (groups, asked) = (BTreeMap::new(), VecDeque::new());
        Part { settings, starting, groups, call: None, asked, number }
    }

    /// An owner's round came. It is answered at this gateway's turn.
    pub fn hear_round(&mut self, now: Time, term: Term, round: u32, means: &[(GroupId, u32)]) {
        let at = now + self.settings.turn();
        let call = self.call.get_or_insert_with(|| Call { term, round, at, means: BTreeMap::new() });
        if (call.term, call.round) < (term, round) {
            // One that was not answered yet is answered with the newer one, at the time that it had.
            (call.term, call.round) = (term, round);
        }
        if (call.term, call.round) == (term, round) {
            let room = MOST_GROUPS.saturating_sub(call.means.len());
            call.means.extend(means.iter().take(room).copied());
        }
    }

    /// When [`Part::due`] is to be called, if at all.
    pub fn due_at(&self) -> Option<Time> {
        self.call.as_ref().map(|call| call.at)
    }

    /// Answers that are to be sent now. `rates`: requests of each group (thousandths a second). The decisions have to
    /// be told of [`Part::share`] before these leave.
    pub fn due(&mut self, now: Time, rates: &BTreeMap<GroupId, u32>) -> Vec<Answer> {
        if self.call.as_ref().is_none_or(|call| now < call.at) {
            return Vec::new();
        }
        let Some(Call { term, round, means, .. }) = self.call.take() else { return Vec::new() };
        self.groups.retain(|group, state| {
            state.pledges.retain(|pledge| now < pledge.until);
            state.grants.retain(|grant| now < grant.until);
            rates.contains_key(group) || !state.pledges.is_empty()
        });
        let lines: Vec<Line> = rates
            .iter()
            .take(MOST_GROUPS)
            .map(|(group, rate)| {
                let rate = (*rate).min(MOST_RATE);
                let mean = means.get(group).copied();
                Line { group: *group, rate, asks: self.asks(now, term, *group, rate, mean) }
            })
            .collect();
        let numbered = |lines: Vec<Line>| {
            self.number = self.number.wrapping_add(1);
            self.asked.push_back((self.number, now));
            if self.asked.len() > MOST_ASKED {
                self.asked.pop_front();
            }
            Answer { term, round, number: self.number, lines }
        };
        pieces(&lines).into_iter().map(numbered).collect()
    }

    /// What is asked for a group, or lent, which is promised here and now.
    fn asks(&mut self, now: Time, term: Term, group: GroupId, rate: u32, mean: Option<u32>) -> Milli {
        // An owner that knows no mean yet is told the rate alone.
        let Some(mean) = mean.filter(|mean| *mean > 0) else { return 0 };
        let share = f64::from(rate) / f64::from(mean);
        let state = self.groups.entry(group).or_default();
        let lent = state.pledges.iter().any(|pledge| now < pledge.until);
        if share * HEADROOM >= 1.0 {
            // What was lent is not back yet: nothing is asked for before.
            let asks = ((share - 1.0) * 1000.0).clamp(0.0, f64::from(MOST_GIVEN)) as Milli;
            return if lent { 0 } else { asks };
        }
        let elsewhere = state.pledges.iter().any(|pledge| now < pledge.until && pledge.term != term);
        let given = state.grants.iter().any(|grant| now < grant.until);
        // A pledge that lives is never forgotten: with so many of them nothing more is promised.
        let full = state.pledges.len() >= MOST;
        if now < self.starting || (elsewhere && !mutant(Mutant::PledgedTwice)) || given || full {
            return 0;
        }
        let lent = ((1.0 - share * HEADROOM) * 1000.0).clamp(0.0, f64::from(MOST_LENT)) as Milli;
        if lent > 0 {
            state.pledges.push_back(Pledge { term, lent, until: now + self.settings.pledge_life() });
        }
        -lent
    }

    /// An owner gives this, for an answer of this number.
    pub fn hear_grant(&mut self, now: Time, number: u32, given: &[(GroupId, Milli)]) {
        let Some((_, sent)) = self.asked.iter().find(|(known, _)| *known == number).copied() else { return };
        let begun = if mutant(Mutant::GrantFromArrival) { now } else { sent };
        let until = begun + self.settings.grant_life();
        for (group, given) in given.iter().take(MOST_LINES) {
            let Some(state) = self.groups.get_mut(group) else { continue };
            if now < until && *given > 0 {
                state.grants.push_back(Grant { number, given: (*given).min(MOST_GIVEN), until });
                if state.grants.len() > MOST {
                    state.grants.pop_front();
                }
            }
        }
    }

    /// What this gateway may use of a group beside, or instead of, its even part, and until when that is so.
    pub fn share(&self, now: Time, group: GroupId) -> Share {
        let state = self.groups.get(&group);
        let pledges = state.into_iter().flat_map(|state| &state.pledges).filter(|pledge| now < pledge.until);
        let (mut lent, mut until) = (0, Time::MIN);
        for pledge in pledges {
            (lent, until) = (pledge.lent.max(lent), pledge.until.max(until));
        }
        if now < self.starting {
            (lent, until) = (MOST_LENT, until.max(self.starting));
        }
        if lent > 0 {
            return Share { extra: -f64::from(lent) / 1000.0, until };
        }
        let grants = state.into_iter().flat_map(|state| &state.grants).filter(|grant| now < grant.until);
        // The newest asking's, though it may have come before an older one's.
        let newest = grants.max_by_key(|grant| grant.number.wrapping_sub(self.number.wrapping_add(1)));
        newest.map_or(Share::default(), |grant| Share {
            extra: f64::from(grant.given) / 1000.0,
            until: grant.until,
        })
    }

    /// Groups of which something is lent or given now.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.groups.keys().copied()
    }
}
