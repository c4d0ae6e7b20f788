//! The configuration of a gateway, read from the environment and the JSON file that it names.

use crate::discovery::endpoint_list::EndpointList;
use crate::settings::deployment::{DeploymentError, DeploymentSettings};
use crate::settings::operator::{OperatorConfig, OperatorError};
use crate::SettingsError;
use serde::Deserialize;
use serde_json::Value;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

const BYTES_PER_MEGABYTE: usize = 1024 * 1024;

/// Error from reading or validating the configuration. The messages are shown to operators.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `GW_CONFIG` is not set in the environment.
    #[error("GW_CONFIG is not set: it names the configuration file")]
    PathNotSet,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path from the environment.
        path: String,
        /// Error of the system call.
        source: io::Error,
    },
    /// The operator's file cannot be read or is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The file was read, but its content is invalid.
    #[error("{path}: {source}")]
    InvalidFile {
        /// Path from the environment.
        path: String,
        /// The error in its content.
        source: ConfigFileError,
    },
    /// A reloaded file lacks a key that the current settings have.
    #[error("settings: {0} is missing")]
    MissingKey(String),
    /// A value of the deployment's settings is missing or unknown.
    #[error("settings: {0}")]
    Deployment(#[from] DeploymentError),
    /// A value of the deployment's settings is out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Error in the content of a configuration file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file is not valid JSON, lacks a required key, or has a value of the wrong type.
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    /// `settings` lacks a required key or has a value of the wrong type.
    #[error("settings: {0}")]
    InvalidSettings(#[source] serde_json::Error),
    /// A required value is set neither in the file nor by this environment variable.
    #[error("neither {0} nor the file sets it")]
    MissingValue(&'static str),
    /// A value is not an IP address with a port.
    #[error("{name}: {text:?} is not an address with a port")]
    InvalidAddress {
        /// The environment variable or key.
        name: &'static str,
        /// Its value.
        text: String,
    },
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("seed: {0:?} is not a hexadecimal number")]
    InvalidSeed(String),
}

/// The configuration of one gateway.
#[derive(Debug)]
pub struct Config {
    /// Name of the gateway.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Listen address for operators' commands, if they are enabled.
    pub ops: Option<SocketAddr>,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Maximum number of file descriptors.
    pub max_descriptors: usize,
    /// Maximum memory (bytes).
    pub max_memory: usize,
    /// Endpoint list used until discovery sends one.
    pub initial_list: Option<EndpointList>,
    /// The deployment's settings.
    pub deployment: DeploymentSettings,
    /// Hash of the deployment's settings, independent of key order.
    pub settings_digest: u64,
    /// Paths of all keys of the deployment's settings.
    settings_keys: BTreeSet<String>,
    /// Listen address for datagrams from other gateways, if gateways exchange any.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all gateways of the fleet, including this one, ordered by gateway number.
    pub peers: Vec<SocketAddr>,
    /// Configuration from the operator's file.
    pub operator: OperatorConfig,
}

/// The configuration file.
// `expecting` is part of the error message for a value of the wrong type, which operators see.
#[derive(Deserialize)]
#[serde(expecting = "struct File")]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    ops: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<EndpointList>,
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

/// Which source takes precedence if both the environment and the file set a value.
#[derive(Clone, Copy, PartialEq)]
enum Precedence {
    Environment,
    File,
}

impl Config {
    /// Reads environment variables through `var` and the file at `GW_CONFIG`. The environment takes
    /// precedence.
    ///
    /// # Errors
    ///
    /// Fails if the configuration file or the operator's file cannot be read or is invalid.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::load(var, Precedence::Environment)
    }

    /// Reads the configuration again while the gateway runs. The environment of a running process cannot be
    /// changed, so the file takes precedence for the discovery address, which may change.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or is invalid. Also fails if the settings lack a key that the current
    /// ones have: the missing key would silently get its default, so the file is treated as incomplete.
    pub fn reread(&self, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let config = Config::load(var, Precedence::File)?;
        if let Some(key) = self.settings_keys.difference(&config.settings_keys).next() {
            return Err(ConfigError::MissingKey(key.clone()));
        }
        config.deployment.settings()?.check()?;
        Ok(config)
    }

    /// This gateway's index in `peers`. If the peers reach each other at addresses other than their listen
    /// addresses, the gateway's number in the deployment's settings is its index.
    pub fn peer_index(&self) -> Option<usize> {
        let listed = self.peers.iter().position(|peer| Some(*peer) == self.peer_listen);
        listed.or(self.deployment.gateway_number().filter(|number| *number < self.peers.len()))
    }

    /// Returns the keys that differ in `new` and take effect only after a restart.
    pub fn keys_needing_restart(&self, new: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.ops != new.ops),
            ("limits", self.max_descriptors != new.max_descriptors || self.max_memory != new.max_memory),
            ("peers", self.peer_listen != new.peer_listen || self.peers != new.peers),
        ];
        changed.into_iter().filter(|(_, is_changed)| *is_changed).map(|(key, _)| key).collect()
    }

    /// Returns this configuration with the values of `new` that can be changed without a restart.
    pub fn with_reloadable_values_of(&self, new: Config) -> Config {
        Config {
            name: self.name.clone(),
            listen: self.listen,
            ops: self.ops,
            seed: self.seed,
            max_descriptors: self.max_descriptors,
            max_memory: self.max_memory,
            initial_list: None,
            peer_listen: self.peer_listen,
            peers: self.peers.clone(),
            ..new
        }
    }

    fn load(var: impl Fn(&str) -> Option<String>, precedence: Precedence) -> Result<Config, ConfigError> {
        let path = var("GW_CONFIG").ok_or(ConfigError::PathNotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        let operator = OperatorConfig::load(var("PETRELGAUGE_FILE").as_deref())?;
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
        let file: ConfigFile = serde_json::from_str(text)?;
        let sources = ConfigSources { var };
        let settings_keys = key_paths(&file.settings);
        let settings_digest = digest(&file.settings);
        let deployment = parse_settings(file.settings)?;
        let listen = sources.required("GW_LISTEN", file.listen, Precedence::Environment)?;
        let discovery = sources.required("GW_DISCOVERY", file.discovery, precedence)?;
        let ops = sources.optional("GW_OPS", file.ops);
        let peers = file.peers.into_iter().map(|text| parse_address("peers", text));
        Ok(Config {
            listen: parse_address("GW_LISTEN", listen)?,
            discovery: parse_address("GW_DISCOVERY", discovery)?,
            ops: ops.map(|text| parse_address("ops", text)).transpose()?,
            seed: parse_seed(file.seed)?,
            name: sources.required("GW_NAME", file.name, Precedence::Environment)?,
            max_descriptors: file.limits.sockets,
            max_memory: file.limits.memory_mb.saturating_mul(BYTES_PER_MEGABYTE),
            initial_list: file.known,
            deployment,
            settings_digest,
            settings_keys,
            peer_listen: file.peer_listen.map(|text| parse_address("peer_listen", text)).transpose()?,
            peers: peers.collect::<Result<_, _>>()?,
            operator: OperatorConfig::default(),
        })
    }
}

/// Looks up values that either the environment or the file can set.
struct ConfigSources<V> {
    var: V,
}

impl<V: Fn(&str) -> Option<String>> ConfigSources<V> {
    fn required(
        &self,
        variable: &'static str,
        in_file: Option<String>,
        precedence: Precedence,
    ) -> Result<String, ConfigFileError> {
        let value = match precedence {
            Precedence::Environment => self.optional(variable, in_file),
            Precedence::File => in_file.or_else(|| (self.var)(variable)),
        };
        value.ok_or(ConfigFileError::MissingValue(variable))
    }

    /// Returns the value from the environment, or else from the file.
    fn optional(&self, variable: &str, in_file: Option<String>) -> Option<String> {
        (self.var)(variable).or(in_file)
    }
}

fn parse_address(name: &'static str, text: String) -> Result<SocketAddr, ConfigFileError> {
    text.parse().map_err(|_| ConfigFileError::InvalidAddress { name, text })
}

fn parse_seed(text: String) -> Result<u64, ConfigFileError> {
    u64::from_str_radix(&text, 16).map_err(|_| ConfigFileError::InvalidSeed(text))
}

fn digest(settings: &Value) -> u64 {
    let mut hasher = DefaultHasher::new();
    settings.to_string().hash(&mut hasher);
    hasher.finish()
}

/// Parses the deployment's settings. Unknown keys are logged and ignored.
fn parse_settings(settings: Value) -> Result<DeploymentSettings, ConfigFileError> {
    let mut unknown_keys = Vec::new();
    let deployment = serde_ignored::deserialize(settings, |path| unknown_keys.push(path.to_string()))
        .map_err(ConfigFileError::InvalidSettings)?;
    for key in unknown_keys {
        log::info!("unknown setting ignored key={key}");
    }
    Ok(deployment)
}

/// Returns the paths of all keys of nested objects. Objects inside arrays are skipped, because which keys an
/// element requires depends on the element.
fn key_paths(settings: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    collect_key_paths("", settings, &mut paths);
    paths
}

fn collect_key_paths(parent: &str, value: &Value, paths: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        let path = if parent.is_empty() { key.clone() } else { format!("{parent}.{key}") };
        collect_key_paths(&path, value, paths);
        paths.insert(path);
    }
}
