//! The key under which the watermark of a session is stored and exchanged.

use petrelgauge_policy::GroupId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length (bits) of the hash of a session name, in memory and on the wire.
pub const NAME_HASH_BITS: u32 = 40;

/// Identifies a session in a group. Sessions whose names have the same hash share a watermark, which can only
/// raise the minimum positions of their reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionKey {
    /// The group of the session's requests. Each group has a watermark of its own.
    pub group: GroupId,
    /// Hash of the session name; below 2^[`NAME_HASH_BITS`].
    pub name_hash: u64,
}

impl SessionKey {
    /// Creates the key of the session `name`. Instances that exchange watermarks use the same `secret`.
    pub fn new(secret: u64, group: GroupId, name: &str) -> SessionKey {
        let hash = xxh3_64_with_seed(name.as_bytes(), secret);
        SessionKey { group, name_hash: hash >> (u64::BITS - NAME_HASH_BITS) }
    }
}
