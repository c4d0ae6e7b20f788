//! The private memory of a process at the smallest limits of the deployment pages (32 MiB, 1,024 descriptors),
//! while crowds of clients and hosts make it hold as much as they can. Over its limit a gateway is killed.

use crate::stage::{read, write, AnswerChoice, HostAnswer, Stage, CROWD};
use petrelgauge::postgres::MAX_MESSAGE_BYTES;
use petrelgauge_test_support::{block_on, gateway_program, message, query, startup, Harness, Reply};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

const SHORT: Duration = Duration::from_millis(50);
const LONG: Duration = Duration::from_millis(1_400);
const VIEW_WAIT: Duration = Duration::from_millis(1_200);
const RUN_WAIT: Duration = Duration::from_secs(8);
/// How long each crowd is watched after all of it has connected.
const WATCHED: Duration = Duration::from_secs(4);
/// Pauses of the usual clients.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(100), Duration::from_millis(500)];
/// Hexadecimal digits of the longest value.
const LONGEST_VALUE_DIGITS: usize = 128 * 1024;
/// Bytes of a long name in a usual client's statement, which is shorter than the longest.
const LONG_NAME_BYTES: usize = 100_000;

/// Answers usual clients soon, and others late.
fn soon_for_usual(query: &str) -> HostAnswer {
    let after = if query.contains("id=usual") { SHORT } else { LONG };
    HostAnswer::Row { bytes: 16, after }
}

/// Runs a crowd beside usual clients and checks the memory of the process.
fn check<F>(form: &str, choose: AnswerChoice, client: impl Fn(SocketAddr, usize) -> F + Send + 'static)
where
    F: Future<Output = ()> + 'static,
{
    block_on(async {
        let mut stage = Stage::start(choose, &PAUSES).await;
        stage.crowd(CROWD, client).await;
        sleep(WATCHED).await;
        stage.check_memory(form);
        assert!(stage.usual.served.get() > 0, "{form}: no usual client was served");
        assert_eq!(stage.usual.unanswered.get(), 0, "{form}: {}", stage.usual);
        assert_eq!(stage.usual.closed_under_request.get(), 0, "{form}: {}", stage.usual);
        std::io::Result::Ok(())
    })
    .expect("the crowd runs");
}

/// Connects and sends these bytes; then reads all that comes, or nothing, for as long as the test lasts.
async fn send(address: SocketAddr, bytes: Vec<u8>, reads: bool) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    let (mut reader, mut writer) = stream.split();
    let discard = async {
        let mut buffer = [0; 4096];
        while reads && reader.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
        std::future::pending::<()>().await
    };
    tokio::select! {
        () = discard => {}
        () = async {
            let _ = writer.write_all(&bytes).await;
            std::future::pending().await
        } => {}
    }
}

fn hex(digits: usize) -> String {
    "9f".repeat(digits / 2)
}

// Review case 6: each message kept the whole buffer that it was cut from, and was accounted for by its bytes.
#[test]
fn hundreds_of_commands_at_once_stay_within_the_memory_limit() {
    check("commands at once", soon_for_usual, |address, number| {
        let (first, last) = (format!("first-{number}"), format!("last-{number}"));
        let command = query(&format!("{:x<1024}", "SET application_name = '"));
        let bytes = [
            startup(),
            query(&read(&first, &first, VIEW_WAIT)),
            command.repeat(600),
            query(&read(&last, &last, RUN_WAIT)),
        ];
        send(address, bytes.concat(), true)
    });
}

#[test]
fn tiny_messages_at_once_stay_within_the_memory_limit() {
    check("tiny messages", soon_for_usual, |address, number| {
        let id = format!("tiny-{number}");
        let bytes = [startup(), query(&read(&id, &id, RUN_WAIT)), message(b'H', b"").repeat(60_000)];
        send(address, bytes.concat(), true)
    });
}

async fn send_half_statement(address: SocketAddr, number: usize) {
    let id = format!("half-{number}");
    let statement = query(&write(&id, &id, &hex(LONGEST_VALUE_DIGITS), RUN_WAIT));
    send(address, [startup(), statement[..statement.len() / 2].to_vec()].concat(), true).await;
}

#[test]
fn half_statements_stay_within_the_memory_limit() {
    check("half statements", soon_for_usual, send_half_statement);
}

// Clients that hold half a statement hold most of the memory for clients until they are cut off; see
// KNOWN-RED.txt.
#[test]
fn usual_clients_with_long_statements_are_answered_beside_half_statements() {
    block_on(async {
        let mut stage = Stage::with_long_statements(LONG_NAME_BYTES, soon_for_usual, &PAUSES).await;
        stage.crowd(CROWD, send_half_statement).await;
        sleep(WATCHED).await;
        stage.check_memory("long statements beside half ones");
        assert_eq!(stage.usual.unanswered.get(), 0, "{}", stage.usual);
        assert_eq!(stage.usual.closed_under_request.get(), 0, "{}", stage.usual);
        std::io::Result::Ok(())
    })
    .expect("the crowd runs");
}

#[test]
fn statements_of_many_short_fields_stay_within_the_memory_limit() {
    check("many short fields", soon_for_usual, |address, number| {
        let id = format!("fields-{number}");
        let fields = "a=b,".repeat(MAX_MESSAGE_BYTES / 4 - 100);
        let statement = read(&id, &id, RUN_WAIT).replace("/* ", &format!("/* {fields}"));
        send(address, [startup(), query(&statement)].concat(), true)
    });
}

#[test]
fn long_names_stay_within_the_memory_limit() {
    check("long names", soon_for_usual, |address, number| {
        let id = format!("name-{number}");
        let statement = read(&id, &"n".repeat(LONGEST_VALUE_DIGITS), RUN_WAIT);
        send(address, [startup(), query(&statement)].concat(), true)
    });
}

#[test]
fn half_opening_messages_stay_within_the_memory_limit() {
    check("half opening messages", soon_for_usual, |address, _| {
        let parameters = b"a\0b\0".repeat(2_000);
        let bytes = [&9_999_u32.to_be_bytes()[..], b"\0\x03\0\0", &parameters].concat();
        send(address, bytes, true)
    });
}

#[test]
fn statements_written_slowly_stay_within_the_memory_limit() {
    check("slow writers", soon_for_usual, |address, number| async move {
        let id = format!("slow-{number}");
        let statement = query(&write(&id, &id, &hex(LONGEST_VALUE_DIGITS), RUN_WAIT));
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        let _ = stream.set_nodelay(true);
        let _ = stream.write_all(&startup()).await;
        // The beginning one byte at a time, the rest in pieces.
        for piece in statement[..200].chunks(1).chain(statement[200..].chunks(1_000)) {
            if stream.write_all(piece).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        std::future::pending().await
    });
}

// A client that leaves takes its connection's share of the memory with it, not its statement.
#[test]
fn statements_whose_clients_left_stay_within_the_memory_limit() {
    fn silent_for_others(query: &str) -> HostAnswer {
        match soon_for_usual(query) {
            answer if query.contains("id=usual") => answer,
            _ => HostAnswer::Silence,
        }
    }
    check("clients that leave", silent_for_others, |address, number| async move {
        for again in 0..6 {
            let id = format!("left-{number}-{again}");
            let statement = query(&write(&id, &id, &hex(LONGEST_VALUE_DIGITS), RUN_WAIT));
            let Ok(mut stream) = TcpStream::connect(address).await else { return };
            let _ = stream.write_all(&[startup(), statement].concat()).await;
            sleep(Duration::from_millis(700)).await;
        }
    });
}

// The connection's share of the memory was released when its client left, though an attempt still held the
// statement.
#[test]
fn the_statement_of_a_client_that_left_is_accounted_for_until_its_attempt_ends() {
    let harness = Harness::new(gateway_program!());
    let host = harness.host(vec![Reply::NoAnswer]);
    let harness = harness.list(&[(&host, "up", "primary")]);
    let gateway =
        harness.start_with_changed_config(|config| config.replace("\"cancel\":true", "\"cancel\":false"));
    let mut client = gateway.client();
    client.write(&query(&write("left", "left", &hex(LONGEST_VALUE_DIGITS), RUN_WAIT)));
    host.next_query();
    drop(client);
    gateway.wait_for_counter("left=1 ");
    gateway.signal("USR1");
    let line = gateway.wait_for_log_line("memory message_bytes=");
    let words = line.split_ascii_whitespace();
    let accounted: usize =
        words.filter_map(|word| word.strip_prefix("message_bytes=")?.parse().ok()).next().expect("a number");
    assert!(accounted >= LONGEST_VALUE_DIGITS, "{line}");
}

#[test]
fn unread_answers_stay_within_the_memory_limit() {
    fn long_row(query: &str) -> HostAnswer {
        let bytes = if query.contains("id=usual") { 16 } else { 64 * 1024 };
        HostAnswer::Row { bytes, after: SHORT }
    }
    check("unread answers", long_row, |address, number| {
        let reads = (0..20).map(|again| query(&read(&format!("unread-{number}-{again}"), "n", RUN_WAIT)));
        send(address, [startup(), reads.flatten().collect()].concat(), false)
    });
}

#[test]
fn unread_streamed_rows_stay_within_the_memory_limit() {
    fn streamed_row(query: &str) -> HostAnswer {
        let bytes = if query.contains("id=usual") { 16 } else { 1024 * 1024 };
        HostAnswer::Row { bytes, after: SHORT }
    }
    check("unread streamed rows", streamed_row, |address, number| {
        let id = format!("streamed-{number}");
        send(address, [startup(), query(&read(&id, &id, RUN_WAIT))].concat(), false)
    });
}

#[test]
fn half_answers_of_hosts_stay_within_the_memory_limit() {
    fn half_message(query: &str) -> HostAnswer {
        match soon_for_usual(query) {
            answer if query.contains("id=usual") => answer,
            _ => HostAnswer::HalfMessage { bytes: MAX_MESSAGE_BYTES / 2 + 1 },
        }
    }
    check("half answers", half_message, |address, number| {
        let id = format!("answer-{number}");
        send(address, [startup(), query(&read(&id, &id, RUN_WAIT))].concat(), true)
    });
}
