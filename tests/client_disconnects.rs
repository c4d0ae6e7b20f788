//! A client that leaves while its request waits: from then on nothing of it goes out. Each test forces the crossing by
//! the order of events, with a host that welcomes a connection only when the test says so.

use petrelgauge_test_support::{
    chunk, field, gateway_program, insert, kinds, list_line, message, query, select, startup, Client,
    Gateway, Harness, Reply, Step, RESPONSE_HEAD,
};
use std::time::Duration;

/// Bytes of a value that takes its statement near the longest message, and how many of them follow a query: several reads,
/// and less than is held of one client.
const LARGE: usize = 30_000;
const LARGE_QUERIES: usize = 4;
const WARM_QUERIES: usize = 20;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Fin,
    Reset,
    Goodbye,
}

const WAYS: [Leave; 3] = [Leave::Fin, Leave::Reset, Leave::Goodbye];

/// Leaves. One that says goodbye keeps its socket, as one does that never comes to closing it.
fn leave(client: Client, how: Leave) -> Option<Client> {
    let mut client = client;
    match how {
        Leave::Fin => None,
        Leave::Reset => {
            client.reset();
            None
        }
        Leave::Goodbye => {
            client.write(&message(b'X', b""));
            Some(client)
        }
    }
}

fn named(name: &str, id: &str) -> Vec<u8> {
    query(&select(name, "view", 60_000).replace("9b1f", id))
}

/// Connections may take their time, and work that is out may be called off, or not.
fn config(harness: &Harness, cancel: bool) -> String {
    let config = harness.config().replace("\"connect_timeout_us\":250000", "\"connect_timeout_us\":50000000");
    config.replace("\"cancel\":true", &format!("\"cancel\":{cancel}"))
}

// Where the settings forbid to call work off, the attempt went on when its client had left, and was written as soon as its
// connection was up.
#[test]
fn a_request_whose_client_disconnects_during_connect_is_not_sent() {
    std::thread::scope(|scope| {
        for how in WAYS {
            for cancel in [false, true] {
                scope.spawn(move || {
                    let harness = Harness::new(gateway_program!());
                    let host = harness.host_holding_startups(0, vec![Reply::Row(b"second")]);
                    let harness = harness.list(&[(&host, "up", "primary")]);
                    let config = config(&harness, cancel);
                    let gateway = harness.start_with_config(&config);
                    let mut client = gateway.client();
                    client.write(&named("first", "9b1f"));
                    host.next_connection();
                    let kept = leave(client, how);
                    gateway.wait_for_counter("left=1 ");
                    host.release();
                    if !cancel {
                        // Its connection is good for the next one.
                        gateway.wait_for_counter(" NotWanted=1");
                        gateway.wait_until_reusable();
                    }
                    let mut next = gateway.client();
                    next.write(&named("second", "9b20"));
                    if cancel {
                        // The connection went with the attempt; the next request has one of its own.
                        host.next_connection();
                        host.release();
                    }
                    assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?} {cancel}");
                    assert!(host.next_query().contains("'second'"), "{how:?} {cancel}");
                    assert_eq!(host.query_count(), 1, "{how:?} {cancel}");
                    drop(kept);
                });
            }
        }
    });
}

#[test]
fn a_pipelined_query_is_not_sent_after_its_client_has_disconnected() {
    for how in WAYS {
        let harness = Harness::new(gateway_program!());
        let host = harness.host(vec![Reply::WaitForRelease(b"first"), Reply::Row(b"third")]);
        let gateway = harness.list(&[(&host, "up", "primary")]).start();
        let mut client = gateway.client();
        client.write(&[named("first", "9b1f"), named("second", "9b20")].concat());
        assert!(host.next_query().contains("'first'"));
        let kept = leave(client, how);
        gateway.wait_for_counter("left=1 ");
        host.release();
        let mut next = gateway.client();
        next.write(&named("third", "9b1f"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}: its name is free again");
        assert!(host.next_query().contains("'third'"), "{how:?}");
        drop(kept);
    }
}

#[test]
fn a_request_waiting_for_a_host_is_dropped_when_its_client_disconnects() {
    for how in WAYS {
        let harness = Harness::new(gateway_program!());
        let host = harness.host(vec![Reply::Row(b"second")]);
        let up = harness.entries(&[(&host, "up", "primary")]);
        let harness = harness.list(&[(&host, "draining", "primary")]);
        let script = vec![
            Step::Write(RESPONSE_HEAD.to_vec()),
            Step::WaitForRelease,
            Step::Write(chunk(&format!("{}\n", list_line(42, true, &up.replace("s-0", "s-1"))))),
            Step::Heartbeat,
        ];
        let config = harness.config();
        let (gateway, source) = harness.start_scripted(&config, vec![script]);
        let mut client = gateway.client();
        client.write(&named("first", "9b1f"));
        gateway.wait_for_counter("requests=1 ");
        let kept = leave(client, how);
        gateway.wait_for_counter("left=1 ");
        source.release();
        gateway.wait_for_counter_value("lists=", |count| count >= 2);
        let mut next = gateway.client();
        next.write(&named("second", "9b1f"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}");
        assert!(host.next_query().contains("'second'"), "{how:?}");
        assert_eq!(host.query_count(), 1, "{how:?}");
        drop(kept);
    }
}

// A client that has sent more than is held is cut off, and is read no further but for its leaving.
#[test]
fn a_client_that_disconnects_after_a_large_batch_leaves_no_request_behind() {
    for how in [Leave::Fin, Leave::Reset] {
        let harness = Harness::new(gateway_program!());
        let host = harness.host_holding_startups(0, vec![Reply::Row(b"second")]);
        let harness = harness.list(&[(&host, "up", "primary")]);
        let config = config(&harness, false);
        let gateway = harness.start_with_config(&config);
        let mut client = gateway.client();
        client.write(&named("first", "9b1f").repeat(200));
        host.next_connection();
        leave(client, how);
        gateway.wait_for_counter("left=1 ");
        host.release();
        gateway.wait_for_counter(" NotWanted=1");
        gateway.wait_until_reusable();
        let mut next = gateway.client();
        next.write(&named("second", "9b1f"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}");
        assert!(host.next_query().contains("'second'"), "{how:?}");
    }
}

/// A cancel request with this key.
fn cancel_request(process: u32, secret: u32) -> Vec<u8> {
    [16, 80_877_102, process, secret].iter().flat_map(|number| number.to_be_bytes()).collect()
}

#[test]
fn a_cancelled_request_is_not_sent_and_only_its_own_key_cancels_it() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host_holding_startups(0, vec![Reply::Row(b"second")]);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = config(&harness, true);
    let gateway = harness.start_with_config(&config);
    let mut client = gateway.raw_client();
    client.write(&startup());
    let welcome = client.read_until_ready();
    let (_, key) = welcome.iter().find(|(kind, _)| *kind == b'K').expect("a key");
    let number = |from: usize| u32::from_be_bytes([key[from], key[from + 1], key[from + 2], key[from + 3]]);
    let (process, secret) = (number(0), number(4));
    client.write(&named("first", "9b1f"));
    host.next_connection();
    for (process, secret) in [(process, secret ^ 1), (process ^ 1, secret), (process, secret)] {
        let mut other = gateway.raw_client();
        other.write(&cancel_request(process, secret));
        assert_eq!(other.read_until_end(), b"");
    }
    let answer = client.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "57014"));
    gateway.wait_for_counter("cancelled=1 ");
    host.release();
    // The connection stays, and the next query is served.
    client.write(&named("second", "9b20"));
    host.next_connection();
    host.release();
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    assert!(host.next_query().contains("'second'"));
    assert_eq!(host.query_count(), 1);
}

/// Stops the process while this is done, so that all of it is there when it goes on.
fn while_stopped(gateway: &Gateway, happens: impl FnOnce()) {
    gateway.signal("STOP");
    let status = format!("/proc/{}/status", gateway.process_id());
    while !std::fs::read_to_string(&status).expect("it runs").contains("State:\tT") {
        std::thread::sleep(Duration::from_millis(1));
    }
    happens();
    gateway.signal("CONT");
}

/// A client that has been welcomed, and its process number and secret.
fn client_with_key(gateway: &Gateway) -> (Client, (u32, u32)) {
    let mut client = gateway.raw_client();
    client.write(&startup());
    let welcome = client.read_until_ready();
    let (_, key) = welcome.iter().find(|(kind, _)| *kind == b'K').expect("a key");
    let number = |from: usize| u32::from_be_bytes([key[from], key[from + 1], key[from + 2], key[from + 3]]);
    (client, (number(0), number(4)))
}

// The wait for the cancel began anew behind each other event, and a cancel in the turn of one was lost.
#[test]
fn a_cancel_in_the_same_turn_as_a_failed_attempt_leaves_no_retry() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::CloseOnRelease, Reply::Row(b"second")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let (mut client, (process, secret)) = client_with_key(&gateway);
    let mut other = gateway.raw_client();
    client.write(&named("first", "9b1f"));
    assert!(host.next_query().contains("'first'"));
    gateway.wait_for_counter_value("clients=", |count| count >= 2);
    while_stopped(&gateway, || {
        host.release();
        host.wait_for_disconnect();
        other.write(&cancel_request(process, secret));
    });
    let answer = client.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "57014"));
    gateway.wait_for_counter("cancelled=1 ");
    assert_eq!(host.query_count(), 1);
}

// The end of a client's bytes was seen only behind all bytes before it, and a query of theirs went out meanwhile.
#[test]
fn a_query_before_much_unread_input_is_not_sent_after_its_client_has_disconnected() {
    for how in [Leave::Fin, Leave::Reset] {
        let harness = Harness::new(gateway_program!());
        let script = std::iter::repeat_with(|| Reply::Row(b"any")).take(WARM_QUERIES + 2);
        let host = harness.host(script.collect());
        let gateway = harness.list(&[(&host, "up", "primary")]).start();
        let mut client = gateway.client();
        let large = query(&insert("large", 60_000).replace("9f03", &"9f".repeat(LARGE)));
        // The kernel takes more from a client that has sent much.
        for _ in 0..WARM_QUERIES {
            client.write(&large);
            assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
            host.next_query();
        }
        gateway.wait_until_reusable();
        while_stopped(&gateway, || {
            client.write(&[named("first", "9b1f"), large.repeat(LARGE_QUERIES)].concat());
            leave(client, how);
        });
        let mut next = gateway.client();
        next.write(&named("second", "9b20"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}");
        assert!(host.next_query().contains("'second'"), "{how:?}");
        assert_eq!(host.query_count(), WARM_QUERIES + 1, "{how:?}");
    }
}

#[test]
fn a_retry_due_with_a_reload_is_not_sent_after_its_client_has_disconnected() {
    for how in WAYS {
        let harness = Harness::new(gateway_program!());
        let host = harness.host(vec![Reply::CloseOnRelease, Reply::Row(b"second")]);
        let harness = harness.list(&[(&host, "up", "primary")]);
        let config = config(&harness, false);
        let gateway = harness.start_with_config(&config);
        let mut client = gateway.client();
        client.write(&named("first", "9b1f"));
        assert!(host.next_query().contains("'first'"));
        let mut kept = None;
        while_stopped(&gateway, || {
            gateway.reload_config(&config.replace("\"attempts_cap\":8", "\"attempts_cap\":4"));
            host.release();
            host.wait_for_disconnect();
            kept = leave(client, how);
        });
        gateway.wait_for_log_line("configuration reloaded");
        gateway.wait_for_counter("left=1 ");
        let mut next = gateway.client();
        next.write(&named("second", "9b20"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}");
        assert!(host.next_query().contains("'second'"), "{how:?}");
        assert_eq!(host.query_count(), 2, "{how:?}");
        drop(kept);
    }
}
