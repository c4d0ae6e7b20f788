//! Events that the embedding program passes to a router.

use super::endpoints::{Entry, QuotaAdjustment, Report, Role};
use super::ids::{GroupId, MemberId, RequestId, Time};
use std::sync::Arc;

/// An input event for [`Router::step`](crate::Router::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    List {
        /// Whether the entries are the complete list or only changes.
        update: Update,
        /// The entries.
        entries: Arc<[Entry]>,
    },
    /// A new request.
    Request(RequestArrival),
    /// The minimum position of a queued request was lowered.
    MinimumPositionLowered {
        /// The request.
        request: RequestId,
        /// The new minimum position.
        minimum_position: Time,
    },
    /// An attempt ended.
    Outcome(AttemptOutcome),
    /// Gossip: this member has answered another router as the primary of its group.
    GossipedPrimary {
        /// The member.
        member: MemberId,
        /// Time of that answer, converted to this router's clock.
        at: Time,
    },
    /// This router's quota for a group changed.
    QuotaAdjusted {
        /// The group.
        group: GroupId,
        /// The adjustment that replaces the previous one.
        adjustment: QuotaAdjustment,
    },
    /// The client stopped waiting for the request.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A health check ended.
    Probed {
        /// The member.
        member: MemberId,
        /// Ending of the health check.
        ending: Ending,
        /// Load report of the member.
        report: Report,
    },
    /// A timer fired.
    Timer {
        /// The token of [`Action::Timer`](super::Action::Timer).
        token: u64,
    },
}

/// Scope of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The complete list: members without an entry are removed.
    Complete,
    /// Changed entries only.
    Partial,
}

/// A new request.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Identifier of the request.
    pub request: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// The group it is addressed to.
    pub group: GroupId,
    /// Time until the client stops waiting for the request (microseconds).
    pub time_left: Time,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Replication position that the data must include, in addition to what the class requires.
    pub minimum_position: Option<Time>,
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt, counted from 0 in send order.
    pub attempt: u32,
    /// The member that the attempt was sent to.
    pub member: MemberId,
    /// Ending of the attempt.
    pub ending: Ending,
    /// Time from send to end (microseconds).
    pub took: Time,
    /// Whether the request already has its final answer.
    pub closed: bool,
    /// Replication position of the member (hosts' clock); for a served write, the position of its commit.
    pub position: Option<Time>,
    /// Role of the member.
    pub role: Option<Role>,
    /// Load report of the member.
    pub report: Report,
}

impl AttemptOutcome {
    /// Whether the member itself answered.
    pub(crate) fn is_answer(&self) -> bool {
        matches!(self.ending, Ending::Served | Ending::Error | Ending::QueueFull | Ending::Rejected)
    }

    /// Whether the attempt was not served because of a fault of the member or of the network path to it.
    pub(crate) fn is_failure(&self) -> bool {
        !matches!(self.ending, Ending::Served | Ending::Rejected | Ending::Cancelled | Ending::NotSent)
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The member served the request.
    Served,
    /// The member answered with an error; the attempt may have taken effect.
    Error,
    /// Rejected before execution: the member's queue is full or the member is draining.
    QueueFull,
    /// No answer before the timeout; the attempt may have run.
    TimedOut,
    /// The connection could not be established; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    ConnectionLost,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// Rejected before execution: the member is not the primary, or its replication lag is too large.
    Rejected,
}

impl Ending {
    /// Whether this ending proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::QueueFull | Ending::ConnectFailed | Ending::NotSent | Ending::Rejected)
    }
}
