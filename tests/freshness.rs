//! Customers whose hosts answer from whatever they have: the gateway alone keeps reads from old data, up to the first byte
//! of each attempt. A host welcomes a connection only when the test says so, and meanwhile what was known of it grows old.

use petrelgauge_test_support::{
    field, gateway_program, insert, kinds, list_line, query, replace_parts, select, unix_ms,
    with_long_connect_timeout, with_unchecked_reads, Client, Gateway, Harness, Host, ReadClass, Reply,
};
use std::time::Duration;

/// Hosts do not look at how far behind they are. Beside any data, there are reads of data no older than 4 s, and of the
/// newest. Connections may take their time, and work that is out is not cancelled.
fn unchecked(config: &str) -> String {
    let classes = [
        ReadClass { name: "bounded", read_level: "lag_bound", staleness_bound_us: 4_000_000 },
        ReadClass { name: "newest", read_level: "strong", staleness_bound_us: 0 },
    ];
    let config = with_long_connect_timeout(&with_unchecked_reads(config, &classes));
    replace_parts(&config, &[("\"cancel\":true", "\"cancel\":false")])
}

fn ask(class: &str, id: &str, wait_ms: u64) -> Vec<u8> {
    query(&select("a", class, wait_ms).replace("9b1f", id))
}

// How old the data may be was looked at when the attempt was decided on, and not when it was written.
#[test]
fn a_bounded_read_is_not_sent_once_what_is_known_of_its_host_has_grown_too_old() {
    let harness = Harness::new(gateway_program!());
    let at = unix_ms();
    let host = harness
        .host_holding_startups(1, vec![Reply::ReplicaAt(b"v", at), Reply::NoAnswer, Reply::Row(b"old")]);
    let gateway = harness.list(&[(&host, "up", "standby")]).start_with_changed_config(unchecked);
    let (mut first, mut second, mut third) = (gateway.client(), gateway.client(), gateway.client());
    first.write(&ask("view", "1", 25_000));
    assert_eq!(kinds(&first.read_until_ready()), "TDCZ");
    gateway.wait_until_reusable();
    // Its position is known now, and the next read of it takes the connection that there is.
    second.write(&ask("bounded", "2", 25_000));
    assert!(host.next_query().contains("c=view") && host.next_query().contains("c=bounded"));
    third.write(&ask("bounded", "3", 12_000));
    host.next_connection();
    // The one wait by the clock: until 4 s have passed since that position.
    std::thread::sleep(Duration::from_millis((at + 4_300).saturating_sub(unix_ms())));
    host.release();
    gateway.wait_for_counter(" NotWanted=1");
    let answer = third.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(host.query_count(), 2);
}

// The host said that it leads no more while the connection came up.
#[test]
fn a_read_of_the_newest_is_not_sent_to_a_host_that_has_said_meanwhile_that_it_does_not_lead() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host_holding_startups(0, vec![Reply::ReplicaAt(b"v", unix_ms()), Reply::Row(b"old")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start_with_changed_config(unchecked);
    let (mut first, mut second) = (gateway.client(), gateway.client());
    first.write(&ask("view", "1", 25_000));
    host.next_connection();
    second.write(&ask("newest", "2", 8_000));
    // Its connection is on its way, behind the other one.
    gateway.wait_for_counter_value("host_connects=", |count| count >= 2);
    host.release();
    assert_eq!(kinds(&first.read_until_ready()), "TDCZ");
    host.next_connection();
    // The decisions are stepped with it some milliseconds later; it counts as known after 0.1 s.
    gateway.wait_until_reusable();
    host.release();
    gateway.wait_for_counter(" NotWanted=1");
    let answer = second.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(host.query_count(), 1);
}

// What is fresh enough still goes out on a connection that came up late.
#[test]
fn a_bounded_read_is_sent_while_what_is_known_of_its_host_is_new_enough() {
    let harness = Harness::new(gateway_program!());
    let at = unix_ms();
    let script = vec![Reply::ReplicaAt(b"v", at), Reply::NoAnswer, Reply::ReplicaAt(b"new", at)];
    let host = harness.host_holding_startups(1, script);
    let gateway = harness
        .list(&[(&host, "up", "standby")])
        .start_with_changed_config(|config| unchecked(config).replace("4000000,0]", "60000000,0]"));
    let (mut first, mut second, mut third) = (gateway.client(), gateway.client(), gateway.client());
    first.write(&ask("view", "1", 25_000));
    first.read_until_ready();
    gateway.wait_until_reusable();
    second.write(&ask("bounded", "2", 25_000));
    assert!(host.next_query().contains("c=view") && host.next_query().contains("c=bounded"));
    third.write(&ask("bounded", "3", 25_000));
    host.next_connection();
    host.release();
    assert_eq!(kinds(&third.read_until_ready()), "TDCZ");
    assert_eq!(host.query_count(), 3);
}

/// The same, and reads of what their session has written. Of the sessions, `a` is the one that writes.
fn with_sessions(config: &str) -> String {
    replace_parts(&unchecked(config), &[("\"strong\"]", "\"causal\"]")])
}

fn write(id: &str, wait_ms: u64) -> Vec<u8> {
    query(&insert("a", wait_ms).replace("9b1f", id))
}

/// A primary that drains as soon as a write of session `a` is out there, and a replica that is known to be as new as `at`.
/// What the primary does with the write is up to the test.
fn a_write_out_at_a_primary_that_drains(does: Reply, at: u64) -> (Gateway, [Host; 2], Client) {
    let harness = Harness::new(gateway_program!());
    let hosts =
        [harness.host(vec![does]), harness.host((0..30).map(|_| Reply::ReplicaAt(b"replica", at)).collect())];
    let drains = harness.entries(&[(&hosts[0], "draining", "primary"), (&hosts[1], "up", "standby")]);
    let harness = harness.later_updates(&[&list_line(42, false, &drains)]);
    let gateway = harness
        .list(&[(&hosts[0], "up", "primary"), (&hosts[1], "up", "standby")])
        .start_with_changed_config(with_sessions);
    let mut writer = gateway.client();
    writer.write(&write("1", 25_000));
    hosts[0].next_query();
    gateway.send_later_updates();
    gateway.wait_for_counter_value("lists=", |count| count >= 2);
    let mut client = gateway.client();
    client.write(&ask("view", "2", 25_000));
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    assert_eq!(hosts[1].query_count(), 1);
    (gateway, hosts, writer)
}

// Day split of the variant tide-tables: connections fall silent under a write that is served, its answer counts as known 0.1 s
// after it was written, and reads of its session went to replicas that lacked it.
#[test]
fn a_read_of_a_session_whose_write_is_out_without_an_answer_sees_what_it_may_have_made() {
    let (gateway, hosts, writer) = a_write_out_at_a_primary_that_drains(Reply::NoAnswer, unix_ms());
    // The one wait by the clock: the answer could have been written and lost for longer than it takes to be known.
    std::thread::sleep(Duration::from_millis(400));
    let mut reader = gateway.client();
    reader.write(&ask("newest", "3", 4_000));
    let answer = reader.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(hosts[1].query_count(), 0, "it lacks what was committed since");
    // Another session has nothing to do with it.
    reader.write(&query(&select("b", "newest", 25_000)));
    assert_eq!(kinds(&reader.read_until_ready()), "TDCZ");
    drop(writer);
}

// The answer of a write was forgotten where its client had left before it came.
#[test]
fn a_read_of_a_session_sees_a_write_that_was_answered_behind_its_clients_leaving() {
    let start = unix_ms();
    let (does, at) = (Reply::RowAtOnRelease(b"v", start + 1_100), start + 900);
    let (gateway, hosts, writer) = a_write_out_at_a_primary_that_drains(does, at);
    drop(writer);
    // Whatever it may have made is taken to be made by now: the replica has it.
    gateway.wait_for_counter("left=1 ");
    // The one wait by the clock: it was made later than that, and later than what the replica has.
    std::thread::sleep(Duration::from_millis((start + 1_200).saturating_sub(unix_ms())));
    hosts[0].release();
    gateway.wait_for_counter(" Served=2");
    let mut reader = gateway.client();
    reader.write(&ask("newest", "3", 4_000));
    let answer = reader.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(hosts[1].query_count(), 0);
}

// Known by its own answer that it does not lead, and how old its data are.
#[test]
fn an_answer_that_shows_by_itself_that_its_data_are_too_old_is_not_given() {
    let harness = Harness::new(gateway_program!());
    let old = unix_ms() - 60_000;
    let deposed = harness.host(vec![Reply::ReplicaAt(b"old", old)]);
    let gateway = harness.list(&[(&deposed, "up", "primary")]).start_with_changed_config(unchecked);
    let mut client = gateway.client();
    client.write(&ask("bounded", "1", 2_000));
    let answer = client.read_until_ready();
    assert_eq!(kinds(&answer), "EZ");
    assert_eq!(deposed.query_count(), 1);
}
