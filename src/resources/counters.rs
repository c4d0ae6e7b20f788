//! The counters of the gateway, logged at exit and on SIGUSR1. The field names are logged, so they are part
//! of the operators' interface.

use petrelgauge_lifecycle::ending::End;
use std::cell::Cell;

macro_rules! counters {
    ($($(#[$text:meta])* $name:ident,)*) => {
        /// Counters since the start.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$text])* pub $name: Counter,)*
            /// Indexed by [`End`].
            ends: [Counter; End::ALL.len()],
        }

        impl std::fmt::Display for Counters {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                $(write!(f, concat!(stringify!($name), "={} "), self.$name.get())?;)*
                write!(f, "ends:")?;
                for (end, count) in End::ALL.iter().zip(&self.ends).filter(|(_, count)| count.get() > 0) {
                    write!(f, " {end:?}={}", count.get())?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    clients,
    /// Requests received.
    requests,
    /// Requests served.
    served,
    /// Requests rejected.
    rejected,
    /// Requests that failed for another reason.
    failed,
    /// Requests cancelled by their client.
    cancelled,
    /// Requests whose client disconnected before the answer.
    left,
    /// Times that reading from a client was paused because it reached a limit.
    read_pauses,
    /// Statements rejected as malformed.
    bad_statements,
    /// Load reports with invalid values.
    bad_reports,
    /// Attempts that the router decided to send.
    attempts,
    /// Attempts written completely to a database host.
    sent,
    /// Connections opened to database hosts.
    host_connects,
    /// Endpoint lists applied.
    lists,
    /// Endpoint lists and discovery responses rejected.
    bad_lists,
    /// Configurations reloaded.
    reloads,
    /// Configurations rejected at a reload.
    bad_configs,
    /// Discovery watches opened.
    watches,
    /// Idle connections closed to free a descriptor.
    descriptors_freed,
    /// Datagrams sent to other gateways.
    datagrams_sent,
    /// Bytes of the datagrams sent.
    datagram_bytes_sent,
    /// Datagrams received from other gateways.
    datagrams_received,
    /// Bytes of the datagrams received.
    datagram_bytes_received,
    /// Bytes received from the discovery watch.
    list_bytes,
    /// Announcements of primaries that are on the endpoint list.
    primary_announcements,
    /// Datagrams about leadership roles that were rejected.
    bad_leadership_datagrams,
    /// Connections accepted at the operators' address.
    calls,
    /// Connections at the operators' address whose command was denied.
    calls_denied,
}

/// A counter that only increases.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Adds `count`.
    pub fn add_many(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// A number that rises and falls, such as that of open sessions.
#[derive(Default)]
pub struct Gauge(Cell<usize>);

impl Gauge {
    /// Adds one until the guard is dropped, which also happens if the task panics.
    pub fn enter(&self) -> GaugeGuard<'_> {
        self.0.set(self.0.get() + 1);
        GaugeGuard(self)
    }

    /// Returns the current number.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// Adds one to a [`Gauge`] until it is dropped.
pub struct GaugeGuard<'a>(&'a Gauge);

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        let Gauge(count) = self.0;
        count.set(count.get() - 1);
    }
}

impl Counters {
    /// Counts the end of a connection or an attempt.
    pub fn ended(&self, end: End) {
        // An end that is missing from `End::ALL` must not crash the gateway.
        if let Some(count) = self.ends.get(end as usize) {
            count.add();
        }
    }
}
