//! A candidate for one role: acquires the lease, renews it and releases it.
//!
//! ```text
//!       deadline             majority promised            majority accepted
//! Idle ----------> Preparing -----------------> Proposing -----------------> Holding (renews at deadline)
//!  ^                   |                            |                           |
//!  +-- rejected, lease held by another, timeout ----+------ lease expired ------+
//! ```
//!
//! The candidate measures the lease from the time at which it **sent** the proposal, by its own clock. Each
//! acceptor measures it from the arrival of the proposal, which is later. Proposals are numbered so that a
//! late response to an earlier proposal cannot renew the lease.

use crate::message::{GrantedLease, LeaseRequest, LeaseResponse};
use crate::{Ballot, GatewayId, Settings, Term, PROPOSER_BITS};
use petrelgauge_policy::{mutant, Mutant, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Resolution of the time that is part of a term (microseconds).
const TERM_TICK: Time = 1_000;

/// A proposal to renew the lease that a majority has not accepted yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Renewal {
    sent_at: Time,
    accepted: BTreeSet<GatewayId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Sends nothing before `retry_at`.
    Idle { retry_at: Time },
    /// Waits for promises from a majority.
    Preparing { deadline: Time, promised: BTreeSet<GatewayId> },
    /// Waits for a majority to accept the proposal.
    Proposing { sent_at: Time, deadline: Time, accepted: BTreeSet<GatewayId> },
    /// Holds the lease.
    Holding { expires_at: Time, renewal: Option<Renewal> },
}

/// What the caller has to do after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Do nothing.
    Wait,
    /// Send this request to all acceptors.
    Send(LeaseRequest),
    /// The candidate holds the lease from now on, under this term; other gateways may be notified.
    Acquired(Term),
    /// The lease was renewed under the same term; other gateways may be notified.
    Renewed(Term),
    /// The lease has expired.
    Lost(Term),
}

/// One gateway's candidacy for one role.
#[derive(Clone, Debug)]
pub struct Candidate {
    settings: Settings,
    state: State,
    ballot: Ballot,
    /// The highest term seen in any message.
    highest_term: Term,
    /// Number of the last proposal.
    round: u32,
    /// Consecutive failed attempts.
    failed_attempts: u32,
    rng: Pcg64Mcg,
}

impl Candidate {
    /// Creates a candidate that starts now. `highest_term` is the highest term known for the role; `seed`
    /// determines its backoff.
    pub fn new(settings: Settings, now: Time, highest_term: Term, seed: u64) -> Candidate {
        let ballot = Ballot { term: 0, proposer: settings.self_id };
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let state = State::Idle { retry_at: now };
        let mut candidate =
            Candidate { settings, state, ballot, highest_term, round: 0, failed_attempts: 0, rng };
        candidate.back_off(now);
        candidate
    }

    /// The term of the lease, if it is held at `now`. Callers must read the clock right before each effect.
    pub fn held_term(&self, now: Time) -> Option<Term> {
        let State::Holding { expires_at, .. } = &self.state else { return None };
        let at_the_end = now == *expires_at && mutant(Mutant::LeaseEndIncluded);
        (now < *expires_at || at_the_end).then_some(self.ballot.term)
    }

    /// Time until the lease expires (microseconds); 0 if it is not held.
    pub fn remaining(&self, now: Time) -> Time {
        match &self.state {
            State::Holding { expires_at, .. } => (expires_at - now).max(0),
            _ => 0,
        }
    }

    /// When [`Candidate::on_deadline`] is to be called next.
    pub fn next_deadline(&self) -> Time {
        match &self.state {
            State::Idle { retry_at } => *retry_at,
            State::Preparing { deadline, .. } | State::Proposing { deadline, .. } => *deadline,
            State::Holding { expires_at, renewal: None } => expires_at - self.settings.renew_before_expiry(),
            State::Holding { expires_at, renewal: Some(renewal) } => {
                (renewal.sent_at + self.settings.response_timeout()).min(*expires_at)
            }
        }
    }

    /// Records that another gateway holds the lease under this term for at most `remaining` more
    /// microseconds. An idle candidate waits until that lease has expired.
    pub fn observe_lease(&mut self, now: Time, term: Term, remaining: Time) {
        self.observe_term(term);
        if term < self.ballot.term {
            return;
        }
        self.failed_attempts = 0;
        let stagger = self.sample_stagger();
        let remaining = remaining.clamp(0, self.settings.acceptance_duration());
        if let State::Idle { retry_at } = &mut self.state {
            *retry_at = (*retry_at).max(now + remaining + stagger);
        }
    }

    /// Records a term that another gateway has used. The next ballot will have a higher one.
    pub fn observe_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Handles the deadline of the current state; does nothing before [`Candidate::next_deadline`].
    pub fn on_deadline(&mut self, now: Time) -> Action {
        if now < self.next_deadline() {
            return Action::Wait;
        }
        match &self.state {
            State::Idle { .. } => self.prepare(now),
            State::Preparing { .. } | State::Proposing { .. } => self.fail_attempt(now),
            State::Holding { expires_at, .. } if now >= *expires_at => {
                self.back_off(now);
                Action::Lost(self.ballot.term)
            }
            State::Holding { expires_at, .. } => {
                let expires_at = *expires_at;
                let renewal = Renewal { sent_at: now, accepted: BTreeSet::new() };
                self.state = State::Holding { expires_at, renewal: Some(renewal) };
                self.propose()
            }
        }
    }

    /// Handles an acceptor's response. Ignores late responses, responses to earlier ballots and responses
    /// from gateways that are not acceptors.
    pub fn on_response(&mut self, now: Time, from: GatewayId, response: LeaseResponse) -> Action {
        let is_acceptor = self.settings.acceptors.contains(&from);
        if !is_acceptor || response.ballot() != self.ballot || self.is_late(now) {
            return Action::Wait;
        }
        match response {
            LeaseResponse::Promised { granted: None, .. } => self.on_promise(now, from),
            LeaseResponse::Promised { granted: Some(lease), .. } => self.on_granted_lease(now, lease),
            LeaseResponse::Accepted { round, .. } => self.on_accepted(now, from, round),
            LeaseResponse::Rejected { highest, .. } => self.on_rejected(now, highest),
        }
    }

    /// Releases the lease before it expires. Returns the request for the acceptors, or `None` if the lease is
    /// not held.
    pub fn release(&mut self, now: Time) -> Option<LeaseRequest> {
        self.held_term(now)?;
        self.back_off(now);
        Some(LeaseRequest::Release { ballot: self.ballot })
    }

    /// Whether the attempt's deadline has passed. Later responses must not count, because an acceptor that
    /// has restarted in the meantime may have forgotten a holder with a higher term.
    fn is_late(&self, now: Time) -> bool {
        match &self.state {
            State::Preparing { deadline, .. } | State::Proposing { deadline, .. } => {
                now >= *deadline && !mutant(Mutant::LateAnswerAccepted)
            }
            _ => false,
        }
    }

    fn prepare(&mut self, now: Time) -> Action {
        self.ballot.term = self.next_term(now);
        self.highest_term = self.ballot.term;
        let deadline = now + self.settings.response_timeout();
        self.state = State::Preparing { deadline, promised: BTreeSet::new() };
        Action::Send(LeaseRequest::Prepare { ballot: self.ballot })
    }

    fn propose(&mut self) -> Action {
        self.round += 1;
        Action::Send(LeaseRequest::Propose { ballot: self.ballot, round: self.round })
    }

    fn on_promise(&mut self, now: Time, from: GatewayId) -> Action {
        let quorum = self.quorum();
        let State::Preparing { promised, .. } = &mut self.state else { return Action::Wait };
        promised.insert(from);
        if promised.len() < quorum {
            return Action::Wait;
        }
        let deadline = now + self.settings.response_timeout();
        self.state = State::Proposing { sent_at: now, deadline, accepted: BTreeSet::new() };
        self.propose()
    }

    /// Handles a promise from an acceptor that has accepted another lease that is still in force.
    fn on_granted_lease(&mut self, now: Time, lease: GrantedLease) -> Action {
        if !matches!(self.state, State::Preparing { .. }) {
            return Action::Wait;
        }
        self.observe_term(lease.ballot.term);
        self.back_off(now);
        self.observe_lease(now, self.ballot.term, lease.remaining);
        Action::Wait
    }

    fn on_accepted(&mut self, now: Time, from: GatewayId, round: u32) -> Action {
        let is_current = round == self.round;
        match self.state {
            State::Proposing { .. } if is_current => self.on_proposal_accepted(now, from),
            State::Holding { .. } if is_current || mutant(Mutant::OldRoundRenews) => {
                self.on_renewal_accepted(now, from)
            }
            _ => Action::Wait,
        }
    }

    fn on_proposal_accepted(&mut self, now: Time, from: GatewayId) -> Action {
        let quorum = self.quorum();
        let State::Proposing { sent_at, accepted, .. } = &mut self.state else { return Action::Wait };
        accepted.insert(from);
        if accepted.len() < quorum {
            return Action::Wait;
        }
        let started_at = if mutant(Mutant::LeaseFromAnswer) { now } else { *sent_at };
        let expires_at = started_at + self.settings.lease;
        if now >= expires_at {
            self.back_off(now);
            return Action::Wait;
        }
        self.failed_attempts = 0;
        self.state = State::Holding { expires_at, renewal: None };
        Action::Acquired(self.ballot.term)
    }

    fn on_renewal_accepted(&mut self, now: Time, from: GatewayId) -> Action {
        let quorum = self.quorum();
        let State::Holding { expires_at, renewal } = &mut self.state else { return Action::Wait };
        // An expired lease stays expired, even if a majority has just accepted its renewal.
        let Some(pending) = renewal.as_mut().filter(|_| now < *expires_at) else { return Action::Wait };
        pending.accepted.insert(from);
        if pending.accepted.len() < quorum {
            return Action::Wait;
        }
        *expires_at = (*expires_at).max(pending.sent_at + self.settings.lease);
        *renewal = None;
        Action::Renewed(self.ballot.term)
    }

    fn on_rejected(&mut self, now: Time, highest: Ballot) -> Action {
        // The acceptor has rejected a duplicate of a request from this candidate.
        if highest == self.ballot {
            return Action::Wait;
        }
        self.observe_term(highest.term);
        // The other acceptors may still renew a lease that is held; otherwise it expires.
        if matches!(self.state, State::Holding { .. }) {
            return Action::Wait;
        }
        self.fail_attempt(now)
    }

    fn fail_attempt(&mut self, now: Time) -> Action {
        self.failed_attempts += 1;
        self.back_off(now);
        Action::Wait
    }

    /// Backs off for a random time whose upper bound doubles with each failure, so that concurrent
    /// candidates don't keep colliding.
    fn back_off(&mut self, now: Time) {
        let doublings = self.failed_attempts.min(MAX_BACKOFF_DOUBLINGS);
        let max_backoff = self.settings.response_timeout() << doublings;
        let backoff = self.sample() % max_backoff.max(1);
        self.state = State::Idle { retry_at: now + backoff };
    }

    /// Samples a delay to wait after another gateway's lease has expired. Candidates that wait for the same
    /// lease retry in the order of the acceptors, far enough apart for the previous one to succeed. A
    /// candidate that is not an acceptor takes a random rank in that order.
    fn sample_stagger(&mut self) -> Time {
        let sample = self.sample();
        let Settings { acceptors, self_id, max_delay, .. } = &self.settings;
        let own_rank = acceptors.iter().position(|acceptor| acceptor == self_id);
        let rank = own_rank.unwrap_or(sample as usize % acceptors.len().max(1));
        rank as Time * self.settings.response_timeout() + sample % (*max_delay).max(1)
    }

    /// Samples a uniformly distributed non-negative number.
    fn sample(&mut self) -> Time {
        (self.rng.next_u64() >> 1) as Time
    }

    /// Number of acceptors that have to agree.
    fn quorum(&self) -> usize {
        self.settings.majority() - usize::from(mutant(Mutant::MinorityEnough))
    }

    /// A term above every term seen and above the time in milliseconds. A restarted acceptor may have
    /// forgotten the last holder's term. It was silent for longer than a lease, though, so the time alone
    /// makes the new term higher.
    fn next_term(&self, now: Time) -> Term {
        let highest_seen = self.highest_term.max(self.ballot.term);
        if mutant(Mutant::TermNotRaised) {
            return highest_seen;
        }
        let term_of_now = ((now / TERM_TICK).max(0) as Term) << PROPOSER_BITS;
        term_above(highest_seen.max(term_of_now), self.settings.self_id)
    }
}

/// The lowest term of this proposer whose counter is above that of `highest`.
fn term_above(highest: Term, proposer: GatewayId) -> Term {
    let counter = (highest >> PROPOSER_BITS).saturating_add(1);
    (counter << PROPOSER_BITS) | Term::from(proposer)
}
