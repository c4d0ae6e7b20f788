//! Peers that send one byte at a time: clients, hosts, discovery and the staff. The program on sockets, as in
//! `gateway.rs`; each test has a loopback address of its own.

mod stage;
use stage::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Sends it in segments of one byte each.
fn write_bytes_apart(stream: &mut TcpStream, bytes: &[u8]) {
    stream.set_nodelay(true).expect("an option");
    for byte in bytes {
        stream.write_all(&[*byte]).expect("it is read");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// What comes up to the first message of this type that is whole.
fn read_until(stream: &mut TcpStream, kind: u8) -> Vec<(u8, Vec<u8>)> {
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a limit");
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
fn a_client_and_a_host_that_send_one_byte_at_a_time_understand_each_other() {
    let stage = Stage::new(245);
    let host = stage.host(vec![Say::Pieces(b"first", 1, 1), Say::Pieces(b"second", 1, 1)]);
    let gateway = stage.list(&[(&host, "up", "primary")]).start();
    let mut client = TcpStream::connect(gateway.address()).expect("it accepts");
    write_bytes_apart(&mut client, &startup());
    read_until(&mut client, b'Z');
    for value in [&b"first"[..], b"second"] {
        write_bytes_apart(&mut client, &query(&select("a", "view", 20_000)));
        let answer = read_until(&mut client, b'Z');
        assert_eq!((kinds(&answer).as_str(), &answer[1].1[6..]), ("TDCZ", value));
    }
    assert_eq!(host.queries(), 2, "each went out once");
    gateway.wait_for_counter("Served=2");
}

#[test]
fn a_list_that_comes_one_byte_at_a_time_is_used() {
    let stage = Stage::new(246);
    let rows = |value| (0..20).map(|_| Say::Row(value)).collect();
    let hosts = [stage.host(rows(b"drains")), stage.host(rows(b"stays"))];
    let entries = |first: &str| stage.entries(&[(&hosts[0], first, "standby"), (&hosts[1], "up", "primary")]);
    let line = chunk(&format!("{}\n", list(42, true, &entries("draining"))));
    let script = vec![Act::SayBytesApart([HEAD, &line].concat()), Act::Beat];
    let stage = stage.list(&[(&hosts[0], "up", "standby"), (&hosts[1], "up", "primary")]);
    let config = stage.config();
    let (gateway, _source) = stage.start_scripted(&config, vec![script]);
    // The first is the one that it was configured with.
    gateway.wait_for("lists=", |count| count >= 2);
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(client.ask(&select("a", "view", 20_000))[1].1[6..], *b"stays");
    }
    assert_eq!(hosts[0].queries(), 0, "it drains");
}

#[test]
fn a_call_of_the_staff_that_comes_one_byte_at_a_time_is_answered() {
    let stage = Stage::new(247).ops();
    let host = stage.host(vec![]);
    let line = list(42, true, &stage.entries(&[(&host, "up", "primary")]));
    let gateway = stage.news(&[&line]).start();
    gateway.call_until(b"ready\n", "YES");
    let mut caller = gateway.caller();
    write_bytes_apart(&mut caller, b"drain\n");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("YES"), "{answer}");
}
