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
        /// The entries to apply. One with an earlier start than the member's known start is ignored.
        entries: Arc<[Entry]>,
    },
    /// A request has arrived, to be queued or rejected.
    Request(RequestArrival),
    /// The minimum position of a queued request was lowered.
    MinimumPositionLowered {
        /// The queued request. The event is ignored if the router does not know it.
        request: RequestId,
        /// The new minimum position (hosts' clock). It is ignored if it is higher than the current one.
        minimum_position: Time,
    },
    /// An attempt ended, whether or not its member answered.
    Outcome(AttemptOutcome),
    /// Gossip: this member has answered another router as the primary of its group.
    GossipedPrimary {
        /// The member that answered. The event is ignored if the router does not know it.
        member: MemberId,
        /// Time of that answer, converted to this router's clock.
        at: Time,
    },
    /// This router's quota for a group changed.
    QuotaAdjusted {
        /// The group whose members' concurrency limits the quota applies to.
        group: GroupId,
        /// The adjustment that replaces the previous one.
        adjustment: QuotaAdjustment,
    },
    /// The client stopped waiting for the request.
    Abandoned {
        /// The request to close without an answer. The event is ignored if the router does not know it.
        request: RequestId,
    },
    /// A health check ended, or a member sent a load report outside of an attempt.
    Probed {
        /// The member of [`Action::Probe`](super::Action::Probe), or the sender of the load report.
        member: MemberId,
        /// How the health check ended; [`Ending::Served`] for a load report outside of an attempt.
        ending: Ending,
        /// The load report in the answer; empty if there was none.
        report: Report,
    },
    /// A timer set by [`Action::Timer`](super::Action::Timer) has fired.
    Timer {
        /// The token of that action.
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

/// A request of a client, as it arrives at the router.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Identifier of the request in later events and in actions, chosen by the embedding program.
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

/// How an attempt ended, and what the member reported with its answer.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The request that the attempt served. It may be closed already.
    pub request: RequestId,
    /// Index of the attempt, counted from 0 in send order.
    pub attempt: u32,
    /// The member that the attempt was sent to.
    pub member: MemberId,
    /// How the attempt ended. Together with the class it determines whether another attempt may follow.
    pub ending: Ending,
    /// Time from send to end (microseconds).
    pub took: Time,
    /// Whether the request already has its final answer.
    pub closed: bool,
    /// Replication position of the member (hosts' clock); for a served write, the position of its commit.
    pub position: Option<Time>,
    /// Role that the member stated in its answer, valid as of the answer.
    pub role: Option<Role>,
    /// The load report in the member's answer; empty if there was none.
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
