//! What a process may use and what it counts: descriptors, memory for messages, counters.
//!
//! | folder or file | job |
//! | --- | --- |
//! | `budget` | shares descriptors and message memory among the connections of clients and hosts |
//! | `counters` | the counters that operators see |
//!
//! Owns the number of open connections, the bytes that they hold, and the list of clients that can be closed.
//! Who is closed first is decided by the callers.
//!
//! May import: `postgres`.

pub mod budget;
pub mod counters;
