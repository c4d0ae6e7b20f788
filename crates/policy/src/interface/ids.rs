//! Identifiers of members, groups and requests, and the unit of time.

use std::sync::Arc;

/// A point in time of the embedding program's clock, or a duration, in microseconds.
pub type Time = i64;
/// Identifier of a member, as assigned by the endpoint list.
pub type MemberId = u32;
/// Identifier of a group: one primary and its replicas.
pub type GroupId = u64;
/// Identifier of a request; never reused.
pub type RequestId = Arc<str>;
