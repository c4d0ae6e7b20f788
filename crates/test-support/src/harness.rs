//! A harness for one gateway: configures it, runs its hosts and discovery service, and starts its program.

use crate::child_process::ChildProcess;
use crate::endpoint_list::{line_chunk, list_line};
use crate::gateway::Gateway;
use crate::host::Host;
use crate::network::{LoopbackNetwork, ReservedPort};
use crate::program::GatewayProgram;
use crate::reply::Reply;
use crate::scripted_discovery::{watch_script, Connections, ScriptedDiscovery, Step};
use crate::settings::DeploymentSettings;
use std::cell::RefCell;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::rc::Rc;

/// Last byte of the address of database hosts, the discovery service and the operations listener.
const SERVICES_HOST: u8 = 1;
/// Last byte of the gateway's client address.
const GATEWAY_HOST: u8 = 2;

/// Revision of the endpoint list in the initial configuration.
const FIRST_REVISION: u64 = 41;

/// The setup of a gateway under test.
pub struct Harness {
    program: GatewayProgram,
    network: LoopbackNetwork,
    /// The address on which the gateway listens for clients.
    pub listen: String,
    /// Ports of the gateways, reserved while the harness or one of its gateways exists.
    ports: Vec<Rc<ReservedPort>>,
    discovery: TcpListener,
    initial_entries: String,
    updates: Vec<String>,
    later_updates: Vec<String>,
    sockets: usize,
    memory_mb: usize,
    operator: Option<String>,
    ops: Option<String>,
    shared: Option<(TcpListener, String)>,
}

impl Harness {
    /// Creates a harness for a program, in a loopback network of its own.
    pub fn new(program: GatewayProgram) -> Harness {
        let network = LoopbackNetwork::claim();
        let discovery = network.tcp_listener(SERVICES_HOST);
        let port = ReservedPort::at(network.address(GATEWAY_HOST));
        let listen = port.address();
        Harness {
            program,
            network,
            listen,
            ports: vec![Rc::new(port)],
            discovery,
            initial_entries: String::new(),
            updates: Vec::new(),
            later_updates: Vec::new(),
            sockets: 1024,
            memory_mb: 192,
            operator: None,
            ops: None,
            shared: None,
        }
    }

    /// The loopback network that contains all addresses of the harness.
    pub fn network(&self) -> LoopbackNetwork {
        self.network
    }

    /// Starts a host that answers queries from a script.
    pub fn host(&self, script: Vec<Reply>) -> Host {
        Host::start(self.network.address(SERVICES_HOST), script)
    }

    /// Like [`Harness::host`], but the host answers the startup of connection number `first_held` (counted
    /// from 0) and of all later ones only after [`Host::release`].
    pub fn host_holding_startups(&self, first_held: usize, script: Vec<Reply>) -> Host {
        Host::holding_startups(self.network.address(SERVICES_HOST), script, first_held)
    }

    /// A host whose address refuses connections: nothing listens at its reserved port.
    pub fn closed_host(&self) -> Host {
        Host::closed(ReservedPort::at(self.network.address(SERVICES_HOST)))
    }

    /// The list entries of hosts, each given with its phase and role, as comma-separated JSON objects.
    pub fn entries(&self, hosts: &[(&Host, &str, &str)]) -> String {
        let entries = hosts
            .iter()
            .enumerate()
            .map(|(place, (host, phase, role))| entry(place, &host.address, phase, role));
        entries.collect::<Vec<_>>().join(",")
    }

    /// Sets the endpoint list of the initial configuration.
    pub fn list(mut self, hosts: &[(&Host, &str, &str)]) -> Harness {
        self.initial_entries = self.entries(hosts);
        self
    }

    /// Sets the endpoint list of the initial configuration: one primary at this address.
    pub fn list_primary_at(mut self, address: SocketAddr) -> Harness {
        self.initial_entries = entry(0, &address.to_string(), "up", "primary");
        self
    }

    /// Sets the lines that the first watch receives after [`Gateway::send_later_updates`].
    pub fn later_updates(mut self, lines: &[&str]) -> Harness {
        self.later_updates = lines.iter().map(|line| line.to_string()).collect();
        self
    }

    /// Sets the lines that the first watch receives immediately.
    pub fn updates(mut self, lines: &[&str]) -> Harness {
        self.updates = lines.iter().map(|line| line.to_string()).collect();
        self
    }

    /// Sets the content of the operator's file.
    pub fn operator_file(mut self, text: &str) -> Harness {
        self.operator = Some(text.to_string());
        self
    }

    /// Makes all gateway processes of the harness inherit one listening socket and share a folder for
    /// handover records.
    pub fn with_shared_listener(mut self) -> Harness {
        let folder = format!("{}/{}", self.program.folder, self.listen);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("create the folder");
        self.shared = Some((TcpListener::bind(&self.listen).expect("bind the reserved port"), folder));
        self
    }

    /// Uses the handover folder of another gateway.
    pub fn with_handover_folder(mut self, folder: &str) -> Harness {
        self.shared.as_mut().expect("the harness has a shared listener").1 = folder.to_string();
        self
    }

    /// The folder for handover records.
    pub fn handover_folder(&self) -> &str {
        &self.shared.as_ref().expect("the harness has a shared listener").1
    }

    /// Starts another gateway process with its own operations address and waits until it serves.
    pub fn start_another(&mut self) -> Gateway {
        self.ops = Some(self.reserve_port());
        let gateway = self.spawn(&self.config());
        gateway.wait_for_log_line("gateway serving");
        gateway
    }

    /// Starts the discovery service; every watch receives the updates of this harness.
    pub fn serve_discovery(&self) {
        let listener = self.discovery.try_clone().expect("duplicate the descriptor");
        let script = watch_script(&self.updates, vec![Step::Heartbeat]);
        ScriptedDiscovery::serve(listener, Connections::Concurrent, std::iter::repeat(script));
    }

    /// Configures an operations address.
    pub fn ops(mut self) -> Harness {
        self.ops = Some(self.reserve_port());
        self
    }

    /// Reserves one more port for a gateway of this harness and returns its address.
    pub fn reserve_port(&mut self) -> String {
        let port = ReservedPort::at(self.network.address(SERVICES_HOST));
        let address = port.address();
        self.ports.push(Rc::new(port));
        address
    }

    /// Sets the gateway's limit on descriptors.
    pub fn sockets(mut self, sockets: usize) -> Harness {
        self.sockets = sockets;
        self
    }

    /// Sets the gateway's limit on memory (MiB).
    pub fn memory_mb(mut self, memory_mb: usize) -> Harness {
        self.memory_mb = memory_mb;
        self
    }

    /// The address of the discovery service.
    pub fn discovery_address(&self) -> String {
        self.discovery.local_addr().expect("valid socket address").to_string()
    }

    /// The gateway's configuration, as JSON.
    pub fn config(&self) -> String {
        let (listen, sockets, memory_mb) = (&self.listen, self.sockets, self.memory_mb);
        let known = list_line(FIRST_REVISION, true, &self.initial_entries);
        let discovery = self.discovery_address();
        let settings = DeploymentSettings::single_gateway().json();
        let ops = self.ops.as_ref().map(|ops| format!(r#""ops":"{ops}","#)).unwrap_or_default();
        format!(
            r#"{{{ops}"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        )
    }

    /// Starts the program with a configuration, without waiting until it serves.
    pub fn spawn(&self, config: &str) -> Gateway {
        self.spawn_with_env(config, &[])
    }

    /// Like [`Harness::spawn`], with additional environment variables.
    pub fn spawn_with_env(&self, config: &str, more: &[(&str, &str)]) -> Gateway {
        let path = format!("{}/{}.json", self.program.folder, self.listen);
        std::fs::write(&path, config).expect("write the file");
        let program = self.program.path;
        let mut command = match &self.shared {
            None => Command::new(program),
            Some((listener, folder)) => {
                // The shell moves the socket to descriptor 3 and replaces itself with the program.
                let mut command = Command::new("sh");
                command.args(["-c", "exec 3<&0 0</dev/null; exec \"$0\"", program]);
                command.stdin(std::os::fd::OwnedFd::from(
                    listener.try_clone().expect("duplicate the descriptor"),
                ));
                command.env("GW_ACCEPT_FD", "3").env("TMPDIR", folder);
                command
            }
        };
        command.env_remove("PETRELGAUGE_FILE");
        if let Some(text) = &self.operator {
            let file = format!("{path}.cue");
            std::fs::write(&file, text).expect("write the file");
            command.env("PETRELGAUGE_FILE", file);
        }
        command
            .env("GW_CONFIG", &path)
            .env("GW_DISCOVERY", self.discovery_address())
            .env_remove("RUST_LOG")
            .envs(more.iter().copied())
            .stderr(Stdio::piped());
        let mut child = ChildProcess::spawn(&mut command).expect("start the gateway");
        let log = BufReader::new(child.take_stderr().expect("stderr is piped"));
        let (address, ops) = (self.listen.clone(), self.ops.clone());
        let _ports = self.ports.clone();
        Gateway { child, log: RefCell::new(log), address, config_path: path, ops, discovery: None, _ports }
    }

    /// Starts the program and waits until it serves.
    pub fn start(self) -> Gateway {
        let config = self.config();
        self.start_with_config(&config)
    }

    /// Like [`Harness::start`], with a modified configuration.
    pub fn start_with_changed_config(self, change: impl FnOnce(&str) -> String) -> Gateway {
        let config = change(&self.config());
        self.start_with_config(&config)
    }

    /// Like [`Harness::start`], with the given configuration.
    pub fn start_with_config(self, config: &str) -> Gateway {
        let mut gateway = self.spawn(config);
        gateway.wait_for_log_line("gateway serving");
        gateway.discovery = Some(serve_updates(self.discovery, &self.updates, &self.later_updates));
        gateway
    }

    /// Like [`Harness::start_with_config`], with a discovery service that follows scripts.
    pub fn start_scripted(self, config: &str, scripts: Vec<Vec<Step>>) -> (Gateway, ScriptedDiscovery) {
        let gateway = self.spawn(config);
        gateway.wait_for_log_line("gateway serving");
        (gateway, ScriptedDiscovery::play(self.discovery, scripts))
    }

    /// Starts a second discovery service, whose first watch receives these lines.
    pub fn start_second_discovery(&self, updates: &[&str]) -> ScriptedDiscovery {
        let updates: Vec<String> = updates.iter().map(|line| line.to_string()).collect();
        serve_updates(self.network.tcp_listener(SERVICES_HOST), &updates, &[])
    }
}

/// One entry of an endpoint list, as JSON.
fn entry(place: usize, address: &str, phase: &str, role: &str) -> String {
    format!(
        r#"{{"id":"s-{place}","host_port":"{address}","locality":"a","cell":2,"phase":"{phase}","replication":"{role}","size":1.0,"up_since_ms":0}}"#
    )
}

/// Starts a discovery service whose first watch receives `updates` immediately and `later_updates` after a
/// release; each further release ends a watch.
fn serve_updates(listener: TcpListener, updates: &[String], later_updates: &[String]) -> ScriptedDiscovery {
    let mut first = watch_script(updates, vec![Step::HeartbeatUntilRelease]);
    if !later_updates.is_empty() {
        first.extend(later_updates.iter().map(|line| Step::Write(line_chunk(line))));
        first.push(Step::HeartbeatUntilRelease);
    }
    let other = watch_script(&[], vec![Step::HeartbeatUntilRelease]);
    let scripts = std::iter::once(first).chain(std::iter::repeat(other));
    ScriptedDiscovery::serve(listener, Connections::Sequential, scripts)
}

/// Starts a gateway with a single host, a primary that answers queries from a script.
pub fn gateway_with_primary(program: GatewayProgram, script: Vec<Reply>) -> (Host, Gateway) {
    let harness = Harness::new(program);
    let host = harness.host(script);
    let gateway = harness.list(&[(&host, "up", "primary")]).start();
    (host, gateway)
}
