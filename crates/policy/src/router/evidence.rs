//! Evidence: roles, positions and commits reported by members in answers and health checks.

use super::Router;
use crate::interface::{MemberId, Role, Time};
use crate::state::{Sample, Samples};

/// Number of lag samples, and of sojourn samples, kept for each member.
pub(super) const SAMPLES_KEPT: usize = 12;
/// Number of commits kept for each group.
const COMMITS_KEPT: usize = 4 * SAMPLES_KEPT;
/// Age from which a sample is ignored (microseconds).
const SAMPLE_AGE_LIMIT: Time = 3_000_000;

/// The role and position that a member has reported.
#[derive(Clone, Copy)]
pub(super) struct Evidence {
    pub(super) position: Option<Time>,
    pub(super) role: Option<Role>,
    /// Time as of which the role is valid, by the router's clock.
    pub(super) role_at: Option<Time>,
}

impl Router {
    /// Records the reported role and position of a member. Older evidence never replaces newer evidence.
    pub(super) fn record_evidence(&mut self, id: MemberId, evidence: Evidence) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        if let (Some(role), Some(at)) = (evidence.role, evidence.role_at) {
            let known_at = match role {
                Role::Primary => &mut member.primary_evidence_at,
                Role::Replica => &mut member.replica_evidence_at,
            };
            *known_at = at.max(*known_at);
        }
        let Some(position) = evidence.position else { return };
        member.position = member.position.max(position);
        if evidence.role == Some(Role::Replica) && evidence.role_at == Some(now) {
            let lag = self.host_clock.age(position, now).max(0);
            push_sample(&mut member.lags, Sample { taken_at: now, value: lag });
        }
    }

    /// Records the time of a commit that a member acknowledged.
    pub(super) fn record_commit(&mut self, id: MemberId, committed_at: Time) {
        let Some(member) = self.members.get(&id) else { return };
        let commits = &mut self.groups.entry(member.group).or_default().commits;
        let place = commits.partition_point(|known| *known <= committed_at);
        commits.insert(place, committed_at);
        if commits.len() > COMMITS_KEPT {
            commits.pop_front();
        }
    }

    /// The samples that are younger than `SAMPLE_AGE_LIMIT`.
    pub(super) fn recent<'a, T>(
        &self,
        samples: &'a Samples<T>,
    ) -> impl Iterator<Item = &'a Sample<T>> + Clone {
        let now = self.now;
        samples.iter().filter(move |sample| now - sample.taken_at < SAMPLE_AGE_LIMIT)
    }
}

/// Appends a sample and drops the oldest if there are more than `SAMPLES_KEPT`.
pub(super) fn push_sample<T>(samples: &mut Samples<T>, sample: Sample<T>) {
    samples.push_back(sample);
    if samples.len() > SAMPLES_KEPT {
        samples.pop_front();
    }
}
