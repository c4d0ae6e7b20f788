//! The gateway process: startup, event loop, shutdown.
//!
//! | file | job |
//! | --- | --- |
//! | `startup` | builds the parts of the gateway, opens its sockets and starts its tasks |
//! | `gateway` | the event loop: signals, operators' commands, lifecycle |
//! | `error` | the errors that end the program, or reject a reload |
//!
//! Owns the configuration in force and the lifecycle's state. Part of the program, not of the library; may
//! import every folder of the library. No folder imports it.

pub mod error;
pub mod gateway;
pub mod startup;
