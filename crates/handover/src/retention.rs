//! Which files of the directory belong to no process any more.

use crate::siblings::LIVENESS_TIMEOUT;
use petrelgauge_policy::Time;
use std::collections::BTreeMap;

/// A file that has not changed for so long is removed (microseconds).
pub const RECORD_RETENTION: Time = 60_000_000;
/// Files that are remembered at most.
pub const MAX_FILES: usize = 48;

/// A file as it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileState {
    /// Its name in the directory.
    pub name: String,
    /// When it was modified, on the clock of the file system (microseconds of Unix time).
    pub modified: Time,
    /// How long ago that was, on the same clock (microseconds).
    pub age: Time,
}

/// Since when each file has not changed, on this process's clock.
///
/// A file is abandoned when it did not change for [`RECORD_RETENTION`] while this process looked on; or for
/// [`LIVENESS_TIMEOUT`], if it is older than [`RECORD_RETENTION`] by the file system's clock too. That clock alone is no
/// proof, since it may be stepped while a process runs; it lets files of processes go that crash one after the other,
/// none of which lives for long enough to see the others' files grow old.
#[derive(Clone, Debug, Default)]
pub struct RetentionTracker {
    files: BTreeMap<String, (Time, Time)>,
}

impl RetentionTracker {
    /// These files are there now, all others are not. Gives the names of those that are abandoned.
    pub fn abandoned(&mut self, now: Time, found: &[FileState]) -> Vec<String> {
        self.files.retain(|name, _| found.iter().any(|file| file.name == *name));
        found.iter().filter(|file| self.is_abandoned(now, file)).map(|file| file.name.clone()).collect()
    }

    fn is_abandoned(&mut self, now: Time, file: &FileState) -> bool {
        if !self.files.contains_key(&file.name) && self.files.len() >= MAX_FILES {
            return false;
        }
        let (modified, since) = self.files.entry(file.name.clone()).or_insert((file.modified, now));
        if *modified != file.modified {
            (*modified, *since) = (file.modified, now);
        }
        let unchanged = now.saturating_sub(*since);
        unchanged > RECORD_RETENTION || unchanged > LIVENESS_TIMEOUT && file.age > RECORD_RETENTION
    }
}
