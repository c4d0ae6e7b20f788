//! The JSON form of a deployment's settings. Fields are named after the platform's keys; the `DEFAULT_`
//! constants apply where a key is missing.

use crate::Time;
use serde::Deserialize;

const DEFAULT_CONNECTION_IDLE: Time = 30_000_000;
const DEFAULT_CONNECT_TIMEOUT: Time = 250_000;

/// A deployment's settings as operators write them. Unknown keys are ignored.
// `expecting` is part of the error message that operators see for a value of another type.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Info")]
pub struct DeploymentSettings {
    /// Number of gateways that share the hosts.
    pub(super) balancers: u32,
    pub(super) bounds: Bounds,
    pub(super) classes: Vec<WireClass>,
    pub(super) family_info: Family,
    pub(super) granularity_us: Time,
    #[serde(default)]
    pub(super) membership_mode: String,
    #[serde(default)]
    pub(super) my_number: Option<usize>,
    pub(super) obligations: Obligations,
    #[serde(default)]
    pub(super) penalties: Penalties,
    #[serde(default)]
    pub(super) reporting: Reporting,
    #[serde(default)]
    pub(super) zone: String,
}

/// Limits and optional features of a gateway.
#[derive(Debug, Deserialize)]
pub(super) struct Bounds {
    pub(super) attempts_cap: u32,
    #[serde(default = "unlimited")]
    pub(super) max_open: u32,
    #[serde(default)]
    pub(super) cancel: bool,
    #[serde(default = "default_connection_idle")]
    pub(super) conn_idle_us: Time,
    #[serde(default = "default_connect_timeout")]
    pub(super) connect_timeout_us: Time,
    /// Whether hedged requests are allowed.
    #[serde(default)]
    pub(super) second_copies: bool,
    /// Whether health checks are allowed.
    #[serde(default)]
    pub(super) probes: bool,
    #[serde(default)]
    pub(super) retry_after: bool,
    #[serde(default)]
    pub(super) max_retry_after_us: Time,
}

fn unlimited() -> u32 {
    u32::MAX
}

fn default_connection_idle() -> Time {
    DEFAULT_CONNECTION_IDLE
}

fn default_connect_timeout() -> Time {
    DEFAULT_CONNECT_TIMEOUT
}

/// A class of requests.
#[derive(Debug, Deserialize)]
pub(super) struct WireClass {
    pub(super) name: String,
    /// Latency target.
    pub(super) aim_us: Time,
    pub(super) deadline_us: Time,
    /// Scope of its idempotency keys.
    #[serde(default)]
    pub(super) group: String,
    pub(super) idempotency: String,
    /// Time for which hosts remember its idempotency keys (microseconds).
    pub(super) window_us: Option<Time>,
    #[serde(default)]
    pub(super) late_share: f64,
    /// Priority weight.
    pub(super) points: f64,
}

/// The replication of the hosts' data, and the consistency of reads.
#[derive(Debug, Deserialize)]
pub(super) struct Family {
    /// By the index of the class.
    pub(super) read_level: Vec<String>,
    /// By the index of the class.
    #[serde(default)]
    pub(super) staleness_bound_us: Vec<Time>,
    #[serde(default)]
    pub(super) catch_up_wait_us: Time,
    #[serde(default)]
    pub(super) origin_time_us: Time,
    #[serde(default)]
    pub(super) session_marks: String,
    #[serde(default)]
    pub(super) shows_role: String,
    #[serde(default = "enabled")]
    pub(super) stamps: bool,
    #[serde(default)]
    pub(super) when_behind: String,
}

fn enabled() -> bool {
    true
}

/// Rules that a gateway must follow towards hosts and clients.
#[derive(Debug, Deserialize)]
pub(super) struct Obligations {
    pub(super) answer_slack_us: Time,
    #[serde(default)]
    pub(super) ask_every_us: Time,
    pub(super) cold_from: f64,
    pub(super) cold_us: Time,
    pub(super) drain_grace_us: Time,
    pub(super) fall_us: Time,
    pub(super) overload_factor: f64,
    #[serde(default)]
    pub(super) soft_removal: bool,
}

/// Costs of routing choices per request, as shares of the value of all requests.
#[derive(Debug, Default, Deserialize)]
pub(super) struct Penalties {
    #[serde(default)]
    pub(super) cross_zone: f64,
    #[serde(default)]
    pub(super) probe: f64,
}

/// The contents of the hosts' load reports.
#[derive(Debug, Default, Deserialize)]
pub(super) struct Reporting {
    #[serde(default)]
    pub(super) names: Vec<String>,
}
