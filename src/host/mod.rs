//! Database hosts: connections to them, and attempts to have requests served on these connections.
//!
//! | file | concern |
//! | --- | --- |
//! | [`pool`] | the listed hosts and the idle connections to them; new connections |
//! | `connection` | one connection: its messages and the state of its socket |
//! | `descriptors` | closing idle clients and connections when descriptors run out |
//! | [`attempt`] | one attempt, from taking a connection to the report |
//! | `attempt_io` | connecting, reading and writing for an attempt |
//! | [`streamed_row`] | a long row, passed on to its client piece by piece |
//! | `load_report` | what a host reports about itself with an answer |
//!
//! An attempt is a task of its own: it takes an idle connection or makes one, writes the query, reads the
//! answer, returns the connection to the pool or closes it, and then reports to the [facade](crate::facade).
//! What follows from an event is decided by [`petrelgauge_lifecycle::exchange`], which connection is reused
//! by [`petrelgauge_lifecycle::idle_connection`].
//!
//! The folder owns every socket to a host. The pool has no bound of its own: connections are bounded by the
//! descriptors ([`crate::resources::budget`]).
//!
//! May import: `facade`, `sql`, `postgres`, `resources`, `settings`, `os`.

pub mod attempt;
mod attempt_io;
mod connection;
mod descriptors;
mod load_report;
pub mod pool;
pub mod streamed_row;
