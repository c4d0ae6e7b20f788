//! What a receiver remembers of owners: the highest term seen of each duty. An effect under an older one comes from an
//! owner that does not know yet that it is none.

use crate::{Duty, Term, MOST_DUTIES};
use petrelgauge_policy::{mutant, Mutant};
use std::collections::BTreeMap;

/// An effect that was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an effect under term {term} comes after one under term {highest}")]
pub struct Turned {
    /// Its term.
    pub term: Term,
    /// The highest seen.
    pub highest: Term,
}

/// The highest terms seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest: BTreeMap<Duty, Term>,
    turned: u64,
}

/// Terms are the times of starts in milliseconds, raised by one with each owner, and 16 bits more. One that lies further
/// ahead than that can bring is an altered or a foreign one, and would lock every true owner out for good.
const MOST_TERM: Term = 1 << 62;

impl Fence {
    /// An effect comes. It may be taken only if this says so.
    pub fn pass(&mut self, duty: Duty, term: Term) -> Result<(), Turned> {
        let highest = self.highest.get(&duty).copied().unwrap_or(0);
        let older =
            if mutant(Mutant::FenceReversed) { term > highest && highest > 0 } else { term < highest };
        if older || term >= MOST_TERM {
            self.turned += 1;
            return Err(Turned { term, highest });
        }
        if !self.highest.contains_key(&duty) && self.highest.len() >= MOST_DUTIES {
            // The one whose term is lowest has been quiet for longest, as far as terms are times.
            let oldest = self.highest.iter().min_by_key(|(_, term)| **term).map(|(duty, _)| *duty);
            oldest.and_then(|duty| self.highest.remove(&duty));
        }
        self.highest.insert(duty, term);
        Ok(())
    }

    /// The highest term seen of a duty.
    pub fn highest(&self, duty: Duty) -> Option<Term> {
        self.highest.get(&duty).copied()
    }

    /// Effects that were turned away.
    pub fn turned(&self) -> u64 {
        self.turned
    }
}
