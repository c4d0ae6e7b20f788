//! Endpoint list: applies updates to the known members and groups.

use super::concurrency::INITIAL_CONCURRENCY_LIMIT;
use super::Router;
use crate::interface::{Entry, ListRole, MemberId, MemberStatus, Time, Update};
use crate::state::Member;
use std::collections::BTreeSet;

impl Router {
    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(&mut self, update: Update, entries: &[Entry]) {
        if update == Update::Complete {
            self.remove_unlisted(entries);
        }
        for entry in entries {
            self.update_endpoint(entry);
        }
    }

    fn remove_unlisted(&mut self, entries: &[Entry]) {
        let listed: BTreeSet<MemberId> = entries.iter().map(|entry| entry.member).collect();
        let unlisted: Vec<MemberId> =
            self.members.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in unlisted {
            self.set_status(id, MemberStatus::Removed);
        }
    }

    fn update_endpoint(&mut self, entry: &Entry) {
        self.host_clock.record_start(entry.member, entry.started, self.now);
        match self.members.get(&entry.member) {
            // A delayed or duplicated list must not overwrite newer entries.
            Some(member) if member.started > entry.started => return,
            Some(member) if member.started == entry.started => {}
            _ => self.start_member(entry),
        }
        self.set_status(entry.member, entry.status);
        let group = self.groups.entry(entry.group).or_default();
        if let Err(place) = group.members.binary_search(&entry.member) {
            group.members.insert(place, entry.member);
        }
    }

    /// Adds a member that is new or has restarted. Only the attempts in flight and the evidence of being a
    /// replica are kept from before a restart.
    fn start_member(&mut self, entry: &Entry) {
        let mut member = self.new_member(entry);
        member.slow_start_tokens = self.initial_slow_start_tokens();
        member.sampling_salt = member.slow_start_tokens.to_bits();
        if let Some(earlier) = self.members.get(&entry.member) {
            member.in_flight = earlier.in_flight;
            member.replica_evidence_at = earlier.replica_evidence_at;
        }
        self.indexes.update_unhealthy(entry.member, &member);
        self.members.insert(entry.member, member);
    }

    fn new_member(&self, entry: &Entry) -> Member {
        let listed_as_primary = entry.primary
            && match self.settings.list_role {
                ListRole::Absent => false,
                // Static roles do not apply to a member that has started since the deployment's start.
                ListRole::Static => entry.started <= 0,
                ListRole::Trailing => true,
            };
        let valid_weight = entry.weight.is_finite() && entry.weight > 0.0;
        Member {
            group: entry.group,
            zone: entry.zone.as_str().into(),
            weight: if valid_weight { entry.weight } else { 1.0 },
            started: entry.started,
            listed_at: self.now,
            // The list is the weakest evidence: any report of a member takes precedence.
            primary_evidence_at: Time::from(listed_as_primary),
            concurrency_limit: INITIAL_CONCURRENCY_LIMIT,
            last_heard_at: self.now,
            last_listed_at: self.now,
            slow_start_refilled_at: self.now,
            ..Member::default()
        }
    }
}
