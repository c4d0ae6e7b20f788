//! Primary discovery for the whole fleet.
//!
//! The leader of a shard announces to all gateways which member answered as the primary of a group; a gateway
//! that has received such an answer reports it to the leader. While every shard has a leader, the other
//! gateways try members of a group without a known primary less often, the more gateways there are: together
//! about as often as one gateway alone.

use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::fleet::announced_primaries::{AnnouncedPrimaries, Repeats};
use crate::fleet::codec::{FleetCodec, OutgoingDatagram};
use crate::os::clock::Clock;
use crate::resources::counters::Counters;
use crate::{KnownPrimary, Time};
use petrelgauge_ownership::{
    shard_of, GatewayId, LeadershipRole, LeaseHolder, LeaseManager, Message, Notification,
    PrimaryAnnouncement, MAX_ANNOUNCEMENTS,
};
use std::rc::Rc;

/// Kind of the leadership role of primary discovery; each shard has a lease of its own.
pub const PRIMARY_DISCOVERY: u8 = 1;
/// Largest factor by which the interval between attempts at unknown primaries grows. Even if no announcement
/// arrives, a write then finds its primary within seconds.
const MAX_ATTEMPT_INTERVAL_FACTOR: Time = 64;
/// Maximum number of groups that are announced in a fleet without shards, where each takes a datagram.
const MAX_UNSHARDED_GROUPS: usize = 64;

/// The leadership role of primary discovery for a shard.
pub(super) fn discovery_role(shard: u16) -> LeadershipRole {
    LeadershipRole { kind: PRIMARY_DISCOVERY, shard: u64::from(shard) }
}

/// What a [`PrimaryDiscovery`] is built from.
pub struct PrimaryDiscoveryOptions {
    /// Number of shards, at least 1.
    pub shards: u16,
    /// The decisions: they know primaries from answers and use announced ones.
    pub facade: Facade,
    /// Clock of the leases.
    pub clock: Clock,
    /// Counts announcements.
    pub counters: Rc<Counters>,
    /// Names and numbers of the hosts; announcements carry the hash of a name.
    pub host_names: Rc<HostNames>,
}

/// This gateway's part in primary discovery.
pub struct PrimaryDiscovery {
    options: PrimaryDiscoveryOptions,
    /// The last known leaders, by shard.
    leaders: Vec<Option<LeaseHolder>>,
    announced: AnnouncedPrimaries,
}

impl PrimaryDiscovery {
    /// Starts without known leaders.
    pub fn new(options: PrimaryDiscoveryOptions) -> PrimaryDiscovery {
        let leaders = vec![None; usize::from(options.shards)];
        PrimaryDiscovery { options, leaders, announced: AnnouncedPrimaries::default() }
    }

    /// Handles a primary that another gateway announced or reported. One that is not on this gateway's
    /// endpoint list is ignored.
    pub(super) fn on_announcement(&mut self, now: Time, announcement: PrimaryAnnouncement) {
        let Some(member) = self.options.host_names.by_hash(announcement.member) else { return };
        self.options.counters.primary_announcements.add();
        // Recorded as announced, so that it is not sent back.
        let group = self.options.facade.read(|table| table.group_of(member));
        if let Some(group) = group {
            self.announced.insert(now, group, member);
        }
        self.options
            .facade
            .update(|table| table.record_gossiped_primary(now, member, announcement.evidence_at));
    }

    /// Updates the known leaders and adapts how often this gateway tries members without a known primary.
    pub(super) fn update_leaders(&mut self, now: Time, lease_manager: &LeaseManager) {
        let shards = self.options.shards;
        let leaders: Vec<Option<LeaseHolder>> =
            (0..shards).map(|shard| lease_manager.lease_holder(now, discovery_role(shard))).collect();
        if leaders == self.leaders {
            return;
        }
        // The next leader of a shard without one has to be sent everything.
        self.announced.remove_groups(|group| leaders[usize::from(shard_of(group, shards))].is_none());
        self.leaders = leaders;
        let interval_factor = self.attempt_interval_factor(lease_manager);
        self.options.facade.update(|table| table.set_discovery_interval_factor(interval_factor));
        self.log_leaders();
    }

    /// Returns the announcements that are due: to all gateways for the shards that this gateway leads, and to
    /// the leaders of the other shards.
    pub(super) fn due_datagrams(
        &mut self,
        now: Time,
        lease_manager: &mut LeaseManager,
        codec: &FleetCodec,
    ) -> Vec<OutgoingDatagram> {
        let known_primaries = self.options.facade.read(|table| table.primaries());
        let mut datagrams = Vec::new();
        for shard in 0..self.options.shards {
            let Some(leader) = lease_manager.lease_holder(now, discovery_role(shard)) else { continue };
            if leader.gateway == lease_manager.settings().self_id {
                // Repeated, since a notification may be lost and gateways restart.
                let due = self.due_announcements(now, &known_primaries, shard, Repeats::Periodic);
                datagrams.extend(self.notify_all(lease_manager, codec, shard, &due));
            } else {
                let due = self.due_announcements(now, &known_primaries, shard, Repeats::Never);
                datagrams.extend(self.report_to(leader.gateway, codec, &due));
            }
        }
        datagrams
    }

    /// Number of state entries.
    pub(super) fn entry_count(&self) -> usize {
        self.announced.len()
    }

    /// The factor by which the interval between this gateway's attempts at unknown primaries grows: 1 unless
    /// every shard has a leader that tries members in its place.
    fn attempt_interval_factor(&self, lease_manager: &LeaseManager) -> Time {
        let settings = lease_manager.settings();
        let is_relieved = |leader: &Option<LeaseHolder>| {
            leader.is_some_and(|leader| leader.gateway != settings.self_id || self.options.shards > 1)
        };
        if !self.leaders.iter().all(is_relieved) {
            return 1;
        }
        (Time::from(settings.gateways) / 2).clamp(1, MAX_ATTEMPT_INTERVAL_FACTOR)
    }

    fn log_leaders(&self) {
        let known: Vec<&LeaseHolder> = self.leaders.iter().flatten().collect();
        let shards = self.leaders.len();
        match known.first() {
            None => log::info!("primary discovery has no leader"),
            Some(LeaseHolder { gateway, term }) if shards == 1 => {
                log::info!("primary discovery has a leader gateway={gateway} term={term}");
            }
            Some(_) if known.len() == shards => {
                log::info!("primary discovery has all leaders shards={shards}")
            }
            Some(_) => {
                log::info!("primary discovery lacks leaders");
            }
        }
    }

    /// Returns the primaries of a shard that are due for announcement, and records them as announced.
    fn due_announcements(
        &mut self,
        now: Time,
        known_primaries: &[KnownPrimary],
        shard: u16,
        repeats: Repeats,
    ) -> Vec<PrimaryAnnouncement> {
        let shards = self.options.shards;
        let max_groups = if shards == 1 { MAX_UNSHARDED_GROUPS } else { usize::MAX };
        let in_shard = known_primaries.iter().filter(|primary| shard_of(primary.group, shards) == shard);
        let mut due = Vec::new();
        for KnownPrimary { group, member, evidence_at } in in_shard.take(max_groups) {
            let Some(name_hash) = self.options.host_names.hash(*member) else { continue };
            if self.announced.is_due(now, *group, *member, repeats) {
                self.announced.insert(now, *group, *member);
                due.push(PrimaryAnnouncement { member: name_hash, evidence_at: *evidence_at });
            }
        }
        due
    }

    /// Encodes reports to a shard's leader.
    fn report_to(
        &self,
        leader: GatewayId,
        codec: &FleetCodec,
        due: &[PrimaryAnnouncement],
    ) -> Vec<OutgoingDatagram> {
        let to_message = |part: &[PrimaryAnnouncement]| match self.options.shards {
            1 => Message::PrimaryReport(part[0]),
            _ => Message::PrimaryReports { primaries: part.to_vec() },
        };
        let parts = due.chunks(self.announcements_per_datagram());
        parts.map(|part| OutgoingDatagram { to: leader, bytes: codec.encode(&to_message(part)) }).collect()
    }

    /// Encodes notifications to all gateways under this gateway's lease. Stops when the lease is lost.
    fn notify_all(
        &self,
        lease_manager: &mut LeaseManager,
        codec: &FleetCodec,
        shard: u16,
        due: &[PrimaryAnnouncement],
    ) -> Vec<OutgoingDatagram> {
        let self_id = lease_manager.settings().self_id;
        let gateways = lease_manager.settings().gateways;
        let mut datagrams = Vec::new();
        for part in due.chunks(self.announcements_per_datagram()) {
            let notification = match self.options.shards {
                1 => Notification::Primary(part[0]),
                _ => Notification::Primaries { primaries: part.to_vec() },
            };
            // The time is read again for each part: the lease must be held right before it is sent.
            let now = self.options.clock.now();
            let message = lease_manager.notification(now, discovery_role(shard), notification);
            let Some(message) = message else { break };
            let bytes = codec.encode(&message);
            let others = (0..gateways).filter(|to| *to != self_id);
            datagrams.extend(others.map(|to| OutgoingDatagram { to, bytes: bytes.clone() }));
        }
        datagrams
    }

    fn announcements_per_datagram(&self) -> usize {
        if self.options.shards == 1 {
            1
        } else {
            MAX_ANNOUNCEMENTS
        }
    }
}
