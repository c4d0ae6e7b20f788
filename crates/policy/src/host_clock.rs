//! The host clock: an estimate of the offset between the hosts' clock and the router's own clock.
//!
//! Hosts report log positions, commits and starts in their Unix time, and all hosts read one clock. The
//! router's own clock never jumps, but was set from a wall clock that may be wrong by any span. Only this
//! module relates the two. The true offset, `hosts' clock - own clock`, lies in an interval:
//!
//! - **Lower bounds.** A reported time has passed when the report arrives: `reported <= received + offset`.
//! - **Upper bounds.** A write is committed after it was sent (Cristian's algorithm):
//!   `sent + offset <= commit`. An answer that repeats the commit of an earlier execution would give a bound
//!   that is too small. Only first attempts count therefore, and not the smallest of the last bounds.
//!
//! One absurd value must not move the estimate: a lower bound counts only if two members support it or several
//! commits agree with it, and an upper bound is ignored if two members contradict it. If 0 lies in the
//! interval, the estimate is 0: a router whose clock is right decides as if there were one clock. Otherwise
//! the estimate is the lower end, which is closer to the truth, since an answer is in transit for less time
//! than a write takes.

use crate::interface::{MemberId, Report, Time};
use std::collections::VecDeque;

/// Granularity of the times that hosts report (microseconds).
const REPORT_GRANULARITY: Time = 1_000;
/// How far a reported time may be ahead of the latest possible hosts' time (microseconds).
const MAX_LEAD: Time = 1_000_000;
/// Distance from the own clock within which a position confirms that the two clocks agree (microseconds).
const CONFIRMING_DISTANCE: Time = 1_000_000;
/// Upper bounds kept (count): the last ones.
const MAX_UPPER_BOUNDS: usize = 16;
/// Upper bounds that must support the one that counts, itself included (count). Fewer are not enough evidence
/// to move the estimate by themselves.
const MIN_SUPPORT: usize = 3;
/// Longest transit of the quickest answers, rounding included (microseconds).
const MAX_QUICKEST_TRANSIT: Time = 5_000;
/// Members whose lower bounds are kept (count): those with the highest ones.
const MAX_LOWER_BOUNDS: usize = 8;
/// Distance within which the lower bounds of two members support each other (microseconds).
const MAX_AGREEING_DISTANCE: Time = 10_000_000;
/// Lower bounds are forgotten after one to two of these spans, since the clocks drift apart (microseconds).
const EVIDENCE_SPAN: Time = 60_000_000;
/// Divisor of a time: how far two clocks drift apart in it at the most.
const DRIFT_DIVISOR: Time = 10_000;

/// A lower bound of the offset, from a time that one member reported.
#[derive(Clone, Copy, Debug)]
struct LowerBound {
    offset: Time,
    member: MemberId,
}

/// An upper bound of the offset, from a commit.
#[derive(Clone, Copy, Debug)]
struct UpperBound {
    offset: Time,
    /// When the commit was received, by the own clock.
    received_at: Time,
}

impl UpperBound {
    /// The bound as of now. It grows with its age, since the clocks drift apart.
    fn widened(&self, now: Time) -> Time {
        let age = (now - self.received_at).max(0);
        self.offset.saturating_add(age / DRIFT_DIVISOR)
    }
}

/// The highest lower bounds of one span, the highest first and at most one for each member.
#[derive(Clone, Debug, Default)]
struct LowerBounds {
    bounds: Vec<LowerBound>,
}

impl LowerBounds {
    fn insert(&mut self, bound: LowerBound) {
        let is_covered = |known: &LowerBound| known.member == bound.member && known.offset >= bound.offset;
        if self.bounds.iter().any(is_covered) {
            return;
        }
        self.bounds.retain(|known| known.member != bound.member);
        let index = self.bounds.partition_point(|known| known.offset >= bound.offset);
        self.bounds.insert(index, bound);
        self.bounds.truncate(MAX_LOWER_BOUNDS);
    }
}

/// A write that a member has committed.
#[derive(Clone, Copy, Debug)]
pub struct Commit {
    /// The member.
    pub member: MemberId,
    /// Time of the commit, by the hosts' clock.
    pub committed_at: Time,
    /// When the write was sent, by the own clock.
    pub sent_at: Time,
    /// When the answer arrived, by the own clock.
    pub received_at: Time,
    /// It was the first attempt of a request that is not a client's retry. Only then was it certainly committed
    /// after it was sent.
    pub is_first_attempt: bool,
}

/// The estimate of `hosts' clock - own clock`. The own clock must not jump; all times passed to it are its times
/// unless they are called the hosts'.
#[derive(Clone, Debug, Default)]
pub struct HostClock {
    /// While disabled, the two clocks are taken for one and nothing is estimated.
    enabled: bool,
    /// Lower bounds of the current span, and of the one before it.
    lower: [LowerBounds; 2],
    span_started_at: Time,
    /// Upper bounds, the oldest first.
    upper: VecDeque<UpperBound>,
    /// A reported position was within `CONFIRMING_DISTANCE` of the own clock.
    confirmed: bool,
    /// A position or a commit has been reported.
    has_evidence: bool,
    /// The estimate.
    offset: Time,
    /// The largest plausible offset, for decisions that must not underestimate it.
    largest_offset: Time,
    /// An upper bound is known.
    bounded_above: bool,
    /// A member has reported a time more than `MAX_LEAD` ahead of the own clock.
    contradicted: bool,
}

impl HostClock {
    /// Enables or disables the estimate. While disabled, the clocks are taken for one.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
        self.update(self.span_started_at);
    }

    /// Records a start that the endpoint list names for a member (hosts' clock): it was no later than now.
    pub fn record_start(&mut self, member: MemberId, started: Time, now: Time) {
        if self.enabled && started > 0 {
            self.add_lower_bound(member, started, now);
            self.update(now);
        }
    }

    /// Records a position that a member has reported (hosts' clock), and when the report arrived.
    pub fn record_position(&mut self, member: MemberId, position: Time, received: Time) {
        if !self.enabled || position <= 0 {
            return;
        }
        self.has_evidence = true;
        self.confirmed |= (position - received).abs() <= CONFIRMING_DISTANCE;
        self.add_lower_bound(member, position, received);
        self.update(received);
    }

    /// Records a commit.
    pub fn record_commit(&mut self, commit: Commit) {
        let Commit { member, committed_at, sent_at, received_at, is_first_attempt } = commit;
        if !self.enabled || committed_at <= 0 {
            return;
        }
        if is_first_attempt {
            self.upper.push_back(UpperBound { offset: committed_at.saturating_sub(sent_at), received_at });
            if self.upper.len() > MAX_UPPER_BOUNDS {
                self.upper.pop_front();
            }
        }
        self.has_evidence = true;
        self.add_lower_bound(member, committed_at, received_at);
        self.update(received_at);
    }

    /// The hosts' time at a time of the own clock.
    pub fn hosts_time(&self, own: Time) -> Time {
        own.saturating_add(self.offset)
    }

    /// The latest plausible hosts' time at a time of the own clock.
    pub fn latest_hosts_time(&self, own: Time) -> Time {
        own.saturating_add(self.largest_offset)
    }

    /// The own clock's time at a time of the hosts' clock.
    pub fn own_time(&self, hosts: Time) -> Time {
        hosts.saturating_sub(self.offset)
    }

    /// When a load report was true, by the own clock: at its position.
    pub fn as_of(&self, report: &Report, now: Time) -> Option<Time> {
        let at = report.position.map(|position| self.own_time(position));
        if self.enabled {
            return at.map(|at| at.min(now));
        }
        at
    }

    /// The largest plausible age of data at this position; negative for a position in the future.
    pub fn age(&self, position: Time, now: Time) -> Time {
        self.latest_hosts_time(now).saturating_sub(position)
    }

    /// The position from which on data is no older than `bound` at a time of the own clock. [`Time::MAX`], which no
    /// position reaches, while the estimate is not trusted.
    pub fn horizon(&self, bound: Time, now: Time) -> Time {
        if self.is_trusted() {
            return self.latest_hosts_time(now) - bound;
        }
        Time::MAX
    }

    /// When a member started, by the own clock, given its start by the hosts' clock; 0 for long ago. While the
    /// estimate is doubtful, the member may have started right before it was listed.
    pub fn started_at(&self, started: Time, listed_at: Time) -> Time {
        if started <= 0 {
            return 0;
        }
        // After one commit the own clock may already be known to be behind; with the estimate alone, all members
        // would count as warming up.
        let earliest = started.saturating_sub(self.largest_offset);
        if self.is_uncertain() {
            return earliest.max(listed_at);
        }
        earliest
    }

    /// Whether a host may have reported this time by now: it is not in the hosts' future.
    pub fn is_plausible(&self, reported: Time, now: Time) -> bool {
        reported <= self.latest_hosts_time(now).saturating_add(MAX_LEAD)
    }

    /// Whether the estimate may be used to judge that a replica is fresh: commits bound the offset above, or
    /// positions confirm that the clocks agree.
    pub fn is_trusted(&self) -> bool {
        !self.enabled || self.bounded_above || (self.confirmed && !self.contradicted)
    }

    /// Whether there is evidence, but not enough of it to trust the estimate.
    pub fn is_uncertain(&self) -> bool {
        self.has_evidence && !self.is_trusted()
    }

    fn add_lower_bound(&mut self, member: MemberId, reported: Time, received: Time) {
        if received - self.span_started_at > EVIDENCE_SPAN {
            self.lower.swap(0, 1);
            self.lower[0] = LowerBounds::default();
            self.span_started_at = received;
        }
        let offset = reported.saturating_sub(received).saturating_sub(REPORT_GRANULARITY);
        self.lower[0].insert(LowerBound { offset, member });
    }

    fn update(&mut self, now: Time) {
        if !self.enabled {
            self.offset = 0;
            self.largest_offset = 0;
            self.bounded_above = false;
            return;
        }
        let lower = self.merged_lower_bounds();
        let mut pairs = lower.windows(2);
        let agreeing = pairs.find(|pair| pair[0].saturating_sub(pair[1]) <= MAX_AGREEING_DISTANCE);
        let corroborated = agreeing.map(|pair| pair[1]);
        let upper = self.upper_bound(now, corroborated.unwrap_or(Time::MIN));
        let below = |upper: Time| lower.iter().copied().find(|lower| *lower <= upper);
        let highest = upper.and_then(below);
        let may_raise = if self.upper.len() >= MIN_SUPPORT { highest.or(corroborated) } else { corroborated };
        self.bounded_above = upper.is_some();
        self.contradicted = lower.first().is_some_and(|highest| *highest > MAX_LEAD);
        self.offset = match upper {
            Some(upper) if upper < 0 => highest.unwrap_or(upper),
            _ => may_raise.unwrap_or(0).max(0),
        };
        self.largest_offset = match (upper, highest) {
            (Some(upper), Some(highest)) if highest > 0 || upper < 0 => {
                upper.min(highest.saturating_add(MAX_QUICKEST_TRANSIT))
            }
            _ => self.offset,
        };
    }

    /// The lower bounds of both spans, the highest first.
    fn merged_lower_bounds(&self) -> Vec<Time> {
        let mut merged = self.lower[0].clone();
        for bound in &self.lower[1].bounds {
            merged.insert(*bound);
        }
        merged.bounds.into_iter().map(|bound| bound.offset).collect()
    }

    /// The smallest upper bound that `MIN_SUPPORT` bounds support, or the largest one where there are fewer. Bounds
    /// below `least` contradict the members' lower bounds and are ignored.
    fn upper_bound(&self, now: Time, least: Time) -> Option<Time> {
        let widened = self.upper.iter().map(|bound| bound.widened(now));
        let mut bounds: Vec<Time> = widened.filter(|bound| *bound >= least).collect();
        bounds.sort_unstable();
        bounds.get(MIN_SUPPORT - 1).or(bounds.last()).copied()
    }
}
