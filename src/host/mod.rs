//! Database hosts: the pool of connections to them, attempts of requests on these connections, and the load reports that
//! come with the answers.
//!
//! Owns every socket to a host. May import: `facade`, `sql`, `postgres`, `resources`, `settings`, `os`.

pub mod attempt;
mod attempt_io;
mod connection;
mod load_report;
pub mod pool;
pub mod streamed_row;
