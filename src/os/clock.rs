//! The gateway's clock: Unix time in microseconds, read from the system once and carried on by the
//! monotonic clock, so that it never jumps, whatever becomes of the system's time.
//!
//! Its spans are real ones. Its points are as wrong as the system's time was at the start: they may be compared with each
//! other, and with what other machines tell only through `petrelgauge_policy::FleetClock`.

use crate::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock; copies tell the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: Time,
}

impl Clock {
    /// Starts a clock at the system's time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { anchor: Instant::now(), unix: unix.as_micros() as Time }
    }

    /// The same clock, ahead by this span.
    #[must_use]
    pub fn ahead(self, span: Time) -> Clock {
        Clock { unix: self.unix + span, ..self }
    }

    /// The time.
    pub fn now(&self) -> Time {
        self.unix + self.anchor.elapsed().as_micros() as Time
    }

    /// Waits until a point of time. A far one is cut to a day from now, which no request outlives.
    pub async fn sleep_until(&self, at: Time) {
        let left = (at - self.now()).clamp(0, 86_400_000_000);
        tokio::time::sleep_until(Instant::now() + Duration::from_micros(left as u64)).await
    }
}
