//! The state that a router has learned about members, as plain data that one process of a gateway can hand
//! over to the next. No decision logic.
//!
//! All state carries timestamps of the clock of the router that learned it (see
//! [`LearnedState::shift_clock`]): samples expire on their own, and new reports from members take precedence.
//! Attempts in flight and queued requests remain with the old process and are not included.

use crate::interface::{GroupId, KnownPrimary, MemberId, QuotaAdjustment, Time};
use crate::router::Router;
use crate::state::{Group, Member, Samples, ServiceTime, SilentWaits};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Learned state of a router. Serialized into handover records without field names: field order and types
/// must not change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LearnedState {
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<u64, Group>,
    sojourns: Samples<f64>,
    /// Work served per second by all members, in requests of the class with the shortest latency target.
    served_rate: f64,
    served_rate_at: Time,
    service_time: ServiceTime,
    shed_share: f64,
}

impl LearnedState {
    /// Whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Converts times from the learning router's clock to a clock that is ahead of it by `offset`
    /// (microseconds). The sentinel for "never" is unchanged, as are times of the hosts' clock (starts,
    /// positions, commits). Lags were measured against the old clock and are dropped.
    pub fn shift_clock(&mut self, offset: Time) {
        self.members.values_mut().for_each(|member| shift_member(member, offset));
        for group in self.groups.values_mut() {
            shift(&mut group.last_discovery_at, offset);
            shift(&mut group.quota_adjustment.until, offset);
        }
        shift_samples(&mut self.sojourns, offset);
        shift(&mut self.served_rate_at, offset);
    }
}

/// Times up to this value are sentinels: 0 means "never" and 1 means "known only from the endpoint list".
const MAX_SENTINEL_TIME: Time = 1;

fn shift(time: &mut Time, offset: Time) {
    if *time > MAX_SENTINEL_TIME {
        *time = time.saturating_add(offset).max(MAX_SENTINEL_TIME + 1);
    }
}

fn shift_samples<T>(samples: &mut Samples<T>, offset: Time) {
    samples.iter_mut().for_each(|sample| shift(&mut sample.taken_at, offset));
}

fn shift_member(member: &mut Member, offset: Time) {
    member.lags.clear();
    shift_samples(&mut member.sojourns, offset);
    let times = [
        &mut member.recovered_at,
        &mut member.primary_evidence_at,
        &mut member.replica_evidence_at,
        &mut member.paced_until,
        &mut member.last_listed_at,
        &mut member.last_heard_at,
        &mut member.last_loss_at,
        &mut member.ejected_until,
        &mut member.probed_at,
        &mut member.slow_start_refilled_at,
    ];
    times.into_iter().for_each(|time| shift(time, offset));
}

impl Router {
    /// Returns what this router has learned so far.
    pub fn learned_state(&self) -> LearnedState {
        let mut members = self.members.clone();
        for (id, member) in &mut members {
            member.last_listed_at = self.last_listed(*id, member);
            // These two are not serialized; they are reset for routers in the same process.
            member.listed_at = 0;
            member.sampling_salt = 0;
            member.in_flight = 0;
            member.presumed_lost = 0;
            member.silent_waits = SilentWaits::default();
            member.probe_in_flight = false;
        }
        let mut groups = self.groups.clone();
        for group in groups.values_mut() {
            group.waiting.clear();
            group.quota_adjustment = QuotaAdjustment::default();
            (group.offered_load, group.offered_load_at) = (0.0, 0);
        }
        LearnedState {
            members,
            groups,
            sojourns: self.load.sojourns.clone(),
            served_rate: self.load.served_load * self.count_available().weight
                / self.shortest_latency_target.max(1) as f64,
            served_rate_at: self.load.served_load_at,
            service_time: self.load.service_time,
            shed_share: self.load.shed_share,
        }
    }

    /// The group of a member.
    pub fn group_of(&self, member: MemberId) -> Option<GroupId> {
        self.members.get(&member).map(|member| member.group)
    }

    /// The known primaries of all groups, except those known only from the endpoint list.
    pub fn primaries(&self) -> Vec<KnownPrimary> {
        self.groups.keys().filter_map(|group| self.known_primary(*group)).collect()
    }

    fn known_primary(&self, group: GroupId) -> Option<KnownPrimary> {
        let member = self.primary(group)?;
        let evidence_at = self.members.get(&member)?.primary_evidence_at;
        (evidence_at > MAX_SENTINEL_TIME).then_some(KnownPrimary { group, member, evidence_at })
    }

    /// Adopts the state that another router has learned. Must be called before the first step; the next
    /// endpoint list determines which of these members still exist.
    pub fn adopt_learned_state(&mut self, learned_state: LearnedState) {
        self.members = learned_state.members;
        // Fresh salts, so that gateways that adopt the same state do not sample the same reads.
        let mut salts = self.rng.clone();
        self.members.values_mut().for_each(|member| member.sampling_salt = salts.next_u64());
        self.groups = learned_state.groups;
        self.load.sojourns = learned_state.sojourns;
        let work = learned_state.served_rate * self.shortest_latency_target as f64;
        let weight = self.count_available().weight;
        self.load.served_load = if weight > 0.0 { work / weight } else { 0.0 };
        self.load.served_load_at = learned_state.served_rate_at;
        self.load.service_time = learned_state.service_time;
        self.load.shed_share = learned_state.shed_share;
        self.rebuild_indexes();
    }
}
