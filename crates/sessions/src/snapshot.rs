//! What survives a restart, where something does: an interface; where it is kept is another room's matter.

use crate::mark::Key;
use crate::memory::Entry;
use petrelgauge_policy::Time;

/// The marks of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// When it was taken, by this instance's clock.
    pub taken: Time,
    /// Nothing was answered after it: the instance had stopped serving.
    pub clean: bool,
    /// What was made up to then, by an earlier run, was lost already; 0 for nothing.
    pub lost: Time,
    /// No mark that is not in it lies above this.
    pub base: Time,
    /// Sessions with what was known of them.
    pub entries: Vec<(Key, Entry)>,
}
