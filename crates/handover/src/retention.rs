//! Which files in the record directory have been abandoned by their processes.

use crate::siblings::LIVENESS_TIMEOUT;
use petrelgauge_policy::Time;
use std::collections::BTreeMap;

/// How long an unchanged file is kept (microseconds).
pub const RECORD_RETENTION: Time = 60_000_000;
/// Maximum number of files that are tracked.
pub const MAX_FILES: usize = 48;

/// The state of a file in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileState {
    /// Its name.
    pub name: String,
    /// Modification time, by the file system's clock (microseconds of Unix time).
    pub modified_at: Time,
    /// Time since the modification, by the same clock (microseconds).
    pub age: Time,
}

/// Tracks since when each file has not changed, by this process's clock.
///
/// A file is abandoned if this process has not seen it change for [`RECORD_RETENTION`], or for
/// [`LIVENESS_TIMEOUT`] if its age by the file system's clock also exceeds [`RECORD_RETENTION`]. The second
/// rule removes the files of processes that crash in quick succession, none of which runs long enough for the
/// first rule. The file system's clock alone is not reliable: it may be stepped while a process runs.
#[derive(Clone, Debug, Default)]
pub struct RetentionTracker {
    files: BTreeMap<String, TrackedFile>,
}

#[derive(Clone, Copy, Debug)]
struct TrackedFile {
    /// By the file system's clock.
    modified_at: Time,
    /// By this process's clock.
    unchanged_since: Time,
}

impl RetentionTracker {
    /// Updates the state of all files, of which `found` is the complete list, and returns the names of those
    /// that are abandoned.
    pub fn find_abandoned(&mut self, now: Time, found: &[FileState]) -> Vec<String> {
        self.files.retain(|name, _| found.iter().any(|file| file.name == *name));
        found.iter().filter(|file| self.is_abandoned(now, file)).map(|file| file.name.clone()).collect()
    }

    fn is_abandoned(&mut self, now: Time, file: &FileState) -> bool {
        if !self.files.contains_key(&file.name) && self.files.len() >= MAX_FILES {
            return false;
        }
        let seen_now = TrackedFile { modified_at: file.modified_at, unchanged_since: now };
        let tracked = self.files.entry(file.name.clone()).or_insert(seen_now);
        if tracked.modified_at != file.modified_at {
            *tracked = seen_now;
        }
        let unchanged_for = now.saturating_sub(tracked.unchanged_since);
        let is_old_by_file_time = file.age > RECORD_RETENTION;
        unchanged_for > RECORD_RETENTION || unchanged_for > LIVENESS_TIMEOUT && is_old_by_file_time
    }
}
