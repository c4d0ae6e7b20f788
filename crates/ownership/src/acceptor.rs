//! An acceptor: promises and accepted leases, kept only in memory.

use crate::message::{GrantedLease, LeaseRequest, LeaseResponse};
use crate::{Ballot, GatewayId, LeadershipRole, Settings, MAX_ROLES};
use petrelgauge_policy::{mutant, Mutant, Time};
use std::collections::BTreeMap;

/// A lease that the acceptor has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AcceptedLease {
    ballot: Ballot,
    /// By the acceptor's own clock.
    expires_at: Time,
}

/// What an acceptor has promised and accepted for one role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct RoleState {
    /// Requests with a lower ballot are rejected.
    promised: Ballot,
    accepted: Option<AcceptedLease>,
}

impl RoleState {
    fn expire(&mut self, now: Time) {
        self.accepted = self.accepted.filter(|lease| now < lease.expires_at);
    }

    fn is_expired(&self, now: Time) -> bool {
        self.accepted.is_none_or(|lease| now >= lease.expires_at)
    }

    /// Whether the request's ballot is too low. A ballot can be prepared only once: a second prepare request
    /// with the same ballot is a duplicate or was sent by an earlier process of the same gateway.
    fn is_outdated(&self, request: LeaseRequest) -> bool {
        match request {
            LeaseRequest::Prepare { ballot } => ballot <= self.promised,
            LeaseRequest::Propose { ballot, .. } | LeaseRequest::Release { ballot } => ballot < self.promised,
        }
    }

    /// The accepted lease, which a candidate has to wait for. It may belong to an earlier process of the
    /// candidate's own gateway.
    fn granted_lease(&self, now: Time) -> Option<GrantedLease> {
        if mutant(Mutant::GrantHidden) {
            return None;
        }
        self.accepted.map(|lease| GrantedLease { ballot: lease.ballot, remaining: lease.expires_at - now })
    }
}

/// The acceptor of one gateway. Keeps the state of at most [`MAX_ROLES`] roles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// Requests are ignored until this time, since leases accepted before a restart may still be in force.
    silent_until: Time,
    acceptance_duration: Time,
    roles: BTreeMap<LeadershipRole, RoleState>,
}

impl Acceptor {
    /// Creates an acceptor that starts now and knows of no earlier promises.
    pub fn new(settings: &Settings, now: Time) -> Acceptor {
        let silence = if mutant(Mutant::SilentPeriodSkipped) { 0 } else { settings.startup_silence() };
        let shortened = mutant(Mutant::GrantExpiresEarly);
        let acceptance_duration = if shortened { settings.lease / 2 } else { settings.acceptance_duration() };
        Acceptor { silent_until: now + silence, acceptance_duration, roles: BTreeMap::new() }
    }

    /// Handles a candidate's request and returns the response, if any. During the silent period after
    /// startup, requests are ignored and change nothing.
    pub fn on_request(
        &mut self,
        now: Time,
        from: GatewayId,
        role: LeadershipRole,
        request: LeaseRequest,
    ) -> Option<LeaseResponse> {
        if now < self.silent_until || request.ballot().proposer != from {
            return None;
        }
        let acceptance_duration = self.acceptance_duration;
        let state = self.role_state(now, role)?;
        state.expire(now);
        let ballot = request.ballot();
        if state.is_outdated(request) && !mutant(Mutant::PromiseForgotten) {
            return Some(LeaseResponse::Rejected { ballot, highest: state.promised });
        }
        match request {
            LeaseRequest::Prepare { .. } => {
                state.promised = ballot;
                Some(LeaseResponse::Promised { ballot, granted: state.granted_lease(now) })
            }
            LeaseRequest::Propose { round, .. } => {
                state.promised = ballot;
                state.accepted = Some(AcceptedLease { ballot, expires_at: now + acceptance_duration });
                Some(LeaseResponse::Accepted { ballot, round })
            }
            LeaseRequest::Release { .. } => {
                state.accepted = state.accepted.filter(|lease| lease.ballot != ballot);
                None
            }
        }
    }

    /// Returns the state of a role. If [`MAX_ROLES`] roles are kept already, a new role replaces one whose
    /// lease has expired: an expired lease binds nobody, and the promise stored with it only orders ballots
    /// of that time. Returns `None` if all leases are in force.
    fn role_state(&mut self, now: Time, role: LeadershipRole) -> Option<&mut RoleState> {
        if !self.roles.contains_key(&role) && self.roles.len() >= MAX_ROLES {
            let (expired, _) = self.roles.iter().find(|(_, state)| state.is_expired(now))?;
            let expired = *expired;
            self.roles.remove(&expired);
        }
        Some(self.roles.entry(role).or_default())
    }
}
