//! Records between the processes of one gateway, as files in the folder that both can write. What they say, and what
//! follows from it, stands in `petrelgauge_handover`.

use crate::facade::Facade;
use crate::net::budget::Budget;
use crate::net::clock::Clock;
use crate::net::host_names::HostNames;
use crate::Time;
use petrelgauge_handover::siblings::{Reservation, SiblingRegistry, HEARTBEAT_INTERVAL};
use petrelgauge_handover::{gateway_hash, gateway_identity, HandoverRecord, RecordError, MAX_RECORD_BYTES};
use std::cell::{Cell, RefCell};
use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// What a process has learned is of use to the next for so long (microseconds): samples are of the last seconds, roles
/// may have changed since.
const BELIEFS_VALID_FOR: Time = 10_000_000;
/// A record that nobody has renewed for so long is removed (microseconds).
const RECORD_RETENTION: Time = 60_000_000;
/// Records of this gateway, and of others, that are read at most (count). There are two processes, three by mistake.
const MAX_RECORDS: usize = 8;
const PREFIX: &str = "petrelgauge-";
const SUFFIX: &str = ".letter";

/// This process's records, and those of the others.
pub struct Handover {
    directory: RecordDirectory,
    /// A digest of the settings in force.
    settings: Cell<u64>,
    siblings: RefCell<SiblingRegistry>,
}

/// Where records lie, and who writes here.
#[derive(Clone)]
struct RecordDirectory {
    folder: PathBuf,
    /// The gateway.
    gateway: String,
    /// A number that no other process of the gateway has.
    process: u64,
}

impl Handover {
    /// Records in this folder, of the gateway of this name that listens there, by a process that goes by settings with
    /// this digest.
    pub fn new(folder: PathBuf, name: &str, listen: SocketAddr, process: u64, settings: u64) -> Handover {
        let directory =
            RecordDirectory { folder, gateway: gateway_identity(name, &listen.to_string()), process };
        Handover { directory, settings: Cell::new(settings), siblings: RefCell::default() }
    }

    /// Settings with this digest hold from now on.
    pub fn follow(&self, settings: u64) {
        self.settings.set(settings);
    }

    /// The record of the process that served last, if it is of use, and how old it is.
    pub fn inherit(&self, now: Time) -> Option<(HandoverRecord, Time)> {
        let records = self.others(now).into_iter().filter_map(|record| {
            let age = record
                .check_settings(self.settings.get())
                .and_then(|()| record.check_age(now, BELIEFS_VALID_FOR));
            age.map(|age| (record, age))
                .map_err(|cause| log::warn!("a handover record is not used: {cause}"))
                .ok()
        });
        records.filter(|(record, _)| !record.beliefs.is_empty()).min_by_key(|(_, age)| *age)
    }

    /// Records of the others that can be read. Also remembers who runs.
    fn others(&self, now: Time) -> Vec<HandoverRecord> {
        let (records, torn, foreign) = self.directory.others(now);
        if let Some(gateway) = foreign.first() {
            log::warn!(
                "{} handover records of other gateways are ignored, the first of {gateway}",
                foreign.len()
            );
        }
        torn.iter().for_each(|cause| log::warn!("a handover record is not used: {cause}"));
        self.record_seen(&records);
        records
    }

    fn record_seen(&self, records: &[HandoverRecord]) {
        let mut siblings = self.siblings.borrow_mut();
        siblings.retain(&records.iter().map(|record| record.process).collect::<Vec<_>>());
        records
            .iter()
            .for_each(|record| siblings.record_seen(record.process, record.written, record.reservation));
    }

    /// Takes this process's record away: it is over.
    pub fn withdraw(&self) {
        let _ = fs::remove_file(self.directory.own());
    }

    /// Writes and reads records for as long as the gateway runs, and keeps to what the others leave of the whole.
    pub async fn keep(
        self: Rc<Self>,
        clock: Clock,
        facade: Facade,
        budget: Rc<Budget>,
        names: Rc<HostNames>,
        whole: Rc<Cell<Reservation>>,
    ) {
        let (mut before, mut most, mut failing) = (0, whole.get(), false);
        loop {
            let now = clock.now();
            let numbers = names.all();
            let reservation = Reservation { open: facade.open(), ..budget.held() };
            let (directory, settings, beliefs) =
                (self.directory.clone(), self.settings.get(), facade.beliefs());
            let (gateway, process) = (directory.gateway.clone(), directory.process);
            let bytes =
                HandoverRecord { gateway, settings, process, written: now, reservation, numbers, beliefs }
                    .encode();
            // On a thread of its own: a write takes up to 0.4 s here where the disk is busy, and nobody who is served
            // may wait for it.
            let exchanged = tokio::task::spawn_blocking(move || {
                let written = directory.write(&bytes);
                (written, directory.others(now))
            });
            let Ok((written, (records, ..))) = exchanged.await else { continue };
            self.record_seen(&records);
            match written {
                Ok(()) => failing = false,
                Err(cause) if !std::mem::replace(&mut failing, true) => {
                    log::warn!(
                        "cannot write the handover record in {}: {cause}",
                        self.directory.folder.display()
                    );
                }
                Err(_) => {}
            }
            let now = clock.now();
            let others = self.siblings.borrow_mut().live_count(now);
            if others != std::mem::replace(&mut before, others) {
                log::info!(
                    "{others} other processes of this gateway run; their reservations are left to them"
                );
            }
            let left = self.siblings.borrow_mut().available(now, whole.get());
            if left != std::mem::replace(&mut most, left) {
                budget.limit(left.sockets, left.memory);
                facade.allow_open(left.open as u32);
            }
            clock.sleep_until(now + HEARTBEAT_INTERVAL).await;
        }
    }
}

impl RecordDirectory {
    /// Records that other processes of this gateway left, why some cannot be read, and whose the others are. Old ones of
    /// this gateway are removed.
    fn others(&self, now: Time) -> (Vec<HandoverRecord>, Vec<RecordError>, Vec<String>) {
        let (mut records, mut torn, mut foreign) = (Vec::new(), Vec::new(), Vec::new());
        for path in self.paths() {
            match read(&path) {
                Ok(record) if record.gateway != self.gateway => foreign.push(record.gateway),
                Ok(record) if record.process == self.process => {}
                Ok(record) if now.saturating_sub(record.written) > RECORD_RETENTION => {
                    drop(fs::remove_file(&path))
                }
                Ok(record) => records.push(record),
                Err(cause) => torn.push(cause),
            }
        }
        (records, torn, foreign)
    }

    /// The names that records of this gateway begin with: so many others as there may be, they are found.
    fn prefix(&self) -> String {
        format!("{PREFIX}{:08x}-", gateway_hash(&self.gateway))
    }

    fn paths(&self) -> Vec<PathBuf> {
        let (mut own, mut rest, prefix) = (Vec::new(), Vec::new(), self.prefix());
        for path in fs::read_dir(&self.folder).into_iter().flatten().flatten().map(|entry| entry.path()) {
            let name = path.file_name().and_then(|name| name.to_str()).filter(|name| name.ends_with(SUFFIX));
            match name {
                Some(name) if name.starts_with(&prefix) && own.len() < MAX_RECORDS => own.push(path),
                Some(name) if name.starts_with(PREFIX) && rest.len() < MAX_RECORDS => rest.push(path),
                _ => {}
            }
        }
        own.extend(rest);
        own
    }

    fn own(&self) -> PathBuf {
        self.folder.join(format!("{}{:016x}{SUFFIX}", self.prefix(), self.process))
    }

    /// Writes a record, whole or not at all.
    fn write(&self, bytes: &[u8]) -> std::io::Result<()> {
        let half = self.own().with_extension("half");
        fs::write(&half, bytes)?;
        fs::rename(&half, self.own())
    }
}

fn read(path: &std::path::Path) -> Result<HandoverRecord, RecordError> {
    let mut bytes = Vec::new();
    let file = fs::File::open(path).map_err(|_| RecordError::Damaged)?;
    file.take(MAX_RECORD_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(|_| RecordError::Damaged)?;
    HandoverRecord::decode(&bytes)
}
