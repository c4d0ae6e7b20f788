//! By when a keyed request may be retried.

use crate::{Effect, Time};

/// The longest that a process may be held up between reading its clock and the bytes of a query leaving it
/// (microseconds). A retry is not begun in the last such span of its key's window, since it could arrive behind it.
pub const RETRY_WINDOW_MARGIN: Time = 150_000;
/// Share of a window that is given up for that at the most: one part in so many. The whole of [`RETRY_WINDOW_MARGIN`] is kept
/// from a window of 4.8 s on; a shorter one would otherwise lose much of the time in which it can be used.
const LARGEST_SHARE: Time = 32;

impl Effect {
    /// The time by which a retry must be written, if its first attempt that may have run was ordered at `first`.
    pub fn retry_deadline(self, first: Time) -> Time {
        match self {
            Effect::Keyed { window, .. } => {
                let margin = RETRY_WINDOW_MARGIN.min(window / LARGEST_SHARE);
                first.saturating_add(window - margin)
            }
            Effect::Safe | Effect::Unsafe => Time::MAX,
        }
    }
}
