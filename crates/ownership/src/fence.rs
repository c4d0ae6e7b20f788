//! Fencing: a receiver remembers the highest term seen for each role and rejects effects under lower terms.
//! Those are sent by an earlier holder that doesn't know yet that its lease has expired.

use crate::{LeadershipRole, Term, MAX_ROLES};
use petrelgauge_policy::{mutant, Mutant};
use std::collections::BTreeMap;
use thiserror::Error;

/// Terms from this value on are implausible: the time in milliseconds, shifted by [`crate::PROPOSER_BITS`],
/// stays far below. If a corrupted term this high were admitted, every later holder would be fenced out.
const TERM_LIMIT: Term = 1 << 62;

/// An effect was rejected because its term is stale or implausibly high.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("rejected an effect under term {term}; the highest term seen is {highest}")]
pub struct StaleTerm {
    /// The term of the effect.
    pub term: Term,
    /// The highest term seen.
    pub highest: Term,
}

/// The highest term seen for each of at most [`MAX_ROLES`] roles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<LeadershipRole, Term>,
    rejected: u64,
}

impl Fence {
    /// Admits an effect under this term and records the term. Must be called before the effect is applied.
    ///
    /// # Errors
    ///
    /// Fails if the term is lower than one seen before for this role, or is 2^62 or more.
    pub fn admit(&mut self, role: LeadershipRole, term: Term) -> Result<(), StaleTerm> {
        let highest = self.highest.get(&role).copied().unwrap_or(0);
        let reversed = mutant(Mutant::FenceReversed);
        let is_stale = if reversed { term > highest && highest > 0 } else { term < highest };
        if is_stale || term >= TERM_LIMIT {
            self.rejected += 1;
            return Err(StaleTerm { term, highest });
        }
        self.make_room_for(role);
        self.highest.insert(role, term);
        Ok(())
    }

    /// The highest term seen for a role.
    pub fn highest(&self, role: LeadershipRole) -> Option<Term> {
        self.highest.get(&role).copied()
    }

    /// Number of effects rejected since the start.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Evicts the role with the lowest term if [`MAX_ROLES`] others are known. Terms increase with time, so
    /// that role has been idle for the longest time.
    fn make_room_for(&mut self, role: LeadershipRole) {
        if self.highest.contains_key(&role) || self.highest.len() < MAX_ROLES {
            return;
        }
        let oldest = self.highest.iter().min_by_key(|(_, term)| **term).map(|(role, _)| *role);
        oldest.and_then(|role| self.highest.remove(&role));
    }
}
