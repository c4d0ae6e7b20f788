//! The estimated timeout of a connection that is being established.

use petrelgauge_lifecycle::connect_timeout::{ConnectTimeout, MIN_SAMPLES, MIN_TIMEOUT};
use petrelgauge_policy::Time;

const LIMIT: Time = 250_000;

fn after_connects_of(took: Time) -> ConnectTimeout {
    let mut timeout = ConnectTimeout::new(LIMIT);
    (0..20).for_each(|_| timeout.record_connected(took));
    timeout
}

#[test]
fn the_limit_applies_until_there_are_enough_samples() {
    let mut timeout = ConnectTimeout::new(LIMIT);
    for _ in 0..MIN_SAMPLES {
        assert_eq!(timeout.timeout(0), LIMIT);
        timeout.record_connected(500);
    }
    assert_eq!(timeout.timeout(0), MIN_TIMEOUT);
}

#[test]
fn after_fast_connects_the_timeout_is_short_and_doubles_with_each_failure() {
    let spans: Vec<Time> = (0..5).map(|failures| after_connects_of(500).timeout(failures)).collect();
    assert_eq!(spans, [40_000, 80_000, 160_000, LIMIT, LIMIT]);
    assert_eq!(after_connects_of(500).timeout(u32::MAX), LIMIT);
}

#[test]
fn after_slow_connects_the_timeout_is_long_and_never_above_the_limit() {
    assert_eq!(after_connects_of(10_000).timeout(0), 160_000);
    assert_eq!(after_connects_of(Time::MAX).timeout(3), LIMIT);
}

#[test]
fn a_single_slow_connect_decays() {
    let mut timeout = after_connects_of(500);
    timeout.record_connected(10_000);
    assert_eq!(timeout.timeout(0), 160_000);
    (0..400).for_each(|_| timeout.record_connected(500));
    assert_eq!(timeout.timeout(0), MIN_TIMEOUT);
}
