//! The configuration of a gateway: the environment and the JSON file that it names.

use crate::discovery::endpoint_list::List;
use crate::settings::deployment::{DeploymentError, Info};
use crate::settings::operator::{Operator, OperatorError};
use crate::SettingsError;
use serde::Deserialize;
use serde_json::Value;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why there is no configuration to use.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no configuration file.
    #[error("GW_CONFIG is not set: it names the configuration file")]
    PathNotSet,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path as the environment gives it.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The operator's file cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The file can be read, but not used.
    #[error("{path}: {source}")]
    InvalidFile {
        /// The path as the environment gives it.
        path: String,
        /// What is wrong in it.
        source: ConfigFileError,
    },
    /// A file that was read again lacks a key that the settings in force have.
    #[error("settings: {0} is missing")]
    MissingKey(String),
    /// A value of the deployment's settings is missing or not known.
    #[error("settings: {0}")]
    Deployment(#[from] DeploymentError),
    /// A figure of the deployment's settings is out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// What is wrong in a configuration file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// It is not JSON, or lacks a field.
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    /// Its `settings` lack a field, or one has a value of another type.
    #[error("settings: {0}")]
    InvalidSettings(#[source] serde_json::Error),
    /// Neither the file nor this variable of the environment gives the value.
    #[error("neither {0} nor the file says it")]
    MissingValue(&'static str),
    /// A value is not an IP address with a port.
    #[error("{name}: {text:?} is not an address with a port")]
    InvalidAddress {
        /// Variable or key that holds it.
        name: &'static str,
        /// The value.
        text: String,
    },
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("seed: {0:?} is not a hexadecimal number")]
    InvalidSeed(String),
}

/// The configuration of one gateway.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators' commands are taken, if they are.
    pub ops: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Bytes of memory it may use.
    pub memory: usize,
    /// The endpoint list to start from, until discovery sends one.
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
enum Precedence {
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
    /// goes before the file.
    ///
    /// # Errors
    ///
    /// Fails if one of the files cannot be read or used.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::load(var, Precedence::Environment)
    }

    /// Reads the file anew while the program runs. The environment still is that of the start, so that for
    /// discovery, which may move, the file goes first. Settings that lack a key which those in force have are taken
    /// for a part of a file: what is left out would quietly become a default.
    ///
    /// # Errors
    ///
    /// Fails if one of the files cannot be read or used, or lacks a key that the settings in force have.
    pub fn reread(&self, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let config = Config::load(var, Precedence::File)?;
        if let Some(key) = self.keys.difference(&config.keys).next() {
            return Err(ConfigError::MissingKey(key.clone()));
        }
        config.info.settings()?.check()?;
        Ok(config)
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

    fn load(var: impl Fn(&str) -> Option<String>, precedence: Precedence) -> Result<Config, ConfigError> {
        let path = var("GW_CONFIG").ok_or(ConfigError::PathNotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        let operator = Operator::load(var("PETRELGAUGE_FILE").as_deref())?;
        match Config::parse(&text, var, precedence) {
            Ok(config) => Ok(Config { operator, ..config }),
            Err(source) => Err(ConfigError::InvalidFile { path, source }),
        }
    }

    fn parse(
        text: &str,
        var: impl Fn(&str) -> Option<String>,
        precedence: Precedence,
    ) -> Result<Config, ConfigFileError> {
        let file: File = serde_json::from_str(text)?;
        let values = Values { var };
        let mut keys = BTreeSet::new();
        list_keys("", &file.settings, &mut keys);
        let digest = digest(&file.settings);
        let info = read_settings(file.settings)?;
        let listen = values.required("GW_LISTEN", file.listen, Precedence::Environment)?;
        let discovery = values.required("GW_DISCOVERY", file.discovery, precedence)?;
        let ops = (values.var)("GW_OPS").or(file.ops);
        let peer_listen = file.peer_listen;
        let peers = file.peers.into_iter().map(|text| address("peers", text));
        Ok(Config {
            listen: address("GW_LISTEN", listen)?,
            discovery: address("GW_DISCOVERY", discovery)?,
            ops: ops.map(|text| address("ops", text)).transpose()?,
            seed: seed(file.seed)?,
            name: values.required("GW_NAME", file.name, Precedence::Environment)?,
            sockets: file.limits.sockets,
            memory: file.limits.memory_mb.saturating_mul(1024 * 1024),
            known: file.known,
            info,
            digest,
            keys,
            peer_listen: peer_listen.map(|text| address("peer_listen", text)).transpose()?,
            peers: peers.collect::<Result<_, _>>()?,
            operator: Operator::default(),
        })
    }
}

/// Values that the environment or the file may give.
struct Values<V> {
    var: V,
}

impl<V: Fn(&str) -> Option<String>> Values<V> {
    /// The value of a variable or, by precedence, that of the file.
    fn required(
        &self,
        name: &'static str,
        in_file: Option<String>,
        precedence: Precedence,
    ) -> Result<String, ConfigFileError> {
        let found = match precedence {
            Precedence::Environment => (self.var)(name).or(in_file),
            Precedence::File => in_file.or_else(|| (self.var)(name)),
        };
        found.ok_or(ConfigFileError::MissingValue(name))
    }
}

fn address(name: &'static str, text: String) -> Result<SocketAddr, ConfigFileError> {
    text.parse().map_err(|_| ConfigFileError::InvalidAddress { name, text })
}

fn seed(text: String) -> Result<u64, ConfigFileError> {
    u64::from_str_radix(&text, 16).map_err(|_| ConfigFileError::InvalidSeed(text))
}

fn digest(settings: &Value) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.to_string().hash(&mut hasher);
    hasher.finish()
}

/// Reads the deployment's settings. Keys that are not known are logged and skipped.
fn read_settings(settings: Value) -> Result<Info, ConfigFileError> {
    let mut unknown = Vec::new();
    let info = serde_ignored::deserialize(settings, |path| unknown.push(path.to_string()))
        .map_err(ConfigFileError::InvalidSettings)?;
    for key in unknown {
        log::info!("unknown setting ignored key={key}");
    }
    Ok(info)
}

/// The paths of all keys of a value, but for those within lists: what their entries need depends on what they are.
fn list_keys(path: &str, value: &Value, keys: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        list_keys(&path, value, keys);
        keys.insert(path);
    }
}
