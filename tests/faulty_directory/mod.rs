//! A directory of handover records in memory, which fails as a test has it.

use petrelgauge::handover::record_directory::{FileContent, ModificationTime, RecordDirectory};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex};

/// The files, by name, with their content and when they were modified, and the time of the file system.
#[derive(Default)]
pub struct Files {
    pub now: i64,
    pub by_name: BTreeMap<String, (Vec<u8>, i64)>,
}

/// What fails for one process.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Writes fail after so many bytes.
    pub write: Option<(ErrorKind, usize)>,
    pub rename: Option<ErrorKind>,
    pub set_modified: Option<ErrorKind>,
    pub list: Option<ErrorKind>,
    pub read: Option<ErrorKind>,
}

/// The disk is full.
pub const FULL: Faults = Faults {
    write: Some((ErrorKind::StorageFull, 0)),
    rename: None,
    set_modified: None,
    list: None,
    read: None,
};
/// Nothing can be changed any more.
pub const BROKEN: Faults = Faults {
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

fn fails(fault: Option<ErrorKind>) -> Result<()> {
    fault.map_or(Ok(()), |kind| Err(Error::from(kind)))
}

impl FaultyDirectory {
    fn faults(&self) -> Faults {
        *self.faults.lock().expect("no panic")
    }

    fn with<T>(&self, act: impl FnOnce(&mut Files) -> T) -> T {
        act(&mut self.files.lock().expect("no panic"))
    }
}

fn missing() -> Error {
    Error::from(ErrorKind::NotFound)
}

impl RecordDirectory for FaultyDirectory {
    fn list_files(&self, prefix: &str, max_count: usize) -> Result<Vec<String>> {
        fails(self.faults().list)?;
        let named = |files: &mut Files| {
            let names = files.by_name.keys().filter(|name| name.starts_with(prefix));
            names.take(max_count).cloned().collect()
        };
        Ok(self.with(named))
    }

    fn modified_at(&self, name: &str) -> Result<ModificationTime> {
        let modification_time = |files: &mut Files| {
            let (_, modified) = files.by_name.get(name).ok_or_else(missing)?;
            Ok(ModificationTime { at: *modified, age: files.now - modified })
        };
        self.with(modification_time)
    }

    fn read(&self, name: &str, max_bytes: usize) -> Result<FileContent> {
        fails(self.faults().read)?;
        let modified = self.modified_at(name)?;
        let bytes = self.with(|files| files.by_name.get(name).map(|(bytes, _)| bytes.clone()));
        let mut bytes = bytes.ok_or_else(missing)?;
        bytes.truncate(max_bytes);
        Ok(FileContent { bytes, modified })
    }

    fn write(&self, name: &str, bytes: &[u8]) -> Result<()> {
        let fault = self.faults().write;
        let written = fault.map_or(bytes.len(), |(_, count)| count.min(bytes.len()));
        self.with(|files| {
            let now = files.now;
            files.by_name.insert(name.to_string(), (bytes[..written].to_vec(), now))
        });
        fails(fault.map(|(kind, _)| kind))
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        fails(self.faults().rename)?;
        self.with(|files| {
            let file = files.by_name.remove(from).ok_or_else(missing)?;
            files.by_name.insert(to.to_string(), file);
            Ok(())
        })
    }

    fn set_modified(&self, name: &str, modified: i64) -> Result<()> {
        fails(self.faults().set_modified)?;
        self.with(|files| {
            files.by_name.get_mut(name).ok_or_else(missing)?.1 = modified;
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> Result<()> {
        self.with(|files| files.by_name.remove(name).map(drop).ok_or_else(missing))
    }
}
