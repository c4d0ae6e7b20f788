//! How far another instance's watermarks are known here: up to when without a gap, and what lies in the gaps.

use petrelgauge_policy::{mutant, Mutant, Time};

/// Intervals that wait for a missing one before them.
const MAX_PENDING: usize = 4;

/// What is known of the watermarks that one instance makes in one group. Times are that instance's clock.
///
/// States: never heard (`until` 0); whole (nothing pending); waiting (later intervals are here, one before them
/// is not). A gap that stays open is closed by a blanket: whatever was made in it was committed before it ended.
#[derive(Clone, Debug, Default)]
pub struct KnownRange {
    /// Start of the run that was heard last.
    epoch: Time,
    /// Every watermark made up to then is known, bounded by the base or under the blanket.
    known_until: Time,
    /// Marks that were never told were made up to then, at the latest; 0 for none.
    gap_end: Time,
    /// No watermark that it left out of what it told lies above this.
    omitted_bound: Time,
    pending: Vec<(Time, Time)>,
    /// Local time since when something is missing.
    gap_since: Time,
    /// Gaps that were closed by a blanket.
    gaps: u64,
}

impl KnownRange {
    /// An interval was told. Repeated and late ones change nothing that they should not.
    pub fn record_interval(&mut self, now: Time, epoch: Time, from: Time, until: Time, omitted_bound: Time) {
        self.omitted_bound = self.omitted_bound.max(omitted_bound);
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            // A new run. What the last one made and did not tell is gone for good.
            self.pending.clear();
            self.epoch = epoch;
            self.close_gap(from);
        }
        if from > self.known_until {
            if self.pending.is_empty() {
                self.gap_since = now;
            }
            if !self.pending.contains(&(from, until)) {
                self.pending.push((from, until));
            }
            if self.pending.len() > MAX_PENDING {
                self.skip_gap();
            }
        } else {
            self.known_until = self.known_until.max(until);
        }
        self.absorb_pending();
    }

    /// Closes a gap that has been open for longer than `timeout`.
    pub fn expire_gaps(&mut self, now: Time, timeout: Time) {
        while !self.pending.is_empty() && now - self.gap_since > timeout {
            self.skip_gap();
        }
    }

    /// Every watermark made up to this time is known here; 0 if it was never heard.
    pub fn known_until(&self) -> Time {
        self.known_until
    }

    /// End of the last gap; 0 if there was none.
    pub fn gap_end(&self) -> Time {
        self.gap_end
    }

    /// Bound of what it left out.
    pub fn omitted_bound(&self) -> Time {
        self.omitted_bound
    }

    /// Gaps that were closed by a blanket, its first one included.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// The earliest interval that waits goes on, over a gap.
    fn skip_gap(&mut self) {
        if let Some(from) = self.pending.iter().map(|(from, _)| *from).min() {
            self.close_gap(from);
            self.absorb_pending();
        }
    }

    fn close_gap(&mut self, by: Time) {
        if by > self.known_until {
            if !mutant(Mutant::GapPassed) {
                self.gap_end = self.gap_end.max(by);
            }
            self.known_until = by;
            self.gaps += 1;
        }
    }

    fn absorb_pending(&mut self) {
        while let Some(place) = self.pending.iter().position(|(from, _)| *from <= self.known_until) {
            let (_, until) = self.pending.swap_remove(place);
            self.known_until = self.known_until.max(until);
        }
    }
}
