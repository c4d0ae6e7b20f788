//! Decides which idle connection to a host is reused next, which are closed, and why.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// How long a connection stays idle after an answer before it is preferred for reuse (microseconds). Surplus
/// bytes of a host arrive within it. A connection may be reused sooner if there is no other.
pub const SETTLE: Time = 20_000;
/// How long after an answer the next one may be a duplicate of it (microseconds).
pub const DUPLICATE_WINDOW: Time = 1_000_000;

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdleConnection {
    /// Clock time at which it became idle.
    pub since: Time,
    /// A duplicate of its last answer would be recognized.
    pub detects_duplicates: bool,
}

/// The state of an idle connection's socket, as the kernel reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SocketState {
    /// Open, with nothing to read.
    Quiet,
    /// The host has closed it.
    Closed,
    /// Bytes were received that belong to no request.
    UnexpectedBytes,
}

/// When idle connections are reused and when they are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdlePolicy {
    /// Idle connections are closed after this time (microseconds), well before their hosts close them: a
    /// request that crosses a close would end in a reset.
    pub span: Time,
}

impl IdlePolicy {
    /// The policy for hosts that close connections after this idle time (microseconds).
    pub fn for_hosts(host_idle_timeout: Time) -> IdlePolicy {
        IdlePolicy { span: host_idle_timeout / 4 * 3 }
    }

    /// The index of the connection to reuse next, in the order in which they became idle: the most recent of
    /// those idle for [`SETTLE`], so that the others age and are closed. If there is none, the longest idle
    /// one on which a duplicate would be recognized.
    pub fn choose(
        self,
        now: Time,
        idle: impl DoubleEndedIterator<Item = IdleConnection> + ExactSizeIterator + Clone,
    ) -> Option<usize> {
        let settled = idle.clone().rposition(|connection| now - connection.since >= SETTLE);
        settled.or_else(|| idle.clone().position(|connection| connection.detects_duplicates))
    }

    /// Whether the chosen connection may carry a request: then whether a duplicate of its last answer may
    /// still arrive.
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
            _ => Ok(now - connection.since < DUPLICATE_WINDOW),
        }
    }

    /// Why an idle connection has to be closed now; none if it is kept.
    pub fn expire(self, now: Time, connection: IdleConnection, socket: SocketState) -> Option<End> {
        match socket {
            _ if now - connection.since > self.span => Some(End::Retired),
            SocketState::Quiet => None,
            SocketState::Closed => Some(End::HostClosedIdle),
            SocketState::UnexpectedBytes => Some(End::HostSurplus),
        }
    }

    /// Whether a reusable connection is kept: not if its host moved, restarted, was removed or is draining.
    ///
    /// # Errors
    ///
    /// Why the connection has to be closed instead.
    pub fn may_keep(self, is_host_accepting: bool) -> Result<(), End> {
        if is_host_accepting {
            Ok(())
        } else {
            Err(End::Retired)
        }
    }
}

/// Whether only a duplicate of this answer can equal it: a row with its position. A host whose log does not
/// advance (cut off, or its group without a primary) rejects one request after another with the same text and
/// position.
pub fn is_distinguishable(is_row: bool, reports_position: bool) -> bool {
    is_row && reports_position
}

/// Whether an answer is a duplicate of the last one on its connection, by the hashes of both; the last one's
/// is given only if it [`is_distinguishable`].
pub fn is_duplicate(is_last_recent: bool, last_hash: Option<u64>, hash: Option<u64>) -> bool {
    is_last_recent && last_hash.is_some() && last_hash == hash
}
