//! One heartbeat: replaces this process's record and reads those of its siblings.

use crate::handover::record_store::{PublishError, RecordStore, Scan};
use crate::{MemberId, Time};
use petrelgauge_handover::Reservation;
use petrelgauge_policy::LearnedState;
use std::io;

/// What a record passes on of what its writer knows.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// The number of each member, by its name.
    pub numbers: Vec<(String, MemberId)>,
    /// What the decisions have learned.
    pub learned_state: LearnedState,
}

/// A heartbeat to make, on a thread that may block.
pub struct Heartbeat {
    pub(super) store: RecordStore,
    pub(super) begun: Time,
    pub(super) reservation: Reservation,
    pub(super) bytes: Vec<u8>,
    pub(super) abandoned: Vec<String>,
}

/// What came of a heartbeat.
pub struct HeartbeatResult {
    pub(super) begun: Time,
    pub(super) reservation: Reservation,
    pub(super) published: Result<(), PublishError>,
    /// The record was not replaced, but shows that this process runs.
    pub(super) refreshed: bool,
    pub(super) scan: io::Result<Scan>,
}

impl Heartbeat {
    /// Replaces the record, removes what is abandoned and reads what is there. Blocks.
    pub fn run(self) -> HeartbeatResult {
        let Heartbeat { store, begun, reservation, bytes, abandoned } = self;
        let published = store.publish(&bytes);
        let refreshed = published.is_err() && store.refresh().is_ok();
        abandoned.iter().for_each(|name| store.remove_abandoned(name));
        HeartbeatResult { begun, reservation, published, refreshed, scan: store.scan() }
    }
}
