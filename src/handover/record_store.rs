//! Handover records as files: this process's own, which is replaced atomically, and its siblings'.

use crate::handover::record_directory::{FileContent, RecordDirectory};
use crate::Time;
use petrelgauge_handover::retention::FileState;
use petrelgauge_handover::{gateway_hash, HandoverRecord, RecordError, MAX_RECORD_BYTES};
use std::collections::BTreeSet;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of records that are read of this gateway, and separately of all other gateways.
const MAX_RECORDS: usize = 8;
/// Maximum number of files that are listed.
const MAX_LISTED_FILES: usize = 256;
/// Step by which a refresh advances the modification time of a record (microseconds): large enough to be
/// visible on file systems with coarse times, and too small to make the record appear newer than it is.
const REFRESH_STEP: Time = 1_000;
// File names are part of the stored format and must not change.
const PREFIX: &str = "petrelgauge-";
const RECORD_SUFFIX: &str = ".letter";
const UNFINISHED_SUFFIX: &str = ".half";

/// Why this process's record was not published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The new record could not be written to a temporary file.
    #[error("writing failed: {0}")]
    Write(io::Error),
    /// The temporary file could not be renamed to the record.
    #[error("renaming failed: {0}")]
    Rename(io::Error),
}

/// A readable record of a sibling.
#[derive(Debug)]
pub struct FoundRecord {
    /// The record.
    pub record: HandoverRecord,
    /// Digest of the file's content and modification time.
    pub fingerprint: u64,
    /// Time since the file was modified (microseconds).
    pub age: Time,
}

/// A file with the name of a record that cannot be read or decoded.
#[derive(Debug)]
pub struct UnreadableRecord {
    /// The sibling that it belongs to according to its name, if any.
    pub process: Option<u64>,
    /// A value that changes with the file.
    pub fingerprint: u64,
    /// Why it cannot be read.
    pub cause: RecordError,
}

/// A sibling that has written part of its first record.
#[derive(Debug)]
pub struct UnfinishedRecord {
    /// The sibling.
    pub process: u64,
    /// A value that changes with the file.
    pub fingerprint: u64,
}

/// Files in the directory except this process's own.
#[derive(Debug, Default)]
pub struct Scan {
    /// Readable records of siblings.
    pub records: Vec<FoundRecord>,
    /// Files with the name of a record that cannot be read or decoded.
    pub unreadable: Vec<UnreadableRecord>,
    /// Siblings without a record that have begun to write one.
    pub unfinished: Vec<UnfinishedRecord>,
    /// Identities of other gateways that have records in this directory.
    pub foreign_gateways: Vec<String>,
    /// All files of siblings.
    pub files: Vec<FileState>,
}

/// Reads and writes the record of one process, and reads its siblings' records.
#[derive(Clone)]
pub struct RecordStore {
    directory: Arc<dyn RecordDirectory>,
    /// The gateway's identity.
    gateway: String,
    process_id: u64,
    /// Set once the process ends. Shared with a heartbeat that may be writing on another thread.
    is_withdrawn: Arc<AtomicBool>,
}

impl RecordStore {
    /// Creates the record store of a process of the gateway with identity `gateway`.
    pub fn new(directory: Arc<dyn RecordDirectory>, gateway: String, process_id: u64) -> RecordStore {
        RecordStore { directory, gateway, process_id, is_withdrawn: Arc::default() }
    }

    /// Identity of the gateway.
    pub fn gateway(&self) -> &str {
        &self.gateway
    }

    /// Number of this process.
    pub fn process_id(&self) -> u64 {
        self.process_id
    }

    /// Atomically replaces this process's record.
    ///
    /// # Errors
    ///
    /// Fails if the new record could not be written or renamed; the last one stays in place.
    pub fn publish(&self, bytes: &[u8]) -> Result<(), PublishError> {
        let unfinished = self.file_name(self.process_id, UNFINISHED_SUFFIX);
        self.directory.write(&unfinished, bytes).map_err(PublishError::Write)?;
        let renamed = self.directory.rename(&unfinished, &self.own_record());
        // The process may have ended while this write was in progress.
        if self.is_withdrawn.load(Ordering::Relaxed) {
            self.remove_own();
        }
        renamed.map_err(PublishError::Rename)
    }

    /// Advances the modification time of the last record, which shows siblings that this process is alive
    /// when it cannot write a new record.
    ///
    /// # Errors
    ///
    /// Fails if there is no record or its modification time cannot be set.
    pub fn refresh(&self) -> io::Result<()> {
        let record = self.own_record();
        let modified = self.directory.modified_at(&record)?;
        self.directory.set_modified(&record, modified.at + REFRESH_STEP)
    }

    /// Removes this process's files when it ends. A write in progress on another thread removes the files
    /// that it writes.
    pub fn withdraw(&self) {
        self.is_withdrawn.store(true, Ordering::Relaxed);
        self.remove_own();
    }

    fn remove_own(&self) {
        let _ = self.directory.remove(&self.own_record());
        let _ = self.directory.remove(&self.file_name(self.process_id, UNFINISHED_SUFFIX));
    }

    /// Removes an abandoned file, unless it has become the record of another gateway.
    pub fn remove_abandoned(&self, name: &str) {
        let record = self.directory.read(name, MAX_RECORD_BYTES + 1).ok();
        let record = record.and_then(|content| HandoverRecord::decode(&content.bytes).ok());
        if record.is_none_or(|record| record.gateway == self.gateway) {
            let _ = self.directory.remove(name);
        }
    }

    /// Reads the files of the directory.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be listed. A file that cannot be read is part of the result.
    pub fn scan(&self) -> io::Result<Scan> {
        let mut scan = Scan { files: self.sibling_files()?, ..Scan::default() };
        let files = scan.files.clone();
        let records = files.iter().filter(|file| file.name.ends_with(RECORD_SUFFIX));
        for file in records.take(MAX_RECORDS) {
            self.read_into(&mut scan, &file.name, file.modified_at as u64);
        }
        for name in self.records_of_other_gateways()? {
            self.read_into(&mut scan, &name, 0);
        }
        scan.unfinished = self.unfinished_records(&scan.files);
        Ok(scan)
    }

    /// Files of this gateway's other processes, most recently modified first.
    fn sibling_files(&self) -> io::Result<Vec<FileState>> {
        let own = self.file_name(self.process_id, "");
        let mut files = Vec::new();
        for name in self.directory.list_files(&self.prefix(), MAX_LISTED_FILES)? {
            let has_known_suffix = name.ends_with(RECORD_SUFFIX) || name.ends_with(UNFINISHED_SUFFIX);
            if !has_known_suffix || name.starts_with(&own) {
                continue;
            }
            match self.directory.modified_at(&name) {
                Ok(modified) => files.push(FileState { name, modified_at: modified.at, age: modified.age }),
                Err(cause) if cause.kind() == io::ErrorKind::NotFound => {}
                // The file exists, but nothing else is known about it.
                Err(_) => files.push(FileState { name, modified_at: 0, age: 0 }),
            }
        }
        files.sort_by_key(|file| std::cmp::Reverse(file.modified_at));
        Ok(files)
    }

    /// Names of records of other gateways.
    fn records_of_other_gateways(&self) -> io::Result<Vec<String>> {
        let prefix = self.prefix();
        let names = self.directory.list_files(PREFIX, MAX_LISTED_FILES)?;
        let others =
            names.into_iter().filter(|name| !name.starts_with(&prefix) && name.ends_with(RECORD_SUFFIX));
        Ok(others.take(MAX_RECORDS).collect())
    }

    /// Reads a record into `scan`. `fallback_fingerprint` is used if the file cannot be read.
    fn read_into(&self, scan: &mut Scan, name: &str, fallback_fingerprint: u64) {
        let process = self.process_of(name, RECORD_SUFFIX);
        match self.directory.read(name, MAX_RECORD_BYTES + 1) {
            Ok(content) => self.decode_into(scan, process, &content),
            Err(cause) if cause.kind() == io::ErrorKind::NotFound => {}
            Err(_) => {
                let (fingerprint, cause) = (fallback_fingerprint, RecordError::Damaged);
                scan.unreadable.push(UnreadableRecord { process, fingerprint, cause });
            }
        }
    }

    fn decode_into(&self, scan: &mut Scan, process: Option<u64>, content: &FileContent) {
        let fingerprint = xxh3_64_with_seed(&content.bytes, content.modified.at as u64);
        match HandoverRecord::decode(&content.bytes) {
            Ok(record) if record.gateway != self.gateway => scan.foreign_gateways.push(record.gateway),
            Ok(record) if Some(record.process) == process => {
                scan.records.push(FoundRecord { record, fingerprint, age: content.modified.age });
            }
            // A copy of a record under another name is not a sibling's.
            Ok(_) => {}
            Err(cause) => scan.unreadable.push(UnreadableRecord { process, fingerprint, cause }),
        }
    }

    /// Siblings that have an unfinished record and no published one.
    fn unfinished_records(&self, files: &[FileState]) -> Vec<UnfinishedRecord> {
        let published = files.iter().filter_map(|file| self.process_of(&file.name, RECORD_SUFFIX));
        let published: BTreeSet<u64> = published.collect();
        let unfinished = files.iter().filter_map(|file| {
            let process = self.process_of(&file.name, UNFINISHED_SUFFIX)?;
            Some(UnfinishedRecord { process, fingerprint: file.modified_at as u64 })
        });
        unfinished.filter(|record| !published.contains(&record.process)).take(MAX_RECORDS).collect()
    }

    /// The process of this gateway that a file belongs to according to its name.
    fn process_of(&self, name: &str, suffix: &str) -> Option<u64> {
        let digits = name.strip_prefix(&self.prefix())?.strip_suffix(suffix)?;
        u64::from_str_radix(digits, 16).ok()
    }

    fn prefix(&self) -> String {
        format!("{PREFIX}{:08x}-", gateway_hash(&self.gateway))
    }

    fn own_record(&self) -> String {
        self.file_name(self.process_id, RECORD_SUFFIX)
    }

    fn file_name(&self, process: u64, suffix: &str) -> String {
        format!("{}{process:016x}{suffix}", self.prefix())
    }
}
