//! What the gateway took in, sent and answered, printed at exit and on request.

use petrelgauge_lifecycle::ending::End;
use std::cell::Cell;

macro_rules! counters {
    ($($(#[$text:meta])* $name:ident,)*) => {
        /// Counts since the start.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$text])* pub $name: Count,)*
            ends: [Count; End::ALL.len()],
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
    /// Requests taken in.
    requests,
    /// Of these, served.
    served,
    /// Refused.
    rejected,
    /// Failed.
    failed,
    /// Requests that their client cancelled.
    cancelled,
    /// Requests whose client left before the answer.
    left,
    /// Times that reading from a client paused at a bound.
    read_pauses,
    /// Statements that could not be used.
    bad_statements,
    /// Load reports that made no sense.
    bad_reports,
    /// Attempts handed out by the decisions.
    attempts,
    /// Attempts written completely to a database host.
    sent,
    /// Connections opened to database hosts.
    host_connects,
    /// Changes of the list.
    lists,
    /// Updates of discovery that could not be used.
    bad_lists,
    /// Configurations read again and taken.
    reloads,
    /// Configurations read again that could not be used.
    bad_configs,
    /// Watches of discovery begun.
    watches,
    /// Times that a descriptor had to be freed.
    descriptors_freed,
    /// Datagrams to other instances.
    datagrams_sent,
    /// Bytes of them.
    datagram_bytes_sent,
    /// Datagrams of other instances.
    datagrams_received,
    /// Bytes of them.
    datagram_bytes_received,
    /// Bytes that discovery's watch has brought.
    list_bytes,
    /// Announced primaries that are known members.
    primary_announcements,
    /// Datagrams about leaderships that could not be used.
    bad_leadership_datagrams,
    /// Callers of the second address.
    calls,
    /// Of these, answered with no.
    calls_denied,
}

/// One count.
#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// So many more.
    pub fn add_many(&self, more: usize) {
        self.0.set(self.0.get() + more as u64);
    }

    /// So many.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// How many there are right now.
#[derive(Default)]
pub struct Gauge(Cell<usize>);

impl Gauge {
    /// One more, for as long as the guard lives: also a task that panics is counted out again.
    pub fn enter(&self) -> Entered<'_> {
        self.0.set(self.0.get() + 1);
        Entered(self)
    }

    /// So many.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// One that is there.
pub struct Entered<'a>(&'a Gauge);

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        let Gauge(count) = self.0;
        count.set(count.get() - 1);
    }
}

impl Counters {
    /// A connection or an attempt ended.
    pub fn ended(&self, end: End) {
        // A way to end that the table lacks must not end the gateway.
        if let Some(count) = self.ends.get(end as usize) {
            count.add();
        }
    }
}
