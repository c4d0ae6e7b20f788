//! Messages between gateways.

use crate::quota::{GroupDemand, Milli};
use crate::{Ballot, LeadershipRole, Term};
use petrelgauge_policy::{GroupId, Time};
use serde::{Deserialize, Serialize};

/// What is asked of acceptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseRequest {
    /// To promise that no lower bid will be granted.
    Prepare {
        /// The bid.
        ballot: Ballot,
    },
    /// To grant the role.
    Propose {
        /// The bid.
        ballot: Ballot,
        /// Counts the bidder's proposals.
        round: u32,
    },
    /// To forget a grant that is of no more use.
    Release {
        /// The bid.
        ballot: Ballot,
    },
}

impl LeaseRequest {
    /// The bid.
    pub fn ballot(&self) -> Ballot {
        match self {
            LeaseRequest::Prepare { ballot }
            | LeaseRequest::Propose { ballot, .. }
            | LeaseRequest::Release { ballot } => *ballot,
        }
    }
}

/// What an acceptor answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseResponse {
    /// Promised; `granted`: who has it, and for how long yet.
    Promised {
        /// The bid.
        ballot: Ballot,
        /// Another's grant and what is left of it.
        granted: Option<(Ballot, Time)>,
    },
    /// Granted.
    Accepted {
        /// The bid.
        ballot: Ballot,
        /// Of this proposal.
        round: u32,
    },
    /// A higher bid was promised, or another has it.
    Rejected {
        /// The bid.
        ballot: Ballot,
        /// The higher one.
        highest: Ballot,
    },
}

impl LeaseResponse {
    /// The bid that is answered.
    pub fn ballot(&self) -> Ballot {
        match self {
            LeaseResponse::Promised { ballot, .. }
            | LeaseResponse::Accepted { ballot, .. }
            | LeaseResponse::Rejected { ballot, .. } => *ballot,
        }
    }
}

/// What a lease holder tells: the effect of its role, as far as others are concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Notification {
    /// It owns the role, for so long yet at most.
    LeaseHeld {
        /// What is left (microseconds).
        remaining: Time,
    },
    /// A member answered as its group's primary.
    Primary {
        /// The member, by the hash of its name on the list.
        member: u64,
        /// The group's time up to which it had applied all commits.
        position: Time,
    },
    /// A round of the share-out: all are to answer it.
    QuotaRound {
        /// Its number.
        round: u32,
        /// Mean rates of all who were heard (thousandths of a request a second), or a part of them.
        mean_rates: Vec<(GroupId, u32)>,
    },
    /// What one gateway is given beside its even part.
    QuotaGrant {
        /// The number of its answer.
        number: u32,
        /// Thousandths of an even part.
        granted: Vec<(GroupId, Milli)>,
    },
    /// Members answered as their groups' primaries.
    Primaries {
        /// The members; [`MAX_ANNOUNCEMENTS`] at most.
        primaries: Vec<PrimaryAnnouncement>,
    },
}

/// A member that answered as its group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PrimaryAnnouncement {
    /// The member, by the hash of its name on the list.
    pub member: u64,
    /// When it answered.
    pub position: Time,
}

/// Leaders of one datagram (count): 10 bytes for each number at most.
pub const MAX_ANNOUNCEMENTS: usize = 10;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate to an acceptor.
    LeaseRequest(LeadershipRole, LeaseRequest),
    /// An acceptor to a candidate.
    LeaseResponse(LeadershipRole, LeaseResponse),
    /// A lease holder to all.
    Notification(LeadershipRole, Term, Notification),
    /// A gateway to a scout: this member answered it as its group's primary. It is evidence and no effect of a role; the
    /// scout tells it on under its own term.
    PrimaryReport {
        /// The member, by the hash of its name on the list.
        member: u64,
        /// When it answered.
        position: Time,
    },
    /// A receiver to a lease holder whose word was rejected: a higher term is about.
    StaleTerm(LeadershipRole, Term),
    /// A gateway to the lease holder of the share-out: what it lends or asks for.
    QuotaReport {
        /// The lease holder's term.
        term: Term,
        /// The round that is answered.
        round: u32,
        /// Counts this gateway's answers.
        number: u32,
        /// What it says, for each group.
        lines: Vec<GroupDemand>,
    },
    /// A gateway to the lease holder of a shard: these members answered it as their groups' primaries.
    PrimaryReports {
        /// The members; [`MAX_ANNOUNCEMENTS`] at most.
        primaries: Vec<PrimaryAnnouncement>,
    },
    /// An acceptor to the others: it is there.
    Heartbeat,
}
