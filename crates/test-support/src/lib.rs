//! A test harness for one gateway: the program itself, and the scripted peers it talks to.

#![allow(missing_docs)]

mod discovery;
mod gateway;
mod harness;
mod host;
mod messages;
mod network;
mod program;
mod reply;
mod scripted_discovery;
mod settings;
mod time;

pub use discovery::list;
pub use gateway::{Client, Gateway};
pub use harness::{gateway_with_primary, Harness};
pub use host::Host;
pub use messages::{
    error, field, insert, kinds, message, parameter_status, query, read_message, ready_for_query, row,
    select, startup,
};
pub use network::{LoopbackNetwork, ReservedPort};
pub use program::GatewayProgram;
pub use reply::Reply;
pub use scripted_discovery::{chunk, ScriptedDiscovery, Step, HEAD};
pub use settings::{replace_parts, with_long_connect_timeout, with_unchecked_reads, ReadClass};
pub use time::unix_ms;
