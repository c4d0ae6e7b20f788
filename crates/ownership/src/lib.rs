//! One owner at a time for a duty of the fleet: leases that a majority of a few electors grants, kept in memory alone.
//!
//! An [`Elector`] promises and accepts; a [`Candidate`] asks, owns and gives up; a [`Fence`] turns away what an earlier
//! owner still sends. All three are told what comes and the time, and say what is to be sent. [`Office`] holds the three
//! of one gateway together, for all duties.
//!
//! | file | what it holds |
//! | --- | --- |
//! | `settings.rs` | who the electors are, spans, and what of it can not be |
//! | `elector.rs` | promises and grants of one elector |
//! | `candidate.rs` | asking, owning, renewing, giving up |
//! | `fence.rs` | the highest term seen of each duty |
//! | `office.rs` | all of it for one gateway, with what is to be sent to whom |
//! | `placement.rs` | shards of a duty, and which elector should own which |
//! | `shares/` | a duty's own machines: parts of limits lent, given and back in time |
//! | `message.rs` | datagrams of at most 256 bytes |
//!
//! **Promises**, each checked by the model `ownership` of `petrelgauge-models` and by tests in simulated time:
//! 1. No two candidates may act on one duty at one instant, whatever is lost, late, doubled or out of order, whichever
//!    electors restart, while clocks run within the stated drift of each other.
//! 2. An effect under an older term is turned away by everyone who has seen a newer one.
//! 3. While a majority of electors can talk to each other and to a candidate, a duty whose owner has gone has a new one
//!    within [`Settings::takeover`].
//!
//! **What it rests on.** Spans alone are compared, each on one machine's clock. An elector that starts again has
//! forgotten its promises; it says nothing for longer than any lease that it may have granted. A clock that runs faster
//! or slower than the drift can bring two owners; their effects then still carry terms, of which the lower is turned
//! away by all who know the higher.
//!
//! **Bounds.** [`MOST_DUTIES`] duties, [`MOST_ELECTORS`] electors, [`MOST_SHARDS`] shards; a datagram is at most [`MOST_BYTES`] long.
//!
//! ```
//! use petrelgauge_ownership::{Duty, Office, Settings};
//!
//! // Three gateways, all electors; one asks, and the answers come back to it.
//! let settings = |me| Settings { me, gateways: 3, electors: vec![0, 1, 2], ..Settings::default() };
//! let mut offices: Vec<Office> = (0..3).map(|me| Office::new(settings(me), 0, 7 + me as u64).expect("sound")).collect();
//! let duty = Duty { kind: 1, group: 0 };
//! let mut now = settings(0).silence() + 1;
//! offices[0].want(now, duty);
//! for _ in 0..20 {
//!     now += 10_000;
//!     let mut sent = Vec::new();
//!     for (from, office) in offices.iter_mut().enumerate() {
//!         sent.extend(office.due(now).into_iter().map(|(to, message)| (from as u16, to, message)));
//!     }
//!     while let Some((from, to, message)) = sent.pop() {
//!         let answers = offices[to as usize].hear(now, from, message);
//!         sent.extend(answers.into_iter().map(|(next, message)| (to, next, message)));
//!     }
//! }
//! assert!(offices[0].may(now, duty).is_some());
//! ```

mod candidate;
mod elector;
mod fence;
mod message;
mod office;
mod placement;
mod settings;
pub mod shares;

pub use candidate::{Candidate, Step};
pub use elector::Elector;
pub use fence::{Fence, Turned};
pub use message::{Answer, Ask, Leader, Message, MessageError, Word, MOST_BYTES, MOST_LEADERS};
pub use office::{Counts, Office};
pub use placement::{shard_of, Placement, MOST_SHARDS};
pub use settings::{Settings, SettingsError};

use serde::{Deserialize, Serialize};

/// Number of a gateway, by its place among the configuration's peers.
pub type Gateway = u16;
/// Counts owners of a duty, with the owner's number in its lowest [`WHO_BITS`]. It only rises.
pub type Term = u64;
/// Bits of a term that hold its owner's number.
pub const WHO_BITS: u32 = 16;

/// Electors at most (count): each asks every one of them.
pub const MOST_ELECTORS: usize = 9;
/// Duties that are remembered at most (count).
pub const MOST_DUTIES: usize = 64;

/// Something that one gateway does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// What is done.
    pub kind: u8,
    /// For which group, where that matters.
    pub group: u64,
}

/// A candidate's bid: the term that it wants, and who it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The term.
    pub term: Term,
    /// The candidate.
    pub who: Gateway,
}
