//! A test harness for one gateway: the program itself, and the scripted peers it talks to.

use crate::discovery::{source, watch};
use crate::endpoint_list::list_line;
use crate::gateway::Gateway;
use crate::host::Host;
use crate::network::{LoopbackNetwork, ReservedPort};
use crate::program::GatewayProgram;
use crate::reply::Reply;
use crate::scripted_discovery::{ScriptedDiscovery, Step};
use crate::settings::SETTINGS;
use std::cell::{Cell, RefCell};
use std::io::BufReader;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver};
use std::thread;

/// Last byte of the address of database hosts, discovery and operators.
const PEERS_HOST: u8 = 1;
/// Last byte of the address of the gateway.
const GATEWAY_HOST: u8 = 2;

/// What a test sets up before the gateway starts.
pub struct Harness {
    program: GatewayProgram,
    network: LoopbackNetwork,
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
    /// A harness for this program, in a loopback network of its own.
    pub fn new(program: GatewayProgram) -> Harness {
        let network = LoopbackNetwork::claim();
        let discovery = network.tcp_listener(PEERS_HOST);
        let port = ReservedPort::at(network.address(GATEWAY_HOST));
        let listen = port.address();
        Harness {
            program,
            network,
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

    /// The network of all its addresses.
    pub fn network(&self) -> LoopbackNetwork {
        self.network
    }

    pub fn host(&self, script: Vec<Reply>) -> Host {
        Host::start(self.network.address(PEERS_HOST), script)
    }

    /// A host that welcomes no connection, from this one on, before the test says so.
    pub fn slow_host(&self, from: usize, script: Vec<Reply>) -> Host {
        Host::slow_from(self.network.address(PEERS_HOST), script, from)
    }

    /// A host at whose address nobody listens.
    pub fn closed_host(&self) -> Host {
        let port = ReservedPort::at(self.network.address(PEERS_HOST));
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
        let folder = format!("{}/{}", self.program.folder, self.listen);
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
        let port = ReservedPort::at(self.network.address(PEERS_HOST));
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
        let (listen, sockets, known) = (&self.listen, self.sockets, list_line(41, true, &self.known));
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
        let path = format!("{}/{}.json", self.program.folder, self.listen);
        std::fs::write(&path, config).expect("a place to write");
        let program = self.program.path;
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
            .env("GW_CONFIG", &path)
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
        Gateway { child, log: RefCell::new(log), address, config_path: path, ops, watches, end_watch, _ports }
    }

    /// Starts the program and waits until it serves.
    pub fn start(self) -> Gateway {
        let config = self.config();
        self.start_as(&config)
    }

    /// The same with this change to its configuration.
    pub fn start_changed(self, change: impl FnOnce(&str) -> String) -> Gateway {
        let config = change(&self.config());
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
        let listener = self.network.tcp_listener(PEERS_HOST);
        let address = listener.local_addr().expect("an address").to_string();
        let updates = updates.iter().map(|line| line.to_string()).collect();
        let (watches, end) = source(listener, updates, Vec::new());
        // Its watch lasts as long as the test.
        std::mem::forget(end);
        (address, watches)
    }
}

/// A gateway that serves before one host, the primary, which follows this script.
pub fn gateway_with_primary(program: GatewayProgram, script: Vec<Reply>) -> (Host, Gateway) {
    let harness = Harness::new(program);
    let host = harness.host(script);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    (host, gateway)
}
