//! Fencing: a receiver remembers the highest term seen of each role and rejects effects under lower ones, which come
//! from an earlier holder that does not know yet that its lease has expired.

use crate::{LeadershipRole, Term, MAX_ROLES};
use petrelgauge_policy::{mutant, Mutant};
use std::collections::BTreeMap;
use thiserror::Error;

/// Terms are start times in milliseconds, raised by one with each holder, with 16 more bits. A term further ahead than
/// that is corrupted or of another fleet; admitting it would lock out every true holder for good.
const MAX_TERM: Term = 1 << 62;

/// An effect was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an effect under term {term} comes after one under term {highest}")]
pub struct StaleTerm {
    /// The term of the effect.
    pub term: Term,
    /// The highest term seen.
    pub highest: Term,
}

/// The highest terms seen, of at most [`MAX_ROLES`] roles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<LeadershipRole, Term>,
    rejected: u64,
}

impl Fence {
    /// Checks an effect before it is applied, and remembers its term.
    ///
    /// # Errors
    ///
    /// Fails if the term is lower than one seen before for this role, or is 2^62 or more.
    pub fn admit(&mut self, role: LeadershipRole, term: Term) -> Result<(), StaleTerm> {
        let highest = self.highest.get(&role).copied().unwrap_or(0);
        let reversed = mutant(Mutant::FenceReversed);
        let is_stale = if reversed { term > highest && highest > 0 } else { term < highest };
        if is_stale || term >= MAX_TERM {
            self.rejected += 1;
            return Err(StaleTerm { term, highest });
        }
        self.make_room_for(role);
        self.highest.insert(role, term);
        Ok(())
    }

    /// The highest term seen of a role.
    pub fn highest(&self, role: LeadershipRole) -> Option<Term> {
        self.highest.get(&role).copied()
    }

    /// Number of rejected effects since the start.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Forgets the role with the lowest term if there are too many: terms are times, so it has been quiet for longest.
    fn make_room_for(&mut self, role: LeadershipRole) {
        if self.highest.contains_key(&role) || self.highest.len() < MAX_ROLES {
            return;
        }
        let oldest = self.highest.iter().min_by_key(|(_, term)| **term).map(|(role, _)| *role);
        oldest.and_then(|role| self.highest.remove(&role));
    }
}
