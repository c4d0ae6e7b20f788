//! Who runs beside this process, and what is left of one gateway's limits for it meanwhile.
//!
//! Each process writes a letter every [`PACE`], with what it holds. One whose last letter is older than [`FRESH`] does
//! not run, or stands still so long that it holds up nobody. What the others hold is not left for this one. So a process
//! that has just started gets what is free, a process that is being replaced leaves more with every letter, and neither
//! is asked to give up what its clients use.

use petrelgauge_policy::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Between two letters of a process (microseconds).
pub const PACE: Time = 250_000;
/// A letter tells that its writer runs for so long (microseconds): some letters may be late on a busy machine.
pub const FRESH: Time = 2_000_000;
/// Others that are counted at most: who starts more at a time does so by mistake.
pub const MOST: usize = 4;
/// Whatever the others hold, a process may have one part of so many: clients come to it already, and one that may hold
/// nothing could not even refuse them.
pub const LEAST: usize = 8;

/// What a process holds, or may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Descriptors.
    pub sockets: usize,
    /// Bytes of memory.
    pub memory: usize,
    /// Requests that clients hold open.
    pub open: usize,
}

/// The others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Company {
    /// By writer, when its last letter was written, and what it held then.
    others: BTreeMap<u64, (Time, Held)>,
}

impl Company {
    /// A letter of another process was read.
    pub fn heard(&mut self, writer: u64, written: Time, held: Held) {
        let known = self.others.entry(writer).or_insert((written, held));
        if written >= known.0 {
            *known = (written, held);
        }
    }

    /// These have letters; one that took its letter away is over.
    pub fn only(&mut self, writers: &[u64]) {
        self.others.retain(|writer, _| writers.contains(writer));
    }

    /// How many run beside this process now. Forgets the others.
    pub fn others(&mut self, now: Time) -> usize {
        // A letter of a time to come is of a clock that was set back: it counts until it is old by this one.
        self.others.retain(|_, (written, _)| now.saturating_sub(*written) <= FRESH);
        while self.others.len() > MOST {
            self.others.pop_last();
        }
        self.others.len()
    }

    /// What is left of `whole` for this process.
    pub fn left(&mut self, now: Time, whole: Held) -> Held {
        self.others(now);
        let left = |whole: usize, of: fn(&Held) -> usize| {
            let others: usize = self.others.values().map(|(_, held)| of(held)).fold(0, usize::saturating_add);
            whole.saturating_sub(others).max(whole / LEAST).max(1)
        };
        Held {
            sockets: left(whole.sockets, |held| held.sockets),
            memory: left(whole.memory, |held| held.memory),
            open: left(whole.open, |held| held.open),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WHOLE: Held = Held { sockets: 384, memory: 48 << 20, open: 128 };

    fn held(sockets: usize, open: usize) -> Held {
        Held { sockets, memory: 1 << 20, open }
    }

    #[test]
    fn what_the_others_hold_is_not_left_and_comes_back_when_they_are_gone() {
        let mut company = Company::default();
        assert_eq!(company.left(0, WHOLE), WHOLE);
        company.heard(1, 0, held(100, 40));
        assert_eq!(company.left(0, WHOLE), Held { sockets: 284, memory: 47 << 20, open: 88 });
        company.heard(1, 250_000, held(30, 2));
        company.heard(2, 250_000, held(20, 0));
        assert_eq!(company.left(250_000, WHOLE).sockets, 334);
        // The first has written no more.
        company.heard(2, FRESH, held(20, 0));
        assert_eq!(company.left(FRESH + 250_001, WHOLE).sockets, 364);
        assert_eq!(company.left(2 * FRESH + 1, WHOLE), WHOLE);
    }

    #[test]
    fn a_letter_that_comes_late_changes_nothing() {
        let mut company = Company::default();
        company.heard(1, 500, held(10, 1));
        company.heard(1, 400, held(99, 9));
        assert_eq!(company.left(500, WHOLE).sockets, 374);
        assert_eq!(company.others(500 + FRESH), 1);
        assert_eq!(company.others(501 + FRESH), 0);
    }

    #[test]
    fn a_new_process_may_hold_something_beside_one_that_holds_all() {
        let mut company = Company::default();
        company.heard(1, 0, held(usize::MAX, 500));
        company.heard(2, 0, held(usize::MAX, 500));
        assert_eq!(company.left(0, WHOLE), Held { sockets: 48, memory: 46 << 20, open: 16 });
    }

    #[test]
    fn one_that_took_its_letter_away_is_gone_at_once() {
        let mut company = Company::default();
        company.heard(1, 0, held(100, 40));
        company.heard(2, 0, held(10, 0));
        company.only(&[2]);
        assert_eq!(company.left(0, WHOLE).sockets, 374);
    }

    #[test]
    fn company_is_bounded() {
        let mut company = Company::default();
        (0..100).for_each(|writer| company.heard(writer, 0, held(1, 1)));
        assert_eq!((company.others(0), company.left(0, WHOLE).sockets), (MOST, 380));
    }
}
