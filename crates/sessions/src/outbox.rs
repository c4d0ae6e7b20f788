//! What this instance has to tell the others, and in how few words.

use crate::settings::Promise;
use crate::watermark::Watermark;
use crate::watermark_broadcast::{WatermarkBroadcast, MAX_ENTRIES};
use petrelgauge_policy::{GroupId, Time};
use std::collections::{BTreeMap, VecDeque};

/// Marks of one group that wait to be told, for one datagram at a time.
///
/// Each datagram repeats the interval of the one before, so that one lost datagram leaves no gap. What does not
/// fit is left out, the lowest watermarks first, and bounded by the base: the receivers ask that much of every
/// session then, which costs nothing once replicas have passed it.
#[derive(Clone, Debug)]
pub struct Outbox {
    group: GroupId,
    /// Ends of the last two intervals that were told, the older one first.
    sent_until: [Time; 2],
    pending: VecDeque<(Time, u64, Watermark)>,
    omitted_bound: Time,
}

/// Marks that wait, at most: two intervals' worth at many times what a datagram holds.
const MAX_PENDING: usize = 32 * MAX_ENTRIES;

impl Outbox {
    /// Nothing made since `start`.
    pub fn new(group: GroupId, start: Time) -> Outbox {
        Outbox { group, sent_until: [start; 2], pending: VecDeque::new(), omitted_bound: 0 }
    }

    /// A watermark was made.
    pub fn push(&mut self, now: Time, name: u64, watermark: Watermark, promise: Promise) {
        self.pending.push_back((now, name, watermark));
        if self.pending.len() > MAX_PENDING {
            if let Some((_, _, watermark)) = self.pending.pop_front() {
                self.omitted_bound = self.omitted_bound.max(watermark.required_position(promise));
            }
        }
    }

    /// The next datagram: all that was made up to now since the interval before the last.
    pub fn next_broadcast(
        &mut self,
        now: Time,
        instance: u16,
        epoch: Time,
        promise: Promise,
    ) -> WatermarkBroadcast {
        // What is made later in this same microsecond must belong to the next interval.
        let until = ((now - 1) / 1000 * 1000).max(self.sent_until[1]);
        let from = self.sent_until[0];
        self.pending.retain(|(at, _, _)| *at > from);
        let mut watermarks: BTreeMap<u64, Watermark> = BTreeMap::new();
        for (_, name, watermark) in self.pending.iter().filter(|(at, _, _)| *at <= until) {
            let known = watermarks.entry(*name).or_default();
            *known = known.join(*watermark);
        }
        let mut lines: Vec<(u64, Watermark)> = watermarks.into_iter().collect();
        lines.sort_by_key(|(name, watermark)| {
            (std::cmp::Reverse(watermark.required_position(promise)), *name)
        });
        let untold = |(_, watermark): &(u64, Watermark)| !WatermarkBroadcast::can_encode(*watermark, until);
        let far = lines.iter().filter(|line| untold(line)).chain(lines.iter().skip(MAX_ENTRIES));
        self.omitted_bound = far
            .map(|(_, watermark)| watermark.required_position(promise))
            .fold(self.omitted_bound, Time::max);
        lines.truncate(MAX_ENTRIES);
        lines.retain(|line| !untold(line));
        self.sent_until = [self.sent_until[1], until];
        WatermarkBroadcast {
            instance,
            group: self.group,
            epoch,
            from,
            until,
            omitted_bound: self.omitted_bound,
            entries: lines,
        }
    }
}
