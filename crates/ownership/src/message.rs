//! Datagrams: a mark, a version, the fleet's fingerprint, the body as `postcard` writes it, and CRC-32C keyed by the
//! fleet's secret, 4 bytes.

use crate::shares::{Line, Milli};
use crate::{Ballot, Duty, Gateway, Term};
use petrelgauge_policy::{GroupId, Time};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest datagram (bytes).
pub const MOST_BYTES: usize = 256;
/// Told apart from the bulletins of sessions, which begin with their version.
const MARK: u8 = 0xA7;
const VERSION: u8 = 1;
const HEAD: usize = 2 + 4;
const CHECK: usize = 4;

/// What is asked of electors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// To promise that no lower bid will be granted.
    Prepare {
        /// The bid.
        ballot: Ballot,
    },
    /// To grant the duty.
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

impl Ask {
    /// The bid.
    pub fn ballot(&self) -> Ballot {
        match self {
            Ask::Prepare { ballot } | Ask::Propose { ballot, .. } | Ask::Release { ballot } => *ballot,
        }
    }
}

/// What an elector answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Promised; `other`: who has it, and for how long yet.
    Promised {
        /// The bid.
        ballot: Ballot,
        /// Another's grant and what is left of it.
        other: Option<(Ballot, Time)>,
    },
    /// Granted.
    Accepted {
        /// The bid.
        ballot: Ballot,
        /// Of this proposal.
        round: u32,
    },
    /// A higher bid was promised, or another has it.
    Denied {
        /// The bid.
        ballot: Ballot,
        /// The higher one.
        highest: Ballot,
    },
}

impl Answer {
    /// The bid that is answered.
    pub fn ballot(&self) -> Ballot {
        match self {
            Answer::Promised { ballot, .. }
            | Answer::Accepted { ballot, .. }
            | Answer::Denied { ballot, .. } => *ballot,
        }
    }
}

/// What an owner tells: the effect of its duty, as far as others are concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
    /// It owns the duty, for so long yet at most.
    Owns {
        /// What is left (microseconds).
        left: Time,
    },
    /// A member answered as its group's primary.
    Primary {
        /// The member, by the hash of its name on the list.
        member: u64,
        /// The group's time up to which it had applied all commits.
        position: Time,
    },
    /// A round of the share-out: all are to answer it.
    Round {
        /// Its number.
        round: u32,
        /// Mean rates of all who were heard (thousandths of a request a second), or a part of them.
        means: Vec<(GroupId, u32)>,
    },
    /// What one gateway is given beside its even part.
    Grant {
        /// The number of its answer.
        number: u32,
        /// Thousandths of an even part.
        given: Vec<(GroupId, Milli)>,
    },
    /// Members answered as their groups' primaries.
    Primaries {
        /// The members; [`MOST_LEADERS`] at most.
        leaders: Vec<Leader>,
    },
}

/// A member that answered as its group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leader {
    /// The member, by the hash of its name on the list.
    pub member: u64,
    /// When it answered.
    pub position: Time,
}

/// Leaders of one datagram (count): 10 bytes for each number at most.
pub const MOST_LEADERS: usize = 10;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate to an elector.
    Ask(Duty, Ask),
    /// An elector to a candidate.
    Answer(Duty, Answer),
    /// An owner to all.
    Word(Duty, Term, Word),
    /// A gateway to a scout: this member answered it as its group's primary. It is evidence and no effect of a duty; the
    /// scout tells it on under its own term.
    Found {
        /// The member, by the hash of its name on the list.
        member: u64,
        /// When it answered.
        position: Time,
    },
    /// A receiver to an owner whose word was turned away: a higher term is about.
    Turned(Duty, Term),
    /// A gateway to the owner of the share-out: what it lends or asks for.
    Lines {
        /// The owner's term.
        term: Term,
        /// The round that is answered.
        round: u32,
        /// Counts this gateway's answers.
        number: u32,
        /// What it says, for each group.
        lines: Vec<Line>,
    },
    /// A gateway to the owner of a shard: these members answered it as their groups' primaries.
    FoundAll {
        /// The members; [`MOST_LEADERS`] at most.
        leaders: Vec<Leader>,
    },
    /// An elector to the others: it is there.
    Heartbeat,
}

/// Why a datagram cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Too short, too long, or not to be read.
    #[error("the datagram has a form that is none")]
    Shape,
    /// Of a later version.
    #[error("the datagram has a version that is not known here")]
    Version,
    /// Its electors or spans are others than here: two files are about.
    #[error("the datagram is of a fleet with other electors or spans")]
    Fleet,
    /// Garbage, altered, or under another secret.
    #[error("the datagram does not pass its check")]
    Check,
}

impl Message {
    /// Whether these bytes are meant for this room at all.
    pub fn is_one(bytes: &[u8]) -> bool {
        bytes.first() == Some(&MARK)
    }

    /// Its bytes, from this gateway. `fleet`: the fingerprint of the settings that all must have alike.
    pub fn write(&self, from: Gateway, fleet: u32, secret: u64) -> Vec<u8> {
        let mut bytes = vec![MARK, VERSION];
        bytes.extend_from_slice(&fleet.to_be_bytes());
        bytes = postcard::to_extend(&(from, self), bytes).unwrap_or_default();
        let check = check(&bytes, secret);
        bytes.extend_from_slice(&check);
        debug_assert!(bytes.len() <= MOST_BYTES);
        bytes
    }

    /// Reads a datagram: who it says to be from, and what it says.
    pub fn read(bytes: &[u8], fleet: u32, secret: u64) -> Result<(Gateway, Message), MessageError> {
        if !(HEAD + CHECK..=MOST_BYTES).contains(&bytes.len()) || !Message::is_one(bytes) {
            return Err(MessageError::Shape);
        }
        let (body, tail) = bytes.split_at(bytes.len() - CHECK);
        if check(body, secret) != tail {
            return Err(MessageError::Check);
        }
        if body[1] != VERSION {
            return Err(MessageError::Version);
        }
        if body[2..HEAD] != fleet.to_be_bytes() {
            return Err(MessageError::Fleet);
        }
        match postcard::take_from_bytes::<(Gateway, Message)>(&body[HEAD..]) {
            Ok((read, [])) => Ok(read),
            _ => Err(MessageError::Shape),
        }
    }
}

fn check(body: &[u8], secret: u64) -> [u8; CHECK] {
    crc32c::crc32c_append(crc32c::crc32c(&secret.to_be_bytes()), body).to_be_bytes()
}
