//! A class's effect changes by a reload while a request of the class waits behind another one of its connection. The
//! request was taken before the reload, so it keeps the class that must not be repeated.

#[path = "../standins/mod.rs"]
mod standins;

use standins::client::{Answer, Client};
use standins::discovery::{Discovery, Member};
use standins::gateway::{self, Class, Gateway, SAFE, UNSAFE};
use standins::host::{Host, HostConnection, Query};
use standins::record::Record;
use standins::{has_trouble, sleep_ms, unix_ms, wire};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The group of all hosts.
const GROUP: u64 = 2;
/// Rounds, each with two requests on one connection and a reload.
const ROUNDS: u64 = 8;
/// Clients that send other requests meanwhile, one at a time.
const OTHER_CLIENTS: u64 = 8;
/// Time that a host works on a `statement-run`, a `standing-order` and any other request (milliseconds).
const STATEMENT_MS: u64 = 800;
const ORDER_MS: u64 = 60;
const OTHER_MS: u64 = 20;
/// Time from the requests of a round to the reload (milliseconds).
const RELOAD_AFTER_MS: u64 = 400;
/// Time between two reloads (milliseconds).
const RELOAD_INTERVAL_MS: u64 = 2_500;

/// The classes of the site, and one of orders with this effect.
fn settings(order_effect: &'static str) -> String {
    let mut classes = gateway::bank_classes();
    classes.push(Class {
        name: "standing-order",
        read_level: "mutate",
        bound_us: 0,
        effect: order_effect,
        aim_us: 1_000_000,
        deadline_us: 5_000_000,
        points: 4.0,
    });
    gateway::settings_json(1, &classes)
}

/// What the hosts share.
struct Hosts {
    record: Record,
    /// How often each order has run, by its id.
    orders: Mutex<BTreeMap<String, u32>>,
    answers: AtomicU64,
    errors: AtomicU64,
}

impl Hosts {
    fn answer(&self, role: &str, query: &Query, connection: &mut HostConnection) -> io::Result<()> {
        let class = query.field("c");
        let answer = match class.as_str() {
            _ if query.is_write && role != "primary" => wire::error("25006"),
            "standing-order" => self.run_order(query),
            "statement-run" => {
                sleep_ms(STATEMENT_MS);
                wire::row(b"statement", "SELECT 1")
            }
            _ => {
                sleep_ms(OTHER_MS);
                wire::row(b"history", "SELECT 1")
            }
        };
        self.answers.fetch_add(1, Ordering::Relaxed);
        if class != "standing-order" {
            self.record.line(format!("{role} runs id={} class={class} and answers it", query.field("id")));
        }
        let position = wire::parameter("log_position", &(unix_ms() + 1).to_string());
        connection
            .write(&[answer, wire::parameter("replication_role", role), position, wire::ready()].concat())
    }

    /// Runs an order. The first answer to it is an error that leaves open whether it has run.
    fn run_order(&self, query: &Query) -> Vec<u8> {
        let id = query.field("id");
        sleep_ms(ORDER_MS);
        let mut orders = self.orders.lock().expect("not poisoned");
        let count = orders.entry(id.clone()).or_default();
        *count += 1;
        if *count > 1 {
            self.record.line(format!("primary runs order id={id}, time {count}, and answers it"));
            return wire::row(b"done", "INSERT 0 1");
        }
        self.errors.fetch_add(1, Ordering::Relaxed);
        self.record.line(format!("primary runs order id={id}, time 1, and answers XX000"));
        wire::error("XX000")
    }
}

fn run_other_client(record: &Record, gateway: SocketAddr, number: u64, is_over: &AtomicBool) {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(gateway) else { return };
        loop {
            count += 1;
            let text = format!("SELECT content FROM kv WHERE name = 'acct-{number}' /* id={number:02x}{count:06x},c=history-browse,d=1500,cluster={GROUP} */");
            record.line(format!("client {number} sends {text}"));
            let answer = client.ask(&text);
            record.line(format!("client {number} has the answer to its request {count}: {answer:?}"));
            if answer.is_err() || is_over.load(Ordering::Relaxed) {
                break;
            }
        }
    }
}

/// Sends a statement and an order on one connection, and changes the settings before the order's turn. Returns
/// the order's id and how it was answered.
fn run_round(record: &Record, gateway: &Gateway, round: u64) -> io::Result<(String, Answer)> {
    let mut client = Client::connect(gateway.listen)?;
    let (statement, order) = (format!("5{round:07x}"), format!("0{round:07x}"));
    client.send(&format!("SELECT content FROM kv WHERE name = 'acct-{round}' /* id={statement},c=statement-run,d=8000,cluster={GROUP} */"))?;
    client.send(&format!("INSERT INTO kv (name, content) VALUES ('acct-{round}', '\\x9f03') RETURNING content /* id={order},c=standing-order,d=5000,cluster={GROUP} */"))?;
    record.line(format!("client sends statement id={statement} and order id={order}"));
    sleep_ms(RELOAD_AFTER_MS);
    if has_trouble() {
        gateway.reload(&settings(SAFE));
    }
    let answer = client.receive()?;
    record.line(format!("client has the answer to id={statement}: {answer:?}"));
    let answer = client.receive()?;
    record.line(format!("client has the answer to id={order}: {answer:?}"));
    Ok((order, answer))
}

fn main() {
    standins::limit_run_time();
    let record = Record::create();
    let hosts = Arc::new(Hosts {
        record: record.clone(),
        orders: Mutex::default(),
        answers: AtomicU64::new(0),
        errors: AtomicU64::new(0),
    });
    let start = |id: &str, role: &'static str| {
        let hosts = hosts.clone();
        let host = Host::start(Arc::new(move |query: &Query, connection: &mut HostConnection| {
            hosts.answer(role, query, connection)
        }));
        Member::up(id, host.address, GROUP, role)
    };
    let members = vec![start("s-0", "primary"), start("s-1", "standby"), start("s-2", "standby")];
    let discovery = Discovery::start(members);
    let gateway = Gateway::start(
        &record,
        gateway::Options {
            label: "gateway",
            listen: gateway::free_address(),
            discovery: &discovery,
            settings: settings(UNSAFE),
        },
    );
    if !gateway.wait_until_ready() {
        record.announce("the gateway did not become ready");
        drop(gateway);
        std::process::exit(standins::NOT_RUN);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for number in 1..=OTHER_CLIENTS {
        let (record, is_over, listen) = (record.clone(), is_over.clone(), gateway.listen);
        thread::spawn(move || run_other_client(&record, listen, number, &is_over));
    }
    sleep_ms(2_000);
    let (mut twice, mut rounds) = (0, 0);
    for round in 1..=ROUNDS {
        let Ok((order, _)) = run_round(&record, &gateway, round) else { continue };
        rounds += 1;
        let count = hosts.orders.lock().expect("not poisoned").get(&order).copied().unwrap_or(0);
        if count > 1 {
            record.line(format!("BROKEN order id={order} was taken as unsafe and ran {count} times"));
            twice += 1;
        }
        sleep_ms(RELOAD_INTERVAL_MS);
        if has_trouble() {
            gateway.reload(&settings(UNSAFE));
            sleep_ms(RELOAD_INTERVAL_MS);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    drop(gateway);
    let (answers, errors) = (hosts.answers.load(Ordering::Relaxed), hosts.errors.load(Ordering::Relaxed));
    record.announce(format!(
        "rounds {rounds}, orders that ran more than once {twice}; hosts' answers {answers}, errors {errors}"
    ));
    std::process::exit(if rounds == 0 {
        standins::NOT_RUN
    } else if twice > 0 {
        standins::BROKEN
    } else {
        standins::HELD
    });
}
