//! The gateway's clock: Unix time in microseconds, read from the system clock once and advanced by the
//! monotonic clock, so that it does not jump when the system clock is adjusted.
//!
//! Differences between two times are exact. The times themselves have the error that the system clock had at
//! the start; they are compared with times of other machines only through `petrelgauge_policy::HostClock`.

use crate::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Longest sleep (microseconds): a day, longer than any request. Limits sleeps until [`Time::MAX`], which
/// stands for no deadline.
const MAX_SLEEP: Time = 86_400_000_000;

/// A clock. All copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at `started` (microseconds).
    started_unix: Time,
}

impl Clock {
    /// Creates a clock that starts at the system's time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix: unix.as_micros() as Time }
    }

    /// Returns this clock set ahead by `span` microseconds.
    #[must_use]
    pub fn ahead(self, span: Time) -> Clock {
        Clock { started_unix: self.started_unix + span, ..self }
    }

    /// The current time (Unix time, microseconds).
    pub fn now(&self) -> Time {
        self.started_unix + self.started.elapsed().as_micros() as Time
    }

    /// Sleeps until a clock time, but for a day at most.
    pub async fn sleep_until(&self, at: Time) {
        let remaining = (at - self.now()).clamp(0, MAX_SLEEP);
        tokio::time::sleep_until(Instant::now() + Duration::from_micros(remaining as u64)).await
    }
}
