//! What the tests of the gateway and the laboratory share: hosts, discovery, clients and gateway processes on loopback.
//!
//! | file | what it offers |
//! | --- | --- |
//! | `harness.rs`, `gateway.rs`, `client.rs` | one gateway as a test sets it up, reads its log and talks to it, byte by byte |
//! | `host.rs`, `reply.rs`, `scripted_discovery.rs` | a database host and a discovery service that follow scripts |
//! | `gateway_process.rs`, `connection.rs`, `host_connection.rs` | gateways, clients and hosts that run as tasks, for fleets |
//! | `list_service.rs`, `endpoint_list.rs` | the list service of fleets, its faults and its wire form |
//! | `messages.rs`, `settings.rs` | PostgreSQL messages and statements; settings of a gateway |
//! | `network.rs` | loopback networks and ports that no other test has |
//! | `program.rs`, `child_process.rs`, `temporary_folder.rs`, `local_runtime.rs`, `time.rs` | programs, folders, the runtime, time limits |
//!
//! What belongs to one experiment or to the fault soak stays there: what hosts answer, what clients ask, schedules, rules.
//! Everything here panics where the machine refuses what a test needs, unless it returns an error.

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
