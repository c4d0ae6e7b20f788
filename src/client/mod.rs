//! Client connections: accepting them, reading their messages, admitting their requests and writing the
//! answers.
//!
//! | file | concern |
//! | --- | --- |
//! | [`accept_loop`] | the loop that accepts clients until the gateway stops |
//! | `acceptor` | a session for each accepted client |
//! | `session` | the connection of one client: its state machine, driven by input, timers and the gateway's state |
//! | `reader` | the messages of one client, read ahead within bounds |
//! | `client_event` | what a client sent |
//! | `query` | a query: a request, or a statement that the gateway answers by itself |
//! | `request_parser` | what a request has to satisfy to be admitted |
//! | `request` | a request, from its admission to its one final answer |
//! | `answer` | the final answer on the wire |
//! | [`cancel_registry`] | keys of cancel requests |
//! | [`context`] | what all sessions share |
//!
//! Each connection is one task that owns its session. It has at most one open request, and reads ahead while
//! that is open. Nothing here decides where a request goes: it is admitted to the [facade](crate::facade),
//! and each attempt is made by [`crate::host`]. When a connection is read, paused or closed is decided by
//! [`petrelgauge_lifecycle::client`] and [`petrelgauge_lifecycle::read_ahead`].
//!
//! The folder owns the clients' sockets, what was read from them, the ids and cancel keys of open requests.
//!
//! May import: `facade`, `host`, `sql`, `postgres`, `resources`, `os`.

pub mod accept_loop;
mod acceptor;
mod answer;
pub mod cancel_registry;
mod client_event;
pub mod context;
mod query;
mod reader;
mod request;
mod request_parser;
mod session;
