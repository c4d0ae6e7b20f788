//! What this process knows of its siblings from their files.

use crate::handover::record_store::Scan;
use crate::Time;
use petrelgauge_handover::publication::Publication;
use petrelgauge_handover::retention::RetentionTracker;
use petrelgauge_handover::siblings::{RecordStamp, SiblingRegistry};

#[derive(Default)]
pub(super) struct State {
    pub(super) siblings: SiblingRegistry,
    pub(super) publication: Publication,
    pub(super) retention: RetentionTracker,
    /// When the directory was last read.
    pub(super) scanned_at: Option<Time>,
    /// The last attempt to read it failed.
    pub(super) scan_failing: bool,
    /// Some record there could not be read.
    pub(super) unreadable: bool,
    /// Files that the next heartbeat removes.
    pub(super) abandoned: Vec<String>,
}

impl State {
    pub(super) fn observe(&mut self, now: Time, scan: &Scan, place: &str) {
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
