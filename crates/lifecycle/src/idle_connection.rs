//! Decides which idle connection to a host is reused next, and which are closed and why.

use crate::ending::End;
use petrelgauge_policy::{mutant, Mutant, Time};

/// Idle time after which a connection is preferred for reuse (microseconds). Unexpected bytes of a host
/// arrive within this time after its answer. A connection may be reused sooner if there is no other.
pub const SETTLE_TIME: Time = 20_000;
/// Time after an answer within which the next one may be a duplicate of it (microseconds).
pub const DUPLICATE_WINDOW: Time = 1_000_000;

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdleConnection {
    /// Clock time at which it became idle.
    pub since: Time,
    /// A duplicate of its last answer can be recognized.
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

/// The rules by which idle connections are reused and closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdlePolicy {
    /// Idle time after which connections are closed (microseconds), well before their hosts close them: a
    /// request that is sent while its host closes the connection would end in a reset.
    pub max_idle: Time,
}

impl IdlePolicy {
    /// The policy for hosts that close connections after `host_idle_timeout` (microseconds).
    pub fn for_hosts(host_idle_timeout: Time) -> IdlePolicy {
        IdlePolicy { max_idle: host_idle_timeout / 4 * 3 }
    }

    /// Chooses the connection to reuse next. Returns its index in `idle`, which is sorted by the time at
    /// which they became idle: the most recent one that has been idle for [`SETTLE_TIME`], so that the others
    /// age and are closed. If there is none, the longest idle one on which a duplicate can be recognized.
    pub fn choose(
        self,
        now: Time,
        idle: impl DoubleEndedIterator<Item = IdleConnection> + ExactSizeIterator + Clone,
    ) -> Option<usize> {
        let settled = idle.clone().rposition(|connection| now - connection.since >= SETTLE_TIME);
        settled.or_else(|| idle.clone().position(|connection| connection.detects_duplicates))
    }

    /// Checks that the chosen connection may carry a request. Returns whether a duplicate of its last answer
    /// may still arrive.
    ///
    /// # Errors
    ///
    /// Returns why the connection has to be closed instead.
    pub fn may_use(self, now: Time, connection: IdleConnection, socket: SocketState) -> Result<bool, End> {
        match socket {
            SocketState::Closed => Err(End::HostClosedIdle),
            SocketState::UnexpectedBytes if !mutant(Mutant::UnexpectedBytesReused) => Err(End::HostSurplus),
            _ if now - connection.since > self.max_idle && !mutant(Mutant::ExpiredConnectionReused) => {
                Err(End::Retired)
            }
            _ => Ok(now - connection.since < DUPLICATE_WINDOW),
        }
    }

    /// Returns why an idle connection has to be closed now; none if it is kept.
    pub fn reason_to_close(self, now: Time, connection: IdleConnection, socket: SocketState) -> Option<End> {
        match socket {
            _ if now - connection.since > self.max_idle => Some(End::Retired),
            SocketState::Quiet => None,
            SocketState::Closed => Some(End::HostClosedIdle),
            SocketState::UnexpectedBytes => Some(End::HostSurplus),
        }
    }

    /// Checks that a reusable connection may be kept: not if its host moved, restarted, was removed or is
    /// draining.
    ///
    /// # Errors
    ///
    /// Returns why the connection has to be closed instead.
    pub fn may_keep(self, is_host_accepting: bool) -> Result<(), End> {
        if is_host_accepting {
            Ok(())
        } else {
            Err(End::Retired)
        }
    }
}

/// Whether no other answer than a duplicate can be equal to this one, which holds for a row with its
/// position. A host whose log does not advance (it is partitioned, or its group has no primary) rejects
/// consecutive requests with the same text and position.
pub fn is_distinguishable(is_row: bool, reports_position: bool) -> bool {
    is_row && reports_position
}

/// Whether an answer is a duplicate of the last one on its connection, by the hashes of both. The hash of the
/// last one is given only if it [`is_distinguishable`].
pub fn is_duplicate(is_last_recent: bool, last_hash: Option<u64>, hash: Option<u64>) -> bool {
    is_last_recent && last_hash.is_some() && last_hash == hash
}
