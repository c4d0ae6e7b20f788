//! What a router has learned of the members, as plain data that one process of a gateway can leave to the next. Nothing
//! here decides anything.
//!
//! All of it is told with its time, on the clock that both read: samples grow old by themselves, and what a member says
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
}

impl Router {
    /// What this router has learned so far.
    pub fn learned_state(&self) -> LearnedState {
        let mut members = self.members.clone();
        for (id, member) in &mut members {
            member.last_listed_at = self.last_listed(*id, member);
            (member.in_flight, member.presumed_lost, member.quiet, member.probe_in_flight) =
                (0, 0, (0.0, 0), false);
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
            let at =
                self.members.get(&member).map(|member| member.primary_evidence_at).filter(|at| *at > 1)?;
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
