//! The attempts in flight, indexed by member, so that a query about one member costs as much as it has in
//! flight.

use crate::interface::MemberId;
use crate::state::{AttemptId, InFlightAttempt};
use std::collections::{BTreeMap, BTreeSet};

/// Attempts whose outcome has not arrived yet, including those whose request is closed.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightAttempts {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// The same attempts by their member. No set is empty.
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

    /// All attempts, in the order of their requests' names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.attempts.values()
    }

    /// The attempts at one member.
    pub(crate) fn at_member(&self, member: MemberId) -> impl Iterator<Item = (&AttemptId, &InFlightAttempt)> {
        let ids = self.by_member.get(&member).into_iter().flatten();
        ids.filter_map(|id| self.attempts.get(id).map(|attempt| (id, attempt)))
    }
}
