//! A complete gateway whose system calls fail or are short on a schedule drawn from a seed: on connections of
//! clients, two hosts, discovery and operators, and on datagrams of other gateways. After each run the
//! answers to clients, the queries that the hosts received and the gateway's counters are compared.

#[path = "../src/process/mod.rs"]
mod process;

use petrelgauge::control::config::Config;
use petrelgauge::os::inherited;
use petrelgauge::os::signals::Signals;
use petrelgauge::os::system_call::{set_fault_schedule, Call, Fault};
use petrelgauge_test_support::{
    field, gateway_program, insert, kinds, list_line, query, read_message, select,
    startup as startup_message, Harness, Host, Reply,
};
use process::error::GatewayError;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Seeds of the fault schedules.
const SEEDS: std::ops::Range<u64> = 0..4;
/// All calls, in the order of the variants of [`Call`].
const CALLS: [Call; 8] = [
    Call::Listen,
    Call::Accept,
    Call::Connect,
    Call::Read,
    Call::Write,
    Call::Peek,
    Call::SendDatagram,
    Call::ReceiveDatagram,
];
/// Number of concurrent clients, and of requests that each of them sends.
const CLIENT_COUNT: usize = 4;
const REQUESTS_PER_CLIENT: usize = 30;
/// Deadline of each request, and the longest time that a client waits.
const DEADLINE_MS: u64 = 20_000;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// On average, one call in this many fails or is short.
const FAULT_INTERVAL: u32 = 6;
/// The same for calls of which a run makes only a few.
const RARE_FAULT_INTERVAL: u32 = 2;
/// On average, one transfer fault in this many breaks the connection, in runs that allow it.
const BREAK_INTERVAL: u32 = 8;
/// Period without requests in which the gateway's CPU time is measured.
const IDLE_PERIOD: Duration = Duration::from_millis(200);

/// The maximum number of attempts per request in the harness's settings.
const MAX_ATTEMPTS: usize = 8;
/// The SQLSTATE of a rejection: no host has run the request.
const REJECTED_CODE: &str = "53300";
/// Enables leases among three gateways, so that this one sends datagrams.
const OPERATOR_CONFIG: &str =
    "ownership: {\n  secret: \"5e\"\n  electors: 3\n  lease: 800ms\n  delay: 40ms\n  drift_percent: 1\n}\n";

thread_local! {
    /// One random generator per kind of call: the n-th call of a kind has the same fault whenever a seed is
    /// run.
    static FAULT_RNGS: RefCell<Vec<Pcg64Mcg>> = const { RefCell::new(Vec::new()) };
    /// Whether faults may break connections.
    static MAY_BREAK: Cell<bool> = const { Cell::new(false) };
    /// Calls into which a fault was injected.
    static FAULTED_CALLS: RefCell<Vec<Call>> = const { RefCell::new(Vec::new()) };
}

/// Returns the fault, if any, of the next call of the gateway that runs in this thread.
fn draw_fault(call: Call) -> Option<Fault> {
    use libc::*;
    let [chance, kind, index] =
        FAULT_RNGS.with_borrow_mut(|rngs| [0; 3].map(|_: u32| rngs[call as usize].next_u32()));
    let is_rare = matches!(call, Call::Listen | Call::SendDatagram);
    let interval = if is_rare { RARE_FAULT_INTERVAL } else { FAULT_INTERVAL };
    if chance % interval != 0 {
        return None;
    }
    FAULTED_CALLS.with_borrow_mut(|calls| calls.push(call));
    let is_transfer = matches!(call, Call::Read | Call::Write | Call::Peek);
    let errors: &[i32] = match call {
        _ if is_transfer && MAY_BREAK.get() && kind % BREAK_INTERVAL == 0 => {
            &[ETIMEDOUT, EHOSTUNREACH, ECONNRESET]
        }
        Call::Read | Call::Write if kind % 2 == 0 => return Some(Fault::Short),
        Call::Read | Call::Write | Call::Peek => &[EINTR, EAGAIN, ENOBUFS, ENOMEM],
        Call::Listen => &[EINTR, ENOBUFS, ENFILE],
        Call::Accept => &[EINTR, EAGAIN, ECONNABORTED, EPROTO, ETIMEDOUT, EMFILE, ENFILE, ENOBUFS],
        Call::Connect => &[EINTR, EAGAIN, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH],
        Call::SendDatagram | Call::ReceiveDatagram => &[EINTR, EAGAIN, ENOBUFS, ECONNREFUSED, ENETUNREACH],
    };
    Some(Fault::Error(errors[index as usize % errors.len()]))
}

/// Measurements of a gateway at the end of its run.
struct Report {
    counters: BTreeMap<String, u64>,
    idle_cpu_time: Duration,
    faulted_calls: Vec<Call>,
}

/// Runs the gateway in this thread until a report is requested and two endpoint lists have been received.
fn run_gateway(
    variable: impl Fn(&str) -> Option<String>,
    report: oneshot::Receiver<Sender<Report>>,
) -> Result<(), GatewayError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(GatewayError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let signals = Signals::listen()?;
        let process =
            process::startup::start(Config::read(&variable)?, inherited::listener(&variable)?, signals)
                .await?;
        let counters = process.counters.clone();
        let reported = async {
            let answer = report.await.expect("the test is still running");
            while counters.lists.get() < 2 {
                // A discovery watch that broke is retried.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let before = cpu_time();
            tokio::time::sleep(IDLE_PERIOD).await;
            let counters = counters.to_string();
            let counters = counters.split_ascii_whitespace().filter_map(|word| word.split_once('='));
            let counters = counters.map(|(name, count)| (name.into(), count.parse().expect("a number")));
            let idle_cpu_time = cpu_time() - before;
            let report =
                Report { counters: counters.collect(), idle_cpu_time, faulted_calls: FAULTED_CALLS.take() };
            answer.send(report).expect("the test waits for the report");
        };
        tokio::select! {
            ended = process.run() => panic!("the gateway ended: {ended:?}"),
            () = reported => Ok(()),
        }
    })
}

/// CPU time of this thread.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("scheduler statistics");
    Duration::from_nanos(text.split(' ').next().and_then(|word| word.parse().ok()).expect("a number"))
}

/// The final answer to a request.
struct Answer {
    /// The row that the request names.
    name: String,
    is_write: bool,
    /// The SQLSTATE of an error, or `None` if the request was served.
    code: Option<String>,
}

fn connect(address: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).expect("the gateway listens");
    stream.set_read_timeout(Some(DEADLINE)).expect("a read timeout");
    stream.write_all(&startup_message()).ok()?;
    read_until_ready(&mut stream).map(|_| stream)
}

/// Reads messages up to ReadyForQuery; returns `None` if the connection ends before.
fn read_until_ready(stream: &mut TcpStream) -> Option<Vec<(u8, Vec<u8>)>> {
    let started = Instant::now();
    let mut messages = Vec::new();
    while messages.last().is_none_or(|(kind, _)| *kind != b'Z') {
        let message = read_message(stream);
        assert!(started.elapsed() < DEADLINE, "no final answer in time");
        messages.push(message?);
    }
    Some(messages)
}

/// Sends requests of each class in turn, each once. Returns their final answers, without those of connections
/// that broke.
fn run_client(address: &str, client: usize, may_break: bool) -> Vec<Answer> {
    let mut connection: Option<TcpStream> = None;
    let mut answers = Vec::new();
    for number in 0..REQUESTS_PER_CLIENT {
        let name = format!("c{client}n{number}e");
        let text = match number % 3 {
            0 => select(&name, "view", DEADLINE_MS),
            1 => insert(&name, DEADLINE_MS).replace("5c0f", &format!("{client}{number:03}")),
            _ => insert(&name, DEADLINE_MS).replace("k=5c0f,", "").replace("c=post", "c=once"),
        };
        let text = text.replace("9b1f", &format!("{client}{number:03}"));
        let mut stream =
            connection.take().or_else(|| (0..1_000).find_map(|_| connect(address))).expect("admitted");
        let sent = stream.write_all(&query(&text));
        let Some(messages) = sent.ok().and_then(|()| read_until_ready(&mut stream)) else {
            assert!(may_break, "{name} received no answer");
            continue;
        };
        connection = Some(stream);
        let code = match kinds(&messages).as_str() {
            "TDCZ" | "TDCSZ" => {
                let row = String::from_utf8_lossy(&messages[1].1).into_owned();
                assert!(row.contains(&format!("'{name}'")), "{name} received the answer {row}");
                None
            }
            "EZ" => Some(field(&messages[0].1, b'C')),
            other => panic!("{name}: {other}"),
        };
        answers.push(Answer { name, is_write: number % 3 != 0, code });
    }
    answers
}

/// Repeats an operator's command until the answer is `YES`. Only a run that may break connections may leave
/// it unanswered.
fn wait_until_ready(address: &str, may_break: bool) {
    for _ in 0..100 {
        std::thread::sleep(Duration::from_millis(10));
        // The gateway may not listen yet.
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        stream.set_read_timeout(Some(DEADLINE)).expect("a read timeout");
        let mut answer = String::new();
        let _ = stream.write_all(b"ready\n").and_then(|()| stream.read_to_string(&mut answer));
        if answer.starts_with("YES") {
            return;
        }
        assert!(may_break || answer.starts_with("NO"), "unexpected answer {answer:?}");
    }
    panic!("the gateway did not become ready");
}

/// Checks the queries that the hosts received: no write without a key runs twice, no write with a key runs
/// under another key, no rejected write runs, and every served request has run.
fn check_host_queries(hosts: &[Host; 2], answers: &[Answer]) {
    let queries: Vec<String> = hosts.iter().flat_map(Host::new_queries).collect();
    let repeats = |text: &str| queries.iter().filter(|query| query.contains(text)).count();
    let runs = |name: &str| repeats(&format!("'{name}'"));
    for (client, number) in
        (0..CLIENT_COUNT).flat_map(|client| (0..REQUESTS_PER_CLIENT).map(move |number| (client, number)))
    {
        let name = format!("c{client}n{number}e");
        match number % 3 {
            0 => {}
            1 => assert_eq!(
                runs(&name),
                repeats(&format!("k={client}{number:03},")),
                "{name} always has the same key"
            ),
            _ => assert!(runs(&name) <= 1, "{name} has no key and ran {} times", runs(&name)),
        }
        assert!(runs(&name) <= MAX_ATTEMPTS, "{name} was attempted {} times", runs(&name));
    }
    for Answer { name, is_write, code } in answers {
        match code.as_deref() {
            None => assert!(runs(name) > 0, "{name} was served but never ran"),
            Some(REJECTED_CODE) if *is_write => assert_eq!(runs(name), 0, "{name} was rejected but ran"),
            Some(_) => {}
        }
    }
}

/// Checks that each request that was read has exactly one outcome.
fn check_counters(counters: &BTreeMap<String, u64>, answers: &[Answer], may_break: bool) {
    let count = |name: &str| counters[name];
    let ended = ["served", "rejected", "failed", "cancelled", "left"].map(count).iter().sum::<u64>();
    assert_eq!(count("requests"), ended, "{counters:?}");
    let served = answers.iter().filter(|answer| answer.code.is_none()).count() as u64;
    assert!(
        served > (CLIENT_COUNT * REQUESTS_PER_CLIENT / 2) as u64,
        "only {served} served: too few for the run to be meaningful"
    );
    if may_break {
        assert!(count("served") >= served && count("requests") >= answers.len() as u64, "{counters:?}");
    } else {
        assert_eq!(
            (count("requests"), count("served")),
            ((CLIENT_COUNT * REQUESTS_PER_CLIENT) as u64, served)
        );
    }
    assert!(
        count("datagrams_sent") > 0 && count("datagrams_received") > 0,
        "datagrams were not both sent and received: {counters:?}"
    );
}

/// Returns the harness's configuration with a class of writes without keys added and two other gateways at
/// the address of `other`, and the address for datagrams of the gateway under test.
fn configure(harness: &Harness, other: &UdpSocket) -> (Value, SocketAddr) {
    let free = harness.network().udp_socket(1);
    let listen = free.local_addr().expect("an address");
    let other = other.local_addr().expect("an address");
    let mut config: Value = serde_json::from_str(&harness.config()).expect("a configuration");
    config["peer_listen"] = listen.to_string().into();
    config["peers"] = [listen, other, other].map(|peer| peer.to_string()).to_vec().into();
    let classes = config["settings"]["classes"].as_array_mut().expect("classes");
    let mut once = classes[1].clone();
    (once["name"], once["idempotency"]) = ("once".into(), "unsafe".into());
    classes.push(once);
    for (key, value) in [("read_level", Value::from("mutate")), ("staleness_bound_us", Value::from(0))] {
        config["settings"]["family_info"][key].as_array_mut().expect("one for each class").push(value);
    }
    (config, listen)
}

/// Runs the schedule of one seed and returns the calls that had a fault.
fn run_schedule(seed: u64, may_break: bool) -> Vec<Call> {
    let harness = Harness::new(gateway_program!()).ops();
    let host = |role| harness.host((0..10_000).map(|_| Reply::Echo(role)).collect());
    let hosts = [host("primary"), host("standby")];
    let listed = [(&hosts[0], "up", "primary"), (&hosts[1], "up", "standby")];
    let updates = list_line(42, true, &harness.entries(&listed));
    let harness = harness.list(&listed).updates(&[&updates]);
    let other = harness.network().udp_socket(1);
    let (config, peer_listen) = configure(&harness, &other);
    harness.serve_discovery();
    let path = format!("{}/faults-{}", env!("CARGO_TARGET_TMPDIR"), harness.listen);
    std::fs::write(&path, config.to_string()).expect("a writable file");
    std::fs::write(format!("{path}.cue"), OPERATOR_CONFIG).expect("a writable file");
    let (request_report, report_requested) = oneshot::channel();
    let gateway = std::thread::spawn(move || {
        FAULT_RNGS.set(CALLS.map(|call| Pcg64Mcg::seed_from_u64(seed << 8 | call as u64)).to_vec());
        MAY_BREAK.set(may_break);
        set_fault_schedule(draw_fault);
        let variable = |name: &str| match name {
            "GW_CONFIG" => Some(path.clone()),
            "PETRELGAUGE_FILE" => Some(format!("{path}.cue")),
            _ => None,
        };
        run_gateway(variable, report_requested).expect("the gateway starts");
    });
    let operations = config["ops"].as_str().expect("an address");
    wait_until_ready(operations, may_break);
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let clients = [0, 1, 2, 3].map(|client| {
            scope.spawn({
                let address = &harness.listen;
                move || run_client(address, client, may_break)
            })
        });
        for _ in 0..20 {
            wait_until_ready(operations, may_break);
            other.send_to(b"no datagram of a gateway", peer_listen).expect("the datagram is sent");
        }
        clients.into_iter().flat_map(|client| client.join().expect("the client's checks pass")).collect()
    });
    let (sender, receiver) = channel();
    request_report.send(sender).unwrap_or_else(|_| panic!("the gateway has exited"));
    let report = receiver.recv_timeout(DEADLINE).expect("a report");
    gateway.join().expect("the gateway ended without a panic");
    assert!(
        report.idle_cpu_time < IDLE_PERIOD / 2,
        "busy loop: {:?} CPU time in {IDLE_PERIOD:?}",
        report.idle_cpu_time
    );
    check_host_queries(&hosts, &answers);
    check_counters(&report.counters, &answers, may_break);
    report.faulted_calls
}

/// Runs the schedules of all seeds and checks that together they let each call fail.
fn run_all_schedules(may_break: bool) {
    let faulted_calls: Vec<Call> = SEEDS.flat_map(|seed| run_schedule(seed, may_break)).collect();
    for call in CALLS {
        assert!(faulted_calls.contains(&call), "{call:?} never failed");
    }
}

#[test]
fn transient_failures_of_calls_leave_no_request_unanswered() {
    run_all_schedules(false);
}

#[test]
fn broken_connections_cause_no_retry_of_a_write_without_a_key() {
    run_all_schedules(true);
}
