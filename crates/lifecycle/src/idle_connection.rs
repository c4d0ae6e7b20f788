//! Idle connections to a host between two requests: which one is reused next, which are closed, and why.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// How long a connection stays idle after an answer before it is preferred for reuse (microseconds). Surplus
/// bytes of a host arrive within it. A connection may be reused sooner if there is no other.
pub const SETTLE: Time = 20_000;
/// How long after an answer the next one may be a copy of it (microseconds).
pub const COPY_WINDOW: Time = 1_000_000;

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdleConnection {
    /// Clock time since which it is idle.
    pub since: Time,
    /// A copy of its last answer would be recognized.
    pub detects_copies: bool,
}

/// What the kernel reports of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SocketState {
    /// Open, with nothing to read.
    Quiet,
    /// The host has closed it.
    Closed,
    /// Bytes were received that belong to no request.
    UnexpectedBytes,
}

/// Which idle connections are reused and when they are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdlePolicy {
    /// Idle connections are closed after this time (microseconds), well before their hosts close them: a
    /// request that crosses a close would end in a reset.
    pub span: Time,
}

impl IdlePolicy {
    /// The policy for hosts that close connections idle for `idle_span` (microseconds).
    pub fn for_hosts(idle_span: Time) -> IdlePolicy {
        IdlePolicy { span: idle_span / 4 * 3 }
    }

    /// The index of the connection to reuse next, in the order in which they became idle: the most recent of
    /// those idle for [`SETTLE`], so that the others age and are closed. If there is none, the longest idle
    /// one on which a copy would be recognized.
    pub fn choose(
        self,
        now: Time,
        idle: impl DoubleEndedIterator<Item = IdleConnection> + ExactSizeIterator + Clone,
    ) -> Option<usize> {
        let settled = idle.clone().rposition(|connection| now - connection.since >= SETTLE);
        settled.or_else(|| idle.clone().position(|connection| connection.detects_copies))
    }

    /// Whether the chosen connection may carry a request: then whether a copy of its last answer may still
    /// arrive.
    ///
    /// # Errors
    ///
    /// Why the connection has to be closed instead.
    pub fn may_use(self, now: Time, connection: IdleConnection, socket: SocketState) -> Result<bool, End> {
        match socket {
            SocketState::Closed => Err(End::HostClosedIdle),
            SocketState::UnexpectedBytes if !mutant(Mutant::UnexpectedBytesReused) => Err(End::HostSurplus),
            _ if now - connection.since > self.span && !mutant(Mutant::ExpiredConnectionReused) => {
                Err(End::Retired)
            }
            _ => Ok(now - connection.since < COPY_WINDOW),
        }
    }

    /// Why an idle connection has to be closed now, if it has.
    pub fn expire(self, now: Time, connection: IdleConnection, socket: SocketState) -> Option<End> {
        match socket {
            _ if now - connection.since > self.span => Some(End::Retired),
            SocketState::Quiet => None,
            SocketState::Closed => Some(End::HostClosedIdle),
            SocketState::UnexpectedBytes => Some(End::HostSurplus),
        }
    }

    /// Whether a reusable connection is kept: not if its host moved, restarted, left or is draining.
    ///
    /// # Errors
    ///
    /// Why the connection has to be closed instead.
    pub fn may_keep(self, host_accepts: bool) -> Result<(), End> {
        if host_accepts {
            Ok(())
        } else {
            Err(End::Retired)
        }
    }
}

/// Whether only a copy of this answer can equal it: a row with its position. A host whose log does not
/// advance (cut off, or its group without a primary) rejects one request after another with the same text and
/// position.
pub fn is_distinguishable(row: bool, reports_position: bool) -> bool {
    row && reports_position
}

/// Whether an answer is a copy of the last one on its connection, by the hashes of both; the last one's is
/// given only if it [`is_distinguishable`].
pub fn is_copy(recent: bool, last: Option<u64>, this: Option<u64>) -> bool {
    recent && last.is_some() && last == this
}
