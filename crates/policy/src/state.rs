//! What a router keeps in mind, as plain data. Nothing here decides anything.

use crate::interface::*;
use crate::mutant::{mutant, Mutant::WindowIgnored};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// A router's only source of chance.
#[derive(Clone, Debug)]
pub(crate) struct Dice(Pcg64Mcg);

impl Dice {
    pub(crate) fn seed_from_u64(seed: u64) -> Dice {
        Dice(Pcg64Mcg::seed_from_u64(seed))
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }
}

impl Default for Dice {
    fn default() -> Dice {
        Dice::seed_from_u64(0)
    }
}

/// Each with the time it was taken.
pub(crate) type Samples<T> = VecDeque<(Time, T)>;

/// What a router knows of a member.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) group: GroupId,
    pub(crate) zone: Arc<str>,
    pub(crate) weight: f64,
    pub(crate) standing: MemberStatus,
    /// Listed as draining since its last start: that stays so, whatever later lists say.
    pub(crate) drained: bool,
    /// When it last started, by the hosts' clock; 0 for long ago.
    pub(crate) started: Time,
    /// When it was first listed as started then, by the own clock. Not left to the next process.
    #[serde(skip)]
    pub(crate) listed_at: Time,
    /// When it last answered after being down.
    pub(crate) revived: Time,
    /// When it last gave evidence of being primary, or replica.
    pub(crate) primary_at: Time,
    pub(crate) replica_at: Time,
    /// Highest position it ever told, by the hosts' clock.
    pub(crate) position: Time,
    pub(crate) lags: Samples<Time>,
    /// In aims, for each attempt that was out at its send.
    pub(crate) sojourns: Samples<f64>,
    pub(crate) load: f64,
    pub(crate) limit: f64,
    /// Until when a limit of less than one attempt keeps the next one away.
    pub(crate) paced_until: Time,
    pub(crate) out: u32,
    /// Of these, past their aim while the member has answered others since.
    pub(crate) lost: u32,
    /// Attempts out since it was heard: their waits in aims, summed up, and the longest one.
    pub(crate) quiet: (f64, Time),
    /// When it was last in service or had something out.
    pub(crate) named: Time,
    /// Last sign of life.
    pub(crate) heard: Time,
    /// When an attempt there last hung unanswered.
    pub(crate) lost_at: Time,
    pub(crate) suspect: bool,
    pub(crate) down: bool,
    /// Attempts in a row that got no service, and until when that keeps further ones away.
    pub(crate) strikes: u32,
    pub(crate) barred_until: Time,
    pub(crate) probe_out: bool,
    pub(crate) probed_at: Time,
    /// Attempts that its cold budget has room for, as of when.
    pub(crate) credit: f64,
    pub(crate) credited_at: Time,
}

/// What it knows of a group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Group {
    pub(crate) members: Vec<MemberId>,
    pub(crate) waiting: BTreeSet<u64>,
    pub(crate) commits: VecDeque<Time>,
    pub(crate) scout_at: Time,
    /// What was given of others' parts, or given away of the own.
    pub(crate) share: Share,
}

/// An attempt, as its request knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) member: MemberId,
    pub(crate) sent: Time,
    pub(crate) out: bool,
    pub(crate) may_have_run: bool,
    /// It was written to the member, as far as its ending tells.
    pub(crate) reached: bool,
    /// When it ended, if it was not called off.
    pub(crate) refused_at: Time,
}

/// A request that has no final answer yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) group: GroupId,
    /// When the client's first try came, as far as that shows.
    pub(crate) born: Time,
    pub(crate) end: Time,
    /// Half of the time it came with is over then.
    pub(crate) half: Time,
    /// Commit that its data must hold.
    pub(crate) mark: Option<Time>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    /// One of its attempts is out.
    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }

    /// The first attempt that ran or may yet, as far as is known.
    pub(crate) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.out || attempt.may_have_run)
    }

    /// By then no further attempt can follow: all are spent, or the window of its key has closed, which an attempt opened
    /// that may have run.
    pub(crate) fn is_spent(&self, class: &Class, by: Time) -> bool {
        let closes = match self.first_run() {
            Some(first) if !mutant(WindowIgnored) => class.effect.repeat_by(first.sent),
            _ => Time::MAX,
        };
        closes <= by || self.attempts.len() >= class.attempts as usize
    }
}

/// An attempt that is out, kept until its outcome comes, also when its request is over.
#[derive(Clone, Debug)]
pub(crate) struct Out {
    pub(crate) member: MemberId,
    pub(crate) sent: Time,
    pub(crate) class: usize,
    pub(crate) beside: f64,
}

impl Out {
    /// It was sent to this member so long ago that the answer counts as known, if it was written at once and lost.
    pub(crate) fn may_be_lost(&self, member: MemberId, now: Time) -> bool {
        self.member == member && self.sent <= now - ASSUMED_KNOWN_AFTER
    }
}
