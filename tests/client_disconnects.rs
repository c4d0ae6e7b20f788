//! A client that disconnects while its request waits: after that, nothing of the request is sent. Each test
//! forces the race by the order of events, with a host that answers a startup message only when the test
//! allows it.

use petrelgauge_test_support::{
    chunk, field, gateway_program, insert, kinds, list_line, message, query, select, startup, Client,
    Gateway, Harness, Reply, Step, RESPONSE_HEAD,
};
use std::time::Duration;

/// Size of a value whose statement is nearly as long as the longest message.
const LARGE: usize = 30_000;
/// Large queries sent after a small one: more bytes than one read returns, fewer than may be buffered per
/// client.
const LARGE_QUERIES: usize = 4;
/// Queries that make the kernel enlarge the receive buffer of the connection.
const WARM_UP_QUERIES: usize = 20;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Fin,
    Reset,
    Terminate,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Fin, Disconnect::Reset, Disconnect::Terminate];

/// Disconnects the client. After a Terminate message its socket stays open, as with a client that never
/// closes it.
fn disconnect(client: Client, how: Disconnect) -> Option<Client> {
    let mut client = client;
    match how {
        Disconnect::Fin => None,
        Disconnect::Reset => {
            client.reset();
            None
        }
        Disconnect::Terminate => {
            client.write(&message(b'X', b""));
            Some(client)
        }
    }
}

fn read_query(name: &str, id: &str) -> Vec<u8> {
    query(&select(name, "view", 60_000).replace("9b1f", id))
}

/// A configuration with a long connect timeout, in which attempts in flight may be cancelled or not.
fn config(harness: &Harness, cancel: bool) -> String {
    let config = harness.config().replace("\"connect_timeout_us\":250000", "\"connect_timeout_us\":50000000");
    config.replace("\"cancel\":true", &format!("\"cancel\":{cancel}"))
}

// Where the settings forbid cancelling, the attempt once continued after its client had disconnected, and was
// sent as soon as its connection was established.
#[test]
fn a_request_whose_client_disconnects_during_connect_is_not_sent() {
    std::thread::scope(|scope| {
        for how in DISCONNECTS {
            for cancel in [false, true] {
                scope.spawn(move || {
                    let harness = Harness::new(gateway_program!());
                    let host = harness.host_holding_startups(0, vec![Reply::Row(b"second")]);
                    let harness = harness.list(&[(&host, "up", "primary")]);
                    let config = config(&harness, cancel);
                    let gateway = harness.start_with_config(&config);
                    let mut client = gateway.client();
                    client.write(&read_query("first", "9b1f"));
                    host.next_connection();
                    let kept = disconnect(client, how);
                    gateway.wait_for_counter("left=1 ");
                    host.release();
                    if !cancel {
                        // The next request can use its connection.
                        gateway.wait_for_counter(" NotWanted=1");
                        gateway.wait_until_reusable();
                    }
                    let mut next = gateway.client();
                    next.write(&read_query("second", "9b20"));
                    if cancel {
                        // The connection was closed with the attempt; the next request opens its own.
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
    for how in DISCONNECTS {
        let harness = Harness::new(gateway_program!());
        let host = harness.host(vec![Reply::WaitForRelease(b"first"), Reply::Row(b"third")]);
        let gateway = harness.list(&[(&host, "up", "primary")]).start();
        let mut client = gateway.client();
        client.write(&[read_query("first", "9b1f"), read_query("second", "9b20")].concat());
        assert!(host.next_query().contains("'first'"));
        let kept = disconnect(client, how);
        gateway.wait_for_counter("left=1 ");
        // Its id is free once its attempt has ended.
        gateway.wait_for_counter(" Cancelled=1");
        host.release();
        let mut next = gateway.client();
        next.write(&read_query("third", "9b1f"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}: the request id is free again");
        assert!(host.next_query().contains("'third'"), "{how:?}");
        drop(kept);
    }
}

#[test]
fn a_request_waiting_for_a_host_is_dropped_when_its_client_disconnects() {
    for how in DISCONNECTS {
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
        client.write(&read_query("first", "9b1f"));
        gateway.wait_for_counter("requests=1 ");
        let kept = disconnect(client, how);
        gateway.wait_for_counter("left=1 ");
        source.release();
        gateway.wait_for_counter_value("lists=", |count| count >= 2);
        let mut next = gateway.client();
        next.write(&read_query("second", "9b1f"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}");
        assert!(host.next_query().contains("'second'"), "{how:?}");
        assert_eq!(host.query_count(), 1, "{how:?}");
        drop(kept);
    }
}

// A client that has sent more than may be buffered is not read any further, except to detect a disconnect.
#[test]
fn a_client_that_disconnects_after_a_large_batch_leaves_no_request_behind() {
    for how in [Disconnect::Fin, Disconnect::Reset] {
        let harness = Harness::new(gateway_program!());
        let host = harness.host_holding_startups(0, vec![Reply::Row(b"second")]);
        let harness = harness.list(&[(&host, "up", "primary")]);
        let config = config(&harness, false);
        let gateway = harness.start_with_config(&config);
        let mut client = gateway.client();
        client.write(&read_query("first", "9b1f").repeat(200));
        host.next_connection();
        disconnect(client, how);
        gateway.wait_for_counter("left=1 ");
        host.release();
        gateway.wait_for_counter(" NotWanted=1");
        gateway.wait_until_reusable();
        let mut next = gateway.client();
        next.write(&read_query("second", "9b1f"));
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
    let startup_answer = client.read_until_ready();
    let (_, key) = startup_answer.iter().find(|(kind, _)| *kind == b'K').expect("a key");
    let number = |from: usize| u32::from_be_bytes([key[from], key[from + 1], key[from + 2], key[from + 3]]);
    let (process, secret) = (number(0), number(4));
    client.write(&read_query("first", "9b1f"));
    host.next_connection();
    for (process, secret) in [(process, secret ^ 1), (process ^ 1, secret), (process, secret)] {
        let mut canceller = gateway.raw_client();
        canceller.write(&cancel_request(process, secret));
        assert_eq!(canceller.read_until_end(), b"");
    }
    let answer = client.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "57014"));
    gateway.wait_for_counter("cancelled=1 ");
    host.release();
    // The connection stays open, and the next query is served.
    client.write(&read_query("second", "9b20"));
    host.next_connection();
    host.release();
    assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
    assert!(host.next_query().contains("'second'"));
    assert_eq!(host.query_count(), 1);
}

/// Stops the process while this runs, so that the process finds all its effects at once when it continues.
fn while_stopped(gateway: &Gateway, run: impl FnOnce()) {
    gateway.signal("STOP");
    let status = format!("/proc/{}/status", gateway.process_id());
    while !std::fs::read_to_string(&status).expect("it runs").contains("State:\tT") {
        std::thread::sleep(Duration::from_millis(1));
    }
    run();
    gateway.signal("CONT");
}

/// A client that has completed its startup, and the process number and secret of its cancel key.
fn client_with_key(gateway: &Gateway) -> (Client, (u32, u32)) {
    let mut client = gateway.raw_client();
    client.write(&startup());
    let startup_answer = client.read_until_ready();
    let (_, key) = startup_answer.iter().find(|(kind, _)| *kind == b'K').expect("a key");
    let number = |from: usize| u32::from_be_bytes([key[from], key[from + 1], key[from + 2], key[from + 3]]);
    (client, (number(0), number(4)))
}

// The wait for a cancel once began again after every other event, and a cancel in the same turn as such an
// event was lost.
#[test]
fn a_cancel_in_the_same_turn_as_a_failed_attempt_leaves_no_retry() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::CloseOnRelease, Reply::Row(b"second")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let (mut client, (process, secret)) = client_with_key(&gateway);
    let mut canceller = gateway.raw_client();
    client.write(&read_query("first", "9b1f"));
    assert!(host.next_query().contains("'first'"));
    gateway.wait_for_counter_value("clients=", |count| count >= 2);
    while_stopped(&gateway, || {
        host.release();
        host.wait_for_disconnect();
        canceller.write(&cancel_request(process, secret));
    });
    let answer = client.read_until_ready();
    assert_eq!((kinds(&answer).as_str(), field(&answer[0].1, b'C').as_str()), ("EZ", "57014"));
    gateway.wait_for_counter("cancelled=1 ");
    assert_eq!(host.query_count(), 1);
}

// The end of a client's stream was once seen only after all bytes before it had been read, and a query among
// them was sent in the meantime.
#[test]
fn a_query_before_much_unread_input_is_not_sent_after_its_client_has_disconnected() {
    for how in [Disconnect::Fin, Disconnect::Reset] {
        let harness = Harness::new(gateway_program!());
        let script = std::iter::repeat_with(|| Reply::Row(b"any")).take(WARM_UP_QUERIES + 2);
        let host = harness.host(script.collect());
        let gateway = harness.list(&[(&host, "up", "primary")]).start();
        let mut client = gateway.client();
        // Each request has an id of its own.
        let large = |number: usize| {
            let text = insert("large", 60_000).replace("9b1f", &format!("large-{number}"));
            query(&text.replace("9f03", &"9f".repeat(LARGE)))
        };
        // The kernel enlarges the receive buffer of a client that has sent much.
        for number in 0..WARM_UP_QUERIES {
            client.write(&large(number));
            assert_eq!(kinds(&client.read_until_ready()), "TDCZ");
            host.next_query();
        }
        gateway.wait_until_reusable();
        while_stopped(&gateway, || {
            let unread = (WARM_UP_QUERIES..WARM_UP_QUERIES + LARGE_QUERIES).flat_map(large);
            client.write(&[read_query("first", "9b1f"), unread.collect()].concat());
            disconnect(client, how);
        });
        let mut next = gateway.client();
        next.write(&read_query("second", "9b20"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}");
        assert!(host.next_query().contains("'second'"), "{how:?}");
        assert_eq!(host.query_count(), WARM_UP_QUERIES + 1, "{how:?}");
    }
}

#[test]
fn a_retry_due_with_a_reload_is_not_sent_after_its_client_has_disconnected() {
    for how in DISCONNECTS {
        let harness = Harness::new(gateway_program!());
        let host = harness.host(vec![Reply::CloseOnRelease, Reply::Row(b"second")]);
        let harness = harness.list(&[(&host, "up", "primary")]);
        let config = config(&harness, false);
        let gateway = harness.start_with_config(&config);
        let mut client = gateway.client();
        client.write(&read_query("first", "9b1f"));
        assert!(host.next_query().contains("'first'"));
        let mut kept = None;
        while_stopped(&gateway, || {
            gateway.reload_config(&config.replace("\"attempts_cap\":8", "\"attempts_cap\":4"));
            host.release();
            host.wait_for_disconnect();
            kept = disconnect(client, how);
        });
        gateway.wait_for_log_line("configuration reloaded");
        gateway.wait_for_counter("left=1 ");
        let mut next = gateway.client();
        next.write(&read_query("second", "9b20"));
        assert_eq!(kinds(&next.read_until_ready()), "TDCZ", "{how:?}");
        assert!(host.next_query().contains("'second'"), "{how:?}");
        assert_eq!(host.query_count(), 2, "{how:?}");
        drop(kept);
    }
}
