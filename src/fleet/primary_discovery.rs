//! Primary discovery for the whole fleet.
//!
//! A gateway that receives an answer from the primary of a group reports this member to the leader of the
//! group's shard, which announces it to all gateways. While every shard has a leader, the other gateways try
//! the members of a group without a known primary less often. The interval grows with the number of gateways,
//! so that all of them together try about as often as a single gateway.

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
/// Maximum factor for the interval between attempts to find an unknown primary. With this limit, a write
/// finds its primary within seconds even if no announcement arrives.
const MAX_ATTEMPT_INTERVAL_FACTOR: Time = 64;
/// Maximum number of groups that are announced in a fleet with one shard, where each takes one datagram.
const MAX_UNSHARDED_GROUPS: usize = 64;

/// Returns the leadership role of primary discovery for a shard.
pub(super) fn discovery_role(shard: u16) -> LeadershipRole {
    LeadershipRole { kind: PRIMARY_DISCOVERY, shard: u64::from(shard) }
}

/// Options of [`PrimaryDiscovery::new`].
pub struct PrimaryDiscoveryOptions {
    /// Number of shards, at least 1.
    pub shards: u16,
    /// The decisions, which learn primaries from answers and use announced ones.
    pub facade: Facade,
    /// Clock of the leases.
    pub clock: Clock,
    /// Counts received announcements.
    pub counters: Rc<Counters>,
    /// Names and IDs of the hosts; announcements identify a host by its name hash.
    pub host_names: Rc<HostNames>,
}

/// Primary discovery at this gateway.
pub struct PrimaryDiscovery {
    options: PrimaryDiscoveryOptions,
    /// The last known leader of each shard.
    leaders: Vec<Option<LeaseHolder>>,
    announced: AnnouncedPrimaries,
}

impl PrimaryDiscovery {
    /// Creates primary discovery with no known leaders.
    pub fn new(options: PrimaryDiscoveryOptions) -> PrimaryDiscovery {
        let leaders = vec![None; usize::from(options.shards)];
        PrimaryDiscovery { options, leaders, announced: AnnouncedPrimaries::default() }
    }

    /// Processes a primary that another gateway announced or reported. A host that is not on this gateway's
    /// endpoint list is ignored.
    pub(super) fn on_announcement(&mut self, now: Time, announcement: PrimaryAnnouncement) {
        let Some(member) = self.options.host_names.by_hash(announcement.member) else { return };
        self.options.counters.primary_announcements.add();
        // Recorded as announced, so that it is not reported back.
        let group = self.options.facade.read(|table| table.group_of(member));
        if let Some(group) = group {
            self.announced.insert(now, group, member);
        }
        self.options
            .facade
            .update(|table| table.record_gossiped_primary(now, member, announcement.evidence_at));
    }

    /// Updates the known leaders and adjusts how often this gateway tries to find unknown primaries.
    pub(super) fn update_leaders(&mut self, now: Time, lease_manager: &LeaseManager) {
        let shards = self.options.shards;
        let leaders: Vec<Option<LeaseHolder>> =
            (0..shards).map(|shard| lease_manager.lease_holder(now, discovery_role(shard))).collect();
        if leaders == self.leaders {
            return;
        }
        // The next leader of a shard that has none now must be sent all its primaries.
        self.announced.remove_groups(|group| leaders[usize::from(shard_of(group, shards))].is_none());
        self.leaders = leaders;
        let interval_factor = self.attempt_interval_factor(lease_manager);
        self.options.facade.update(|table| table.set_discovery_interval_factor(interval_factor));
        self.log_leaders();
    }

    /// Returns the due datagrams: announcements to all gateways for the shards that this gateway leads, and
    /// reports to the leaders of the other shards.
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
                // Repeated, because notifications may be lost and gateways restart.
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

    /// Returns the factor for the interval between this gateway's attempts to find unknown primaries. It is 1
    /// unless every shard has a leader that makes the attempts in place of this gateway.
    fn attempt_interval_factor(&self, lease_manager: &LeaseManager) -> Time {
        let settings = lease_manager.settings();
        let leader_makes_attempts = |leader: &Option<LeaseHolder>| {
            leader.is_some_and(|leader| leader.gateway != settings.self_id || self.options.shards > 1)
        };
        if !self.leaders.iter().all(leader_makes_attempts) {
            return 1;
        }
        (Time::from(settings.gateways) / 2).clamp(1, MAX_ATTEMPT_INTERVAL_FACTOR)
    }

    fn log_leaders(&self) {
        let known: Vec<&LeaseHolder> = self.leaders.iter().flatten().collect();
        let shards = self.leaders.len();
        match known.first() {
            None => log::info!("primary discovery leader unknown"),
            Some(LeaseHolder { gateway, term }) if shards == 1 => {
                log::info!("primary discovery leader known gateway={gateway} term={term}");
            }
            Some(_) if known.len() == shards => {
                log::info!("primary discovery leaders known for all shards shards={shards}")
            }
            Some(_) => {
                log::info!("primary discovery leaders unknown for some shards");
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

    /// Encodes reports to the leader of a shard.
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

    /// Encodes notifications to all other gateways under this gateway's lease. Stops if the lease is lost.
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
            // The clock is read again for each part, because the lease must still be held when it is sent.
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
