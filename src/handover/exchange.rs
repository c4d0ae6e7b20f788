//! This process's record, and what is known of its siblings.

use crate::handover::heartbeat::{Heartbeat, HeartbeatResult, Knowledge};
use crate::handover::record_directory::{DiskDirectory, RecordDirectory};
use crate::handover::record_store::{PublishError, RecordStore, Scan};
use crate::handover::sibling_state::State;
use crate::Time;
use petrelgauge_handover::{gateway_identity, HandoverRecord, Reservation};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// LearnedState are of use to another process for so long (microseconds): samples are of the last seconds, roles may have
/// changed since.
const BELIEFS_VALID_FOR: Time = 10_000_000;

/// This process's record, and what is known of its siblings.
pub struct Handover {
    store: RecordStore,
    /// Where the records lie, for the log.
    place: String,
    /// A digest of the settings in force.
    settings: Cell<u64>,
    state: RefCell<State>,
}

impl Handover {
    /// For a process with this number, of the gateway of this name that listens there, whose settings have this digest;
    /// records lie in `folder`.
    pub fn new(folder: PathBuf, name: &str, listen: SocketAddr, process: u64, settings: u64) -> Handover {
        let place = folder.display().to_string();
        let gateway = gateway_identity(name, &listen.to_string());
        let directory = Arc::new(DiskDirectory(folder));
        Handover { place, ..Handover::in_directory(directory, gateway, process, settings) }
    }

    /// The same with records in any directory, for the gateway of this identity.
    pub fn in_directory(
        directory: Arc<dyn RecordDirectory>,
        gateway: String,
        process: u64,
        settings: u64,
    ) -> Handover {
        let store = RecordStore::new(directory, gateway, process);
        let (place, settings) = ("its directory".to_string(), Cell::new(settings));
        Handover { store, place, settings, state: RefCell::default() }
    }

    /// Settings with this digest are in force from now on.
    pub fn follow(&self, settings: u64) {
        self.settings.set(settings);
    }

    /// The newest record of another process whose learned_state are of use here, on this process's clock, and its age
    /// (microseconds). Blocks; for the start.
    pub fn inherit(&self, now: Time) -> Option<(HandoverRecord, Time)> {
        let scan = self.store.scan();
        self.scanned(now, &scan);
        let scan = scan.ok()?;
        if let Some(gateway) = scan.foreign.first() {
            let count = scan.foreign.len();
            log::warn!("foreign handover records ignored count={count} first={gateway}");
        }
        let usable = scan.records.into_iter().filter_map(|found| {
            let record = found.record.on_reader_clock(now.saturating_sub(found.age));
            let age = record.check_settings(self.settings.get());
            let age = age.and_then(|()| record.check_age(now, BELIEFS_VALID_FOR));
            age.map(|age| (record, age))
                .map_err(|cause| log::warn!("handover record rejected cause={cause}"))
                .ok()
        });
        usable.filter(|(record, _)| !record.learned_state.is_empty()).min_by_key(|(_, age)| *age)
    }

    /// Removes this process's record: the process ends.
    pub fn withdraw(&self) {
        self.store.withdraw();
    }

    /// Makes the next heartbeat, with what this process has in flight or reserved now.
    pub fn begin(&self, now: Time, reservation: Reservation, knowledge: Knowledge) -> Heartbeat {
        let mut state = self.state.borrow_mut();
        state.publication.begin(now);
        let Knowledge { numbers, learned_state } = knowledge;
        let record = HandoverRecord {
            gateway: self.store.gateway().to_string(),
            settings: self.settings.get(),
            process: self.store.process(),
            written: now,
            reservation,
            numbers,
            learned_state,
        };
        let abandoned = std::mem::take(&mut state.abandoned);
        Heartbeat { store: self.store.clone(), begun: now, reservation, bytes: record.encode(), abandoned }
    }

    /// Learns from a heartbeat that has ended now.
    pub fn finish(&self, now: Time, result: HeartbeatResult) {
        let HeartbeatResult { begun, reservation, published, refreshed, scan } = result;
        let blind = published.is_err();
        self.published(begun, reservation, published, refreshed);
        self.scanned(now, &scan);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Ok(scan) = scan {
            let abandoned = state.retention.abandoned(now, &scan.files);
            // Where this process cannot write, its siblings may not be able to either: their files are all that is left
            // of them.
            state.abandoned = if blind { Vec::new() } else { abandoned };
        }
    }

    fn published(
        &self,
        begun: Time,
        reservation: Reservation,
        published: Result<(), PublishError>,
        refreshed: bool,
    ) {
        let publication = &mut self.state.borrow_mut().publication;
        match published {
            Ok(()) if publication.succeeded(begun, reservation) => {
                log::info!("handover record written again directory={}", self.place);
            }
            Ok(()) => {}
            Err(cause) if publication.failed(begun, refreshed) => {
                log::warn!("handover record not written directory={} cause={cause}", self.place);
            }
            Err(_) => {}
        }
    }

    fn scanned(&self, now: Time, scan: &io::Result<Scan>) {
        let mut state = self.state.borrow_mut();
        match scan {
            Ok(scan) => state.observe(now, scan, &self.place),
            Err(cause) => {
                if !std::mem::replace(&mut state.scan_failing, true) {
                    log::warn!("handover records not read directory={} cause={cause}", self.place);
                }
            }
        }
    }

    /// Siblings that are alive (count), as of the last heartbeat.
    pub fn live_siblings(&self, now: Time) -> usize {
        let state = self.state.borrow();
        state.siblings.live_count(state.scanned_at.unwrap_or(now))
    }

    /// What this process may use of the gateway's limits now.
    pub fn limit(&self, now: Time, limits: Reservation) -> Reservation {
        let state = self.state.borrow();
        if state.siblings.is_empty() {
            return limits;
        }
        let available = state.siblings.available(state.scanned_at.unwrap_or(now), limits);
        if state.scan_failing {
            state.publication.limit_unobserved(now, limits, available)
        } else {
            state.publication.limit(now, limits, available)
        }
    }
}
