//! Client connections: accepting them, reading their messages, admitting their requests and writing the
//! answers.
//!
//! | file | concern |
//! | --- | --- |
//! | [`accept_loop`] | the loop that accepts clients until the gateway stops |
//! | `acceptor` | a session for each accepted client |
//! | `session` | one client's connection: drives its state machine from input, timers and gateway state |
//! | `reader` | the messages of one client, with bounded read-ahead |
//! | `message_queue` | the messages that a client has sent and that are not handled yet, and their memory |
//! | `settings_tracker` | under which settings each message of one client was received |
//! | `disconnect` | whether a client has closed its connection |
//! | `client_event` | events on a client's connection |
//! | `query` | a query: a request, or a statement that the gateway answers itself |
//! | `request_parser` | parsing and validation of a request before its admission |
//! | `request` | a request, from its admission to its one final answer |
//! | `answer` | the final answer on the wire |
//! | [`cancel_registry`] | keys of cancel requests |
//! | [`context`] | state shared by all sessions |
//!
//! Each connection is served by one task that owns its session. It has at most one open request and reads
//! ahead while that is open. Routing is not decided here: requests are admitted to the
//! [facade](crate::facade), and attempts are made by [`crate::host`]. [`petrelgauge_lifecycle::client`] and
//! [`petrelgauge_lifecycle::read_ahead`] decide when a connection is read, paused or closed.
//!
//! This module owns the clients' sockets, the data read from them, and the ids and cancel keys of open
//! requests.
//!
//! May import: `facade`, `host`, `sql`, `postgres`, `resources`, `os`.

pub mod accept_loop;
mod acceptor;
mod answer;
pub mod cancel_registry;
mod client_event;
pub mod context;
mod disconnect;
mod message_queue;
mod query;
mod reader;
mod request;
mod request_parser;
mod session;
mod settings_tracker;
