//! What a gateway is told at its start: the environment and the JSON file it names.

use crate::net::discovery::List;
use crate::operator::Operator;
use crate::settings::Info;
use serde::Deserialize;
use serde_json::Value;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
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
    /// Where the staff calls, if it does.
    pub ops: Option<SocketAddr>,
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
    /// A digest of them: what is the same is written the same, whatever the order of its keys.
    pub digest: u64,
    /// The keys that they have, by their paths.
    keys: BTreeSet<String>,
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
    ops: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: Value,
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
    /// This gateway's place among the peers. Where `peers` names other addresses than those that they listen at (each is
    /// reached by a path of its own), the settings tell it: peers are in the order of their numbers.
    pub fn place(&self) -> Option<usize> {
        let listed = self.peers.iter().position(|peer| Some(*peer) == self.peer_listen);
        listed.or(self.info.number().filter(|number| *number < self.peers.len()))
    }

    /// Reads the environment through `var` and the file that `GW_CONFIG` names. What the environment sets
    /// goes before the file. The cause of a failure is one plain sentence.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::load(var, First::Environment)
    }

    /// Reads the file anew while the program runs. The environment still is that of the start, so that for
    /// discovery, which may move, the file goes first. Settings that lack a key which those in force have are taken
    /// for a part of a file: what is left out would quietly become a default.
    pub fn reread(&self, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let config = Config::load(var, First::File)?;
        if let Some(key) = self.keys.difference(&config.keys).next() {
            return Err(format!("settings: {key} is missing"));
        }
        let sound = config.info.settings().and_then(|settings| settings.check().map_err(|e| e.to_string()));
        sound.map(|()| config).map_err(|cause| format!("settings: {cause}"))
    }

    /// What the new file says that only a start can follow.
    pub fn unmoved(&self, new: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.ops != new.ops),
            ("limits", (self.sockets, self.memory) != (new.sockets, new.memory)),
            ("peers", (self.peer_listen, &self.peers) != (new.peer_listen, &new.peers)),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }

    /// This one with what a running gateway follows of the new one.
    pub fn with(&self, new: Config) -> Config {
        let (name, peers) = (self.name.clone(), self.peers.clone());
        let (listen, ops, peer_listen) = (self.listen, self.ops, self.peer_listen);
        let (sockets, memory, seed) = (self.sockets, self.memory, self.seed);
        Config { name, peers, listen, ops, peer_listen, sockets, memory, seed, known: None, ..new }
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
        let mut keys = BTreeSet::new();
        list_keys("", &file.settings, &mut keys);
        let mut hasher = DefaultHasher::new();
        file.settings.to_string().hash(&mut hasher);
        let mut unknown = Vec::new();
        let info: Info = serde_ignored::deserialize(file.settings, |path| unknown.push(path.to_string()))
            .map_err(|cause| format!("settings: {cause}"))?;
        unknown.iter().for_each(|key| log::info!("settings: {key} is not known here and changes nothing"));
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
            ops: var("GW_OPS").or(file.ops).map(|text| listed("ops", &text)).transpose()?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("seed: {:?} is not a hexadecimal number", file.seed))?,
            name: either("GW_NAME", file.name, First::Environment)?,
            sockets: file.limits.sockets,
            memory: file.limits.memory_mb.saturating_mul(1024 * 1024),
            known: file.known,
            info,
            digest: hasher.finish(),
            keys,
            peer_listen: file.peer_listen.map(|text| listed("peer_listen", &text)).transpose()?,
            peers: file.peers.iter().map(|text| listed("peers", text)).collect::<Result<_, _>>()?,
            operator: Operator::default(),
        })
    }
}

/// The paths of all keys of a value, but for those within lists: what their entries need depends on what they are.
fn list_keys(path: &str, value: &Value, keys: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        list_keys(&path, value, keys);
        keys.insert(path);
    }
}
