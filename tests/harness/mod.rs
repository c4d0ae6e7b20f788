//! A test harness for one gateway: the program itself, and the scripted peers it talks to.

#![allow(dead_code, unused_imports)]

mod gateway;
mod host;
mod port;
mod source;
pub use gateway::{Client, Gateway};
pub use host::{row, Host, Reply};
pub use port::ReservedPort;
pub use source::{chunk, ScriptedDiscovery, Step, HEAD};

use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Nothing that works takes so long; what does not work fails then and does not hang.
const NEVER: Duration = Duration::from_secs(60);

const SETTINGS: &str = r#"{"balancers":1,"zone":"a","granularity_us":5000,"membership_mode":"pushed",
"bounds":{"attempts_cap":8,"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,
"max_retry_after_us":500000,"retry_after":true,"probes":false,"second_copies":false},
"classes":[{"aim_us":4000000,"deadline_us":30000000,"idempotency":"safe","name":"view","points":2.0,
"late_share":0.2},{"aim_us":4000000,"deadline_us":30000000,"idempotency":"keyed","group":"cell",
"window_us":30000000,"name":"post","points":4.0,"late_share":0.5}],
"family_info":{"read_level":["eventual","mutate"],"staleness_bound_us":[0,0],"when_behind":"bounce",
"shows_role":"trailing","session_marks":"kept","stamps":true},
"obligations":{"answer_slack_us":20000,"cold_from":0.24,"cold_us":16000000,"drain_grace_us":2000000,
"fall_us":1000000,"overload_factor":4.0}}"#;

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0backend\0database\0store\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// The clients of a test take turns, or name their requests themselves.
pub fn select(name: &str, class: &str, wait_ms: u64) -> String {
    format!("SELECT content FROM kv WHERE name = '{name}' /* id=9b1f,c={class},d={wait_ms},cluster=2 */")
}

pub fn insert(name: &str, wait_ms: u64) -> String {
    let comment = format!("/* id=9b1f,c=post,d={wait_ms},k=5c0f,cluster=2 */");
    format!("INSERT INTO kv (name, content) VALUES ('{name}', '\\x9f03') RETURNING content {comment}")
}

/// The types of these messages, as one word.
pub fn kinds(messages: &[(u8, Vec<u8>)]) -> String {
    messages.iter().map(|(kind, _)| *kind as char).collect()
}

/// A field of an ErrorResponse.
pub fn field(body: &[u8], wanted: u8) -> String {
    let mut fields = body.split(|byte| *byte == 0).filter(|field| field.first() == Some(&wanted));
    String::from_utf8(fields.next().map_or(vec![], |field| field[1..].to_vec())).expect("text")
}

pub fn list(revision: u64, complete: bool, entries: &str) -> String {
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{entries}]}}")
}

/// The next message, if one comes complete.
pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// What a test sets up before the gateway starts.
pub struct Harness {
    ip: String,
    /// Where the gateway is to listen.
    pub listen: String,
    /// The ports of its gateways, for as long as the harness or one of them is there.
    ports: Vec<Rc<ReservedPort>>,
    discovery: TcpListener,
    known: String,
    updates: Vec<String>,
    later_updates: Vec<String>,
    sockets: usize,
    operator: Option<String>,
    ops: Option<String>,
    shared: Option<(TcpListener, String)>,
}

impl Harness {
    /// Each test has a number, and with it an address, of its own.
    pub fn new(number: u8) -> Harness {
        let ip = format!("127.77.{number}.1");
        let discovery = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
        let port = ReservedPort::at(&format!("127.77.{number}.2"));
        let listen = port.address();
        Harness {
            ip,
            listen,
            ports: vec![Rc::new(port)],
            discovery,
            known: String::new(),
            updates: Vec::new(),
            later_updates: Vec::new(),
            sockets: 1024,
            operator: None,
            ops: None,
            shared: None,
        }
    }

    pub fn host(&self, script: Vec<Reply>) -> Host {
        Host::start(&self.ip, script)
    }

    /// A host that welcomes no connection, from this one on, before the test says so.
    pub fn slow_host(&self, from: usize, script: Vec<Reply>) -> Host {
        Host::slow_from(&self.ip, script, from)
    }

    /// A host at whose address nobody listens.
    pub fn closed_host(&self) -> Host {
        let port = ReservedPort::at(&self.ip);
        let address = port.address();
        let (seen, ended, came) = (channel().1, channel().1, channel().1);
        Host { address, seen, ended, came, go: channel().0, count: Cell::new(0), _closed_port: Some(port) }
    }

    pub fn entries(&self, hosts: &[(&Host, &str, &str)]) -> String {
        let entry = |(place, (host, phase, role)): (usize, &(&Host, &str, &str))| {
            let address = &host.address;
            format!(
                r#"{{"id":"s-{place}","host_port":"{address}","locality":"a","cell":2,"phase":"{phase}","replication":"{role}","size":1.0,"up_since_ms":0}}"#
            )
        };
        hosts.iter().enumerate().map(entry).collect::<Vec<_>>().join(",")
    }

    /// What the gateway knows at its start.
    pub fn list(mut self, hosts: &[(&Host, &str, &str)]) -> Harness {
        self.known = self.entries(hosts);
        self
    }

    /// The lines that the first watch brings when the test says so.
    pub fn later_updates(mut self, lines: &[&str]) -> Harness {
        self.later_updates = lines.iter().map(|line| line.to_string()).collect();
        self
    }

    /// The lines that the first watch brings.
    pub fn updates(mut self, lines: &[&str]) -> Harness {
        self.updates = lines.iter().map(|line| line.to_string()).collect();
        self
    }

    /// The operator's file.
    pub fn operator(mut self, text: &str) -> Harness {
        self.operator = Some(text.to_string());
        self
    }

    /// The clients' socket is held by the platform, and the gateway's processes share a folder.
    pub fn shared(mut self) -> Harness {
        let folder = format!("{}/{}", env!("CARGO_TARGET_TMPDIR"), self.listen);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a place to write");
        self.shared = Some((TcpListener::bind(&self.listen).expect("it was free"), folder));
        self
    }

    /// Its processes share the folder of another gateway.
    pub fn share(mut self, folder: &str) -> Harness {
        self.shared.as_mut().expect("it is shared").1 = folder.to_string();
        self
    }

    /// The folder that its processes share.
    pub fn folder(&self) -> &str {
        &self.shared.as_ref().expect("it is shared").1
    }

    /// Starts a process of the program beside another, with a second address of its own, and waits until it runs.
    pub fn beside(&mut self) -> Gateway {
        self.ops = Some(self.reserve_port());
        let gateway = self.start_with(&self.config());
        gateway.line_with("gateway serving");
        gateway
    }

    /// Serves discovery with the updates of this harness; each watch gets them.
    pub fn discover(&self) {
        let (listener, updates) =
            (self.discovery.try_clone().expect("a second handle"), self.updates.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let updates = updates.clone();
                thread::spawn(move || {
                    let ((saw, _watches), (_end, ends)) = (channel(), channel());
                    watch(stream.expect("a watch"), [updates, Vec::new()], &saw, &ends);
                });
            }
        });
    }

    /// The gateway has an operations address too.
    pub fn ops(mut self) -> Harness {
        self.ops = Some(self.reserve_port());
        self
    }

    /// A further port that is free for a gateway of this harness: its address.
    pub fn reserve_port(&mut self) -> String {
        let port = ReservedPort::at(&self.ip);
        let address = port.address();
        self.ports.push(Rc::new(port));
        address
    }

    pub fn sockets(mut self, sockets: usize) -> Harness {
        self.sockets = sockets;
        self
    }

    pub fn discovery_address(&self) -> String {
        self.discovery.local_addr().expect("an address").to_string()
    }

    pub fn config(&self) -> String {
        let (listen, sockets, known) = (&self.listen, self.sockets, list(41, true, &self.known));
        let discovery = self.discovery_address();
        let ops = self.ops.as_ref().map(|ops| format!(r#""ops":"{ops}","#)).unwrap_or_default();
        format!(
            r#"{{{ops}"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f","limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{SETTINGS}}}"#
        )
    }

    /// Starts the program with this configuration; it need not come up.
    pub fn start_with(&self, config: &str) -> Gateway {
        self.start_env(config, &[])
    }

    /// The same with more in its environment.
    pub fn start_env(&self, config: &str, more: &[(&str, &str)]) -> Gateway {
        let path = config_path(&self.listen);
        std::fs::write(&path, config).expect("a place to write");
        let program = env!("CARGO_BIN_EXE_petrelgauge");
        let mut command = match &self.shared {
            None => Command::new(program),
            Some((listener, folder)) => {
                // The shell hands the socket on as descriptor 3, and becomes the program.
                let mut command = Command::new("sh");
                command.args(["-c", "exec 3<&0 0</dev/null; exec \"$0\"", program]);
                command.stdin(std::os::fd::OwnedFd::from(listener.try_clone().expect("a second handle")));
                command.env("GW_ACCEPT_FD", "3").env("TMPDIR", folder);
                command
            }
        };
        command.env_remove("PETRELGAUGE_FILE");
        if let Some(text) = &self.operator {
            let file = format!("{path}.cue");
            std::fs::write(&file, text).expect("a place to write");
            command.env("PETRELGAUGE_FILE", file);
        }
        let mut child = command
            .env("GW_CONFIG", path)
            .env("GW_DISCOVERY", self.discovery_address())
            .env_remove("RUST_LOG")
            .envs(more.iter().copied())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        let (watches, end_watch) = (channel().1, channel().0);
        let (address, ops) = (self.listen.clone(), self.ops.clone());
        let _ports = self.ports.clone();
        Gateway { child, log: RefCell::new(log), address, ops, watches, end_watch, _ports }
    }

    /// Starts the program and waits until it serves.
    pub fn start(self) -> Gateway {
        let config = self.config();
        self.start_as(&config)
    }

    /// The same with a configuration that the test has changed.
    pub fn start_as(self, config: &str) -> Gateway {
        let mut gateway = self.start_with(config);
        gateway.line_with("gateway serving");
        (gateway.watches, gateway.end_watch) = source(self.discovery, self.updates, self.later_updates);
        gateway
    }

    /// Starts the program as it is configured so, before a discovery whose connections follow these scripts.
    pub fn start_scripted(self, config: &str, scripts: Vec<Vec<Step>>) -> (Gateway, ScriptedDiscovery) {
        let gateway = self.start_with(config);
        gateway.line_with("gateway serving");
        (gateway, ScriptedDiscovery::play(self.discovery, scripts))
    }

    /// A further source of discovery that brings these lines: its address, and the heads of its watches.
    pub fn other_source(&self, updates: &[&str]) -> (String, Receiver<String>) {
        let listener = TcpListener::bind((self.ip.as_str(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let updates = updates.iter().map(|line| line.to_string()).collect();
        let (watches, end) = source(listener, updates, Vec::new());
        // Its watch lasts as long as the test.
        std::mem::forget(end);
        (address, watches)
    }
}

fn source(
    listener: TcpListener,
    updates: Vec<String>,
    later_updates: Vec<String>,
) -> (Receiver<String>, Sender<()>) {
    let ((saw, watches), (end_watch, ends)) = (channel(), channel());
    let (mut updates, mut later_updates) = (updates, later_updates);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (updates, later_updates) = (std::mem::take(&mut updates), std::mem::take(&mut later_updates));
            watch(stream.expect("a watch"), [updates, later_updates], &saw, &ends);
        }
    });
    (watches, end_watch)
}

fn config_path(listen: &str) -> String {
    format!("{}/{listen}.json", env!("CARGO_TARGET_TMPDIR"))
}

/// Serves one watch: its updates at once, more when the test says so, and the empty line that shows that it
/// lives. When the test says so again, it ends.
fn watch(mut stream: TcpStream, updates: [Vec<String>; 2], saw: &Sender<String>, ends: &Receiver<()>) {
    let mut head = String::new();
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
    while !head.ends_with("\r\n\r\n") {
        if lines.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
    }
    let _ = saw.send(head);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let [updates, later_updates] = updates;
    write_updates(&mut stream, &updates);
    if !later_updates.is_empty() {
        write_heartbeats(&mut stream, ends);
        write_updates(&mut stream, &later_updates);
    }
    write_heartbeats(&mut stream, ends);
}

fn write_updates(stream: &mut TcpStream, lines: &[String]) {
    for line in lines {
        let _ = stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
    }
}

/// Writes the empty line until the test says that it goes on.
fn write_heartbeats(stream: &mut TcpStream, go_on: &Receiver<()>) {
    while stream.write_all(b"1\r\n\n\r\n").is_ok() && go_on.recv_timeout(Duration::from_secs(1)).is_err() {}
}
