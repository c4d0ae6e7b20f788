//! What a gateway is told at its start: the environment and the JSON file it names.

use crate::net::discovery::List;
use crate::operator::Operator;
use crate::settings::Info;
use serde::Deserialize;
use std::net::SocketAddr;

/// All that a gateway is told.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Bytes of memory it may use.
    pub memory: usize,
    /// The list of hosts as this gateway last had it.
    pub known: Option<List>,
    /// The settings.
    pub info: Info,
    /// Where other instances reach this one, and where it reaches all of them, its own place among them.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each instance, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// What the operator has set.
    pub operator: Operator,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: Info,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// Which goes first where both name a value.
#[derive(Clone, Copy, PartialEq)]
enum First {
    Environment,
    File,
}

impl Config {
    /// Reads the environment through `var` and the file that `GW_CONFIG` names. What the environment sets
    /// goes before the file. The cause of a failure is one plain sentence.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::load(var, First::Environment)
    }

    /// Reads the file anew while the program runs. The environment still is that of the start, so that for
    /// discovery, which may move, the file goes first.
    pub fn reread(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let config = Config::load(var, First::File)?;
        let sound = config.info.settings().and_then(|settings| settings.check().map_err(|e| e.to_string()));
        sound.map(|()| config).map_err(|cause| format!("settings: {cause}"))
    }

    fn load(var: impl Fn(&str) -> Option<String>, first: First) -> Result<Config, String> {
        let path = var("GW_CONFIG").ok_or("GW_CONFIG is not set: it names the configuration file")?;
        let text = std::fs::read_to_string(&path).map_err(|cause| format!("cannot read {path}: {cause}"))?;
        let operator = Operator::load(var("PETRELGAUGE_FILE").as_deref())?;
        let config = Config::parse(&text, var, first).map_err(|cause| format!("{path}: {cause}"))?;
        Ok(Config { operator, ..config })
    }

    fn parse(text: &str, var: impl Fn(&str) -> Option<String>, first: First) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|cause| cause.to_string())?;
        let either = |name: &str, value: Option<String>, first: First| {
            let found = if first == First::File { value.or_else(|| var(name)) } else { var(name).or(value) };
            found.ok_or(format!("neither {name} nor the file says it"))
        };
        let address = |name: &str, value: Option<String>, first: First| -> Result<SocketAddr, String> {
            let text = either(name, value, first)?;
            text.parse().map_err(|_| format!("{name}: {text:?} is not an address with a port"))
        };
        let listed = |name: &str, text: &str| -> Result<SocketAddr, String> {
            text.parse().map_err(|_| format!("{name}: {text:?} is not an address with a port"))
        };
        Ok(Config {
            listen: address("GW_LISTEN", file.listen, First::Environment)?,
            discovery: address("GW_DISCOVERY", file.discovery, first)?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("seed: {:?} is not a hexadecimal number", file.seed))?,
            name: either("GW_NAME", file.name, First::Environment)?,
            sockets: file.limits.sockets,
            memory: file.limits.memory_mb.saturating_mul(1024 * 1024),
            known: file.known,
            info: file.settings,
            peer_listen: file.peer_listen.map(|text| listed("peer_listen", &text)).transpose()?,
            peers: file.peers.iter().map(|text| listed("peers", text)).collect::<Result<_, _>>()?,
            operator: Operator::default(),
        })
    }
}
