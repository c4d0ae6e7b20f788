//! Keeps this process's handover record up to date, reads those of its siblings, and holds the process to what they leave
//! of the gateway's limits. What follows from a record is decided in `petrelgauge_handover`.
//!
//! One heartbeat writes and reads; it may take long or fail. [`Handover::begin`] makes one, [`Heartbeat::run`] blocks for
//! it, and [`Handover::finish`] learns from it. [`Handover::limit`] may be asked at any time, also while one is out.

mod exchange;
mod heartbeat;
mod limit_enforcer;
pub mod record_directory;
pub mod record_store;
mod sibling_state;

pub use exchange::Handover;
pub use heartbeat::{Heartbeat, HeartbeatResult, Knowledge};
