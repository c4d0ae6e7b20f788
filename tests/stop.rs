//! The stop of a gateway whose classes give little time: whatever stays open is closed before the platform may kill it.

mod harness;
use harness::*;
use std::time::Duration;

/// All deadlines are 0.2 s: after SIGTERM the process may be killed at 0.9 s.
fn brief(config: &str) -> String {
    let brief = "\"aim_us\":100000,\"deadline_us\":200000";
    config.replace("\"aim_us\":4000000,\"deadline_us\":30000000", brief)
}

// A message that had begun was waited for 2 s, and a client that had just come 0.5 s: what it sent then was taken, and the
// process was killed before it was answered.
#[test]
fn a_query_whose_end_comes_when_the_process_may_be_killed_finds_its_connection_closed() {
    let harness = Harness::new(200);
    let host = harness.host(vec![Reply::Row(b"v")]);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = brief(&harness.config());
    let mut gateway = harness.start_as(&config);
    let mut client = gateway.client();
    let text = query(&select("a", "view", 200));
    client.write(&text[..20]);
    gateway.signal("TERM");
    gateway.line_with("stopping");
    // By the clock: well behind the moment at which it may be killed, and before the 2 s that it waited.
    std::thread::sleep(Duration::from_millis(1_400));
    client.write(&text[20..]);
    assert!(client.until_end().is_empty());
    let (code, log) = gateway.ended();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("requests=0 "), "{log}");
}

#[test]
fn the_end_comes_before_the_kill_whatever_clients_have_begun() {
    let harness = Harness::new(201);
    let host = harness.host(vec![Reply::Nothing]);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = brief(&harness.config());
    let mut gateway = harness.start_as(&config);
    // One has a query open that no host answers, one has begun another, one has said nothing, one not who it is.
    let (mut asks, mut began, new, mut opening) =
        (gateway.client(), gateway.client(), gateway.client(), gateway.raw_client());
    asks.write(&query(&select("a", "view", 200)));
    began.write(&query(&select("b", "view", 200).replace("9b1f", "9b20"))[..20]);
    opening.write(&startup()[..9]);
    host.next_query();
    gateway.signal("TERM");
    let stopping_since = std::time::Instant::now();
    gateway.line_with("stopping");
    let answer = asks.until_ready();
    assert_eq!(kinds(&answer), "EZ");
    assert_eq!(gateway.ended().0, Some(0));
    // 0.65 s and what the machine needs; it was 2 s and more.
    assert!(stopping_since.elapsed() < Duration::from_millis(1_600), "{:?}", stopping_since.elapsed());
    drop(new);
}

// The classes in force when the signal comes need not be those that the platform reckons with.
#[test]
fn deadlines_that_a_reload_has_just_made_longer_do_not_put_the_end_off() {
    let harness = Harness::new(202);
    let host = harness.host(vec![Reply::Nothing]);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let long = harness.config();
    let mut gateway = harness.start_as(&brief(&long));
    let mut client = gateway.client();
    gateway.configure(&long);
    gateway.line_with("configuration reloaded");
    gateway.signal("TERM");
    gateway.line_with("stopping");
    // Taken in a stop, it would be waited for up to 25 s, and up to 3.45 s by the new deadlines.
    let stopping_since = std::time::Instant::now();
    client.write(&query(&select("a", "view", 25_000)));
    let answer = client.until_ready();
    assert_eq!(kinds(&answer), "EZ");
    assert_eq!(gateway.ended().0, Some(0));
    assert!(stopping_since.elapsed() < Duration::from_millis(2_500), "{:?}", stopping_since.elapsed());
}
