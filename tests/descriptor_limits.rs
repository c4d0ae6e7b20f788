//! Exhausted descriptors: idle clients are closed to free some, and an accepted request still gets exactly
//! one final answer.

use petrelgauge_test_support::{gateway_program, kinds, query, select, Client, Harness, Reply};

/// The gateway reserves 40 descriptors for itself, so clients and hosts share three.
const DESCRIPTORS_WITH_THREE_SHARED: usize = 43;

fn select_with_id(id: &str) -> Vec<u8> {
    query(&select("a", "view", 25_000).replace("9b1f", id))
}

#[test]
fn a_request_without_a_descriptor_for_its_connection_is_sent_when_one_is_free() {
    let harness = Harness::new(gateway_program!()).sockets(DESCRIPTORS_WITH_THREE_SHARED);
    let host = harness.host(vec![Reply::WaitForRelease(b"first"), Reply::Row(b"second")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let (mut first, mut second) = (gateway.client(), gateway.client());
    first.write(&select_with_id("1"));
    assert!(host.next_query().contains("id=1"));
    second.write(&select_with_id("2"));
    // All three are in use, and no idle connection can be closed.
    gateway.wait_for_counter_value("NoDescriptor=", |count| count >= 1);
    host.release();
    assert!(first.read_until_ready()[1].1.ends_with(b"first"));
    assert!(second.read_until_ready()[1].1.ends_with(b"second"));
    assert_eq!(host.query_count(), 2);
}

// Regression (recorded day r755591): clients that had sent one request each kept all client connections, and
// half of the requests of other clients never reached the gateway.
#[test]
fn idle_clients_beyond_a_quarter_of_the_descriptors_are_closed() {
    let gateway = Harness::new(gateway_program!()).sockets(100).start();
    let clients: Vec<Client> = (0..45)
        .map(|_| {
            let mut client = gateway.client();
            client.query("");
            client
        })
        .collect();
    gateway.wait_for_counter_value("ClientShed=", |count| count >= 1);
    assert_eq!(kinds(&gateway.client().query("")), "IZ");
    drop(clients);
}

#[test]
fn idle_clients_beyond_the_descriptors_are_closed_for_one_that_sends_a_request() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::Row(b"v")]);
    let gateway = harness.sockets(50).list(&[(&host, "up", "primary")]).start();
    let idle: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
    assert_eq!(kinds(&gateway.client().query(&select("a", "view", 20000))), "TDCZ");
    drop(idle);
}
