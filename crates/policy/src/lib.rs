//! The decision module: which member of a group gets a request, when to wait, when to try again, when to refuse.
//!
//! A [`Router`] is a plain state machine. It has no clock, no threads and does no I/O: the embedding program
//! calls [`Router::step`] once for each batch of events and carries out the actions it gets back.
//!
//! | file | what it decides |
//! | --- | --- |
//! | `router/mod.rs` | tuned values, what a router keeps, one step |
//! | `router/list.rs` | what the list and the answers teach |
//! | `router/pick.rs` | the forecast, the trials and the pick of a read |
//! | `router/primary.rs` | who is taken for the primary, and what only it may take |
//! | `router/requests.rs` | the order in which requests wait, and how the router ends them |
//! | `router/health.rs` | suspicion, probes, trials of silent members |
//! | `router/cold.rs` | the budget of a member that has just started |
//! | `router/sends.rs` | the guards that every send must pass |
//!
//! `interface.rs` holds the words (settings, events, actions, endings), `state.rs` plain data, `indexes.rs` which of it
//! a step has to look at, and `learned_state.rs` what of it one router can leave to the next; none of them decides.
//! `fleet_clock.rs` relates the hosts' clock to the router's own.
//!
//! Bounds: requests by what clients can hold open ([`Settings::most_open`]), members by the list and a minute more,
//! samples by a fixed count for each member.
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
//!     standing: MemberStatus::Up,
//!     primary: true,
//! };
//! let list = Event::List { whole: true, entries: vec![entry].into() };
//! let request = Event::Request {
//!     request: "r1".into(),
//!     class: 0,
//!     group: 9,
//!     time_left: 900_000,
//!     repeat: false,
//!     floor: None,
//! };
//! router.step(1_000_000, &[list, request], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { member: 1, .. })));
//! ```

mod fleet_clock;
mod indexes;
mod interface;
mod learned_state;
mod mutant;
mod repeat_window;
mod router;
mod state;

pub use fleet_clock::FleetClock;
pub use interface::*;
pub use learned_state::LearnedState;
#[cfg(feature = "mutants")]
pub use mutant::plant;
pub use mutant::{mutant, Mutant};
pub use repeat_window::HOLD_UP;
pub use router::Router;
