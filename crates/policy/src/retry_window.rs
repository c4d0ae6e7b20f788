//! The deadline for retries of a request with an idempotency key.

use crate::{Effect, Time};

/// Longest delay of a process between reading its clock and the bytes of a query leaving it (microseconds). No retry is
/// begun in the last such span of its key's window: it could arrive after the window has closed.
pub const RETRY_WINDOW_MARGIN: Time = 150_000;
/// Divisor of a window: the largest margin that is kept in it. Windows shorter than 4.8 s would otherwise lose much of
/// their time to [`RETRY_WINDOW_MARGIN`].
const MAX_MARGIN_DIVISOR: Time = 32;

impl Effect {
    /// The time by which a retry must be written, if its first attempt that may have run was ordered at `first`.
    /// [`Time::MAX`] without a key.
    pub fn retry_deadline(self, first: Time) -> Time {
        match self {
            Effect::Keyed { window, .. } => {
                let margin = RETRY_WINDOW_MARGIN.min(window / MAX_MARGIN_DIVISOR);
                first.saturating_add(window - margin)
            }
            Effect::Safe | Effect::Unsafe => Time::MAX,
        }
    }
}
