//! Promises and grants of one acceptor.

use crate::message::{LeaseRequest, LeaseResponse};
use crate::{Ballot, GatewayId, LeadershipRole, Settings, MAX_ROLES};
use petrelgauge_policy::{mutant, Mutant, Time};
use std::collections::BTreeMap;

/// What an acceptor has promised for a role, and to whom it has granted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct RoleState {
    /// No bid under this one is answered with yes.
    promised: Ballot,
    /// The bid that was granted, and until when by this acceptor's clock.
    granted: Option<(Ballot, Time)>,
}

/// One acceptor, since its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// Up to then it says nothing: it may have promised before it started.
    silent_until: Time,
    acceptance_duration: Time,
    roles: BTreeMap<LeadershipRole, RoleState>,
}

impl Acceptor {
    /// An acceptor that starts now and knows nothing of what it may have promised before.
    pub fn new(settings: &Settings, now: Time) -> Acceptor {
        let silence = if mutant(Mutant::SilenceSkipped) { 0 } else { settings.startup_silence() };
        Acceptor {
            silent_until: now + silence,
            acceptance_duration: if mutant(Mutant::GrantKeptShort) {
                settings.lease / 2
            } else {
                settings.acceptance_duration()
            },
            roles: BTreeMap::new(),
        }
    }

    /// Somebody asks. Nothing is answered during the silence, and none of it is remembered.
    pub fn on(
        &mut self,
        now: Time,
        from: GatewayId,
        role: LeadershipRole,
        request: LeaseRequest,
    ) -> Option<LeaseResponse> {
        if now < self.silent_until || request.ballot().proposer != from {
            return None;
        }
        if !self.roles.contains_key(&role) && self.roles.len() >= MAX_ROLES {
            // A grant that has run out binds nobody; the promise beside it only orders bids of that time.
            let over = |state: &RoleState| state.granted.is_none_or(|(_, until)| now >= until);
            let spent = self.roles.iter().find(|(_, state)| over(state)).map(|(role, _)| *role)?;
            self.roles.remove(&spent);
        }
        let state = self.roles.entry(role).or_default();
        if state.granted.is_some_and(|(_, until)| now >= until) {
            state.granted = None;
        }
        let ballot = request.ballot();
        // A bid is asked for once: the same again is a copy, or comes from another process under the same name.
        let low = match request {
            LeaseRequest::Prepare { .. } => ballot <= state.promised,
            LeaseRequest::Propose { .. } | LeaseRequest::Release { .. } => ballot < state.promised,
        };
        if low && !mutant(Mutant::PromiseForgotten) {
            return Some(LeaseResponse::Rejected { ballot, highest: state.promised });
        }
        match request {
            LeaseRequest::Prepare { .. } => {
                state.promised = ballot;
                // Whoever has it: also a bidder's own earlier grant binds it, for it may be another process's.
                let visible = state.granted.map(|(granted, until)| (granted, until - now));
                let visible = if mutant(Mutant::GrantHidden) { None } else { visible };
                Some(LeaseResponse::Promised { ballot, granted: visible })
            }
            LeaseRequest::Propose { round, .. } => {
                state.promised = ballot;
                state.granted = Some((ballot, now + self.acceptance_duration));
                Some(LeaseResponse::Accepted { ballot, round })
            }
            LeaseRequest::Release { .. } => {
                state.granted = state.granted.filter(|(granted, _)| *granted != ballot);
                None
            }
        }
    }
}
