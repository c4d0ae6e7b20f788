//! Leader election for the fleet: at most one gateway holds the lease of a [`LeadershipRole`] at any instant.
//!
//! Leases are granted by a majority of a few acceptors and kept in memory only, after PaxosLease (Trencseni,
//! Gazso and Reinhardt, 2012): prepare and promise, propose and accept, each round under a ballot, no storage
//! and no synchronised clocks. Each lease carries a fencing term that increases with every holder.
//!
//! An [`Acceptor`] promises and accepts; a [`Candidate`] prepares, proposes, renews and releases; a [`Fence`]
//! rejects effects of earlier holders. [`LeaseManager`] combines the three for one gateway and all roles.
//! [`quota`] builds on such a lease: its holder redistributes rate limits between gateways. Everything here
//! is a state machine that is stepped with events and a time, and returns what to send; it does no I/O and
//! reads no clock.
//!
//! | module | contents |
//! | --- | --- |
//! | `settings` | acceptors and durations, and their validation |
//! | `acceptor` | promises and accepted leases of one acceptor |
//! | `candidate` | acquiring, renewing and releasing one lease |
//! | `fence` | the highest term seen of each role |
//! | `lease_manager` | acceptor, candidates and fence of one gateway, with the messages to send |
//! | `placement` | shards of a role, and which acceptor should lead which |
//! | `quota` | loans and grants of rate limits |
//! | `message`, `datagram` | messages between gateways, and their encoding in at most 256 bytes |
//!
//! **States** of a candidate:
//!
//! ```text
//!         deadline         majority promised           majority accepted
//! Idle ------------> Preparing ------------> Proposing ----------------> Holding --deadline--> Holding (renewing)
//!   ^                    |                       |                          |
//!   +-- rejected, another holds the lease, timeout --+------ lease expired -+
//! ```
//!
//! **Guarantees**, checked by the model `ownership` of `petrelgauge-models` and by tests in simulated time:
//! 1. No two candidates hold the lease of one role at one instant, whichever datagrams are lost, late,
//!    duplicated or reordered and whichever acceptors restart, while every clock runs within
//!    [`Settings::drift_bound`] of true time.
//! 2. A receiver that has seen a newer term rejects effects under an older one.
//! 3. While a majority of acceptors can reach each other and a candidate, a role whose holder has failed has
//!    a new one within [`Settings::takeover_bound`].
//!
//! **Assumptions.** Only durations on one machine's clock are compared. A restarted acceptor has forgotten
//! its promises, so it stays silent for longer than any lease that it may have accepted. A clock outside the
//! drift bound can bring two holders; their effects still carry terms, and whoever knows the higher term
//! rejects the lower one.
//!
//! **Bounds.** [`MAX_ROLES`] roles, [`MAX_ACCEPTORS`] acceptors, [`MAX_SHARDS`] shards, datagrams of at most
//! [`MAX_DATAGRAM_BYTES`]. Times and durations are in microseconds.
//!
//! ```
//! use petrelgauge_ownership::{LeadershipRole, LeaseManager, Settings};
//!
//! // Three gateways, all of them acceptors; the first one is a candidate.
//! let settings = |self_id| Settings { self_id, gateways: 3, acceptors: vec![0, 1, 2], ..Settings::default() };
//! let new_manager = |id| LeaseManager::new(settings(id), 0, 7 + u64::from(id)).expect("valid settings");
//! let mut managers: Vec<LeaseManager> = (0..3).map(new_manager).collect();
//! let role = LeadershipRole { kind: 1, shard: 0 };
//! let mut now = settings(0).startup_silence() + 1;
//! managers[0].campaign(now, role);
//! for _ in 0..20 {
//!     now += 10_000;
//!     let mut in_flight = Vec::new();
//!     for (from, manager) in managers.iter_mut().enumerate() {
//!         in_flight.extend(manager.on_deadline(now).into_iter().map(|outgoing| (from as u16, outgoing)));
//!     }
//!     while let Some((from, outgoing)) = in_flight.pop() {
//!         let responses = managers[usize::from(outgoing.to)].on_message(now, from, outgoing.message);
//!         in_flight.extend(responses.into_iter().map(|response| (outgoing.to, response)));
//!     }
//! }
//! assert!(managers[0].held_term(now, role).is_some());
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
pub use datagram::{DatagramError, ReceivedMessage, MAX_DATAGRAM_BYTES};
pub use fence::{Fence, StaleTerm};
pub use lease_manager::{Counts, LeaseHolder, LeaseManager, Outgoing};
pub use message::{
    GrantedLease, LeaseRequest, LeaseResponse, Message, Notification, PrimaryAnnouncement, MAX_ANNOUNCEMENTS,
};
pub use placement::{shard_of, Placement, MAX_SHARDS};
pub use settings::{Settings, SettingsError};

use serde::{Deserialize, Serialize};

/// Number of a gateway: its index among the configuration's peers.
pub type GatewayId = u16;
/// Fencing token of a lease. It increases with every holder of a role. Its lowest [`PROPOSER_BITS`] bits are
/// the holder's number, so that no two candidates propose the same term.
pub type Term = u64;
/// Bits of a term that hold the number of its proposer.
pub const PROPOSER_BITS: u32 = 16;

/// Maximum number of acceptors: each candidate sends to every one of them.
pub const MAX_ACCEPTORS: usize = 9;
/// Maximum number of roles of which state is kept.
pub const MAX_ROLES: usize = 64;

/// A role that at most one gateway at a time has for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeadershipRole {
    /// The kind of work that comes with it. The caller numbers the kinds.
    pub kind: u8,
    /// The shard of that work, from 0.
    pub shard: u64,
}

/// One attempt of a candidate to acquire the lease. Ballots are ordered by term, then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The term of the lease if the attempt succeeds.
    pub term: Term,
    /// The candidate.
    pub proposer: GatewayId,
}
