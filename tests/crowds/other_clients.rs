//! What the usual clients of a gateway get while one other client, or hundreds, do their worst: final answers
//! in time, and connections that are not closed under their requests.

use crate::stage::{read, HostAnswer, Stage, UsualClients, CROWD, DESCRIPTORS};
use petrelgauge_test_support::{block_on, message, query, startup};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

const SHORT: Duration = Duration::from_millis(50);
/// The fewest descriptors of the deployment pages.
const FEWEST_DESCRIPTORS: usize = 256;
const FLOOD: Duration = Duration::from_secs(4);
const PAUSES: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_millis(1_500),
];
/// Private memory that a process may need more after a flood than before it (bytes).
const MAX_GROWTH: usize = 4 * 1024 * 1024;

fn answer_soon(_: &str) -> HostAnswer {
    HostAnswer::Row { bytes: 16, after: SHORT }
}

/// Writes what `next` returns for 0, 1, 2, ... at full speed. Reads the answers or not.
async fn flood(address: SocketAddr, reads: bool, mut next: impl FnMut(usize) -> Vec<u8>) {
    let begun = Instant::now();
    let mut number = 0;
    while begun.elapsed() < FLOOD {
        let Ok(mut stream) = TcpStream::connect(address).await else { continue };
        let (mut reader, mut writer) = stream.split();
        let write = async {
            let _ = writer.write_all(&startup()).await;
            while begun.elapsed() < FLOOD {
                number += 1;
                if writer.write_all(&next(number)).await.is_err() {
                    return;
                }
            }
        };
        let discard = async {
            let mut buffer = vec![0; 64 * 1024];
            while reads && reader.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
            if !reads {
                sleep(FLOOD).await;
            }
        };
        tokio::select! { () = write => {}, () = discard => {} }
    }
}

/// Runs clients beside usual ones, checks what these got and the memory of the process, and returns the former.
fn check<F>(
    form: &str,
    count: usize,
    client: impl Fn(SocketAddr, usize) -> F + Send + 'static,
) -> Rc<UsualClients>
where
    F: Future<Output = ()> + 'static,
{
    check_with(form, DESCRIPTORS, count, client)
}

/// Like [`check`], with this limit on descriptors.
fn check_with<F>(
    form: &str,
    descriptors: usize,
    count: usize,
    client: impl Fn(SocketAddr, usize) -> F + Send + 'static,
) -> Rc<UsualClients>
where
    F: Future<Output = ()> + 'static,
{
    block_on(async {
        let mut stage = Stage::with_descriptors(descriptors, answer_soon, &PAUSES).await;
        let before = stage.gateway.private_memory();
        stage.crowd(count, client).await;
        sleep(FLOOD + Duration::from_secs(1)).await;
        stage.check_memory(form);
        stage.check_usual_clients(form);
        if count == 1 {
            let grown = stage.peak_memory().saturating_sub(before);
            assert!(grown <= MAX_GROWTH, "{form}: {grown} bytes more");
        }
        std::io::Result::Ok(stage.usual.clone())
    })
    .expect("the crowd runs")
}

#[test]
fn usual_clients_are_served_beside_a_flood_of_unusable_statements() {
    check("unusable statements", 1, |address, _| flood(address, true, |_| query("SELECT 1").repeat(100)));
}

#[test]
fn usual_clients_are_served_beside_a_flood_of_empty_queries() {
    check("empty queries", 1, |address, _| flood(address, true, |_| query("").repeat(100)));
}

#[test]
fn usual_clients_are_served_beside_a_flood_of_settings_with_unread_answers() {
    check("unread settings", 1, |address, _| flood(address, false, |_| query("SET a = 1").repeat(100)));
}

#[test]
fn usual_clients_are_served_beside_a_flood_of_messages_without_an_answer() {
    check("ignored messages", 1, |address, _| flood(address, true, |_| message(b'H', b"").repeat(1_000)));
}

#[test]
fn usual_clients_are_served_beside_a_flood_of_unsupported_messages() {
    check("unsupported messages", 1, |address, _| {
        flood(address, true, |_| [message(b'P', b""), message(b'S', b"")].concat().repeat(500))
    });
}

#[test]
fn usual_clients_are_served_beside_requests_under_ever_new_names() {
    check("ever new names", 1, |address, _| {
        flood(address, true, |number| {
            let name = format!("name-{number}");
            let wait = Duration::from_millis(1_200);
            let statement = read(&name, &name, wait);
            let unknown_class = statement.replace("c=view", &format!("c={name}"));
            let unknown_group = statement.replace("cluster=2", &format!("cluster={number}"));
            [query(&unknown_class), query(&unknown_group), query(&statement)].concat()
        })
    });
}

#[test]
fn usual_clients_are_served_beside_ever_new_connections_with_malformed_messages() {
    check("malformed messages", 1, |address, _| flood(address, true, |_| message(b'?', b"no")));
}

#[test]
fn usual_clients_are_served_beside_a_message_that_is_far_too_long() {
    check("message of 60 MB", 1, |address, _| {
        flood(address, true, |number| match number {
            1 => [&b"Q"[..], &60_000_000_u32.to_be_bytes()].concat(),
            _ => vec![b'x'; 64 * 1024],
        })
    });
}

// Issue 59: a client had up to 64 statements answered in its turn, and hundreds of them kept the usual clients
// waiting until their requests were rejected.
#[test]
fn usual_clients_are_served_beside_hundreds_that_flood() {
    let usual = check("hundreds of floods", CROWD, |address, _| {
        flood(address, true, |_| query("SET a = 1").repeat(100))
    });
    assert!(usual.refused.borrow().is_empty(), "hosts and memory are not short: {usual}");
}

/// Connects, sends these bytes and waits for the end; then again at once.
async fn stay(address: SocketAddr, bytes: Vec<u8>) {
    loop {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            sleep(SHORT).await;
            continue;
        };
        let _ = stream.write_all(&bytes).await;
        let mut buffer = [0; 1024];
        while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
    }
}

/// The first half of a request, which differs from client to client.
fn half_request(number: usize) -> Vec<u8> {
    let id = format!("half-{number}");
    let statement = query(&read(&id, &id, Duration::from_secs(1)));
    statement[..statement.len() / 2].to_vec()
}

#[test]
fn usual_clients_keep_their_connections_beside_hundreds_that_stop_in_a_message() {
    check("half messages", CROWD, |address, number| {
        stay(address, [startup(), half_request(number)].concat())
    });
}

// Issue 59: a client that had been served and then stopped within a message counted as served, so that others
// were closed under their next request while it stayed.
#[test]
fn usual_clients_keep_their_connections_beside_hundreds_that_stop_after_a_query() {
    check("half messages after a query", CROWD, |address, number| {
        stay(address, [startup(), query(""), half_request(number)].concat())
    });
}

#[test]
fn usual_clients_keep_their_connections_beside_hundreds_that_say_nothing() {
    check("silent clients", CROWD, |address, _| stay(address, Vec::new()));
}

// Issue 59: silent clients that came again at once were too young to be closed, and served ones were closed in
// their place.
#[test]
fn usual_clients_keep_their_connections_beside_more_silent_clients_than_descriptors() {
    check("more silent clients than descriptors", DESCRIPTORS, |address, _| stay(address, Vec::new()));
}

#[test]
fn usual_clients_keep_their_connections_at_the_fewest_descriptors() {
    check_with(
        "fewest descriptors, half messages after a query",
        FEWEST_DESCRIPTORS,
        75,
        |address, number| stay(address, [startup(), query(""), half_request(number)].concat()),
    );
    check_with("fewest descriptors, silent clients", FEWEST_DESCRIPTORS, 300, |address, _| {
        stay(address, Vec::new())
    });
}
