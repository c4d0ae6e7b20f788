//! This gateway's participation in the fleet's leadership roles: routes messages between the lease manager,
//! primary discovery, quota lending and the other gateways.
//!
//! `petrelgauge_ownership` decides who leads and whether a notification is admitted. Each role can have
//! several shards with one leader each. Acceptors then distribute the shards among themselves, and detect
//! through heartbeats which acceptors are present.

use crate::fleet::codec::{FleetCodec, OutgoingDatagram};
use crate::fleet::primary_discovery::{discovery_role, PrimaryDiscovery, PRIMARY_DISCOVERY};
use crate::fleet::quota_lending::{QuotaLending, QUOTA_LENDING};
use crate::os::clock::Clock;
use crate::resources::counters::Counters;
use crate::Time;
use petrelgauge_ownership::{
    GatewayId, LeadershipRole, LeaseHolder, LeaseManager, Message, Notification, Outgoing, Placement,
    PrimaryAnnouncement,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Interval between checks for new leaders and due announcements (microseconds).
const CHECK_INTERVAL: Time = 50_000;

/// The enabled roles. Must be the same at all gateways.
#[derive(Clone, Copy, Debug)]
pub struct LeadershipConfig {
    /// Whether primary discovery has a leader.
    pub primary_discovery: bool,
    /// Number of shards of each role, at least 1.
    pub shards: u16,
    /// The fleet's secret.
    pub secret: u64,
}

/// Options of [`FleetLeadership::new`].
pub struct LeadershipOptions {
    /// The enabled roles.
    pub config: LeadershipConfig,
    /// Acquires and renews the leases of this gateway.
    pub lease_manager: LeaseManager,
    /// Primary discovery at this gateway; required even if the role has no leader.
    pub primary_discovery: PrimaryDiscovery,
    /// Quota lending at this gateway, if enabled.
    pub quota_lending: Option<QuotaLending>,
    /// Clock of the leases.
    pub clock: Clock,
    /// Counts rejected datagrams.
    pub counters: Rc<Counters>,
}

/// This gateway's participation in the fleet's leadership roles.
pub struct FleetLeadership {
    lease_manager: RefCell<LeaseManager>,
    primary_discovery: RefCell<PrimaryDiscovery>,
    quota_lending: Option<RefCell<QuotaLending>>,
    /// Decides which shards this gateway campaigns for; set only at acceptors of a fleet with several shards.
    placement: Option<RefCell<Placement>>,
    /// All roles of the fleet.
    roles: Vec<LeadershipRole>,
    codec: FleetCodec,
    clock: Clock,
    counters: Rc<Counters>,
    next_check_at: Cell<Time>,
    /// Whether the last datagram was rejected. Only the first of consecutive rejections is logged.
    is_rejecting: Cell<bool>,
    is_stopping: Cell<bool>,
}

impl FleetLeadership {
    /// Joins the leadership roles. Only acceptors are candidates, regardless of the number of gateways. With
    /// a single shard, each acceptor campaigns for every role at once.
    pub fn new(options: LeadershipOptions) -> Rc<FleetLeadership> {
        let LeadershipOptions {
            config,
            mut lease_manager,
            primary_discovery,
            quota_lending,
            clock,
            counters,
        } = options;
        let now = clock.now();
        let settings = lease_manager.settings().clone();
        let roles = all_roles(config, quota_lending.is_some());
        let uses_placement = settings.is_acceptor() && config.shards > 1;
        let placement = uses_placement.then(|| Placement::new(&settings, config.shards, now));
        if settings.is_acceptor() && !uses_placement {
            roles.iter().for_each(|role| lease_manager.campaign(now, *role));
        }
        Rc::new(FleetLeadership {
            lease_manager: RefCell::new(lease_manager),
            primary_discovery: RefCell::new(primary_discovery),
            quota_lending: quota_lending.map(RefCell::new),
            placement: placement.map(RefCell::new),
            roles,
            codec: FleetCodec::new(&settings, config.shards, config.secret),
            clock,
            counters,
            next_check_at: Cell::new(0),
            is_rejecting: Cell::new(false),
            is_stopping: Cell::new(false),
        })
    }

    /// Whether a datagram is a leadership message, judged by its first byte.
    pub fn is_leadership_datagram(datagram: &[u8]) -> bool {
        Message::has_magic_byte(datagram)
    }

    /// When [`FleetLeadership::on_deadline`] must be called at the latest.
    pub fn next_deadline(&self) -> Time {
        let leases = self.lease_manager.borrow().next_deadline();
        let quota_reports = self.quota_lending.as_ref().and_then(|lending| lending.borrow().next_deadline());
        let heartbeat = self.placement.as_ref().map(|placement| placement.borrow().next_deadline());
        let deadlines = [leases, quota_reports, heartbeat].into_iter().flatten();
        deadlines.fold(self.next_check_at.get(), Time::min)
    }

    /// Processes all due timers and returns the datagrams to send.
    pub fn on_deadline(&self) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        if self.is_stopping.get() {
            return self.release_leases(now);
        }
        let mut messages = self.place_shards(now);
        messages.extend(self.lease_manager.borrow_mut().on_deadline(now));
        let mut datagrams = self.deliver(messages);
        if now >= self.next_check_at.get() {
            self.next_check_at.set(now + CHECK_INTERVAL);
            datagrams.extend(self.announce_primaries(now));
        }
        if let Some(lending) = &self.quota_lending {
            let messages = lending.borrow_mut().on_deadline(&mut self.lease_manager.borrow_mut());
            datagrams.extend(self.deliver(messages));
        }
        datagrams
    }

    /// Processes a datagram and returns the datagrams to send in response.
    pub fn on_datagram(&self, bytes: &[u8]) -> Vec<OutgoingDatagram> {
        let received = match self.codec.decode(bytes) {
            Ok(received) => received,
            Err(cause) => {
                self.counters.bad_leadership_datagrams.add();
                if !self.is_rejecting.replace(true) {
                    log::warn!("leadership datagram rejected cause={cause}");
                }
                return Vec::new();
            }
        };
        self.is_rejecting.set(false);
        if let Some(placement) = &self.placement {
            placement.borrow_mut().on_heartbeat(self.clock.now(), received.from);
        }
        let responses = self.on_message(received.from, received.message);
        self.deliver(responses)
    }

    /// Begins a graceful shutdown: at the next deadline, this gateway releases its leases and stops being a
    /// candidate.
    pub fn stop(&self) {
        self.is_stopping.set(true);
    }

    /// Number of leases that this gateway currently holds.
    pub fn held_leases(&self) -> usize {
        let now = self.clock.now();
        let lease_manager = self.lease_manager.borrow();
        self.roles.iter().filter(|role| lease_manager.held_term(now, **role).is_some()).count()
    }

    /// Number of roles whose lease holder is known.
    pub fn known_lease_holders(&self) -> usize {
        let now = self.clock.now();
        let lease_manager = self.lease_manager.borrow();
        self.roles.iter().filter(|role| lease_manager.lease_holder(now, **role).is_some()).count()
    }

    /// Number of state entries.
    pub fn entry_count(&self) -> usize {
        let quota_entries = self.quota_lending.as_ref().map_or(0, |lending| lending.borrow().entry_count());
        self.primary_discovery.borrow().entry_count() + quota_entries
    }

    /// Formats the counters as text. Their names are part of the operators' interface.
    pub fn counts(&self) -> String {
        let lease_holder = self.lease_manager.borrow().lease_holder(self.clock.now(), discovery_role(0));
        let leader = match lease_holder {
            Some(LeaseHolder { gateway, term }) => format!("{gateway} term={term}"),
            None => "nobody".to_string(),
        };
        let lending = self.quota_lending.as_ref().map(|lending| format!(" {}", lending.borrow().counts()));
        let lending = lending.unwrap_or_default();
        let (held, known, roles) = (self.held_leases(), self.known_lease_holders(), self.roles.len());
        let counts = self.lease_manager.borrow().counts();
        let leases = format!("leases_held={held} leaders_known={known} roles={roles}");
        format!("{counts} {leases} discovery_leader={leader}{lending}")
    }

    fn release_leases(&self, now: Time) -> Vec<OutgoingDatagram> {
        self.next_check_at.set(now + CHECK_INTERVAL);
        let releases = self.lease_manager.borrow_mut().release_all(now);
        self.deliver(releases)
    }

    /// Campaigns for the shards that this acceptor should lead and withdraws from the others. Returns lease
    /// releases and due heartbeats.
    fn place_shards(&self, now: Time) -> Vec<Outgoing> {
        let Some(placement) = &self.placement else { return Vec::new() };
        let mut placement = placement.borrow_mut();
        let heartbeats = placement.due_heartbeats(now).into_iter();
        let mut messages: Vec<Outgoing> =
            heartbeats.map(|to| Outgoing { to, message: Message::Heartbeat }).collect();
        for role in &self.roles {
            messages.extend(self.place_shard(now, &placement, *role));
        }
        messages
    }

    fn place_shard(&self, now: Time, placement: &Placement, role: LeadershipRole) -> Vec<Outgoing> {
        let mut lease_manager = self.lease_manager.borrow_mut();
        let shard = role.shard as u16;
        let should_campaign = placement.should_campaign(now, shard);
        let should_yield = placement.should_yield(now, shard);
        if !lease_manager.is_campaigning(role) {
            if should_campaign && !should_yield {
                lease_manager.campaign(now, role);
            }
            return Vec::new();
        }
        // A held lease is kept until a preferred acceptor has settled (see [`Placement`]).
        let is_holding = lease_manager.held_term(now, role).is_some();
        let should_withdraw = if is_holding { should_yield } else { !should_campaign };
        if should_withdraw {
            lease_manager.withdraw(now, role)
        } else {
            Vec::new()
        }
    }

    fn announce_primaries(&self, now: Time) -> Vec<OutgoingDatagram> {
        let mut lease_manager = self.lease_manager.borrow_mut();
        let mut primary_discovery = self.primary_discovery.borrow_mut();
        primary_discovery.update_leaders(now, &lease_manager);
        primary_discovery.due_datagrams(now, &mut lease_manager, &self.codec)
    }

    /// Processes a message and returns the responses. A notification is applied only if its term is admitted.
    fn on_message(&self, from: GatewayId, message: Message) -> Vec<Outgoing> {
        let now = self.clock.now();
        let mut responses = Vec::new();
        if self.is_admitted(&message) {
            for primary in announced_primaries(&message) {
                self.primary_discovery.borrow_mut().on_announcement(now, *primary);
            }
            responses.extend(self.on_quota_message(from, &message));
        }
        responses.extend(self.lease_manager.borrow_mut().on_message(now, from, message));
        responses
    }

    fn is_admitted(&self, message: &Message) -> bool {
        match message {
            Message::Notification { role, term, .. } => self.lease_manager.borrow().would_admit(*role, *term),
            _ => true,
        }
    }

    fn on_quota_message(&self, from: GatewayId, message: &Message) -> Vec<Outgoing> {
        let is_about_quotas = match message {
            Message::QuotaReport(_) => true,
            Message::Notification { role, .. } => role.kind == QUOTA_LENDING,
            _ => false,
        };
        let Some(lending) = self.quota_lending.as_ref().filter(|_| is_about_quotas) else {
            return Vec::new();
        };
        let mut lease_manager = self.lease_manager.borrow_mut();
        if from >= lease_manager.settings().gateways {
            return Vec::new();
        }
        lending.borrow_mut().on_message(from, message, &mut lease_manager)
    }

    /// Encodes the messages to other gateways. Messages to this gateway itself are processed immediately, and
    /// so are their responses.
    fn deliver(&self, messages: Vec<Outgoing>) -> Vec<OutgoingDatagram> {
        let self_id = self.lease_manager.borrow().settings().self_id;
        let mut pending = messages;
        let mut datagrams = Vec::new();
        while let Some(Outgoing { to, message }) = pending.pop() {
            if to == self_id {
                pending.extend(self.on_message(self_id, message));
            } else {
                datagrams.push(OutgoingDatagram { to, bytes: self.codec.encode(&message) });
            }
        }
        datagrams
    }
}

/// Returns the primaries that a message announces or reports.
fn announced_primaries(message: &Message) -> &[PrimaryAnnouncement] {
    match message {
        Message::PrimaryReport(primary) => std::slice::from_ref(primary),
        Message::PrimaryReports { primaries } => primaries,
        Message::Notification { role, notification, .. } if role.kind == PRIMARY_DISCOVERY => {
            match notification {
                Notification::Primary(primary) => std::slice::from_ref(primary),
                Notification::Primaries { primaries } => primaries,
                _ => &[],
            }
        }
        _ => &[],
    }
}

/// Returns all roles of a fleet: one for each shard of each enabled kind.
fn all_roles(config: LeadershipConfig, lends_quota: bool) -> Vec<LeadershipRole> {
    let kinds = [(config.primary_discovery, PRIMARY_DISCOVERY), (lends_quota, QUOTA_LENDING)];
    let enabled_kinds = kinds.into_iter().filter(|(is_enabled, _)| *is_enabled).map(|(_, kind)| kind);
    let shards = 0..u64::from(config.shards);
    enabled_kinds.flat_map(|kind| shards.clone().map(move |shard| LeadershipRole { kind, shard })).collect()
}
