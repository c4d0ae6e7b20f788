//! A test harness for one gateway: the program itself, and the scripted peers it talks to.

#![allow(missing_docs)]

mod child_process;
mod connection;
mod discovery;
mod endpoint_list;
mod gateway;
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
pub use connection::{Connection, ConnectionEnd, Message};
pub use endpoint_list::{
    chunk, line_chunk, list_line, read_request_head, Endpoint, LAST_CHUNK, RESPONSE_HEAD,
};
pub use gateway::{Client, Gateway};
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
pub use settings::{replace_parts, with_long_connect_timeout, with_unchecked_reads, ReadClass};
pub use temporary_folder::TemporaryFolder;
pub use time::unix_ms;
