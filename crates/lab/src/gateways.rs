//! Real gateway processes on loopback, each with its own configuration, started, stalled and killed by experiments.

use petrelgauge_test_support::{ClassSettings, DeploymentSettings, GatewayFiles, GatewayProcess, SlowStart};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Names of the request classes: a read with a staleness bound, a read of any data, a write with an idempotency key.
pub const CLASSES: [&str; 3] = ["view", "history", "pay"];
/// Gateways that each gateway of a test cluster takes its deployment to have.
const GATEWAYS_IN_SETTINGS: usize = 5;
/// Zone of every gateway of a test cluster.
const ZONE: char = 'a';
/// How long a gateway may take until it answers clients.
const READY_LIMIT: Duration = Duration::from_secs(5);
/// The field that only the line of counters in a gateway's log has.
const COUNTERS_LINE: &str = "requests=";

/// What all gateways of a cluster have in common.
pub struct GatewaySetup {
    /// The folder of configurations and logs.
    pub folder: PathBuf,
    /// Where the list service listens.
    pub list_service: SocketAddr,
    /// The endpoint list that a gateway starts with, as JSON.
    pub initial_list: String,
    /// Reads need the primary.
    pub primary_reads: bool,
    /// The operator's file, without the clock's shift.
    pub operator_file: String,
}

/// Addresses for datagrams between gateways.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// Where the gateway listens for datagrams.
    pub listen: SocketAddr,
    /// Where it sends datagrams to, its own address included.
    pub peers: Vec<SocketAddr>,
}

/// What distinguishes one gateway from the others.
#[derive(Clone, Debug)]
pub struct GatewayPlan {
    /// Its number.
    pub number: usize,
    /// Its addresses for datagrams.
    pub peer_addresses: PeerAddresses,
    /// How far its clock is ahead (milliseconds).
    pub clock_shift_ms: u64,
}

/// One gateway. Dropping it kills its process.
pub struct Gateway {
    /// Where clients connect.
    pub listen: SocketAddr,
    plan: GatewayPlan,
    files: GatewayFiles,
    process: GatewayProcess,
    /// How many times it was started.
    starts: u64,
}

impl Gateway {
    /// A gateway of this program that is not started yet, with its files in this folder.
    pub fn new(plan: GatewayPlan, program: PathBuf, folder: &Path) -> Gateway {
        let file = |name: &str| folder.join(format!("{name}{}", plan.number));
        let files =
            GatewayFiles { config: file("config"), operator: Some(file("operator")), log: file("log") };
        let ip = Ipv4Addr::new(127, 0, 1, plan.number as u8 + 1);
        let process = GatewayProcess::new(program, ip, files.clone());
        Gateway { listen: process.listen, plan, files, process, starts: 0 }
    }

    /// Writes the gateway's files and starts its process.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or the program cannot be started.
    pub fn start(&mut self, setup: &GatewaySetup, seed: u64) -> std::io::Result<()> {
        self.starts += 1;
        let operator_file = format!("clock_shift: {}ms\n{}", self.plan.clock_shift_ms, setup.operator_file);
        std::fs::write(&self.files.config, self.config_json(setup, seed))?;
        if let Some(path) = &self.files.operator {
            std::fs::write(path, operator_file)?;
        }
        self.process.start(&[])
    }

    fn config_json(&self, setup: &GatewaySetup, seed: u64) -> String {
        let Gateway { listen, starts, plan, .. } = self;
        let GatewayPlan { number, peer_addresses, .. } = plan;
        let (discovery, initial_list) = (setup.list_service, &setup.initial_list);
        let seed = seed.wrapping_mul(31).wrapping_add(starts * 101 + *number as u64);
        let peer_listen = peer_addresses.listen;
        let peers: Vec<String> =
            peer_addresses.peers.iter().map(|address| format!("\"{address}\"")).collect();
        let peers = peers.join(",");
        let settings = gateway_settings_json(setup.primary_reads, GATEWAYS_IN_SETTINGS, ZONE);
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":2048}},"peer_listen":"{peer_listen}","peers":[{peers}],"known":{initial_list},"settings":{settings}}}"#
        )
    }

    /// Waits until it answers clients; false if it does not within five seconds.
    pub async fn is_ready(&self) -> bool {
        self.process.is_ready(READY_LIMIT).await
    }

    /// The id of its process, if it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.process_id()
    }

    /// Kills it, as a crash would.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Sends it a signal: STOP stalls it until CONT.
    pub fn signal(&self, name: &str) {
        self.process.signal(name);
    }

    /// Asks it to shut down gracefully; it logs its counters then.
    pub fn shut_down(&self) {
        self.signal("TERM");
    }
}

/// How many lines of counters a log holds.
pub fn counter_lines(log: &str) -> usize {
    log.matches(COUNTERS_LINE).count()
}

/// The value of a counter in the last line of counters of a log; 0 if there is none.
pub fn logged_counter(log: &str, name: &str) -> u64 {
    let last_line = log.lines().rev().find(|line| line.contains(COUNTERS_LINE)).unwrap_or_default();
    let value_of = |field: &str| field.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    last_line.split_ascii_whitespace().find_map(value_of).unwrap_or(0)
}

/// The text of a gateway's log; empty if it has none.
pub fn read_log(folder: &Path, number: usize) -> String {
    std::fs::read_to_string(folder.join(format!("log{number}"))).unwrap_or_default()
}

/// The settings of a deployment of so many gateways, for a gateway in this zone.
pub fn gateway_settings_json(primary_reads: bool, gateways: usize, zone: char) -> String {
    let [view, history, pay] = CLASSES;
    let [view_level, history_level] =
        if primary_reads { ["strong", "strong"] } else { ["lag_bound", "eventual"] };
    let history = ClassSettings {
        name: history,
        read_level: history_level,
        staleness_bound: Duration::ZERO,
        latency_target: Duration::from_millis(600),
        deadline: Duration::from_millis(1_500),
        key_window: None,
        points: 2.0,
        late_share: 0.0,
    };
    let view = ClassSettings {
        name: view,
        read_level: view_level,
        staleness_bound: Duration::from_millis(300),
        latency_target: Duration::from_millis(500),
        deadline: Duration::from_millis(1_200),
        late_share: 0.2,
        ..history
    };
    let pay = ClassSettings {
        name: pay,
        read_level: "mutate",
        latency_target: Duration::from_millis(500),
        deadline: Duration::from_secs(5),
        key_window: Some(Duration::from_secs(5)),
        points: 4.0,
        late_share: 0.5,
        ..history
    };
    let classes = vec![view, history, pay];
    DeploymentSettings { gateways, zone, classes, slow_start: SlowStart::DEFAULT }.json()
}
