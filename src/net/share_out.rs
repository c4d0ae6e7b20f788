//! The share-out of limits, as one gateway carries it: what its part and its pool say goes out, and the decisions are
//! told of it first. What is lent, given and back in time stands in `petrelgauge_ownership::shares`.

use crate::facade::Facade;
use crate::net::clock::Clock;
use crate::{GroupId, Share, Time};
use petrelgauge_ownership::shares::{Part, Pool, Rates};
use petrelgauge_ownership::{Duty, Gateway, Message, Office, Word};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The duty.
pub const SHARES: Duty = Duty { kind: 2, group: 0 };

/// Messages, each with whom it is for.
type Sent = Vec<(Gateway, Message)>;

/// Requests that came for each group so far.
pub type Demand = Rc<dyn Fn() -> BTreeMap<GroupId, u64>>;

/// What this gateway lends and is given, and, while it owns the duty, what it has to give.
pub struct ShareOut {
    part: Part,
    pool: Option<Pool>,
    rates: Rates,
    /// What the decisions were told, where that is not the even part.
    told: BTreeMap<GroupId, Share>,
    facade: Facade,
    clock: Clock,
    demand: Demand,
}

impl ShareOut {
    /// For a gateway that starts now. `number`: drawn, see [`Part::new`].
    pub fn new(office: &Office, number: u32, facade: Facade, clock: Clock, demand: Demand) -> ShareOut {
        let part = Part::new(office.settings().clone(), clock.now(), number);
        ShareOut { part, pool: None, rates: Rates::default(), told: BTreeMap::new(), facade, clock, demand }
    }

    /// When [`ShareOut::due`] is to be called at the latest, beside the looks of the duties.
    pub fn due_at(&self) -> Option<Time> {
        self.part.due_at()
    }

    /// What is to be sent now.
    pub fn due(&mut self, office: &mut Office) -> Sent {
        let now = self.clock.now();
        let asked = (self.demand)();
        self.rates.see(now, &asked);
        let mut sent = self.open(now, office);
        let answers = self.part.due(now, &self.rates.told());
        self.tell(now, asked.keys().copied());
        for answer in answers {
            // An owner that is none any more counts on nothing. What was promised to it holds all the same.
            let owner = office.owner(now, SHARES).filter(|(_, term)| *term == answer.term);
            let petrelgauge_ownership::shares::Answer { term, round, number, lines } = answer;
            sent.extend(owner.map(|(owner, _)| (owner, Message::Lines { term, round, number, lines })));
        }
        sent
    }

    /// A round is due, where this gateway owns the duty.
    fn open(&mut self, now: Time, office: &mut Office) -> Sent {
        let Some(term) = office.may(now, SHARES) else {
            self.pool = None;
            return Vec::new();
        };
        let settings = office.settings().clone();
        let pool = match self.pool.take().filter(|pool| pool.term() == term) {
            Some(pool) => pool,
            None => Pool::new(settings.clone(), term),
        };
        let pool = self.pool.insert(pool);
        if now < pool.due_at() {
            return Vec::new();
        }
        let (round, pieces) = pool.open(now);
        let mut sent = Vec::new();
        for means in pieces {
            // Asked right before it goes out, for each of them.
            let word = office.word(self.clock.now(), SHARES, Word::Round { round, means });
            let Some(word) = word else { break };
            sent.extend((0..settings.gateways).map(|to| (to, word.clone())));
        }
        sent
    }

    /// A message came that the office lets through.
    pub fn hear(&mut self, from: Gateway, message: &Message, office: &mut Office) -> Sent {
        let now = self.clock.now();
        match message {
            Message::Word(SHARES, term, Word::Round { round, means }) => {
                self.part.hear_round(now, *term, *round, means);
                Vec::new()
            }
            Message::Word(SHARES, _, Word::Grant { number, given }) => {
                self.part.hear_grant(now, *number, given);
                self.tell(now, given.iter().map(|(group, _)| *group));
                Vec::new()
            }
            Message::Lines { term, round, number, lines } => {
                let pool = self.pool.as_mut().filter(|pool| pool.term() == *term);
                let Some(pool) = pool.filter(|_| office.still(now, SHARES, *term)) else { return Vec::new() };
                let given = pool.hear(now, from, *round, lines);
                if given.is_empty() {
                    return Vec::new();
                }
                let grant = Word::Grant { number: *number, given };
                let word = office.word(self.clock.now(), SHARES, grant);
                word.into_iter().map(|word| (from, word)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Tells the decisions what may be used of these groups, where that is new.
    fn tell(&mut self, now: Time, groups: impl Iterator<Item = GroupId>) {
        for group in groups {
            let share = self.part.share(now, group);
            let known = self.told.get(&group).copied().unwrap_or_default();
            if share == known {
                continue;
            }
            self.facade.share(group, share);
            match share == Share::default() {
                true => self.told.remove(&group),
                false => self.told.insert(group, share),
            };
        }
        self.told.retain(|_, share| now < share.until);
    }

    /// Entries of state: of this gateway's parts, and of what it has to give.
    pub fn entries(&self) -> usize {
        self.part.groups().count() + self.pool.as_ref().map_or(0, Pool::entries)
    }

    /// What there is to show: parts lent and given here, and, of the owner, lent to it and given by it, in thousandths of
    /// even parts.
    pub fn counts(&self) -> String {
        let now = self.clock.now();
        let extras =
            || self.part.groups().map(|group| (self.part.share(now, group).extra * 1000.0).round() as i64);
        let lent = -extras().filter(|extra| *extra < 0).sum::<i64>();
        let given: i64 = extras().filter(|extra| *extra > 0).sum();
        let pool = self.pool.as_ref().map(|pool| pool.sums(now));
        let pool = pool.map(|(lent, given)| format!(" pool_lent={lent} pool_given={given}"));
        format!("share_lent={lent} share_given={given}{}", pool.unwrap_or_default())
    }
}
