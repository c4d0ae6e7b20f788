//! Handover between two processes of one gateway: the one that serves, and the one that is started to replace
//! it.
//!
//! Each process publishes a record of what it uses and has learned, reads the records of its siblings, and
//! uses at most what they leave of the gateway's limits. The decisions that follow from a record are made in
//! `petrelgauge_handover`.
//!
//! | file | responsibility |
//! | --- | --- |
//! | `heartbeat_task` | runs heartbeats for as long as the gateway runs, and enforces the limit |
//! | `exchange`, `exchange_state` | the state of this process's record and of its siblings |
//! | `heartbeat` | the blocking part of a heartbeat |
//! | `record_store` | records as files |
//! | `record_directory` | the directory of those files, behind a trait |
//!
//! Owns this process's files in the directory and the state of its siblings. A heartbeat may block or fail
//! without affecting clients: [`Heartbeat::run`] runs on a blocking thread, and [`HandoverExchange::limit`]
//! never waits for it.
//!
//! May import: `discovery` (only the host names), `facade`, `os`, `resources`.

mod exchange;
mod exchange_state;
mod heartbeat;
mod heartbeat_task;
pub mod record_directory;
pub mod record_store;

pub use exchange::{ExchangeOptions, HandoverExchange, InheritedRecord};
pub use heartbeat::{Heartbeat, HeartbeatResult, RecordContent};
pub use heartbeat_task::HeartbeatTask;
