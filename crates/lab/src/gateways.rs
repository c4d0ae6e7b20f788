//! Real gateway processes on loopback, each with its own configuration, started, stalled and killed by experiments.

use petrelgauge_test_support::ChildProcess;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Names of the request classes: a read with a staleness bound, a read of any data, a write with an idempotency key.
pub const CLASSES: [&str; 3] = ["view", "history", "pay"];
/// Gateways that each gateway of a test cluster takes its deployment to have.
const GATEWAYS_IN_SETTINGS: usize = 5;
/// Zone of every gateway of a test cluster.
const ZONE: char = 'a';
/// How often a starting gateway is tried.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How many times it is tried: five seconds in all.
const READY_POLLS: usize = 500;
/// The field that only the line of counters in a gateway's log has.
const COUNTERS_LINE: &str = "requests=";

/// What all gateways of a cluster have in common.
pub struct GatewaySetup {
    /// The gateway's program.
    pub program: PathBuf,
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

/// One gateway. Dropping it kills its process.
pub struct Gateway {
    /// Where clients connect.
    pub listen: SocketAddr,
    peer_addresses: PeerAddresses,
    clock_shift_ms: u64,
    number: usize,
    process: Option<ChildProcess>,
    /// How many times it was started.
    starts: u64,
}

impl Gateway {
    /// Chooses the client address of a gateway that is not started yet.
    ///
    /// # Errors
    ///
    /// Fails if there is no free port.
    pub async fn new(
        number: usize,
        peer_addresses: PeerAddresses,
        clock_shift_ms: u64,
    ) -> std::io::Result<Gateway> {
        let free = TcpListener::bind((format!("127.0.1.{}", number + 1), 0)).await?;
        let listen = free.local_addr()?;
        Ok(Gateway { listen, peer_addresses, clock_shift_ms, number, process: None, starts: 0 })
    }

    /// Writes the gateway's files and starts its process.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or the program cannot be started.
    pub fn start(&mut self, setup: &GatewaySetup, seed: u64) -> std::io::Result<()> {
        self.starts += 1;
        let file = |name: &str| setup.folder.join(format!("{name}{}", self.number));
        let operator_file = format!("clock_shift: {}ms\n{}", self.clock_shift_ms, setup.operator_file);
        std::fs::write(file("config"), self.config_json(setup, seed))?;
        std::fs::write(file("operator"), operator_file)?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(file("log"))?;
        let process = ChildProcess::spawn(
            Command::new(&setup.program)
                .env("GW_CONFIG", file("config"))
                .env("PETRELGAUGE_FILE", file("operator"))
                .env_remove("GW_LISTEN")
                .env_remove("GW_DISCOVERY")
                .env_remove("GW_NAME")
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log),
        )?;
        self.process = Some(process);
        Ok(())
    }

    fn config_json(&self, setup: &GatewaySetup, seed: u64) -> String {
        let Gateway { listen, number, starts, .. } = self;
        let (discovery, initial_list) = (setup.list_service, &setup.initial_list);
        let seed = seed.wrapping_mul(31).wrapping_add(starts * 101 + *number as u64);
        let peer_listen = self.peer_addresses.listen;
        let peers: Vec<String> =
            self.peer_addresses.peers.iter().map(|address| format!("\"{address}\"")).collect();
        let peers = peers.join(",");
        let settings = gateway_settings_json(setup.primary_reads, GATEWAYS_IN_SETTINGS, ZONE);
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":2048}},"peer_listen":"{peer_listen}","peers":[{peers}],"known":{initial_list},"settings":{settings}}}"#
        )
    }

    /// Waits until it accepts clients; false if it does not within five seconds.
    pub async fn is_ready(&self) -> bool {
        for _ in 0..READY_POLLS {
            if TcpStream::connect(self.listen).await.is_ok() {
                return true;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        false
    }

    /// The id of its process, if it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(ChildProcess::id)
    }

    /// Kills it, as a crash would.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Sends it a signal: STOP stalls it until CONT.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            let _ = process.signal(name);
        }
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
    let [view_level, history_level] =
        if primary_reads { ["strong", "strong"] } else { ["lag_bound", "eventual"] };
    format!(
        r#"{{"balancers":{gateways},"zone":"{zone}","granularity_us":5000,"membership_mode":"pushed",
"bounds":{{"attempts_cap":8,"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"max_retry_after_us":500000,"retry_after":true,"probes":false,"second_copies":false}},
"classes":[{{"aim_us":500000,"deadline_us":1200000,"idempotency":"safe","name":"view","points":2.0,"late_share":0.2}},
{{"aim_us":600000,"deadline_us":1500000,"idempotency":"safe","name":"history","points":2.0,"late_share":0.0}},
{{"aim_us":500000,"deadline_us":5000000,"idempotency":"keyed","group":"cell","window_us":5000000,"name":"pay","points":4.0,"late_share":0.5}}],
"family_info":{{"read_level":["{view_level}","{history_level}","mutate"],"staleness_bound_us":[300000,0,0],"when_behind":"bounce","shows_role":"trailing","session_marks":"kept","stamps":true}},
"obligations":{{"answer_slack_us":20000,"cold_from":0.24,"cold_us":16000000,"drain_grace_us":2000000,"fall_us":1000000,"overload_factor":4.0}}}}"#
    )
    .replace('\n', "")
}
