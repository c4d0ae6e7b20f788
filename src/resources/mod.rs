//! What a process has and what it counts: descriptors, memory for messages, counters.
//!
//! May import: `postgres`.

pub mod budget;
pub mod counters;
