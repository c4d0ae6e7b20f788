//! Leader election for the fleet: at most one gateway holds the lease of a [`LeadershipRole`] at any instant.
//!
//! Leases are granted by a majority of a few acceptors and kept only in memory. The protocol is PaxosLease
//! (Trencseni, Gazso and Reinhardt, 2012): prepare and promise, propose and accept, each under a ballot. It
//! needs neither storage nor synchronized clocks. Each lease carries a fencing term that increases with every
//! holder.
//!
//! An [`Acceptor`] promises and accepts; a [`Candidate`] prepares, proposes, renews and releases; a [`Fence`]
//! rejects effects of earlier holders. [`LeaseManager`] combines the three for one gateway and all roles.
//! [`quota`] builds on such a lease: its holder redistributes rate limits between gateways. All types are
//! state machines: the caller passes events and the time, and gets back the messages to send. The crate does
//! no I/O and reads no clock.
//!
//! | module | contents |
//! | --- | --- |
//! | `settings` | acceptors and durations, and their validation |
//! | `acceptor` | the promises and accepted leases of one acceptor |
//! | `candidate` | acquisition, renewal and release of one lease |
//! | `fence` | the highest term seen for each role |
//! | `lease_manager` | the acceptor, candidates and fence of one gateway, and the messages to send |
//! | `placement` | the shards of a role, and which acceptor should lead which shard |
//! | `quota` | loans and grants of rate limits |
//! | `message`, `datagram` | messages between gateways, and their encoding in at most 256 bytes |
//!
//! **States** of a candidate:
//!
//! ```text
//!       deadline             majority promised            majority accepted
//! Idle ----------> Preparing -----------------> Proposing -----------------> Holding (renews at deadline)
//!  ^                   |                            |                           |
//!  +-- rejected, lease held by another, timeout ----+------ lease expired ------+
//! ```
//!
//! **Guarantees**, checked by the model `ownership` in `petrelgauge-models` and by tests in simulated time:
//! 1. No two candidates hold the lease of one role at the same instant, even if datagrams are lost, delayed,
//!    duplicated or reordered and acceptors restart, as long as the rate of every clock is within
//!    [`Settings::drift_bound`] of true time.
//! 2. A receiver that has seen a newer term rejects effects under an older one.
//! 3. While a majority of acceptors can reach each other and a candidate, a role whose holder has failed has
//!    a new one within [`Settings::takeover_bound`].
//!
//! **Assumptions.** Only durations on the same machine's clock are compared. A restarted acceptor has
//! forgotten its promises, so it stays silent until any lease that it may have accepted has expired. A clock
//! outside the drift bound can lead to two holders at once. Their effects still carry terms, and a receiver
//! that knows the higher term rejects the lower one.
//!
//! **Bounds.** [`MAX_ROLES`] roles, [`MAX_ACCEPTORS`] acceptors, [`MAX_SHARDS`] shards, datagrams of at most
//! [`MAX_DATAGRAM_BYTES`]. Times and durations are in microseconds.
//!
//! ```
//! use petrelgauge_ownership::{LeadershipRole, LeaseManager, Settings};
//!
//! // Three gateways, all of them acceptors; the first one is a candidate.
//! let settings = |self_id| {
//!     Settings { self_id, gateways: 3, acceptors: vec![0, 1, 2], ..Settings::default() }
//! };
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

/// Number of a gateway: its index in the list of peers in the configuration.
pub type GatewayId = u16;
/// Fencing token of a lease. It increases with every holder of a role. Its lowest [`PROPOSER_BITS`] bits
/// contain the number of the holder, so that no two candidates propose the same term.
pub type Term = u64;
/// Number of low bits of a term that contain the number of its proposer.
pub const PROPOSER_BITS: u32 = 16;

/// Maximum number of acceptors. It is bounded because each candidate sends its requests to all of them.
pub const MAX_ACCEPTORS: usize = 9;
/// Maximum number of roles whose state is kept.
pub const MAX_ROLES: usize = 64;

/// A role that at most one gateway in the fleet has at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeadershipRole {
    /// The kind of work of the role. The caller assigns the numbers.
    pub kind: u8,
    /// The shard of that work, counted from 0.
    pub shard: u64,
}

/// One attempt of a candidate to acquire a lease. Ballots are ordered by term, then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The term of the lease if the attempt succeeds.
    pub term: Term,
    /// Number of the candidate's gateway, which the low bits of `term` also contain.
    pub proposer: GatewayId,
}
