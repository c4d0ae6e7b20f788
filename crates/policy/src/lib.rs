//! The decision module: which member of a group gets a request, and when to wait, to retry or to reject.
//!
//! A [`Router`] is a plain state machine. It has no clock, no threads and does no I/O: the embedding program
//! calls [`Router::step`] once for each batch of events and carries out the actions it gets back.
//!
//! | file in `router/` | what it decides |
//! | --- | --- |
//! | `mod.rs` | the state of a router and the order of one step |
//! | `admission.rs` | whether a new request is queued or rejected at once |
//! | `queue.rs` | the order of dispatch, expiry and eviction of a group's queue |
//! | `dispatch.rs` | the rules that every send must satisfy |
//! | `primary.rs` | which member is taken for the primary, and how it is found |
//! | `reads.rs` | which members a read may use, and when it waits |
//! | `freshness.rs` | the commit that a read must see, and the forecast of lags and sojourns |
//! | `selection.rs` | the member of a read, by trials over the forecast |
//! | `outcomes.rs` | what the end of an attempt shows of its member, and what becomes of its request |
//! | `completion.rs` | the final answer of a request, and the cancellation of its attempts |
//! | `concurrency.rs` | the concurrency limit of a member, and this router's quota of it |
//! | `overload.rs` | the share of reads that is shed |
//! | `health.rs` | which members are suspected, probed and ejected |
//! | `zones.rs` | which zones are unreachable as a whole |
//! | `slow_start.rs` | how much work a member that has just started may be sent |
//! | `token_bucket.rs` | whether a request is paid for in slow start |
//! | `sampled_reads.rs` | which new reads a warming replica receives beside that |
//! | `endpoints.rs` | which members and groups exist, and how they are listed |
//! | `evidence.rs` | nothing: records roles, positions and commits |
//! | `load.rs` | nothing: records what members serve and what clients offer |
//! | `bookkeeping.rs` | nothing: keeps queues, members and their indexes consistent |
//!
//! `interface.rs` names the types of the public interface (settings, events, actions) and `state.rs` holds the
//! state as plain data. `in_flight.rs` and `indexes.rs` say which of it a step has to scan, `learned_state.rs` what
//! one process can hand over to the next; none of these decides. `host_clock.rs` estimates the hosts' clock.
//!
//! Bounds: requests by what clients can hold open ([`Settings::max_open_requests`]), members by the endpoint
//! list and a minute more, samples by a fixed count for each member.
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
//! let mut router = Router::new(settings, 7).expect("sound settings");
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
