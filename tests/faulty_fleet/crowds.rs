//! Clients that misbehave by hundreds, at the limits of the deployment pages, and the memory of the gateways.

use super::gateways::FleetGateway;
use super::{index_below, Fleet};
use petrelgauge::os::process_memory::parse_private_bytes;
use petrelgauge_test_support::{block_on, message, query, startup};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Prefix of the ids of a crowd's requests.
pub const CROWD_ID_PREFIX: &str = "crowd-";
/// Clients of a crowd: with the usual ones, a third of 1,024 descriptors.
const CROWD: usize = 330;
/// Clients that connect at once, and the time between two such waves.
const WAVE: usize = 15;
const WAVE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks at the memory of a process.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Hexadecimal digits of a long value.
const LONG_VALUE_DIGITS: usize = 100_000;
/// How long the requests of a crowd wait (milliseconds).
const WAIT_MS: usize = 3_000;

/// What each client of a crowd does.
#[derive(Clone, Copy, Debug)]
pub enum Form {
    /// Sends hundreds of statements at once, a request first and last, and reads the answers.
    Commands,
    /// Sends tens of thousands of messages without an answer.
    TinyMessages,
    /// Stops half way through a long statement.
    HalfStatement,
    /// Stops within a statement after a query that was answered.
    HalfStatementAfterQuery,
    /// Says nothing, and connects again when it is closed.
    Silence,
    /// Sends a write, leaves while it runs, and sends it again on another connection.
    SameIdAgain,
}

const FORMS: [Form; 6] = [
    Form::Commands,
    Form::TinyMessages,
    Form::HalfStatement,
    Form::HalfStatementAfterQuery,
    Form::Silence,
    Form::SameIdAgain,
];

/// A random form.
pub fn sample_form(rng: &mut Pcg64Mcg) -> Form {
    FORMS[index_below(rng, FORMS.len())]
}

/// Connects a crowd to a gateway in waves, and lets it go after `span` milliseconds. `number` tells crowds
/// apart. The crowd has a thread of its own, so that it does not delay the fleet's hosts and clients.
pub async fn run_crowd(fleet: Rc<Fleet>, gateway: usize, form: Form, number: u64, span: u64) {
    let address = fleet.gateways[gateway].process.listen;
    let connect_all = move || {
        let clients = async {
            for client in 0..CROWD {
                let id = format!("{CROWD_ID_PREFIX}{number}-{client}");
                tokio::task::spawn_local(async move { run_client(address, form, &id).await });
                if client % WAVE == WAVE - 1 {
                    sleep(WAVE_INTERVAL).await;
                }
            }
            sleep(Duration::from_millis(span)).await;
            std::io::Result::Ok(())
        };
        block_on(clients).expect("the crowd runs");
    };
    tokio::task::spawn_blocking(connect_all).await.expect("the crowd runs");
}

async fn run_client(address: SocketAddr, form: Form, id: &str) -> Option<()> {
    match form {
        Form::Commands => {
            let command = query(&format!("{:x<1024}", "SET application_name = '"));
            // The last one is held for as long as a long statement takes.
            let last = read(&format!("{id}-b"), "").replace("c=browse", "c=report");
            let requests = [read(&format!("{id}-a"), ""), last];
            stay(address, &[query(&requests[0]), command.repeat(600), query(&requests[1])].concat()).await
        }
        Form::TinyMessages => {
            stay(address, &[query(&read(id, "")), message(b'H', b"").repeat(30_000)].concat()).await
        }
        Form::HalfStatement => {
            let statement = query(&read(id, &"n".repeat(LONG_VALUE_DIGITS)));
            stay(address, &statement[..statement.len() / 2]).await
        }
        Form::HalfStatementAfterQuery => {
            let statement = query(&read(id, ""));
            stay(address, &[query(""), statement[..statement.len() / 2].to_vec()].concat()).await
        }
        Form::Silence => stay(address, b"").await,
        Form::SameIdAgain => {
            let statement = query(&write(id));
            let mut first = connect(address).await?;
            first.write_all(&statement).await.ok()?;
            sleep(Duration::from_millis(30)).await;
            drop(first);
            connect(address).await?.write_all(&statement).await.ok()?;
            stay(address, &statement).await
        }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(&startup()).await.ok()?;
    Some(stream)
}

/// Sends these bytes and reads until the connection ends; then again at once.
async fn stay(address: SocketAddr, bytes: &[u8]) -> Option<()> {
    loop {
        let Ok(Some(mut stream)) = timeout(Duration::from_secs(1), connect(address)).await else {
            sleep(WAVE_INTERVAL).await;
            continue;
        };
        let (mut reader, mut writer) = stream.split();
        let mut buffer = [0; 4096];
        let read = async { while reader.read(&mut buffer).await.is_ok_and(|count| count > 0) {} };
        let (_, ()) = tokio::join!(writer.write_all(bytes), read);
    }
}

fn read(id: &str, name: &str) -> String {
    format!("SELECT content FROM kv WHERE name = '{id}{name}' /* id={id},c=browse,d={WAIT_MS},cluster=2 */")
}

fn write(id: &str) -> String {
    let comment = format!("/* id={id},c=post,d={WAIT_MS},k={id},cluster=2 */");
    format!("INSERT INTO kv (name, content) VALUES ('{id}', '\\x9f03') RETURNING content {comment}")
}

/// Records the highest private memory of a gateway's processes. Never returns.
pub async fn watch_memory(gateway: Rc<FleetGateway>) {
    loop {
        sleep(MEMORY_POLL_INTERVAL).await;
        let Some(process_id) = gateway.process.process_id() else { continue };
        let Ok(status) = std::fs::read_to_string(format!("/proc/{process_id}/status")) else { continue };
        let private_bytes = parse_private_bytes(&status).unwrap_or(0);
        gateway.peak_memory.set(gateway.peak_memory.get().max(private_bytes));
    }
}
