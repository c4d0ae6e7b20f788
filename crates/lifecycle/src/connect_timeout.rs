//! Estimates the timeout for establishing a connection to a host from recent connections.
//!
//! The settings define a generous upper limit. Where connections are usually established within a
//! millisecond, one that takes 40 ms most likely leads to a machine that is down, and another host could
//! answer the waiting request in that time. When a zone fails, each gateway of a fleet detects this host by
//! host, from its own requests.

use petrelgauge_policy::Time;

/// The timeout is this multiple of the longest recent connect time.
const MARGIN: Time = 16;
/// The shortest timeout (microseconds): longer than a process usually waits to be scheduled.
pub const MIN_TIMEOUT: Time = 40_000;
/// Minimum number of established connections for an estimate.
pub const MIN_SAMPLES: u32 = 8;
/// With each established connection the longest connect time decays by 1 / `DECAY`.
const DECAY: Time = 64;
/// Maximum number of doublings of the estimate, so that the shift can't overflow.
const MAX_DOUBLINGS: u32 = 16;

/// The estimate for all hosts together, of fixed size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectTimeout {
    /// Upper limit from the settings, in microseconds.
    limit: Time,
    /// Longest recent connect time, in microseconds.
    longest: Time,
    samples: u32,
}

impl ConnectTimeout {
    /// An estimate without samples: the timeout is the limit (microseconds).
    pub fn new(limit: Time) -> ConnectTimeout {
        ConnectTimeout { limit, longest: 0, samples: 0 }
    }

    /// The same estimate under another limit (microseconds).
    pub fn with_limit(self, limit: Time) -> ConnectTimeout {
        ConnectTimeout { limit, ..self }
    }

    /// Records a connection that was established, up to the host's readiness, within `took` microseconds.
    pub fn record_connected(&mut self, took: Time) {
        self.longest = took.clamp(self.longest - self.longest / DECAY, self.limit.max(0));
        self.samples = self.samples.saturating_add(1);
    }

    /// The timeout (microseconds) for a host with this many consecutive connect failures. Each failure
    /// doubles it: the host may be far away, or this gateway slow.
    pub fn timeout(&self, failures: u32) -> Time {
        let estimate = (self.longest.saturating_mul(MARGIN)).max(MIN_TIMEOUT);
        let doubled = estimate.saturating_mul(1 << failures.min(MAX_DOUBLINGS));
        if self.samples < MIN_SAMPLES {
            self.limit
        } else {
            doubled.min(self.limit)
        }
    }
}
