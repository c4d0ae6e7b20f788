//! The state that can be carried over a restart. Storing it is the caller's task.

use crate::session_key::SessionKey;
use crate::session_memory::SessionEntry;
use petrelgauge_policy::Time;

/// The watermarks of one moment. Times in microseconds of this instance's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// When it was taken.
    pub taken_at: Time,
    /// Nothing was answered after it was taken: the instance had stopped serving.
    pub clean: bool,
    /// Watermarks recorded up to then, by an earlier run, had been lost already; 0 for none.
    pub lost_until: Time,
    /// No watermark that is missing in `entries` lies above this.
    pub omitted_bound: Time,
    /// Sessions with what was known of them, the most recently used first.
    pub entries: Vec<(SessionKey, SessionEntry)>,
}
