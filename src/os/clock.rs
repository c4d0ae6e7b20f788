//! The gateway's clock: Unix time in microseconds, read from the system once and advanced by the monotonic
//! clock, so that it never jumps when the system's time does.
//!
//! Differences between its times are exact. The times themselves are as wrong as the system's time was at the
//! start, and are compared with times of other machines only through `petrelgauge_policy::HostClock`.

use crate::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The longest sleep (microseconds): a day, which no request outlives. Deadlines may be [`Time::MAX`].
const MAX_SLEEP: Time = 86_400_000_000;

/// A clock. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at `started` (microseconds).
    started_unix: Time,
}

impl Clock {
    /// Starts a clock with the system's time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix: unix.as_micros() as Time }
    }

    /// The same clock, ahead by `span` microseconds.
    #[must_use]
    pub fn ahead(self, span: Time) -> Clock {
        Clock { started_unix: self.started_unix + span, ..self }
    }

    /// The current time (Unix time, microseconds).
    pub fn now(&self) -> Time {
        self.started_unix + self.started.elapsed().as_micros() as Time
    }

    /// Waits until a clock time, or for a day if that is sooner.
    pub async fn sleep_until(&self, at: Time) {
        let remaining = (at - self.now()).clamp(0, MAX_SLEEP);
        tokio::time::sleep_until(Instant::now() + Duration::from_micros(remaining as u64)).await
    }
}
