//! Faults that occur in operation: idle connections that are silently dropped or reset, clients that stall
//! within a query, reloads in quick succession, a restart during a drain, requests near their deadline, and a
//! shutdown while hosts hang.

use petrelgauge_test_support::{
    field, gateway_program, gateway_with_primary, insert, kinds, list_line, query, select,
    with_long_connect_timeout, Client, Gateway, Harness, Reply,
};
use std::time::{Duration, Instant};

/// The longest time until a client that stalls within a request gets its error.
const STALL_ERROR_MS: u64 = 3_000;
/// An answer that is this late after its deadline counts as lost.
const ANSWER_SLACK_MS: u64 = 500;
/// Time from SIGTERM to SIGKILL if the longest deadline is 3 s or more.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Additional time allowed for a busy machine.
const BUSY_MACHINE_SLACK: Duration = Duration::from_secs(2);

/// Returns the query message for `text` with the request id replaced by `id`.
fn query_with_id(text: &str, id: &str) -> Vec<u8> {
    query(&text.replace("9b1f", id))
}

/// Returns the answer to a query, which must arrive within its deadline and [`ANSWER_SLACK_MS`]. A query on a
/// connection that was closed before the query was read is sent again, as clients do.
fn answer_in_time(gateway: &Gateway, client: &mut Client, text: &str, wait_ms: u64) -> Vec<(u8, Vec<u8>)> {
    loop {
        let written = client.try_write(&query(text));
        gateway.wait_on_gateway_timers(wait_ms + ANSWER_SLACK_MS);
        let (answer, ended) = client.available_messages();
        let unread = written.is_err() || answer.is_empty() && ended;
        if !unread {
            assert!(!answer.is_empty(), "no answer {ANSWER_SLACK_MS} ms after the deadline of {wait_ms} ms");
            return answer;
        }
        *client = gateway.client();
    }
}

// Regression: a client that had been served once could stall for 6 s before it got its error.
#[test]
fn a_client_that_stalls_within_a_query_gets_its_error_in_time() {
    let (_host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::Row(b"v")]);
    let mut client = gateway.client();
    let text = query_with_id(&select("a", "view", 5_000), "1");
    // A complete query, followed by part of a second one.
    client.write(&[&text[..], &text[..20]].concat());
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    gateway.wait_on_gateway_timers(STALL_ERROR_MS);
    let (last, ended) = client.available_messages();
    assert!(ended, "the client is still connected");
    assert_eq!((kinds(&last).as_str(), field(&last[0].1, b'C').as_str()), ("E", "08P01"));
}

// A device between the gateway and the host has dropped the connection from its state table: nothing comes
// back, not even a reset. A single request on the connection shows that only by timing out; it must still be
// answered, and the next request must not use the same connection.
#[test]
fn a_silently_dropped_idle_connection_leaves_no_request_unanswered() {
    std::thread::scope(|scope| {
        for (text, code) in [(select("a", "view", 1_000), "53300"), (insert("a", 1_000), "40003")] {
            scope.spawn(move || {
                let harness = Harness::new(gateway_program!());
                let script =
                    vec![Reply::Row(b"one"), Reply::NoAnswer, Reply::Row(b"two"), Reply::Row(b"two")];
                let host = harness.host(script);
                let gateway = harness
                    .list(&[(&host, "up", "primary")])
                    .start_with_changed_config(with_long_connect_timeout);
                let mut client = gateway.client();
                assert_eq!(client.query(&select("a", "view", 20_000))[1].1[6..], *b"one");
                gateway.wait_until_reusable();
                let answer = answer_in_time(&gateway, &mut client, &text, 1_000);
                assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", code));
                // A write, because a read waits until some member of its group is healthy again.
                let next = insert("b", 20_000).replace("5c0f", "5c10").replace("9b1f", "9b20");
                assert_eq!(client.query(&next)[1].1[6..], *b"two");
                gateway.wait_for_counter("host_connects=2 ");
            });
        }
    });
}

#[test]
fn a_request_after_the_reset_of_an_idle_connection_uses_a_new_one() {
    for text in [select("a", "view", 20_000), insert("a", 20_000)] {
        let harness = Harness::new(gateway_program!());
        let host = harness.host(vec![Reply::ResetOnRelease(b"one"), Reply::Row(b"two")]);
        let gateway =
            harness.list(&[(&host, "up", "primary")]).start_with_changed_config(with_long_connect_timeout);
        let mut client = gateway.client();
        assert_eq!(client.query(&text)[1].1[6..], *b"one");
        gateway.wait_until_reusable();
        host.release();
        host.wait_for_disconnect();
        let next = text.replace("5c0f", "5c10").replace("9b1f", "9b20");
        assert_eq!(client.query(&next)[1].1[6..], *b"two");
        assert_eq!(host.query_count(), 2, "one query for each request");
        // The connection was reported as closed while idle and no attempt was made on it, so nothing counts
        // against the host.
        gateway.wait_for_counter(" HostClosedIdle=1");
        gateway.wait_for_counter("attempts=2 sent=2 host_connects=2 ");
    }
}

#[test]
fn requests_near_their_deadline_are_answered_at_once_when_their_host_drops_them() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host((0..9).map(|_| Reply::NoAnswer).collect());
    let gateway =
        harness.list(&[(&host, "up", "primary")]).start_with_changed_config(with_long_connect_timeout);
    let mut client = gateway.client();
    // The first of these deadlines is long enough to reach the host even on a busy machine.
    for wait_ms in [2_000, 60, 8, 3, 1] {
        let answer = answer_in_time(&gateway, &mut client, &select("a", "view", wait_ms), wait_ms);
        assert_eq!(kinds(&answer), "EZ", "{wait_ms} ms");
    }
    assert!(host.query_count() >= 1);
}

#[test]
fn a_request_is_served_after_its_host_dropped_one_near_its_deadline() {
    // The second of these deadlines is long enough to reach the host even on a busy machine.
    for (wait_ms, must_reach_host) in [(60, false), (2_000, true)] {
        let harness = Harness::new(gateway_program!());
        let host =
            harness.host(vec![Reply::NoAnswerTo("id=1,", b"next"), Reply::NoAnswerTo("id=1,", b"next")]);
        let gateway =
            harness.list(&[(&host, "up", "primary")]).start_with_changed_config(with_long_connect_timeout);
        let mut client = gateway.client();
        let first = query_with_id(&select("a", "view", wait_ms), "1");
        client.write(&[first, query_with_id(&insert("b", 20_000), "2")].concat());
        assert_eq!(kinds(&client.read_until_ready()), "EZ");
        assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
        let mut query = host.next_query();
        assert!(query.contains("id=1,") || !must_reach_host, "{query}");
        if query.contains("id=1,") {
            query = host.next_query();
        }
        assert!(query.contains("id=2,"), "{query}");
    }
}

#[test]
fn every_request_is_answered_before_sigkill_while_hosts_hang() {
    let harness = Harness::new(gateway_program!());
    let (unanswering, not_starting) =
        (harness.host((0..9).map(|_| Reply::NoAnswer).collect()), harness.host_holding_startups(0, vec![]));
    let mut gateway =
        harness.list(&[(&unanswering, "up", "primary"), (&not_starting, "up", "standby")]).start();
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let read = query_with_id(&select("a", "view", 25_000), &format!("{number}a"));
        let write =
            query_with_id(&insert("a", 25_000).replace("5c0f", &format!("{number}")), &format!("{number}b"));
        client.write(&[read, write].concat());
    }
    unanswering.next_query();
    gateway.signal("TERM");
    let stopping_since = Instant::now();
    for client in &mut clients {
        assert_eq!(kinds(&client.read_until_ready()), "EZ");
        assert_eq!(kinds(&client.read_until_ready()), "EZ");
        assert_eq!(client.read_messages_until_end(), [], "no further messages");
    }
    drop(clients);
    let (code, log) = gateway.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(stopping_since.elapsed() < KILL_DELAY + BUSY_MACHINE_SLACK, "{:?}", stopping_since.elapsed());
    assert!(log.contains("requests=8 served=0 "), "{log}");
}

#[test]
fn reloads_in_quick_succession_lose_no_request_and_the_last_one_takes_effect() {
    const RELOADS: usize = 25;
    let harness = Harness::new(gateway_program!());
    let host = harness.host((0..=RELOADS).map(|_| Reply::Row(b"v")).collect());
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config();
    let gateway = harness.start();
    let mut client = gateway.client();
    let extra = r#""classes":[{"aim_us":4000000,"deadline_us":30000000,"idempotency":"safe","name":"extra","points":2.0},"#;
    let extended = config.replace(r#""classes":["#, extra);
    let extended = extended.replace(r#"["eventual","mutate"]"#, r#"["eventual","eventual","mutate"]"#);
    let extended = extended.replace("[0,0]", "[0,0,0]");
    for number in 0..RELOADS {
        // Every third file is invalid; it must not prevent the next reload.
        let text = ["{", &extended, &config][number % 3];
        gateway.reload_config(text);
        assert_eq!(kinds(&client.query(&select("a", "view", 20_000))), "TDCZ", "reload {number}");
    }
    gateway.reload_config(&extended);
    // Signals in quick succession may be merged into one; the last file must take effect.
    let until = Instant::now() + Duration::from_secs(20);
    while kinds(&client.query(&select("a", "extra", 20_000))) != "TDCZ" {
        assert!(Instant::now() < until, "the last configuration did not take effect");
        gateway.wait_until_reusable();
    }
}

// The new process starts with an old endpoint list in which the host is up; discovery reports it as draining.
#[test]
fn a_restart_during_a_drain_sends_nothing_new_to_the_draining_host_and_answers_requests_in_flight() {
    let mut harness = Harness::new(gateway_program!()).with_shared_listener();
    let hosts = [
        harness.host(vec![Reply::WaitForRelease(b"late")]),
        harness.host((0..40).map(|_| Reply::Row(b"new")).collect()),
    ];
    let drained = harness.entries(&[(&hosts[0], "draining", "primary"), (&hosts[1], "up", "standby")]);
    harness = harness.list(&[(&hosts[0], "up", "primary")]);
    let mut old = harness.start_another();
    let mut waiting_client = old.client();
    waiting_client.write(&query_with_id(&select("a", "view", 20_000), "1"));
    hosts[0].next_query();
    harness = harness.updates(&[&list_line(42, true, &drained)]);
    harness.serve_discovery();
    let new = harness.start_another();
    old.signal("TERM");
    new.wait_for_counter_value("lists=", |count| count >= 2);
    hosts[0].release();
    assert!(
        waiting_client.read_until_ready()[1].1.ends_with(b"late"),
        "the draining host answers the request"
    );
    drop(waiting_client);
    assert_eq!(old.wait_for_exit().0, Some(0));
    let mut client = new.client();
    // The first is a write: the list still names the draining host as the primary.
    let mut texts = vec![select("b", "view", 20_000); 20];
    texts.insert(0, insert("b", 20_000));
    for text in texts {
        assert_eq!(client.query(&text)[1].1[6..], *b"new");
    }
    assert_eq!(hosts[0].query_count(), 1);
}
