//! Queue of the watermarks of one group that are waiting to be broadcast.

use crate::settings::SessionGuarantee;
use crate::watermark::Watermark;
use crate::watermark_broadcast::{BroadcastEntry, BroadcastSender, WatermarkBroadcast, MAX_ENTRIES};
use petrelgauge_policy::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of pending watermarks: two intervals that each hold many times what a datagram holds.
const MAX_PENDING: usize = 32 * MAX_ENTRIES;

const MICROSECONDS_PER_MILLISECOND: Time = 1_000;

/// Watermarks of one group that are waiting to be broadcast, in one datagram per interval.
///
/// Each datagram also covers the preceding interval, so that a single lost datagram leaves no gap. Watermarks
/// that do not fit are omitted, lowest first, and are bounded by `omitted_bound`. Receivers then require
/// that position for every session, which has no cost once the replicas have passed it.
#[derive(Clone, Debug)]
pub struct Outbox {
    sender: BroadcastSender,
    guarantee: SessionGuarantee,
    /// End of the interval before the last broadcast interval.
    previous_until: Time,
    /// End of the last broadcast interval.
    last_until: Time,
    pending: VecDeque<PendingWatermark>,
    omitted_bound: Time,
}

#[derive(Clone, Copy, Debug)]
struct PendingWatermark {
    recorded_at: Time,
    entry: BroadcastEntry,
}

impl Outbox {
    /// Creates an empty outbox, with nothing recorded since the sender's epoch.
    pub fn new(sender: BroadcastSender, guarantee: SessionGuarantee) -> Outbox {
        Outbox {
            sender,
            guarantee,
            previous_until: sender.epoch,
            last_until: sender.epoch,
            pending: VecDeque::new(),
            omitted_bound: 0,
        }
    }

    /// Adds a watermark recorded at `now` (microseconds).
    pub fn push(&mut self, now: Time, entry: BroadcastEntry) {
        self.pending.push_back(PendingWatermark { recorded_at: now, entry });
        if self.pending.len() > MAX_PENDING {
            if let Some(dropped) = self.pending.pop_front() {
                self.omit(&dropped.entry);
            }
        }
    }

    /// Builds the next datagram. It covers everything recorded up to `now` (microseconds) since the start of
    /// the last broadcast interval.
    pub fn next_broadcast(&mut self, now: Time) -> WatermarkBroadcast {
        // Watermarks recorded later in the same microsecond must fall into the next interval.
        let until = truncate_to_milliseconds(now - 1).max(self.last_until);
        let from = self.previous_until;
        self.pending.retain(|pending| pending.recorded_at > from);
        let entries = self.take_encodable(until);
        self.previous_until = self.last_until;
        self.last_until = until;
        WatermarkBroadcast { sender: self.sender, from, until, omitted_bound: self.omitted_bound, entries }
    }

    /// Returns the highest entries up to `until` that fit into a datagram. All others raise `omitted_bound`.
    fn take_encodable(&mut self, until: Time) -> Vec<BroadcastEntry> {
        let mut entries = self.entries_until(until);
        let omitted = entries.split_off(entries.len().min(MAX_ENTRIES));
        let (entries, too_far_ahead): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|entry| WatermarkBroadcast::can_encode(entry.watermark, until));
        omitted.iter().chain(&too_far_ahead).for_each(|entry| self.omit(entry));
        entries
    }

    /// Joins the watermarks recorded up to `until` into one entry per session, highest first.
    fn entries_until(&self, until: Time) -> Vec<BroadcastEntry> {
        let mut by_name: BTreeMap<u64, Watermark> = BTreeMap::new();
        for pending in self.pending.iter().filter(|pending| pending.recorded_at <= until) {
            let known = by_name.entry(pending.entry.name_hash).or_default();
            *known = known.join(pending.entry.watermark);
        }
        let entry = |(name_hash, watermark)| BroadcastEntry { name_hash, watermark };
        let mut entries: Vec<BroadcastEntry> = by_name.into_iter().map(entry).collect();
        entries.sort_by_key(|entry| {
            (Reverse(entry.watermark.required_position(self.guarantee)), entry.name_hash)
        });
        entries
    }

    fn omit(&mut self, entry: &BroadcastEntry) {
        self.omitted_bound = self.omitted_bound.max(entry.watermark.required_position(self.guarantee));
    }
}

fn truncate_to_milliseconds(time: Time) -> Time {
    time / MICROSECONDS_PER_MILLISECOND * MICROSECONDS_PER_MILLISECOND
}
