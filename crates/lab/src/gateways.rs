//! Real gateway processes on loopback, each with its configuration, killed and started again as an experiment says.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tokio::net::{TcpListener, TcpStream};

/// What all gateways of a tier are told.
pub struct GatewaySetup {
    /// The program.
    pub program: PathBuf,
    /// Where its files go.
    pub folder: PathBuf,
    /// Where the register answers.
    pub register: SocketAddr,
    /// The list that a gateway starts with.
    pub known: String,
    /// Groups' classes need the primary for reads too.
    pub strong: bool,
    /// The operator's file, without the clock.
    pub operator: String,
}

/// One gateway. It ends with this value.
pub struct Gateway {
    /// Where clients connect.
    pub listen: SocketAddr,
    peers: String,
    shift_ms: u64,
    number: usize,
    child: Option<Child>,
    starts: u64,
}

impl Gateway {
    /// Chooses an address for a gateway that is not yet up. `peers` is its list of the others' addresses, its own
    /// first to be heard at.
    pub async fn new(number: usize, peers: String, shift_ms: u64) -> std::io::Result<Gateway> {
        let free = TcpListener::bind((format!("127.0.1.{}", number + 1), 0)).await?;
        Ok(Gateway { listen: free.local_addr()?, peers, shift_ms, number, child: None, starts: 0 })
    }

    /// Starts it.
    pub fn start(&mut self, tier: &GatewaySetup, seed: u64) -> std::io::Result<()> {
        self.starts += 1;
        let (number, listen, register, known) = (self.number, self.listen, tier.register, &tier.known);
        let (peers, seed) =
            (&self.peers, seed.wrapping_mul(31).wrapping_add(self.starts * 101 + number as u64));
        let settings = gateway_settings_json(tier.strong, 5, 'a');
        let config = format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{register}","seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":2048}},{peers}"known":{known},"settings":{settings}}}"#
        );
        let place = |name: &str| tier.folder.join(format!("{name}{number}"));
        std::fs::write(place("config"), config)?;
        std::fs::write(place("operator"), format!("clock_shift: {}ms\n{}", self.shift_ms, tier.operator))?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(place("log"))?;
        let child = Command::new(&tier.program)
            .env("GW_CONFIG", place("config"))
            .env("PETRELGAUGE_FILE", place("operator"))
            .env_remove("GW_LISTEN")
            .env_remove("GW_DISCOVERY")
            .env_remove("GW_NAME")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until it accepts clients; false if it does not within 5 s.
    pub async fn ready(&self) -> bool {
        for _ in 0..500 {
            if TcpStream::connect(self.listen).await.is_ok() {
                return true;
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        false
    }

    /// Its process.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills it, as a crash would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends it a signal: STOP and CONT make it stand still for a while.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Ends it in order; its counters are in its log then.
    pub fn stop(&mut self) {
        self.signal("TERM");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The last counters that a gateway logged under this name, in all its runs.
pub fn counter(folder: &Path, number: usize, name: &str) -> u64 {
    let log = std::fs::read_to_string(folder.join(format!("log{number}"))).unwrap_or_default();
    let last = log.lines().rev().find(|line| line.contains("requests="));
    let word = last.and_then(|line| line.split_ascii_whitespace().find_map(|word| word.strip_prefix(name)));
    word.and_then(|value| value.strip_prefix('=')?.parse().ok()).unwrap_or(0)
}

/// Names of the classes: a bounded read, a read of any data, a keyed write.
pub const CLASSES: [&str; 3] = ["view", "history", "pay"];

/// The settings of a tier of so many gateways, for one that stands in this zone.
pub fn gateway_settings_json(strong: bool, gateways: usize, zone: char) -> String {
    let levels = if strong { ["strong", "strong"] } else { ["lag_bound", "eventual"] };
    format!(
        r#"{{"balancers":{gateways},"zone":"{zone}","granularity_us":5000,"membership_mode":"pushed",
"bounds":{{"attempts_cap":8,"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"max_retry_after_us":500000,"retry_after":true,"probes":false,"second_copies":false}},
"classes":[{{"aim_us":500000,"deadline_us":1200000,"idempotency":"safe","name":"view","points":2.0,"late_share":0.2}},
{{"aim_us":600000,"deadline_us":1500000,"idempotency":"safe","name":"history","points":2.0,"late_share":0.0}},
{{"aim_us":500000,"deadline_us":5000000,"idempotency":"keyed","group":"cell","window_us":5000000,"name":"pay","points":4.0,"late_share":0.5}}],
"family_info":{{"read_level":["{}","{}","mutate"],"staleness_bound_us":[300000,0,0],"when_behind":"bounce","shows_role":"trailing","session_marks":"kept","stamps":true}},
"obligations":{{"answer_slack_us":20000,"cold_from":0.24,"cold_us":16000000,"drain_grace_us":2000000,"fall_us":1000000,"overload_factor":4.0}}}}"#,
        levels[0], levels[1]
    )
    .replace('\n', "")
}
