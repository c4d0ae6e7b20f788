//! Clients that send many queries at once. The gateway reads a bounded number of them ahead, leaves the
//! others in the kernel, and answers all of them in order.

use petrelgauge_test_support::{
    field, gateway_program, gateway_with_primary, insert, kinds, message, query, select, Client, Harness,
    Host, Reply,
};

/// More queries than may be queued, and more bytes than one read returns: a part stays in the kernel.
const BATCH: usize = 1_000;

/// A value whose statement is nearly as long as the longest message.
const LARGE: usize = 50_000;

fn read_query(number: usize, wait_ms: u64) -> Vec<u8> {
    query(&select(&format!("row-{number}"), "view", wait_ms).replace("9b1f", &format!("{number:x}")))
}

fn write_query(number: usize, size: usize) -> Vec<u8> {
    let text = insert(&format!("row-{number}"), 60_000).replace("9b1f", &format!("{number:x}"));
    let value = "9f".repeat(size);
    query(&text.replace("5c0f", &format!("{number:x}")).replace("9f03", &value))
}

fn batch(make_query: impl Fn(usize) -> Vec<u8>, count: usize) -> Vec<u8> {
    (0..count).flat_map(make_query).collect()
}

/// The value that a host returns for the query with this number.
fn value(number: usize) -> &'static [u8] {
    format!("value-{number}").leak().as_bytes()
}

/// A host that answers the first query when the test allows it, and the others at once.
fn script(count: usize) -> Vec<Reply> {
    let others = (1..count).map(|number| Reply::Row(value(number)));
    std::iter::once(Reply::WaitForRelease(value(0))).chain(others).collect()
}

fn expect_rows(client: &mut Client, count: usize) {
    for number in 0..count {
        let answer = client.read_until_ready();
        assert_eq!(kinds(&answer), "TDCZ", "answer {number}");
        assert!(answer[1].1.ends_with(value(number)), "answer {number} out of order");
    }
}

fn expect_queries(host: &Host, count: usize) {
    for number in 0..count {
        let name = format!("'row-{number}'");
        assert!(host.next_query().contains(&name), "query {number} out of order");
    }
    assert_eq!(host.query_count(), count);
}

#[test]
fn a_batch_over_the_message_bound_is_answered_completely_and_in_order() {
    let (host, gateway) = gateway_with_primary(gateway_program!(), script(BATCH));
    let mut client = gateway.client();
    let written = client.write_in_background(batch(|number| read_query(number, 60_000), BATCH));
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    host.release();
    expect_rows(&mut client, BATCH);
    expect_queries(&host, BATCH);
    written.join().expect("the writer ends").expect("everything is read");
}

#[test]
fn a_batch_over_the_byte_bound_is_answered_completely_and_in_order() {
    const COUNT: usize = 40;
    let (host, gateway) = gateway_with_primary(gateway_program!(), script(COUNT));
    let mut client = gateway.client();
    let written = client.write_in_background(batch(|number| write_query(number, LARGE), COUNT));
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    host.release();
    expect_rows(&mut client, COUNT);
    expect_queries(&host, COUNT);
    written.join().expect("the writer ends").expect("everything is read");
}

// With one megabyte of memory, all clients together may buffer 192 KiB: less than two of these messages each.
#[test]
fn batches_over_the_shared_memory_bound_are_answered_completely() {
    const COUNT: usize = 8;
    const CLIENTS: usize = 3;
    let harness = Harness::new(gateway_program!());
    let mut script: Vec<Reply> = (0..CLIENTS).map(|_| Reply::WaitForRelease(b"first")).collect();
    script.extend((0..CLIENTS * (COUNT - 1)).map(|_| Reply::Row(b"later")));
    let host = harness.host(script);
    let gateway = harness
        .list(&[(&host, "up", "primary")])
        .start_with_changed_config(|config| config.replace("\"memory_mb\":192", "\"memory_mb\":1"));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gateway.client()).collect();
    let mut writers = Vec::new();
    for (index, client) in clients.iter().enumerate() {
        let first = index * COUNT;
        writers.push(client.write_in_background(batch(|number| write_query(first + number, LARGE), COUNT)));
    }
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    (0..CLIENTS).for_each(|_| host.release());
    for client in &mut clients {
        for number in 0..COUNT {
            assert_eq!(kinds(&client.read_until_ready()), "TDCZ", "answer {number}");
        }
    }
    assert_eq!(host.query_count(), CLIENTS * COUNT);
    writers
        .into_iter()
        .for_each(|written| written.join().expect("the writer ends").expect("everything is read"));
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Fin,
    Reset,
    Terminate,
}

fn disconnect(mut client: Client, how: Disconnect) {
    match how {
        Disconnect::Fin => {}
        Disconnect::Reset => client.reset(),
        Disconnect::Terminate => client.write(&message(b'X', b"")),
    }
}

#[test]
fn a_disconnect_is_noticed_while_reading_is_paused() {
    for how in [Disconnect::Fin, Disconnect::Reset, Disconnect::Terminate] {
        let (host, gateway) = gateway_with_primary(
            gateway_program!(),
            vec![Reply::WaitForRelease(b"first"), Reply::Row(b"other")],
        );
        let mut client = gateway.client();
        client.write(&batch(|number| read_query(number, 60_000), BATCH));
        host.next_query();
        gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
        disconnect(client, how);
        // Its first request is abandoned while it is in flight, and none after it is sent.
        gateway.wait_for_counter("left=1 ");
        host.release();
        assert_eq!(kinds(&gateway.client().query(&select("other", "view", 25_000))), "TDCZ", "{how:?}");
        assert_eq!(host.query_count(), 2, "{how:?}");
        gateway.wait_for_counter("requests=2 ");
    }
}

#[test]
fn a_client_that_sends_endlessly_uses_bounded_memory_and_starves_no_other() {
    const MAX_BYTES: usize = 64 * 1024 * 1024;
    let (host, gateway) =
        gateway_with_primary(gateway_program!(), vec![Reply::WaitForRelease(b"first"), Reply::Row(b"other")]);
    let mut client = gateway.client();
    let before = gateway.resident_memory();
    let written = client.write_until_full(&batch(|number| read_query(number, 60_000), 1000), MAX_BYTES);
    assert!(written < MAX_BYTES, "the socket buffers never filled up");
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    let grown = gateway.resident_memory().saturating_sub(before);
    assert!(grown < 2 * 1024 * 1024, "{written} bytes written, {grown} held");
    assert_eq!(kinds(&gateway.client().query(&select("other", "view", 25_000))), "TDCZ");
    assert_eq!(host.query_count(), 2);
}

#[test]
fn unread_pipelined_requests_end_by_their_deadline_and_in_order() {
    let (host, gateway) =
        gateway_with_primary(gateway_program!(), vec![Reply::NoAnswer, Reply::Row(b"after")]);
    let mut client = gateway.client();
    let written = client.write_in_background(batch(|number| read_query(number, 1_500), BATCH));
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    // A read may be retried, so that the first, which was sent, may be rejected as well.
    for number in 0..BATCH {
        let answer = client.read_until_ready();
        assert_eq!(kinds(&answer), "EZ", "answer {number}");
        assert_eq!(field(&answer[0].1, b'C'), "53300", "answer {number}");
    }
    // None of them was sent after its deadline.
    assert_eq!(host.query_count(), 1);
    written.join().expect("the writer ends").expect("everything is read");
}

#[test]
fn a_stop_answers_queries_that_were_not_read_yet() {
    let (host, mut gateway) = gateway_with_primary(gateway_program!(), script(BATCH));
    let mut client = gateway.client();
    let written = client.write_in_background(batch(|number| read_query(number, 25_000), BATCH));
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    gateway.signal("TERM");
    gateway.wait_for_log_line("stopping");
    host.release();
    // Rows until the last answers of a stop are due, and rejections after that.
    let answers: Vec<_> = (0..BATCH).map(|_| client.read_until_ready()).collect();
    let served = answers.iter().take_while(|answer| kinds(answer) == "TDCZ").count();
    assert!(served > 0);
    for (number, answer) in answers.iter().enumerate() {
        match number < served {
            true => assert!(answer[1].1.ends_with(value(number)), "answer {number} out of order"),
            false => assert_eq!(kinds(answer), "EZ", "answer {number}"),
        }
    }
    assert_eq!(client.read_until_end(), b"");
    assert_eq!(gateway.wait_for_exit().0, Some(0));
    written.join().expect("the writer ends").expect("everything is read");
}

// The first request ends when clients that had an answer are no longer read; the queries after it, still in
// the kernel, arrived before the stop.
#[test]
fn a_stop_answers_queries_that_are_unread_in_its_second_half() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::Row(b"before"), Reply::NoAnswer]);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let config = harness.config().replace("\"deadline_us\":30000000", "\"deadline_us\":1000000");
    let config = config.replace("\"aim_us\":4000000", "\"aim_us\":900000");
    let mut gateway = harness.start_with_config(&config);
    let mut client = gateway.client();
    assert_eq!(kinds(&client.query(&select("before", "view", 900))), "TDCZ");
    let written = client.write_in_background(batch(|number| read_query(number, 2_000), BATCH));
    gateway.wait_for_counter_value("read_pauses=", |count| count >= 1);
    gateway.signal("TERM");
    for number in 0..BATCH {
        assert_eq!(kinds(&client.read_until_ready()), "EZ", "answer {number}");
    }
    assert_eq!(client.read_until_end(), b"");
    assert_eq!(gateway.wait_for_exit().0, Some(0));
    written.join().expect("the writer ends").expect("everything is read");
}
