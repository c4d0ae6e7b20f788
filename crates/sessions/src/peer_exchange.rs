//! Exchange of watermarks with the other instances, for all groups.

use crate::known_range::{KnownRange, PeerInterval};
use crate::outbox::Outbox;
use crate::settings::{SessionGuarantee, Settings};
use crate::watermark::Watermark;
use crate::watermark_broadcast::{BroadcastEntry, BroadcastSender, WatermarkBroadcast};
use petrelgauge_policy::{GroupId, Time};
use std::collections::BTreeMap;

/// Maximum number of groups whose watermarks are exchanged. Reads of any other group require everything
/// committed before they arrived.
pub const MAX_GROUPS: usize = 1024;

/// The watermarks to send to the other instances, and up to which time theirs are known.
#[derive(Clone, Debug)]
pub(crate) struct PeerExchange {
    instance: u16,
    instances: u16,
    epoch: Time,
    guarantee: SessionGuarantee,
    groups: BTreeMap<GroupId, GroupExchange>,
}

/// The state of the exchange for one group.
#[derive(Clone, Debug)]
struct GroupExchange {
    outbox: Outbox,
    /// Indexed by instance number; the entry of this instance stays empty.
    known_ranges: Vec<KnownRange>,
}

impl PeerExchange {
    /// Creates an exchange that starts at `epoch` (microseconds).
    pub(crate) fn new(settings: &Settings, epoch: Time) -> PeerExchange {
        PeerExchange {
            instance: settings.instance,
            instances: settings.instances,
            epoch,
            guarantee: settings.guarantee,
            groups: BTreeMap::new(),
        }
    }

    /// Clears all state and starts again at another epoch. The groups stay tracked, because the other
    /// instances wait for their broadcasts.
    pub(crate) fn restart(&mut self, epoch: Time) {
        self.epoch = epoch;
        for group in std::mem::take(&mut self.groups).into_keys() {
            self.track(group);
        }
    }

    /// Starts broadcasting for this group, unless [`MAX_GROUPS`] are tracked already.
    pub(crate) fn track(&mut self, group: GroupId) {
        self.group_exchange(group);
    }

    /// Adds a watermark recorded at `now` to the next broadcast of its group.
    pub(crate) fn push(&mut self, now: Time, group: GroupId, name_hash: u64, watermark: Watermark) {
        if let Some(exchange) = self.group_exchange(group) {
            exchange.outbox.push(now, BroadcastEntry { name_hash, watermark });
        }
    }

    /// Builds the next broadcast of every group.
    pub(crate) fn next_broadcasts(&mut self, now: Time) -> impl Iterator<Item = WatermarkBroadcast> + '_ {
        self.groups.values_mut().map(move |exchange| exchange.outbox.next_broadcast(now))
    }

    /// Records the interval that a broadcast of another instance covers.
    pub(crate) fn record_broadcast(&mut self, now: Time, broadcast: &WatermarkBroadcast) {
        let BroadcastSender { instance, group, epoch } = broadcast.sender;
        let interval = PeerInterval {
            epoch,
            from: broadcast.from,
            until: broadcast.until,
            omitted_bound: broadcast.omitted_bound,
        };
        let known_range = self
            .group_exchange(group)
            .and_then(|exchange| exchange.known_ranges.get_mut(usize::from(instance)));
        if let Some(range) = known_range {
            range.record_interval(now, interval);
        }
    }

    /// Closes the gaps that have been open for longer than `timeout` (microseconds).
    pub(crate) fn expire_gaps(&mut self, now: Time, timeout: Time) {
        for range in self.groups.values_mut().flat_map(|exchange| &mut exchange.known_ranges) {
            range.expire_gaps(now, timeout);
        }
    }

    /// The known ranges of the other instances in this group; `None` if the group is not tracked.
    pub(crate) fn peer_ranges(&self, group: GroupId) -> Option<impl Iterator<Item = &KnownRange>> {
        let own_index = usize::from(self.instance);
        let known_ranges = &self.groups.get(&group)?.known_ranges;
        Some(
            known_ranges
                .iter()
                .enumerate()
                .filter(move |(index, _)| *index != own_index)
                .map(|(_, range)| range),
        )
    }

    /// Number of gaps closed with an upper bound, over all groups and instances.
    pub(crate) fn closed_gaps(&self) -> u64 {
        self.groups.values().flat_map(|exchange| &exchange.known_ranges).map(KnownRange::closed_gaps).sum()
    }

    /// Number of known ranges, over all groups.
    pub(crate) fn range_count(&self) -> usize {
        self.groups.values().map(|exchange| exchange.known_ranges.len()).sum()
    }

    /// The exchange for this group, created if there are fewer than [`MAX_GROUPS`].
    fn group_exchange(&mut self, group: GroupId) -> Option<&mut GroupExchange> {
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&group) {
            return None;
        }
        let sender = BroadcastSender { instance: self.instance, group, epoch: self.epoch };
        let empty = || GroupExchange {
            outbox: Outbox::new(sender, self.guarantee),
            known_ranges: vec![KnownRange::default(); usize::from(self.instances)],
        };
        Some(self.groups.entry(group).or_insert_with(empty))
    }
}
