//! Peers that send one byte at a time: clients, hosts, discovery and operators. The program on sockets, as in
//! `client_protocol.rs`; each test has a loopback address of its own.

use petrelgauge_test_support::{
    chunk, gateway_program, gateway_with_primary, kinds, list_line, query, select, startup, Harness, Reply,
    Step, RESPONSE_HEAD,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Sends the bytes in segments of one byte each.
fn write_bytes_apart(stream: &mut TcpStream, bytes: &[u8]) {
    stream.set_nodelay(true).expect("nodelay is set");
    for byte in bytes {
        stream.write_all(&[*byte]).expect("the peer reads");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The messages up to and including the first of this type.
fn read_until(stream: &mut TcpStream, kind: u8) -> Vec<(u8, Vec<u8>)> {
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a timeout is set");
    let mut messages = Vec::new();
    while messages.last().is_none_or(|(last, _)| *last != kind) {
        let mut head = [0; 5];
        stream.read_exact(&mut head).expect("a message");
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length - 4];
        stream.read_exact(&mut body).expect("its body");
        messages.push((head[0], body));
    }
    messages
}

#[test]
fn a_client_and_a_host_that_send_one_byte_at_a_time_are_served() {
    let (host, gateway) = gateway_with_primary(
        gateway_program!(),
        vec![Reply::RowInPieces(b"first", 1, 1), Reply::RowInPieces(b"second", 1, 1)],
    );
    let mut client = TcpStream::connect(gateway.address()).expect("it accepts");
    write_bytes_apart(&mut client, &startup());
    read_until(&mut client, b'Z');
    for value in [&b"first"[..], b"second"] {
        write_bytes_apart(&mut client, &query(&select("a", "view", 20_000)));
        let answer = read_until(&mut client, b'Z');
        assert_eq!((kinds(&answer).as_str(), &answer[1].1[6..]), ("TDCZ", value));
    }
    assert_eq!(host.query_count(), 2, "each query was sent once");
    gateway.wait_for_counter("Served=2");
}

#[test]
fn a_list_that_is_sent_one_byte_at_a_time_is_applied() {
    let harness = Harness::new(gateway_program!());
    let rows = |value| (0..20).map(|_| Reply::Row(value)).collect();
    let hosts = [harness.host(rows(b"drains")), harness.host(rows(b"stays"))];
    let entries =
        |first: &str| harness.entries(&[(&hosts[0], first, "standby"), (&hosts[1], "up", "primary")]);
    let line = chunk(&format!("{}\n", list_line(42, true, &entries("draining"))));
    let script = vec![Step::WriteBytesApart([RESPONSE_HEAD, &line].concat()), Step::Heartbeat];
    let harness = harness.list(&[(&hosts[0], "up", "standby"), (&hosts[1], "up", "primary")]);
    let config = harness.config();
    let (gateway, _source) = harness.start_scripted(&config, vec![script]);
    // The first list is the configured one.
    gateway.wait_for_counter_value("lists=", |count| count >= 2);
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(client.query(&select("a", "view", 20_000))[1].1[6..], *b"stays");
    }
    assert_eq!(hosts[0].query_count(), 0, "a draining host gets no queries");
}

#[test]
fn a_command_that_is_sent_one_byte_at_a_time_is_executed() {
    let harness = Harness::new(gateway_program!()).ops();
    let host = harness.host(vec![]);
    let line = list_line(42, true, &harness.entries(&[(&host, "up", "primary")]));
    let gateway = harness.updates(&[&line]).start();
    gateway.repeat_operator_request(b"ready\n", "YES");
    let mut caller = gateway.operator_connection();
    write_bytes_apart(&mut caller, b"drain\n");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("YES"), "{answer}");
}
