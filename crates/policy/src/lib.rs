//! Routing policy: selects the member of a group for each request and decides when to wait, retry or reject.
//!
//! A [`Router`] is a pure state machine without a clock, threads or I/O. The embedding program calls
//! [`Router::step`] for each batch of events and executes the returned actions.
//!
//! | file in `router/` | responsibility |
//! | --- | --- |
//! | `mod.rs` | router state and the order of operations in a step |
//! | `admission.rs` | queues or rejects new requests |
//! | `queue.rs` | dispatch order, expiry and eviction of queued requests |
//! | `dispatch.rs` | safety rules that every send must satisfy |
//! | `primary.rs` | tracks and discovers the primary of a group |
//! | `reads.rs` | members that a read may use, and waits for replicas |
//! | `freshness.rs` | the commit that a read must see; forecasts of lags and sojourns |
//! | `selection.rs` | selects the member for a read by Monte Carlo trials over the forecast |
//! | `outcomes.rs` | processes the outcome of an attempt for its member and its request |
//! | `completion.rs` | final answers, and cancellation of attempts |
//! | `concurrency.rs` | adaptive concurrency limits of members, and this router's quota of them |
//! | `overload.rs` | load shedding of reads |
//! | `health.rs` | suspicion, health checks and ejection of members |
//! | `zones.rs` | detects unreachable zones |
//! | `slow_start.rs` | limits the work sent to recently started members |
//! | `token_bucket.rs` | token bucket that admits requests during slow start |
//! | `sampled_reads.rs` | samples new reads for replicas in slow start |
//! | `endpoints.rs` | applies endpoint list updates to members and groups |
//! | `evidence.rs` | records roles, positions and commits |
//! | `load.rs` | records served and offered load |
//! | `bookkeeping.rs` | keeps queues, members and their indexes consistent |
//!
//! `interface.rs` exports the types of the public interface (settings, events, actions), and `state.rs`
//! defines the state as plain data. `in_flight.rs` and `indexes.rs` limit what a step has to scan, and
//! `learned_state.rs` holds what one process can hand over to the next; none of these makes decisions.
//! `host_clock.rs` estimates the hosts' clock.
//!
//! Memory is bounded: requests by the number that clients can have open ([`Settings::max_open_requests`]),
//! members by the endpoint list (removed members are retained for another minute), and samples by a fixed
//! count for each member.
//!
//! ```
//! use petrelgauge_policy::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         name: "page-read".into(),
//!         need: Need::Bounded(300_000),
//!         effect: Effect::Safe,
//!         attempts: 4,
//!         latency_target: 200_000,
//!         deadline: 1_000_000,
//!         priority_weight: 1.0,
//!         late_share: 0.0,
//!     }],
//!     ..Settings::default()
//! };
//! let mut router = Router::new(settings, 7).expect("valid settings");
//! let mut actions = Vec::new();
//! let entry = Entry {
//!     member: 1,
//!     group: 9,
//!     zone: "here".into(),
//!     weight: 1.0,
//!     started: 0,
//!     status: MemberStatus::Up,
//!     primary: true,
//! };
//! let list = Event::List { update: Update::Complete, entries: vec![entry].into() };
//! let request = Event::Request(RequestArrival {
//!     request: "r1".into(),
//!     class: 0,
//!     group: 9,
//!     time_left: 900_000,
//!     is_retry: false,
//!     minimum_position: None,
//! });
//! router.step(1_000_000, &[list, request], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { member: 1, .. })));
//! ```

mod host_clock;
mod in_flight;
mod indexes;
mod interface;
mod learned_state;
mod mutant;
mod retry_window;
mod router;
mod state;

pub use host_clock::{Commit, HostClock};
pub use interface::*;
pub use learned_state::LearnedState;
#[cfg(feature = "mutants")]
pub use mutant::inject_mutant;
pub use mutant::{mutant, Mutant};
pub use retry_window::RETRY_WINDOW_MARGIN;
pub use router::{Router, SlowStart};
