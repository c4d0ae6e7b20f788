//! An in-memory directory of handover records that injects the faults a test sets.

use petrelgauge::handover::record_directory::{FileContent, ModificationTime, RecordDirectory};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex};

/// The files by name, each with its content and modification time, and the current time of the file system.
#[derive(Default)]
pub struct Files {
    pub now: i64,
    pub by_name: BTreeMap<String, (Vec<u8>, i64)>,
}

/// The operations that fail for one process, with their errors.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Error of a write, and how many bytes it writes before it fails.
    pub write: Option<(ErrorKind, usize)>,
    pub rename: Option<ErrorKind>,
    pub set_modified: Option<ErrorKind>,
    pub list: Option<ErrorKind>,
    pub read: Option<ErrorKind>,
}

/// The disk is full, but files can be renamed and refreshed.
pub const DISK_FULL: Faults = Faults {
    write: Some((ErrorKind::StorageFull, 0)),
    rename: None,
    set_modified: None,
    list: None,
    read: None,
};
/// No file can be written, renamed or refreshed.
pub const ALL_CHANGES_FAIL: Faults = Faults {
    write: Some((ErrorKind::Other, 5)),
    rename: Some(ErrorKind::Other),
    set_modified: Some(ErrorKind::Other),
    list: None,
    read: None,
};

/// The directory as one process sees it.
#[derive(Default)]
pub struct FaultyDirectory {
    pub files: Arc<Mutex<Files>>,
    pub faults: Mutex<Faults>,
}

fn inject(fault: Option<ErrorKind>) -> Result<()> {
    fault.map_or(Ok(()), |kind| Err(Error::from(kind)))
}

impl FaultyDirectory {
    fn faults(&self) -> Faults {
        *self.faults.lock().expect("not poisoned")
    }

    fn with_files<T>(&self, operation: impl FnOnce(&mut Files) -> T) -> T {
        operation(&mut self.files.lock().expect("not poisoned"))
    }
}

fn not_found() -> Error {
    Error::from(ErrorKind::NotFound)
}

impl RecordDirectory for FaultyDirectory {
    fn list_files(&self, prefix: &str, max_count: usize) -> Result<Vec<String>> {
        inject(self.faults().list)?;
        let matching_names = |files: &mut Files| {
            let names = files.by_name.keys().filter(|name| name.starts_with(prefix));
            names.take(max_count).cloned().collect()
        };
        Ok(self.with_files(matching_names))
    }

    fn modified_at(&self, name: &str) -> Result<ModificationTime> {
        let modification_time = |files: &mut Files| {
            let (_, modified) = files.by_name.get(name).ok_or_else(not_found)?;
            Ok(ModificationTime { at: *modified, age: files.now - modified })
        };
        self.with_files(modification_time)
    }

    fn read(&self, name: &str, max_bytes: usize) -> Result<FileContent> {
        inject(self.faults().read)?;
        let modified = self.modified_at(name)?;
        let bytes = self.with_files(|files| files.by_name.get(name).map(|(bytes, _)| bytes.clone()));
        let mut bytes = bytes.ok_or_else(not_found)?;
        bytes.truncate(max_bytes);
        Ok(FileContent { bytes, modified })
    }

    fn write(&self, name: &str, bytes: &[u8]) -> Result<()> {
        let fault = self.faults().write;
        let written = fault.map_or(bytes.len(), |(_, count)| count.min(bytes.len()));
        self.with_files(|files| {
            let now = files.now;
            files.by_name.insert(name.to_string(), (bytes[..written].to_vec(), now))
        });
        inject(fault.map(|(kind, _)| kind))
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        inject(self.faults().rename)?;
        self.with_files(|files| {
            let file = files.by_name.remove(from).ok_or_else(not_found)?;
            files.by_name.insert(to.to_string(), file);
            Ok(())
        })
    }

    fn set_modified(&self, name: &str, modified: i64) -> Result<()> {
        inject(self.faults().set_modified)?;
        self.with_files(|files| {
            files.by_name.get_mut(name).ok_or_else(not_found)?.1 = modified;
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> Result<()> {
        self.with_files(|files| files.by_name.remove(name).map(drop).ok_or_else(not_found))
    }
}
