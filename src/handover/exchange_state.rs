//! The state of this process's record and of its siblings, updated by each heartbeat.

use crate::handover::heartbeat::HeartbeatResult;
use crate::handover::record_store::Scan;
use crate::Time;
use petrelgauge_handover::publication::{FileRefresh, Publication};
use petrelgauge_handover::retention::RetentionTracker;
use petrelgauge_handover::siblings::{RecordStamp, SiblingRegistry};
use std::io;

/// The state of an exchange. A failure is logged only when it begins and when it ends.
#[derive(Default)]
pub(super) struct ExchangeState {
    pub(super) siblings: SiblingRegistry,
    pub(super) publication: Publication,
    retention: RetentionTracker,
    /// When the directory was last scanned.
    last_scan_at: Option<Time>,
    pub(super) is_scan_failing: bool,
    has_unreadable_records: bool,
    /// Names of files that the next heartbeat removes.
    abandoned_files: Vec<String>,
}

impl ExchangeState {
    /// When the directory was last scanned; `now` if it never was.
    pub(super) fn last_scan_or(&self, now: Time) -> Time {
        self.last_scan_at.unwrap_or(now)
    }

    pub(super) fn take_abandoned_files(&mut self) -> Vec<String> {
        std::mem::take(&mut self.abandoned_files)
    }

    /// Processes the result of publishing this process's record.
    pub(super) fn on_publish(&mut self, result: &HeartbeatResult, directory: &str) {
        match &result.published {
            Ok(()) => {
                let has_recovered = self.publication.record_success(result.started_at, result.reservation);
                if has_recovered {
                    log::info!("publishing the handover record recovered directory={directory}");
                }
            }
            Err(cause) => {
                let refresh = if result.was_refreshed { FileRefresh::Refreshed } else { FileRefresh::Failed };
                let is_first_failure = self.publication.record_failure(result.started_at, refresh);
                if is_first_failure {
                    log::warn!("publishing the handover record failed directory={directory} cause={cause}");
                }
            }
        }
    }

    /// Processes what was found in the directory.
    pub(super) fn on_scan(&mut self, now: Time, scan: &io::Result<Scan>, directory: &str) {
        match scan {
            Ok(scan) => {
                self.on_directory_readable(now, directory);
                self.report_unreadable_records(scan);
                self.observe_siblings(now, scan);
            }
            Err(cause) => {
                if !std::mem::replace(&mut self.is_scan_failing, true) {
                    log::warn!("reading handover records failed directory={directory} cause={cause}");
                }
            }
        }
    }

    /// Determines which files the next heartbeat removes. While this process cannot write, it removes none:
    /// its siblings may be unable to write too, and are known by their unchanged files alone.
    pub(super) fn update_abandoned_files(&mut self, now: Time, scan: &Scan, can_write: bool) {
        let abandoned = self.retention.find_abandoned(now, &scan.files);
        self.abandoned_files = if can_write { abandoned } else { Vec::new() };
    }

    fn on_directory_readable(&mut self, now: Time, directory: &str) {
        if std::mem::take(&mut self.is_scan_failing) {
            log::info!("reading handover records recovered directory={directory}");
            self.siblings.unobserved_for(now - self.last_scan_or(now));
        }
        self.last_scan_at = Some(now);
    }

    fn report_unreadable_records(&mut self, scan: &Scan) {
        let has_unreadable_records = !scan.unreadable.is_empty();
        let had_unreadable_records =
            std::mem::replace(&mut self.has_unreadable_records, has_unreadable_records);
        if had_unreadable_records {
            return;
        }
        for record in &scan.unreadable {
            log::warn!("handover record rejected cause={}", record.cause);
        }
    }

    fn observe_siblings(&mut self, now: Time, scan: &Scan) {
        let readable = scan.records.iter().map(|found| found.record.process);
        let unreadable = scan.unreadable.iter().filter_map(|found| found.process);
        let unfinished = scan.unfinished.iter().map(|found| found.process);
        self.siblings.retain(&readable.chain(unreadable).chain(unfinished).collect::<Vec<_>>());
        for found in &scan.records {
            let stamp = RecordStamp { written_at: found.record.written_at, fingerprint: found.fingerprint };
            self.siblings.record_seen(now, found.record.process, stamp, found.record.reservation);
        }
        for found in &scan.unreadable {
            if let Some(process) = found.process {
                self.siblings.unreadable_record_seen(now, process, found.fingerprint);
            }
        }
        for found in &scan.unfinished {
            self.siblings.unfinished_record_seen(now, found.process, found.fingerprint);
        }
    }
}
