//! Actions that a router returns to the embedding program.

use super::ids::{MemberId, RequestId, Time};
use super::notes::LogEntry;

/// An action for the embedding program to execute. Actions must be executed in the order they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a member.
    Send {
        /// The request.
        request: RequestId,
        /// The member.
        member: MemberId,
        /// Router clock time at which the attempt times out.
        until: Time,
    },
    /// Final answer: the request is rejected and is safe to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After to send to the client (microseconds); 0 sends none.
        wait: Time,
    },
    /// Final answer: the request failed and may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt, counted from 0 in send order.
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
        /// Opaque value returned in [`Event::Timer`](super::Event::Timer).
        token: u64,
        /// Router clock time at which the timer fires.
        at: Time,
    },
    /// Write an operator note to the log.
    Log(LogEntry),
}
