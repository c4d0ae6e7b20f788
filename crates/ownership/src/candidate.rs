//! Asking for a duty, owning it, renewing it and giving it up.
//!
//! ```text
//!         Due              majority promised          majority accepted
//! Idle ---------> Asking ---------------------> Bidding ----------------> Owning --Due--> Owning (renewing)
//!   ^               |                              |                          |
//!   +---- denied, another owns it, too late -------+------- lease over -------+
//! ```
//!
//! The lease is reckoned from the moment at which the bid was **sent**, by the candidate's own clock: each elector
//! reckons from when it came, which is later. Each bid has a number of its own, so that a late answer to an earlier one
//! renews nothing.

use crate::message::{Answer, Ask};
use crate::{Ballot, Gateway, Settings, Term, WHO_BITS};
use petrelgauge_policy::{mutant, Mutant, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// It does not ask before this time.
    Idle { ask_at: Time },
    /// It asked for promises.
    Asking { by: Time, promised: BTreeSet<Gateway> },
    /// It bids, since this time.
    Bidding { sent_at: Time, by: Time, accepted: BTreeSet<Gateway> },
    /// It owns the duty up to `until`. `renewal`: a bid to renew it is out since then, and who accepted it.
    Owning { until: Time, renewal: Option<(Time, BTreeSet<Gateway>)> },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Ask all electors this.
    Ask(Ask),
    /// It owns the duty from now on, under this term; all may be told.
    Own(Term),
    /// It goes on to own the duty, under the same term; all may be told.
    Keep(Term),
    /// It does not own the duty any more.
    Lose(Term),
}

/// One gateway that wants a duty.
#[derive(Clone, Debug)]
pub struct Candidate {
    settings: Settings,
    stage: Stage,
    ballot: Ballot,
    /// The highest term that it has heard of.
    highest: Term,
    round: u32,
    /// Attempts in a row without success.
    failed: u32,
    dice: Pcg64Mcg,
}

impl Candidate {
    /// One that starts now. `base`: the highest term that is known.
    pub fn new(settings: Settings, now: Time, base: Term, seed: u64) -> Candidate {
        let ballot = Ballot { term: 0, who: settings.me };
        let dice = Pcg64Mcg::seed_from_u64(seed);
        let stage = Stage::Idle { ask_at: now };
        let mut one = Candidate { settings, stage, ballot, highest: base, round: 0, failed: 0, dice };
        one.rest(now);
        one
    }

    /// The term under which it may act now. To be asked with the time read right before each effect.
    pub fn may(&self, now: Time) -> Option<Term> {
        match &self.stage {
            Stage::Owning { until, .. } if now < *until => Some(self.ballot.term),
            Stage::Owning { until, .. } if now == *until && mutant(Mutant::LeaseEndIncluded) => {
                Some(self.ballot.term)
            }
            _ => None,
        }
    }

    /// What is left of its lease.
    pub fn left(&self, now: Time) -> Time {
        match &self.stage {
            Stage::Owning { until, .. } => (until - now).max(0),
            _ => 0,
        }
    }

    /// When [`Candidate::due`] is to be called.
    pub fn due_at(&self) -> Time {
        match &self.stage {
            Stage::Idle { ask_at } => *ask_at,
            Stage::Asking { by, .. } | Stage::Bidding { by, .. } => *by,
            Stage::Owning { until, renewal: None } => until - self.settings.renew(),
            Stage::Owning { until, renewal: Some((sent, _)) } => {
                (sent + self.settings.patience()).min(*until)
            }
        }
    }

    /// Somebody owns the duty under this term for so long at most: no use in asking before.
    pub fn heard(&mut self, now: Time, term: Term, left: Time) {
        self.highest = self.highest.max(term);
        if term < self.ballot.term {
            return;
        }
        self.failed = 0;
        let turn = self.turn();
        if let Stage::Idle { ask_at } = &mut self.stage {
            *ask_at = (*ask_at).max(now + left.clamp(0, self.settings.held()) + turn);
        }
    }

    /// Its turn among candidates that all wait for the same grant to run out: each leaves the one before it the time to
    /// win. One that is no elector draws its turn.
    fn turn(&mut self) -> Time {
        let Settings { electors, me, delay, .. } = &self.settings;
        let drawn = (self.dice.next_u64() >> 1) as Time;
        let place = electors.iter().position(|elector| elector == me);
        let place = place.unwrap_or(drawn as usize % electors.len().max(1));
        place as Time * self.settings.patience() + drawn % (*delay).max(1)
    }

    /// A higher term is about: it was seen by somebody who turned something of this one away.
    pub fn outbid(&mut self, term: Term) {
        self.highest = self.highest.max(term);
    }

    /// The time that [`Candidate::due_at`] named has come.
    pub fn due(&mut self, now: Time) -> Step {
        if now < self.due_at() {
            return Step::Wait;
        }
        match &self.stage {
            Stage::Idle { .. } => {
                // The time, too: an elector that started again may have forgotten the last owner's term. It is silent
                // for longer than a lease after that, so a bid that it promises is later by as much.
                let timed = ((now / 1000).max(0) as Term) << WHO_BITS;
                let heard = self.highest.max(self.ballot.term);
                let highest = if mutant(Mutant::TermNotRaised) { heard } else { heard.max(timed) };
                let next = next_term(highest, self.settings.me);
                self.ballot.term = if mutant(Mutant::TermNotRaised) { highest } else { next };
                self.highest = self.ballot.term;
                self.stage = Stage::Asking { by: now + self.settings.patience(), promised: BTreeSet::new() };
                Step::Ask(Ask::Prepare { ballot: self.ballot })
            }
            Stage::Asking { .. } | Stage::Bidding { .. } => {
                self.failed += 1;
                self.rest(now);
                Step::Wait
            }
            Stage::Owning { until, .. } if now >= *until => {
                self.rest(now);
                Step::Lose(self.ballot.term)
            }
            Stage::Owning { until, .. } => {
                let until = *until;
                self.round += 1;
                self.stage = Stage::Owning { until, renewal: Some((now, BTreeSet::new())) };
                Step::Ask(Ask::Propose { ballot: self.ballot, round: self.round })
            }
        }
    }

    /// An elector answers.
    pub fn on(&mut self, now: Time, from: Gateway, answer: Answer) -> Step {
        if !self.settings.electors.contains(&from) || answer.ballot() != self.ballot {
            return Step::Wait;
        }
        if let Stage::Asking { by, .. } | Stage::Bidding { by, .. } = &self.stage {
            // So late that a term from then may lie under that of an owner whom an elector has forgotten since.
            if now >= *by && !mutant(Mutant::LateAnswerCounts) {
                return Step::Wait;
            }
        }
        let majority = self.settings.majority();
        let enough =
            |who: &BTreeSet<Gateway>| who.len() >= majority - usize::from(mutant(Mutant::MinorityEnough));
        match (&mut self.stage, answer) {
            (Stage::Asking { promised, .. }, Answer::Promised { other: None, .. }) => {
                promised.insert(from);
                if !enough(promised) {
                    return Step::Wait;
                }
                self.round += 1;
                let by = now + self.settings.patience();
                self.stage = Stage::Bidding { sent_at: now, by, accepted: BTreeSet::new() };
                Step::Ask(Ask::Propose { ballot: self.ballot, round: self.round })
            }
            (Stage::Asking { .. }, Answer::Promised { other: Some((owner, left)), .. }) => {
                self.highest = self.highest.max(owner.term);
                self.rest(now);
                self.heard(now, self.ballot.term, left);
                Step::Wait
            }
            (Stage::Bidding { sent_at, accepted, .. }, Answer::Accepted { round, .. })
                if round == self.round =>
            {
                accepted.insert(from);
                if !enough(accepted) {
                    return Step::Wait;
                }
                let begun = if mutant(Mutant::LeaseFromAnswer) { now } else { *sent_at };
                let until = begun + self.settings.lease;
                if now >= until {
                    // So long ago that nothing of the lease is left.
                    self.rest(now);
                    return Step::Wait;
                }
                self.failed = 0;
                self.stage = Stage::Owning { until, renewal: None };
                Step::Own(self.ballot.term)
            }
            (Stage::Owning { until, renewal }, Answer::Accepted { round, .. })
                if round == self.round || mutant(Mutant::OldRoundRenews) =>
            {
                // Over is over, also if a majority has just said yes.
                if let Some((sent_at, accepted)) = renewal.as_mut().filter(|_| now < *until) {
                    accepted.insert(from);
                    if enough(accepted) {
                        *until = (*until).max(*sent_at + self.settings.lease);
                        *renewal = None;
                        return Step::Keep(self.ballot.term);
                    }
                }
                Step::Wait
            }
            // A copy of what it asked came to an elector.
            (_, Answer::Denied { highest, .. }) if highest == self.ballot => Step::Wait,
            (_, Answer::Denied { highest, .. }) => {
                self.highest = self.highest.max(highest.term);
                if matches!(self.stage, Stage::Owning { .. }) {
                    // Others may still renew it; if not, it runs out.
                    return Step::Wait;
                }
                self.failed += 1;
                self.rest(now);
                Step::Wait
            }
            _ => Step::Wait,
        }
    }

    /// Gives the duty up before its time.
    pub fn give_up(&mut self, now: Time) -> Option<Ask> {
        self.may(now)?;
        self.rest(now);
        Some(Ask::Release { ballot: self.ballot })
    }

    /// Waits before it asks again: a draw from ever longer spans, so that of many one comes first.
    fn rest(&mut self, now: Time) {
        let longest = self.settings.patience() << self.failed.min(3);
        let wait = (self.dice.next_u64() >> 1) as Time;
        self.stage = Stage::Idle { ask_at: now + wait % longest.max(1) };
    }
}

/// The next term above this one: a count, and the bidder's number in its lowest bits. Two bidders that heard of the same
/// term ask for two, and each owner's is its own.
fn next_term(highest: Term, me: Gateway) -> Term {
    ((highest >> WHO_BITS).saturating_add(1) << WHO_BITS) | Term::from(me)
}
