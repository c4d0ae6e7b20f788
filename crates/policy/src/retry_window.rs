//! Deadline for retries of requests with an idempotency key.

use crate::{Effect, Time};

/// Upper bound of the delay between reading the clock and sending the bytes of a query (microseconds). No
/// retry is started within this time before the end of its key's window, since it could arrive after the
/// window has expired.
pub const RETRY_WINDOW_MARGIN: Time = 150_000;
/// Limits the margin to this fraction of the window, as a divisor. Without it, windows shorter than 4.8 s
/// would lose much of their time to [`RETRY_WINDOW_MARGIN`].
const MAX_MARGIN_DIVISOR: Time = 32;

impl Effect {
    /// The time by which a retry must be written if the first attempt that may have run was sent at `first`;
    /// [`Time::MAX`] for requests without a key.
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
