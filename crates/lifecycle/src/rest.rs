//! The life of a connection to a host between two requests: who rests, who is used next, and who is closed and why.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Span that a connection best rests after an answer (microseconds). What a host sends behind an answer comes within
/// it. One may be used sooner, for want of another.
pub const REST: Time = 20_000;
/// Span after an answer in which the next one must not be its copy (microseconds).
pub const RECENT: Time = 1_000_000;

/// A connection that rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Resting {
    /// Since when.
    pub since: Time,
    /// Its last answer can be told from a copy.
    pub tells_copies: bool,
}

/// What the kernel says of a connection that rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Look {
    /// Nothing.
    Quiet,
    /// The host has closed it.
    Closed,
    /// Bytes are there that nobody asked for.
    Spoke,
}

/// How long connections are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Keep {
    /// One that rests is closed after this span, well before its host does it: a request that crosses its closing
    /// would end as a reset.
    pub span: Time,
}

impl Keep {
    /// For hosts that close what is idle for `idle_span`.
    pub fn for_hosts(idle_span: Time) -> Keep {
        Keep { span: idle_span / 4 * 3 }
    }

    /// The one to use next, by its place in the order of their resting: the latest of those that have rested, for the
    /// others grow old and are closed. If none has, the one that has rested longest of those whose answers can be
    /// told from copies.
    pub fn choose(
        self,
        now: Time,
        resting: impl DoubleEndedIterator<Item = Resting> + ExactSizeIterator + Clone,
    ) -> Option<usize> {
        let rested = resting.clone().rposition(|one| now - one.since >= REST);
        rested.or_else(|| resting.clone().position(|one| one.tells_copies))
    }

    /// Whether the chosen one may carry a request; else how it ends. If it may: whether its last answer is so recent
    /// that a copy of it may come.
    pub fn may_use(self, now: Time, one: Resting, look: Look) -> Result<bool, End> {
        match look {
            Look::Closed => Err(End::HostClosedIdle),
            Look::Spoke if !mutant(Mutant::SurplusReused) => Err(End::HostSurplus),
            _ if now - one.since > self.span && !mutant(Mutant::OldReused) => Err(End::Retired),
            _ => Ok(now - one.since < RECENT),
        }
    }

    /// How one that rests ends now, if it does.
    pub fn sweep(self, now: Time, one: Resting, look: Look) -> Option<End> {
        match look {
            _ if now - one.since > self.span => Some(End::Retired),
            Look::Quiet => None,
            Look::Closed => Some(End::HostClosedIdle),
            Look::Spoke => Some(End::HostSurplus),
        }
    }

    /// Whether one comes to rest whose attempt left it fit to: not if its host moved, started again, left or drains.
    pub fn come_to_rest(self, at_home: bool) -> Result<(), End> {
        if at_home {
            Ok(())
        } else {
            Err(End::Retired)
        }
    }
}

/// Whether no other answer of a connection can be alike to this one but a copy of it: a row that tells its position. A
/// member whose log stands still (cut off, or its group without a primary) turns one request after the other away with
/// the same words and the same position.
pub fn is_unlike_others(row: bool, tells_position: bool) -> bool {
    row && tells_position
}

/// Whether an answer is taken for a copy of the last one on its connection: hashes of both, the last one's only if it
/// [`is_unlike_others`].
pub fn is_copy(recent: bool, last: Option<u64>, this: Option<u64>) -> bool {
    recent && last.is_some() && last == this
}
