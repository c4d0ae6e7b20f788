//! The hosts' clock as seen from the router's own: an estimate of the offset between the two.
//!
//! Hosts report log positions, commits and starts in their Unix time, and all hosts read one clock. The
//! router's own clock never jumps, but was set from a wall clock that may be wrong by any span. This module
//! alone relates the two. The true offset, `hosts' clock - own clock`, lies in an interval:
//!
//! - **Lower bounds.** What a host has reported was true when it arrived: `reported <= received + offset`.
//! - **Upper bounds.** A write is committed after it was sent (Cristian's algorithm):
//!   `sent + offset <= commit`. An answer that repeats an earlier run's commit would give too small a bound.
//!   So callers pass only first attempts of requests that are no client's retries, and of the last bounds not
//!   the smallest ones count.
//!
//! One absurd value must not move the estimate: a lower bound counts if two members support it or if several
//! commits agree with it, and an upper bound is passed over if two members contradict it. Where 0 lies in the
//! interval the estimate is 0, so that a router whose clock is right decides as if the clocks were one.
//! Elsewhere it is the lower end, which is the closer one: a host's answer is on its way for less time than a
//! write takes.

use crate::interface::{MemberId, Report, Time};
use std::collections::VecDeque;

/// Step to which hosts round the times that they report (microseconds).
const REPORT_GRANULARITY: Time = 1_000;
/// How far a reported time may lie ahead of what the hosts' clock can show (microseconds).
const MAX_LEAD: Time = 1_000_000;
/// A position so near to the own clock confirms that the two are one (microseconds).
const CONFIRMING_DISTANCE: Time = 1_000_000;
/// Upper bounds kept (count): the last ones.
const UPPER_BOUNDS: usize = 16;
/// Of the upper bounds so many support the one that counts, itself included; fewer are not yet evidence
/// enough to move the estimate by themselves (count).
const MIN_SUPPORT: usize = 3;
/// Longest that the quickest answers take from their host to here, rounding included (microseconds).
const MAX_QUICKEST_TRANSIT: Time = 5_000;
/// Members whose lower bounds are kept (count): the highest ones.
const LOWER_BOUNDS: usize = 8;
/// Bounds of two members that lie so near to each other support each other (microseconds): made-up values do
/// not.
const MAX_AGREEING_DISTANCE: Time = 10_000_000;
/// Lower bounds older than one to two of these spans are forgotten, as the clocks drift apart (microseconds).
const EVIDENCE_SPAN: Time = 60_000_000;
/// Two clocks drift apart by one part in so many.
const DRIFT_DIVISOR: Time = 10_000;

/// A lower bound of the offset, by what one member reported.
#[derive(Clone, Copy, Debug)]
struct LowerBound {
    offset: Time,
    member: MemberId,
}

/// An upper bound of the offset, by a commit that arrived at this time.
#[derive(Clone, Copy, Debug)]
struct UpperBound {
    offset: Time,
    received: Time,
}

impl UpperBound {
    /// The bound as of now: it grows, as the clocks drift apart.
    fn widened(&self, now: Time) -> Time {
        let age = (now - self.received).max(0);
        self.offset.saturating_add(age / DRIFT_DIVISOR)
    }
}

/// The highest lower bounds of one span, each of another member, the highest first.
#[derive(Clone, Debug, Default)]
struct LowerBounds(Vec<LowerBound>);

impl LowerBounds {
    fn insert(&mut self, bound: LowerBound) {
        let is_covered = |known: &LowerBound| known.member == bound.member && known.offset >= bound.offset;
        if self.0.iter().any(is_covered) {
            return;
        }
        self.0.retain(|known| known.member != bound.member);
        let place = self.0.partition_point(|known| known.offset >= bound.offset);
        self.0.insert(place, bound);
        self.0.truncate(LOWER_BOUNDS);
    }
}

/// The estimate of `hosts' clock - own clock`. All calls take times of the own clock, which must not jump.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    /// Off: the two clocks are one, and nothing is estimated.
    enabled: bool,
    /// Lower bounds of the current span, and of the one before it.
    lower: [LowerBounds; 2],
    span_started: Time,
    /// Upper bounds, each with the time of its commit's arrival, the oldest first.
    upper: VecDeque<UpperBound>,
    /// A reported position was nearly the own clock's time.
    confirmed: bool,
    /// A position was reported at all.
    has_evidence: bool,
    /// The estimate that follows from these.
    offset: Time,
    /// The same, where it is to err on the large side.
    largest_offset: Time,
    /// An upper bound holds.
    bounded_above: bool,
    /// A member has reported a time ahead of the own clock by more than clocks may differ.
    contradicted: bool,
}

impl FleetClock {
    /// Estimates the offset from now on; while off, the clocks are taken for one.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
        self.update(self.span_started);
    }

    /// The list names a start of this member: it was no later than now.
    pub fn record_start(&mut self, member: MemberId, started: Time, now: Time) {
        if self.enabled && started > 0 {
            self.add_lower_bound(member, started, now);
            self.update(now);
        }
    }

    /// A member reported a position, which arrived at this time.
    pub fn record_position(&mut self, member: MemberId, position: Time, received: Time) {
        if !self.enabled || position <= 0 {
            return;
        }
        self.has_evidence = true;
        self.confirmed |= (position - received).abs() <= CONFIRMING_DISTANCE;
        self.add_lower_bound(member, position, received);
        self.update(received);
    }

    /// A write that was sent to this member at `sent` has been committed. `first` says that it was the first
    /// attempt of a request that is no client's retry: only then was it surely committed after it was sent.
    pub fn record_commit(&mut self, member: MemberId, commit: Time, sent: Time, received: Time, first: bool) {
        if !self.enabled || commit <= 0 {
            return;
        }
        if first {
            self.upper.push_back(UpperBound { offset: commit.saturating_sub(sent), received });
            if self.upper.len() > UPPER_BOUNDS {
                self.upper.pop_front();
            }
        }
        self.has_evidence = true;
        self.add_lower_bound(member, commit, received);
        self.update(received);
    }

    /// The hosts' time at a time of the own clock.
    pub fn hosts_time(&self, own: Time) -> Time {
        own.saturating_add(self.offset)
    }

    /// The latest that the hosts' time can be at a time of the own clock, as far as is known.
    pub fn latest_hosts_time(&self, own: Time) -> Time {
        own.saturating_add(self.largest_offset)
    }

    /// The own clock's time at a time of the hosts.
    pub fn own_time(&self, hosts: Time) -> Time {
        hosts.saturating_sub(self.offset)
    }

    /// When a load report held, by the own clock: it says as of which position.
    pub fn as_of(&self, report: &Report, now: Time) -> Option<Time> {
        let at = report.position.map(|position| self.own_time(position));
        if self.enabled {
            return at.map(|at| at.min(now));
        }
        at
    }

    /// How old data at this position are at a time of the own clock, at the most: under 0 for a time to come.
    pub fn age(&self, position: Time, now: Time) -> Time {
        self.latest_hosts_time(now).saturating_sub(position)
    }

    /// The position from which on data are no older than `bound` at a time of the own clock; none has reached
    /// it while the estimate is not to be trusted.
    pub fn horizon(&self, bound: Time, now: Time) -> Time {
        if self.is_trusted() {
            return self.latest_hosts_time(now) - bound;
        }
        Time::MAX
    }

    /// When a member that the list says started then did so, by the own clock; 0 for long ago. While what
    /// hosts tell speaks against the estimate, it may have started right before it was listed.
    pub fn started_at(&self, started: Time, listed_at: Time) -> Time {
        if started <= 0 {
            return 0;
        }
        // With but one commit heard the own clock may be known to be behind, and all members would look cold.
        let earliest = started.saturating_sub(self.largest_offset);
        if self.is_doubtful() {
            return earliest.max(listed_at);
        }
        earliest
    }

    /// Whether a host can have reported this time by now: it does not lie in the hosts' future.
    pub fn is_plausible(&self, reported: Time, now: Time) -> bool {
        reported <= self.latest_hosts_time(now).saturating_add(MAX_LEAD)
    }

    /// Whether the estimate may be used to call a replica fresh: commits bound the offset above, or the
    /// clocks look like one.
    pub fn is_trusted(&self) -> bool {
        !self.enabled || self.bounded_above || (self.confirmed && !self.contradicted)
    }

    /// Whether what hosts have reported so far speaks against the estimate.
    pub fn is_doubtful(&self) -> bool {
        self.has_evidence && !self.is_trusted()
    }

    fn add_lower_bound(&mut self, member: MemberId, reported: Time, received: Time) {
        if received - self.span_started > EVIDENCE_SPAN {
            self.lower.swap(0, 1);
            self.lower[0] = LowerBounds::default();
            self.span_started = received;
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

    /// The highest lower bounds of different members, the highest first.
    fn merged_lower_bounds(&self) -> Vec<Time> {
        let mut merged = self.lower[0].clone();
        for bound in &self.lower[1].0 {
            merged.insert(*bound);
        }
        merged.0.into_iter().map(|bound| bound.offset).collect()
    }

    /// The smallest upper bound that several support, of those that the members' lower bounds do not
    /// contradict; the largest one where there are fewer.
    fn upper_bound(&self, now: Time, least: Time) -> Option<Time> {
        let widened = self.upper.iter().map(|bound| bound.widened(now));
        let mut bounds: Vec<Time> = widened.filter(|bound| *bound >= least).collect();
        bounds.sort_unstable();
        bounds.get(MIN_SUPPORT - 1).or(bounds.last()).copied()
    }
}
