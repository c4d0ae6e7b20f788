//! The counters of the gateway, logged at exit and on SIGUSR1. The names of the fields are an interface to
//! operators.

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
    /// Requests that failed in another way.
    failed,
    /// Requests cancelled by their client.
    cancelled,
    /// Requests whose client disconnected before the answer.
    left,
    /// Pauses of reading from a client because it reached a limit.
    read_pauses,
    /// Statements rejected as malformed.
    bad_statements,
    /// Load reports with invalid values.
    bad_reports,
    /// Attempts decided on.
    attempts,
    /// Attempts written completely to a database host.
    sent,
    /// Connections opened to database hosts.
    host_connects,
    /// Endpoint lists applied.
    lists,
    /// Endpoint lists and responses of discovery rejected.
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
    /// Callers of the operators' address.
    calls,
    /// Callers whose command was denied.
    calls_denied,
}

/// A counter that only grows.
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

    /// The present value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// The number of things that exist now.
#[derive(Default)]
pub struct Gauge(Cell<usize>);

impl Gauge {
    /// Counts one more until the guard is dropped, which also happens when a task panics.
    pub fn enter(&self) -> GaugeGuard<'_> {
        self.0.set(self.0.get() + 1);
        GaugeGuard(self)
    }

    /// The present number.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// Counts one in a [`Gauge`] until it is dropped.
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
        // An end that is missing in `End::ALL` must not bring the gateway down.
        if let Some(count) = self.ends.get(end as usize) {
            count.add();
        }
    }
}
