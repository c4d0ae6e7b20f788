//! The actions of a router.

use super::ids::{MemberId, RequestId, Time};
use super::notes::LogEntry;

/// An action that the embedding program carries out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a member.
    Send {
        /// The request.
        request: RequestId,
        /// The member.
        member: MemberId,
        /// Clock time at which the attempt times out.
        until: Time,
    },
    /// Final answer: rejected, and safe to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After for the client (microseconds); 0 for none.
        wait: Time,
    },
    /// Final answer: failed, and it may have had an effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sends.
        attempt: u32,
    },
    /// Send a health check to a member.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Subscribe to changes of the endpoint list.
    WatchList,
    /// Request the complete endpoint list.
    ReadList,
    /// Set a timer.
    Timer {
        /// Passed back with [`Event::Timer`](super::Event::Timer).
        token: u64,
        /// Clock time at which it fires.
        at: Time,
    },
    /// Write a note for operators to the log.
    Log(LogEntry),
}
