//! What survives a restart, where something does: an interface; where it is kept is another room's matter.

use crate::session_memory::SessionEntry;
use crate::watermark::SessionKey;
use petrelgauge_policy::Time;

/// The watermarks of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// When it was taken, by this instance's clock.
    pub taken_at: Time,
    /// Nothing was answered after it: the instance had stopped serving.
    pub clean: bool,
    /// What was made up to then, by an earlier run, was lost already; 0 for nothing.
    pub lost_until: Time,
    /// No watermark that is not in it lies above this.
    pub omitted_bound: Time,
    /// Sessions with what was known of them.
    pub entries: Vec<(SessionKey, SessionEntry)>,
}
