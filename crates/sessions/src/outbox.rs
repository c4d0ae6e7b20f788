//! The watermarks of one group that are waiting to be broadcast.

use crate::settings::SessionGuarantee;
use crate::watermark::Watermark;
use crate::watermark_broadcast::{BroadcastEntry, BroadcastSender, WatermarkBroadcast, MAX_ENTRIES};
use petrelgauge_policy::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of pending watermarks: two intervals at many times the capacity of a datagram.
const MAX_PENDING: usize = 32 * MAX_ENTRIES;

const MICROSECONDS_PER_MILLISECOND: Time = 1_000;

/// Watermarks of one group that wait to be broadcast, one datagram per interval.
///
/// Each datagram also covers the interval before its own, so that one lost datagram leaves no gap. Watermarks
/// that don't fit are omitted, the lowest ones first, and bounded by `omitted_bound`. Receivers then require
/// that position of every session, which costs nothing once the replicas have passed it.
#[derive(Clone, Debug)]
pub struct Outbox {
    sender: BroadcastSender,
    guarantee: SessionGuarantee,
    /// End of the interval before the last one.
    previous_until: Time,
    /// End of the last interval.
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
    /// An empty outbox: nothing was recorded since the sender's epoch.
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

    /// Adds a watermark recorded `now` (microseconds).
    pub fn push(&mut self, now: Time, entry: BroadcastEntry) {
        self.pending.push_back(PendingWatermark { recorded_at: now, entry });
        if self.pending.len() > MAX_PENDING {
            if let Some(dropped) = self.pending.pop_front() {
                self.omit(&dropped.entry);
            }
        }
    }

    /// The next datagram: everything recorded up to `now` (microseconds) since the interval before the last
    /// one.
    pub fn next_broadcast(&mut self, now: Time) -> WatermarkBroadcast {
        // What is recorded later in the same microsecond must belong to the next interval.
        let until = truncate_to_milliseconds(now - 1).max(self.last_until);
        let from = self.previous_until;
        self.pending.retain(|pending| pending.recorded_at > from);
        let entries = self.take_encodable(until);
        self.previous_until = self.last_until;
        self.last_until = until;
        WatermarkBroadcast { sender: self.sender, from, until, omitted_bound: self.omitted_bound, entries }
    }

    /// The highest entries up to `until` that fit into a datagram; the others raise the bound of what is
    /// omitted.
    fn take_encodable(&mut self, until: Time) -> Vec<BroadcastEntry> {
        let mut entries = self.entries_until(until);
        let omitted = entries.split_off(entries.len().min(MAX_ENTRIES));
        let (entries, too_far_ahead): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|entry| WatermarkBroadcast::can_encode(entry.watermark, until));
        omitted.iter().chain(&too_far_ahead).for_each(|entry| self.omit(entry));
        entries
    }

    /// One joined entry per session recorded up to `until`, the highest first.
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
