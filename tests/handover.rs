//! Replacing the process: two or three processes of one gateway share the hosts and the listening socket,
//! while either of them stops, stalls or crashes at each step.

use petrelgauge_test_support::{gateway_program, kinds, list_line, select, Gateway, Harness, Host, Reply};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

fn harness_with_shared_listener(answers: usize) -> (Harness, Host) {
    let harness = Harness::new(gateway_program!()).with_shared_listener();
    let host = harness.host((0..answers).map(|_| Reply::Row(b"v")).collect());
    let line = list_line(42, true, &harness.entries(&[(&host, "up", "primary")]));
    let harness = harness.updates(&[&line]);
    harness.serve_discovery();
    (harness, host)
}

/// Clients that send queries without a pause until they are stopped; counts their answers.
struct Load {
    stopped: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(gateway: &Gateway, clients: usize) -> Load {
        let (stopped, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let start_client = |number: usize| {
            let (stopped, answers, mut client) = (stopped.clone(), answers.clone(), gateway.client());
            thread::spawn(move || {
                for sequence in 0.. {
                    if stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let text = select("a", "view", 20000).replace("9b1f", &format!("{number}x{sequence}"));
                    let answer = client.query(&text);
                    assert_eq!(kinds(&answer), "TDCZ", "{}", String::from_utf8_lossy(&answer[0].1));
                    answers.fetch_add(1, Ordering::Relaxed);
                }
            })
        };
        let clients = (0..clients).map(start_client).collect();
        Load { stopped, answers, clients }
    }

    /// Waits for 40 more answers.
    fn wait_for_progress(&self) {
        let before = self.answers.load(Ordering::Relaxed);
        while self.answers.load(Ordering::Relaxed) < before + 40 {
            thread::sleep(Duration::from_millis(5));
            assert!(!self.clients.iter().any(thread::JoinHandle::is_finished), "a client was not served");
        }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| client.join().expect("every request was served"));
    }
}

/// The processes that have files in a handover directory, as file names without suffixes. While a process
/// replaces its record, it also has a temporary file of the same name with another suffix.
fn processes_with_files(directory: impl AsRef<std::path::Path>) -> BTreeSet<String> {
    let entries =
        std::fs::read_dir(directory).expect("a directory").map(|entry| entry.expect("an entry").path());
    entries.map(|path| path.file_stem().expect("a name").to_string_lossy().into_owned()).collect()
}

#[test]
fn a_process_takes_over_under_load_without_losing_a_request() {
    let (mut harness, _host) = harness_with_shared_listener(200_000);
    let mut old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let load = Load::start(&old, 4);
    load.wait_for_progress();
    // Gives the old process time to publish its learned state in its record.
    thread::sleep(Duration::from_millis(600));
    let before = processes_with_files(harness.handover_folder());
    assert_eq!(before.len(), 1, "{before:?}");
    let new = harness.start_another();
    new.repeat_operator_request(b"ready\n", "YES");
    old.wait_for_log_line("sibling processes changed live=1");
    old.signal("TERM");
    assert_eq!(old.wait_for_exit().0, Some(0));
    load.wait_for_progress();
    load.stop();
    new.wait_for_counter_value("requests=", |count| count > 0);
    let remaining = processes_with_files(harness.handover_folder());
    assert_eq!(remaining.len(), 1, "{remaining:?}");
    assert!(remaining.is_disjoint(&before), "the old process did not remove its record: {remaining:?}");
}

#[test]
fn a_process_started_beside_another_inherits_its_learned_state() {
    let (mut harness, _host) = harness_with_shared_listener(200_000);
    let old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let load = Load::start(&old, 2);
    load.wait_for_progress();
    thread::sleep(Duration::from_millis(600));
    let ops = harness.reserve_port();
    let mut new = harness.spawn_with_env(&harness.config(), &[("GW_OPS", &ops)]);
    assert!(new.wait_for_log_line("learned state adopted").contains(" hosts=1 "));
    new.wait_for_log_line("gateway serving");
    new.signal("TERM");
    assert_eq!(new.wait_for_exit().0, Some(0));
    load.wait_for_progress();
    load.stop();
}

#[test]
fn a_new_process_that_dies_before_it_is_ready_changes_nothing() {
    let (mut harness, _host) = harness_with_shared_listener(200_000);
    let old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let load = Load::start(&old, 3);
    for _ in 0..3 {
        let new = harness.start_another();
        new.signal("KILL");
        load.wait_for_progress();
    }
    load.stop();
    assert!(old.operator_request(b"ready\n").starts_with("YES"));
    assert_eq!(kinds(&old.client().query(&select("a", "view", 20000))), "TDCZ");
}

#[test]
fn a_stalled_old_process_does_not_keep_clients_from_the_new_one() {
    let (mut harness, _host) = harness_with_shared_listener(1000);
    let mut old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    old.signal("STOP");
    let new = harness.start_another();
    new.repeat_operator_request(b"ready\n", "YES");
    for _ in 0..8 {
        assert_eq!(kinds(&new.client().query(&select("a", "view", 20000))), "TDCZ");
    }
    // After it resumes, the old process handles the pending SIGTERM and exits.
    old.signal("TERM");
    old.signal("CONT");
    assert_eq!(old.wait_for_exit().0, Some(0));
    assert_eq!(kinds(&new.client().query(&select("a", "view", 20000))), "TDCZ");
}

#[test]
fn an_old_process_killed_while_it_drains_does_not_disturb_the_new_one() {
    let (mut harness, host) = harness_with_shared_listener(0);
    drop(host);
    let host = harness.host(vec![Reply::NoAnswer, Reply::Row(b"v"), Reply::Row(b"v")]);
    let line = list_line(43, true, &harness.entries(&[(&host, "up", "primary")]));
    harness = harness.updates(&[&line]);
    harness.serve_discovery();
    let old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let new = harness.start_another();
    new.repeat_operator_request(b"ready\n", "YES");
    old.signal("TERM");
    old.signal("KILL");
    new.wait_for_log_line("sibling processes changed live=0");
    assert!(new.operator_request(b"ready\n").starts_with("YES"));
}

#[test]
fn a_damaged_record_is_logged_and_a_third_process_is_counted() {
    let (mut harness, _host) = harness_with_shared_listener(1000);
    for (name, bytes) in [("1", &b"petrel\x01torn"[..]), ("2", b""), ("3", &[7; 5000])] {
        std::fs::write(format!("{}/petrelgauge-{name}.letter", harness.handover_folder()), bytes)
            .expect("written");
    }
    let first = harness.spawn(&harness.config());
    assert!(first
        .wait_for_log_line("handover record rejected")
        .contains("record is truncated, corrupted or unreadable"));
    first.wait_for_log_line("gateway serving");
    let processes = [harness.start_another(), harness.start_another()];
    first.wait_for_log_line("sibling processes changed live=2");
    for gateway in &processes {
        gateway.repeat_operator_request(b"ready\n", "YES");
    }
    assert_eq!(kinds(&first.client().query(&select("a", "view", 20000))), "TDCZ");
}

/// Checks that two processes whose wall clocks differ by these shifts when they start still cooperate: the
/// later one adopts the other's learned state, and each counts the other for as long as both run.
fn check_processes_with_clock_shifts(old_shift: &str, new_shift: &str) {
    let (harness, _host) = harness_with_shared_listener(200_000);
    let mut harness = harness.operator_file(&format!("clock_shift: {old_shift}"));
    let mut old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let load = Load::start(&old, 1);
    load.wait_for_progress();
    thread::sleep(Duration::from_millis(600));
    let mut harness = harness.operator_file(&format!("clock_shift: {new_shift}"));
    let ops = harness.reserve_port();
    let mut new = harness.spawn_with_env(&harness.config(), &[("GW_OPS", &ops)]);
    // Longer than the liveness timeout of an unchanged record. A fixed delay, because the test also checks
    // that a log line does not appear.
    thread::sleep(Duration::from_secs(6));
    load.wait_for_progress();
    load.stop();
    // While a record is being replaced, a temporary file lies beside it.
    let names = std::fs::read_dir(harness.handover_folder())
        .expect("a directory")
        .flatten()
        .map(|entry| entry.file_name());
    let records = names.filter(|name| name.to_string_lossy().ends_with(".letter")).count();
    assert_eq!(records, 2, "both processes have a record");
    new.signal("TERM");
    let (code, log) = new.wait_for_exit();
    assert_eq!(code, Some(0));
    let learned = log.lines().find(|line| line.contains("learned state adopted"));
    assert!(learned.is_some_and(|line| line.contains(" hosts=1 ")), "{log}");
    assert!(log.contains("sibling processes changed live=1"), "{log}");
    assert!(!log.contains("sibling processes changed live=0"), "the old process was considered gone: {log}");
    old.signal("TERM");
    let (code, log) = old.wait_for_exit();
    assert_eq!(code, Some(0));
    assert_eq!(log.matches("sibling processes changed live=1").count(), 1, "{log}");
    assert!(log.matches("sibling processes changed live=0").count() <= 1, "{log}");
}

#[test]
fn clocks_three_seconds_apart_change_nothing_between_processes() {
    check_processes_with_clock_shifts("0", "3s");
    check_processes_with_clock_shifts("3s", "0");
}

#[test]
fn clocks_a_minute_apart_change_nothing_between_processes() {
    check_processes_with_clock_shifts("0", "60s");
    check_processes_with_clock_shifts("60s", "0");
}

#[test]
fn clocks_an_hour_apart_change_nothing_between_processes() {
    check_processes_with_clock_shifts("0", "60m");
    check_processes_with_clock_shifts("60m", "0");
}

#[test]
fn a_temporarily_missing_directory_is_logged_once_and_the_process_continues() {
    let (mut harness, _host) = harness_with_shared_listener(1_000);
    let gateway = harness.start_another();
    gateway.repeat_operator_request(b"ready\n", "YES");
    std::fs::remove_dir_all(harness.handover_folder()).expect("the directory exists");
    gateway.wait_for_log_line("publishing the handover record failed");
    assert_eq!(kinds(&gateway.client().query(&select("a", "view", 20_000))), "TDCZ");
    std::fs::create_dir_all(harness.handover_folder()).expect("directory created");
    gateway.wait_for_log_line("publishing the handover record recovered");
    assert_eq!(kinds(&gateway.client().query(&select("a", "view", 20_000))), "TDCZ");
}

#[test]
fn a_descriptor_that_is_not_a_socket_is_named_in_the_error() {
    let harness = Harness::new(gateway_program!());
    let config = harness.config();
    for (text, cause) in
        [("three", "is not the number of a descriptor"), ("1", "is not the number"), ("999", "GW_ACCEPT_FD")]
    {
        let (code, log) = harness.spawn_with_env(&config, &[("GW_ACCEPT_FD", text)]).wait_for_exit();
        assert_eq!(code, Some(2));
        assert!(log.starts_with("petrelgauge: GW_ACCEPT_FD") && log.contains(cause), "{log}");
    }
}
