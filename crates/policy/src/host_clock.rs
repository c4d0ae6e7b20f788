//! The host clock: an estimate of the offset between the hosts' clock and the router's own clock.
//!
//! Hosts report log positions, commits and starts in their Unix time, and all hosts share one clock. The
//! router's own clock is monotonic, but was initialized from a wall clock that may be wrong by any amount.
//! Only this module converts between the two. The true offset, `hosts' clock - own clock`, lies in an
//! interval:
//!
//! - **Lower bounds.** A reported time is in the past when the report arrives:
//!   `reported <= received + offset`.
//! - **Upper bounds.** A write is committed after it was sent (Cristian's algorithm):
//!   `sent + offset <= commit`. An answer that repeats the commit of an earlier execution would give a bound
//!   that is too small. Therefore only first attempts are used, and not the smallest of the latest bounds.
//!
//! A single outlier must not move the estimate: a lower bound is used only if two members support it or
//! several commits agree with it, and an upper bound is ignored if two members contradict it. If 0 lies in
//! the interval, the estimate is 0, so that a router whose clock is correct behaves as if there were a single
//! clock. Otherwise the estimate is the lower end of the interval, which is closer to the true offset because
//! the transit time of an answer is shorter than the duration of a write.

use crate::interface::{MemberId, Report, Time};
use std::collections::VecDeque;

/// Resolution of the times that hosts report (microseconds).
const REPORT_GRANULARITY: Time = 1_000;
/// Maximum time by which a reported time may be ahead of the latest plausible hosts' time (microseconds).
const MAX_FUTURE_SKEW: Time = 1_000_000;
/// Maximum difference from the own clock at which a position confirms that the two clocks agree
/// (microseconds).
const CONFIRMATION_TOLERANCE: Time = 1_000_000;
/// Number of upper bounds kept: the latest ones.
const MAX_UPPER_BOUNDS: usize = 16;
/// Number of upper bounds that must support the one used, including itself. Fewer are not sufficient evidence
/// to move the estimate.
const MIN_SUPPORT: usize = 3;
/// Maximum transit time of the fastest answers, including rounding (microseconds).
const MAX_QUICKEST_TRANSIT: Time = 5_000;
/// Number of members whose lower bounds are kept: those with the highest bounds.
const MAX_LOWER_BOUNDS: usize = 8;
/// Maximum difference at which the lower bounds of two members support each other (microseconds).
const AGREEMENT_TOLERANCE: Time = 10_000_000;
/// Lower bounds expire after one to two of these spans, because the clocks drift (microseconds).
const EVIDENCE_SPAN: Time = 60_000_000;
/// Maximum relative drift of two clocks, as a divisor of the elapsed time.
const DRIFT_DIVISOR: Time = 10_000;

/// A lower bound of the offset, derived from a time that a member reported.
#[derive(Clone, Copy, Debug)]
struct LowerBound {
    offset: Time,
    member: MemberId,
}

/// An upper bound of the offset, derived from a commit.
#[derive(Clone, Copy, Debug)]
struct UpperBound {
    offset: Time,
    /// When the answer with the commit arrived, by the own clock.
    received_at: Time,
}

impl UpperBound {
    /// The bound as of now, widened by the maximum clock drift since it was received.
    fn widened(&self, now: Time) -> Time {
        let age = (now - self.received_at).max(0);
        self.offset.saturating_add(age / DRIFT_DIVISOR)
    }
}

/// The highest lower bounds of one evidence span, in descending order and at most one for each member.
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

/// A write that a member committed.
#[derive(Clone, Copy, Debug)]
pub struct Commit {
    /// The member that committed the write.
    pub member: MemberId,
    /// Time of the commit, by the hosts' clock.
    pub committed_at: Time,
    /// When the write was sent, by the own clock.
    pub sent_at: Time,
    /// When the answer arrived, by the own clock.
    pub received_at: Time,
    /// Whether it was the first attempt of a request that is not a client's retry. Only then is it certain
    /// that the commit happened after the send.
    pub is_first_attempt: bool,
}

/// An estimate of `hosts' clock - own clock`. The own clock must not jump. All times passed in are times of
/// the own clock unless documented as times of the hosts' clock.
#[derive(Clone, Debug, Default)]
pub struct HostClock {
    /// While disabled, the two clocks are treated as identical and nothing is estimated.
    enabled: bool,
    /// Lower bounds of the current and the previous evidence span.
    lower: [LowerBounds; 2],
    span_started_at: Time,
    /// Upper bounds, oldest first.
    upper: VecDeque<UpperBound>,
    /// Whether a reported position was within `CONFIRMATION_TOLERANCE` of the own clock.
    confirmed: bool,
    /// Whether a position or a commit has been reported.
    has_evidence: bool,
    /// The estimated offset.
    offset: Time,
    /// The largest plausible offset, for decisions that must not underestimate the offset.
    largest_offset: Time,
    /// Whether an upper bound is known.
    bounded_above: bool,
    /// Whether a member has reported a time more than `MAX_FUTURE_SKEW` ahead of the own clock.
    contradicted: bool,
}

impl HostClock {
    /// Enables or disables the estimate. While disabled, the clocks are treated as identical.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
        self.update(self.span_started_at);
    }

    /// Records the start time that the endpoint list contains for a member (hosts' clock). It is not in the
    /// future.
    pub fn record_start(&mut self, member: MemberId, started: Time, now: Time) {
        if self.enabled && started > 0 {
            self.add_lower_bound(member, started, now);
            self.update(now);
        }
    }

    /// Records a position that a member reported (hosts' clock) and the time at which the report arrived.
    pub fn record_position(&mut self, member: MemberId, position: Time, received: Time) {
        if !self.enabled || position <= 0 {
            return;
        }
        self.has_evidence = true;
        self.confirmed |= (position - received).abs() <= CONFIRMATION_TOLERANCE;
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

    /// Converts a time of the own clock to the hosts' clock.
    pub fn hosts_time(&self, own: Time) -> Time {
        own.saturating_add(self.offset)
    }

    /// Converts a time of the own clock to the latest plausible time of the hosts' clock.
    pub fn latest_hosts_time(&self, own: Time) -> Time {
        own.saturating_add(self.largest_offset)
    }

    /// Converts a time of the hosts' clock to the own clock.
    pub fn own_time(&self, hosts: Time) -> Time {
        hosts.saturating_sub(self.offset)
    }

    /// The time as of which a load report is valid, by the own clock: the time of its position.
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

    /// The minimum position at which data is at most `bound` old at the time `now` of the own clock. While
    /// the estimate is not trusted, this is [`Time::MAX`], which no position reaches.
    pub fn horizon(&self, bound: Time, now: Time) -> Time {
        if self.is_trusted() {
            return self.latest_hosts_time(now) - bound;
        }
        Time::MAX
    }

    /// Converts a member's start time from the hosts' clock to the own clock; 0 if it started long ago. While
    /// the estimate is uncertain, the member may have started immediately before it was listed.
    pub fn started_at(&self, started: Time, listed_at: Time) -> Time {
        if started <= 0 {
            return 0;
        }
        // After one commit the own clock may already be known to be behind. With `offset` instead of
        // `largest_offset`, all members would be treated as in slow start.
        let earliest = started.saturating_sub(self.largest_offset);
        if self.is_uncertain() {
            return earliest.max(listed_at);
        }
        earliest
    }

    /// Whether a host may have reported this time by `now`, that is, it is not in the hosts' future.
    pub fn is_plausible(&self, reported: Time, now: Time) -> bool {
        reported <= self.latest_hosts_time(now).saturating_add(MAX_FUTURE_SKEW)
    }

    /// Whether the estimate is reliable enough to decide that a replica is fresh: commits give an upper bound
    /// of the offset, or positions confirm that the clocks agree.
    pub fn is_trusted(&self) -> bool {
        !self.enabled || self.bounded_above || (self.confirmed && !self.contradicted)
    }

    /// Whether there is evidence, but not enough to trust the estimate.
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
        let agreeing = pairs.find(|pair| pair[0].saturating_sub(pair[1]) <= AGREEMENT_TOLERANCE);
        let corroborated = agreeing.map(|pair| pair[1]);
        let upper = self.upper_bound(now, corroborated.unwrap_or(Time::MIN));
        let below = |upper: Time| lower.iter().copied().find(|lower| *lower <= upper);
        let highest = upper.and_then(below);
        let may_raise = if self.upper.len() >= MIN_SUPPORT { highest.or(corroborated) } else { corroborated };
        self.bounded_above = upper.is_some();
        self.contradicted = lower.first().is_some_and(|highest| *highest > MAX_FUTURE_SKEW);
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

    /// The lower bounds of both evidence spans, in descending order.
    fn merged_lower_bounds(&self) -> Vec<Time> {
        let mut merged = self.lower[0].clone();
        for bound in &self.lower[1].bounds {
            merged.insert(*bound);
        }
        merged.bounds.into_iter().map(|bound| bound.offset).collect()
    }

    /// The smallest upper bound that `MIN_SUPPORT` bounds support, or the largest one if there are fewer.
    /// Bounds below `min_offset` contradict the members' lower bounds and are ignored.
    fn upper_bound(&self, now: Time, min_offset: Time) -> Option<Time> {
        let widened = self.upper.iter().map(|bound| bound.widened(now));
        let mut bounds: Vec<Time> = widened.filter(|bound| *bound >= min_offset).collect();
        bounds.sort_unstable();
        bounds.get(MIN_SUPPORT - 1).or(bounds.last()).copied()
    }
}
