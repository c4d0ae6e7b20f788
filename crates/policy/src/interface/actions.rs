//! Actions that a router returns to the embedding program.

use super::ids::{MemberId, RequestId, Time};
use super::notes::LogEntry;

/// An action for the embedding program to execute. Actions must be executed in the order they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a member.
    Send {
        /// The request that the attempt serves. It may have had earlier attempts.
        request: RequestId,
        /// The receiver of the attempt, a member of the request's group.
        member: MemberId,
        /// Router clock time at which the attempt times out.
        until: Time,
    },
    /// Final answer: the request is rejected and is safe to retry.
    Reject {
        /// The request to answer. The router takes no further action for it.
        request: RequestId,
        /// Retry-After to send to the client (microseconds); 0 sends none.
        wait: Time,
    },
    /// Final answer: the request failed and may have taken effect.
    Fail {
        /// The request to answer. The router takes no further action for it.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request that the attempt serves. It may have been answered already.
        request: RequestId,
        /// Index of the attempt, counted from 0 in send order.
        attempt: u32,
    },
    /// Send a health check to a member.
    Probe {
        /// The member to check. The result is passed back as [`Event::Probed`](super::Event::Probed).
        member: MemberId,
    },
    /// Subscribe to changes of the endpoint list.
    WatchList,
    /// Request the complete endpoint list.
    ReadList,
    /// Pass [`Event::Timer`](super::Event::Timer) to the router at the given time.
    Timer {
        /// Opaque value to return in the event.
        token: u64,
        /// Router clock time at which the timer fires.
        at: Time,
    },
    /// Write an operator note to the log.
    Log(LogEntry),
}
