//! The blocking part of a heartbeat: file operations alone, without access to the rest of the gateway.

use crate::handover::record_store::{PublishError, RecordStore, Scan};
use crate::{MemberId, Time};
use petrelgauge_handover::Reservation;
use petrelgauge_policy::LearnedState;
use std::collections::BTreeMap;
use std::io;

/// The part of a record that the next process adopts.
#[derive(Clone, Debug, Default)]
pub struct RecordContent {
    /// The identifier of each host, by its name.
    pub host_ids: BTreeMap<String, MemberId>,
    /// What the router has learned.
    pub learned_state: LearnedState,
}

/// A heartbeat that is ready to run.
pub struct Heartbeat {
    pub(super) store: RecordStore,
    pub(super) started_at: Time,
    /// The reservation in the record.
    pub(super) reservation: Reservation,
    /// The encoded record.
    pub(super) record: Vec<u8>,
    /// Names of files to remove.
    pub(super) abandoned_files: Vec<String>,
}

/// The outcome of a heartbeat.
pub struct HeartbeatResult {
    pub(super) started_at: Time,
    pub(super) reservation: Reservation,
    pub(super) published: Result<(), PublishError>,
    /// Whether the modification time of the last record was advanced, because a new record could not be
    /// published.
    pub(super) was_refreshed: bool,
    pub(super) scan: io::Result<Scan>,
}

impl Heartbeat {
    /// Publishes the record, removes abandoned files and reads the records of the siblings. Blocks on file
    /// operations.
    pub fn run(self) -> HeartbeatResult {
        let Heartbeat { store, started_at, reservation, record, abandoned_files } = self;
        let published = store.publish(&record);
        let was_refreshed = published.is_err() && store.refresh().is_ok();
        abandoned_files.iter().for_each(|name| store.remove_abandoned(name));
        HeartbeatResult { started_at, reservation, published, was_refreshed, scan: store.scan() }
    }
}
