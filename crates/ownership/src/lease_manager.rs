//! The lease manager of one gateway. Combines its acceptor, its candidates and its fence for all roles, and
//! returns the messages to send.
//!
//! Messages returned by [`LeaseManager::on_deadline`] and [`LeaseManager::on_message`] must be sent at once.
//! [`LeaseManager::notification`] builds a notification only while the lease is held; the caller must read
//! the clock right before the call. A caller that queues the notification must check
//! [`LeaseManager::still_holds`] again before sending it.

use crate::acceptor::Acceptor;
use crate::candidate::{Action, Candidate};
use crate::fence::Fence;
use crate::message::{LeaseRequest, Message, Notification};
use crate::{GatewayId, LeadershipRole, Settings, SettingsError, Term, MAX_ROLES};
use petrelgauge_policy::Time;
use std::collections::BTreeMap;
use std::fmt;

/// Rotation of the shard number in a candidate's seed (bits), so that its low bits don't overlap with those
/// of the role's kind.
const SHARD_SEED_ROTATION: u32 = 17;

/// A message that the caller has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver. It may be this gateway itself.
    pub to: GatewayId,
    /// The content, to be encoded with the number of this gateway as the sender.
    pub message: Message,
}

/// The holder of a lease, as far as this gateway knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// Number of the holder, which may be this gateway.
    pub gateway: GatewayId,
    /// Fencing term of the lease, higher than those of earlier holders.
    pub term: Term,
}

/// A lease of another gateway, as last announced by its holder.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    holder: LeaseHolder,
    /// Latest expiry, by this gateway's clock.
    expires_at: Time,
}

/// Counters since the start. The names that `Display` prints are an interface to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Leases acquired, not counting renewals.
    pub acquired: u64,
    /// Leases that expired or were released by [`LeaseManager::withdraw`].
    pub lost: u64,
    /// Notifications rejected because of a stale term.
    pub rejected: u64,
    /// Messages whose sender is not one of the gateways.
    pub unknown_senders: u64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { acquired, lost, rejected, unknown_senders } = self;
        write!(f, "leases_acquired={acquired} leases_lost={lost} notifications_rejected={rejected}")?;
        write!(f, " unknown_senders={unknown_senders}")
    }
}

/// The leases of one gateway. Holds at most [`MAX_ROLES`] candidates.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    settings: Settings,
    /// `Some` if this gateway is one of the acceptors.
    acceptor: Option<Acceptor>,
    candidates: BTreeMap<LeadershipRole, Candidate>,
    fence: Fence,
    observed: BTreeMap<LeadershipRole, ObservedLease>,
    seed: u64,
    counts: Counts,
}

impl LeaseManager {
    /// Creates the lease manager of a gateway that starts now. `seed` is its only source of randomness.
    ///
    /// # Errors
    ///
    /// Fails if the settings are not valid; see [`Settings::check`].
    pub fn new(settings: Settings, now: Time, seed: u64) -> Result<LeaseManager, SettingsError> {
        settings.check()?;
        let acceptor = settings.is_acceptor().then(|| Acceptor::new(&settings, now));
        Ok(LeaseManager {
            settings,
            acceptor,
            candidates: BTreeMap::new(),
            fence: Fence::default(),
            observed: BTreeMap::new(),
            seed,
            counts: Counts::default(),
        })
    }

    /// The settings that the lease manager was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Counters since the lease manager was created.
    pub fn counts(&self) -> Counts {
        Counts { rejected: self.fence.rejected(), ..self.counts }
    }

    /// Makes this gateway a candidate for the role, unless it is a candidate for [`MAX_ROLES`] roles already.
    pub fn campaign(&mut self, now: Time, role: LeadershipRole) {
        if self.candidates.len() >= MAX_ROLES {
            return;
        }
        let seed = self.seed ^ role.shard.rotate_left(SHARD_SEED_ROTATION) ^ u64::from(role.kind);
        let highest = self.fence.highest(role).unwrap_or(0);
        let new = || Candidate::new(self.settings.clone(), now, highest, seed);
        self.candidates.entry(role).or_insert_with(new);
    }

    /// Whether this gateway is a candidate for the role, with or without the lease.
    pub fn is_campaigning(&self, role: LeadershipRole) -> bool {
        self.candidates.contains_key(&role)
    }

    /// Ends this gateway's candidacy for the role. Returns the messages that release the lease, if this
    /// gateway holds it.
    pub fn withdraw(&mut self, now: Time, role: LeadershipRole) -> Vec<Outgoing> {
        let Some(mut candidate) = self.candidates.remove(&role) else { return Vec::new() };
        let Some(request) = candidate.release(now) else { return Vec::new() };
        self.counts.lost += 1;
        self.to_acceptors(role, request)
    }

    /// The term of the lease, if this gateway holds it at `now`. Callers must read the clock right before
    /// each effect.
    pub fn held_term(&self, now: Time, role: LeadershipRole) -> Option<Term> {
        self.candidates.get(&role)?.held_term(now)
    }

    /// Whether this gateway still holds the lease under this term and may send an effect prepared under it.
    pub fn still_holds(&self, now: Time, role: LeadershipRole, term: Term) -> bool {
        self.held_term(now, role) == Some(term)
    }

    /// The holder of the lease: this gateway, or the one that last announced a lease that is still in force.
    pub fn lease_holder(&self, now: Time, role: LeadershipRole) -> Option<LeaseHolder> {
        if let Some(term) = self.held_term(now, role) {
            return Some(LeaseHolder { gateway: self.settings.self_id, term });
        }
        let lease = self.observed.get(&role)?;
        (now < lease.expires_at).then_some(lease.holder)
    }

    /// When [`LeaseManager::on_deadline`] is to be called next; `None` if there is no candidate.
    pub fn next_deadline(&self) -> Option<Time> {
        self.candidates.values().map(Candidate::next_deadline).min()
    }

    /// Handles the deadlines of all candidates. Returns the messages to send.
    pub fn on_deadline(&mut self, now: Time) -> Vec<Outgoing> {
        let roles: Vec<LeadershipRole> = self.candidates.keys().copied().collect();
        let mut outgoing = Vec::new();
        for role in roles {
            let Some(candidate) = self.candidates.get_mut(&role) else { continue };
            let action = candidate.on_deadline(now);
            outgoing.extend(self.apply(now, role, action));
        }
        outgoing
    }

    /// Handles a message from any gateway, including this one. Returns the messages to send in response.
    pub fn on_message(&mut self, now: Time, from: GatewayId, message: Message) -> Vec<Outgoing> {
        if from >= self.settings.gateways {
            self.counts.unknown_senders += 1;
            return Vec::new();
        }
        match message {
            Message::LeaseRequest { role, request } => self.on_request(now, from, role, request),
            Message::LeaseResponse { role, response } => {
                let Some(candidate) = self.candidates.get_mut(&role) else { return Vec::new() };
                let action = candidate.on_response(now, from, response);
                self.apply(now, role, action)
            }
            Message::Notification { role, term, notification } => {
                let holder = LeaseHolder { gateway: from, term };
                self.on_notification(now, role, holder, &notification)
            }
            Message::StaleTerm { role, highest } => {
                if let Some(candidate) = self.candidates.get_mut(&role) {
                    candidate.observe_term(highest);
                }
                Vec::new()
            }
            // Handled by the caller.
            Message::PrimaryReport(_)
            | Message::PrimaryReports { .. }
            | Message::QuotaReport(_)
            | Message::Heartbeat => Vec::new(),
        }
    }

    /// Whether the fence would admit a notification under this term. To be called before
    /// [`LeaseManager::on_message`], which records the term.
    pub fn would_admit(&self, role: LeadershipRole, term: Term) -> bool {
        self.fence.clone().admit(role, term).is_ok()
    }

    /// Builds a notification under the current term. Returns `None` if this gateway doesn't hold the lease.
    pub fn notification(
        &mut self,
        now: Time,
        role: LeadershipRole,
        notification: Notification,
    ) -> Option<Message> {
        let term = self.held_term(now, role)?;
        self.fence.admit(role, term).ok()?;
        Some(Message::Notification { role, term, notification })
    }

    /// Ends all candidacies before shutdown. Returns the messages that release the leases held.
    pub fn release_all(&mut self, now: Time) -> Vec<Outgoing> {
        let roles: Vec<LeadershipRole> = self.candidates.keys().copied().collect();
        roles.into_iter().flat_map(|role| self.withdraw(now, role)).collect()
    }

    fn on_request(
        &mut self,
        now: Time,
        from: GatewayId,
        role: LeadershipRole,
        request: LeaseRequest,
    ) -> Vec<Outgoing> {
        let Some(acceptor) = &mut self.acceptor else { return Vec::new() };
        let response = acceptor.on_request(now, from, role, request);
        let message = response.map(|response| Message::LeaseResponse { role, response });
        message.into_iter().map(|message| Outgoing { to: from, message }).collect()
    }

    fn on_notification(
        &mut self,
        now: Time,
        role: LeadershipRole,
        holder: LeaseHolder,
        notification: &Notification,
    ) -> Vec<Outgoing> {
        if let Err(stale) = self.fence.admit(role, holder.term) {
            let message = Message::StaleTerm { role, highest: stale.highest };
            return vec![Outgoing { to: holder.gateway, message }];
        }
        if let Notification::LeaseHeld { remaining } = notification {
            self.observe_lease(now, role, holder, *remaining);
        }
        Vec::new()
    }

    fn observe_lease(&mut self, now: Time, role: LeadershipRole, holder: LeaseHolder, remaining: Time) {
        let remaining = remaining.clamp(0, self.settings.acceptance_duration());
        self.observed.insert(role, ObservedLease { holder, expires_at: now + remaining });
        self.observed.retain(|_, lease| now < lease.expires_at);
        if let Some(candidate) = self.candidates.get_mut(&role) {
            candidate.observe_lease(now, holder.term, remaining);
        }
    }

    /// Carries out the action of a candidate's step. Returns the messages to send.
    fn apply(&mut self, now: Time, role: LeadershipRole, action: Action) -> Vec<Outgoing> {
        match action {
            Action::Wait => Vec::new(),
            Action::Send(request) => self.to_acceptors(role, request),
            Action::Acquired(term) => {
                self.counts.acquired += 1;
                self.announce_lease(now, role, term)
            }
            Action::Renewed(term) => self.announce_lease(now, role, term),
            Action::Lost(_) => {
                self.counts.lost += 1;
                Vec::new()
            }
        }
    }

    /// Announces the lease to all other gateways. If this gateway has seen a higher term, the others would
    /// reject the announcement too, so the lease is released instead. The next term will be higher.
    fn announce_lease(&mut self, now: Time, role: LeadershipRole, term: Term) -> Vec<Outgoing> {
        let Some(candidate) = self.candidates.get_mut(&role) else { return Vec::new() };
        if let Err(stale) = self.fence.admit(role, term) {
            candidate.observe_term(stale.highest);
            let request = candidate.release(now);
            return request.map_or_else(Vec::new, |request| self.to_acceptors(role, request));
        }
        let notification = Notification::LeaseHeld { remaining: candidate.remaining(now) };
        self.to_others(&Message::Notification { role, term, notification })
    }

    /// Addresses a request to all acceptors. If this gateway is one of them, the caller delivers the request
    /// to it like any other message.
    fn to_acceptors(&self, role: LeadershipRole, request: LeaseRequest) -> Vec<Outgoing> {
        let message = Message::LeaseRequest { role, request };
        let acceptors = self.settings.acceptors.iter();
        acceptors.map(|to| Outgoing { to: *to, message: message.clone() }).collect()
    }

    fn to_others(&self, message: &Message) -> Vec<Outgoing> {
        let others = (0..self.settings.gateways).filter(|to| *to != self.settings.self_id);
        others.map(|to| Outgoing { to, message: message.clone() }).collect()
    }
}
