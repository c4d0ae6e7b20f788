//! Keeps this process's handover record up to date, reads those of its siblings, and holds the process to what they leave
//! of the gateway's limits. What follows from a record is decided in `petrelgauge_handover`.
//!
//! One heartbeat writes and reads; it may take long or fail. [`Handover::begin`] makes one, [`Heartbeat::run`] blocks for
//! it, and [`Handover::finish`] learns from it. [`Handover::limit`] may be asked at any time, also while one is out.

pub mod record_directory;
pub mod record_store;

use crate::discovery::host_names::HostNames;
use crate::facade::Facade;
use crate::handover::record_directory::{DiskDirectory, RecordDirectory};
use crate::handover::record_store::{PublishError, RecordStore, Scan};
use crate::os::clock::Clock;
use crate::resources::budget::Budget;
use crate::{MemberId, Time};
use petrelgauge_handover::publication::Publication;
use petrelgauge_handover::retention::RetentionTracker;
use petrelgauge_handover::siblings::{RecordStamp, SiblingRegistry, HEARTBEAT_INTERVAL};
use petrelgauge_handover::{gateway_identity, HandoverRecord, Reservation};
use petrelgauge_policy::LearnedState;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
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

#[derive(Default)]
struct State {
    siblings: SiblingRegistry,
    publication: Publication,
    retention: RetentionTracker,
    /// When the directory was last read.
    scanned_at: Option<Time>,
    /// The last attempt to read it failed.
    scan_failing: bool,
    /// Some record there could not be read.
    unreadable: bool,
    /// Files that the next heartbeat removes.
    abandoned: Vec<String>,
}

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
    store: RecordStore,
    begun: Time,
    reservation: Reservation,
    bytes: Vec<u8>,
    abandoned: Vec<String>,
}

/// What came of a heartbeat.
pub struct HeartbeatResult {
    begun: Time,
    reservation: Reservation,
    published: Result<(), PublishError>,
    /// The record was not replaced, but shows that this process runs.
    refreshed: bool,
    scan: io::Result<Scan>,
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

    /// Makes heartbeats for as long as the gateway runs, and keeps the process to its limit.
    pub async fn keep(
        self: Rc<Self>,
        clock: Clock,
        facade: Facade,
        budget: Rc<Budget>,
        names: Rc<HostNames>,
        limits: Rc<Cell<Reservation>>,
    ) {
        let mut enforcer = Enforcer { handover: self.clone(), clock, facade, budget, limits, enforced: None };
        let mut siblings = 0;
        loop {
            let knowledge = Knowledge {
                numbers: names.all().into_iter().collect(),
                learned_state: enforcer.facade.read(|table| table.learned_state()),
            };
            let heartbeat = self.begin(clock.now(), enforcer.in_use(), knowledge);
            // On a thread of its own: a write takes up to 0.4 s here where the disk is busy, and nobody who is served
            // may wait for it.
            let mut running = tokio::task::spawn_blocking(move || heartbeat.run());
            let result = loop {
                tokio::select! {
                    result = &mut running => break result,
                    () = clock.sleep_until(clock.now() + HEARTBEAT_INTERVAL) => enforcer.enforce(),
                }
            };
            // Without a result nothing was learned, and the publication grows old.
            if let Ok(result) = result {
                self.finish(clock.now(), result);
            }
            let live = self.live_siblings(clock.now());
            if live != std::mem::replace(&mut siblings, live) {
                log::info!("sibling processes changed live={live}");
            }
            enforcer.enforce();
            clock.sleep_until(clock.now() + HEARTBEAT_INTERVAL).await;
        }
    }
}

impl State {
    fn observe(&mut self, now: Time, scan: &Scan, place: &str) {
        if std::mem::take(&mut self.scan_failing) {
            log::info!("handover records read again directory={place}");
            let span = now - self.scanned_at.unwrap_or(now);
            self.siblings.unobserved_for(span);
        }
        self.scanned_at = Some(now);
        if scan.unreadable.is_empty() {
            self.unreadable = false;
        } else if !std::mem::replace(&mut self.unreadable, true) {
            let causes = scan.unreadable.iter().map(|record| record.cause);
            causes.for_each(|cause| log::warn!("handover record rejected cause={cause}"));
        }
        self.observe_siblings(now, scan);
    }

    fn observe_siblings(&mut self, now: Time, scan: &Scan) {
        let unreadable = scan.unreadable.iter().filter_map(|found| Some((found.process?, found.fingerprint)));
        let unreadable: Vec<(u64, u64)> = unreadable.collect();
        let readable = scan.records.iter().map(|found| found.record.process);
        let begun = unreadable.iter().chain(&scan.unfinished).map(|(process, _)| *process);
        self.siblings.retain(&readable.chain(begun).collect::<Vec<_>>());
        for found in &scan.records {
            let stamp = RecordStamp { written: found.record.written, fingerprint: found.fingerprint };
            self.siblings.record_seen(now, found.record.process, stamp, found.record.reservation);
        }
        for (process, fingerprint) in unreadable {
            self.siblings.unreadable_record_seen(now, process, fingerprint);
        }
        for (process, fingerprint) in &scan.unfinished {
            self.siblings.unfinished_record_seen(now, *process, *fingerprint);
        }
    }
}

/// Holds the process to its limit.
struct Enforcer {
    handover: Rc<Handover>,
    clock: Clock,
    facade: Facade,
    budget: Rc<Budget>,
    /// The gateway's limits.
    limits: Rc<Cell<Reservation>>,
    /// The limit in force; at first the gateway's.
    enforced: Option<Reservation>,
}

impl Enforcer {
    fn in_use(&self) -> Reservation {
        Reservation { open: self.facade.read(|table| table.open_request_count()), ..self.budget.usage() }
    }

    fn enforce(&mut self) {
        let limit = self.handover.limit(self.clock.now(), self.limits.get());
        if limit != self.enforced.replace(limit).unwrap_or(self.limits.get()) {
            self.budget.set_limits(limit.sockets, limit.memory);
            self.facade.update(|table| table.set_max_open_requests(limit.open as u32));
        }
    }
}
