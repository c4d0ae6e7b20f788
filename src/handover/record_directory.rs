//! The directory that the processes of a gateway share. It is a trait so that tests can inject faults.

use crate::Time;
use std::fs;
use std::io::{self, Read};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Modification time of a file, by the file system's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModificationTime {
    /// Microseconds of Unix time.
    pub at: Time,
    /// Time since then (microseconds); negative if the clock was set back.
    pub age: Time,
}

/// Content of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileContent {
    /// The bytes that were read.
    pub bytes: Vec<u8>,
    /// Modification time of the file when it was read.
    pub modified: ModificationTime,
}

/// A directory without subdirectories. Every call may block, and may fail at any time.
pub trait RecordDirectory: Send + Sync {
    /// Names of files that begin with `prefix`, in any order, at most `max_count`.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be listed.
    fn list_files(&self, prefix: &str, max_count: usize) -> io::Result<Vec<String>>;
    /// Modification time of a file.
    ///
    /// # Errors
    ///
    /// Fails if the file does not exist or its metadata cannot be read.
    fn modified_at(&self, name: &str) -> io::Result<ModificationTime>;
    /// Reads the first `max_bytes` of a file.
    ///
    /// # Errors
    ///
    /// Fails if the file does not exist or cannot be read.
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<FileContent>;
    /// Creates a file or replaces its content. Not atomic: after a failure, part of the content may have been
    /// written.
    ///
    /// # Errors
    ///
    /// Fails if not all bytes could be written.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Atomically renames a file, replacing a file named `to`.
    ///
    /// # Errors
    ///
    /// Fails if nothing was renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Sets the modification time of a file (microseconds of Unix time). Works on a full disk.
    ///
    /// # Errors
    ///
    /// Fails if the file does not exist or its time cannot be set.
    fn set_modified(&self, name: &str, modified_at: Time) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails if the file does not exist or cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// A directory of the file system.
pub struct DiskDirectory(
    /// Path of the directory.
    pub PathBuf,
);

impl RecordDirectory for DiskDirectory {
    fn list_files(&self, prefix: &str, max_count: usize) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.0)?;
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        Ok(names.filter(|name| name.starts_with(prefix)).take(max_count).collect())
    }

    fn modified_at(&self, name: &str) -> io::Result<ModificationTime> {
        modification_time(&fs::metadata(self.0.join(name))?)
    }

    fn read(&self, name: &str, max_bytes: usize) -> io::Result<FileContent> {
        let file = fs::File::open(self.0.join(name))?;
        let modified = modification_time(&file.metadata()?)?;
        let mut bytes = Vec::new();
        file.take(max_bytes as u64).read_to_end(&mut bytes)?;
        Ok(FileContent { bytes, modified })
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        fs::write(self.0.join(name), bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn set_modified(&self, name: &str, modified_at: Time) -> io::Result<()> {
        let file = fs::OpenOptions::new().write(true).open(self.0.join(name))?;
        file.set_modified(UNIX_EPOCH + Duration::from_micros(modified_at.max(0) as u64))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}

fn modification_time(metadata: &fs::Metadata) -> io::Result<ModificationTime> {
    let at = unix_time(metadata.modified()?);
    Ok(ModificationTime { at, age: unix_time(SystemTime::now()) - at })
}

fn unix_time(time: SystemTime) -> Time {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Time
}
