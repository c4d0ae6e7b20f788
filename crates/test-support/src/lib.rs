//! Test support for the gateway's tests and the laboratory: hosts, discovery services, clients and gateway
//! processes on loopback addresses.
//!
//! | module | contents |
//! | --- | --- |
//! | `harness.rs`, `gateway.rs`, `client.rs` | one gateway under test and its blocking clients |
//! | `host.rs`, `reply.rs`, `scripted_discovery.rs` | a scripted host and a scripted discovery service |
//! | `gateway_process.rs`, `connection.rs`, `host_connection.rs` | processes and connections for fleets |
//! | `list_service.rs`, `endpoint_list.rs` | an emulated list service with faults, and the list format |
//! | `messages.rs`, `settings.rs` | PostgreSQL messages and statements; deployment settings |
//! | `network.rs` | loopback networks and ports reserved for one test |
//! | `program.rs`, `child_process.rs` | the gateway's program and child processes |
//! | `temporary_folder.rs`, `local_runtime.rs`, `time.rs` | folders, the async runtime, time limits |
//!
//! Code that belongs to one experiment or to the fault soak stays there: the hosts' answers, the clients'
//! requests, schedules and rules. Functions that do not return an error panic if the system refuses a
//! resource that they need.

mod child_process;
mod client;
mod connection;
mod endpoint_list;
mod gateway;
mod gateway_process;
mod harness;
mod host;
mod host_connection;
mod list_service;
mod local_runtime;
mod messages;
mod network;
mod program;
mod reply;
mod scripted_discovery;
mod settings;
mod temporary_folder;
mod time;

pub use child_process::ChildProcess;
pub use client::Client;
pub use connection::{Connection, ConnectionEnd, Message};
pub use endpoint_list::{
    chunk, line_chunk, list_line, read_request_head, Endpoint, LAST_CHUNK, RESPONSE_HEAD,
};
pub use gateway::Gateway;
pub use gateway_process::{GatewayFiles, GatewayProcess};
pub use harness::{gateway_with_primary, Harness};
pub use host::Host;
pub use host_connection::HostConnection;
pub use list_service::{FirstUpdate, ListService, ServiceState};
pub use local_runtime::block_on;
pub use messages::{
    error, field, insert, kinds, message, parameter_status, query, read_message, ready_for_query, row,
    select, startup,
};
pub use network::{LoopbackNetwork, ReservedPort};
pub use program::GatewayProgram;
pub use reply::Reply;
pub use scripted_discovery::{ScriptedDiscovery, Step};
pub use settings::{
    replace_parts, with_long_connect_timeout, with_unchecked_reads, ClassSettings, DeploymentSettings,
    ReadClass, SlowStart, MAX_ATTEMPTS,
};
pub use temporary_folder::TemporaryFolder;
pub use time::unix_ms;
