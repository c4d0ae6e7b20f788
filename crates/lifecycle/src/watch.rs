//! Which revision of the discovery service's endpoint list is known, which update is requested next, and
//! whether the complete list is needed.
//!
//! An unusable line held a change that no later line repeats. From then on the complete list is needed, and
//! requested by a separate call while the watch continues. The same holds after a revision that is lower than
//! an earlier one of the same watch. A watch that is opened while the complete list is needed requests it.
//!
//! ```
//! use petrelgauge_lifecycle::watch::WatchState;
//! use petrelgauge_policy::Update;
//!
//! let mut state = WatchState::default();
//! assert!(state.on_update(7, Update::Complete) && state.on_update(8, Update::Partial));
//! assert_eq!(state.resume_after(), Some(8));
//! state.on_unusable_line();
//! assert!(state.on_update(10, Update::Partial), "usable changes are applied");
//! assert_eq!((state.needs_complete_list(), state.resume_after()), (true, None));
//! assert!(state.on_complete_list(10));
//! assert_eq!((state.needs_complete_list(), state.resume_after()), (false, Some(10)));
//! ```

use petrelgauge_policy::{Time, Update};

/// The discovery service writes an empty line every 2 s. A watch without a line for this time (microseconds)
/// is considered dead. An update has to be known after 6 s, so little of that may be spent on waiting. Bytes
/// that form no line don't count.
pub const WATCH_TIMEOUT: Time = 3_000_000;
/// Shortest time between two requests for the complete list (microseconds): what it holds must be applied
/// within 8 s.
pub const COMPLETE_LIST_INTERVAL: Time = 500_000;

/// The known revisions of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchState {
    /// The revision in force.
    revision: Option<u64>,
    /// The newest revision of the current watch.
    newest_of_watch: Option<u64>,
    needs_complete_list: bool,
    /// The last complete list that was requested beside the watch was older than the revision in force.
    was_last_response_older: bool,
}

impl WatchState {
    /// Records that a watch was opened.
    pub fn on_watch_opened(&mut self) {
        self.newest_of_watch = None;
    }

    /// Records that another source is used from now on. It may number revisions differently.
    pub fn on_source_changed(&mut self) {
        *self = WatchState { needs_complete_list: self.needs_complete_list, ..WatchState::default() };
    }

    /// The revision after which changes are requested; none if the complete list is.
    pub fn resume_after(&self) -> Option<u64> {
        self.revision.filter(|_| !self.needs_complete_list)
    }

    /// Whether no list has been received so far, or none from this source.
    pub fn is_first_list(&self) -> bool {
        self.revision.is_none()
    }

    /// Whether the complete list is needed.
    pub fn needs_complete_list(&self) -> bool {
        self.needs_complete_list
    }

    /// Records that an unusable line was received.
    pub fn on_unusable_line(&mut self) {
        self.needs_complete_list = true;
    }

    /// The watch brought an update. Returns whether it is to be applied: changes older than earlier ones of
    /// the watch are not.
    pub fn on_update(&mut self, revision: u64, update: Update) -> bool {
        if update == Update::Partial && self.newest_of_watch.is_some_and(|newest| revision < newest) {
            self.needs_complete_list = true;
            return false;
        }
        self.set_revision(revision, update);
        true
    }

    /// A separate call brought the complete list. Returns whether it is to be applied: a list older than what
    /// the watch brought meanwhile is requested again, and applied if it is still as old.
    pub fn on_complete_list(&mut self, revision: u64) -> bool {
        let is_older = self.revision.is_some_and(|current| revision < current);
        if is_older && !std::mem::replace(&mut self.was_last_response_older, true) {
            return false;
        }
        self.set_revision(revision, Update::Complete);
        true
    }

    fn set_revision(&mut self, revision: u64, update: Update) {
        self.revision = Some(revision);
        self.newest_of_watch = Some(revision);
        if update == Update::Complete {
            self.needs_complete_list = false;
            self.was_last_response_older = false;
        }
    }
}
