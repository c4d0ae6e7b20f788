//! Preparing for a role, owning it, renewing it and giving it up.
//!
//! ```text
//!         Due              majority promised          majority accepted
//! Idle ---------> Preparing ---------------------> Proposing ----------------> Holding --Due--> Holding (renewing)
//!   ^               |                              |                          |
//!   +---- denied, another owns it, too late -------+------- lease over -------+
//! ```
//!
//! The lease is reckoned from the moment at which the bid was **sent**, by the candidate's own clock: each acceptor
//! reckons from when it came, which is later. Each bid has a number of its own, so that a late answer to an earlier one
//! renews nothing.

use crate::message::{LeaseRequest, LeaseResponse};
use crate::{Ballot, GatewayId, Settings, Term, PROPOSER_BITS};
use petrelgauge_policy::{mutant, Mutant, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// It does not ask before this time.
    Idle { retry_at: Time },
    /// It asked for promises.
    Preparing { deadline: Time, promised: BTreeSet<GatewayId> },
    /// It bids, since this time.
    Proposing { sent_at: Time, deadline: Time, accepted: BTreeSet<GatewayId> },
    /// It owns the role up to `expires_at`. `renewal`: a bid to renew it is out since then, and who accepted it.
    Holding { expires_at: Time, renewal: Option<(Time, BTreeSet<GatewayId>)> },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Send this to all acceptors.
    Send(LeaseRequest),
    /// It owns the role from now on, under this term; all may be told.
    Acquired(Term),
    /// It goes on to own the role, under the same term; all may be told.
    Renewed(Term),
    /// It does not own the role any more.
    Lost(Term),
}

/// One gateway that wants a role.
#[derive(Clone, Debug)]
pub struct Candidate {
    settings: Settings,
    state: State,
    ballot: Ballot,
    /// The highest term that it has heard of.
    highest: Term,
    round: u32,
    /// Attempts in a row without success.
    failed_attempts: u32,
    rng: Pcg64Mcg,
}

impl Candidate {
    /// One that starts now. `base`: the highest term that is known.
    pub fn new(settings: Settings, now: Time, base: Term, seed: u64) -> Candidate {
        let ballot = Ballot { term: 0, proposer: settings.self_id };
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let state = State::Idle { retry_at: now };
        let mut one = Candidate { settings, state, ballot, highest: base, round: 0, failed_attempts: 0, rng };
        one.back_off(now);
        one
    }

    /// The term under which it may act now. To be asked with the time read right before each effect.
    pub fn held_term(&self, now: Time) -> Option<Term> {
        match &self.state {
            State::Holding { expires_at, .. } if now < *expires_at => Some(self.ballot.term),
            State::Holding { expires_at, .. } if now == *expires_at && mutant(Mutant::LeaseEndIncluded) => {
                Some(self.ballot.term)
            }
            _ => None,
        }
    }

    /// What is remaining of its lease.
    pub fn remaining(&self, now: Time) -> Time {
        match &self.state {
            State::Holding { expires_at, .. } => (expires_at - now).max(0),
            _ => 0,
        }
    }

    /// When [`Candidate::on_deadline`] is to be called.
    pub fn next_deadline(&self) -> Time {
        match &self.state {
            State::Idle { retry_at } => *retry_at,
            State::Preparing { deadline, .. } | State::Proposing { deadline, .. } => *deadline,
            State::Holding { expires_at, renewal: None } => expires_at - self.settings.renew_before_expiry(),
            State::Holding { expires_at, renewal: Some((sent, _)) } => {
                (sent + self.settings.response_timeout()).min(*expires_at)
            }
        }
    }

    /// Somebody owns the role under this term for so long at most: no use in asking before.
    pub fn observe_lease(&mut self, now: Time, term: Term, remaining: Time) {
        self.highest = self.highest.max(term);
        if term < self.ballot.term {
            return;
        }
        self.failed_attempts = 0;
        let turn = self.stagger();
        if let State::Idle { retry_at } = &mut self.state {
            *retry_at = (*retry_at).max(now + remaining.clamp(0, self.settings.acceptance_duration()) + turn);
        }
    }

    /// Its turn among candidates that all wait for the same grant to run out: each leaves the one before it the time to
    /// win. One that is no acceptor draws its turn.
    fn stagger(&mut self) -> Time {
        let Settings { acceptors, self_id, max_delay, .. } = &self.settings;
        let drawn = (self.rng.next_u64() >> 1) as Time;
        let place = acceptors.iter().position(|acceptor| acceptor == self_id);
        let place = place.unwrap_or(drawn as usize % acceptors.len().max(1));
        place as Time * self.settings.response_timeout() + drawn % (*max_delay).max(1)
    }

    /// A higher term is about: it was seen by somebody who rejected something of this one away.
    pub fn observe_term(&mut self, term: Term) {
        self.highest = self.highest.max(term);
    }

    /// The time that [`Candidate::next_deadline`] named has come.
    pub fn on_deadline(&mut self, now: Time) -> Action {
        if now < self.next_deadline() {
            return Action::Wait;
        }
        match &self.state {
            State::Idle { .. } => {
                // The time, too: an acceptor that started again may have forgotten the last lease holder's term. It is silent
                // for longer than a lease after that, so a bid that it promises is later by as much.
                let timed = ((now / 1000).max(0) as Term) << PROPOSER_BITS;
                let heard = self.highest.max(self.ballot.term);
                let highest = if mutant(Mutant::TermNotRaised) { heard } else { heard.max(timed) };
                let next = next_term(highest, self.settings.self_id);
                self.ballot.term = if mutant(Mutant::TermNotRaised) { highest } else { next };
                self.highest = self.ballot.term;
                self.state = State::Preparing {
                    deadline: now + self.settings.response_timeout(),
                    promised: BTreeSet::new(),
                };
                Action::Send(LeaseRequest::Prepare { ballot: self.ballot })
            }
            State::Preparing { .. } | State::Proposing { .. } => {
                self.failed_attempts += 1;
                self.back_off(now);
                Action::Wait
            }
            State::Holding { expires_at, .. } if now >= *expires_at => {
                self.back_off(now);
                Action::Lost(self.ballot.term)
            }
            State::Holding { expires_at, .. } => {
                let expires_at = *expires_at;
                self.round += 1;
                self.state = State::Holding { expires_at, renewal: Some((now, BTreeSet::new())) };
                Action::Send(LeaseRequest::Propose { ballot: self.ballot, round: self.round })
            }
        }
    }

    /// An acceptor answers.
    pub fn on(&mut self, now: Time, from: GatewayId, answer: LeaseResponse) -> Action {
        if !self.settings.acceptors.contains(&from) || answer.ballot() != self.ballot {
            return Action::Wait;
        }
        if let State::Preparing { deadline, .. } | State::Proposing { deadline, .. } = &self.state {
            // So late that a term from then may lie under that of a lease holder whom an acceptor has forgotten since.
            if now >= *deadline && !mutant(Mutant::LateAnswerCounts) {
                return Action::Wait;
            }
        }
        let majority = self.settings.majority();
        let enough =
            |who: &BTreeSet<GatewayId>| who.len() >= majority - usize::from(mutant(Mutant::MinorityEnough));
        match (&mut self.state, answer) {
            (State::Preparing { promised, .. }, LeaseResponse::Promised { granted: None, .. }) => {
                promised.insert(from);
                if !enough(promised) {
                    return Action::Wait;
                }
                self.round += 1;
                let deadline = now + self.settings.response_timeout();
                self.state = State::Proposing { sent_at: now, deadline, accepted: BTreeSet::new() };
                Action::Send(LeaseRequest::Propose { ballot: self.ballot, round: self.round })
            }
            (State::Preparing { .. }, LeaseResponse::Promised { granted: Some((holder, remaining)), .. }) => {
                self.highest = self.highest.max(holder.term);
                self.back_off(now);
                self.observe_lease(now, self.ballot.term, remaining);
                Action::Wait
            }
            (State::Proposing { sent_at, accepted, .. }, LeaseResponse::Accepted { round, .. })
                if round == self.round =>
            {
                accepted.insert(from);
                if !enough(accepted) {
                    return Action::Wait;
                }
                let started_at = if mutant(Mutant::LeaseFromAnswer) { now } else { *sent_at };
                let expires_at = started_at + self.settings.lease;
                if now >= expires_at {
                    // So long ago that nothing of the lease is remaining.
                    self.back_off(now);
                    return Action::Wait;
                }
                self.failed_attempts = 0;
                self.state = State::Holding { expires_at, renewal: None };
                Action::Acquired(self.ballot.term)
            }
            (State::Holding { expires_at, renewal }, LeaseResponse::Accepted { round, .. })
                if round == self.round || mutant(Mutant::OldRoundRenews) =>
            {
                // Over is over, also if a majority has just said yes.
                if let Some((sent_at, accepted)) = renewal.as_mut().filter(|_| now < *expires_at) {
                    accepted.insert(from);
                    if enough(accepted) {
                        *expires_at = (*expires_at).max(*sent_at + self.settings.lease);
                        *renewal = None;
                        return Action::Renewed(self.ballot.term);
                    }
                }
                Action::Wait
            }
            // A copy of what it asked came to an acceptor.
            (_, LeaseResponse::Rejected { highest, .. }) if highest == self.ballot => Action::Wait,
            (_, LeaseResponse::Rejected { highest, .. }) => {
                self.highest = self.highest.max(highest.term);
                if matches!(self.state, State::Holding { .. }) {
                    // Others may still renew it; if not, it runs out.
                    return Action::Wait;
                }
                self.failed_attempts += 1;
                self.back_off(now);
                Action::Wait
            }
            _ => Action::Wait,
        }
    }

    /// Gives the role up before its time.
    pub fn release(&mut self, now: Time) -> Option<LeaseRequest> {
        self.held_term(now)?;
        self.back_off(now);
        Some(LeaseRequest::Release { ballot: self.ballot })
    }

    /// Waits before it asks again: a draw from ever longer spans, so that of many one comes first.
    fn back_off(&mut self, now: Time) {
        let longest = self.settings.response_timeout() << self.failed_attempts.min(3);
        let wait = (self.rng.next_u64() >> 1) as Time;
        self.state = State::Idle { retry_at: now + wait % longest.max(1) };
    }
}

/// The next term above this one: a count, and the bidder's number in its lowest bits. Two bidders that heard of the same
/// term ask for two, and each lease holder's is its own.
fn next_term(highest: Term, me: GatewayId) -> Term {
    ((highest >> PROPOSER_BITS).saturating_add(1) << PROPOSER_BITS) | Term::from(me)
}
