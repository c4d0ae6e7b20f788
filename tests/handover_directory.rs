//! Faults of the directory that the processes of a gateway share: a full disk, I/O errors, truncated records,
//! files of killed processes. The handover exchanges of several processes share one directory in memory, in
//! simulated time.

mod faulty_directory;

use faulty_directory::{Faults, FaultyDirectory, Files, ALL_CHANGES_FAIL, DISK_FULL};
use petrelgauge::handover::{HandoverExchange, RecordContent};
use petrelgauge_handover::retention::RECORD_RETENTION;
use petrelgauge_handover::siblings::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};
use petrelgauge_handover::Reservation;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, Once};

const GATEWAY: &str = "127.0.0.1:5433 n1";
const LIMITS: Reservation = Reservation { sockets: 384, memory: 48 << 20, open_requests: 128 };
const IN_USE: Reservation = Reservation { sockets: 200, memory: 20 << 20, open_requests: 60 };
/// The part of [`LIMITS`] that [`IN_USE`] leaves.
const REMAINING: Reservation = Reservation { sockets: 184, memory: 28 << 20, open_requests: 68 };
const START: i64 = 1_000_000_000;

/// A process of the gateway.
struct Process {
    handover: HandoverExchange,
    directory: Arc<FaultyDirectory>,
    in_use: Reservation,
}

/// The processes that share one directory.
struct SharedDirectory {
    files: Arc<Mutex<Files>>,
    now: i64,
    processes: Vec<Process>,
}

impl SharedDirectory {
    fn new() -> SharedDirectory {
        install_thread_log();
        let files = Arc::new(Mutex::new(Files { now: START, ..Files::default() }));
        SharedDirectory { files, now: START, processes: Vec::new() }
    }

    fn start(&mut self, in_use: Reservation, faults: Faults) -> usize {
        let directory = FaultyDirectory { files: self.files.clone(), faults: Mutex::new(faults) };
        let directory = Arc::new(directory);
        let number = self.processes.len() as u64 + 1;
        let handover = HandoverExchange::in_directory(directory.clone(), GATEWAY.to_string(), number, 7);
        handover.inherit(self.now);
        self.processes.push(Process { handover, directory, in_use });
        self.processes.len() - 1
    }

    /// A process that uses [`IN_USE`] and a sibling that uses nothing; both have published their records.
    fn pair() -> SharedDirectory {
        let mut shared = SharedDirectory::new();
        shared.start(IN_USE, Faults::default());
        shared.start(Reservation::default(), Faults::default());
        shared.heartbeat();
        shared.heartbeat();
        assert_eq!(shared.limit(1), REMAINING);
        shared
    }

    /// Runs a heartbeat of each process in turn, and advances the time by the heartbeat interval.
    fn heartbeat(&mut self) {
        for process in &self.processes {
            let heartbeat =
                process.handover.begin_heartbeat(self.now, process.in_use, RecordContent::default());
            process.handover.finish_heartbeat(self.now, heartbeat.run());
        }
        self.now += HEARTBEAT_INTERVAL;
        self.files.lock().expect("not poisoned").now = self.now;
    }

    fn limit(&self, process: usize) -> Reservation {
        self.processes[process].handover.limit(self.now, LIMITS)
    }

    fn set_faults(&self, process: usize, faults: Faults) {
        *self.processes[process].directory.faults.lock().expect("not poisoned") = faults;
    }

    /// Runs heartbeats for a duration, and checks after each that the limits of the two processes together
    /// exceed the total by at most one minimum share.
    fn check_limits_for(&mut self, duration: i64) {
        let max_total = LIMITS.saturating_add(LIMITS.minimum_share());
        let end = self.now + duration;
        while self.now < end {
            self.heartbeat();
            let (one, other) = (self.limit(0), self.limit(1));
            let total = one.min(IN_USE).max(LIMITS.minimum_share().min(one)).saturating_add(other);
            assert_eq!(total.min(max_total), total, "{one:?} and {other:?} at {}", self.now);
        }
    }

    fn record_name(&self, process: usize) -> String {
        let files = self.files.lock().expect("not poisoned");
        let end = format!("{:016x}.letter", process + 1);
        files.by_name.keys().find(|name| name.ends_with(&end)).expect("a record").clone()
    }
}

#[test]
fn on_a_full_disk_both_keep_to_the_last_published_reservation() {
    let mut shared = SharedDirectory::pair();
    shared.set_faults(0, DISK_FULL);
    for _ in 0..4 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
        shared.heartbeat();
        assert_eq!((shared.limit(0), shared.limit(1)), (IN_USE, REMAINING));
    }
    // Lower usage frees nothing for the sibling until it can be published.
    shared.processes[0].in_use = Reservation { sockets: 5, ..IN_USE };
    shared.heartbeat();
    assert_eq!(shared.limit(1), REMAINING);
    shared.set_faults(0, Faults::default());
    shared.heartbeat();
    shared.heartbeat();
    assert_eq!(shared.limit(1).sockets, LIMITS.sockets - 5);
}

#[test]
fn a_process_that_can_write_nothing_falls_to_the_minimum_share_before_its_sibling_uses_all_limits() {
    for fault in [
        ALL_CHANGES_FAIL,
        Faults { rename: None, ..ALL_CHANGES_FAIL },
        Faults { write: None, ..ALL_CHANGES_FAIL },
    ] {
        let mut shared = SharedDirectory::pair();
        shared.set_faults(0, fault);
        let mut sibling_uses_all = false;
        for _ in 0..4 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
            shared.heartbeat();
            let (faulty, sibling) = (shared.limit(0), shared.limit(1));
            assert!(
                sibling == REMAINING || faulty == LIMITS.minimum_share(),
                "{faulty:?} beside {sibling:?}"
            );
            assert_eq!(faulty.min(IN_USE), faulty, "it never exceeds its published reservation");
            sibling_uses_all |= sibling == LIMITS;
        }
        assert!(sibling_uses_all, "the writer of a record that never changes is considered gone");
        shared.set_faults(0, Faults::default());
        shared.check_limits_for(2 * LIVENESS_TIMEOUT);
        assert_eq!(shared.limit(1), REMAINING);
    }
}

#[test]
fn while_no_process_can_write_no_file_is_removed_and_none_uses_all_limits() {
    let mut shared = SharedDirectory::pair();
    [0, 1].iter().for_each(|process| shared.set_faults(*process, ALL_CHANGES_FAIL));
    shared.check_limits_for(2 * RECORD_RETENTION);
    assert_eq!((shared.limit(0), shared.limit(1)), (LIMITS.minimum_share(), LIMITS.minimum_share()));
    [0, 1].iter().for_each(|process| shared.set_faults(*process, Faults::default()));
    shared.check_limits_for(2 * LIVENESS_TIMEOUT);
    assert_eq!(shared.limit(1), REMAINING);
}

#[test]
fn a_process_that_starts_on_a_full_disk_keeps_to_the_minimum_share() {
    let mut shared = SharedDirectory::new();
    shared.start(IN_USE, Faults::default());
    shared.heartbeat();
    shared.set_faults(0, DISK_FULL);
    let second = shared.start(Reservation::default(), DISK_FULL);
    // The second process has no file in the directory before its first heartbeat.
    shared.heartbeat();
    for _ in 0..4 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
        shared.heartbeat();
        assert_eq!(shared.limit(second), LIMITS.minimum_share());
        assert_eq!(shared.limit(0).min(IN_USE), shared.limit(0));
    }
}

#[test]
fn a_process_without_siblings_keeps_its_limits_whatever_its_directory_does() {
    let mut shared = SharedDirectory::new();
    shared.start(IN_USE, ALL_CHANGES_FAIL);
    for fault in [ALL_CHANGES_FAIL, DISK_FULL, Faults { list: Some(ErrorKind::Other), ..ALL_CHANGES_FAIL }] {
        shared.set_faults(0, fault);
        for _ in 0..2 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
            shared.heartbeat();
            assert_eq!(shared.limit(0), LIMITS);
        }
    }
}

#[test]
fn a_record_cut_at_any_byte_leaves_its_writers_reservation_in_force() {
    let mut shared = SharedDirectory::pair();
    let name = shared.record_name(0);
    let complete = shared.files.lock().expect("not poisoned").by_name[&name].0.clone();
    for cut in 0..complete.len() {
        let cut = (complete[..cut].to_vec(), shared.now);
        shared.files.lock().expect("not poisoned").by_name.insert(name.clone(), cut);
        let process = &shared.processes[1];
        let heartbeat =
            process.handover.begin_heartbeat(shared.now, process.in_use, RecordContent::default());
        process.handover.finish_heartbeat(shared.now, heartbeat.run());
        shared.now += HEARTBEAT_INTERVAL;
        assert_eq!(shared.limit(1), REMAINING);
    }
    // A process that starts now has never read the record.
    let third = shared.start(Reservation::default(), Faults::default());
    assert_eq!(shared.limit(third).sockets, LIMITS.sockets / 2);
    shared.heartbeat();
    shared.heartbeat();
    assert_eq!(shared.limit(third), REMAINING);
}

#[test]
fn a_write_cut_at_any_byte_leaves_the_old_record_in_force() {
    for cut in 0..200 {
        let mut shared = SharedDirectory::pair();
        shared.set_faults(0, Faults { write: Some((ErrorKind::StorageFull, cut)), ..DISK_FULL });
        shared.heartbeat();
        shared.heartbeat();
        assert_eq!((shared.limit(0), shared.limit(1)), (IN_USE, REMAINING));
    }
}

#[test]
fn an_unreadable_directory_does_not_free_what_siblings_reserve() {
    for fault in [
        Faults { list: Some(ErrorKind::Other), ..Faults::default() },
        Faults { list: Some(ErrorKind::Other), ..ALL_CHANGES_FAIL },
        Faults { read: Some(ErrorKind::Other), ..Faults::default() },
    ] {
        let mut shared = SharedDirectory::pair();
        shared.set_faults(1, fault);
        for _ in 0..4 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
            shared.heartbeat();
            let limit = shared.limit(1);
            assert_eq!(limit.min(REMAINING), limit);
        }
        shared.set_faults(1, Faults::default());
        (0..4).for_each(|_| shared.heartbeat());
        assert_eq!(shared.limit(1), REMAINING);
    }
}

#[test]
fn abandoned_files_are_removed_in_bounded_time() {
    let mut shared = SharedDirectory::pair();
    let prefix = shared.record_name(0).replace(&format!("{:016x}.letter", 1), "");
    let name = shared.record_name(0);
    let record = shared.files.lock().expect("not poisoned").by_name[&name].0.clone();
    let abandoned = [
        (format!("{prefix}00000000000000aa.half"), vec![7; 3]),
        (format!("{prefix}00000000000000ab.letter"), vec![7; 3]),
        (format!("{prefix}00000000000000ac.letter"), record),
    ];
    for (name, bytes) in abandoned {
        shared.files.lock().expect("not poisoned").by_name.insert(name, (bytes, START + 7_200_000_000));
    }
    let count = |shared: &SharedDirectory| shared.files.lock().expect("not poisoned").by_name.len();
    shared.heartbeat();
    assert_eq!(count(&shared), 5);
    let end = shared.now + RECORD_RETENTION + 4 * HEARTBEAT_INTERVAL;
    while shared.now < end {
        shared.heartbeat();
        assert_eq!(shared.processes[0].handover.live_sibling_count(shared.now).min(1), 1);
    }
    assert_eq!(count(&shared), 2, "only the records of the two running processes remain");
}

#[test]
fn a_failure_is_logged_once_and_so_is_its_end() {
    let mut shared = SharedDirectory::pair();
    take_logged();
    for fault in [DISK_FULL, ALL_CHANGES_FAIL, Faults { list: Some(ErrorKind::Other), ..ALL_CHANGES_FAIL }] {
        shared.set_faults(0, fault);
        (0..20).for_each(|_| shared.heartbeat());
    }
    let first = take_logged();
    assert_eq!(first.iter().filter(|line| line.contains("publishing the handover record failed")).count(), 1);
    assert_eq!(first.iter().filter(|line| line.contains("reading handover records failed")).count(), 1);
    assert_eq!(first.len(), 2, "{first:?}");
    shared.set_faults(0, Faults::default());
    (0..20).for_each(|_| shared.heartbeat());
    let then = take_logged();
    assert_eq!(
        then.iter().filter(|line| line.contains("publishing the handover record recovered")).count(),
        1
    );
    assert_eq!(then.iter().filter(|line| line.contains("reading handover records recovered")).count(), 1);
    assert_eq!(then.len(), 2, "{then:?}");
}

thread_local! {
    static LOG_LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the log messages of each thread.
struct ThreadLog;

impl log::Log for ThreadLog {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        LOG_LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

fn install_thread_log() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        log::set_logger(&ThreadLog).expect("the first logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Takes the messages that this thread has logged since the last call.
fn take_logged() -> Vec<String> {
    LOG_LINES.take()
}
