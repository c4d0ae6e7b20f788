//! What an attempt tells its host of the time that is left, at the moment of its first byte.

use petrelgauge_lifecycle::exchange::{Event, Exchange, Stage};
use proptest::prelude::*;

/// An attempt on a connection that rested, to be given up at 5 s.
fn attempt() -> Exchange {
    Exchange::new(true, 0, 0, 5_000_000)
}

#[test]
fn the_time_that_is_told_is_what_is_left_when_the_first_byte_is_written() {
    let mut life = attempt();
    assert_eq!(life.remaining_wait_ms(0), Some(5_000));
    // The connection took no byte for a while.
    life.on(1_200_000, Event::Due);
    assert_eq!(life.stage(), Stage::Writing);
    assert_eq!(life.remaining_wait_ms(1_200_000), Some(3_800));
}

#[test]
fn a_part_of_a_millisecond_is_not_told_and_no_time_is_never_told() {
    let life = attempt();
    assert_eq!(life.remaining_wait_ms(4_998_001), Some(1));
    assert_eq!(life.remaining_wait_ms(4_999_000), Some(1));
    for now in [4_999_001, 4_999_999, 5_000_000, 6_000_000] {
        assert_eq!(life.remaining_wait_ms(now), None, "{now}");
    }
}

#[test]
fn a_repeat_is_not_begun_once_its_window_closes() {
    let life = attempt().written_by(2_000_000);
    assert_eq!(life.remaining_wait_ms(1_999_999), Some(3_000));
    assert_eq!(life.remaining_wait_ms(2_000_000), None);
}

proptest! {
    #[test]
    fn never_more_is_told_than_is_left(now in 0i64..6_000_000) {
        if let Some(told) = attempt().remaining_wait_ms(now) {
            prop_assert!(told > 0 && now + told as i64 * 1_000 <= 5_000_000);
        }
    }
}
