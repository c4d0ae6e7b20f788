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
        /// A new ballot. An acceptor rejects a second prepare request with the same one.
        ballot: Ballot,
    },
    /// Asks the acceptor to accept the lease.
    Propose {
        /// The ballot that a majority has promised. Renewals repeat it.
        ballot: Ballot,
        /// Number of this proposal, so that a late response to an earlier one cannot renew the lease.
        round: u32,
    },
    /// Tells the acceptor that the holder has released the lease.
    Release {
        /// The ballot of the released lease. A lease with another ballot is kept.
        ballot: Ballot,
    },
}

impl LeaseRequest {
    /// The ballot, which every kind of request contains.
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
    /// The ballot of the accepted proposal, whose proposer holds the lease.
    pub ballot: Ballot,
    /// Time until the acceptor forgets the lease (microseconds).
    pub remaining: Time,
}

/// An acceptor's response to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseResponse {
    /// The acceptor promises to accept no lower ballot.
    Promised {
        /// The promised ballot, as in the prepare request.
        ballot: Ballot,
        /// The lease that the acceptor has accepted and that has not expired yet.
        granted: Option<GrantedLease>,
    },
    /// The acceptor has accepted the lease or its renewal.
    Accepted {
        /// The ballot of the accepted proposal.
        ballot: Ballot,
        /// Number of the accepted proposal. Responses to earlier proposals are ignored.
        round: u32,
    },
    /// The acceptor has promised a higher ballot, or has promised this one before.
    Rejected {
        /// The ballot of the rejected request.
        ballot: Ballot,
        /// The ballot that the acceptor has promised; equal to `ballot` for a repeated prepare request.
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
    /// Time of the member's answer, by the hosts' clock (microseconds).
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
        /// Number of the round, counted from 1 under each term. Reports repeat it.
        round: u32,
        /// Mean request rates of some or all groups, over the gateways that have reported.
        mean_rates: Vec<MeanRate>,
    },
    /// Quota granted to the receiver in addition to its even quota.
    QuotaGrant {
        /// Number of the report that requested the quota.
        report_number: u32,
        /// The amounts. Groups without a grant are omitted.
        granted: Vec<GroupGrant>,
    },
    /// Members answered as their groups' primaries.
    Primaries {
        /// Members of groups in the role's shard, at most [`MAX_ANNOUNCEMENTS`].
        primaries: Vec<PrimaryAnnouncement>,
    },
}

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// From a candidate to an acceptor.
    LeaseRequest {
        /// The role whose lease the request is about.
        role: LeadershipRole,
        /// What the acceptor is asked to do. Ignored unless the sender is the proposer of its ballot.
        request: LeaseRequest,
    },
    /// From an acceptor to a candidate.
    LeaseResponse {
        /// The role whose lease the request was about.
        role: LeadershipRole,
        /// The acceptor's answer. Ignored unless it is for the candidate's current ballot.
        response: LeaseResponse,
    },
    /// From the holder of a lease to other gateways.
    Notification {
        /// The role whose lease the sender holds.
        role: LeadershipRole,
        /// The fencing term of the lease.
        term: Term,
        /// The effect, which receivers ignore if the term is stale.
        notification: Notification,
    },
    /// From any gateway to the leader of primary discovery, which forwards it under its own term. A report is
    /// evidence and not an effect of a role, so it carries no term.
    PrimaryReport(PrimaryAnnouncement),
    /// From a receiver to the sender of a notification that the receiver's fence has rejected.
    StaleTerm {
        /// The role that the rejected notification named.
        role: LeadershipRole,
        /// The highest term that the receiver has seen for the role. The next ballot must have a higher one.
        highest: Term,
    },
    /// From any gateway to the holder of the quota lease: the quota that it lends or requests.
    QuotaReport(QuotaReport),
    /// From any gateway to the leader of a shard of primary discovery.
    PrimaryReports {
        /// Members of groups in the shard, at most [`MAX_ANNOUNCEMENTS`].
        primaries: Vec<PrimaryAnnouncement>,
    },
    /// From an acceptor to the other acceptors: the sender is alive.
    Heartbeat,
}
