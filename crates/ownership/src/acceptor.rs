//! An acceptor: promises and accepted leases, kept in memory only.

use crate::message::{GrantedLease, LeaseRequest, LeaseResponse};
use crate::{Ballot, GatewayId, LeadershipRole, Settings, MAX_ROLES};
use petrelgauge_policy::{mutant, Mutant, Time};
use std::collections::BTreeMap;

/// A lease that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AcceptedLease {
    ballot: Ballot,
    /// By the acceptor's own clock.
    expires_at: Time,
}

/// What an acceptor has promised and accepted for one role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct RoleState {
    /// No lower ballot is accepted.
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

    /// Whether the request's ballot is too low. A ballot is prepared once: the same one again is a duplicate,
    /// or comes from an earlier process of the same gateway.
    fn is_outdated(&self, request: LeaseRequest) -> bool {
        match request {
            LeaseRequest::Prepare { ballot } => ballot <= self.promised,
            LeaseRequest::Propose { ballot, .. } | LeaseRequest::Release { ballot } => ballot < self.promised,
        }
    }

    /// The lease that a candidate has to wait for. That may be one of its own gateway, held by an earlier
    /// process.
    fn granted_lease(&self, now: Time) -> Option<GrantedLease> {
        if mutant(Mutant::GrantHidden) {
            return None;
        }
        self.accepted.map(|lease| GrantedLease { ballot: lease.ballot, remaining: lease.expires_at - now })
    }
}

/// The acceptor of one gateway, since its start. Holds at most [`MAX_ROLES`] roles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// Requests are ignored until then: leases accepted before a restart may still be in force.
    silent_until: Time,
    acceptance_duration: Time,
    roles: BTreeMap<LeadershipRole, RoleState>,
}

impl Acceptor {
    /// Creates an acceptor that starts now, without any memory of earlier promises.
    pub fn new(settings: &Settings, now: Time) -> Acceptor {
        let silence = if mutant(Mutant::SilentPeriodSkipped) { 0 } else { settings.startup_silence() };
        let shortened = mutant(Mutant::GrantExpiresEarly);
        let acceptance_duration = if shortened { settings.lease / 2 } else { settings.acceptance_duration() };
        Acceptor { silent_until: now + silence, acceptance_duration, roles: BTreeMap::new() }
    }

    /// Handles a candidate's request and returns the response, if any. During the silence after the start,
    /// requests are ignored and change nothing.
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

    /// The state of a role. If there are too many, a new role replaces one whose lease has expired: an
    /// expired lease binds nobody, and the promise beside it only orders ballots of that time. `None` if all
    /// leases are in force.
    fn role_state(&mut self, now: Time, role: LeadershipRole) -> Option<&mut RoleState> {
        if !self.roles.contains_key(&role) && self.roles.len() >= MAX_ROLES {
            let (expired, _) = self.roles.iter().find(|(_, state)| state.is_expired(now))?;
            let expired = *expired;
            self.roles.remove(&expired);
        }
        Some(self.roles.entry(role).or_default())
    }
}
