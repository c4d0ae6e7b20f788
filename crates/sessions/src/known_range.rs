//! Tracks up to which time the watermarks of another instance are known, and an upper bound of those lost in
//! gaps.

use petrelgauge_policy::{mutant, Mutant, Time};

/// Maximum number of intervals held back because an earlier one is missing.
const MAX_PENDING: usize = 4;

/// The interval that a broadcast covers. Times are in microseconds of the sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerInterval {
    /// When the sender started.
    pub epoch: Time,
    /// Start of the interval, exclusive.
    pub from: Time,
    /// End of the interval, inclusive.
    pub until: Time,
    /// Upper bound of the watermarks that the sender has omitted.
    pub omitted_bound: Time,
}

/// An interval received before the one that precedes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingInterval {
    from: Time,
    until: Time,
}

/// Up to which time the watermarks that another instance records in one group are known. Times are in
/// microseconds of that instance's clock, unless stated otherwise.
///
/// States: empty (`known_until` is 0); contiguous (no interval is pending); waiting (an interval before the
/// pending ones is missing). A gap that stays open for too long is closed, and its end becomes an upper
/// bound: everything recorded in the gap was committed before it ended.
#[derive(Clone, Debug, Default)]
pub struct KnownRange {
    /// When the sender last started, as far as known.
    epoch: Time,
    /// Every watermark recorded up to this time is known, or bounded by `omitted_bound` or `gap_end`.
    known_until: Time,
    /// End of the last closed gap, an upper bound of the watermarks never received; 0 if no gap was closed.
    gap_end: Time,
    omitted_bound: Time,
    pending: Vec<PendingInterval>,
    /// When an interval was first found missing, by the local clock.
    gap_since: Time,
    /// Number of gaps closed so far.
    closed_gaps: u64,
}

impl KnownRange {
    /// Records an interval received at the local time `now`. Duplicate and late intervals never shorten the
    /// known range.
    pub fn record_interval(&mut self, now: Time, interval: PeerInterval) {
        self.omitted_bound = self.omitted_bound.max(interval.omitted_bound);
        if interval.epoch < self.epoch {
            return;
        }
        if interval.epoch > self.epoch {
            self.begin_epoch(interval);
        }
        if interval.from > self.known_until {
            self.add_pending(now, PendingInterval { from: interval.from, until: interval.until });
        } else {
            self.known_until = self.known_until.max(interval.until);
        }
        self.merge_pending();
    }

    /// Closes the gaps that have been open for longer than `timeout` (microseconds).
    pub fn expire_gaps(&mut self, now: Time, timeout: Time) {
        while !self.pending.is_empty() && now - self.gap_since > timeout {
            self.skip_gap();
        }
    }

    /// Time up to which every watermark is known or bounded; 0 if nothing was received.
    pub fn known_until(&self) -> Time {
        self.known_until
    }

    /// End of the last closed gap; 0 if there was none.
    pub fn gap_end(&self) -> Time {
        self.gap_end
    }

    /// Upper bound of the watermarks that the instance has omitted from its broadcasts.
    pub fn omitted_bound(&self) -> Time {
        self.omitted_bound
    }

    /// Number of gaps closed with an upper bound, including the one before the first interval.
    pub fn closed_gaps(&self) -> u64 {
        self.closed_gaps
    }

    /// Handles a restart of the sender: watermarks that it recorded before and did not send are lost.
    fn begin_epoch(&mut self, interval: PeerInterval) {
        self.pending.clear();
        self.epoch = interval.epoch;
        self.close_gap(interval.from);
    }

    fn add_pending(&mut self, now: Time, interval: PendingInterval) {
        if self.pending.is_empty() {
            self.gap_since = now;
        }
        if !self.pending.contains(&interval) {
            self.pending.push(interval);
        }
        if self.pending.len() > MAX_PENDING {
            self.skip_gap();
        }
    }

    /// Closes the gap before the earliest pending interval and continues from there.
    fn skip_gap(&mut self) {
        if let Some(from) = self.pending.iter().map(|interval| interval.from).min() {
            self.close_gap(from);
            self.merge_pending();
        }
    }

    fn close_gap(&mut self, end: Time) {
        if end > self.known_until {
            if !mutant(Mutant::BroadcastGapIgnored) {
                self.gap_end = self.gap_end.max(end);
            }
            self.known_until = end;
            self.closed_gaps += 1;
        }
    }

    /// Extends the known range by all pending intervals that are now contiguous with it.
    fn merge_pending(&mut self) {
        while let Some(index) = self.pending.iter().position(|interval| interval.from <= self.known_until) {
            let interval = self.pending.swap_remove(index);
            self.known_until = self.known_until.max(interval.until);
        }
    }
}
