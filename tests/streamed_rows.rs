//! Rows that are longer than the gateway buffers, and answers in pieces: rows are passed on as they arrive.

use petrelgauge_test_support::{
    gateway_program, gateway_with_primary, kinds, message, query, row, select, Harness, Reply,
};

const VIEW: &str = "view";

/// A row of this length, whose bytes show by their value if one is missing or out of order.
fn long_row(length: usize) -> Vec<u8> {
    row(&(0..length).map(|index| (index % 251) as u8).collect::<Vec<u8>>())
}

#[test]
fn a_row_of_four_mib_reaches_a_slow_client_and_its_host_connection_is_reused() {
    let harness = Harness::new(gateway_program!());
    let complete: &'static [u8] = long_row(4 << 20).leak();
    let after: &'static [u8] =
        [complete, &message(b'S', b"replication_role\0primary\0")[..], &message(b'Z', b"I")].concat().leak();
    let host = harness.host(vec![Reply::Bytes(after), Reply::Row(b"short"), Reply::Bytes(after)]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.client();
    client.write(&query(&select("a", VIEW, 20000)));
    // The first bytes arrive although the client does not read the rest.
    let mut got = client.read_bytes(1000);
    std::thread::sleep(std::time::Duration::from_millis(700));
    got.extend(client.read_bytes(complete.len() - 1000));
    assert!(got == complete, "the row arrived changed");
    assert_eq!(kinds(&client.read_until_ready()), "Z");
    gateway.wait_until_reusable();
    assert_eq!(client.query(&select("b", VIEW, 20000))[1].1[6..], *b"short");
    gateway.wait_until_reusable();
    assert_eq!(kinds(&client.query(&select("c", VIEW, 20000))), "TDCZ");
    gateway.wait_for_counter("host_connects=1 ");
}

#[test]
fn a_host_that_disconnects_within_a_streamed_row_ends_the_client_connection_without_a_retry() {
    let harness = Harness::new(gateway_program!());
    let partial: &'static [u8] = long_row(1 << 20)[..300_000].to_vec().leak();
    let host = harness.host(vec![Reply::BytesThenClose(partial), Reply::Row(b"other")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    let mut client = gateway.client();
    client.write(&query(&select("a", VIEW, 20000)));
    let mut got = client.read_bytes(partial.len());
    got.extend(client.read_until_end());
    assert!(got == partial, "expected the bytes that the host sent, then the end");
    assert_eq!(kinds(&gateway.client().query(&select("b", VIEW, 20000))), "TDCZ", "the next is served");
    assert_eq!(host.query_count(), 2);
}

#[test]
fn a_row_longer_than_any_value_is_malformed() {
    let harness = Harness::new(gateway_program!());
    let partial: &'static [u8] = long_row((4 << 20) + 1)[..100].to_vec().leak();
    let host = harness.host(vec![Reply::Bytes(partial), Reply::Row(b"other")]);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    assert_eq!(gateway.client().query(&select("a", VIEW, 20000))[1].1[6..], *b"other");
    gateway.wait_for_counter("HostMalformed=1");
}

#[test]
fn an_answer_received_in_pieces_is_assembled() {
    let (host, gateway) =
        gateway_with_primary(gateway_program!(), vec![Reply::RowInPieces(b"in pieces", 20, 40)]);
    assert_eq!(gateway.client().query(&select("a", VIEW, 20000))[1].1[6..], *b"in pieces");
    assert_eq!(host.query_count(), 1);
}
