//! The deadline for retries of a keyed request.

use petrelgauge_policy::{Effect, Scope, RETRY_WINDOW_MARGIN};

const SECOND: i64 = 1_000_000;

fn keyed(window: i64) -> Effect {
    Effect::Keyed { window, scope: Scope::Group }
}

#[test]
fn a_delayed_retry_is_still_within_its_window() {
    assert_eq!(RETRY_WINDOW_MARGIN, 150_000);
    for window in [5 * SECOND, 30 * SECOND] {
        assert_eq!(keyed(window).retry_deadline(7 * SECOND) + RETRY_WINDOW_MARGIN, 7 * SECOND + window);
    }
}

#[test]
fn the_margin_takes_little_of_a_short_window() {
    for window in [0, 1, 40_000, 400_000, 4 * SECOND] {
        let usable = keyed(window).retry_deadline(0);
        assert!(usable <= window && usable >= window - window / 32, "{usable} of {window}");
    }
}

#[test]
fn without_a_window_there_is_no_deadline_and_a_far_one_does_not_overflow() {
    assert_eq!(Effect::Safe.retry_deadline(0), i64::MAX);
    assert_eq!(Effect::Unsafe.retry_deadline(0), i64::MAX);
    assert_eq!(keyed(i64::MAX).retry_deadline(i64::MAX), i64::MAX);
}
