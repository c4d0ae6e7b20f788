//! How attempts at hosts end, which of them are retried, and what the client is answered. The program on
//! sockets, as in `client_protocol.rs`.

use petrelgauge_test_support::{
    field, gateway_program, gateway_with_primary, insert, kinds, query, select, Harness, Reply,
};

#[test]
fn a_broken_read_is_retried_and_so_is_an_idempotent_write() {
    for text in [select("a", "view", 20000), insert("a", 20000)] {
        let (host, gateway) = gateway_with_primary(
            gateway_program!(),
            vec![Reply::Close, Reply::Error("25006"), Reply::Row(b"v")],
        );
        assert_eq!(kinds(&gateway.client().query(&text)), "TDCZ");
        let ids = [host.next_query(), host.next_query(), host.next_query()]
            .map(|seen| seen.split("id=").nth(1).map(|rest| rest[..4].to_string()));
        assert_eq!(ids, [Some("9b1f".to_string()), Some("9b1f".into()), Some("9b1f".into())]);
    }
}

#[test]
fn a_read_that_no_host_accepts_is_rejected_with_a_retry_after() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![]);
    let gateway = harness.list(&[(&host, "draining", "primary")]).start();
    let answer = gateway.client().query(&select("a", "view", 200));
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "53300"));
    assert_eq!(field(&answer[0].1, b'D'), "500");
    assert_eq!(host.query_count(), 0);
}

#[test]
fn a_write_whose_attempt_may_have_run_fails_and_is_not_rejected() {
    let (host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::NoAnswer, Reply::NoAnswer]);
    let answer = gateway.client().query(&insert("a", 2000));
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "40003"));
    host.next_query();
    host.wait_for_disconnect();
}

// What is known of an attempt decides the client's answer: a rejection promises that a retry is harmless.
#[test]
fn a_write_that_never_ran_is_rejected_and_one_that_may_have_run_fails() {
    let repeated = |reply: fn() -> Reply| std::iter::repeat_with(reply).take(8).collect::<Vec<_>>();
    let cases = [
        (Some(repeated(|| Reply::Close)), "40003"),
        (Some(repeated(|| Reply::Error("XX000"))), "40003"),
        (Some(repeated(|| Reply::Error("53300"))), "53300"),
        (Some(repeated(|| Reply::Error("25006"))), "53300"),
        // Its port is closed.
        (None, "53300"),
    ];
    std::thread::scope(|scope| {
        for (script, code) in cases {
            scope.spawn(move || {
                let harness = Harness::new(gateway_program!());
                let host = script.map_or_else(|| harness.closed_host(), |script| harness.host(script));
                let gateway = harness.list(&[(&host, "up", "primary")]).start();
                let answer = gateway.client().query(&insert("a", 2000));
                assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", code));
            });
        }
    });
}

#[test]
fn a_client_that_disconnects_has_its_attempt_cancelled() {
    let (host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::NoAnswer]);
    let mut client = gateway.client();
    client.write(&query(&select("a", "view", 60_000)));
    host.next_query();
    drop(client);
    host.wait_for_disconnect();
}

// A request with a malformed answer may have run: a read is retried, and nothing of the answer reaches the
// client.
#[test]
fn malformed_answers_end_their_attempt() {
    let malformed: [&[u8]; 5] = [
        b"noise that is no message",
        b"T\xff\xff\xff\xff",
        b"D\xb2\xd0\x5e\x00\0\x01\xb2\xd0\x5e\x00",
        // It announces more bytes than it sends.
        b"T\0\0\0\x40\0\x01",
        b"D\0\0\0\x0b\0\x01\0\0\0\x01vZ\0\0\0\x05I",
    ];
    std::thread::scope(|scope| {
        for bytes in malformed {
            scope.spawn(move || {
                let (host, gateway) = gateway_with_primary(
                    gateway_program!(),
                    vec![Reply::Bytes(bytes), Reply::Row(b"complete")],
                );
                let answer = gateway.client().query(&select("a", "view", 20000));
                assert_eq!((kinds(&answer).as_str(), &answer[1].1[6..]), ("TDCZ", &b"complete"[..]));
                host.wait_for_disconnect();
            });
        }
    });
}

// The surplus bytes may arrive when the connection is idle again. They belong to no request.
#[test]
fn bytes_after_an_answer_are_not_the_next_answer() {
    let harness = Harness::new(gateway_program!());
    let copy: &[u8] = b"C\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I";
    let script = (0..6).flat_map(|_| [Reply::RowThenBytes(b"one", copy), Reply::Row(b"two")]).collect();
    let host = harness.host(script);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.client();
    for _ in 0..6 {
        for value in [b"one", b"two"] {
            assert_eq!(client.query(&select("a", "view", 20000))[1].1[6..], *value);
            gateway.wait_until_reusable();
        }
    }
    gateway.wait_for_counter_value("HostSurplus=", |count| count >= 6);
}

// A duplicate that arrives after the next query was written looks like the answer to it.
#[test]
fn a_duplicate_of_the_last_answer_is_not_the_next_answer() {
    let script = vec![
        Reply::RowAt(b"one", 5),
        Reply::RowAt(b"one", 5),
        Reply::RowAt(b"two", 6),
        Reply::RowAt(b"two", 7),
    ];
    let (_host, gateway) = gateway_with_primary(gateway_program!(), script);
    let mut client = gateway.client();
    client.write(&[query(&select("a", "view", 20000)), query(&select("b", "view", 20000))].concat());
    assert_eq!(client.read_until_ready()[1].1[6..], *b"one");
    // The second query is written at once on the same connection: the first answer to it is the duplicate.
    assert_eq!(client.read_until_ready()[1].1[6..], *b"two");
    gateway.wait_for_counter("HostRepeated=1");
}

// While a group has no primary, the positions of its members don't advance, and a member rejects one request
// after the other with the same bytes. Taken for duplicates, these would close connections, and writes would
// count as run.
#[test]
fn two_equal_rejections_are_not_duplicates() {
    let script = vec![Reply::ErrorAt("25006", 5), Reply::ErrorAt("25006", 5), Reply::RowAt(b"one", 6)];
    let (_host, gateway) = gateway_with_primary(gateway_program!(), script);
    let answer = gateway.client().query(&insert("a", 20000));
    assert_eq!(answer[1].1[6..], *b"one");
    gateway.wait_for_counter("Served=1 Rejected=2");
}

// A statement that the gateway accepted may still be unusable for a host: its error is the answer, and there
// is no retry.
#[test]
fn a_statement_that_a_host_finds_unusable_is_answered_at_once() {
    let (host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::Error("08P01")]);
    let answer = gateway.client().query(&insert("a", 20000));
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "08P01"));
    assert_eq!(host.query_count(), 1);
}
