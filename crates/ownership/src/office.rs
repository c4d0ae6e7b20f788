//! The electors' and candidates' work of one gateway, for all duties: what comes in, what goes out to whom, and whether
//! this gateway may act.
//!
//! What is to be sent because of a lease is tied to it: [`Office::due`] and [`Office::hear`] give datagrams that are sent
//! at once. Words of an owner are made by [`Office::word`] with the time read right before, and only while the lease
//! holds; whoever queues one asks [`Office::still`] again before it is sent.

use crate::candidate::{Candidate, Step};
use crate::elector::Elector;
use crate::fence::Fence;
use crate::message::{Message, Word};
use crate::{Duty, Gateway, Settings, SettingsError, Term, MOST_DUTIES};
use petrelgauge_policy::Time;
use std::collections::BTreeMap;
use std::fmt;

/// Datagrams, each with whom it is for.
pub type Sent = Vec<(Gateway, Message)>;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Times that this gateway came to own a duty.
    pub taken: u64,
    /// Times that it lost one.
    pub lost: u64,
    /// Words of earlier owners that were turned away.
    pub turned: u64,
    /// Datagrams from gateways that are none, or that cannot be.
    pub odd: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { taken, lost, turned, odd } = self;
        write!(f, "duties_taken={taken} duties_lost={lost} words_turned={turned} words_odd={odd}")
    }
}

/// One gateway's part in the fleet's duties.
#[derive(Clone, Debug)]
pub struct Office {
    settings: Settings,
    elector: Option<Elector>,
    candidates: BTreeMap<Duty, Candidate>,
    fence: Fence,
    /// Who owns a duty, as it last said, under which term and until when at the latest by this clock.
    owners: BTreeMap<Duty, (Gateway, Term, Time)>,
    seed: u64,
    counts: Counts,
}

impl Office {
    /// The office of a gateway that starts now. `seed` is its only source of chance.
    pub fn new(settings: Settings, now: Time, seed: u64) -> Result<Office, SettingsError> {
        settings.check()?;
        let elector = settings.electors.contains(&settings.me).then(|| Elector::new(&settings, now));
        let (candidates, owners) = (BTreeMap::new(), BTreeMap::new());
        let (fence, counts) = (Fence::default(), Counts::default());
        Ok(Office { settings, elector, candidates, fence, owners, seed, counts })
    }

    /// What it was told.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        Counts { turned: self.fence.turned(), ..self.counts }
    }

    /// From now on this gateway wants the duty.
    pub fn want(&mut self, now: Time, duty: Duty) {
        if self.candidates.len() < MOST_DUTIES {
            let seed = self.seed ^ duty.group.rotate_left(17) ^ u64::from(duty.kind);
            let base = self.fence.highest(duty).unwrap_or(0);
            let new = || Candidate::new(self.settings.clone(), now, base, seed);
            self.candidates.entry(duty).or_insert_with(new);
        }
    }

    /// Whether this gateway wants the duty.
    pub fn is_wanted(&self, duty: Duty) -> bool {
        self.candidates.contains_key(&duty)
    }

    /// From now on it does not want the duty any more, and gives it up if it owns it.
    pub fn unwant(&mut self, now: Time, duty: Duty) -> Sent {
        let asked = self.candidates.remove(&duty).and_then(|mut one| one.give_up(now));
        self.counts.lost += u64::from(asked.is_some());
        let electors = self.settings.electors.iter();
        asked
            .into_iter()
            .flat_map(|ask| electors.clone().map(move |to| (*to, Message::Ask(duty, ask))))
            .collect()
    }

    /// The term under which this gateway may act now. To be asked with the time read right before each effect.
    pub fn may(&self, now: Time, duty: Duty) -> Option<Term> {
        self.candidates.get(&duty)?.may(now)
    }

    /// Whether what was made under this term may still take effect.
    pub fn still(&self, now: Time, duty: Duty, term: Term) -> bool {
        self.may(now, duty) == Some(term)
    }

    /// Who owns a duty as far as this gateway has heard, and under which term.
    pub fn owner(&self, now: Time, duty: Duty) -> Option<(Gateway, Term)> {
        match self.may(now, duty) {
            Some(term) => Some((self.settings.me, term)),
            None => self
                .owners
                .get(&duty)
                .filter(|(_, _, until)| now < *until)
                .map(|(who, term, _)| (*who, *term)),
        }
    }

    /// When [`Office::due`] is to be called.
    pub fn due_at(&self) -> Option<Time> {
        self.candidates.values().map(Candidate::due_at).min()
    }

    /// What is to be sent now.
    pub fn due(&mut self, now: Time) -> Sent {
        let mut sent = Vec::new();
        let duties: Vec<Duty> = self.candidates.keys().copied().collect();
        for duty in duties {
            let Some(step) = self.candidates.get_mut(&duty).map(|one| one.due(now)) else { continue };
            self.carry(now, duty, step, &mut sent);
        }
        sent
    }

    /// A datagram came: what is to be sent in answer.
    pub fn hear(&mut self, now: Time, from: Gateway, message: Message) -> Sent {
        let mut sent = Vec::new();
        if from >= self.settings.gateways {
            self.counts.odd += 1;
            return sent;
        }
        match message {
            Message::Ask(duty, ask) => {
                let answer = self.elector.as_mut().and_then(|elector| elector.on(now, from, duty, ask));
                sent.extend(answer.map(|answer| (from, Message::Answer(duty, answer))));
            }
            Message::Answer(duty, answer) => {
                let step = self.candidates.get_mut(&duty).map(|one| one.on(now, from, answer));
                self.carry(now, duty, step.unwrap_or(Step::Wait), &mut sent);
            }
            Message::Word(duty, term, word) => {
                if let Err(turned) = self.fence.pass(duty, term) {
                    sent.push((from, Message::Turned(duty, turned.highest)));
                } else if let Word::Owns { left } = word {
                    let left = left.clamp(0, self.settings.held());
                    self.owners.insert(duty, (from, term, now + left));
                    self.owners.retain(|_, (_, _, until)| now < *until);
                    if let Some(one) = self.candidates.get_mut(&duty) {
                        one.heard(now, term, left);
                    }
                }
            }
            // What it says is for whoever sees to the duty.
            Message::Found { .. } | Message::FoundAll { .. } | Message::Lines { .. } | Message::Heartbeat => {
            }
            Message::Turned(duty, term) => {
                if let Some(one) = self.candidates.get_mut(&duty) {
                    one.outbid(term);
                }
            }
        }
        sent
    }

    /// Whether a word may take effect here: it is to be asked once for each, before [`Office::hear`].
    pub fn takes(&self, duty: Duty, term: Term) -> bool {
        self.fence.clone().pass(duty, term).is_ok()
    }

    /// What this gateway tells all others, if it may: under its present term, with what is left of its lease.
    pub fn word(&mut self, now: Time, duty: Duty, word: Word) -> Option<Message> {
        let term = self.may(now, duty)?;
        self.fence.pass(duty, term).ok()?;
        Some(Message::Word(duty, term, word))
    }

    /// Gives up all that it owns: it stops.
    pub fn give_up(&mut self, now: Time) -> Sent {
        let mut sent = Vec::new();
        for (duty, one) in &mut self.candidates {
            let Some(ask) = one.give_up(now) else { continue };
            self.counts.lost += 1;
            sent.extend(self.settings.electors.iter().map(|to| (*to, Message::Ask(*duty, ask))));
        }
        self.candidates.clear();
        sent
    }

    fn carry(&mut self, now: Time, duty: Duty, step: Step, sent: &mut Sent) {
        match step {
            Step::Wait => {}
            Step::Ask(ask) => {
                // Its own elector hears it like any other, by way of whoever carries datagrams.
                sent.extend(self.settings.electors.iter().map(|to| (*to, Message::Ask(duty, ask))));
            }
            Step::Own(term) | Step::Keep(term) => {
                self.counts.taken += u64::from(matches!(step, Step::Own(_)));
                // Under a term below one that was seen here nothing would be taken: the next one will be higher.
                if self.fence.pass(duty, term).is_ok() {
                    let left = self.candidates.get(&duty).map_or(0, |one| one.left(now));
                    let all = (0..self.settings.gateways).filter(|to| *to != self.settings.me);
                    sent.extend(all.map(|to| (to, Message::Word(duty, term, Word::Owns { left }))));
                } else if let Some(one) = self.candidates.get_mut(&duty) {
                    one.outbid(self.fence.highest(duty).unwrap_or(0));
                    if let Some(ask) = one.give_up(now) {
                        sent.extend(self.settings.electors.iter().map(|to| (*to, Message::Ask(duty, ask))));
                    }
                }
            }
            Step::Lose(_) => self.counts.lost += 1,
        }
    }
}
