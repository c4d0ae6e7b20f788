//! State machines of requests, attempts, connections, clients and the gateway itself.
//!
//! Each machine is stepped with events and the current time. The machines do no I/O and have no clock. They
//! make all decisions; the network code reads, writes, closes and waits accordingly.
//!
//! | module | subject | states |
//! | --- | --- | --- |
//! | `request_table/` | requests and their attempts | open, ended; in flight, reported |
//! | `read_ahead.rs` | messages read ahead of the query that is being answered | reading, paused |
//! | `received_settings.rs` | under which settings a message was received, when it waits while they change | |
//! | `client.rs` | a client's connection | opening, idle, awaiting an answer, pausing, cut off, ended |
//! | `request.rs` | a client's request in its session | waiting, attempt in flight, ended |
//! | `exchange.rs` | an attempt on a connection | connecting, greeting, writing, waiting, answering, ended |
//! | `request_ids.rs` | the ids that clients chose for their requests | open, used |
//! | `class_table.rs` | the request classes, when settings change while requests are open | |
//! | `idle_connection.rs` | a connection to a host between two requests | idle, in use, ended |
//! | `connect_timeout.rs` | the timeout for establishing a connection | |
//! | `gateway.rs` | the gateway | serving, drain announced, drained, stop announced, closing, ended |
//! | `ops.rs` | operators' commands and their replies | |
//! | `verdict.rs` | how an attempt ended according to the host's answer | |
//! | `watch.rs` | which revision of the endpoint list is known, and whether the complete list is needed | |
//! | `backoff.rs` | the pause before the watch of the endpoint list is retried | |
//! | `ending.rs` | all ways in which a connection or an attempt can end | |
//!
//! **Invariants**, each checked by the exhaustive models of `petrelgauge-models`: an attempt is reported
//! once, after its connection has been closed or returned to the pool; a request ends once; a rejection never
//! replaces an answer of a host; a connection with unread bytes is not reused; a request that may have run is
//! never reported as one that did not.
//!
//! **Bounds.** The request table holds the requests that clients may have open and an entry for each attempt
//! until its report; the ids of requests have a bound of their own. The other machines are of fixed size.
//!
//! ```
//! use petrelgauge_lifecycle::exchange::{ConnectionDisposition, Event, Exchange};
//! use petrelgauge_lifecycle::ending::End;
//!
//! // On a reused connection the request is written, and the host does not answer.
//! let mut attempt = Exchange::reusing(0, 500_000);
//! attempt.on(1_000, Event::Written);
//! assert!(attempt.may_have_run());
//! attempt.on(500_000, Event::Timeout);
//! // The connection has to be closed before the end of the attempt is reported.
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
pub mod received_settings;
pub mod request;
pub mod request_ids;
pub mod request_table;
pub mod verdict;
pub mod watch;
