//! The actions that a router wants carried out.

use super::ids::{MemberId, RequestId, Time};
use super::notes::LogEntry;

/// An action that the embedding program carries out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// Clock time at which it is given up.
        until: Time,
    },
    /// Final answer: rejected, harmless to try again.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After for the client (microseconds); 0 for none.
        wait: Time,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send a health check to a member.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Subscribe to list changes.
    WatchList,
    /// Request the complete list.
    ReadList,
    /// Set a timer.
    Timer {
        /// Returned by the timer's event.
        token: u64,
        /// Clock time.
        at: Time,
    },
    /// Write a note for operators to the log.
    Log(LogEntry),
}
