//! The complete gateway over system calls that fail or fall short by a schedule drawn from a seed: at its clients, two hosts,
//! discovery, the second address and the datagrams of other gateways. After each play the clients' answers, the hosts'
//! ledger and the gateway's counters are held against each other.

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

/// Seeds that each play is drawn from.
const SEEDS: std::ops::Range<u64> = 0..4;
/// All calls, in the order of their type.
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
/// Clients that ask at the same time, and what each of them asks.
const CLIENTS: usize = 4;
const REQUESTS: usize = 30;
/// What each request has, and each client waits at most.
const DEADLINE_MS: u64 = 20_000;
const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// One call in so many fails or falls short.
const FAULT_INTERVAL: u32 = 6;
/// The same of calls that a play makes a few of.
const RARE_FAULT_INTERVAL: u32 = 2;
/// One fault of a transfer in so many breaks its connection, where connections may break.
const BREAK_INTERVAL: u32 = 8;
/// Span without requests in which the gateway's use of the processor is measured.
const IDLE: Duration = Duration::from_millis(200);

/// Attempts that a request has at most, as the harness's settings say.
const MAX_ATTEMPTS: usize = 8;
/// The code of a refusal: no host was touched.
const UNTOUCHED: &str = "53300";
/// Three gateways hold leases, so that this one sends datagrams.
const OPERATOR: &str =
    "ownership: {\n  secret: \"5e\"\n  electors: 3\n  lease: 800ms\n  delay: 40ms\n  drift_percent: 1\n}\n";

thread_local! {
    /// Where the faults of each call are drawn from: the same for the first of them, the second and so on.
    static FAULTS: RefCell<Vec<Pcg64Mcg>> = const { RefCell::new(Vec::new()) };
    static BREAKS: Cell<bool> = const { Cell::new(false) };
    /// Calls that have had a fault.
    static FAULTED: RefCell<Vec<Call>> = const { RefCell::new(Vec::new()) };
}

/// The fault of the next call of this thread's gateway.
fn draw(call: Call) -> Option<Fault> {
    use libc::*;
    let [chance, kind, which] =
        FAULTS.with_borrow_mut(|faults| [0; 3].map(|_: u32| faults[call as usize].next_u32()));
    let is_rare = matches!(call, Call::Listen | Call::SendDatagram);
    let interval = if is_rare { RARE_FAULT_INTERVAL } else { FAULT_INTERVAL };
    if chance % interval != 0 {
        return None;
    }
    FAULTED.with_borrow_mut(|faulted| faulted.push(call));
    let transfers = matches!(call, Call::Read | Call::Write | Call::Peek);
    let errors: &[i32] = match call {
        _ if transfers && BREAKS.get() && kind % BREAK_INTERVAL == 0 => {
            &[ETIMEDOUT, EHOSTUNREACH, ECONNRESET]
        }
        Call::Read | Call::Write if kind % 2 == 0 => return Some(Fault::Short),
        Call::Read | Call::Write | Call::Peek => &[EINTR, EAGAIN, ENOBUFS, ENOMEM],
        Call::Listen => &[EINTR, ENOBUFS, ENFILE],
        Call::Accept => &[EINTR, EAGAIN, ECONNABORTED, EPROTO, ETIMEDOUT, EMFILE, ENFILE, ENOBUFS],
        Call::Connect => &[EINTR, EAGAIN, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH],
        Call::SendDatagram | Call::ReceiveDatagram => &[EINTR, EAGAIN, ENOBUFS, ECONNREFUSED, ENETUNREACH],
    };
    Some(Fault::Error(errors[which as usize % errors.len()]))
}

/// What a gateway says of itself at the end of its play.
struct Report {
    counters: BTreeMap<String, u64>,
    idle_processor_time: Duration,
    faulted: Vec<Call>,
}

/// Runs the program's own parts in this thread until it is asked for its report and has heard discovery.
fn run(
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
        let asked = async {
            let answer = report.await.expect("the test is there");
            while counters.lists.get() < 2 {
                // A watch of discovery that broke is tried again.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let before = processor_time();
            tokio::time::sleep(IDLE).await;
            let counters = counters.to_string();
            let counters = counters.split_ascii_whitespace().filter_map(|word| word.split_once('='));
            let counters = counters.map(|(name, count)| (name.into(), count.parse().expect("a number")));
            let idle_processor_time = processor_time() - before;
            let report =
                Report { counters: counters.collect(), idle_processor_time, faulted: FAULTED.take() };
            answer.send(report).expect("it listens");
        };
        tokio::select! {
            ended = process.run() => panic!("the gateway ended: {ended:?}"),
            () = asked => Ok(()),
        }
    })
}

/// Time that this thread has had a processor.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel counts");
    Duration::from_nanos(text.split(' ').next().and_then(|word| word.parse().ok()).expect("a number"))
}

/// The final answer to a request.
struct Answered {
    /// The row that the request names.
    name: String,
    is_write: bool,
    /// The code of an error; none if it was served.
    code: Option<String>,
}

fn connect(address: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(DEADLINE)).expect("a limit");
    stream.write_all(&startup_message()).ok()?;
    until_ready(&mut stream).map(|_| stream)
}

/// What comes up to the message that the next query may follow; none if the connection ends before.
fn until_ready(stream: &mut TcpStream) -> Option<Vec<(u8, Vec<u8>)>> {
    let begun = Instant::now();
    let mut messages = Vec::new();
    while messages.last().is_none_or(|(kind, _)| *kind != b'Z') {
        let message = read_message(stream);
        assert!(begun.elapsed() < DEADLINE, "no final answer in time");
        messages.push(message?);
    }
    Some(messages)
}

/// Sends requests of each class by turns, each once: their final answers, without those of connections that broke.
fn play_client(address: &str, client: usize, breaks: bool) -> Vec<Answered> {
    let mut connection: Option<TcpStream> = None;
    let mut answered = Vec::new();
    for number in 0..REQUESTS {
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
        let Some(messages) = sent.ok().and_then(|()| until_ready(&mut stream)) else {
            assert!(breaks, "{name} got no answer");
            continue;
        };
        connection = Some(stream);
        let code = match kinds(&messages).as_str() {
            "TDCZ" | "TDCSZ" => {
                let row = String::from_utf8_lossy(&messages[1].1).into_owned();
                assert!(row.contains(&format!("'{name}'")), "{name} got the answer of {row}");
                None
            }
            "EZ" => Some(field(&messages[0].1, b'C')),
            other => panic!("{name}: {other}"),
        };
        answered.push(Answered { name, is_write: number % 3 != 0, code });
    }
    answered
}

/// An operations call is answered, at the latest when it is repeated behind a connection that broke.
fn call_operations(address: &str, breaks: bool) {
    for _ in 0..100 {
        std::thread::sleep(Duration::from_millis(10));
        // It may not listen yet.
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        stream.set_read_timeout(Some(DEADLINE)).expect("a limit");
        let mut answer = String::new();
        let _ = stream.write_all(b"ready\n").and_then(|()| stream.read_to_string(&mut answer));
        if answer.starts_with("YES") {
            return;
        }
        assert!(breaks || answer.starts_with("NO"), "{answer:?} is no answer");
    }
    panic!("it is never ready");
}

/// What may have run at the hosts: no write without a key twice, one with a key under no other, none that was refused, all that was served.
fn check_ledger(hosts: &[Host; 2], answers: &[Answered]) {
    let queries: Vec<String> = hosts.iter().flat_map(Host::new_queries).collect();
    let repeats = |text: &str| queries.iter().filter(|query| query.contains(text)).count();
    let runs = |name: &str| repeats(&format!("'{name}'"));
    for (client, number) in (0..CLIENTS).flat_map(|client| (0..REQUESTS).map(move |number| (client, number)))
    {
        let name = format!("c{client}n{number}e");
        match number % 3 {
            0 => {}
            1 => assert_eq!(runs(&name), repeats(&format!("k={client}{number:03},")), "{name} has one key"),
            _ => assert!(runs(&name) <= 1, "{name} has no key and ran {} times", runs(&name)),
        }
        assert!(runs(&name) <= MAX_ATTEMPTS, "{name} was tried {} times", runs(&name));
    }
    for Answered { name, is_write, code } in answers {
        match code.as_deref() {
            None => assert!(runs(name) > 0, "{name} was served and never ran"),
            Some(UNTOUCHED) if *is_write => assert_eq!(runs(name), 0, "{name} was refused as untouched"),
            Some(_) => {}
        }
    }
}

/// Each request that was read has one end.
fn check_counters(counters: &BTreeMap<String, u64>, answers: &[Answered], breaks: bool) {
    let count = |name: &str| counters[name];
    let ended = ["served", "rejected", "failed", "cancelled", "left"].map(count).iter().sum::<u64>();
    assert_eq!(count("requests"), ended, "{counters:?}");
    let served = answers.iter().filter(|answer| answer.code.is_none()).count() as u64;
    assert!(served > (CLIENTS * REQUESTS / 2) as u64, "{served} served: the play shows little");
    if breaks {
        assert!(count("served") >= served && count("requests") >= answers.len() as u64, "{counters:?}");
    } else {
        assert_eq!((count("requests"), count("served")), ((CLIENTS * REQUESTS) as u64, served));
    }
    assert!(
        count("datagrams_sent") > 0 && count("datagrams_received") > 0,
        "datagrams went both ways: {counters:?}"
    );
}

/// The configuration with a class of writes without keys, and with two other gateways at this address.
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

/// Plays a seed: the calls that had a fault.
fn play(seed: u64, breaks: bool) -> Vec<Call> {
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
    std::fs::write(&path, config.to_string()).expect("a place to write");
    std::fs::write(format!("{path}.cue"), OPERATOR).expect("a place to write");
    let (ask, asked) = oneshot::channel();
    let gateway = std::thread::spawn(move || {
        FAULTS.set(CALLS.map(|call| Pcg64Mcg::seed_from_u64(seed << 8 | call as u64)).to_vec());
        BREAKS.set(breaks);
        set_fault_schedule(draw);
        let variable = |name: &str| match name {
            "GW_CONFIG" => Some(path.clone()),
            "PETRELGAUGE_FILE" => Some(format!("{path}.cue")),
            _ => None,
        };
        run(variable, asked).expect("it starts");
    });
    let operations = config["ops"].as_str().expect("an address");
    call_operations(operations, breaks);
    let answers: Vec<Answered> = std::thread::scope(|scope| {
        let clients = [0, 1, 2, 3].map(|client| {
            scope.spawn({
                let address = &harness.listen;
                move || play_client(address, client, breaks)
            })
        });
        for _ in 0..20 {
            call_operations(operations, breaks);
            other.send_to(b"no datagram of a gateway", peer_listen).expect("it is sent");
        }
        clients.into_iter().flat_map(|client| client.join().expect("its rules hold")).collect()
    });
    let (sender, receiver) = channel();
    ask.send(sender).unwrap_or_else(|_| panic!("the gateway has ended"));
    let report = receiver.recv_timeout(DEADLINE).expect("a report");
    gateway.join().expect("it ran to the end");
    assert!(report.idle_processor_time < IDLE / 2, "it spins: {:?} of {IDLE:?}", report.idle_processor_time);
    check_ledger(&hosts, &answers);
    check_counters(&report.counters, &answers, breaks);
    report.faulted
}

/// Plays all seeds, which together let each call fail.
fn play_all(breaks: bool) {
    let faulted: Vec<Call> = SEEDS.flat_map(|seed| play(seed, breaks)).collect();
    for call in CALLS {
        assert!(faulted.contains(&call), "{call:?} never failed");
    }
}

#[test]
fn calls_that_fail_for_a_moment_cost_no_request_its_answer() {
    play_all(false);
}

#[test]
fn connections_that_break_repeat_no_write_without_a_key() {
    play_all(true);
}
