//! Clients whose connection ends: each query that was read completely gets its final answer first, and what
//! was written reaches the client.

use petrelgauge_test_support::{
    field, gateway_program, kinds, query, select, startup, Client, Harness, Reply,
};
use std::time::Duration;

/// A message with an impossible length.
const MALFORMED: &[u8] = b"!\xff\xff\xff\xff";

/// A query with this request id.
fn query_with_id(id: &str, wait_ms: u64) -> Vec<u8> {
    query(&select("a", "view", wait_ms).replace("9b1f", id))
}

/// The SQLSTATE codes of the errors among these messages.
fn error_codes(messages: &[(u8, Vec<u8>)]) -> Vec<String> {
    let errors = messages.iter().filter(|(kind, _)| *kind == b'E');
    errors.map(|(_, body)| field(body, b'C')).collect()
}

// Both queries were once dropped when the time to answer the first had passed.
#[test]
fn queries_before_malformed_bytes_are_answered_before_the_connection_ends() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::NoAnswer]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.client();
    client.write(&[query_with_id("1", 60_000), query_with_id("2", 60_000), MALFORMED.to_vec()].concat());
    let answers = client.read_messages_until_end();
    assert_eq!(kinds(&answers), "EZEZE");
    // The first may have run; the second was not sent.
    assert_eq!(error_codes(&answers), ["40003", "53300", "08P01"]);
    assert!(host.next_query().contains("id=1"));
    host.wait_for_disconnect();
    assert_eq!(host.query_count(), 1);
    gateway.wait_for_counter("requests=2 served=0 rejected=1 failed=1 ");
}

#[test]
fn queries_before_malformed_bytes_are_served_if_their_host_answers_in_time() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::Row(b"one"), Reply::Row(b"two")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.client();
    client.write(&[query_with_id("1", 60_000), query_with_id("2", 60_000), MALFORMED.to_vec()].concat());
    let answers = client.read_messages_until_end();
    assert_eq!(kinds(&answers), "TDCZTDCZE");
    assert_eq!(error_codes(&answers), ["08P01"]);
}

// The gateway once closed the connection as soon as it had written. A query that arrived after that reset the
// connection, and the part of the answer that the client had not yet read was lost.
#[test]
fn an_answer_that_is_read_slowly_is_completed_despite_a_shutdown_and_a_later_query() {
    static VALUE: [u8; 60_000] = [b'v'; 60_000];
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::WaitForRelease(&VALUE)]);
    let mut gateway = harness.list(&[(&host, "up", "primary")]).start();
    let (mut idle, mut client) = (gateway.client(), gateway.small_buffer_client());
    client.write(&query_with_id("1", 25_000));
    host.next_query();
    gateway.signal("TERM");
    assert_eq!(kinds(&idle.read_messages_until_end()), "", "client connections are closed from now on");
    host.release();
    // Waits by the clock until the answer is written and the connection closed for writing.
    std::thread::sleep(Duration::from_millis(200));
    client.write(&query_with_id("2", 25_000));
    let answer = client.read_messages_until_end();
    assert_eq!(kinds(&answer), "TDCZ");
    assert!(answer[1].1.ends_with(&VALUE));
    drop(client);
    let (code, log) = gateway.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("requests=1 served=1 "), "the second was not read: {log}");
}

// The connection was once closed immediately, and what the client had not yet read of its answer was lost
// when it wrote again.
#[test]
fn an_answer_that_is_read_slowly_is_completed_when_its_connection_is_closed_for_age() {
    static VALUE: [u8; 60_000] = [b'v'; 60_000];
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::Row(&VALUE)]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.small_buffer_client();
    client.write(&query_with_id("1", 25_000));
    // Waits by the clock: the connection is closed for writing after 2.1 s, and abandoned a second later.
    std::thread::sleep(Duration::from_millis(2_300));
    let _ = client.try_write(&query_with_id("2", 25_000));
    let answer = client.read_messages_until_end();
    assert_eq!(kinds(&answer), "TDCZ");
    assert!(answer[1].1.ends_with(&VALUE));
    gateway.wait_for_counter_value("ClientIdle=", |count| count >= 1);
}

/// Whether the query sent after the startup message got its final answer. A query without one was not read:
/// the kernel resets a connection that is closed with unread bytes or receives bytes after it was closed.
fn was_answered(client: &mut Client) -> bool {
    let (messages, reset) = client.read_until_end_or_reset();
    let kinds = kinds(&messages);
    let answered = kinds.ends_with("TDCZ") || kinds.ends_with("EZ");
    assert!(
        answered || reset || client.is_reset_after_end(),
        "the query was read and its connection closed without an answer: {kinds}"
    );
    answered
}

// The first segment of a connection may be read just before the decision to close the connection.
#[test]
fn a_query_in_one_segment_with_the_startup_message_is_answered_or_not_read_while_the_gateway_stops() {
    const CLIENTS: usize = 150;
    let harness = Harness::new(gateway_program!());
    let host = harness.host((0..CLIENTS).map(|_| Reply::Row(b"v")).collect());
    let mut gateway = harness.list(&[(&host, "up", "primary")]).start();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        if number == 20 {
            gateway.signal("TERM");
        }
        let Some(mut client) = gateway.try_client() else { break };
        let _ = client.try_write(&[startup(), query_with_id(&format!("{number:x}"), 25_000)].concat());
        clients.push(client);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(clients.len() < CLIENTS, "the listener was never closed");
    let answered = clients.iter_mut().map(was_answered).filter(|answered| *answered).count();
    assert!(answered >= 20, "{answered}");
    drop(clients);
    let (code, log) = gateway.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains(&format!("requests={answered} ")), "{answered} answers: {log}");
}

#[test]
fn a_query_in_one_segment_with_the_startup_message_is_answered_or_not_read_while_clients_are_shed() {
    queries_while_clients_are_shed(Duration::ZERO);
}

// When a client writes, its connection may already be closed.
#[test]
fn a_query_sent_after_its_connection_was_shed_is_not_read() {
    queries_while_clients_are_shed(Duration::from_millis(300));
}

/// Opens more connections than the gateway may hold, and sends a query on each after this pause.
fn queries_while_clients_are_shed(pause: Duration) {
    const CLIENTS: usize = 60;
    let harness = Harness::new(gateway_program!()).sockets(50);
    let host = harness.host((0..CLIENTS).map(|_| Reply::Row(b"v")).collect());
    let mut gateway = harness.list(&[(&host, "up", "primary")]).start();
    let idle: Vec<Client> = (0..30).map(|_| gateway.raw_client()).collect();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.raw_client()).collect();
    std::thread::sleep(pause);
    for (number, client) in clients.iter_mut().enumerate() {
        let _ = client.try_write(&[startup(), query_with_id(&format!("{number:x}"), 2_000)].concat());
    }
    let answered = clients.iter_mut().map(was_answered).filter(|answered| *answered).count();
    assert!(answered > 0);
    gateway.signal("TERM");
    drop((idle, clients));
    let (code, log) = gateway.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains(&format!("requests={answered} ")), "{answered} answers: {log}");
}

// The second query was read with the startup message, long before the gateway began to close connections.
#[test]
fn queries_in_one_segment_with_the_startup_message_are_all_answered_in_a_stop() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::WaitForRelease(b"one"), Reply::Row(b"two")]);
    let mut gateway = harness.list(&[(&host, "up", "primary")]).start();
    let (mut idle, mut client) = (gateway.client(), gateway.raw_client());
    client.write(&[startup(), query_with_id("1", 25_000), query_with_id("2", 25_000)].concat());
    host.next_query();
    gateway.signal("TERM");
    assert_eq!(kinds(&idle.read_messages_until_end()), "", "client connections are closed from now on");
    host.release();
    client.read_until_ready();
    assert_eq!(kinds(&client.read_messages_until_end()), "TDCZTDCZ");
    drop(client);
    assert_eq!(gateway.wait_for_exit().0, Some(0));
}
