//! Endpoint updates of discovery and reloaded configurations, tested on a running gateway.

use petrelgauge_test_support::{gateway_program, kinds, list_line, select, Harness, Reply};

#[test]
fn a_drain_update_is_applied_and_an_unusable_one_changes_nothing() {
    let harness = Harness::new(gateway_program!());
    let old = harness.host(vec![]);
    let new = harness.host((0..20).map(|_| Reply::Row(b"new")).collect());
    let first = harness.entries(&[(&old, "draining", "primary"), (&new, "up", "standby")]);
    let gateway = harness.updates(&[
        &list_line(5, true, &first),
        "{\"revision\":6,\"complete\":true,\"members\":[{}]}",
        "x",
    ]);
    let gateway = gateway.start();
    gateway.wait_for_counter("bad_lists=2");
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(kinds(&client.query(&select("a", "view", 20000))), "TDCZ");
    }
    assert_eq!((old.query_count(), new.query_count()), (0, 20));
}

// A connection to an earlier run of a host is reset when it is used.
#[test]
fn connections_are_reused_until_their_host_restarts() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::Row(b"one"), Reply::Row(b"two"), Reply::Row(b"three")]);
    let restarted = harness.entries(&[(&host, "up", "primary")]).replace("ms\":0", "ms\":1000");
    let gateway =
        harness.list(&[(&host, "up", "primary")]).later_updates(&[&list_line(42, false, &restarted)]).start();
    let mut client = gateway.client();
    client.query(&select("a", "view", 20000));
    gateway.wait_until_reusable();
    client.query(&select("a", "view", 20000));
    gateway.wait_for_counter("host_connects=1 ");
    gateway.send_later_updates();
    host.wait_for_disconnect();
    assert_eq!(kinds(&client.query(&select("a", "view", 20000))), "TDCZ");
    gateway.wait_for_counter("host_connects=2 ");
}

#[test]
fn an_ended_watch_resumes_after_its_last_revision() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![]);
    let entries = harness.entries(&[(&host, "up", "primary")]);
    let gateway =
        harness.list(&[(&host, "up", "primary")]).updates(&[&list_line(7, false, &entries)]).start();
    let first = gateway.next_watch();
    assert_eq!(first, "GET /discovery/hosts?watch=1&after=41 HTTP/1.1");
    gateway.end_watch();
    let second = gateway.next_watch();
    assert_eq!(second, "GET /discovery/hosts?watch=1&after=7 HTTP/1.1");
}

// Without a handler, SIGHUP kills the process. The environment still names the old discovery address after
// the reload.
#[test]
fn a_reload_moves_the_watch_and_an_unusable_configuration_changes_nothing() {
    let harness = Harness::new(gateway_program!());
    let (old, new) = (harness.host(vec![Reply::Row(b"old")]), harness.host(vec![Reply::Row(b"new")]));
    let entries = harness.entries(&[(&old, "removed", "standby"), (&new, "up", "primary")]);
    let other_source = harness.start_second_discovery(&[&list_line(3, true, &entries)]);
    let harness = harness.list(&[(&old, "up", "primary")]);
    let config = harness.config();
    let named = format!("\"discovery\":\"{}\"", harness.discovery_address());
    let gateway = harness.start();
    gateway.next_watch();
    let mut client = gateway.client();
    for bad in
        ["{", &config.replace("\"seed\":\"8c1f\"", "\"seed\":\"spring\""), &config.replace("mutate", "x")]
    {
        gateway.reload_config(bad);
    }
    // Signals that come close together may arrive as one.
    gateway.wait_for_counter_value("bad_configs=", |count| count >= 1);
    assert_eq!(client.query(&select("a", "view", 5000))[1].1[6..], *b"old");
    gateway.reload_config(&config.replace(&named, &format!("\"discovery\":\"{}\"", other_source.address())));
    assert_eq!(other_source.next_request(), "GET /discovery/hosts?watch=1 HTTP/1.1");
    gateway.wait_for_counter_value("lists=", |count| count >= 2);
    assert_eq!(client.query(&select("a", "view", 5000))[1].1[6..], *b"new");
}

// An update takes effect 2 s after the discovery agent has it, also for a gateway that has just started with
// an old list. Regression: a fleet that spread its first requests over 8 s sent to draining hosts.
#[test]
fn a_gateway_of_the_largest_fleet_requests_updates_before_they_take_effect() {
    let harness = Harness::new(gateway_program!());
    let (old, new) = (harness.host(vec![]), harness.host(vec![Reply::Row(b"new")]));
    let updates = harness.entries(&[(&old, "draining", "standby"), (&new, "up", "primary")]);
    let started = std::time::Instant::now();
    let gateway = harness
        .list(&[(&old, "up", "primary")])
        .updates(&[&list_line(42, false, &updates)])
        .start_with_changed_config(|config| config.replace("\"balancers\":1", "\"balancers\":10000"));
    gateway.next_watch();
    assert!(
        started.elapsed() < std::time::Duration::from_secs(2),
        "the first discovery request came too late"
    );
    gateway.wait_for_counter_value("lists=", |count| count >= 2);
    assert_eq!(gateway.client().query(&select("a", "view", 20000))[1].1[6..], *b"new");
    assert_eq!(old.query_count(), 0);
}
