//! Clients whose connection ends: each query that was read whole has its final answer first, and what was written
//! reaches the client.

mod stage;
use stage::*;

/// A message with a length that cannot be.
const MALFORMED: &[u8] = b"!\xff\xff\xff\xff";

/// A query with an id of its own.
fn identified(id: &str, wait_ms: u64) -> Vec<u8> {
    query(&select("a", "view", wait_ms).replace("9b1f", id))
}

/// The codes of these errors; the messages between them are dropped.
fn codes(messages: &[(u8, Vec<u8>)]) -> Vec<String> {
    let errors = messages.iter().filter(|(kind, _)| *kind == b'E');
    errors.map(|(_, body)| field(body, b'C')).collect()
}

// Both were dropped when the span in which the first could be answered was over.
#[test]
fn queries_before_malformed_bytes_are_answered_before_the_connection_ends() {
    let stage = Stage::new(240);
    let host = stage.host(vec![Say::Nothing]);
    let gateway = stage.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.client();
    client.write(&[identified("1", 60_000), identified("2", 60_000), MALFORMED.to_vec()].concat());
    let answers = client.rest();
    assert_eq!(kinds(&answers), "EZEZE");
    // The first may have run; the second went nowhere.
    assert_eq!(codes(&answers), ["40003", "53300", "08P01"]);
    assert!(host.next_query().contains("id=1"));
    host.left();
    assert_eq!(host.queries(), 1);
    gateway.wait_for_counter("requests=2 served=0 refused=1 failed=1 ");
}

#[test]
fn queries_before_malformed_bytes_are_served_where_their_host_is_quick() {
    let stage = Stage::new(241);
    let host = stage.host(vec![Say::Row(b"one"), Say::Row(b"two")]);
    let gateway = stage.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.client();
    client.write(&[identified("1", 60_000), identified("2", 60_000), MALFORMED.to_vec()].concat());
    let answers = client.rest();
    assert_eq!(kinds(&answers), "TDCZTDCZE");
    assert_eq!(codes(&answers), ["08P01"]);
}
