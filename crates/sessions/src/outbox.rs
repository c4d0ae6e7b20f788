//! What this instance has to tell the others, and in how few words.

use crate::bulletin::{Bulletin, MOST_LINES};
use crate::mark::Mark;
use crate::settings::Promise;
use petrelgauge_policy::{GroupId, Time};
use std::collections::{BTreeMap, VecDeque};

/// Marks of one group that wait to be told, for one datagram at a time.
///
/// Each datagram repeats the interval of the one before, so that one lost datagram leaves no gap. What does not
/// fit is left out, the lowest marks first, and bounded by the base: the receivers ask that much of every
/// session then, which costs nothing once replicas have passed it.
#[derive(Clone, Debug)]
pub struct Outbox {
    group: GroupId,
    /// Ends of the last two intervals that were told, the older one first.
    told: [Time; 2],
    made: VecDeque<(Time, u64, Mark)>,
    base: Time,
}

/// Marks that wait, at most: two intervals' worth at many times what a datagram holds.
const MOST_WAITING: usize = 32 * MOST_LINES;

impl Outbox {
    /// Nothing made since `start`.
    pub fn new(group: GroupId, start: Time) -> Outbox {
        Outbox { group, told: [start; 2], made: VecDeque::new(), base: 0 }
    }

    /// A mark was made.
    pub fn push(&mut self, now: Time, name: u64, mark: Mark, promise: Promise) {
        self.made.push_back((now, name, mark));
        if self.made.len() > MOST_WAITING {
            if let Some((_, _, mark)) = self.made.pop_front() {
                self.base = self.base.max(mark.floor(promise));
            }
        }
    }

    /// The next datagram: all that was made up to now since the interval before the last.
    pub fn tell(&mut self, now: Time, instance: u16, epoch: Time, promise: Promise) -> Bulletin {
        // What is made later in this same microsecond must belong to the next interval.
        let until = ((now - 1) / 1000 * 1000).max(self.told[1]);
        let from = self.told[0];
        self.made.retain(|(at, _, _)| *at > from);
        let mut marks: BTreeMap<u64, Mark> = BTreeMap::new();
        for (_, name, mark) in self.made.iter().filter(|(at, _, _)| *at <= until) {
            let known = marks.entry(*name).or_default();
            *known = known.join(*mark);
        }
        let mut lines: Vec<(u64, Mark)> = marks.into_iter().collect();
        lines.sort_by_key(|(name, mark)| (std::cmp::Reverse(mark.floor(promise)), *name));
        let untold = |(_, mark): &(u64, Mark)| !Bulletin::can_tell(*mark, until);
        let far = lines.iter().filter(|line| untold(line)).chain(lines.iter().skip(MOST_LINES));
        self.base = far.map(|(_, mark)| mark.floor(promise)).fold(self.base, Time::max);
        lines.truncate(MOST_LINES);
        lines.retain(|line| !untold(line));
        self.told = [self.told[1], until];
        Bulletin { instance, group: self.group, epoch, from, until, base: self.base, lines }
    }
}
