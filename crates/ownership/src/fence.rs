//! Fencing: a receiver remembers the highest term seen for each role and rejects effects under lower terms.
//! Those come from an earlier holder that does not know yet that its lease has expired.

use crate::{LeadershipRole, Term, MAX_ROLES};
use petrelgauge_policy::{mutant, Mutant};
use std::collections::BTreeMap;
use thiserror::Error;

/// Terms from here on are implausible: the time in milliseconds with [`crate::PROPOSER_BITS`] more bits stays
/// far below. A corrupted one that was admitted would fence out every later holder.
const TERM_LIMIT: Term = 1 << 62;

/// An effect was rejected because a newer term is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an effect under term {term} comes after one under term {highest}")]
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
    /// Admits an effect under this term and remembers the term. Call it before the effect is applied.
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

    /// Evicts the role with the lowest term if there are too many. Terms grow with time, so that role has
    /// been idle longest.
    fn make_room_for(&mut self, role: LeadershipRole) {
        if self.highest.contains_key(&role) || self.highest.len() < MAX_ROLES {
            return;
        }
        let oldest = self.highest.iter().min_by_key(|(_, term)| **term).map(|(role, _)| *role);
        oldest.and_then(|role| self.highest.remove(&role));
    }
}
