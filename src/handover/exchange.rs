//! The exchange of handover records between the processes of a gateway.

use crate::handover::exchange_state::ExchangeState;
use crate::handover::heartbeat::{Heartbeat, HeartbeatResult, RecordContent};
use crate::handover::record_directory::{DiskDirectory, RecordDirectory};
use crate::handover::record_store::{FoundRecord, RecordStore};
use crate::Time;
use petrelgauge_handover::{gateway_identity, HandoverRecord, RecordError, Reservation};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Maximum age of another process's learned state (microseconds). Its latency samples cover only the last few
/// seconds, and roles may have changed since.
const LEARNED_STATE_MAX_AGE: Time = 10_000_000;

/// Options of a [`HandoverExchange`] on disk.
pub struct ExchangeOptions<'a> {
    /// Directory of the records.
    pub directory: PathBuf,
    /// Name of the gateway. Processes with the same name and address are siblings.
    pub gateway_name: &'a str,
    /// Address at which the gateway serves clients.
    pub listen: SocketAddr,
    /// Number of this process, different from its siblings' numbers.
    pub process_id: u64,
    /// Digest of the settings in force.
    pub settings_digest: u64,
}

/// A record of another process whose learned state is valid here.
pub struct InheritedRecord {
    /// The record, with its times on this process's clock.
    pub record: HandoverRecord,
    /// Age of the record (microseconds).
    pub age: Time,
}

/// Publishes this process's record and tracks those of its siblings.
pub struct HandoverExchange {
    store: RecordStore,
    /// Name of the directory in log lines.
    directory_name: String,
    settings_digest: Cell<u64>,
    state: RefCell<ExchangeState>,
}

impl HandoverExchange {
    /// Creates an exchange through a directory of the file system.
    pub fn new(options: ExchangeOptions) -> HandoverExchange {
        let ExchangeOptions { directory, gateway_name, listen, process_id, settings_digest } = options;
        let directory_name = directory.display().to_string();
        let gateway = gateway_identity(gateway_name, &listen.to_string());
        let directory = Arc::new(DiskDirectory(directory));
        let exchange = HandoverExchange::in_directory(directory, gateway, process_id, settings_digest);
        HandoverExchange { directory_name, ..exchange }
    }

    /// Creates an exchange through any directory, for a process of the gateway with identity `gateway`.
    pub fn in_directory(
        directory: Arc<dyn RecordDirectory>,
        gateway: String,
        process_id: u64,
        settings_digest: u64,
    ) -> HandoverExchange {
        HandoverExchange {
            store: RecordStore::new(directory, gateway, process_id),
            directory_name: "handover directory".to_string(),
            settings_digest: Cell::new(settings_digest),
            state: RefCell::default(),
        }
    }

    /// Sets the digest of the settings in force, after a reload.
    pub fn set_settings_digest(&self, settings_digest: u64) {
        self.settings_digest.set(settings_digest);
    }

    /// Returns the newest record of another process whose learned state is valid here: not older than 10 s,
    /// learned under the same settings, and not empty. Blocks on file operations; called once, at startup.
    pub fn inherit(&self, now: Time) -> Option<InheritedRecord> {
        let scan = self.store.scan();
        self.state.borrow_mut().on_scan(now, &scan, &self.directory_name);
        let scan = scan.ok()?;
        if let Some(gateway) = scan.foreign_gateways.first() {
            let count = scan.foreign_gateways.len();
            log::warn!("foreign handover records ignored count={count} first={gateway}");
        }
        let mut newest: Option<InheritedRecord> = None;
        for found in scan.records {
            let inherited = match self.check_learned_state(found, now) {
                Ok(inherited) => inherited,
                Err(cause) => {
                    log::warn!("handover record rejected cause={cause}");
                    continue;
                }
            };
            let is_newer = newest.as_ref().is_none_or(|newest| inherited.age < newest.age);
            if is_newer && !inherited.record.learned_state.is_empty() {
                newest = Some(inherited);
            }
        }
        newest
    }

    /// Removes this process's record at the end of the process.
    pub fn withdraw(&self) {
        self.store.withdraw();
    }

    /// Prepares a heartbeat that publishes this process's usage and learned state.
    pub fn begin_heartbeat(&self, now: Time, usage: Reservation, content: RecordContent) -> Heartbeat {
        let mut state = self.state.borrow_mut();
        state.publication.begin(now);
        let record = HandoverRecord {
            gateway: self.store.gateway().to_string(),
            settings_digest: self.settings_digest.get(),
            process: self.store.process_id(),
            written_at: now,
            reservation: usage,
            member_ids: content.host_ids.into_iter().collect(),
            learned_state: content.learned_state,
        };
        Heartbeat {
            store: self.store.clone(),
            started_at: now,
            reservation: usage,
            record: record.encode(),
            abandoned_files: state.take_abandoned_files(),
        }
    }

    /// Processes the outcome of a heartbeat that ended at `now`.
    pub fn finish_heartbeat(&self, now: Time, result: HeartbeatResult) {
        let directory = &self.directory_name;
        let mut state = self.state.borrow_mut();
        state.on_publish(&result, directory);
        state.on_scan(now, &result.scan, directory);
        if let Ok(scan) = &result.scan {
            state.update_abandoned_files(now, scan, result.published.is_ok());
        }
    }

    /// Number of siblings that were alive at the last heartbeat.
    pub fn live_sibling_count(&self, now: Time) -> usize {
        let state = self.state.borrow();
        state.siblings.live_count(state.last_scan_or(now))
    }

    /// The part of the gateway's `limits` that this process may use at `now`.
    pub fn limit(&self, now: Time, limits: Reservation) -> Reservation {
        let state = self.state.borrow();
        if state.siblings.is_empty() {
            return limits;
        }
        let available = state.siblings.available(state.last_scan_or(now), limits);
        if state.is_scan_failing {
            state.publication.limit_unobserved(now, limits, available)
        } else {
            state.publication.limit(now, limits, available)
        }
    }

    /// Converts a record to this process's clock and checks that its learned state is valid here.
    fn check_learned_state(&self, found: FoundRecord, now: Time) -> Result<InheritedRecord, RecordError> {
        let record = found.record.on_reader_clock(now.saturating_sub(found.age));
        record.check_settings(self.settings_digest.get())?;
        let age = record.check_age(now, LEARNED_STATE_MAX_AGE)?;
        Ok(InheritedRecord { record, age })
    }
}
