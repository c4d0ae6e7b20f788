//! The gateway on sockets: PostgreSQL clients in front, database hosts behind, discovery beside.
//! Nothing here decides anything; every decision comes from the [facade](crate::facade).

pub mod accept_loop;
pub mod attempt;
pub mod budget;
pub mod cancel;
pub mod clock;
pub mod config;
pub mod control;
pub mod counters;
pub mod discovery;
pub mod endpoint_list;
pub use petrelgauge_lifecycle::ending;
mod client_reader;
mod client_request;
mod client_session;
pub mod duties;
pub mod flow;
pub mod front;
pub mod handover;
pub mod host_names;
pub mod hosts;
pub mod inherited;
mod leaders;
pub mod lines;
mod link;
pub mod ops;
pub mod peers;
pub mod pg;
pub mod read_buffer;
pub mod set;
pub mod share_out;
pub mod signals;
pub mod socket;
pub mod source;
pub mod statement;
