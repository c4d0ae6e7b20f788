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

// The gateway closed as soon as it had written. A query that then came reset the connection, and the part of the answer
// that the client had not yet taken was lost with it.
#[test]
fn an_answer_that_is_taken_slowly_outlives_the_stop_and_a_query_behind_it() {
    static VALUE: [u8; 60_000] = [b'v'; 60_000];
    let stage = Stage::new(242);
    let host = stage.host(vec![Say::WaitForGo(&VALUE)]);
    let mut gateway = stage.list(&[(&host, "up", "primary")]).start();
    let (mut idle, mut client) = (gateway.client(), gateway.narrow_client());
    client.write(&identified("1", 25_000));
    host.next_query();
    gateway.signal("TERM");
    assert_eq!(kinds(&idle.rest()), "", "from now on clients are closed");
    host.go();
    // By the clock: the answer is written, and the connection closed for writing.
    std::thread::sleep(std::time::Duration::from_millis(200));
    client.write(&identified("2", 25_000));
    let answer = client.rest();
    assert_eq!(kinds(&answer), "TDCZ");
    assert!(answer[1].1.ends_with(&VALUE));
    drop(client);
    let (code, log) = gateway.ended();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("requests=1 served=1 "), "the second was not read: {log}");
}
