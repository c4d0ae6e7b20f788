//! The control plane of a gateway: it builds the routing decisions, the discovery watch, the host pool and
//! the gateway's part in the fleet from one [`Config`](config::Config), runs their background tasks and
//! applies reloaded configurations. It serves no client; the program puts [`client`](crate::client) in front
//! of it, and the laboratory runs many control planes in one process with emulated demand.
//!
//! | file | job |
//! | --- | --- |
//! | `config` | reads the environment and the configuration file |
//! | `effective_settings`, `session_tracking`, `decisions` | derive the decisions from a configuration |
//! | `leadership` | builds the gateway's part in the fleet's leadership roles |
//! | `dependencies` | what the process provides: clock, limits, counters |
//! | `control_plane` | connects all of these and starts their tasks; `tasks` has the periodic ones |
//! | `reload` | applies a configuration that was read again |
//! | `ops` | accepts operators' commands |
//! | `error` | why a start or a reload fails |
//!
//! Owns no state of its own beyond handles to the parts. The configuration in force belongs to the caller,
//! because the program and the laboratory read it from different places.
//!
//! May import: `discovery`, `facade`, `fleet`, `host`, `os`, `postgres`, `resources`, `settings`. Must not
//! import `client` or `handover`: a control plane has to run without either.

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
