//! Resource limits of the process (descriptors and memory for messages) and its counters.
//!
//! | folder or file | job |
//! | --- | --- |
//! | `budget` | shares descriptors and message memory among the connections of clients and hosts |
//! | `request_ids` | the ids that clients chose for their requests |
//! | `counters` | the counters reported to operators |
//!
//! Owns the number of open connections, the bytes reserved for them, and the list of clients that can be
//! closed. The callers decide which kind of client is closed first.
//!
//! May import: `postgres`.

pub mod budget;
pub mod counters;
pub mod request_ids;
