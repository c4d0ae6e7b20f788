//! What clients may send and what they are answered: the program on real sockets, between a scripted client,
//! scripted hosts and a scripted discovery. Each test has a loopback address of its own. Answers are
//! asserted, never speed: what waits only gives up after a span that no working gateway needs.

use petrelgauge_test_support::{
    field, gateway_program, gateway_with_primary, insert, kinds, message, query, select, startup, Harness,
    Reply,
};

#[test]
fn an_empty_query_is_answered_and_encryption_is_declined() {
    let gateway = Harness::new(gateway_program!()).start();
    let mut client = gateway.raw_client();
    client.write(&[0, 0, 0, 8, 4, 210, 22, 47]);
    assert_eq!(client.read_bytes(1), b"N");
    client.write(&[0, 0, 0, 8, 4, 210, 22, 48]);
    assert_eq!(client.read_bytes(1), b"N");
    // The first query comes with the startup message.
    client.write(&[startup(), query("")].concat());
    assert_eq!(client.read_until_ready().first().map(|m| m.0), Some(b'R'));
    assert_eq!(kinds(&client.read_until_ready()), "IZ");
    assert_eq!(kinds(&client.query("SET client_encoding = 'UTF8'")), "CZ");
}

#[test]
fn values_and_statements_are_passed_on_unaltered() {
    let (host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::Row(b"\x00\xffvalue")]);
    let mut client = gateway.client();
    let text = select("it''s /* no comment */", "view", 5000);
    let answer = client.query(&text);
    assert_eq!(kinds(&answer), "TDCZ", "parameter reports of the host are not passed on");
    assert_eq!(answer[1].1, [&[0, 1, 0, 0, 0, 7][..], b"\x00\xffvalue"].concat());
    let seen = host.next_query();
    let (before, rest) = seen.split_once(",d=").expect("it names d");
    let (digits, after) = rest.split_once(',').expect("more follows");
    assert_eq!(format!("{before},d=5000,{after}"), text);
    assert!((1..=5000).contains(&digits.parse::<u64>().expect("a number")), "{digits}");
}

#[test]
fn the_largest_values_are_written_and_read() {
    static VALUE: [u8; 65536] = [b'v'; 65536];
    let (host, gateway) =
        gateway_with_primary(gateway_program!(), vec![Reply::Row(&VALUE), Reply::Row(&VALUE)]);
    let mut client = gateway.client();
    assert!(client.query(&select("a", "view", 20000))[1].1.ends_with(&VALUE));
    host.next_query();
    let text = insert("a", 20000).replace("9f03", &"9f".repeat(65536));
    assert_eq!(kinds(&client.query(&text)), "TDCZ");
    assert_eq!(host.next_query().split(",d=").next(), text.split(",d=").next());
}

#[test]
fn pipelined_queries_are_answered_in_order() {
    let (_host, gateway) = gateway_with_primary(
        gateway_program!(),
        vec![Reply::Row(b"one"), Reply::Row(b"two"), Reply::Row(b"three")],
    );
    let mut client = gateway.client();
    let texts = ["a", "b", "c"].map(|name| query(&select(name, "view", 5000)));
    client.write(&texts.concat());
    for value in [&b"one"[..], b"two", b"three"] {
        let answer = client.read_until_ready();
        assert!(answer[1].1.ends_with(value), "{answer:?}");
    }
}

#[test]
fn an_unusable_statement_gets_an_error_and_keeps_the_connection() {
    let (_host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::Row(b"v")]);
    let mut client = gateway.client();
    let good = select("a", "view", 5000);
    let bad = [
        ("DELETE FROM kv".to_string(), "42601"),
        (good.replace("d=5000", "d=soon"), "42601"),
        (good.replace("c=view", "c=vista"), "22023"),
        (good.replace("cluster=2", "cluster=3"), "22023"),
        (good.replace("SELECT", "INSERT"), "42601"),
        (insert("a", 5000).replace("k=5c0f,", ""), "22023"),
        (good.replace("d=5000", "d=5000000000"), "22023"),
    ];
    for (text, code) in bad {
        let answer = client.query(&text);
        assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", code), "{text}");
    }
    assert_eq!(kinds(&client.query(&good)), "TDCZ");
}

#[test]
fn extended_queries_are_declined_up_to_sync() {
    let gateway = Harness::new(gateway_program!()).start();
    let mut client = gateway.client();
    let parts = [message(b'P', b"\0SELECT 1\0\0\0"), message(b'E', b"\0\0\0\0\0"), message(b'S', b"")];
    client.write(&parts.concat());
    let answer = client.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "0A000"));
    assert_eq!(kinds(&client.query("")), "IZ");
}

#[test]
fn malformed_messages_end_the_connection_with_an_error() {
    let gateway = Harness::new(gateway_program!()).start();
    for bytes in [&b"Q\xff\xff\xff\xff"[..], b"!\0\0\0\x04", b"Q\0\0\0\x09a\0b\0\0", b"Q\0\0\0\x05a"] {
        let mut client = gateway.client();
        client.write(bytes);
        let last = client.read_messages_until_end();
        assert_eq!(kinds(&last), "E", "{bytes:?}");
        assert!(last[0].1.starts_with(b"SFATAL\0"));
        assert_eq!(field(&last[0].1, b'C'), "08P01");
    }
}

// Each of them would otherwise hold a descriptor for good, or until its query's deadline.
#[test]
fn silent_clients_and_incomplete_messages_are_cut_off() {
    let (host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::NoAnswer]);
    let mut silent = gateway.raw_client();
    let mut half_a_startup = gateway.raw_client();
    half_a_startup.write(&startup()[..9]);
    let (mut idle, mut half, mut copying, mut behind) =
        (gateway.client(), gateway.client(), gateway.client(), gateway.client());
    half.write(&query(&select("a", "view", 5000))[..20]);
    copying.write(&message(b'd', b"no copy goes on"));
    behind.write(&[query(&select("a", "view", 60_000)), b"!\xff\xff\xff\xff".to_vec()].concat());
    for client in [&mut silent, &mut half_a_startup, &mut idle, &mut copying] {
        assert_eq!(kinds(&client.read_messages_until_end()), "");
    }
    let last = half.read_messages_until_end();
    assert_eq!((kinds(&last).as_str(), field(&last[0].1, b'C').as_str()), ("E", "08P01"));
    // The query before the malformed bytes gets its final answer first.
    let last = behind.read_messages_until_end();
    assert_eq!(kinds(&last), "EZE");
    assert_eq!((field(&last[0].1, b'C').as_str(), field(&last[2].1, b'C').as_str()), ("40003", "08P01"));
    // Queries before the error that were not answered in time are not sent any more.
    host.next_query();
    host.wait_for_disconnect();
}

// The gateway must read to the end, or the reset would discard the error.
#[test]
fn a_value_of_60_mb_is_rejected_with_an_error() {
    let gateway = Harness::new(gateway_program!()).start();
    let mut client = gateway.client();
    let length = 60_000_000u32;
    client.write(&[&b"Q"[..], &length.to_be_bytes(), &vec![b'x'; length as usize - 4]].concat());
    assert_eq!(field(&client.read_messages_until_end()[0].1, b'C'), "08P01");
}

#[test]
fn a_request_id_is_rejected_while_another_request_with_it_is_open() {
    let (host, gateway) =
        gateway_with_primary(gateway_program!(), vec![Reply::WaitForRelease(b"one"), Reply::Row(b"two")]);
    let (mut first, text) = (gateway.client(), select("a", "view", 20000));
    first.write(&query(&text));
    host.next_query();
    let answer = gateway.client().query(&text);
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "22023"));
    host.release();
    assert_eq!(kinds(&first.read_until_ready()), "TDCZ");
    assert_eq!(kinds(&first.query(&text)), "TDCZ");
}

#[test]
fn counters_are_logged_on_a_signal() {
    let gateway = Harness::new(gateway_program!()).start();
    gateway.client();
    gateway.wait_for_counter("clients=1");
}
