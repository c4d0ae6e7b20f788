//! The remaining time that a gateway states to a host is at most what its client has left, however long it
//! took to send the query. A wait that takes longer than planned only lowers the remaining time, so that a
//! slow machine does not fail these tests.

use petrelgauge_test_support::{
    gateway_program, gateway_with_primary, kinds, query, row, select, with_long_connect_timeout, Harness,
    Reply,
};
use std::time::Duration;

/// The time that the clients' queries state (milliseconds).
const WAIT_MS: u64 = 20_000;
/// Delay between a client's query and the time at which it can be sent to a host (milliseconds).
const DELAY_MS: u64 = 1_000;
/// By how much the time stated to a host may exceed the remaining time (milliseconds).
const SLACK_MS: u64 = 150;

fn delay() {
    std::thread::sleep(Duration::from_millis(DELAY_MS));
}

/// The time that a query states, in milliseconds.
fn time_left(text: &str) -> u64 {
    let from = text.find(",d=").expect("it states a time") + 3;
    let digits: String = text[from..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

fn expect_delay_subtracted(text: &str) {
    let stated = time_left(text);
    assert!(stated > 0 && stated <= WAIT_MS - DELAY_MS + SLACK_MS, "{stated} stated in {text}");
}

#[test]
fn the_stated_time_excludes_a_slow_connect() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host_holding_startups(0, vec![Reply::Row(b"a")]);
    let gateway =
        harness.list(&[(&host, "up", "primary")]).start_with_changed_config(with_long_connect_timeout);
    let mut client = gateway.client();
    client.write(&query(&select("a", "view", WAIT_MS)));
    host.next_connection();
    delay();
    host.release();
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    expect_delay_subtracted(&host.next_query());
}

#[test]
fn the_stated_time_of_a_retry_excludes_the_attempt_before_it() {
    let (host, gateway) =
        gateway_with_primary(gateway_program!(), vec![Reply::CloseOnRelease, Reply::Row(b"a")]);
    let mut client = gateway.client();
    client.write(&query(&select("a", "view", WAIT_MS)));
    assert!(time_left(&host.next_query()) <= WAIT_MS);
    delay();
    host.release();
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    expect_delay_subtracted(&host.next_query());
}

#[test]
fn the_stated_time_of_a_pipelined_query_excludes_the_one_before_it() {
    let (host, gateway) =
        gateway_with_primary(gateway_program!(), vec![Reply::WaitForRelease(b"a"), Reply::Row(b"b")]);
    let mut client = gateway.client();
    client.write(&query(&select("a", "view", WAIT_MS)).repeat(2));
    host.next_query();
    delay();
    host.release();
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    expect_delay_subtracted(&host.next_query());
}

// The gateway once read nothing while it wrote an answer, so that the time of a query that arrived meanwhile
// was counted from the end of that answer.
#[test]
fn the_stated_time_excludes_the_rest_of_an_answer_that_is_being_written() {
    let harness = Harness::new(gateway_program!());
    let value: &'static [u8] = vec![7; 4 << 20].leak();
    let host = harness.host(vec![Reply::Row(value), Reply::Row(b"b")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.client();
    client.write(&query(&select("a", "view", WAIT_MS)));
    host.next_query();
    // The row has begun, and is longer than the socket buffers.
    client.read_bytes(1);
    client.write(&query(&select("b", "view", WAIT_MS)));
    delay();
    client.read_bytes(row(value).len() - 1);
    assert_eq!(kinds(&client.read_until_ready()), "Z");
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    expect_delay_subtracted(&host.next_query());
}
