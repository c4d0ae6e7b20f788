//! The acceptors' and candidates' work of one gateway, for all roles: what comes in, what goes out to whom, and whether
//! this gateway may act.
//!
//! What is to be sent because of a lease is tied to it: [`LeaseManager::on_deadline`] and [`LeaseManager::on_message`] give datagrams that are sent
//! at once. Words of a lease holder are made by [`LeaseManager::notification`] with the time read right before, and only while the lease
//! holds; whoever queues one asks [`LeaseManager::still_holds`] again before it is sent.

use crate::acceptor::Acceptor;
use crate::candidate::{Action, Candidate};
use crate::fence::Fence;
use crate::message::{Message, Notification};
use crate::{GatewayId, LeadershipRole, Settings, SettingsError, Term, MAX_ROLES};
use petrelgauge_policy::Time;
use std::collections::BTreeMap;
use std::fmt;

/// Datagrams, each with whom it is for.
pub type Sent = Vec<(GatewayId, Message)>;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Times that this gateway came to own a role.
    pub acquired: u64,
    /// Times that it lost one.
    pub lost: u64,
    /// Words of earlier lease holders that were rejected.
    pub rejected: u64,
    /// Datagrams from gateways that are none, or that cannot be.
    pub unknown_senders: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { acquired, lost, rejected, unknown_senders } = self;
        write!(
            f,
            "duties_taken={acquired} duties_lost={lost} words_turned={rejected} words_odd={unknown_senders}"
        )
    }
}

/// One gateway's part in the fleet's roles.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    settings: Settings,
    acceptor: Option<Acceptor>,
    candidates: BTreeMap<LeadershipRole, Candidate>,
    fence: Fence,
    /// Who owns a role, as it last said, under which term and until when at the latest by this clock.
    holders: BTreeMap<LeadershipRole, (GatewayId, Term, Time)>,
    seed: u64,
    counts: Counts,
}

impl LeaseManager {
    /// The office of a gateway that starts now. `seed` is its only source of chance.
    pub fn new(settings: Settings, now: Time, seed: u64) -> Result<LeaseManager, SettingsError> {
        settings.check()?;
        let acceptor = settings.acceptors.contains(&settings.self_id).then(|| Acceptor::new(&settings, now));
        let (candidates, holders) = (BTreeMap::new(), BTreeMap::new());
        let (fence, counts) = (Fence::default(), Counts::default());
        Ok(LeaseManager { settings, acceptor, candidates, fence, holders, seed, counts })
    }

    /// What it was told.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        Counts { rejected: self.fence.rejected(), ..self.counts }
    }

    /// From now on this gateway wants the role.
    pub fn campaign(&mut self, now: Time, role: LeadershipRole) {
        if self.candidates.len() < MAX_ROLES {
            let seed = self.seed ^ role.shard.rotate_left(17) ^ u64::from(role.kind);
            let base = self.fence.highest(role).unwrap_or(0);
            let new = || Candidate::new(self.settings.clone(), now, base, seed);
            self.candidates.entry(role).or_insert_with(new);
        }
    }

    /// Whether this gateway wants the role.
    pub fn is_campaigning(&self, role: LeadershipRole) -> bool {
        self.candidates.contains_key(&role)
    }

    /// From now on it does not want the role any more, and gives it up if it owns it.
    pub fn withdraw(&mut self, now: Time, role: LeadershipRole) -> Sent {
        let request = self.candidates.remove(&role).and_then(|mut candidate| candidate.release(now));
        self.counts.lost += u64::from(request.is_some());
        let acceptors = self.settings.acceptors.iter();
        request
            .into_iter()
            .flat_map(|request| acceptors.clone().map(move |to| (*to, Message::LeaseRequest(role, request))))
            .collect()
    }

    /// The term under which this gateway may act now. To be request with the time read right before each effect.
    pub fn held_term(&self, now: Time, role: LeadershipRole) -> Option<Term> {
        self.candidates.get(&role)?.held_term(now)
    }

    /// Whether what was made under this term may still take effect.
    pub fn still_holds(&self, now: Time, role: LeadershipRole, term: Term) -> bool {
        self.held_term(now, role) == Some(term)
    }

    /// Who owns a role as far as this gateway has heard, and under which term.
    pub fn lease_holder(&self, now: Time, role: LeadershipRole) -> Option<(GatewayId, Term)> {
        match self.held_term(now, role) {
            Some(term) => Some((self.settings.self_id, term)),
            None => self
                .holders
                .get(&role)
                .filter(|(_, _, until)| now < *until)
                .map(|(who, term, _)| (*who, *term)),
        }
    }

    /// When [`LeaseManager::on_deadline`] is to be called.
    pub fn next_deadline(&self) -> Option<Time> {
        self.candidates.values().map(Candidate::next_deadline).min()
    }

    /// What is to be sent now.
    pub fn on_deadline(&mut self, now: Time) -> Sent {
        let mut sent = Vec::new();
        let roles: Vec<LeadershipRole> = self.candidates.keys().copied().collect();
        for role in roles {
            let Some(action) = self.candidates.get_mut(&role).map(|candidate| candidate.on_deadline(now))
            else {
                continue;
            };
            self.apply(now, role, action, &mut sent);
        }
        sent
    }

    /// A datagram came: what is to be sent in response.
    pub fn on_message(&mut self, now: Time, from: GatewayId, message: Message) -> Sent {
        let mut sent = Vec::new();
        if from >= self.settings.gateways {
            self.counts.unknown_senders += 1;
            return sent;
        }
        match message {
            Message::LeaseRequest(role, request) => {
                let response =
                    self.acceptor.as_mut().and_then(|acceptor| acceptor.on(now, from, role, request));
                sent.extend(response.map(|response| (from, Message::LeaseResponse(role, response))));
            }
            Message::LeaseResponse(role, response) => {
                let action =
                    self.candidates.get_mut(&role).map(|candidate| candidate.on(now, from, response));
                self.apply(now, role, action.unwrap_or(Action::Wait), &mut sent);
            }
            Message::Notification(role, term, notification) => {
                if let Err(rejected) = self.fence.admit(role, term) {
                    sent.push((from, Message::StaleTerm(role, rejected.highest)));
                } else if let Notification::LeaseHeld { remaining } = notification {
                    let remaining = remaining.clamp(0, self.settings.acceptance_duration());
                    self.holders.insert(role, (from, term, now + remaining));
                    self.holders.retain(|_, (_, _, until)| now < *until);
                    if let Some(candidate) = self.candidates.get_mut(&role) {
                        candidate.observe_lease(now, term, remaining);
                    }
                }
            }
            // What it says is for whoever sees to the role.
            Message::PrimaryReport { .. }
            | Message::PrimaryReports { .. }
            | Message::QuotaReport { .. }
            | Message::Heartbeat => {}
            Message::StaleTerm(role, term) => {
                if let Some(candidate) = self.candidates.get_mut(&role) {
                    candidate.observe_term(term);
                }
            }
        }
        sent
    }

    /// Whether a word may take effect here: it is to be asked once for each, before [`LeaseManager::on_message`].
    pub fn would_admit(&self, role: LeadershipRole, term: Term) -> bool {
        self.fence.clone().admit(role, term).is_ok()
    }

    /// What this gateway tells all others, if it may: under its present term, with what is remaining of its lease.
    pub fn notification(
        &mut self,
        now: Time,
        role: LeadershipRole,
        notification: Notification,
    ) -> Option<Message> {
        let term = self.held_term(now, role)?;
        self.fence.admit(role, term).ok()?;
        Some(Message::Notification(role, term, notification))
    }

    /// Gives up all that it owns: it stops.
    pub fn release(&mut self, now: Time) -> Sent {
        let mut sent = Vec::new();
        for (role, candidate) in &mut self.candidates {
            let Some(request) = candidate.release(now) else { continue };
            self.counts.lost += 1;
            sent.extend(
                self.settings.acceptors.iter().map(|to| (*to, Message::LeaseRequest(*role, request))),
            );
        }
        self.candidates.clear();
        sent
    }

    fn apply(&mut self, now: Time, role: LeadershipRole, action: Action, sent: &mut Sent) {
        match action {
            Action::Wait => {}
            Action::Send(request) => {
                // Its own acceptor hears it like any other, by way of whoever carries datagrams.
                sent.extend(
                    self.settings.acceptors.iter().map(|to| (*to, Message::LeaseRequest(role, request))),
                );
            }
            Action::Acquired(term) | Action::Renewed(term) => {
                self.counts.acquired += u64::from(matches!(action, Action::Acquired(_)));
                // Under a term below one that was seen here nothing would be taken: the next one will be higher.
                if self.fence.admit(role, term).is_ok() {
                    let remaining =
                        self.candidates.get(&role).map_or(0, |candidate| candidate.remaining(now));
                    let all = (0..self.settings.gateways).filter(|to| *to != self.settings.self_id);
                    sent.extend(all.map(|to| {
                        (to, Message::Notification(role, term, Notification::LeaseHeld { remaining }))
                    }));
                } else if let Some(candidate) = self.candidates.get_mut(&role) {
                    candidate.observe_term(self.fence.highest(role).unwrap_or(0));
                    if let Some(request) = candidate.release(now) {
                        sent.extend(
                            self.settings
                                .acceptors
                                .iter()
                                .map(|to| (*to, Message::LeaseRequest(role, request))),
                        );
                    }
                }
            }
            Action::Lost(_) => self.counts.lost += 1,
        }
    }
}
