//! What a gateway is told at its start: the environment and the JSON file it names.

use crate::net::discovery::List;
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
    /// The list of hosts as this gateway last had it.
    pub known: Option<List>,
    /// The settings.
    pub info: Info,
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
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default = "usual_sockets")]
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: usual_sockets() }
    }
}

fn usual_sockets() -> usize {
    1024
}

impl Config {
    /// Reads the environment through `var` and the file that `GW_CONFIG` names. What the environment sets
    /// goes before the file. The cause of a failure is one plain sentence.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let path = var("GW_CONFIG").ok_or("GW_CONFIG is not set: it names the configuration file")?;
        let text = std::fs::read_to_string(&path).map_err(|cause| format!("cannot read {path}: {cause}"))?;
        Config::parse(&text, var).map_err(|cause| format!("{path}: {cause}"))
    }

    /// As [`Config::read`], from the file's text.
    pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|cause| cause.to_string())?;
        let either = |name: &str, value: Option<String>| {
            var(name).or(value).ok_or(format!("neither {name} nor the file says it"))
        };
        let address = |name: &str, value: Option<String>| -> Result<SocketAddr, String> {
            let text = either(name, value)?;
            text.parse().map_err(|_| format!("{name}: {text:?} is not an address with a port"))
        };
        Ok(Config {
            listen: address("GW_LISTEN", file.listen)?,
            discovery: address("GW_DISCOVERY", file.discovery)?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("seed: {:?} is not a hexadecimal number", file.seed))?,
            name: either("GW_NAME", file.name)?,
            sockets: file.limits.sockets,
            known: file.known,
            info: file.settings,
        })
    }
}
