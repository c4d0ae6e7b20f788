//! A stage for one gateway: the program itself, and the scripted peers it talks to.

#![allow(dead_code, unused_imports)]

mod source;
pub use source::{chunk, Act, WatchScripts, HEAD};

use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
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

fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// What a scripted host does with a query.
pub enum Say {
    Row(&'static [u8]),
    /// A row at this position, in Unix milliseconds.
    RowAt(&'static [u8], u64),
    /// The same from a replica.
    ReplicaAt(&'static [u8], u64),
    /// A row, and these bytes right behind it.
    Surplus(&'static [u8], &'static [u8]),
    /// These bytes and no more.
    Bytes(&'static [u8]),
    /// These bytes, and the connection's end.
    Cut(&'static [u8]),
    /// A row, in so many bytes at a time and so many milliseconds apart.
    Pieces(&'static [u8], usize, u64),
    WaitForGo(&'static [u8]),
    /// The same, at this position.
    RowAtOnGo(&'static [u8], u64),
    /// No answer, and the connection closed when the test says so.
    CloseOnGo,
    Error(&'static str),
    /// The same from a replica at this position.
    ErrorAt(&'static str, u64),
    Close,
    Nothing,
}

/// A database host that takes one query after the other from its script.
pub struct Host {
    address: String,
    seen: Receiver<String>,
    ended: Receiver<()>,
    came: Receiver<()>,
    go: Sender<()>,
    count: Cell<usize>,
}

impl Host {
    fn start(ip: &str, script: Vec<Say>) -> Host {
        Host::slow_from(ip, script, usize::MAX)
    }

    /// From this connection on, counted from 0, it welcomes none before the test says so.
    fn slow_from(ip: &str, script: Vec<Say>, slow_from: usize) -> Host {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let ((saw, seen), (end, ended), (go, gone), (come, came)) =
            (channel(), channel(), channel(), channel());
        // Its connections share the script: whichever gets a query takes the next line.
        let (script, gone) = (Arc::new(Mutex::new(script.into_iter())), Arc::new(Mutex::new(gone)));
        thread::spawn(move || {
            for (place, stream) in listener.incoming().enumerate() {
                let (script, saw, gone, end) = (script.clone(), saw.clone(), gone.clone(), end.clone());
                let come = (place >= slow_from).then(|| come.clone());
                thread::spawn(move || {
                    serve(stream.expect("a connection"), &script, &saw, &gone, come.as_ref());
                    let _ = end.send(());
                });
            }
        });
        Host { address, seen, ended, came, go, count: Cell::new(0) }
    }

    /// The next query that it got.
    pub fn next_query(&self) -> String {
        self.count.set(self.count.get() + 1);
        self.seen.recv_timeout(NEVER).expect("a query arrives")
    }

    /// How many it got in all.
    pub fn queries(&self) -> usize {
        self.count.get() + self.seen.try_iter().count()
    }

    /// A connection waits to be welcomed.
    pub fn next_connection(&self) {
        self.came.recv_timeout(NEVER).expect("a connection comes");
    }

    /// A connection to it has ended.
    pub fn left(&self) {
        self.ended.recv_timeout(NEVER).expect("the gateway closes");
    }

    pub fn go(&self) {
        self.go.send(()).expect("it waits");
    }
}

fn serve(
    mut stream: TcpStream,
    script: &Mutex<impl Iterator<Item = Say>>,
    saw: &Sender<String>,
    go: &Mutex<Receiver<()>>,
    come: Option<&Sender<()>>,
) {
    let mut length = [0; 4];
    if stream.read_exact(&mut length).is_err() {
        return;
    }
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).expect("a startup message");
    let ready = message(b'Z', b"I");
    let welcome = [message(b'R', &[0; 4]), ready.clone()].concat();
    if let Some(come) = come {
        // One at a time waits to be let go on, in the order in which the test hears of them.
        let turn = go.lock().expect("a signal");
        let _ = come.send(());
        turn.recv_timeout(NEVER).expect("it may go on");
    }
    // The gateway may have left meanwhile.
    let _ = stream.write_all(&welcome);
    while let Some((kind, body)) = read_message(&mut stream) {
        assert_eq!(kind, b'Q', "only simple queries");
        let _ = saw.send(String::from_utf8_lossy(&body[..body.len() - 1]).into_owned());
        let say = script.lock().expect("a script").next();
        let role =
            if matches!(say, Some(Say::ReplicaAt(..) | Say::ErrorAt(..))) { "standby" } else { "primary" };
        let answer = match say {
            Some(Say::Row(value)) => row(value),
            Some(Say::RowAt(value, at) | Say::ReplicaAt(value, at)) => {
                [row(value), message(b'S', format!("log_position\0{at}\0").as_bytes())].concat()
            }
            Some(Say::Bytes(bytes)) => {
                let _ = stream.write_all(bytes);
                continue;
            }
            Some(Say::Surplus(value, behind)) => {
                let _ = stream.write_all(&[row(value), ready.clone(), behind.to_vec()].concat());
                continue;
            }
            Some(Say::Cut(bytes)) => {
                let _ = stream.write_all(bytes);
                return;
            }
            Some(Say::Pieces(value, size, apart)) => {
                let whole = [row(value), ready.clone()].concat();
                for piece in whole.chunks(size) {
                    let _ = stream.write_all(piece);
                    thread::sleep(Duration::from_millis(apart));
                }
                continue;
            }
            Some(Say::WaitForGo(value)) => {
                go.lock().expect("a signal").recv_timeout(NEVER).expect("it may go on");
                row(value)
            }
            Some(Say::RowAtOnGo(value, at)) => {
                go.lock().expect("a signal").recv_timeout(NEVER).expect("it may go on");
                [row(value), message(b'S', format!("log_position\0{at}\0").as_bytes())].concat()
            }
            Some(Say::CloseOnGo) => {
                return go.lock().expect("a signal").recv_timeout(NEVER).expect("it may go on");
            }
            Some(Say::Error(code)) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
            Some(Say::ErrorAt(code, at)) => {
                let error = message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
                [error, message(b'S', format!("log_position\0{at}\0").as_bytes())].concat()
            }
            Some(Say::Nothing) => continue,
            Some(Say::Close) | None => return,
        };
        let told = message(b'S', format!("replication_role\0{role}\0").as_bytes());
        if stream.write_all(&[answer, told, ready.clone()].concat()).is_err() {
            return;
        }
    }
}

pub fn row(value: &[u8]) -> Vec<u8> {
    let description = message(b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [description, message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// What a test sets up before the gateway starts.
pub struct Stage {
    ip: String,
    /// Where the gateway is to listen.
    pub listen: String,
    discovery: TcpListener,
    known: String,
    news: Vec<String>,
    later: Vec<String>,
    sockets: usize,
    operator: Option<String>,
    ops: Option<String>,
    shared: Option<(TcpListener, String)>,
}

impl Stage {
    /// Each test has a number, and with it an address, of its own.
    pub fn new(number: u8) -> Stage {
        let ip = format!("127.77.{number}.1");
        let discovery = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
        // Free a moment ago, so that two runs of the tests side by side do not meet; at an address of its own, so
        // that no peer of this test takes the port meanwhile.
        let free = TcpListener::bind((format!("127.77.{number}.2"), 0)).expect("a free port");
        let listen = free.local_addr().expect("an address").to_string();
        Stage {
            ip,
            listen,
            discovery,
            known: String::new(),
            news: Vec::new(),
            later: Vec::new(),
            sockets: 1024,
            operator: None,
            ops: None,
            shared: None,
        }
    }

    pub fn host(&self, script: Vec<Say>) -> Host {
        Host::start(&self.ip, script)
    }

    /// A host that welcomes no connection, from this one on, before the test says so.
    pub fn slow_host(&self, from: usize, script: Vec<Say>) -> Host {
        Host::slow_from(&self.ip, script, from)
    }

    /// A host at whose address nobody listens.
    pub fn closed_host(&self) -> Host {
        let listener = TcpListener::bind((self.ip.as_str(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let (seen, ended, came) = (channel().1, channel().1, channel().1);
        Host { address, seen, ended, came, go: channel().0, count: Cell::new(0) }
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
    pub fn list(mut self, hosts: &[(&Host, &str, &str)]) -> Stage {
        self.known = self.entries(hosts);
        self
    }

    /// The lines that the first watch brings when the test says so.
    pub fn later(mut self, lines: &[&str]) -> Stage {
        self.later = lines.iter().map(|line| line.to_string()).collect();
        self
    }

    /// The lines that the first watch brings.
    pub fn news(mut self, lines: &[&str]) -> Stage {
        self.news = lines.iter().map(|line| line.to_string()).collect();
        self
    }

    /// The operator's file.
    pub fn operator(mut self, text: &str) -> Stage {
        self.operator = Some(text.to_string());
        self
    }

    /// The clients' socket is held by the platform, and the gateway's processes share a folder.
    pub fn shared(mut self) -> Stage {
        let folder = format!("{}/{}", env!("CARGO_TARGET_TMPDIR"), self.listen);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a place to write");
        self.shared = Some((TcpListener::bind(&self.listen).expect("it was free"), folder));
        self
    }

    /// Its processes share the folder of another gateway.
    pub fn share(mut self, folder: &str) -> Stage {
        self.shared.as_mut().expect("it is shared").1 = folder.to_string();
        self
    }

    /// The folder that its processes share.
    pub fn folder(&self) -> &str {
        &self.shared.as_ref().expect("it is shared").1
    }

    /// Starts a process of the program beside another, with a second address of its own, and waits until it runs.
    pub fn beside(&mut self) -> Gateway {
        let free = TcpListener::bind((self.ip.as_str(), 0)).expect("a free port");
        self.ops = Some(free.local_addr().expect("an address").to_string());
        drop(free);
        let gateway = self.start_with(&self.config());
        gateway.line_with("serves at");
        gateway
    }

    /// Serves discovery with the news of this stage; each watch gets them.
    pub fn discover(&self) {
        let (listener, news) = (self.discovery.try_clone().expect("a second handle"), self.news.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let news = news.clone();
                thread::spawn(move || {
                    let ((saw, _watches), (_end, ends)) = (channel(), channel());
                    watch(stream.expect("a watch"), [news, Vec::new()], &saw, &ends);
                });
            }
        });
    }

    /// The gateway listens to its staff too.
    pub fn ops(mut self) -> Stage {
        let free = TcpListener::bind((self.ip.as_str(), 0)).expect("a free port");
        self.ops = Some(free.local_addr().expect("an address").to_string());
        self
    }

    pub fn sockets(mut self, sockets: usize) -> Stage {
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
        Gateway { child, log: RefCell::new(log), address, ops, watches, end_watch }
    }

    /// Starts the program and waits until it serves.
    pub fn start(self) -> Gateway {
        let config = self.config();
        self.start_as(&config)
    }

    /// The same with a configuration that the test has changed.
    pub fn start_as(self, config: &str) -> Gateway {
        let mut gateway = self.start_with(config);
        gateway.line_with("serves at");
        (gateway.watches, gateway.end_watch) = source(self.discovery, self.news, self.later);
        gateway
    }

    /// Starts the program as it is configured so, before a discovery whose connections follow these scripts.
    pub fn start_scripted(self, config: &str, scripts: Vec<Vec<Act>>) -> (Gateway, WatchScripts) {
        let gateway = self.start_with(config);
        gateway.line_with("serves at");
        (gateway, WatchScripts::play(self.discovery, scripts))
    }

    /// A further source of discovery that brings these lines: its address, and the heads of its watches.
    pub fn other_source(&self, news: &[&str]) -> (String, Receiver<String>) {
        let listener = TcpListener::bind((self.ip.as_str(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let news = news.iter().map(|line| line.to_string()).collect();
        let (watches, end) = source(listener, news, Vec::new());
        // Its watch lasts as long as the test.
        std::mem::forget(end);
        (address, watches)
    }
}

fn source(listener: TcpListener, news: Vec<String>, later: Vec<String>) -> (Receiver<String>, Sender<()>) {
    let ((saw, watches), (end_watch, ends)) = (channel(), channel());
    let (mut news, mut later) = (news, later);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (news, later) = (std::mem::take(&mut news), std::mem::take(&mut later));
            watch(stream.expect("a watch"), [news, later], &saw, &ends);
        }
    });
    (watches, end_watch)
}

fn config_path(listen: &str) -> String {
    format!("{}/{listen}.json", env!("CARGO_TARGET_TMPDIR"))
}

/// Serves one watch: its news at once, more when the test says so, and the empty line that shows that it
/// lives. When the test says so again, it ends.
fn watch(mut stream: TcpStream, news: [Vec<String>; 2], saw: &Sender<String>, ends: &Receiver<()>) {
    let mut head = String::new();
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
    while !head.ends_with("\r\n\r\n") {
        if lines.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
    }
    let _ = saw.send(head);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let [news, later] = news;
    tell(&mut stream, &news);
    if !later.is_empty() {
        beat(&mut stream, ends);
        tell(&mut stream, &later);
    }
    beat(&mut stream, ends);
}

fn tell(stream: &mut TcpStream, lines: &[String]) {
    for line in lines {
        let _ = stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
    }
}

/// Writes the empty line until the test says that it goes on.
fn beat(stream: &mut TcpStream, go_on: &Receiver<()>) {
    while stream.write_all(b"1\r\n\n\r\n").is_ok() && go_on.recv_timeout(Duration::from_secs(1)).is_err() {}
}

/// The program, as it runs.
pub struct Gateway {
    child: Child,
    log: RefCell<BufReader<std::process::ChildStderr>>,
    address: String,
    ops: Option<String>,
    watches: Receiver<String>,
    end_watch: Sender<()>,
}

impl Gateway {
    /// Where it listens.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// A caller of its second address.
    pub fn caller(&self) -> TcpStream {
        let stream =
            TcpStream::connect(self.ops.as_ref().expect("it listens to its staff")).expect("it accepts");
        stream.set_read_timeout(Some(NEVER)).expect("a limit");
        stream
    }

    /// What it answers to a call.
    pub fn call(&self, line: &[u8]) -> String {
        let mut caller = self.caller();
        caller.write_all(line).expect("it is read");
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer");
        answer
    }

    /// Calls until the answer begins so.
    pub fn call_until(&self, line: &[u8], begins: &str) {
        for _ in 0..NEVER.as_millis() / 20 {
            if self.call(line).starts_with(begins) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("it never says so");
    }

    pub fn raw_client(&self) -> Client {
        Client::connected(self.address.parse().expect("an address"))
    }

    /// A client that is admitted.
    pub fn client(&self) -> Client {
        Client::admitted(self.address.parse().expect("an address"))
    }

    /// Replaces its configuration and tells it so.
    pub fn configure(&self, config: &str) {
        std::fs::write(config_path(&self.address), config).expect("a place to write");
        self.signal("HUP");
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status().expect("kill is there");
        assert!(sent.success());
    }

    /// Waits for a line of the log that holds this text.
    pub fn line_with(&self, text: &str) -> String {
        let (mut log, mut last) = (self.log.borrow_mut(), String::new());
        loop {
            let mut line = String::new();
            let read = log.read_line(&mut line).expect("its log");
            assert!(read > 0, "it ended before it said {text:?}; its last word: {last:?}");
            if line.contains(text) {
                return line;
            }
            last = line;
        }
    }

    /// Asks for the counters until they hold this text.
    pub fn wait_for_counter(&self, text: &str) {
        self.wait_for_counters(|counters| counters.contains(text));
    }

    /// Asks for the counters until the one named so, with its equals sign, has a value that will do.
    pub fn wait_for(&self, name: &str, will_do: impl Fn(u64) -> bool) {
        self.wait_for_counters(|counters| {
            let words = counters.split_ascii_whitespace();
            words.filter_map(|word| word.strip_prefix(name)?.parse().ok()).any(&will_do)
        });
    }

    fn wait_for_counters(&self, will_do: impl Fn(&str) -> bool) {
        for _ in 0..NEVER.as_millis() / 20 {
            self.signal("USR1");
            if will_do(&self.line_with("requests=")) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("its counters never say so");
    }

    /// The head of the next watch that it begins.
    pub fn next_watch(&self) -> String {
        self.watches.recv_timeout(NEVER).expect("it watches")
    }

    /// Waits until a connection that has answered may be used again.
    pub fn rest(&self) {
        thread::sleep(Duration::from_millis(100));
    }

    /// Lets the watch bring what was kept for later.
    pub fn tell_later(&self) {
        self.end_watch();
    }

    pub fn end_watch(&self) {
        self.end_watch.send(()).expect("a watch is open");
    }

    /// Waits for its end: its code and the rest of its log.
    pub fn ended(&mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.log.borrow_mut().read_to_string(&mut log).expect("its log");
        (self.child.wait().expect("it ends").code(), log)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client's connection.
pub struct Client(TcpStream, SocketAddr);

impl Client {
    /// Leaves with a reset in place of the end of its bytes.
    pub fn reset(self) {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("an option");
    }

    fn connected(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("it accepts");
        stream.set_read_timeout(Some(NEVER)).expect("a limit");
        Client(stream, address)
    }

    fn admitted(address: SocketAddr) -> Client {
        let mut client = Client::connected(address);
        client.write(&startup());
        client.until_ready();
        client
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("it is read");
    }

    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.0.read_exact(&mut bytes).expect("so many bytes");
        bytes
    }

    /// What comes until the connection ends.
    pub fn until_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        bytes
    }

    pub fn until_ready(&mut self) -> Vec<(u8, Vec<u8>)> {
        let mut messages = Vec::new();
        while messages.last().is_none_or(|(kind, _)| *kind != b'Z') {
            messages.push(read_message(&mut self.0).expect("a message"));
        }
        messages
    }

    pub fn rest(&mut self) -> Vec<(u8, Vec<u8>)> {
        std::iter::from_fn(|| read_message(&mut self.0)).collect()
    }

    /// Asks as the protocol's clients do: where the gateway closed the connection before it read the
    /// query, once more over a new one.
    pub fn ask(&mut self, text: &str) -> Vec<(u8, Vec<u8>)> {
        let written = self.0.write_all(&query(text));
        let mut first = [0];
        if written.is_err() || !matches!(self.0.peek(&mut first), Ok(1)) {
            *self = Client::admitted(self.1);
            self.write(&query(text));
        }
        self.until_ready()
    }
}
