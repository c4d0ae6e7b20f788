//! Primary discovery for the whole fleet.
//!
//! The leader of a shard announces to all gateways which member answered as the primary of a group; a gateway that has
//! such an answer reports it to the leader. While every shard has a leader, the other gateways try members of a group
//! without a primary less often, the more gateways there are: together they try about as often as one alone would.

use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::fleet::announced_primaries::AnnouncedPrimaries;
use crate::fleet::codec::{FleetCodec, OutgoingDatagram};
use crate::os::clock::Clock;
use crate::resources::counters::Counters;
use crate::{KnownPrimary, Time};
use petrelgauge_ownership::{
    shard_of, GatewayId, LeadershipRole, LeaseHolder, LeaseManager, Message, Notification,
    PrimaryAnnouncement, MAX_ANNOUNCEMENTS,
};
use std::rc::Rc;

/// The kind of the role of primary discovery; each shard has a lease of its own.
pub const PRIMARY_DISCOVERY: u8 = 1;
/// Attempts are at most this many times as rare as usual: without any announcement that arrives, a write still finds its
/// primary within seconds.
const MAX_ATTEMPT_INTERVAL: Time = 64;
/// Maximum number of groups whose primaries are announced without shards, where each takes a datagram.
const MAX_UNSHARDED_GROUPS: usize = 64;

/// The role of primary discovery in a shard.
pub fn discovery_role(shard: u16) -> LeadershipRole {
    LeadershipRole { kind: PRIMARY_DISCOVERY, shard: u64::from(shard) }
}

/// This gateway's part in primary discovery.
pub struct PrimaryDiscovery {
    shards: u16,
    /// The leaders as last seen, by shard.
    leaders: Vec<Option<LeaseHolder>>,
    announced: AnnouncedPrimaries,
    facade: Facade,
    clock: Clock,
    counters: Rc<Counters>,
    /// The list's names and the decisions' numbers for them.
    names: Rc<HostNames>,
}

impl PrimaryDiscovery {
    /// A part in primary discovery with this many shards.
    pub fn new(
        shards: u16,
        facade: Facade,
        clock: Clock,
        counters: Rc<Counters>,
        names: Rc<HostNames>,
    ) -> PrimaryDiscovery {
        let leaders = vec![None; usize::from(shards)];
        let announced = AnnouncedPrimaries::default();
        PrimaryDiscovery { shards, leaders, announced, facade, clock, counters, names }
    }

    /// Another gateway names a primary. A member that is not on this gateway's list is ignored.
    pub fn on_announcement(&mut self, now: Time, primary: PrimaryAnnouncement) {
        let Some(member) = self.names.by_hash(primary.member) else { return };
        self.counters.words.add();
        // It need not be sent back.
        let group = self.facade.read(|table| table.group_of(member));
        if let Some(group) = group {
            self.announced.insert(now, group, member);
        }
        self.facade.update(|table| table.gossiped_primary(now, member, primary.position));
    }

    /// Looks who leads which shard, and adapts how often this gateway tries members by itself.
    pub fn check_leaders(&mut self, now: Time, lease_manager: &LeaseManager) {
        let current = (0..self.shards).map(|shard| lease_manager.lease_holder(now, discovery_role(shard)));
        let current: Vec<Option<LeaseHolder>> = current.collect();
        if current == self.leaders {
            return;
        }
        self.leaders = current;
        let (leaders, shards) = (&self.leaders, self.shards);
        self.announced.forget(|group| leaders[usize::from(shard_of(group, shards))].is_none());
        let interval_factor = self.attempt_interval(lease_manager);
        self.facade.update(|table| table.set_discovery_interval_factor(interval_factor));
        self.log_leaders();
    }

    /// The datagrams that announce primaries: to all gateways from a shard's leader, also repeatedly; to the leader from
    /// the others.
    pub fn announce(
        &mut self,
        now: Time,
        lease_manager: &mut LeaseManager,
        codec: &FleetCodec,
    ) -> Vec<OutgoingDatagram> {
        let known = self.facade.read(|table| table.primaries());
        let mut datagrams = Vec::new();
        for shard in 0..self.shards {
            let leader = lease_manager.lease_holder(now, discovery_role(shard));
            let Some(LeaseHolder { gateway: leader, .. }) = leader else { continue };
            let is_leader = leader == lease_manager.settings().self_id;
            let due = self.due_announcements(now, &known, shard, is_leader);
            datagrams.extend(match is_leader {
                true => self.notify_all(lease_manager, codec, shard, &due),
                false => self.report_to(leader, codec, &due),
            });
        }
        datagrams
    }

    /// Number of entries of state.
    pub fn entries(&self) -> usize {
        self.announced.len()
    }

    /// How many times as rare as usual this gateway tries members of a group without a primary.
    fn attempt_interval(&self, lease_manager: &LeaseManager) -> Time {
        let settings = lease_manager.settings();
        let is_relieved = |leader: &Option<LeaseHolder>| {
            leader.is_some_and(|leader| leader.gateway != settings.self_id || self.shards > 1)
        };
        if !self.leaders.iter().all(is_relieved) {
            return 1;
        }
        (Time::from(settings.gateways) / 2).clamp(1, MAX_ATTEMPT_INTERVAL)
    }

    fn log_leaders(&self) {
        let known: Vec<&LeaseHolder> = self.leaders.iter().flatten().collect();
        let count = self.leaders.len();
        match known.first() {
            None => log::info!("primary discovery has no leader"),
            Some(LeaseHolder { gateway, term }) if count == 1 => {
                log::info!("primary discovery has a leader gateway={gateway} term={term}");
            }
            Some(_) if known.len() == count => {
                log::info!("primary discovery has all leaders shards={count}")
            }
            Some(_) => {
                log::info!("primary discovery lacks leaders");
            }
        }
    }

    /// The primaries of a shard that are to be announced now. They count as announced from here on.
    fn due_announcements(
        &mut self,
        now: Time,
        known: &[KnownPrimary],
        shard: u16,
        repeats: bool,
    ) -> Vec<PrimaryAnnouncement> {
        let limit = if self.shards == 1 { MAX_UNSHARDED_GROUPS } else { usize::MAX };
        let in_shard = known.iter().filter(|primary| shard_of(primary.group, self.shards) == shard);
        let mut due = Vec::new();
        for KnownPrimary { group, member, evidence_at } in in_shard.take(limit) {
            let Some(hash) = self.names.hash(*member) else { continue };
            if self.announced.is_due(now, *group, *member, repeats) {
                self.announced.insert(now, *group, *member);
                due.push(PrimaryAnnouncement { member: hash, position: *evidence_at });
            }
        }
        due
    }

    fn report_to(
        &self,
        leader: GatewayId,
        codec: &FleetCodec,
        due: &[PrimaryAnnouncement],
    ) -> Vec<OutgoingDatagram> {
        let report = |part: &[PrimaryAnnouncement]| match self.shards {
            1 => Message::PrimaryReport(part[0]),
            _ => Message::PrimaryReports { primaries: part.to_vec() },
        };
        let parts = due.chunks(self.announcements_per_datagram());
        parts.map(|part| OutgoingDatagram { to: leader, bytes: codec.encode(&report(part)) }).collect()
    }

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
            let notification = match self.shards {
                1 => Notification::Primary(part[0]),
                _ => Notification::Primaries { primaries: part.to_vec() },
            };
            // The lease is checked right before each of them is sent.
            let message = lease_manager.notification(self.clock.now(), discovery_role(shard), notification);
            let Some(message) = message else { break };
            let bytes = codec.encode(&message);
            let others = (0..gateways).filter(|to| *to != self_id);
            datagrams.extend(others.map(|to| OutgoingDatagram { to, bytes: bytes.clone() }));
        }
        datagrams
    }

    fn announcements_per_datagram(&self) -> usize {
        if self.shards == 1 {
            1
        } else {
            MAX_ANNOUNCEMENTS
        }
    }
}
