//! Changes while an attempt waits for its connection: a drain, a new address or run of the host, the end of
//! a key window. The host completes the startup of a connection only when the test releases it.

use petrelgauge_test_support::{
    chunk, field, gateway_program, insert, kinds, list_line, query, select, with_long_connect_timeout,
    Harness, Reply, Step, RESPONSE_HEAD,
};

// Regression: the attempt was written as soon as its connection was up, even if the host's drain was already
// known.
#[test]
fn no_query_is_sent_to_a_host_whose_drain_is_announced_during_connect() {
    for change in ["draining", "removed", "another address", "another run"] {
        let harness = Harness::new(gateway_program!());
        let (slow, next) =
            (harness.host_holding_startups(0, vec![]), harness.host(vec![Reply::Row(b"next")]));
        let up = harness.entries(&[(&slow, "up", "primary")]);
        let updates = match change {
            "another address" => harness.entries(&[(&next, "up", "primary")]),
            "another run" => harness.entries(&[(&next, "up", "primary")]).replace("ms\":0", "ms\":1000"),
            phase => harness.entries(&[(&slow, phase, "standby"), (&next, "up", "primary")]),
        };
        let script = vec![
            Step::Write(RESPONSE_HEAD.to_vec()),
            Step::Write(chunk(&format!("{}\n", list_line(42, true, &up)))),
            Step::WaitForRelease,
            Step::Write(chunk(&format!("{}\n", list_line(43, false, &updates)))),
            Step::Heartbeat,
        ];
        let config = with_long_connect_timeout(&harness.config());
        let (gateway, source) = harness.start_scripted(&config, vec![script]);
        gateway.wait_for_counter_value("lists=", |count| count >= 2);
        let mut client = gateway.client();
        client.write(&query(&select("a", "view", 60_000)));
        slow.next_connection();
        source.release();
        gateway.wait_for_counter_value("lists=", |count| count >= 3);
        slow.release();
        let answer = client.read_until_ready();
        assert!(answer[1].1.ends_with(b"next"), "{change}: {answer:?}");
        assert_eq!(slow.query_count(), 0, "{change}");
    }
}

// Regression: the window was checked when the retry was decided, but not when it was written.
#[test]
fn a_keyed_write_is_not_retried_after_its_key_window_over_a_late_connection() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host_holding_startups(1, vec![Reply::Close]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start_with_changed_config(|config| {
        with_long_connect_timeout(config).replace("\"window_us\":30000000", "\"window_us\":1500000")
    });
    let mut client = gateway.client();
    client.write(&query(&insert("a", 6_000)));
    host.next_query();
    host.wait_for_disconnect();
    host.next_connection();
    // Longer than the window of 1.5 s, so it has ended however long the steps before took.
    std::thread::sleep(std::time::Duration::from_millis(2_000));
    host.release();
    let answer = client.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "40003"));
    assert_eq!(host.query_count(), 1);
}

#[test]
fn a_keyed_write_is_retried_within_its_key_window() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host_holding_startups(1, vec![Reply::Close, Reply::Row(b"v")]);
    let gateway =
        harness.list(&[(&host, "up", "primary")]).start_with_changed_config(with_long_connect_timeout);
    let mut client = gateway.client();
    client.write(&query(&insert("a", 25_000)));
    host.next_query();
    host.next_connection();
    host.release();
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    assert_eq!(host.query_count(), 2);
}
