//! Attempts in flight, with an index by member, so that the cost of a query about one member is proportional
//! to its own attempts in flight.

use crate::interface::MemberId;
use crate::state::{AttemptId, InFlightAttempt};
use std::collections::{BTreeMap, BTreeSet};

/// Attempts whose outcome has not arrived yet, including those of closed requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightAttempts {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// Index of the same attempts by member. Contains no empty sets.
    by_member: BTreeMap<MemberId, BTreeSet<AttemptId>>,
}

impl InFlightAttempts {
    pub(crate) fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.by_member.entry(attempt.member).or_default().insert(id.clone());
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt whose outcome has arrived.
    pub(crate) fn remove(&mut self, id: &AttemptId) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(id)?;
        if let Some(ids) = self.by_member.get_mut(&attempt.member) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_member.remove(&attempt.member);
            }
        }
        Some(attempt)
    }

    /// All attempts, ordered by request identifier.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.attempts.values()
    }

    /// The attempts at one member.
    pub(crate) fn at_member(&self, member: MemberId) -> impl Iterator<Item = (&AttemptId, &InFlightAttempt)> {
        let ids = self.by_member.get(&member).into_iter().flatten();
        ids.filter_map(|id| self.attempts.get(id).map(|attempt| (id, attempt)))
    }
}
