//! State machines of requests, attempts, connections, clients and the gateway itself.
//!
//! Each machine is stepped with events and the current time. The machines do no I/O and have no clock: the
//! network code reads, writes, closes and waits as they say, and decides nothing.
//!
//! | module | what it describes | states |
//! | --- | --- | --- |
//! | `request_table/` | requests and attempts between client sessions and the router | open, ended; in flight, reported |
//! | `read_ahead.rs` | what is read from a client ahead of the query that is being answered | reading, paused |
//! | `client.rs` | a client's connection | opening, idle, awaiting an answer, pausing, cut off, ended |
//! | `request.rs` | a client's request, seen from its session | waiting, attempt in flight, ended |
//! | `exchange.rs` | an attempt on a connection | connecting, greeting, writing, waiting, answering, ended |
//! | `class_table.rs` | the request classes, while settings change under open requests | |
//! | `idle_connection.rs` | a connection to a host between two requests | idle, in use, ended |
//! | `connect_timeout.rs` | how long a connection may take to be established | |
//! | `gateway.rs` | the gateway | serving, drain announced, drained, stop announced, closing, ended |
//! | `ops.rs` | operators' commands and their replies | |
//! | `verdict.rs` | what a host's answer says about an attempt | |
//! | `watch.rs` | which revision of the endpoint list is known, and whether the complete list is needed | |
//! | `backoff.rs` | the pause before the watch of the endpoint list is retried | |
//! | `ending.rs` | every way in which a connection or an attempt can end | |
//!
//! **Promises**, each checked by the exhaustive models of `petrelgauge-models`: an attempt is reported once,
//! after its connection has been closed or returned to the pool; a request ends once; a rejection never
//! replaces an answer that a host has given; a connection with unread bytes is not used again; a request that
//! may have run is never reported as one that did not.
//!
//! **Bounds.** The request table holds the requests that clients may have open and an entry for each attempt
//! until its report. The other machines are of fixed size.
//!
//! ```
//! use petrelgauge_lifecycle::exchange::{ConnectionDisposition, Event, Exchange};
//! use petrelgauge_lifecycle::ending::End;
//!
//! // On a reused connection: the request is written, and then the host stays silent.
//! let mut attempt = Exchange::reusing(0, 500_000);
//! attempt.on(1_000, Event::Written);
//! assert!(attempt.may_have_run());
//! attempt.on(500_000, Event::Timeout);
//! // The connection is closed first; only then does the caller learn how the attempt ended.
//! let finished = attempt.finish(false).expect("it has ended");
//! assert_eq!((finished.disposition, finished.end), (ConnectionDisposition::Close, End::NoAnswer));
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
