//! Connections to the database hosts, and the attempts that are made on them.
//!
//! | file | concern |
//! | --- | --- |
//! | [`pool`] | the listed hosts and the idle connections to them; new connections |
//! | `connection` | one connection: its messages and the state of its socket |
//! | `descriptors` | closing idle clients and connections when descriptors run out |
//! | [`attempt`] | one attempt, from acquiring a connection to reporting the outcome |
//! | `attempt_io` | connecting, reading and writing for an attempt |
//! | [`forwarded_statement`] | a statement and the memory that it holds |
//! | [`streamed_row`] | a long row, streamed to its client in chunks |
//! | `load_report` | what a host reports about itself with an answer |
//!
//! Each attempt runs in its own task: it takes an idle connection or opens one, writes the query, reads the
//! answer, returns the connection to the pool or closes it, and then reports to the [facade](crate::facade).
//! State transitions are in [`petrelgauge_lifecycle::exchange`], the policy for reusing idle connections in
//! [`petrelgauge_lifecycle::idle_connection`].
//!
//! This module owns all sockets to hosts. The pool has no limit of its own: the number of connections is
//! limited by the descriptor budget ([`crate::resources::budget`]).
//!
//! May import: `facade`, `sql`, `postgres`, `resources`, `settings`, `os`.

pub mod attempt;
mod attempt_io;
mod connection;
mod descriptors;
pub mod forwarded_statement;
mod load_report;
pub mod pool;
pub mod streamed_row;
