//! Handover between two processes of one gateway: the one that serves, and the one that is started to take
//! its place.
//!
//! Each process publishes a record of what it uses and has learned, reads the records of its siblings, and
//! keeps to what they leave of the gateway's limits. What follows from a record is decided in
//! `petrelgauge_handover`.
//!
//! | file | job |
//! | --- | --- |
//! | `heartbeat_task` | makes heartbeats for as long as the gateway runs, and enforces the limit |
//! | `exchange`, `exchange_state` | the state of this process's record and of its siblings |
//! | `heartbeat` | the blocking part of a heartbeat |
//! | `record_store` | records as files |
//! | `record_directory` | the directory of those files, behind a trait |
//!
//! Owns this process's files in the directory and what is known of its siblings. A heartbeat may block or
//! fail without effect on the clients that are served: [`Heartbeat::run`] runs on a thread of its own, and
//! [`HandoverExchange::limit`] can be called at any time.
//!
//! May import: `discovery` (the host names alone), `facade`, `os`, `resources`.

mod exchange;
mod exchange_state;
mod heartbeat;
mod heartbeat_task;
pub mod record_directory;
pub mod record_store;

pub use exchange::{ExchangeOptions, HandoverExchange, InheritedRecord};
pub use heartbeat::{Heartbeat, HeartbeatResult, RecordContent};
pub use heartbeat_task::HeartbeatTask;
