//! This gateway's part in the fleet's duties, carried by datagrams. Who owns what, and whether a word is taken, stands in
//! `petrelgauge_ownership`; what follows from a word the decisions see to.
//!
//! The **scout** tells all others which member answered as its group's primary; whoever has such an
//! answer tells the scout. While one is known, all others try members of a group without a primary more rarely, the more
//! gateways there are: together they try about as often as one alone would. The **share-out** is carried by
//! `share_out.rs`.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::net::counters::Counters;
use crate::net::host_names::HostNames;
use crate::net::share_out::{ShareOut, SHARES};
use crate::{GroupId, MemberId, Time};
use petrelgauge_ownership::{Duty, Gateway, Message, Office, Term, Word};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The scout's duty.
pub const SCOUT: Duty = Duty { kind: 1, group: 0 };
/// While another scouts, attempts of this gateway's own are half as many times as rare as there are gateways, and so many at
/// most: with none of the others' words arriving, a write still finds its primary within seconds.
const RAREST: Time = 64;
/// A leader that was told is told again after this span (microseconds): datagrams get lost, gateways start.
const AGAIN: Time = 1_000_000;
/// Between two looks at who leads (microseconds).
const LOOK: Time = 50_000;
/// Groups whose leaders are told at a time (count).
const MOST_TOLD: usize = 64;

/// Bytes for a gateway, by its place among the peers.
pub type Parcel = (Gateway, Vec<u8>);

/// This gateway's part.
pub struct Duties {
    office: RefCell<Office>,
    shares: Option<RefCell<ShareOut>>,
    /// Told apart from fleets with other electors or spans.
    fleet: u32,
    secret: u64,
    /// Duties of this fleet.
    wanted: Vec<Duty>,
    facade: Facade,
    clock: Clock,
    counters: Rc<Counters>,
    /// The list's names and the decisions' numbers for them.
    names: Rc<HostNames>,
    /// Leaders that were told, and when.
    told: RefCell<BTreeMap<GroupId, (MemberId, Time)>>,
    look_at: Cell<Time>,
    /// Who was known to scout, for the log.
    known: Cell<Option<(Gateway, Term)>>,
    failing: Cell<bool>,
    leaving: Cell<bool>,
}

impl Duties {
    /// A part for this office.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        mut office: Office,
        shares: Option<ShareOut>,
        scout: bool,
        secret: u64,
        facade: Facade,
        clock: Clock,
        counters: Rc<Counters>,
        names: Rc<HostNames>,
    ) -> Rc<Duties> {
        let fleet = office.settings().fingerprint();
        let wanted = [(scout, SCOUT), (shares.is_some(), SHARES)];
        let wanted: Vec<Duty> = wanted.iter().filter(|(on, _)| *on).map(|(_, duty)| *duty).collect();
        if office.settings().electors.contains(&office.settings().me) {
            // Electors are candidates too, and nobody else: so few ask, however many there are.
            wanted.iter().for_each(|duty| office.want(clock.now(), *duty));
        }
        Rc::new(Duties {
            office: RefCell::new(office),
            shares: shares.map(RefCell::new),
            fleet,
            secret,
            wanted,
            facade,
            clock,
            counters,
            names,
            told: RefCell::default(),
            look_at: Cell::new(0),
            known: Cell::new(None),
            failing: Cell::new(false),
            leaving: Cell::new(false),
        })
    }

    /// Whether these bytes are for this room.
    pub fn is_for(bytes: &[u8]) -> bool {
        Message::is_one(bytes)
    }

    /// When [`Duties::due`] is to be called at the latest.
    pub fn due_at(&self) -> Time {
        let shares = self.shares.as_ref().and_then(|shares| shares.borrow().due_at());
        let due = self.office.borrow().due_at().into_iter().chain(shares).min();
        due.map_or(self.look_at.get(), |due| due.min(self.look_at.get()))
    }

    /// What is to be sent now.
    pub fn due(&self) -> Vec<Parcel> {
        let now = self.clock.now();
        if self.leaving.get() {
            self.look_at.set(now + LOOK);
            let sent = self.office.borrow_mut().give_up(now);
            return self.post(sent);
        }
        let sent = self.office.borrow_mut().due(now);
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

    /// A datagram came; gives what is to be sent in answer.
    pub fn hear(&self, bytes: &[u8]) -> Vec<Parcel> {
        match Message::read(bytes, self.fleet, self.secret) {
            Ok((from, message)) => {
                self.failing.set(false);
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
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Duties that this gateway owns now.
    pub fn owned(&self) -> usize {
        let now = self.clock.now();
        let office = self.office.borrow();
        self.wanted.iter().filter(|duty| office.may(now, **duty).is_some()).count()
    }

    /// Duties whose owner it knows.
    pub fn known_owners(&self) -> usize {
        let now = self.clock.now();
        let office = self.office.borrow();
        self.wanted.iter().filter(|duty| office.owner(now, **duty).is_some()).count()
    }

    /// Entries of state, those of the share-out included.
    pub fn entries(&self) -> usize {
        self.told.borrow().len() + self.shares.as_ref().map_or(0, |shares| shares.borrow().entries())
    }

    /// Counters, and who scouts.
    pub fn counts(&self) -> String {
        let (office, now) = (self.office.borrow(), self.clock.now());
        let owner = match office.owner(now, SCOUT) {
            Some((who, term)) => format!("{who} term={term}"),
            None => "nobody".to_string(),
        };
        let shares = self.shares.as_ref().map(|shares| format!(" {}", shares.borrow().counts()));
        format!("{} scout={owner}{}", office.counts(), shares.unwrap_or_default())
    }

    fn take(&self, from: Gateway, message: Message) -> Vec<(Gateway, Message)> {
        let now = self.clock.now();
        let taken = match &message {
            Message::Word(duty, term, _) => self.office.borrow().takes(*duty, *term),
            _ => true,
        };
        let mut sent = Vec::new();
        match &message {
            Message::Word(SCOUT, _, Word::Primary { member, position }) if taken => {
                self.primary(now, *member, *position)
            }
            Message::Found { member, position } => self.primary(now, *member, *position),
            Message::Word(SHARES, ..) | Message::Lines { .. } if taken => {
                let mut office = self.office.borrow_mut();
                let shares = self.shares.as_ref().filter(|_| from < office.settings().gateways);
                sent.extend(
                    shares.into_iter().flat_map(|one| one.borrow_mut().hear(from, &message, &mut office)),
                );
            }
            _ => {}
        }
        sent.extend(self.office.borrow_mut().hear(now, from, message));
        sent
    }

    /// A scout says who leads. A member that the own list does not name is nobody.
    fn primary(&self, now: Time, member: u64, position: Time) {
        if let Some(id) = self.names.by_hash(member) {
            self.counters.words.add();
            // It need not be told back.
            if let Some(group) = self.facade.group(id) {
                self.told.borrow_mut().insert(group, (id, now));
            }
            self.facade.hearsay(now, id, position);
        }
    }

    /// Messages as datagrams. What is for this gateway itself is heard at once.
    fn post(&self, sent: Vec<(Gateway, Message)>) -> Vec<Parcel> {
        let me = self.office.borrow().settings().me;
        let (mut left, mut parcels) = (sent, Vec::new());
        while let Some((to, message)) = left.pop() {
            if to == me {
                left.extend(self.take(me, message));
            } else {
                parcels.push((to, message.write(me, self.fleet, self.secret)));
            }
        }
        parcels
    }

    /// Looks who scouts, and scouts rarely if it is another.
    fn look(&self, now: Time) {
        let office = self.office.borrow();
        let owner = office.owner(now, SCOUT);
        let before = self.known.replace(owner);
        if owner == before {
            return;
        }
        let other = owner.is_some_and(|(who, _)| who != office.settings().me);
        let gateways = Time::from(office.settings().gateways);
        self.facade.scout_every(if other { (gateways / 2).clamp(1, RAREST) } else { 1 });
        match owner {
            Some((who, term)) => log::info!("gateway {who} scouts under term {term}"),
            None => log::info!("nobody is known to scout; each tries members by itself"),
        }
    }

    /// What there is to say of who leads: the scout to all, what is new and what was told a while ago; another to the
    /// scout, what is new.
    fn tell(&self, now: Time) -> Vec<Parcel> {
        let (mut office, mut told) = (self.office.borrow_mut(), self.told.borrow_mut());
        let (me, gateways) = (office.settings().me, office.settings().gateways);
        let Some((scout, _)) = office.owner(now, SCOUT) else {
            told.clear();
            return Vec::new();
        };
        let mut parcels = Vec::new();
        for (group, member, position) in self.facade.leaders().into_iter().take(MOST_TOLD) {
            let last = told.get(&group).copied();
            let known = last.is_some_and(|(last, at)| last == member && (scout != me || now - at < AGAIN));
            let (false, Some(member_hash)) = (known, self.names.hash(member)) else { continue };
            if scout == me {
                let word = Word::Primary { member: member_hash, position };
                // Asked right before it goes out, for each of them.
                let Some(message) = office.word(self.clock.now(), SCOUT, word) else { break };
                let bytes = message.write(me, self.fleet, self.secret);
                parcels.extend((0..gateways).filter(|to| *to != me).map(|to| (to, bytes.clone())));
            } else {
                let found = Message::Found { member: member_hash, position };
                parcels.push((scout, found.write(me, self.fleet, self.secret)));
            }
            told.insert(group, (member, now));
        }
        parcels
    }
}
