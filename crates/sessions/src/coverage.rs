//! How far another instance's marks are known here: up to when without a gap, and what lies in the gaps.

use petrelgauge_policy::{mutant, Mutant, Time};

/// Intervals that wait for a missing one before them.
const PENDING: usize = 4;

/// What is known of the marks that one instance makes in one group. Times are that instance's clock.
///
/// States: never heard (`until` 0); whole (nothing pending); waiting (later intervals are here, one before them
/// is not). A gap that stays open is closed by a blanket: whatever was made in it was committed before it ended.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    /// Start of the run that was heard last.
    epoch: Time,
    /// Every mark made up to then is known, bounded by the base or under the blanket.
    until: Time,
    /// Marks that were never told were made up to then, at the latest; 0 for none.
    blanket: Time,
    /// No mark that it left out of what it told lies above this.
    base: Time,
    pending: Vec<(Time, Time)>,
    /// Local time since when something is missing.
    missing_since: Time,
    /// Gaps that were closed by a blanket.
    holes: u64,
}

impl Coverage {
    /// An interval was told. Repeated and late ones change nothing that they should not.
    pub fn hear(&mut self, now: Time, epoch: Time, from: Time, until: Time, base: Time) {
        self.base = self.base.max(base);
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            // A new run. What the last one made and did not tell is gone for good.
            self.pending.clear();
            self.epoch = epoch;
            self.close(from);
        }
        if from > self.until {
            if self.pending.is_empty() {
                self.missing_since = now;
            }
            if !self.pending.contains(&(from, until)) {
                self.pending.push((from, until));
            }
            if self.pending.len() > PENDING {
                self.give_up();
            }
        } else {
            self.until = self.until.max(until);
        }
        self.chain();
    }

    /// Closes a gap that has been open for longer than `patience`.
    pub fn expire(&mut self, now: Time, patience: Time) {
        while !self.pending.is_empty() && now - self.missing_since > patience {
            self.give_up();
        }
    }

    /// Every mark made up to this time is known here; 0 if it was never heard.
    pub fn until(&self) -> Time {
        self.until
    }

    /// End of the last gap; 0 if there was none.
    pub fn blanket(&self) -> Time {
        self.blanket
    }

    /// Bound of what it left out.
    pub fn base(&self) -> Time {
        self.base
    }

    /// Gaps that were closed by a blanket, its first one included.
    pub fn holes(&self) -> u64 {
        self.holes
    }

    /// The earliest interval that waits goes on, over a gap.
    fn give_up(&mut self) {
        if let Some(from) = self.pending.iter().map(|(from, _)| *from).min() {
            self.close(from);
            self.chain();
        }
    }

    fn close(&mut self, by: Time) {
        if by > self.until {
            if !mutant(Mutant::GapPassed) {
                self.blanket = self.blanket.max(by);
            }
            self.until = by;
            self.holes += 1;
        }
    }

    fn chain(&mut self) {
        while let Some(place) = self.pending.iter().position(|(from, _)| *from <= self.until) {
            let (_, until) = self.pending.swap_remove(place);
            self.until = self.until.max(until);
        }
    }
}
