//! The events that a router is stepped with.

use super::endpoints::{Entry, QuotaAdjustment, Report, Role};
use super::ids::{GroupId, MemberId, RequestId, Time};
use std::sync::Arc;

/// An event that a router is stepped with.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    List {
        /// What the entries stand for.
        update: Update,
        /// The entries.
        entries: Arc<[Entry]>,
    },
    /// A new request.
    Request(RequestArrival),
    /// The minimum position of a waiting request has become lower.
    MinimumPositionLowered {
        /// The request.
        request: RequestId,
        /// The commit that the data must include.
        minimum_position: Time,
    },
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// Gossip: another router had an answer of this member as its group's primary.
    GossipedPrimary {
        /// The member.
        member: MemberId,
        /// Time of that answer, by this router's clock.
        at: Time,
    },
    /// This router's quota for a group has changed.
    QuotaAdjusted {
        /// The group.
        group: GroupId,
        /// The adjustment in force from now on.
        adjustment: QuotaAdjustment,
    },
    /// The client no longer waits for the request.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A health check ended.
    Probed {
        /// The member.
        member: MemberId,
        /// How it ended.
        ending: Ending,
        /// The member's load report.
        report: Report,
    },
    /// A timer fired.
    Timer {
        /// The token of [`Action::Timer`](super::Action::Timer).
        token: u64,
    },
}

/// What the entries of an endpoint list update stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The complete list: a member without an entry is removed.
    Complete,
    /// The changed entries only.
    Partial,
}

/// A new request.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Its name.
    pub request: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Its group.
    pub group: GroupId,
    /// Time until the client gives up this request (microseconds).
    pub time_left: Time,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// The commit that the data read for it must include, in addition to what its class needs.
    pub minimum_position: Option<Time>,
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of sends.
    pub attempt: u32,
    /// The member that it was sent to.
    pub member: MemberId,
    /// How it ended.
    pub ending: Ending,
    /// Time since the send (microseconds).
    pub took: Time,
    /// The request has its final answer.
    pub closed: bool,
    /// Clock time up to which the member has applied all commits; for a served write its commit.
    pub position: Option<Time>,
    /// The member's role.
    pub role: Option<Role>,
    /// The member's load report.
    pub report: Report,
}

impl AttemptOutcome {
    /// Whether the member itself has answered.
    pub(crate) fn is_answer(&self) -> bool {
        matches!(self.ending, Ending::Served | Ending::Error | Ending::QueueFull | Ending::Rejected)
    }

    /// Whether the attempt got no service, and the member or the path to it is at fault.
    pub(crate) fn is_failure(&self) -> bool {
        !matches!(self.ending, Ending::Served | Ending::Rejected | Ending::Cancelled | Ending::NotSent)
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// Served.
    Served,
    /// The member answered with an error; the attempt may have had an effect.
    Error,
    /// Rejected before it ran: the member's queue is full or the member is draining.
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
    /// Rejected before it ran: the member is not the primary, or too far behind.
    Rejected,
}

impl Ending {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::QueueFull | Ending::ConnectFailed | Ending::NotSent | Ending::Rejected)
    }
}
