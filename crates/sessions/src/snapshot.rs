//! The state that is kept across a restart. The caller stores it.

use crate::session_key::SessionKey;
use crate::session_memory::SessionEntry;
use petrelgauge_policy::Time;

/// Whether a snapshot was taken while its instance was serving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SnapshotKind {
    /// Taken while serving: watermarks recorded later are missing.
    #[default]
    Running,
    /// Taken after serving had stopped: nothing was recorded later.
    CleanShutdown,
}

/// The watermarks of one instance at a point in time. Times are in microseconds of the instance's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub taken_at: Time,
    /// Whether watermarks may have been recorded after the snapshot was taken.
    pub kind: SnapshotKind,
    /// Watermarks recorded up to this time in earlier runs may already have been lost; 0 if none were.
    pub lost_until: Time,
    /// Upper bound of the watermarks that `entries` omits.
    pub omitted_bound: Time,
    /// The sessions with exact watermarks, most recently used first.
    pub entries: Vec<(SessionKey, SessionEntry)>,
}
