//! Replacing the process: two and three processes of one gateway before the same hosts and the same listening socket,
//! with a stop, a stall or a crash of either at each step.

use petrelgauge_test_support::{gateway_program, kinds, list_line, select, Gateway, Harness, Host, Reply};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

fn shared(answers: usize) -> (Harness, Host) {
    let harness = Harness::new(gateway_program!()).with_shared_listener();
    let host = harness.host((0..answers).map(|_| Reply::Row(b"v")).collect());
    let line = list_line(42, true, &harness.entries(&[(&host, "up", "primary")]));
    let harness = harness.updates(&[&line]);
    harness.serve_discovery();
    (harness, host)
}

/// Clients that ask without a pause until they are stopped; gives how many answers there were.
struct Load {
    over: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(gateway: &Gateway, clients: usize) -> Load {
        let (over, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let ask = |number: usize| {
            let (over, answers, mut client) = (over.clone(), answers.clone(), gateway.client());
            thread::spawn(move || {
                for turn in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let text = select("a", "view", 20000).replace("9b1f", &format!("{number}x{turn}"));
                    let answer = client.query(&text);
                    assert_eq!(kinds(&answer), "TDCZ", "{}", String::from_utf8_lossy(&answer[0].1));
                    answers.fetch_add(1, Ordering::Relaxed);
                }
            })
        };
        let clients = (0..clients).map(ask).collect();
        Load { over, answers, clients }
    }

    /// Waits until there were some more answers.
    fn goes_on(&self) {
        let before = self.answers.load(Ordering::Relaxed);
        while self.answers.load(Ordering::Relaxed) < before + 40 {
            thread::sleep(Duration::from_millis(5));
            assert!(!self.clients.iter().any(thread::JoinHandle::is_finished), "a client was not served");
        }
    }

    fn end(self) {
        self.over.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| client.join().expect("every request was served"));
    }
}

/// The processes that have files in a folder of handover records: the file names without their suffixes. A process that
/// replaces its record has a half-written one beside it.
fn processes_with_files(folder: impl AsRef<std::path::Path>) -> BTreeSet<String> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    entries.map(|path| path.file_stem().expect("a name").to_string_lossy().into_owned()).collect()
}

#[test]
fn a_process_takes_over_under_load_and_no_request_is_lost() {
    let (mut harness, _host) = shared(200_000);
    let mut old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let load = Load::start(&old, 4);
    load.goes_on();
    // Its record tells what it has learned by now.
    thread::sleep(Duration::from_millis(600));
    let before = processes_with_files(harness.handover_folder());
    assert_eq!(before.len(), 1, "{before:?}");
    let new = harness.start_another();
    new.repeat_operator_request(b"ready\n", "YES");
    old.wait_for_log_line("sibling processes changed live=1");
    old.signal("TERM");
    assert_eq!(old.wait_for_exit().0, Some(0));
    load.goes_on();
    load.end();
    new.wait_for_counter_value("requests=", |count| count > 0);
    let remaining = processes_with_files(harness.handover_folder());
    assert_eq!(remaining.len(), 1, "{remaining:?}");
    assert!(remaining.is_disjoint(&before), "the old one removed its record: {remaining:?}");
}

#[test]
fn a_process_started_beside_another_inherits_its_learned_state() {
    let (mut harness, _host) = shared(200_000);
    let old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let load = Load::start(&old, 2);
    load.goes_on();
    thread::sleep(Duration::from_millis(600));
    let ops = harness.reserve_port();
    let mut new = harness.spawn_with_env(&harness.config(), &[("GW_OPS", &ops)]);
    assert!(new.wait_for_log_line("learned state adopted").contains(" hosts=1 "));
    new.wait_for_log_line("gateway serving");
    new.signal("TERM");
    assert_eq!(new.wait_for_exit().0, Some(0));
    load.goes_on();
    load.end();
}

#[test]
fn a_new_process_that_dies_before_it_is_ready_changes_nothing() {
    let (mut harness, _host) = shared(200_000);
    let old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let load = Load::start(&old, 3);
    for _ in 0..3 {
        let new = harness.start_another();
        new.signal("KILL");
        load.goes_on();
    }
    load.end();
    assert!(old.operator_request(b"ready\n").starts_with("YES"));
    assert_eq!(kinds(&old.client().query(&select("a", "view", 20000))), "TDCZ");
}

#[test]
fn a_stalled_old_process_does_not_keep_clients_from_the_new_one() {
    let (mut harness, _host) = shared(1000);
    let mut old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    old.signal("STOP");
    let new = harness.start_another();
    new.repeat_operator_request(b"ready\n", "YES");
    for _ in 0..8 {
        assert_eq!(kinds(&new.client().query(&select("a", "view", 20000))), "TDCZ");
    }
    // It wakes to find itself replaced, and goes.
    old.signal("TERM");
    old.signal("CONT");
    assert_eq!(old.wait_for_exit().0, Some(0));
    assert_eq!(kinds(&new.client().query(&select("a", "view", 20000))), "TDCZ");
}

#[test]
fn an_old_process_killed_while_it_drains_does_not_disturb_the_new_one() {
    let (mut harness, host) = shared(0);
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
    let (mut harness, _host) = shared(1000);
    for (name, bytes) in [("1", &b"petrel\x01torn"[..]), ("2", b""), ("3", &[7; 5000])] {
        std::fs::write(format!("{}/petrelgauge-{name}.letter", harness.handover_folder()), bytes)
            .expect("written");
    }
    let free = harness.spawn(&harness.config());
    assert!(free
        .wait_for_log_line("handover record rejected")
        .contains("record is truncated, corrupted or unreadable"));
    free.wait_for_log_line("gateway serving");
    let processes = [harness.start_another(), harness.start_another()];
    free.wait_for_log_line("sibling processes changed live=2");
    for gateway in &processes {
        gateway.repeat_operator_request(b"ready\n", "YES");
    }
    assert_eq!(kinds(&free.client().query(&select("a", "view", 20000))), "TDCZ");
}

/// Two processes whose wall clocks were this far apart when they started: the later one starts from what the other
/// learned, and each counts the other for as long as both run.
fn clocks_apart(old_shift: &str, new_shift: &str) {
    let (harness, _host) = shared(200_000);
    let mut harness = harness.operator_file(&format!("clock_shift: {old_shift}"));
    let mut old = harness.start_another();
    old.repeat_operator_request(b"ready\n", "YES");
    let load = Load::start(&old, 1);
    load.goes_on();
    thread::sleep(Duration::from_millis(600));
    let mut harness = harness.operator_file(&format!("clock_shift: {new_shift}"));
    let ops = harness.reserve_port();
    let mut new = harness.spawn_with_env(&harness.config(), &[("GW_OPS", &ops)]);
    // Longer than a record may stay unchanged, and no wait for a line that never comes.
    thread::sleep(Duration::from_secs(6));
    load.goes_on();
    load.end();
    // A record that is being replaced has the beginning of the next one beside it.
    let names = std::fs::read_dir(harness.handover_folder())
        .expect("a folder")
        .flatten()
        .map(|entry| entry.file_name());
    let records = names.filter(|name| name.to_string_lossy().ends_with(".letter")).count();
    assert_eq!(records, 2, "both run");
    new.signal("TERM");
    let (code, log) = new.wait_for_exit();
    assert_eq!(code, Some(0));
    let learned = log.lines().find(|line| line.contains("learned state adopted"));
    assert!(learned.is_some_and(|line| line.contains(" hosts=1 ")), "{log}");
    assert!(log.contains("sibling processes changed live=1"), "{log}");
    assert!(!log.contains("sibling processes changed live=0"), "the old one was lost sight of: {log}");
    old.signal("TERM");
    let (code, log) = old.wait_for_exit();
    assert_eq!(code, Some(0));
    assert_eq!(log.matches("sibling processes changed live=1").count(), 1, "{log}");
    assert!(log.matches("sibling processes changed live=0").count() <= 1, "{log}");
}

#[test]
fn clocks_three_seconds_apart_change_nothing_between_processes() {
    clocks_apart("0", "3s");
    clocks_apart("3s", "0");
}

#[test]
fn clocks_a_minute_apart_change_nothing_between_processes() {
    clocks_apart("0", "60s");
    clocks_apart("60s", "0");
}

#[test]
fn clocks_an_hour_apart_change_nothing_between_processes() {
    clocks_apart("0", "60m");
    clocks_apart("60m", "0");
}

#[test]
fn a_directory_that_vanishes_for_a_while_is_logged_once_and_the_process_goes_on() {
    let (mut harness, _host) = shared(1_000);
    let gateway = harness.start_another();
    gateway.repeat_operator_request(b"ready\n", "YES");
    std::fs::remove_dir_all(harness.handover_folder()).expect("it was there");
    gateway.wait_for_log_line("handover record not written");
    assert_eq!(kinds(&gateway.client().query(&select("a", "view", 20_000))), "TDCZ");
    std::fs::create_dir_all(harness.handover_folder()).expect("a place to write");
    gateway.wait_for_log_line("handover record written again");
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
