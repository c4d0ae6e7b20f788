//! Time limits of tests, and the machine's time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Nothing that works takes so long; what does not work fails then and does not hang.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The machine's time, in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}
