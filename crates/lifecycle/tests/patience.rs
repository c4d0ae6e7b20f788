//! The estimated timeout of a connection that is being established.

use petrelgauge_lifecycle::patience::*;
use petrelgauge_policy::Time;

const MOST: Time = 250_000;

fn used_to(took: Time) -> Patience {
    let mut patience = Patience::new(MOST);
    (0..20).for_each(|_| patience.came_up(took));
    patience
}

#[test]
fn all_is_given_until_enough_was_seen() {
    let mut patience = Patience::new(MOST);
    for _ in 0..ENOUGH {
        assert_eq!(patience.span(0), MOST);
        patience.came_up(500);
    }
    assert_eq!(patience.span(0), LEAST);
}

#[test]
fn where_connections_come_up_fast_a_silent_one_is_soon_given_up_and_longer_each_time() {
    let spans: Vec<Time> = (0..5).map(|missed| used_to(500).span(missed)).collect();
    assert_eq!(spans, [40_000, 80_000, 160_000, MOST, MOST]);
    assert_eq!(used_to(500).span(u32::MAX), MOST);
}

#[test]
fn where_they_take_long_one_is_given_long_and_never_more_than_the_settings_allow() {
    assert_eq!(used_to(10_000).span(0), 160_000);
    assert_eq!(used_to(Time::MAX).span(3), MOST);
}

#[test]
fn one_slow_connection_is_forgotten_in_time() {
    let mut patience = used_to(500);
    patience.came_up(10_000);
    assert_eq!(patience.span(0), 160_000);
    (0..400).for_each(|_| patience.came_up(500));
    assert_eq!(patience.span(0), LEAST);
}
