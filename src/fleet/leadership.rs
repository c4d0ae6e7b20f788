//! This gateway's part in the fleet's leadership roles: carries messages between the lease manager, primary discovery,
//! quota lending and the other gateways. Who leads, and whether a notification is admitted, `petrelgauge_ownership`
//! decides; what follows from a notification, the decisions.
//!
//! Each role can have several shards with a leader each. Acceptors then place the shards among themselves, and know by
//! heartbeats which of them are present.

use crate::fleet::codec::{FleetCodec, OutgoingDatagram};
use crate::fleet::primary_discovery::{discovery_role, PrimaryDiscovery, PRIMARY_DISCOVERY};
use crate::fleet::quota_lending::{QuotaLending, QUOTA_LENDING};
use crate::os::clock::Clock;
use crate::resources::counters::Counters;
use crate::Time;
use petrelgauge_ownership::{
    GatewayId, LeadershipRole, LeaseHolder, LeaseManager, Message, Notification, Outgoing, Placement,
    ReceivedMessage,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Time between two checks of who leads and what is to be announced (microseconds).
const CHECK_INTERVAL: Time = 50_000;

/// Which roles there are; the same at all gateways.
#[derive(Clone, Copy, Debug)]
pub struct LeadershipConfig {
    /// Whether primary discovery has a leader.
    pub primary_discovery: bool,
    /// Shards of each role.
    pub shards: u16,
    /// The fleet's secret.
    pub secret: u64,
}

/// This gateway's part in the fleet's leadership roles.
pub struct FleetLeadership {
    lease_manager: RefCell<LeaseManager>,
    discovery: RefCell<PrimaryDiscovery>,
    quota_lending: Option<RefCell<QuotaLending>>,
    /// Of an acceptor, if there are several shards.
    placement: Option<RefCell<Placement>>,
    /// All roles of this fleet.
    roles: Vec<LeadershipRole>,
    codec: FleetCodec,
    clock: Clock,
    counters: Rc<Counters>,
    next_check_at: Cell<Time>,
    /// The last datagram could not be used: such datagrams are logged once in a row.
    is_failing: Cell<bool>,
    is_stopping: Cell<bool>,
}

impl FleetLeadership {
    /// A part in these roles.
    pub fn new(
        mut lease_manager: LeaseManager,
        discovery: PrimaryDiscovery,
        quota_lending: Option<QuotaLending>,
        config: LeadershipConfig,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> Rc<FleetLeadership> {
        let now = clock.now();
        let settings = lease_manager.settings().clone();
        let roles = roles(config, quota_lending.is_some());
        let is_placed = settings.is_acceptor() && config.shards > 1;
        let placement = is_placed.then(|| Placement::new(&settings, config.shards, now));
        if settings.is_acceptor() && !is_placed {
            // Only acceptors are candidates, however many gateways there are.
            roles.iter().for_each(|role| lease_manager.campaign(now, *role));
        }
        Rc::new(FleetLeadership {
            lease_manager: RefCell::new(lease_manager),
            discovery: RefCell::new(discovery),
            quota_lending: quota_lending.map(RefCell::new),
            placement: placement.map(RefCell::new),
            roles,
            codec: FleetCodec::new(&settings, config.shards, config.secret),
            clock,
            counters,
            next_check_at: Cell::new(0),
            is_failing: Cell::new(false),
            is_stopping: Cell::new(false),
        })
    }

    /// Whether these bytes are about leadership roles.
    pub fn is_for(bytes: &[u8]) -> bool {
        Message::has_magic_byte(bytes)
    }

    /// When [`FleetLeadership::on_deadline`] is to be called at the latest.
    pub fn next_deadline(&self) -> Time {
        let leases = self.lease_manager.borrow().next_deadline();
        let reports = self.quota_lending.as_ref().and_then(|lending| lending.borrow().next_deadline());
        let heartbeat = self.placement.as_ref().map(|placement| placement.borrow().next_deadline());
        let deadlines = [leases, reports, heartbeat].into_iter().flatten();
        deadlines.fold(self.next_check_at.get(), Time::min)
    }

    /// The datagrams to send now.
    pub fn on_deadline(&self) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        if self.is_stopping.get() {
            self.next_check_at.set(now + CHECK_INTERVAL);
            let releases = self.lease_manager.borrow_mut().release_all(now);
            return self.encode(releases);
        }
        let mut outgoing = self.place_shards(now);
        outgoing.extend(self.lease_manager.borrow_mut().on_deadline(now));
        let mut datagrams = self.encode(outgoing);
        if now >= self.next_check_at.get() {
            self.next_check_at.set(now + CHECK_INTERVAL);
            datagrams.extend(self.discover_primaries(now));
        }
        if let Some(lending) = &self.quota_lending {
            let outgoing = lending.borrow_mut().on_deadline(&mut self.lease_manager.borrow_mut());
            datagrams.extend(self.encode(outgoing));
        }
        datagrams
    }

    /// A datagram arrived: the datagrams to send in response.
    pub fn on_datagram(&self, bytes: &[u8]) -> Vec<OutgoingDatagram> {
        let ReceivedMessage { from, message } = match self.codec.decode(bytes) {
            Ok(decoded) => decoded,
            Err(cause) => {
                self.counters.bad_words.add();
                if !self.is_failing.replace(true) {
                    log::warn!("leadership datagram rejected cause={cause}");
                }
                return Vec::new();
            }
        };
        self.is_failing.set(false);
        if let Some(placement) = &self.placement {
            placement.borrow_mut().on_heartbeat(self.clock.now(), from);
        }
        let outgoing = self.on_message(from, message);
        self.encode(outgoing)
    }

    /// The gateway stops: it releases its leases and is no candidate any more.
    pub fn stop(&self) {
        self.is_stopping.set(true);
    }

    /// Number of leases that this gateway holds now.
    pub fn held_leases(&self) -> usize {
        let now = self.clock.now();
        let lease_manager = self.lease_manager.borrow();
        self.roles.iter().filter(|role| lease_manager.held_term(now, **role).is_some()).count()
    }

    /// Number of roles whose leader it knows.
    pub fn known_lease_holders(&self) -> usize {
        let now = self.clock.now();
        let lease_manager = self.lease_manager.borrow();
        self.roles.iter().filter(|role| lease_manager.lease_holder(now, **role).is_some()).count()
    }

    /// Number of entries of state.
    pub fn entries(&self) -> usize {
        let quotas = self.quota_lending.as_ref().map_or(0, |lending| lending.borrow().entries());
        self.discovery.borrow().entries() + quotas
    }

    /// The counters as text. Their names are an interface to operators.
    pub fn counts(&self) -> String {
        let holder = self.lease_manager.borrow().lease_holder(self.clock.now(), discovery_role(0));
        let leader = match holder {
            Some(LeaseHolder { gateway, term }) => format!("{gateway} term={term}"),
            None => "nobody".to_string(),
        };
        let lending = self.quota_lending.as_ref().map(|lending| format!(" {}", lending.borrow().counts()));
        let lending = lending.unwrap_or_default();
        let (owned, known, roles) = (self.held_leases(), self.known_lease_holders(), self.roles.len());
        let counts = self.lease_manager.borrow().counts();
        format!("{counts} duties_owned={owned} duties_known={known} duties={roles} scout={leader}{lending}")
    }

    /// Heartbeats, and the shards that this acceptor campaigns for or withdraws from.
    fn place_shards(&self, now: Time) -> Vec<Outgoing> {
        let Some(placement) = &self.placement else { return Vec::new() };
        let mut placement = placement.borrow_mut();
        let mut lease_manager = self.lease_manager.borrow_mut();
        let heartbeats = placement.due_heartbeats(now).into_iter();
        let mut outgoing: Vec<Outgoing> =
            heartbeats.map(|to| Outgoing { to, message: Message::Heartbeat }).collect();
        for role in &self.roles {
            let shard = role.shard as u16;
            let should_campaign = placement.should_campaign(now, shard);
            let should_yield = placement.should_yield(now, shard);
            let is_holding = lease_manager.held_term(now, *role).is_some();
            if !lease_manager.is_campaigning(*role) {
                if should_campaign && !should_yield {
                    lease_manager.campaign(now, *role);
                }
            // A lease that is held is kept until a preferred acceptor has settled.
            } else if (is_holding && should_yield) || (!is_holding && !should_campaign) {
                outgoing.extend(lease_manager.withdraw(now, *role));
            }
        }
        outgoing
    }

    fn discover_primaries(&self, now: Time) -> Vec<OutgoingDatagram> {
        let mut lease_manager = self.lease_manager.borrow_mut();
        let mut discovery = self.discovery.borrow_mut();
        discovery.check_leaders(now, &lease_manager);
        discovery.announce(now, &mut lease_manager, &self.codec)
    }

    /// Handles a message; the effects of a notification only if it is admitted.
    fn on_message(&self, from: GatewayId, message: Message) -> Vec<Outgoing> {
        let now = self.clock.now();
        let mut outgoing = Vec::new();
        if self.is_admitted(&message) {
            self.on_primaries(now, &message);
            outgoing.extend(self.on_quotas(from, &message));
        }
        outgoing.extend(self.lease_manager.borrow_mut().on_message(now, from, message));
        outgoing
    }

    fn is_admitted(&self, message: &Message) -> bool {
        match message {
            Message::Notification { role, term, .. } => self.lease_manager.borrow().would_admit(*role, *term),
            _ => true,
        }
    }

    fn on_primaries(&self, now: Time, message: &Message) {
        let primaries = match message {
            Message::PrimaryReport(primary) => std::slice::from_ref(primary),
            Message::PrimaryReports { primaries } => primaries,
            Message::Notification { role, notification, .. } if role.kind == PRIMARY_DISCOVERY => {
                match notification {
                    Notification::Primary(primary) => std::slice::from_ref(primary),
                    Notification::Primaries { primaries } => primaries,
                    _ => return,
                }
            }
            _ => return,
        };
        let mut discovery = self.discovery.borrow_mut();
        primaries.iter().for_each(|primary| discovery.on_announcement(now, *primary));
    }

    fn on_quotas(&self, from: GatewayId, message: &Message) -> Vec<Outgoing> {
        let is_about_quotas = match message {
            Message::QuotaReport(_) => true,
            Message::Notification { role, .. } => role.kind == QUOTA_LENDING,
            _ => false,
        };
        let mut lease_manager = self.lease_manager.borrow_mut();
        let is_gateway = from < lease_manager.settings().gateways;
        let lending = self.quota_lending.as_ref().filter(|_| is_about_quotas && is_gateway);
        lending.map_or_else(Vec::new, |lending| {
            lending.borrow_mut().on_message(from, message, &mut lease_manager)
        })
    }

    /// Encodes messages. What is for this gateway itself is handled at once.
    fn encode(&self, outgoing: Vec<Outgoing>) -> Vec<OutgoingDatagram> {
        let self_id = self.lease_manager.borrow().settings().self_id;
        let mut pending = outgoing;
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

/// All roles of a fleet: each shard of each kind.
fn roles(config: LeadershipConfig, lends_quota: bool) -> Vec<LeadershipRole> {
    let kinds = [(config.primary_discovery, PRIMARY_DISCOVERY), (lends_quota, QUOTA_LENDING)];
    let kinds = kinds.into_iter().filter(|(is_on, _)| *is_on).map(|(_, kind)| kind);
    let shards = 0..u64::from(config.shards);
    kinds.flat_map(|kind| shards.clone().map(move |shard| LeadershipRole { kind, shard })).collect()
}
