//! Handover records as files: this process's own, which is replaced as a whole or not at all, and those of its siblings.

use crate::handover::record_directory::{FileContent, RecordDirectory};
use crate::Time;
use petrelgauge_handover::retention::FileState;
use petrelgauge_handover::{gateway_hash, HandoverRecord, RecordError, MAX_RECORD_BYTES};
use std::collections::BTreeSet;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Records of this gateway, and of others, that are read at most (count). There are two processes, three by mistake.
const MAX_RECORDS: usize = 8;
/// Files that are looked at, at most (count).
const MAX_LISTED: usize = 256;
/// A record that cannot be replaced is dated later by so much (microseconds): a sign of life that coarse file systems
/// keep, and too little to make the record look newer than it is.
const REFRESH_STEP: Time = 1_000;
/// The names of files are stored data, and stay as they are.
const PREFIX: &str = "petrelgauge-";
const RECORD_SUFFIX: &str = ".letter";
const UNFINISHED_SUFFIX: &str = ".half";

/// Why this process's record was not replaced.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The new record could not be written beside the old one.
    #[error("writing failed: {0}")]
    Write(io::Error),
    /// It could not take the old one's place.
    #[error("renaming failed: {0}")]
    Rename(io::Error),
}

/// A sibling's record that can be read.
#[derive(Debug)]
pub struct FoundRecord {
    /// The record.
    pub record: HandoverRecord,
    /// A digest of the file, with its modification time.
    pub fingerprint: u64,
    /// How long ago the file was modified (microseconds).
    pub age: Time,
}

/// A file of a sibling that holds no readable record.
#[derive(Debug)]
pub struct UnreadableRecord {
    /// Whose it is, if its name says so.
    pub process: Option<u64>,
    /// What changes with the file.
    pub fingerprint: u64,
    /// Why it cannot be read.
    pub cause: RecordError,
}

/// What lies in the directory besides this process's own files.
#[derive(Debug, Default)]
pub struct Scan {
    /// Siblings' records.
    pub records: Vec<FoundRecord>,
    /// Siblings' records that cannot be read, and other files that look like records.
    pub unreadable: Vec<UnreadableRecord>,
    /// Siblings that have no record, but the beginning of one, each with a digest of it.
    pub unfinished: Vec<(u64, u64)>,
    /// Identities of other gateways.
    pub foreign: Vec<String>,
    /// The files of this gateway's siblings.
    pub files: Vec<FileState>,
}

/// The files of one process.
#[derive(Clone)]
pub struct RecordStore {
    directory: Arc<dyn RecordDirectory>,
    /// The gateway's identity.
    gateway: String,
    /// The number of the process.
    process: u64,
    withdrawn: Arc<AtomicBool>,
}

impl RecordStore {
    /// The files of this process of the gateway with this identity.
    pub fn new(directory: Arc<dyn RecordDirectory>, gateway: String, process: u64) -> RecordStore {
        RecordStore { directory, gateway, process, withdrawn: Arc::default() }
    }

    /// The gateway's identity.
    pub fn gateway(&self) -> &str {
        &self.gateway
    }

    /// The number of this process.
    pub fn process(&self) -> u64 {
        self.process
    }

    /// Replaces this process's record.
    ///
    /// # Errors
    ///
    /// Fails if the new record could not be written or put in place; the last one stays.
    pub fn publish(&self, bytes: &[u8]) -> Result<(), PublishError> {
        let unfinished = self.file_name(self.process, UNFINISHED_SUFFIX);
        self.directory.write(&unfinished, bytes).map_err(PublishError::Write)?;
        let renamed = self.directory.rename(&unfinished, &self.own_record());
        if self.withdrawn.load(Ordering::Relaxed) {
            self.remove_own();
        }
        renamed.map_err(PublishError::Rename)
    }

    /// Shows by the date of the last record that this process runs, where a new one cannot be written.
    ///
    /// # Errors
    ///
    /// Fails if the date of the record cannot be set.
    pub fn refresh(&self) -> io::Result<()> {
        let record = self.own_record();
        let times = self.directory.times(&record)?;
        self.directory.set_modified(&record, times.modified + REFRESH_STEP)
    }

    /// Removes this process's files; it ends. A write that is still out leaves none either.
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Relaxed);
        self.remove_own();
    }

    fn remove_own(&self) {
        let _ = self.directory.remove(&self.own_record());
        let _ = self.directory.remove(&self.file_name(self.process, UNFINISHED_SUFFIX));
    }

    /// Removes a file that was found abandoned, unless it turns out to be another gateway's.
    pub fn remove_abandoned(&self, name: &str) {
        let record = self.directory.read(name, MAX_RECORD_BYTES + 1).ok();
        let record = record.and_then(|content| HandoverRecord::decode(&content.bytes).ok());
        if record.is_none_or(|record| record.gateway == self.gateway) {
            let _ = self.directory.remove(name);
        }
    }

    /// Reads what lies there.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be listed; a file that cannot be read is part of the result.
    pub fn scan(&self) -> io::Result<Scan> {
        let mut scan = Scan { files: self.sibling_files()?, ..Scan::default() };
        let files = scan.files.clone();
        let records = files.iter().filter(|file| file.name.ends_with(RECORD_SUFFIX));
        records
            .take(MAX_RECORDS)
            .for_each(|file| self.read_into(&mut scan, &file.name, file.modified as u64));
        let others = self.other_files()?;
        others.iter().for_each(|name| self.read_into(&mut scan, name, 0));
        scan.unfinished = self.unfinished(&scan.files);
        Ok(scan)
    }

    /// Files with the prefix of this gateway, but for this process's, the last modified first.
    fn sibling_files(&self) -> io::Result<Vec<FileState>> {
        let own = self.file_name(self.process, "");
        let mut files = Vec::new();
        for name in self.directory.names(&self.prefix(), MAX_LISTED)? {
            let known = name.ends_with(RECORD_SUFFIX) || name.ends_with(UNFINISHED_SUFFIX);
            if !known || name.starts_with(&own) {
                continue;
            }
            match self.directory.times(&name) {
                Ok(times) => files.push(FileState { name, modified: times.modified, age: times.age }),
                Err(cause) if cause.kind() == io::ErrorKind::NotFound => {}
                // It is there; that is all that is known of it.
                Err(_) => files.push(FileState { name, modified: 0, age: 0 }),
            }
        }
        files.sort_by_key(|file| std::cmp::Reverse(file.modified));
        Ok(files)
    }

    /// Records that other gateways left, by their names.
    fn other_files(&self) -> io::Result<Vec<String>> {
        let prefix = self.prefix();
        let names = self.directory.names(PREFIX, MAX_LISTED)?;
        let others =
            names.into_iter().filter(|name| !name.starts_with(&prefix) && name.ends_with(RECORD_SUFFIX));
        Ok(others.take(MAX_RECORDS).collect())
    }

    /// `modified` stands for the content of a file that cannot be read.
    fn read_into(&self, scan: &mut Scan, name: &str, modified: u64) {
        let process = self.process_of(name, RECORD_SUFFIX);
        match self.directory.read(name, MAX_RECORD_BYTES + 1) {
            Ok(content) => self.decode_into(scan, process, &content),
            Err(cause) if cause.kind() == io::ErrorKind::NotFound => {}
            Err(_) => {
                let (fingerprint, cause) = (modified, RecordError::Damaged);
                scan.unreadable.push(UnreadableRecord { process, fingerprint, cause });
            }
        }
    }

    fn decode_into(&self, scan: &mut Scan, process: Option<u64>, content: &FileContent) {
        let fingerprint = xxh3_64_with_seed(&content.bytes, content.times.modified as u64);
        match HandoverRecord::decode(&content.bytes) {
            Ok(record) if record.gateway != self.gateway => scan.foreign.push(record.gateway),
            Ok(record) if Some(record.process) == process => {
                scan.records.push(FoundRecord { record, fingerprint, age: content.times.age });
            }
            // A copy under another name is no sibling.
            Ok(_) => {}
            Err(cause) => scan.unreadable.push(UnreadableRecord { process, fingerprint, cause }),
        }
    }

    /// Processes that have the beginning of a record and no record.
    fn unfinished(&self, files: &[FileState]) -> Vec<(u64, u64)> {
        let published = files.iter().filter_map(|file| self.process_of(&file.name, RECORD_SUFFIX));
        let published: BTreeSet<u64> = published.collect();
        let begun = files.iter().filter_map(|file| {
            let process = self.process_of(&file.name, UNFINISHED_SUFFIX)?;
            Some((process, file.modified as u64))
        });
        begun.filter(|(process, _)| !published.contains(process)).take(MAX_RECORDS).collect()
    }

    /// The process that a file of this gateway belongs to, by its name.
    fn process_of(&self, name: &str, suffix: &str) -> Option<u64> {
        let digits = name.strip_prefix(&self.prefix())?.strip_suffix(suffix)?;
        u64::from_str_radix(digits, 16).ok()
    }

    fn prefix(&self) -> String {
        format!("{PREFIX}{:08x}-", gateway_hash(&self.gateway))
    }

    fn own_record(&self) -> String {
        self.file_name(self.process, RECORD_SUFFIX)
    }

    fn file_name(&self, process: u64, suffix: &str) -> String {
        format!("{}{process:016x}{suffix}", self.prefix())
    }
}
