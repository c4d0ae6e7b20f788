//! The gateway process: startup, event loop and shutdown.
//!
//! | file | job |
//! | --- | --- |
//! | `startup` | builds the gateway's components, opens its sockets and starts its tasks |
//! | `gateway` | the event loop: signals, operators' commands, lifecycle |
//! | `error` | the errors that end the program or reject a reload |
//!
//! Owns the active configuration and the lifecycle state. It is part of the program, not of the library: it
//! may import every folder of the library, and none of them imports it.

pub mod error;
pub mod gateway;
pub mod startup;
