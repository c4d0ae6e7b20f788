//! The directory that the processes of a gateway share, as far as handover records need one. Behind a trait, so that tests
//! can have a full disk.

use crate::Time;
use std::fs;
use std::io::{self, Read};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// When a file was modified, on the clock of the file system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FileTimes {
    /// Microseconds of Unix time.
    pub modified: Time,
    /// How long ago that is (microseconds); negative if that clock was set back since.
    pub age: Time,
}

/// A file that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileContent {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Of the state that was read.
    pub times: FileTimes,
}

/// A flat directory. Every call may block, and may fail at any time.
pub trait RecordDirectory: Send + Sync {
    /// Names of the files that begin so, in any order, `max_count` at most.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be listed.
    fn names(&self, prefix: &str, max_count: usize) -> io::Result<Vec<String>>;
    /// When a file was modified.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file, or its state cannot be read.
    fn times(&self, name: &str) -> io::Result<FileTimes>;
    /// The first `max_bytes` of a file.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file, or it cannot be read.
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<FileContent>;
    /// Replaces or makes a file. If this fails, any part of it may be there.
    ///
    /// # Errors
    ///
    /// Fails if not all of it could be written.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file over another one, as one step.
    ///
    /// # Errors
    ///
    /// Fails if nothing was renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Changes when a file was modified (microseconds of Unix time), which needs no space.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file, or its date cannot be set.
    fn set_modified(&self, name: &str, modified: Time) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file, or it cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// A directory of the file system.
pub struct DiskDirectory(
    /// Its path.
    pub PathBuf,
);

impl RecordDirectory for DiskDirectory {
    fn names(&self, prefix: &str, max_count: usize) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.0)?;
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        Ok(names.filter(|name| name.starts_with(prefix)).take(max_count).collect())
    }

    fn times(&self, name: &str) -> io::Result<FileTimes> {
        file_times(&fs::metadata(self.0.join(name))?)
    }

    fn read(&self, name: &str, max_bytes: usize) -> io::Result<FileContent> {
        let file = fs::File::open(self.0.join(name))?;
        let times = file_times(&file.metadata()?)?;
        let mut bytes = Vec::new();
        file.take(max_bytes as u64).read_to_end(&mut bytes)?;
        Ok(FileContent { bytes, times })
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        fs::write(self.0.join(name), bytes)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn set_modified(&self, name: &str, modified: Time) -> io::Result<()> {
        let file = fs::OpenOptions::new().write(true).open(self.0.join(name))?;
        file.set_modified(UNIX_EPOCH + Duration::from_micros(modified.max(0) as u64))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}

fn file_times(metadata: &fs::Metadata) -> io::Result<FileTimes> {
    let modified = unix_time(metadata.modified()?);
    Ok(FileTimes { modified, age: unix_time(SystemTime::now()) - modified })
}

fn unix_time(time: SystemTime) -> Time {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Time
}
