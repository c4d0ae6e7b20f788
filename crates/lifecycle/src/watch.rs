//! What is held of discovery's list, what is asked for next, and whether something is still owed by it.
//!
//! A line that cannot be used carried a change that no later line repeats: from then on the whole list is **owed**, and
//! asked for by a call beside the watch, which goes on. So it is after a revision that goes back on one watch. A watch
//! that is opened while the list is owed asks for all of it.
//!
//! ```
//! use petrelgauge_lifecycle::watch::WatchState;
//!
//! let mut state = WatchState::default();
//! assert!(state.on_update(7, true) && state.on_update(8, false));
//! assert_eq!(state.resume_after(), Some(8));
//! state.on_unusable_line();
//! assert!(state.on_update(10, false), "what can be used is used");
//! assert_eq!((state.needs_complete_list(), state.resume_after()), (true, None));
//! assert!(state.on_complete_list(10));
//! assert_eq!((state.needs_complete_list(), state.resume_after()), (false, Some(10)));
//! ```

use petrelgauge_policy::Time;

/// Discovery writes an empty line every 2 s; without a line for this span (microseconds), a watch is taken for dead.
/// What it has to tell counts as told after 6 s, so little of that may be spent on waiting. Bytes that make no line are
/// no sign of life.
pub const WATCH_TIMEOUT: Time = 3_000_000;
/// Lines that could not be used, or a list that is long in coming, are called for again after this span at the earliest
/// (microseconds): what is owed binds in 8 s.
pub const COMPLETE_LIST_INTERVAL: Time = 500_000;

/// What is held of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchState {
    revision: Option<u64>,
    /// Of the present watch.
    newest: Option<u64>,
    owed: bool,
    /// The last whole list that was called for was older than what is held.
    older: bool,
}

impl WatchState {
    /// A watch is opened.
    pub fn on_watch_opened(&mut self) {
        self.newest = None;
    }

    /// Another source is asked from now on. Whether it counts its revisions alike is not known.
    pub fn on_source_changed(&mut self) {
        *self = WatchState { owed: self.owed, ..WatchState::default() };
    }

    /// The revision after which changes are asked for; none if the whole list is.
    pub fn resume_after(&self) -> Option<u64> {
        self.revision.filter(|_| !self.owed)
    }

    /// No list was held so far, or not from this source.
    pub fn is_first_list(&self) -> bool {
        self.revision.is_none()
    }

    /// The whole list is owed.
    pub fn needs_complete_list(&self) -> bool {
        self.owed
    }

    /// Something came that could not be used.
    pub fn on_unusable_line(&mut self) {
        self.owed = true;
    }

    /// A list came on the watch. Whether it is to be used: changes that are older than others before them are not.
    pub fn on_update(&mut self, revision: u64, whole: bool) -> bool {
        if !whole && self.newest.is_some_and(|newest| revision < newest) {
            self.owed = true;
            return false;
        }
        self.hold(revision, whole);
        true
    }

    /// A whole list came that was called for beside the watch. Whether it is to be used: one that is older than what
    /// the watch brought meanwhile is called for again, and is used if it is so still.
    pub fn on_complete_list(&mut self, revision: u64) -> bool {
        let older = self.revision.is_some_and(|held| revision < held);
        if older && !std::mem::replace(&mut self.older, true) {
            return false;
        }
        self.hold(revision, true);
        true
    }

    fn hold(&mut self, revision: u64, whole: bool) {
        (self.revision, self.newest) = (Some(revision), Some(revision));
        if whole {
            (self.owed, self.older) = (false, false);
        }
    }
}
