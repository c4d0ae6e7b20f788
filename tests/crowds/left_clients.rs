//! Clients that close their connections with requests unanswered or unread: nothing of them is sent on later,
//! and no id reaches a host twice when it comes again.

use crate::stage::{write, HostAnswer, Stage, CROWD};
use petrelgauge_test_support::{block_on, query, startup};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

const WAIT: Duration = Duration::from_secs(5);
/// How long hosts take for a request; clients leave in the meantime.
const EXECUTION: Duration = Duration::from_millis(400);
/// An attempt that begins later than this after its client has closed breaks the rule, with the 50 ms that
/// sockets add.
const LATEST_ATTEMPT: Duration = Duration::from_millis(150);
const PAUSES: [Duration; 1] = [Duration::from_millis(100)];
/// Requests that a client sends at once, each of this many digits: more than is read ahead.
const PIPELINED: usize = 40;
const DIGITS: usize = 20_000;

/// How a client closes its connection.
#[derive(Clone, Copy, Debug)]
enum Close {
    Fin,
    Reset,
}

fn answer_late(query: &str) -> HostAnswer {
    let after = if query.contains("id=usual") { Duration::from_millis(20) } else { EXECUTION };
    HostAnswer::Row { bytes: 16, after }
}

fn request(id: &str) -> Vec<u8> {
    query(&write(id, id, &"9f".repeat(DIGITS / 2), WAIT))
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(&startup()).await.ok()?;
    Some(stream)
}

fn close(stream: TcpStream, how: Close) {
    if matches!(how, Close::Reset) {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    drop(stream);
}

/// When each client has closed its connection, by its number.
type CloseTimes = Arc<Mutex<BTreeMap<usize, Instant>>>;

/// Sends requests at once, and closes the connection 100 ms later, whatever was read or answered by then.
async fn send_and_leave(address: SocketAddr, number: usize, how: Close, closed: CloseTimes) {
    let Some(mut stream) = connect(address).await else { return };
    let requests: Vec<u8> =
        (0..PIPELINED).flat_map(|again| request(&format!("left-{number}-{again}"))).collect();
    let _ = tokio::time::timeout(Duration::from_millis(100), stream.write_all(&requests)).await;
    close(stream, how);
    closed.lock().expect("no client has panicked").insert(number, Instant::now());
}

/// The number of the client with this id, if it is one that leaves.
fn client_number(id: &str) -> Option<usize> {
    id.strip_prefix("left-")?.split('-').next()?.parse().ok()
}

#[test]
fn nothing_is_sent_on_for_clients_that_closed_with_requests_unread() {
    for how in [Close::Fin, Close::Reset] {
        block_on(async {
            let mut stage = Stage::start(answer_late, &PAUSES).await;
            let closed = CloseTimes::default();
            let crowd_closed = closed.clone();
            let leave = move |address, number| send_and_leave(address, number, how, crowd_closed.clone());
            stage.crowd(CROWD, leave).await;
            sleep(WAIT).await;
            let closed = closed.lock().expect("no client has panicked");
            let received = stage.received.borrow();
            let of_left = received.iter().filter_map(|(id, at)| Some((client_number(id)?, *at)));
            let delays: Vec<Duration> = of_left
                .filter_map(|(number, at)| Some(at.saturating_duration_since(*closed.get(&number)?)))
                .collect();
            let late = delays.iter().filter(|delay| **delay > LATEST_ATTEMPT).count();
            println!(
                "{how:?}: {} clients left, {} requests sent, {late} late; usual clients: {}",
                closed.len(),
                delays.len(),
                stage.usual
            );
            assert_eq!(late, 0, "{how:?}: {delays:?}");
            assert_eq!(stage.usual.unanswered.get(), 0, "{how:?}: {}", stage.usual);
            assert_eq!(stage.usual.closed_under_request.get(), 0, "{how:?}: {}", stage.usual);
            std::io::Result::Ok(())
        })
        .expect("the crowd runs");
    }
}

/// When an id comes again after its client has left.
#[derive(Clone, Copy, Debug)]
enum Again {
    AtOnce,
    WhileItRuns,
    AfterItRan,
}

impl Again {
    fn pause(self) -> Duration {
        match self {
            Again::AtOnce => Duration::ZERO,
            Again::WhileItRuns => EXECUTION / 2,
            Again::AfterItRan => EXECUTION * 3,
        }
    }
}

/// Sends a request, leaves while it runs, and sends the same request again on another connection.
async fn send_again(address: SocketAddr, id: String, how: Close, again: Again) {
    let Some(mut first) = connect(address).await else { return };
    let _ = first.write_all(&request(&id)).await;
    sleep(Duration::from_millis(100)).await;
    close(first, how);
    sleep(again.pause()).await;
    let Some(mut second) = connect(address).await else { return };
    let _ = second.write_all(&request(&id)).await;
    let mut buffer = [0; 4096];
    while second.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}

fn check_ids_that_come_again(is_keyed: bool) {
    let settings = move |config: &str| match is_keyed {
        true => config.to_string(),
        false => config.replace(
            r#""idempotency":"keyed","group":"cell","window_us":30000000"#,
            r#""idempotency":"unsafe""#,
        ),
    };
    block_on(async {
        let mut stage = Stage::with_settings(settings, answer_late, &PAUSES).await;
        stage
            .crowd(60, move |address, number| {
                let how = [Close::Fin, Close::Reset][number % 2];
                let again = [Again::AtOnce, Again::WhileItRuns, Again::AfterItRan][number / 2 % 3];
                send_again(address, format!("again-{again:?}-{how:?}-{number}"), how, again)
            })
            .await;
        sleep(WAIT).await;
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        stage.received.borrow().iter().for_each(|(id, _)| *counts.entry(id.clone()).or_default() += 1);
        let again = counts.iter().filter(|(id, _)| id.starts_with("again"));
        let twice: Vec<&String> = again.clone().filter(|(_, count)| **count > 1).map(|(id, _)| id).collect();
        println!("keyed={is_keyed}: {} ids reached the host, {} twice {twice:?}", again.count(), twice.len());
        assert!(twice.is_empty(), "keyed={is_keyed}");
        std::io::Result::Ok(())
    })
    .expect("the crowd runs");
}

// Issue 59: an id was free again as soon as its client had left, though its request was running or had run.
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    check_ids_that_come_again(false);
}

#[test]
fn a_keyed_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    check_ids_that_come_again(true);
}
