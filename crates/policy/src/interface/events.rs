//! The events that a router takes in.

use super::endpoints::{Entry, QuotaAdjustment, Report, Role};
use super::ids::{GroupId, MemberId, RequestId, Time};
use std::sync::Arc;

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// Served.
    Served,
    /// An error; it may have had an effect.
    Error,
    /// Rejected before it ran: the queue is full or the member is draining.
    QueueFull,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Rejected before it ran: not the primary, or too far behind.
    Rejected,
}

impl Ending {
    /// It proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::QueueFull | Ending::ConnectFailed | Ending::NotSent | Ending::Rejected)
    }
}

/// An event that a router takes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, complete or as changes.
    List {
        /// It is complete: a member that is not in it is removed.
        complete: bool,
        /// Its entries.
        entries: Arc<[Entry]>,
    },
    /// A new request.
    Request {
        /// Its name.
        request: RequestId,
        /// Place of its class in the settings.
        class: usize,
        /// Its group.
        group: GroupId,
        /// Time until the client gives up this request (microseconds).
        time_left: Time,
        /// The client marked it as a retry.
        is_retry: bool,
        /// The commit that the data read for it must include, beside what its class needs.
        minimum_position: Option<Time>,
    },
    /// The minimum position of a waiting request is lower by now.
    MinimumPositionLowered {
        /// The request.
        request: RequestId,
        /// The commit that the data must include.
        minimum_position: Time,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sends.
        attempt: u32,
        /// Where it went.
        member: MemberId,
        /// How it ended.
        ending: Ending,
        /// Time since the send.
        took: Time,
        /// The request is finished.
        closed: bool,
        /// Clock time up to which the member has applied all commits; for a served write its commit.
        position: Option<Time>,
        /// The member's role.
        role: Option<Role>,
        /// The member's report.
        report: Report,
    },
    /// Gossip: another router had an answer of this member as its group's primary.
    GossipedPrimary {
        /// The member.
        member: MemberId,
        /// Time of that answer.
        at: Time,
    },
    /// This router's quota for a group differs from the even one from now on.
    QuotaAdjusted {
        /// The group.
        group: GroupId,
        /// The adjustment that holds from now on.
        adjustment: QuotaAdjustment,
    },
    /// The client no longer waits for the request.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A probe ended.
    Probed {
        /// The member.
        member: MemberId,
        /// How it ended.
        ending: Ending,
        /// The member's report.
        report: Report,
    },
    /// A timer fired.
    Timer {
        /// The token of its action.
        token: u64,
    },
}
