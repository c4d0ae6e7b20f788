//! Client connections: accepting them, reading their messages, admitting their requests and writing the answers.
//!
//! A connection is one task that owns its session (`session.rs`); what sessions share is the [`context`]. Nothing here decides
//! where a request goes: it is admitted to the [facade](crate::facade), and each attempt is made by [`crate::host`].
//!
//! May import: `facade`, `host`, `sql`, `postgres`, `resources`, `os`.

pub mod accept_loop;
mod acceptor;
pub mod cancel_registry;
pub mod context;
mod reader;
mod request;
mod request_parser;
mod session;
