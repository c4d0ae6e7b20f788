//! The control part of a gateway: its watch of discovery, its table of hosts, its decisions, and what gateways tell each
//! other. It serves no client by itself. The program builds one and puts a front before it; the laboratory builds many
//! in one process and gives each of them demand that nobody sent.

pub mod config;
mod control_plane;
mod decisions;
mod effective_settings;
mod error;
mod leadership;
pub mod ops;
mod reload;
mod session_tracking;
mod tasks;

pub use control_plane::{Control, Environment};
pub use decisions::Decisions;
pub use error::ControlError;
pub use reload::reload;
