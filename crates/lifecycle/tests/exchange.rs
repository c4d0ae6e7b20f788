//! The remaining wait that is sent to a host, as of the time when the first byte of the request is written.

use petrelgauge_lifecycle::exchange::{AttemptState, Event, Exchange};
use proptest::prelude::*;

/// An attempt on a reused connection with a deadline at 5 s.
fn attempt() -> Exchange {
    Exchange::reusing(0, 5_000_000)
}

#[test]
fn the_remaining_wait_is_what_is_left_when_the_first_byte_is_written() {
    let mut exchange = attempt();
    assert_eq!(exchange.remaining_wait_ms(0), Some(5_000));
    // No byte could be written to the connection for 1.2 s.
    exchange.on(1_200_000, Event::Timeout);
    assert_eq!(exchange.state(), AttemptState::Writing);
    assert_eq!(exchange.remaining_wait_ms(1_200_000), Some(3_800));
}

#[test]
fn the_remaining_wait_is_rounded_down_and_never_zero() {
    let exchange = attempt();
    assert_eq!(exchange.remaining_wait_ms(4_998_001), Some(1));
    assert_eq!(exchange.remaining_wait_ms(4_999_000), Some(1));
    for now in [4_999_001, 4_999_999, 5_000_000, 6_000_000] {
        assert_eq!(exchange.remaining_wait_ms(now), None, "{now}");
    }
}

#[test]
fn a_retry_is_not_written_once_its_window_has_passed() {
    let exchange = attempt().with_write_deadline(2_000_000);
    assert_eq!(exchange.remaining_wait_ms(1_999_999), Some(3_000));
    assert_eq!(exchange.remaining_wait_ms(2_000_000), None);
}

proptest! {
    #[test]
    fn the_remaining_wait_is_never_more_than_what_is_left(now in 0i64..6_000_000) {
        if let Some(wait_ms) = attempt().remaining_wait_ms(now) {
            prop_assert!(wait_ms > 0 && now + wait_ms as i64 * 1_000 <= 5_000_000);
        }
    }
}
