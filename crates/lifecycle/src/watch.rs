//! Which revision of the discovery service's endpoint list is known, which update is requested next, and
//! whether the complete list is needed.
//!
//! The change in an unusable line is lost, since no later line repeats it. From then on the complete list is
//! needed, and is requested by a separate call while the watch continues. The same applies after a revision
//! that is lower than an earlier one of the same watch. A watch that is opened while the complete list is
//! needed requests it.
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

/// Time without a line after which a watch is considered dead (microseconds). The discovery service writes an
/// empty line every 2 s. An update has to be known within 6 s, so the timeout may take only part of that.
/// Bytes that form no complete line don't extend it.
pub const WATCH_TIMEOUT: Time = 3_000_000;
/// Minimum interval between two requests for the complete list (microseconds): its changes must be applied
/// within 8 s.
pub const COMPLETE_LIST_INTERVAL: Time = 500_000;

/// The known revisions of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchState {
    /// The current revision.
    revision: Option<u64>,
    /// The newest revision that the current watch has sent.
    newest_in_watch: Option<u64>,
    needs_complete_list: bool,
    /// The last complete list that was requested beside the watch was older than the current revision.
    was_last_response_older: bool,
}

impl WatchState {
    /// Records that a watch was opened.
    pub fn on_watch_opened(&mut self) {
        self.newest_in_watch = None;
    }

    /// Records that another source is used from now on, which may number revisions differently.
    pub fn on_source_changed(&mut self) {
        *self = WatchState { needs_complete_list: self.needs_complete_list, ..WatchState::default() };
    }

    /// The revision after which changes are requested; none if the complete list is requested instead.
    pub fn resume_after(&self) -> Option<u64> {
        self.revision.filter(|_| !self.needs_complete_list)
    }

    /// Whether no list has been received from the current source.
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

    /// Records an update that the watch sent. Returns whether to apply it: changes older than earlier ones of
    /// the watch are not applied.
    pub fn on_update(&mut self, revision: u64, update: Update) -> bool {
        if update == Update::Partial && self.newest_in_watch.is_some_and(|newest| revision < newest) {
            self.needs_complete_list = true;
            return false;
        }
        self.set_revision(revision, update);
        true
    }

    /// Records the complete list that a separate call returned. Returns whether to apply it: a list older
    /// than what the watch sent meanwhile is requested again, and is applied if the next response is older as
    /// well.
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
        self.newest_in_watch = Some(revision);
        if update == Update::Complete {
            self.needs_complete_list = false;
            self.was_last_response_older = false;
        }
    }
}
