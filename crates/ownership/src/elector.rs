//! Promises and grants of one elector.

use crate::message::{Answer, Ask};
use crate::{Ballot, Duty, Gateway, Settings, MOST_DUTIES};
use petrelgauge_policy::{mutant, Mutant, Time};
use std::collections::BTreeMap;

/// What an elector has promised for a duty, and to whom it has granted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Given {
    /// No bid under this one is answered with yes.
    promised: Ballot,
    /// The bid that was granted, and until when by this elector's clock.
    granted: Option<(Ballot, Time)>,
}

/// One elector, since its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Elector {
    /// Up to then it says nothing: it may have promised before it started.
    silent_until: Time,
    held: Time,
    duties: BTreeMap<Duty, Given>,
}

impl Elector {
    /// An elector that starts now and knows nothing of what it may have promised before.
    pub fn new(settings: &Settings, now: Time) -> Elector {
        let silence = if mutant(Mutant::SilenceSkipped) { 0 } else { settings.silence() };
        Elector {
            silent_until: now + silence,
            held: if mutant(Mutant::GrantKeptShort) { settings.lease / 2 } else { settings.held() },
            duties: BTreeMap::new(),
        }
    }

    /// Somebody asks. Nothing is answered during the silence, and none of it is remembered.
    pub fn on(&mut self, now: Time, from: Gateway, duty: Duty, ask: Ask) -> Option<Answer> {
        if now < self.silent_until || ask.ballot().who != from {
            return None;
        }
        if !self.duties.contains_key(&duty) && self.duties.len() >= MOST_DUTIES {
            // A grant that has run out binds nobody; the promise beside it only orders bids of that time.
            let over = |given: &Given| given.granted.is_none_or(|(_, until)| now >= until);
            let spent = self.duties.iter().find(|(_, given)| over(given)).map(|(duty, _)| *duty)?;
            self.duties.remove(&spent);
        }
        let given = self.duties.entry(duty).or_default();
        if given.granted.is_some_and(|(_, until)| now >= until) {
            given.granted = None;
        }
        let ballot = ask.ballot();
        // A bid is asked for once: the same again is a copy, or comes from another process under the same name.
        let low = match ask {
            Ask::Prepare { .. } => ballot <= given.promised,
            Ask::Propose { .. } | Ask::Release { .. } => ballot < given.promised,
        };
        if low && !mutant(Mutant::PromiseForgotten) {
            return Some(Answer::Denied { ballot, highest: given.promised });
        }
        match ask {
            Ask::Prepare { .. } => {
                given.promised = ballot;
                // Whoever has it: also a bidder's own earlier grant binds it, for it may be another process's.
                let other = given.granted.map(|(granted, until)| (granted, until - now));
                let other = if mutant(Mutant::GrantHidden) { None } else { other };
                Some(Answer::Promised { ballot, other })
            }
            Ask::Propose { round, .. } => {
                given.promised = ballot;
                given.granted = Some((ballot, now + self.held));
                Some(Answer::Accepted { ballot, round })
            }
            Ask::Release { .. } => {
                given.granted = given.granted.filter(|(granted, _)| *granted != ballot);
                None
            }
        }
    }
}
