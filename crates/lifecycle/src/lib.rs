//! The life of requests, attempts and connections, as state machines that are told what happens and the time. They do
//! no I/O and have no clock; the network code reads, writes, closes and waits as they say, and decides nothing.
//!
//! | file | whose life | states |
//! | --- | --- | --- |
//! | `request_table/` | requests and attempts before the decision module | open, ended; out, reported |
//! | `read_ahead.rs` | what is read of a client ahead of the query that is being answered | reading, paused |
//! | `client.rs` | a client's connection | opening, idle, asking, pausing, cut off, ended |
//! | `request.rs` | a client's request at the front | waiting, out, ended |
//! | `exchange.rs` | an attempt on a connection | connecting, greeting, writing, waiting, answering, ended |
//! | `rules.rs` | the classes, while settings change under open requests | |
//! | `idle_connection.rs` | a connection between requests | idle, in use, ended |
//! | `connect_timeout.rs` | how long a connection may take to come up | |
//! | `gateway.rs` | the gateway | serving, turning, empty, last clients, closing, ended |
//! | `ops.rs` | operators' commands and their replies | |
//! | `verdict.rs` | what a host's answer says of an attempt | |
//! | `watch.rs` | what is held of discovery's list, and what is still owed by it | |
//! | `ending.rs` | every way in which a connection or an attempt can end | |
//!
//! **Promises**, each checked by the exhaustive models of `petrelgauge-models`: an attempt is reported once, after its
//! connection has been put away; a request has one end; a refusal never overtakes an answer; a connection with unread
//! bytes is not used again; a request that may have run is never told as one that did not.
//!
//! **Bounds.** The desk holds what clients may hold open and an entry for each attempt until its report. The other
//! machines are of fixed size.
//!
//! ```
//! use petrelgauge_lifecycle::exchange::{ConnectionDisposition, Event, Exchange};
//! use petrelgauge_lifecycle::ending::End;
//!
//! // On a reused connection: written, and then the host goes silent.
//! let mut attempt = Exchange::new(true, 0, 0, 500_000);
//! attempt.on(1_000, Event::Written);
//! assert!(attempt.may_have_run());
//! attempt.on(500_000, Event::Due);
//! // The connection is closed first; only then is the end known to the caller.
//! let (disposition, finished) = attempt.finish(false).expect("it has ended");
//! assert_eq!((disposition, finished.end), (ConnectionDisposition::Close, End::NoAnswer));
//! ```

pub mod backoff;
pub mod class_table;
pub mod client;
pub mod connect_timeout;
pub mod ending;
pub mod exchange;
pub mod gateway;
pub mod idle_connection;
pub mod ops;
pub mod read_ahead;
pub mod request;
pub mod request_table;
pub mod verdict;
pub mod watch;
