//! Faults of the days in production: connections that hosts forget or reset, clients that stop in the middle of a
//! query, reloads in quick succession, a restart during a drain, requests with little time, a shutdown before hosts
//! that hang.

use petrelgauge_test_support::{
    field, gateway_program, gateway_with_primary, insert, kinds, list_line, query, select,
    with_long_connect_timeout, Client, Gateway, Harness, Reply,
};
use std::time::{Duration, Instant};

/// What a client that stops in the middle of a request waits at the longest for its error.
const OWED_MS: u64 = 3_000;
/// This long behind its time an answer is lost.
const LOST_MS: u64 = 500;
/// From SIGTERM to the kill, where the longest deadline is 3 s or more.
const KILL: Duration = Duration::from_millis(3_700);
/// What a test allows a busy machine beyond it.
const BUSY: Duration = Duration::from_secs(2);

/// A query with an id of its own.
fn identified(text: &str, id: &str) -> Vec<u8> {
    query(&text.replace("9b1f", id))
}

/// The answer to a query, which must be there before it would be lost. A query on a connection that was closed before
/// it was read is sent again, as clients do.
fn answer_in_time(gateway: &Gateway, client: &mut Client, text: &str, wait_ms: u64) -> Vec<(u8, Vec<u8>)> {
    loop {
        let written = client.try_write(&query(text));
        gateway.wait_on_gateway_timers(wait_ms + LOST_MS);
        let (answer, ended) = client.available_messages();
        let unread = written.is_err() || answer.is_empty() && ended;
        if !unread {
            assert!(!answer.is_empty(), "no answer {LOST_MS} ms behind its time of {wait_ms} ms");
            return answer;
        }
        *client = gateway.client();
    }
}

// Any client that had been served once was left 6 s.
#[test]
fn a_client_that_stalls_within_a_query_gets_its_error_in_time() {
    let (_host, gateway) = gateway_with_primary(gateway_program!(), vec![Reply::Row(b"v")]);
    let mut client = gateway.client();
    let text = identified(&select("a", "view", 5_000), "1");
    // The second query comes in part behind a complete one.
    client.write(&[&text[..], &text[..20]].concat());
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    gateway.wait_on_gateway_timers(OWED_MS);
    let (last, ended) = client.available_messages();
    assert!(ended, "it is still connected");
    assert_eq!((kinds(&last).as_str(), field(&last[0].1, b'C').as_str()), ("E", "08P01"));
}

// A machine between the gateway and the host has forgotten the connection: nothing comes back, no reset either. A request
// alone on it shows that only by its time; it must not be left without an answer, nor the next one go the same way.
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
                // A write: a read waits until some member of its group is well again.
                let next = insert("b", 20_000).replace("5c0f", "5c10");
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
        assert_eq!(client.query(&text.replace("5c0f", "5c10"))[1].1[6..], *b"two");
        assert_eq!(host.query_count(), 2, "one for each request");
        // It was reported as closed while idle, and no attempt was made on it: nothing counts against the host.
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
    // However busy the machine is, the first of these times is enough to reach the host.
    for wait_ms in [2_000, 60, 8, 3, 1] {
        let answer = answer_in_time(&gateway, &mut client, &select("a", "view", wait_ms), wait_ms);
        assert_eq!(kinds(&answer), "EZ", "{wait_ms} ms");
    }
    assert!(host.query_count() >= 1);
}

#[test]
fn a_request_is_served_after_its_host_dropped_one_near_its_deadline() {
    // However busy the machine is, the second of these times is enough to reach the host.
    for (wait_ms, arrives) in [(60, false), (2_000, true)] {
        let harness = Harness::new(gateway_program!());
        let host =
            harness.host(vec![Reply::NoAnswerTo("id=1,", b"next"), Reply::NoAnswerTo("id=1,", b"next")]);
        let gateway =
            harness.list(&[(&host, "up", "primary")]).start_with_changed_config(with_long_connect_timeout);
        let mut client = gateway.client();
        let first = identified(&select("a", "view", wait_ms), "1");
        client.write(&[first, identified(&insert("b", 20_000), "2")].concat());
        assert_eq!(kinds(&client.read_until_ready()), "EZ");
        assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
        let mut query = host.next_query();
        assert!(query.contains("id=1,") || !arrives, "{query}");
        if query.contains("id=1,") {
            query = host.next_query();
        }
        assert!(query.contains("id=2,"), "{query}");
    }
}

#[test]
fn every_request_is_answered_before_the_kill_while_hosts_hang() {
    let harness = Harness::new(gateway_program!());
    let (silent, mute) =
        (harness.host((0..9).map(|_| Reply::NoAnswer).collect()), harness.host_holding_startups(0, vec![]));
    let mut gateway = harness.list(&[(&silent, "up", "primary"), (&mute, "up", "standby")]).start();
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let read = identified(&select("a", "view", 25_000), &format!("{number}a"));
        let write =
            identified(&insert("a", 25_000).replace("5c0f", &format!("{number}")), &format!("{number}b"));
        client.write(&[read, write].concat());
    }
    silent.next_query();
    gateway.signal("TERM");
    let stopping_since = Instant::now();
    for client in &mut clients {
        assert_eq!(kinds(&client.read_until_ready()), "EZ");
        assert_eq!(kinds(&client.read_until_ready()), "EZ");
        assert_eq!(client.read_messages_until_end(), [], "and nothing behind");
    }
    drop(clients);
    let (code, log) = gateway.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(stopping_since.elapsed() < KILL + BUSY, "{:?}", stopping_since.elapsed());
    assert!(log.contains("requests=8 served=0 "), "{log}");
}

#[test]
fn reloads_in_quick_succession_lose_no_request_and_the_last_one_is_in_force() {
    const RELOADS: usize = 25;
    let harness = Harness::new(gateway_program!());
    let host = harness.host((0..=RELOADS).map(|_| Reply::Row(b"v")).collect());
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config();
    let gateway = harness.start();
    let mut client = gateway.client();
    let extra = r#""classes":[{"aim_us":4000000,"deadline_us":30000000,"idempotency":"safe","name":"extra","points":2.0},"#;
    let grown = config.replace(r#""classes":["#, extra);
    let grown = grown.replace(r#"["eventual","mutate"]"#, r#"["eventual","eventual","mutate"]"#);
    let grown = grown.replace("[0,0]", "[0,0,0]");
    for number in 0..RELOADS {
        // A file that cannot be used is among them, and must not stand in the way of the next.
        let text = ["{", &grown, &config][number % 3];
        gateway.reload_config(text);
        assert_eq!(kinds(&client.query(&select("a", "view", 20_000))), "TDCZ", "reload {number}");
    }
    gateway.reload_config(&grown);
    // Signals that come close together may arrive as one: the last file is what counts.
    let until = Instant::now() + Duration::from_secs(20);
    while kinds(&client.query(&select("a", "extra", 20_000))) != "TDCZ" {
        assert!(Instant::now() < until, "the last configuration does not hold");
        gateway.wait_until_reusable();
    }
}

// The new process starts from an old list that names the host as up; discovery has the drain.
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
    let mut waits = old.client();
    waits.write(&identified(&select("a", "view", 20_000), "1"));
    hosts[0].next_query();
    harness = harness.updates(&[&list_line(42, true, &drained)]);
    harness.serve_discovery();
    let new = harness.start_another();
    old.signal("TERM");
    new.wait_for_counter_value("lists=", |count| count >= 2);
    hosts[0].release();
    assert!(waits.read_until_ready()[1].1.ends_with(b"late"), "its answer comes over the host that drains");
    drop(waits);
    assert_eq!(old.wait_for_exit().0, Some(0));
    let mut client = new.client();
    // A write too: the list still names the host that drains as the primary.
    let mut texts = vec![select("b", "view", 20_000); 20];
    texts.insert(0, insert("b", 20_000));
    for text in texts {
        assert_eq!(client.query(&text)[1].1[6..], *b"new");
    }
    assert_eq!(hosts[0].query_count(), 1);
}
