//! The state that survives a restart. The caller stores it.

use crate::session_key::SessionKey;
use crate::session_memory::SessionEntry;
use petrelgauge_policy::Time;

/// When a snapshot was taken, in the life of its instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SnapshotKind {
    /// While it served: watermarks recorded later are missing.
    #[default]
    Running,
    /// After it had stopped serving: nothing was recorded later.
    CleanShutdown,
}

/// The watermarks of one instance at one time. Times in microseconds of the instance's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// When it was taken.
    pub taken_at: Time,
    /// Whether watermarks may have been recorded after it was taken.
    pub kind: SnapshotKind,
    /// Watermarks that earlier runs had recorded up to then were already lost; 0 if none were.
    pub lost_until: Time,
    /// Upper bound of the watermarks that `entries` omits.
    pub omitted_bound: Time,
    /// Known sessions, the most recently used first.
    pub entries: Vec<(SessionKey, SessionEntry)>,
}
