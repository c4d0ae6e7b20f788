//! Names of members, groups and requests, and the unit of time.

use std::sync::Arc;

/// Microseconds, as a point of the embedding program's clock or as a span.
pub type Time = i64;
/// A member of a group, as the list names it.
pub type MemberId = u32;
/// A group: one primary and its replicas.
pub type GroupId = u64;
/// Name of a request; never used again.
pub type RequestId = Arc<str>;
