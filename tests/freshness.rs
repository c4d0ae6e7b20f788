//! Deployments whose hosts do not check the staleness of reads: the gateway alone prevents stale reads, until
//! the first byte of each attempt is sent. A host answers a startup message only when the test allows it, and
//! in the meantime the last known position of the host grows old.

use petrelgauge_test_support::{
    field, gateway_program, insert, kinds, list_line, query, replace_parts, select, unix_ms,
    with_long_connect_timeout, with_unchecked_reads, Client, Gateway, Harness, Host, ReadClass, Reply,
};
use std::time::Duration;

/// A configuration whose hosts do not check their lag. Besides the class that reads data of any age,
/// `bounded` reads data that is at most 4 s old and `newest` reads the newest data. The connect timeout is
/// long, and attempts in flight are not cancelled.
fn unchecked(config: &str) -> String {
    let classes = [
        ReadClass { name: "bounded", read_level: "lag_bound", staleness_bound_us: 4_000_000 },
        ReadClass { name: "newest", read_level: "strong", staleness_bound_us: 0 },
    ];
    let config = with_long_connect_timeout(&with_unchecked_reads(config, &classes));
    replace_parts(&config, &[("\"cancel\":true", "\"cancel\":false")])
}

fn read_query(class: &str, id: &str, wait_ms: u64) -> Vec<u8> {
    query(&select("a", class, wait_ms).replace("9b1f", id))
}

// The staleness bound was once checked when the attempt was decided, but not when it was sent.
#[test]
fn a_bounded_read_is_not_sent_once_the_known_position_of_its_host_is_too_old() {
    let harness = Harness::new(gateway_program!());
    let at = unix_ms();
    let host = harness
        .host_holding_startups(1, vec![Reply::ReplicaAt(b"v", at), Reply::NoAnswer, Reply::Row(b"old")]);
    let gateway = harness.list(&[(&host, "up", "standby")]).start_with_changed_config(unchecked);
    let (mut first, mut second, mut third) = (gateway.client(), gateway.client(), gateway.client());
    first.write(&read_query("view", "1", 25_000));
    assert_eq!(kinds(&first.read_until_ready()), "TDCZ");
    gateway.wait_until_reusable();
    // The position of the host is known now, and the next read reuses the existing connection.
    second.write(&read_query("bounded", "2", 25_000));
    assert!(host.next_query().contains("c=view") && host.next_query().contains("c=bounded"));
    third.write(&read_query("bounded", "3", 12_000));
    host.next_connection();
    // The only wait by the clock: until that position is more than 4 s old.
    std::thread::sleep(Duration::from_millis((at + 4_300).saturating_sub(unix_ms())));
    host.release();
    gateway.wait_for_counter(" NotWanted=1");
    let answer = third.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(host.query_count(), 2);
}

// The host reported that it is no longer the primary while the connection was being established.
#[test]
fn a_strong_read_is_not_sent_to_a_host_that_has_reported_meanwhile_that_it_is_no_primary() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host_holding_startups(0, vec![Reply::ReplicaAt(b"v", unix_ms()), Reply::Row(b"old")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start_with_changed_config(unchecked);
    let (mut first, mut second) = (gateway.client(), gateway.client());
    first.write(&read_query("view", "1", 25_000));
    host.next_connection();
    second.write(&read_query("newest", "2", 8_000));
    // Its connection is being established, after the other one.
    gateway.wait_for_counter_value("host_connects=", |count| count >= 2);
    host.release();
    assert_eq!(kinds(&first.read_until_ready()), "TDCZ");
    host.next_connection();
    // The router processes the answer some milliseconds later; its report takes effect after 0.1 s.
    gateway.wait_until_reusable();
    host.release();
    gateway.wait_for_counter(" NotWanted=1");
    let answer = second.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(host.query_count(), 1);
}

// A read that is still fresh enough is sent on a connection that was established late.
#[test]
fn a_bounded_read_is_sent_while_the_known_position_of_its_host_is_new_enough() {
    let harness = Harness::new(gateway_program!());
    let at = unix_ms();
    let script = vec![Reply::ReplicaAt(b"v", at), Reply::NoAnswer, Reply::ReplicaAt(b"new", at)];
    let host = harness.host_holding_startups(1, script);
    let gateway = harness
        .list(&[(&host, "up", "standby")])
        .start_with_changed_config(|config| unchecked(config).replace("4000000,0]", "60000000,0]"));
    let (mut first, mut second, mut third) = (gateway.client(), gateway.client(), gateway.client());
    first.write(&read_query("view", "1", 25_000));
    first.read_until_ready();
    gateway.wait_until_reusable();
    second.write(&read_query("bounded", "2", 25_000));
    assert!(host.next_query().contains("c=view") && host.next_query().contains("c=bounded"));
    third.write(&read_query("bounded", "3", 25_000));
    host.next_connection();
    host.release();
    assert_eq!(kinds(&third.read_until_ready()), "TDCZ");
    assert_eq!(host.query_count(), 3);
}

/// Like `unchecked`, but `newest` reads what its session has written. Session `a` is the one that writes.
fn unchecked_with_sessions(config: &str) -> String {
    replace_parts(&unchecked(config), &[("\"strong\"]", "\"causal\"]")])
}

fn write(id: &str, wait_ms: u64) -> Vec<u8> {
    query(&insert("a", wait_ms).replace("9b1f", id))
}

/// A primary that starts to drain while a write of session `a` is in flight on it, and a replica whose known
/// position is `at`. The primary answers the write with `reply`.
fn write_in_flight_on_a_draining_primary(reply: Reply, at: u64) -> (Gateway, [Host; 2], Client) {
    let harness = Harness::new(gateway_program!());
    let hosts = [
        harness.host(vec![reply]),
        harness.host((0..30).map(|_| Reply::ReplicaAt(b"replica", at)).collect()),
    ];
    let draining = harness.entries(&[(&hosts[0], "draining", "primary"), (&hosts[1], "up", "standby")]);
    let harness = harness.later_updates(&[&list_line(42, false, &draining)]);
    let gateway = harness
        .list(&[(&hosts[0], "up", "primary"), (&hosts[1], "up", "standby")])
        .start_with_changed_config(unchecked_with_sessions);
    let mut writer = gateway.client();
    writer.write(&write("1", 25_000));
    hosts[0].next_query();
    gateway.send_later_updates();
    gateway.wait_for_counter_value("lists=", |count| count >= 2);
    let mut client = gateway.client();
    client.write(&read_query("view", "2", 25_000));
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    assert_eq!(hosts[1].query_count(), 1);
    (gateway, hosts, writer)
}

// Connections went silent while a write on them was served. The answer of a write counts as known 0.1 s after
// it was written, and reads of the same session were then sent to replicas that lacked the write.
#[test]
fn a_session_read_sees_what_an_unanswered_write_of_its_session_may_have_committed() {
    let (gateway, hosts, writer) = write_in_flight_on_a_draining_primary(Reply::NoAnswer, unix_ms());
    // The only wait by the clock: longer than the 0.1 s after which a written answer counts as known.
    std::thread::sleep(Duration::from_millis(400));
    let mut reader = gateway.client();
    reader.write(&read_query("newest", "3", 4_000));
    let answer = reader.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(hosts[1].query_count(), 0, "the replica lacks what was committed since");
    // Reads of another session are not affected.
    reader.write(&query(&select("b", "newest", 25_000)));
    assert_eq!(kinds(&reader.read_until_ready()), "TDCZ");
    drop(writer);
}

// The answer of a write was once discarded when its client had disconnected before it arrived.
#[test]
fn a_session_read_sees_a_write_that_was_answered_after_its_client_disconnected() {
    let start = unix_ms();
    let (reply, at) = (Reply::RowAtOnRelease(b"v", start + 1_100), start + 900);
    let (gateway, hosts, writer) = write_in_flight_on_a_draining_primary(reply, at);
    drop(writer);
    // The write is assumed to be committed by now, at a position that the replica has.
    gateway.wait_for_counter("left=1 ");
    // The only wait by the clock: the write is committed after that, and after the replica's position.
    std::thread::sleep(Duration::from_millis((start + 1_200).saturating_sub(unix_ms())));
    hosts[0].release();
    gateway.wait_for_counter(" Served=2");
    let mut reader = gateway.client();
    reader.write(&read_query("newest", "3", 4_000));
    let answer = reader.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(hosts[1].query_count(), 0);
}

// The answer itself reports that the host is no primary, and how old its data are.
#[test]
fn an_answer_that_reports_data_older_than_its_bound_is_not_delivered() {
    let harness = Harness::new(gateway_program!());
    let old = unix_ms() - 60_000;
    let former_primary = harness.host(vec![Reply::ReplicaAt(b"old", old)]);
    let gateway = harness.list(&[(&former_primary, "up", "primary")]).start_with_changed_config(unchecked);
    let mut client = gateway.client();
    client.write(&read_query("bounded", "1", 2_000));
    let answer = client.read_until_ready();
    assert_eq!(kinds(&answer), "EZ");
    assert_eq!(former_primary.query_count(), 1);
}
