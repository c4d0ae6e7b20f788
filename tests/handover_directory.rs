//! Faults of the directory that the processes of a gateway share: a full disk, I/O errors, truncated records, files of
//! killed processes. The exchanges of several processes share one directory in memory, in simulated time.

mod faulty_directory;

use faulty_directory::{Faults, FaultyDirectory, Files, BROKEN, FULL};
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
/// What [`IN_USE`] leaves of the limits.
const REST: Reservation = Reservation { sockets: 184, memory: 28 << 20, open_requests: 68 };
const START: i64 = 1_000_000_000;

/// A process of the gateway.
struct Process {
    handover: HandoverExchange,
    directory: Arc<FaultyDirectory>,
    in_use: Reservation,
}

/// The processes that share one directory.
struct Machine {
    files: Arc<Mutex<Files>>,
    now: i64,
    processes: Vec<Process>,
}

impl Machine {
    fn new() -> Machine {
        log_to_thread();
        let files = Arc::new(Mutex::new(Files { now: START, ..Files::default() }));
        Machine { files, now: START, processes: Vec::new() }
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
    fn pair() -> Machine {
        let mut machine = Machine::new();
        machine.start(IN_USE, Faults::default());
        machine.start(Reservation::default(), Faults::default());
        machine.heartbeat();
        machine.heartbeat();
        assert_eq!(machine.limit(1), REST);
        machine
    }

    /// Makes a heartbeat of each process in turn, and waits for the interval between heartbeats.
    fn heartbeat(&mut self) {
        for process in &self.processes {
            let heartbeat =
                process.handover.begin_heartbeat(self.now, process.in_use, RecordContent::default());
            process.handover.finish_heartbeat(self.now, heartbeat.run());
        }
        self.now += HEARTBEAT_INTERVAL;
        self.files.lock().expect("no panic").now = self.now;
    }

    fn limit(&self, process: usize) -> Reservation {
        self.processes[process].handover.limit(self.now, LIMITS)
    }

    fn fault(&self, process: usize, faults: Faults) {
        *self.processes[process].directory.faults.lock().expect("no panic") = faults;
    }

    /// Makes heartbeats for a span, and checks after each that the two processes together may not exceed the limits by more
    /// than one minimum share.
    fn stays_within_limits_for(&mut self, span: i64) {
        let most = LIMITS.saturating_add(LIMITS.minimum_share());
        let end = self.now + span;
        while self.now < end {
            self.heartbeat();
            let (one, other) = (self.limit(0), self.limit(1));
            let all = one.min(IN_USE).max(LIMITS.minimum_share().min(one)).saturating_add(other);
            assert_eq!(all.min(most), all, "{one:?} and {other:?} at {}", self.now);
        }
    }

    fn record_name(&self, process: usize) -> String {
        let files = self.files.lock().expect("no panic");
        let end = format!("{:016x}.letter", process + 1);
        files.by_name.keys().find(|name| name.ends_with(&end)).expect("a record").clone()
    }
}

#[test]
fn on_a_full_disk_both_keep_to_what_the_last_record_states() {
    let mut machine = Machine::pair();
    machine.fault(0, FULL);
    for _ in 0..4 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
        machine.heartbeat();
        assert_eq!((machine.limit(0), machine.limit(1)), (IN_USE, REST));
    }
    // A lower usage frees nothing while it cannot be published.
    machine.processes[0].in_use = Reservation { sockets: 5, ..IN_USE };
    machine.heartbeat();
    assert_eq!(machine.limit(1), REST);
    machine.fault(0, Faults::default());
    machine.heartbeat();
    machine.heartbeat();
    assert_eq!(machine.limit(1).sockets, LIMITS.sockets - 5);
}

#[test]
fn a_process_that_can_write_nothing_falls_to_the_minimum_share_before_its_sibling_uses_all_limits() {
    for fault in [BROKEN, Faults { rename: None, ..BROKEN }, Faults { write: None, ..BROKEN }] {
        let mut machine = Machine::pair();
        machine.fault(0, fault);
        let mut taken = false;
        for _ in 0..4 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
            machine.heartbeat();
            let (blind, sibling) = (machine.limit(0), machine.limit(1));
            assert!(sibling == REST || blind == LIMITS.minimum_share(), "{blind:?} beside {sibling:?}");
            assert_eq!(blind.min(IN_USE), blind, "never more than it has stated");
            taken |= sibling == LIMITS;
        }
        assert!(taken, "a record that never changes is one of a process that is gone");
        machine.fault(0, Faults::default());
        machine.stays_within_limits_for(2 * LIVENESS_TIMEOUT);
        assert_eq!(machine.limit(1), REST);
    }
}

#[test]
fn while_no_process_can_write_no_file_is_removed_and_none_uses_all_limits() {
    let mut machine = Machine::pair();
    [0, 1].iter().for_each(|process| machine.fault(*process, BROKEN));
    machine.stays_within_limits_for(2 * RECORD_RETENTION);
    assert_eq!((machine.limit(0), machine.limit(1)), (LIMITS.minimum_share(), LIMITS.minimum_share()));
    [0, 1].iter().for_each(|process| machine.fault(*process, Faults::default()));
    machine.stays_within_limits_for(2 * LIVENESS_TIMEOUT);
    assert_eq!(machine.limit(1), REST);
}

#[test]
fn a_process_that_starts_on_a_full_disk_keeps_to_the_minimum_share() {
    let mut machine = Machine::new();
    machine.start(IN_USE, Faults::default());
    machine.heartbeat();
    machine.fault(0, FULL);
    let second = machine.start(Reservation::default(), FULL);
    // Before its first heartbeat the second process leaves no trace.
    machine.heartbeat();
    for _ in 0..4 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
        machine.heartbeat();
        assert_eq!(machine.limit(second), LIMITS.minimum_share());
        assert_eq!(machine.limit(0).min(IN_USE), machine.limit(0));
    }
}

#[test]
fn a_process_without_siblings_keeps_its_limits_whatever_its_directory_does() {
    let mut machine = Machine::new();
    machine.start(IN_USE, BROKEN);
    for fault in [BROKEN, FULL, Faults { list: Some(ErrorKind::Other), ..BROKEN }] {
        machine.fault(0, fault);
        for _ in 0..2 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
            machine.heartbeat();
            assert_eq!(machine.limit(0), LIMITS);
        }
    }
}

#[test]
fn a_record_cut_at_any_byte_leaves_its_writers_reservation_in_force() {
    let mut machine = Machine::pair();
    let name = machine.record_name(0);
    let complete = machine.files.lock().expect("no panic").by_name[&name].0.clone();
    for cut in 0..complete.len() {
        let cut = (complete[..cut].to_vec(), machine.now);
        machine.files.lock().expect("no panic").by_name.insert(name.clone(), cut);
        let process = &machine.processes[1];
        let heartbeat =
            process.handover.begin_heartbeat(machine.now, process.in_use, RecordContent::default());
        process.handover.finish_heartbeat(machine.now, heartbeat.run());
        machine.now += HEARTBEAT_INTERVAL;
        assert_eq!(machine.limit(1), REST);
    }
    // A process that starts now has never read the record.
    let third = machine.start(Reservation::default(), Faults::default());
    assert_eq!(machine.limit(third).sockets, LIMITS.sockets / 2);
    machine.heartbeat();
    machine.heartbeat();
    assert_eq!(machine.limit(third), REST);
}

#[test]
fn a_write_cut_at_any_byte_leaves_the_old_record_in_force() {
    for cut in 0..200 {
        let mut machine = Machine::pair();
        machine.fault(0, Faults { write: Some((ErrorKind::StorageFull, cut)), ..FULL });
        machine.heartbeat();
        machine.heartbeat();
        assert_eq!((machine.limit(0), machine.limit(1)), (IN_USE, REST));
    }
}

#[test]
fn an_unreadable_directory_does_not_free_what_siblings_reserve() {
    for fault in [
        Faults { list: Some(ErrorKind::Other), ..Faults::default() },
        Faults { list: Some(ErrorKind::Other), ..BROKEN },
        Faults { read: Some(ErrorKind::Other), ..Faults::default() },
    ] {
        let mut machine = Machine::pair();
        machine.fault(1, fault);
        for _ in 0..4 * LIVENESS_TIMEOUT / HEARTBEAT_INTERVAL {
            machine.heartbeat();
            let limit = machine.limit(1);
            assert_eq!(limit.min(REST), limit);
        }
        machine.fault(1, Faults::default());
        (0..4).for_each(|_| machine.heartbeat());
        assert_eq!(machine.limit(1), REST);
    }
}

#[test]
fn abandoned_files_are_removed_in_bounded_time() {
    let mut machine = Machine::pair();
    let prefix = machine.record_name(0).replace(&format!("{:016x}.letter", 1), "");
    let name = machine.record_name(0);
    let record = machine.files.lock().expect("no panic").by_name[&name].0.clone();
    let left = [
        (format!("{prefix}00000000000000aa.half"), vec![7; 3]),
        (format!("{prefix}00000000000000ab.letter"), vec![7; 3]),
        (format!("{prefix}00000000000000ac.letter"), record),
    ];
    for (name, bytes) in left {
        machine.files.lock().expect("no panic").by_name.insert(name, (bytes, START + 7_200_000_000));
    }
    let count = |machine: &Machine| machine.files.lock().expect("no panic").by_name.len();
    machine.heartbeat();
    assert_eq!(count(&machine), 5);
    let end = machine.now + RECORD_RETENTION + 4 * HEARTBEAT_INTERVAL;
    while machine.now < end {
        machine.heartbeat();
        assert_eq!(machine.processes[0].handover.live_sibling_count(machine.now).min(1), 1);
    }
    assert_eq!(count(&machine), 2, "the records of the two that run are left");
}

#[test]
fn a_failure_is_logged_once_and_so_is_its_end() {
    let mut machine = Machine::pair();
    logged();
    for fault in [FULL, BROKEN, Faults { list: Some(ErrorKind::Other), ..BROKEN }] {
        machine.fault(0, fault);
        (0..20).for_each(|_| machine.heartbeat());
    }
    let first = logged();
    assert_eq!(first.iter().filter(|line| line.contains("publishing the handover record failed")).count(), 1);
    assert_eq!(first.iter().filter(|line| line.contains("reading handover records failed")).count(), 1);
    assert_eq!(first.len(), 2, "{first:?}");
    machine.fault(0, Faults::default());
    (0..20).for_each(|_| machine.heartbeat());
    let then = logged();
    assert_eq!(
        then.iter().filter(|line| line.contains("publishing the handover record recovered")).count(),
        1
    );
    assert_eq!(then.iter().filter(|line| line.contains("reading handover records recovered")).count(), 1);
    assert_eq!(then.len(), 2, "{then:?}");
}

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps what a thread logs.
struct ThreadLog;

impl log::Log for ThreadLog {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

fn log_to_thread() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        log::set_logger(&ThreadLog).expect("the first logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// What this thread has logged since the last call.
fn logged() -> Vec<String> {
    LINES.take()
}
