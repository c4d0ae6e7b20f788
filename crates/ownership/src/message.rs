//! Messages between gateways. The order of variants and fields is part of the wire format: `postcard` encodes
//! variants by index and fields by position, so new ones may only be appended.

use crate::quota::{GroupGrant, MeanRate, QuotaReport};
use crate::{Ballot, LeadershipRole, Term};
use petrelgauge_policy::Time;
use serde::{Deserialize, Serialize};

/// Maximum number of primaries in one datagram. Each of their two numbers takes at most 10 bytes.
pub const MAX_ANNOUNCEMENTS: usize = 10;

/// A request of a candidate to the acceptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// Asks for a promise to accept no lower ballot.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
    },
    /// Asks the acceptor to accept the lease.
    Propose {
        /// The candidate's ballot.
        ballot: Ballot,
        /// Number of this proposal, so that a late response to an earlier one cannot renew the lease.
        round: u32,
    },
    /// Tells the acceptor that the holder has released the lease.
    Release {
        /// The holder's ballot.
        ballot: Ballot,
    },
}

impl LeaseRequest {
    /// The ballot of the request.
    pub fn ballot(&self) -> Ballot {
        match self {
            LeaseRequest::Prepare { ballot }
            | LeaseRequest::Propose { ballot, .. }
            | LeaseRequest::Release { ballot } => *ballot,
        }
    }
}

/// A lease that an acceptor has accepted, as reported to other candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantedLease {
    /// The holder's ballot.
    pub ballot: Ballot,
    /// Time until the acceptor forgets the lease (microseconds).
    pub remaining: Time,
}

/// An acceptor's response to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseResponse {
    /// The acceptor promises to accept no lower ballot.
    Promised {
        /// The ballot of the request.
        ballot: Ballot,
        /// The lease that the acceptor has accepted and that has not expired yet.
        granted: Option<GrantedLease>,
    },
    /// The acceptor has accepted the lease.
    Accepted {
        /// The ballot of the request.
        ballot: Ballot,
        /// Number of the proposal.
        round: u32,
    },
    /// The acceptor has promised a higher ballot.
    Rejected {
        /// The ballot of the request.
        ballot: Ballot,
        /// The ballot that the acceptor has promised.
        highest: Ballot,
    },
}

impl LeaseResponse {
    /// The ballot of the request that this responds to.
    pub fn ballot(&self) -> Ballot {
        match self {
            LeaseResponse::Promised { ballot, .. }
            | LeaseResponse::Accepted { ballot, .. }
            | LeaseResponse::Rejected { ballot, .. } => *ballot,
        }
    }
}

/// A member that answered as the primary of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PrimaryAnnouncement {
    /// Hash of the member's name on the endpoint list.
    pub member: u64,
    /// Time of the member's answer (microseconds).
    pub evidence_at: Time,
}

/// An effect of a role, sent by the holder of its lease to other gateways. Receivers admit it only if its
/// term passes their [`crate::Fence`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Notification {
    /// The sender holds the lease.
    LeaseHeld {
        /// Time until the lease expires (microseconds).
        remaining: Time,
    },
    /// A member answered as its group's primary.
    Primary(PrimaryAnnouncement),
    /// A round of quota lending has begun: every gateway is to report its demand.
    QuotaRound {
        /// Number of the round.
        round: u32,
        /// Mean request rates of some or all groups, over the gateways that have reported.
        mean_rates: Vec<MeanRate>,
    },
    /// Quota granted to the receiver in addition to its even quota.
    QuotaGrant {
        /// Number of the report that requested the quota.
        report_number: u32,
        /// The amount for each group.
        granted: Vec<GroupGrant>,
    },
    /// Members answered as their groups' primaries.
    Primaries {
        /// The members, at most [`MAX_ANNOUNCEMENTS`].
        primaries: Vec<PrimaryAnnouncement>,
    },
}

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// From a candidate to an acceptor.
    LeaseRequest {
        /// The role of the lease.
        role: LeadershipRole,
        /// The request.
        request: LeaseRequest,
    },
    /// From an acceptor to a candidate.
    LeaseResponse {
        /// The role of the lease.
        role: LeadershipRole,
        /// The response.
        response: LeaseResponse,
    },
    /// From the holder of a lease to other gateways.
    Notification {
        /// The role whose lease the sender holds.
        role: LeadershipRole,
        /// The fencing term of the lease.
        term: Term,
        /// The effect.
        notification: Notification,
    },
    /// From any gateway to the leader of primary discovery, which forwards it under its own term. A report is
    /// evidence and not an effect of a role, so it carries no term.
    PrimaryReport(PrimaryAnnouncement),
    /// From a receiver to the sender of a notification that the receiver's fence has rejected.
    StaleTerm {
        /// The role of the notification.
        role: LeadershipRole,
        /// The highest term that the receiver has seen.
        highest: Term,
    },
    /// From any gateway to the holder of the quota lease: the quota that it lends or requests.
    QuotaReport(QuotaReport),
    /// From any gateway to the leader of a shard of primary discovery.
    PrimaryReports {
        /// The members, at most [`MAX_ANNOUNCEMENTS`].
        primaries: Vec<PrimaryAnnouncement>,
    },
    /// From an acceptor to the other acceptors: the sender is alive.
    Heartbeat,
}
