//! Request classes that change while requests of clients are queued, open or have just ended.

use petrelgauge_test_support::{
    field, gateway_program, insert, kinds, query, replace_parts, select, Client, Gateway, Harness, Host,
    Reply,
};
use std::time::Duration;

/// Longer than clients may go on to use the classes before a reload.
const OVERLAP: Duration = Duration::from_millis(2_200);

/// Reloads the configuration and waits until it is in force.
fn reload(gateway: &Gateway, config: &str) {
    gateway.reload_config(config);
    gateway.wait_for_log_line("configuration reloaded");
}

/// A read with this id.
fn read(id: &str) -> String {
    select(id, "view", 20_000).replace("9b1f", id)
}

// Regression: a SIGHUP between the answer to a request and the router's next step ended the process, if the
// request's class was no longer in force. Steps are half a second apart here, so that the reload always comes
// between them.
#[test]
fn a_reload_right_behind_an_answer_of_an_earlier_class_is_survived() {
    let harness = Harness::new(gateway_program!());
    let others = (0..3).map(|_| Reply::Row(b"other"));
    let host = harness.host(std::iter::once(Reply::WaitForRelease(b"first")).chain(others).collect());
    let harness = harness.list(&[(&host, "up", "primary")]);
    let eight_attempts =
        replace_parts(&harness.config(), &[("\"granularity_us\":5000", "\"granularity_us\":500000")]);
    let seven_attempts = replace_parts(&eight_attempts, &[("\"attempts_cap\":8", "\"attempts_cap\":7")]);
    let gateway = harness.start_with_config(&eight_attempts);
    let (mut first, mut other) = (gateway.client(), gateway.client());
    reload(&gateway, &seven_attempts);
    first.write(&query(&read("f1")));
    host.next_query();
    reload(&gateway, &eight_attempts);
    std::thread::sleep(OVERLAP);
    // The router has just stepped when this is answered, and steps again half a second later.
    assert_eq!(kinds(&other.query(&read("b1"))), "TDCZ");
    host.release();
    assert_eq!(kinds(&first.read_until_ready()), "TDCZ");
    reload(&gateway, &eight_attempts);
    assert_eq!(kinds(&other.query(&read("b2"))), "TDCZ");
    assert_eq!(kinds(&first.query(&read("f2"))), "TDCZ");
}

/// Queries in a batch that is longer than what the gateway reads ahead: a part stays in the kernel.
const BATCH: usize = 300;

const KEYED: &str = r#""idempotency":"keyed","group":"cell","window_us":30000000"#;
const SAFE: &str = r#""idempotency":"safe""#;
const UNSAFE: &str = r#""idempotency":"unsafe""#;

/// The configuration with this effect of the class of writes.
fn with_writes(config: &str, effect: &str) -> String {
    replace_parts(config, &[(KEYED, effect)])
}

/// A write with this id.
fn write(id: &str) -> String {
    insert(id, 20_000).replace("9b1f", id)
}

/// Starts a gateway before a primary with these replies. Returns its configuration too.
fn start(script: Vec<Reply>, change: impl Fn(&str) -> String) -> (Host, Gateway, String) {
    start_logging("info", script, change)
}

/// Like [`start`], with a log level. Tests with many requests would fill the pipe of a detailed log.
fn start_logging(
    level: &str,
    script: Vec<Reply>,
    change: impl Fn(&str) -> String,
) -> (Host, Gateway, String) {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(script);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config();
    harness.serve_discovery();
    let gateway = harness.spawn_with_env(&change(&config), &[("RUST_LOG", level)]);
    gateway.wait_for_log_line("gateway serving");
    (host, gateway, config)
}

/// Replies to a first query, to others, and to a write: an error that leaves open whether it has run. A second
/// attempt of the write gets a row.
fn script_with_failing_write(others: usize) -> Vec<Reply> {
    let mut script = vec![Reply::WaitForRelease(b"first")];
    script.extend((0..others).map(|_| Reply::Row(b"other")));
    script.extend([Reply::Error("XX000"), Reply::Row(b"again"), Reply::Row(b"again")]);
    script
}

/// Expects that the next answer says that the write failed and may have run.
fn expect_failed(client: &mut Client) {
    let answer = client.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "40003"));
}

// Regression: the class of a query that had to wait behind another one of its connection was looked up when
// its turn came. A write that was taken as unsafe got the safe class of a later reload, and ran twice.
#[test]
fn a_write_that_waits_for_its_turn_keeps_the_class_that_it_was_sent_under() {
    let (host, gateway, config) =
        start_logging("debug", script_with_failing_write(0), |config| with_writes(config, UNSAFE));
    let mut client = gateway.client();
    client.write(&[query(&read("a1")), query(&write("b1"))].concat());
    host.next_query();
    reload(&gateway, &with_writes(&config, SAFE));
    // Not the last settings count, nor those before, but those at the time.
    reload(&gateway, &with_writes(&config, KEYED));
    std::thread::sleep(OVERLAP);
    reload(&gateway, &with_writes(&config, SAFE));
    host.release();
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    let line = gateway.wait_for_log_line("request ended request=b1");
    assert!(line.trim_end().ends_with("settings_version=1"), "{line}");
    expect_failed(&mut client);
    assert_eq!(host.query_count(), 2);
}

// Regression: the same for a query that the gateway had not read from its socket yet. The settings of its
// connection's last read do not count either, see the next test.
#[test]
fn a_write_that_was_not_read_before_a_reload_keeps_its_class() {
    let (host, gateway, config) =
        start(script_with_failing_write(BATCH - 1), |config| with_writes(config, UNSAFE));
    let mut client = gateway.client();
    let mut queries = batch();
    queries.extend(query(&write("b1")));
    client.write(&queries);
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    reload(&gateway, &with_writes(&config, SAFE));
    std::thread::sleep(OVERLAP);
    host.release();
    expect_rows(&mut client);
    expect_failed(&mut client);
    assert_eq!(host.query_count(), BATCH + 1);
}

// While reading is paused, what comes behind a reload is told apart from what came before it.
#[test]
fn a_write_that_comes_behind_a_reload_has_its_class_though_reading_was_paused_before() {
    let (host, gateway, config) =
        start(script_with_failing_write(BATCH - 1), |config| with_writes(config, SAFE));
    let mut client = gateway.client();
    client.write(&batch());
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    reload(&gateway, &with_writes(&config, UNSAFE));
    std::thread::sleep(OVERLAP);
    client.write(&query(&write("b1")));
    host.release();
    expect_rows(&mut client);
    expect_failed(&mut client);
    assert_eq!(host.query_count(), BATCH + 1);
}

/// Reads of different ids, more than the gateway reads ahead.
fn batch() -> Vec<u8> {
    (0..BATCH).flat_map(|number| query(&read(&format!("a{number:x}")))).collect()
}

fn expect_rows(client: &mut Client) {
    for number in 0..BATCH {
        assert_eq!(kinds(&client.read_until_ready()), "TDCZ", "answer {number}");
    }
}

// Regression: the rules of a reload bind when clients know of it, 1.2 s later. A write that came in between
// was repeated, though its class allowed no repeat until then.
#[test]
fn a_class_is_repeated_more_freely_only_when_clients_know_of_it() {
    let script = [Reply::Error("XX000"), Reply::Error("XX000"), Reply::Row(b"again")];
    let (host, gateway, config) = start(script.into(), |config| with_writes(config, UNSAFE));
    let mut client = gateway.client();
    reload(&gateway, &with_writes(&config, SAFE));
    client.write(&query(&write("b1")));
    expect_failed(&mut client);
    assert_eq!(host.new_queries().len(), 1);
    std::thread::sleep(OVERLAP);
    assert_eq!(kinds(&client.query(&write("b2"))), "TDCZ");
    assert_eq!(host.new_queries().len(), 2);
}

// Regression: a second reload within the time for which clients may use a removed class ended that time.
#[test]
fn a_removed_class_is_served_for_its_time_though_another_reload_follows() {
    let (host, gateway, config) = start(vec![Reply::Row(b"v"), Reply::Row(b"v")], str::to_string);
    let without_view = replace_parts(&config, &[("\"name\":\"view\"", "\"name\":\"view-2\"")]);
    let mut client = gateway.client();
    reload(&gateway, &without_view);
    reload(&gateway, &replace_parts(&without_view, &[("\"attempts_cap\":8", "\"attempts_cap\":7")]));
    reload(&gateway, &replace_parts(&without_view, &[("\"attempts_cap\":8", "\"attempts_cap\":7")]));
    assert_eq!(kinds(&client.query(&read("a1"))), "TDCZ");
    std::thread::sleep(OVERLAP);
    assert_eq!(kinds(&client.query(&read("a2"))), "EZ");
    assert_eq!(host.query_count(), 1);
}

// A class that is dropped while a query waits, and whose time is over when its turn comes, is served.
#[test]
fn a_query_whose_class_is_dropped_while_it_waits_is_served() {
    let (host, gateway, config) =
        start(vec![Reply::WaitForRelease(b"first"), Reply::Row(b"v")], str::to_string);
    let without_view = replace_parts(&config, &[("\"name\":\"view\"", "\"name\":\"view-2\"")]);
    let mut client = gateway.client();
    client.write(&[query(&read("a1")), query(&read("a2"))].concat());
    host.next_query();
    reload(&gateway, &without_view);
    std::thread::sleep(OVERLAP);
    let shorter = replace_parts(&without_view, &[("\"deadline_us\":30000000", "\"deadline_us\":6000000")]);
    reload(&gateway, &shorter);
    host.release();
    for _ in 0..2 {
        assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    }
    assert_eq!(host.query_count(), 2);
}
