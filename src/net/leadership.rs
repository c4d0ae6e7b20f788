//! This gateway's part in the fleet's duties, carried by datagrams. Who owns what, and whether a word is taken, stands in
//! `petrelgauge_ownership`; what follows from a word the decisions see to.
//!
//! The **scout** tells all others which member answered as its group's primary; whoever has such an
//! answer tells the scout. While one is known, all others try members of a group without a primary more rarely, the more
//! gateways there are: together they try about as often as one alone would. The **share-out** is carried by
//! `quota_lending.rs`. Each duty can fall into **shards**, one owner for each; then electors tell each other by heartbeats
//! who is there, and leaders are told many at a time.

use crate::facade::Facade;
use crate::net::announced_primaries::AnnouncedPrimaries;
use crate::net::clock::Clock;
use crate::net::counters::Counters;
use crate::net::host_names::HostNames;
use crate::net::quota_lending::{QuotaLending, QUOTA_LENDING};
use crate::{GroupId, MemberId, Time};
use petrelgauge_ownership::{
    shard_of, GatewayId, LeadershipRole, LeaseHolder, LeaseManager, Message, Notification, Outgoing,
    Placement, PrimaryAnnouncement, MAX_ANNOUNCEMENTS,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The kind of the scout's duty; each shard is a duty of its own.
pub const PRIMARY_DISCOVERY: u8 = 1;
/// While another scouts, attempts of this gateway's own are half as many times as rare as there are gateways, and so many at
/// most: with none of the others' words arriving, a write still finds its primary within seconds.
const RAREST: Time = 64;
/// Between two looks at who leads (microseconds).
const LOOK: Time = 50_000;
/// Groups whose leaders are told at a time (count), where each is told by itself.
const MOST_TOLD: usize = 64;

/// Bytes for a gateway, by its place among the peers.
pub type OutgoingDatagram = (GatewayId, Vec<u8>);
/// Messages, each with whom it is for.
type Sent = Vec<Outgoing>;
/// A leader as the decisions know it: its group, the member, and when it answered.
type Answered = (GroupId, MemberId, Time);

/// Which duties there are.
#[derive(Clone, Copy, Debug)]
pub struct LeadershipConfig {
    /// Somebody scouts.
    pub scout: bool,
    /// Shards of each duty.
    pub shards: u16,
    /// The same at all gateways.
    pub secret: u64,
}

/// This gateway's part.
pub struct FleetLeadership {
    office: RefCell<LeaseManager>,
    shares: Option<RefCell<QuotaLending>>,
    /// Which shards this gateway should own: of an elector, where there are several.
    placement: Option<RefCell<Placement>>,
    plan: LeadershipConfig,
    /// Told apart from fleets with other electors, spans or shards.
    fleet: u32,
    /// All duties of this fleet.
    duties: Vec<LeadershipRole>,
    facade: Facade,
    clock: Clock,
    counters: Rc<Counters>,
    /// The list's names and the decisions' numbers for them.
    names: Rc<HostNames>,
    leaders: RefCell<AnnouncedPrimaries>,
    look_at: Cell<Time>,
    /// Who was known to scout, for each shard.
    scouts: RefCell<Vec<Option<LeaseHolder>>>,
    failing: Cell<bool>,
    leaving: Cell<bool>,
}

fn scout(shard: u16) -> LeadershipRole {
    LeadershipRole { kind: PRIMARY_DISCOVERY, shard: u64::from(shard) }
}

impl FleetLeadership {
    /// A part for this office.
    pub fn new(
        mut office: LeaseManager,
        shares: Option<QuotaLending>,
        plan: LeadershipConfig,
        facade: Facade,
        clock: Clock,
        counters: Rc<Counters>,
        names: Rc<HostNames>,
    ) -> Rc<FleetLeadership> {
        let fleet = office.settings().sharded_fingerprint(plan.shards);
        let kinds = [(plan.scout, PRIMARY_DISCOVERY), (shares.is_some(), QUOTA_LENDING)];
        let kinds = kinds.into_iter().filter(|(on, _)| *on);
        let of_kind =
            |(_, kind)| (0..u64::from(plan.shards)).map(move |shard| LeadershipRole { kind, shard });
        let duties: Vec<LeadershipRole> = kinds.flat_map(of_kind).collect();
        let now = clock.now();
        let settings = office.settings().clone();
        let elects = settings.acceptors.contains(&settings.self_id);
        let placement = (elects && plan.shards > 1).then(|| Placement::new(&settings, plan.shards, now));
        if elects && placement.is_none() {
            // Electors are candidates too, and nobody else: so few ask, however many there are.
            duties.iter().for_each(|duty| office.campaign(now, *duty));
        }
        Rc::new(FleetLeadership {
            office: RefCell::new(office),
            shares: shares.map(RefCell::new),
            placement: placement.map(RefCell::new),
            plan,
            fleet,
            duties,
            facade,
            clock,
            counters,
            names,
            leaders: RefCell::default(),
            look_at: Cell::new(0),
            scouts: RefCell::new(vec![None; usize::from(plan.shards)]),
            failing: Cell::new(false),
            leaving: Cell::new(false),
        })
    }

    /// Whether these bytes are about duties.
    pub fn is_for(bytes: &[u8]) -> bool {
        Message::has_mark(bytes)
    }

    /// When [`FleetLeadership::due`] is to be called at the latest.
    pub fn due_at(&self) -> Time {
        let shares = self.shares.as_ref().and_then(|shares| shares.borrow().due_at());
        let heartbeat = self.placement.as_ref().map(|placement| placement.borrow().next_deadline());
        let due = self.office.borrow().next_deadline().into_iter().chain(shares).chain(heartbeat).min();
        due.map_or(self.look_at.get(), |due| due.min(self.look_at.get()))
    }

    /// What is to be sent now.
    pub fn due(&self) -> Vec<OutgoingDatagram> {
        let now = self.clock.now();
        if self.leaving.get() {
            self.look_at.set(now + LOOK);
            let sent = self.office.borrow_mut().release_all(now);
            return self.post(sent);
        }
        let mut sent = self.place(now);
        sent.extend(self.office.borrow_mut().on_deadline(now));
        let mut parcels = self.post(sent);
        if now >= self.look_at.get() {
            self.look_at.set(now + LOOK);
            self.look(now);
            parcels.extend(self.tell(now));
        }
        if let Some(shares) = &self.shares {
            let sent = shares.borrow_mut().due(&mut self.office.borrow_mut());
            parcels.extend(self.post(sent));
        }
        parcels
    }

    /// Heartbeats, and what this elector wants from now on or gives up.
    fn place(&self, now: Time) -> Sent {
        let Some(placement) = &self.placement else { return Vec::new() };
        let (mut placement, mut office) = (placement.borrow_mut(), self.office.borrow_mut());
        let mut sent: Sent = placement
            .due_heartbeats(now)
            .into_iter()
            .map(|to| Outgoing { to, message: Message::Heartbeat })
            .collect();
        for duty in &self.duties {
            let shard = duty.shard as u16;
            let (wants, yields) = (placement.should_campaign(now, shard), placement.should_yield(now, shard));
            match (office.is_campaigning(*duty), office.held_term(now, *duty).is_some()) {
                (false, _) if wants && !yields => office.campaign(now, *duty),
                // One that it owns it keeps until an earlier one has come to stay.
                (true, true) if yields => sent.extend(office.withdraw(now, *duty)),
                (true, false) if !wants => sent.extend(office.withdraw(now, *duty)),
                _ => {}
            }
        }
        sent
    }

    /// A datagram came; gives what is to be sent in answer.
    pub fn hear(&self, bytes: &[u8]) -> Vec<OutgoingDatagram> {
        match Message::read(bytes, self.fleet, self.plan.secret) {
            Ok((from, message)) => {
                self.failing.set(false);
                if let Some(placement) = &self.placement {
                    placement.borrow_mut().on_heartbeat(self.clock.now(), from);
                }
                let sent = self.take(from, message);
                self.post(sent)
            }
            Err(cause) => {
                self.counters.bad_words.add();
                if !self.failing.replace(true) {
                    log::warn!("a datagram of another gateway cannot be used: {cause}");
                }
                Vec::new()
            }
        }
    }

    /// This gateway stops: what it owns is given up, and it asks for nothing more.
    pub fn stop(&self) {
        self.leaving.set(true);
    }

    /// FleetLeadership that this gateway owns now.
    pub fn owned(&self) -> usize {
        let now = self.clock.now();
        let office = self.office.borrow();
        self.duties.iter().filter(|duty| office.held_term(now, **duty).is_some()).count()
    }

    /// FleetLeadership whose owner it knows.
    pub fn known_owners(&self) -> usize {
        let now = self.clock.now();
        let office = self.office.borrow();
        self.duties.iter().filter(|duty| office.lease_holder(now, **duty).is_some()).count()
    }

    /// Entries of state, those of the share-out included.
    pub fn entries(&self) -> usize {
        self.leaders.borrow().len() + self.shares.as_ref().map_or(0, |shares| shares.borrow().entries())
    }

    /// Counters, and who scouts.
    pub fn counts(&self) -> String {
        let (office, now) = (self.office.borrow(), self.clock.now());
        let owner = match office.lease_holder(now, scout(0)) {
            Some(LeaseHolder { gateway, term }) => format!("{gateway} term={term}"),
            None => "nobody".to_string(),
        };
        let shares = self.shares.as_ref().map(|shares| format!(" {}", shares.borrow().counts()));
        let (owned, known) = (self.owned(), self.known_owners());
        let of = self.duties.len();
        let counts = office.counts();
        let shares = shares.unwrap_or_default();
        format!("{counts} duties_owned={owned} duties_known={known} duties={of} scout={owner}{shares}")
    }

    fn take(&self, from: GatewayId, message: Message) -> Sent {
        let now = self.clock.now();
        let taken = match &message {
            Message::Notification { role: duty, term, .. } => self.office.borrow().would_admit(*duty, *term),
            _ => true,
        };
        let mut sent = Vec::new();
        match &message {
            Message::Notification {
                role: LeadershipRole { kind: PRIMARY_DISCOVERY, .. },
                notification: Notification::Primary(primary),
                ..
            } if taken => self.primary(now, *primary),
            Message::Notification {
                role: LeadershipRole { kind: PRIMARY_DISCOVERY, .. },
                notification: Notification::Primaries { primaries: leaders },
                ..
            } if taken => {
                leaders.iter().for_each(|leader| self.primary(now, *leader));
            }
            Message::PrimaryReport(primary) => self.primary(now, *primary),
            Message::PrimaryReports { primaries: leaders } => {
                leaders.iter().for_each(|leader| self.primary(now, *leader))
            }
            Message::Notification { role: LeadershipRole { kind: QUOTA_LENDING, .. }, .. }
            | Message::QuotaReport(_)
                if taken =>
            {
                let mut office = self.office.borrow_mut();
                let shares = self.shares.as_ref().filter(|_| from < office.settings().gateways);
                sent.extend(
                    shares.into_iter().flat_map(|one| one.borrow_mut().hear(from, &message, &mut office)),
                );
            }
            _ => {}
        }
        sent.extend(self.office.borrow_mut().on_message(now, from, message));
        sent
    }

    /// Somebody says who leads. A member that the own list does not name is nobody.
    fn primary(&self, now: Time, leader: PrimaryAnnouncement) {
        if let Some(id) = self.names.by_hash(leader.member) {
            self.counters.words.add();
            // It need not be told back.
            if let Some(group) = self.facade.group(id) {
                self.leaders.borrow_mut().insert(now, group, id);
            }
            self.facade.hearsay(now, id, leader.position);
        }
    }

    /// Messages as datagrams. What is for this gateway itself is heard at once.
    fn post(&self, sent: Sent) -> Vec<OutgoingDatagram> {
        let me = self.office.borrow().settings().self_id;
        let (mut left, mut parcels) = (sent, Vec::new());
        while let Some(Outgoing { to, message }) = left.pop() {
            if to == me {
                left.extend(self.take(me, message));
            } else {
                parcels.push((to, message.write(me, self.fleet, self.plan.secret)));
            }
        }
        parcels
    }

    /// Looks who scouts, and scouts rarely if others do for all groups.
    fn look(&self, now: Time) {
        let office = self.office.borrow();
        let known: Vec<Option<LeaseHolder>> =
            (0..self.plan.shards).map(|shard| office.lease_holder(now, scout(shard))).collect();
        let before = self.scouts.replace(known.clone());
        if known == before {
            return;
        }
        // Whoever owns a shard next has to be told anew.
        let has_none = |group| known[usize::from(shard_of(group, self.plan.shards))].is_none();
        self.leaders.borrow_mut().forget(has_none);
        let me = office.settings().self_id;
        let others =
            known.iter().all(|owner| owner.is_some_and(|holder| holder.gateway != me || known.len() > 1));
        let gateways = Time::from(office.settings().gateways);
        self.facade.scout_every(if others { (gateways / 2).clamp(1, RAREST) } else { 1 });
        match known.iter().flatten().next() {
            Some(LeaseHolder { gateway, term }) if known.len() == 1 => {
                log::info!("gateway {gateway} scouts under term {term}")
            }
            Some(_) if known.iter().all(Option::is_some) => {
                log::info!("all {} shards have a scout", known.len())
            }
            Some(_) => log::info!("some shards have no scout; each tries members by itself"),
            None => log::info!("nobody is known to scout; each tries members by itself"),
        }
    }

    /// What there is to say of who leads: the scout to all, what is new and what was told a while ago; another to the
    /// scout, what is new.
    fn tell(&self, now: Time) -> Vec<OutgoingDatagram> {
        let leaders = self.facade.leaders();
        let mut parcels = Vec::new();
        for shard in 0..self.plan.shards {
            let holder = self.office.borrow().lease_holder(now, scout(shard));
            let Some(LeaseHolder { gateway: owner, .. }) = holder else { continue };
            let in_shard = leaders.iter().filter(|(group, ..)| shard_of(*group, self.plan.shards) == shard);
            let due = self.due_leaders(now, in_shard, owner);
            parcels.extend(self.write_leaders(shard, owner, &due));
        }
        parcels
    }

    /// AnnouncedPrimaries that the scout of their shard has to tell, or has to be told of. They count as told from now on.
    fn due_leaders<'a>(
        &self,
        now: Time,
        leaders: impl Iterator<Item = &'a Answered>,
        owner: GatewayId,
    ) -> Vec<PrimaryAnnouncement> {
        let again = owner == self.office.borrow().settings().self_id;
        let most = if self.plan.shards == 1 { MOST_TOLD } else { usize::MAX };
        let mut told = self.leaders.borrow_mut();
        let mut due = Vec::new();
        for (group, member, position) in leaders.take(most) {
            let Some(hash) = self.names.hash(*member) else { continue };
            if told.is_due(now, *group, *member, again) {
                told.insert(now, *group, *member);
                due.push(PrimaryAnnouncement { member: hash, position: *position });
            }
        }
        due
    }

    fn write_leaders(
        &self,
        shard: u16,
        owner: GatewayId,
        leaders: &[PrimaryAnnouncement],
    ) -> Vec<OutgoingDatagram> {
        let mut office = self.office.borrow_mut();
        let (me, gateways) = (office.settings().self_id, office.settings().gateways);
        let single = self.plan.shards == 1;
        let mut parcels = Vec::new();
        for piece in leaders.chunks(if single { 1 } else { MAX_ANNOUNCEMENTS }) {
            if owner != me {
                let found = match single {
                    true => Message::PrimaryReport(piece[0]),
                    false => Message::PrimaryReports { primaries: piece.to_vec() },
                };
                parcels.push((owner, found.write(me, self.fleet, self.plan.secret)));
                continue;
            }
            let word = match single {
                true => Notification::Primary(piece[0]),
                false => Notification::Primaries { primaries: piece.to_vec() },
            };
            // Asked right before it goes out, for each of them.
            let Some(message) = office.notification(self.clock.now(), scout(shard), word) else { break };
            let bytes = message.write(me, self.fleet, self.plan.secret);
            parcels.extend((0..gateways).filter(|to| *to != me).map(|to| (to, bytes.clone())));
        }
        parcels
    }
}
