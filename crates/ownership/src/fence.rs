//! What a receiver remembers of lease holders: the highest term seen of each role. An effect under an older one comes from an
//! lease holder that does not know yet that it is none.

use crate::{LeadershipRole, Term, MAX_ROLES};
use petrelgauge_policy::{mutant, Mutant};
use std::collections::BTreeMap;

/// An effect that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an effect under term {term} comes after one under term {highest}")]
pub struct StaleTerm {
    /// Its term.
    pub term: Term,
    /// The highest seen.
    pub highest: Term,
}

/// The highest terms seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<LeadershipRole, Term>,
    rejected: u64,
}

/// Terms are the times of starts in milliseconds, raised by one with each lease holder, and 16 bits more. One that lies further
/// ahead than that can bring is an altered or a foreign one, and would lock every true lease holder out for good.
const MAX_TERM: Term = 1 << 62;

impl Fence {
    /// An effect comes. It may be acquired only if this says so.
    pub fn admit(&mut self, role: LeadershipRole, term: Term) -> Result<(), StaleTerm> {
        let highest = self.highest.get(&role).copied().unwrap_or(0);
        let older =
            if mutant(Mutant::FenceReversed) { term > highest && highest > 0 } else { term < highest };
        if older || term >= MAX_TERM {
            self.rejected += 1;
            return Err(StaleTerm { term, highest });
        }
        if !self.highest.contains_key(&role) && self.highest.len() >= MAX_ROLES {
            // The one whose term is lowest has been quiet for longest, as far as terms are times.
            let oldest = self.highest.iter().min_by_key(|(_, term)| **term).map(|(role, _)| *role);
            oldest.and_then(|role| self.highest.remove(&role));
        }
        self.highest.insert(role, term);
        Ok(())
    }

    /// The highest term seen of a role.
    pub fn highest(&self, role: LeadershipRole) -> Option<Term> {
        self.highest.get(&role).copied()
    }

    /// Effects that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}
