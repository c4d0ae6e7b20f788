//! The time limit of test operations, and the system time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Limit on blocking operations: far longer than a working operation takes, so that a broken one fails
/// instead of hanging.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The system time (Unix milliseconds).
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}
