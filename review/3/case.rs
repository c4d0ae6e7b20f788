//! The number of attempts changes and changes back while a statement is open. The next reload comes right behind the
//! answer to that statement. The gateway must not end.

#[path = "../standins/mod.rs"]
mod standins;

use standins::client::Client;
use standins::discovery::{Discovery, Member};
use standins::gateway::{self, Gateway, PreparedSignal};
use standins::host::{Host, HostConnection, Query};
use standins::record::Record;
use standins::{has_trouble, sleep_ms, unix_ms, wire};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The group of all hosts.
const GROUP: u64 = 2;
/// Rounds, each with one statement and three reloads.
const ROUNDS: u64 = 20;
/// Clients that send other requests meanwhile, one at a time.
const OTHER_CLIENTS: u64 = 6;
/// Time that a host works on a `statement-run` and on any other request (milliseconds).
const STATEMENT_MS: u64 = 2_900;
const OTHER_MS: u64 = 20;
/// Time from the first reload to the statement, and from the statement to the second reload (milliseconds).
const PAUSE_MS: u64 = 300;
/// Time from the second reload to the moment when the third may come (milliseconds).
const NEXT_AFTER_MS: u64 = 2_400;
/// The third reload comes so long behind the answer (milliseconds), in turn.
const RELOAD_DELAYS_MS: [u64; 4] = [0, 1, 2, 3];
/// Time in which a gateway that has crashed ends (milliseconds).
const END_MS: u64 = 300;

/// The settings of the site with this number of attempts.
fn settings(attempts: u32) -> String {
    let attempts = format!("\"attempts_cap\":{attempts}");
    gateway::settings_json(1, &gateway::bank_classes()).replace("\"attempts_cap\":8", &attempts)
}

/// What the hosts share.
struct Hosts {
    record: Record,
    /// The reload that comes behind the answer to the next statement, and its delay (milliseconds).
    reload: Mutex<Option<(PreparedSignal, u64)>>,
}

impl Hosts {
    fn answer(&self, role: &str, query: &Query, connection: &mut HostConnection) -> io::Result<()> {
        let is_statement = query.field("c") == "statement-run";
        sleep_ms(if is_statement { STATEMENT_MS } else { OTHER_MS });
        let position = wire::parameter("log_position", &unix_ms().to_string());
        let role = wire::parameter("replication_role", role);
        let answer = [wire::row(b"value", "SELECT 1"), role, position, wire::ready()].concat();
        connection.write(&answer)?;
        self.record.line(format!("host has run and answered id={}", query.field("id")));
        if is_statement {
            if let Some((signal, delay_ms)) = self.reload.lock().expect("not poisoned").take() {
                sleep_ms(delay_ms);
                signal.send();
            }
        }
        Ok(())
    }
}

fn run_other_client(
    record: &Record,
    gateway: SocketAddr,
    number: u64,
    lost: &AtomicU64,
    is_over: &AtomicBool,
) {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(gateway) else { return };
        loop {
            count += 1;
            let id = format!("{number:02x}{count:06x}");
            let text = format!("SELECT content FROM kv WHERE name = 'acct-{number}' /* id={id},c=history-browse,d=1500,cluster={GROUP} */");
            record.line(format!("client {number} sends {text}"));
            let answer = client.ask(&text);
            record.line(format!("client {number} has the answer to id={id}: {answer:?}"));
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            if let Err(error) = answer {
                record.line(format!("client {number}: id={id} got no answer: {error}"));
                lost.fetch_add(1, Ordering::Relaxed);
                break;
            }
        }
    }
}

/// The exit code of the gateway if it has ended.
fn end_of(gateway: &mut Gateway) -> Option<i32> {
    let deadline = Instant::now() + Duration::from_millis(END_MS);
    while Instant::now() < deadline {
        if let Some(code) = gateway.ended() {
            return Some(code);
        }
        sleep_ms(10);
    }
    None
}

/// Plays a round. Returns the exit code of the gateway if it has ended.
fn run_round(record: &Record, hosts: &Hosts, gateway: &mut Gateway, round: u64) -> Option<i32> {
    if has_trouble() {
        gateway.reload(&settings(7));
    }
    sleep_ms(PAUSE_MS);
    let (listen, id) = (gateway.listen, format!("ff{round:06x}"));
    let text = format!("SELECT content FROM kv WHERE name = 'acct-{round}' /* id={id},c=statement-run,d=8000,cluster={GROUP} */");
    record.line(format!("client sends statement id={id}"));
    let statement = thread::spawn(move || Client::connect(listen).and_then(|mut client| client.ask(&text)));
    sleep_ms(PAUSE_MS);
    if has_trouble() {
        gateway.reload(&settings(8));
        sleep_ms(NEXT_AFTER_MS);
        let delay_ms = RELOAD_DELAYS_MS[round as usize % RELOAD_DELAYS_MS.len()];
        *hosts.reload.lock().expect("not poisoned") = Some((gateway.prepare_signal("HUP"), delay_ms));
    }
    let answer = statement.join().expect("the client does not panic");
    record.line(format!("client has the answer to id={id}: {answer:?}"));
    end_of(gateway)
}

fn main() {
    standins::limit_run_time();
    let record = Record::create();
    let hosts = Arc::new(Hosts { record: record.clone(), reload: Mutex::default() });
    let start = |id: &str, role: &'static str| {
        let hosts = hosts.clone();
        let host = Host::start(Arc::new(move |query: &Query, connection: &mut HostConnection| {
            hosts.answer(role, query, connection)
        }));
        Member::up(id, host.address, GROUP, role)
    };
    let members = vec![start("s-0", "primary"), start("s-1", "standby"), start("s-2", "standby")];
    let discovery = Discovery::start(members);
    let mut gateway = Gateway::start(
        &record,
        gateway::Options {
            label: "gateway",
            listen: gateway::free_address(),
            discovery: &discovery,
            settings: settings(8),
        },
    );
    if !gateway.wait_until_ready() {
        record.announce("the gateway did not become ready");
        drop(gateway);
        std::process::exit(standins::NOT_RUN);
    }
    let (is_over, lost) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for number in 1..=OTHER_CLIENTS {
        let (record, is_over, lost, listen) = (record.clone(), is_over.clone(), lost.clone(), gateway.listen);
        thread::spawn(move || run_other_client(&record, listen, number, &lost, &is_over));
    }
    sleep_ms(1_500);
    for round in 1..=ROUNDS {
        let Some(code) = run_round(&record, &hosts, &mut gateway, round) else { continue };
        sleep_ms(END_MS);
        let lost = lost.load(Ordering::Relaxed);
        let log = gateway.log();
        let cause = log.lines().find(|line| line.starts_with("petrelgauge:")).unwrap_or_default();
        record.announce(format!(
            "BROKEN round {round}: the gateway ended on SIGHUP with code {code}, {lost} requests got no answer"
        ));
        record.announce(cause);
        drop(gateway);
        std::process::exit(standins::BROKEN);
    }
    is_over.store(true, Ordering::Relaxed);
    drop(gateway);
    record.announce(format!("rounds {ROUNDS}, the gateway did not end"));
    std::process::exit(standins::HELD);
}
