//! One lease holder at a time for a role of the fleet: leases that a majority of a few acceptors grants, kept in memory alone.
//!
//! An [`Acceptor`] promises and accepts; a [`Candidate`] asks, owns and gives up; a [`Fence`] turns away what an earlier
//! lease holder still sends. All three are told what comes and the time, and say what is to be sent. [`LeaseManager`] holds the three
//! of one gateway together, for all roles.
//!
//! | file | what it holds |
//! | --- | --- |
//! | `settings.rs` | who the acceptors are, spans, and what of it can not be |
//! | `acceptor.rs` | promises and grants of one acceptor |
//! | `candidate.rs` | asking, owning, renewing, giving up |
//! | `fence.rs` | the highest term seen of each role |
//! | `lease_manager.rs` | all of it for one gateway, with what is to be sent to whom |
//! | `placement.rs` | shards of a role, and which acceptor should own which |
//! | `quota/` | a role's own machines: parts of limits lent, given and back in time |
//! | `message.rs` | datagrams of at most 256 bytes |
//!
//! **Promises**, each checked by the model `ownership` of `petrelgauge-models` and by tests in simulated time:
//! 1. No two candidates may act on one role at one instant, whatever is lost, late, doubled or out of order, whichever
//!    acceptors restart, while clocks run within the stated drift of each other.
//! 2. An effect under an older term is rejected by everyone who has seen a newer one.
//! 3. While a majority of acceptors can talk to each other and to a candidate, a role whose lease holder has gone has a new one
//!    within [`Settings::takeover_bound`].
//!
//! **What it rests on.** Spans alone are compared, each on one machine's clock. An acceptor that starts again has
//! forgotten its promises; it says nothing for longer than any lease that it may have granted. A clock that runs faster
//! or slower than the drift can bring two lease holders; their effects then still carry terms, of which the lower is rejected
//! away by all who know the higher.
//!
//! **Bounds.** [`MAX_ROLES`] roles, [`MAX_ACCEPTORS`] acceptors, [`MAX_SHARDS`] shards; a datagram is at most [`MAX_DATAGRAM_BYTES`] long.
//!
//! ```
//! use petrelgauge_ownership::{LeadershipRole, LeaseManager, Settings};
//!
//! // Three gateways, all acceptors; one asks, and the answers come back to it.
//! let settings = |me| Settings { self_id: me, gateways: 3, acceptors: vec![0, 1, 2], ..Settings::default() };
//! let mut offices: Vec<LeaseManager> = (0..3).map(|me| LeaseManager::new(settings(me), 0, 7 + me as u64).expect("sound")).collect();
//! let role = LeadershipRole { kind: 1, shard: 0 };
//! let mut now = settings(0).startup_silence() + 1;
//! offices[0].campaign(now, role);
//! for _ in 0..20 {
//!     now += 10_000;
//!     let mut sent = Vec::new();
//!     for (from, office) in offices.iter_mut().enumerate() {
//!         sent.extend(office.on_deadline(now).into_iter().map(|(to, message)| (from as u16, to, message)));
//!     }
//!     while let Some((from, to, message)) = sent.pop() {
//!         let answers = offices[to as usize].on_message(now, from, message);
//!         sent.extend(answers.into_iter().map(|(next, message)| (to, next, message)));
//!     }
//! }
//! assert!(offices[0].held_term(now, role).is_some());
//! ```

mod acceptor;
mod candidate;
mod datagram;
mod fence;
mod lease_manager;
mod message;
mod placement;
pub mod quota;
mod settings;

pub use acceptor::Acceptor;
pub use candidate::{Action, Candidate};
pub use datagram::{MessageError, MAX_DATAGRAM_BYTES};
pub use fence::{Fence, StaleTerm};
pub use lease_manager::{Counts, LeaseManager};
pub use message::{
    LeaseRequest, LeaseResponse, Message, Notification, PrimaryAnnouncement, MAX_ANNOUNCEMENTS,
};
pub use placement::{shard_of, Placement, MAX_SHARDS};
pub use settings::{Settings, SettingsError};

use serde::{Deserialize, Serialize};

/// Number of a gateway, by its place among the configuration's peers.
pub type GatewayId = u16;
/// Counts lease holders of a role, with the lease holder's number in its lowest [`PROPOSER_BITS`]. It only rises.
pub type Term = u64;
/// Bits of a term that hold its lease holder's number.
pub const PROPOSER_BITS: u32 = 16;

/// Electors at most (count): each asks every one of them.
pub const MAX_ACCEPTORS: usize = 9;
/// Duties that are remembered at most (count).
pub const MAX_ROLES: usize = 64;

/// Something that one gateway does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeadershipRole {
    /// What is done.
    pub kind: u8,
    /// For which group, where that matters.
    pub shard: u64,
}

/// A candidate's bid: the term that it wants, and who it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The term.
    pub term: Term,
    /// The candidate.
    pub proposer: GatewayId,
}
