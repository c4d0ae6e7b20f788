//! What a router has learned of the members, as plain data that one process of a gateway can leave to the next. Nothing
//! here decides anything.
//!
//! All of it is stated with its time, on the clock of the router that learned it (see [`LearnedState::shift_clock`]): samples grow old by themselves, and what a member says
//! outweighs all of it. What was out or waiting belongs to requests of the other process, and stays behind.

use crate::interface::{GroupId, MemberId, Time};
use crate::router::Router;
use crate::state::{Group, Member, Samples};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a router has learned.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LearnedState {
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<u64, Group>,
    sojourns: Samples<f64>,
    rate: f64,
    rated_at: Time,
    work: [f64; 2],
    shed: f64,
}

impl LearnedState {
    /// Nothing was learned.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Moves all times of the learning router's clock by `offset` (microseconds), for a reader whose clock differs. What
    /// was never seen stays so, and times of others (starts, positions, commits) stay as they were told. Lags were
    /// measured against the other clock and are dropped.
    pub fn shift_clock(&mut self, offset: Time) {
        self.members.values_mut().for_each(|member| shift_member(member, offset));
        for group in self.groups.values_mut() {
            shift(&mut group.scout_at, offset);
            shift(&mut group.share.until, offset);
        }
        shift_samples(&mut self.sojourns, offset);
        shift(&mut self.rated_at, offset);
    }
}

/// The times 0 and 1 stand for "never" and "by the list's word alone".
fn shift(time: &mut Time, offset: Time) {
    if *time > 1 {
        *time = time.saturating_add(offset).max(2);
    }
}

fn shift_samples<T>(samples: &mut Samples<T>, offset: Time) {
    samples.iter_mut().for_each(|(at, _)| shift(at, offset));
}

fn shift_member(member: &mut Member, offset: Time) {
    member.lags.clear();
    shift_samples(&mut member.sojourns, offset);
    let times = [
        &mut member.revived,
        &mut member.primary_at,
        &mut member.replica_at,
        &mut member.paced_until,
        &mut member.named,
        &mut member.heard,
        &mut member.lost_at,
        &mut member.barred_until,
        &mut member.probed_at,
        &mut member.credited_at,
    ];
    times.into_iter().for_each(|time| shift(time, offset));
}

impl Router {
    /// What this router has learned so far.
    pub fn learned_state(&self) -> LearnedState {
        let mut members = self.members.clone();
        for (id, member) in &mut members {
            member.named = self.last_named(*id, member);
            (member.out, member.lost, member.quiet, member.probe_out) = (0, 0, (0.0, 0), false);
        }
        let mut groups = self.groups.clone();
        groups.values_mut().for_each(|group| (group.waiting, group.share) = Default::default());
        LearnedState {
            members,
            groups,
            sojourns: self.sojourns.clone(),
            rate: self.rate,
            rated_at: self.rated_at,
            work: self.work,
            shed: self.shed,
        }
    }

    /// The group of a member.
    pub fn group_of(&self, member: MemberId) -> Option<GroupId> {
        self.members.get(&member).map(|member| member.group)
    }

    /// Members taken for the primaries of their groups, with when they last gave evidence of it by themselves.
    pub fn leaders(&self) -> Vec<(GroupId, MemberId, Time)> {
        let leads = |group: &GroupId| {
            let member = self.primary(*group)?;
            // The list's word alone is the time 1: that is known to everybody.
            let at = self.members.get(&member).map(|member| member.primary_at).filter(|at| *at > 1)?;
            Some((*group, member, at))
        };
        self.groups.keys().filter_map(leads).collect()
    }

    /// Starts from what another router has learned. To be called before the first step: the list that follows says
    /// which of these members there still are.
    pub fn adopt_learned_state(&mut self, learned_state: LearnedState) {
        let LearnedState { members, groups, sojourns, rate, rated_at, work, shed } = learned_state;
        (self.members, self.groups, self.sojourns) = (members, groups, sojourns);
        (self.rate, self.rated_at, self.work, self.shed) = (rate, rated_at, work, shed);
        self.rebuild_indexes();
    }
}
