//! Identifiers of members, groups and requests, and the unit of time.

use std::sync::Arc;

/// Microseconds: a point in time of the embedding program's clock, or a span.
pub type Time = i64;
/// A member of a group, by its number in the endpoint list.
pub type MemberId = u32;
/// A group: one primary and its replicas.
pub type GroupId = u64;
/// Name of a request; never reused.
pub type RequestId = Arc<str>;
