//! The control plane of a gateway: it builds the routing decisions, the discovery watch, the host pool and
//! the gateway's participation in the fleet from one [`Config`](config::Config), runs their background tasks
//! and applies reloaded configurations. It does not serve clients: in the gateway process,
//! [`client`](crate::client) does, and the laboratory runs many control planes in one process with simulated
//! client load.
//!
//! | module | purpose |
//! | --- | --- |
//! | `config` | reads the environment and the configuration file |
//! | `effective_settings`, `session_tracking`, `decisions` | derive the decisions from a configuration |
//! | `leadership` | builds the gateway's participation in the fleet's leadership roles |
//! | `dependencies` | resources that the process provides: clock, limits, counters |
//! | `control_plane` | connects these components and starts their tasks; `tasks` has the periodic ones |
//! | `reload` | applies a reloaded configuration |
//! | `ops` | accepts operators' commands |
//! | `error` | error type of startup and reload |
//!
//! Owns no state except handles to these components. The current configuration belongs to the caller,
//! because the gateway process and the laboratory read it from different sources.
//!
//! May import: `discovery`, `facade`, `fleet`, `host`, `os`, `postgres`, `resources`, `settings`. Must not
//! import `client` or `handover`: a control plane must be able to run without them.

pub mod config;
mod control_plane;
mod decisions;
mod dependencies;
mod effective_settings;
mod error;
mod leadership;
pub mod ops;
mod reload;
mod session_tracking;
mod tasks;

pub use control_plane::ControlPlane;
pub use decisions::RoutingDecisions;
pub use dependencies::Dependencies;
pub use error::ControlError;
pub use reload::Reloaded;
