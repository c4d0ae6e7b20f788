//! Request rates computed from samples of request counters.

use petrelgauge_ownership::quota::RequestRates;
use petrelgauge_policy::Time;
use std::collections::BTreeMap;

const GROUP: u64 = 7;
const SECOND: Time = 1_000_000;

#[test]
fn a_steady_rate_is_reported_early_and_an_ended_one_fades() {
    let mut rates = RequestRates::default();
    for second in 0..=2 {
        let count = 100 + 50 * second as u64;
        rates.observe(second * SECOND, &BTreeMap::from([(GROUP, count)]));
    }
    let early = rates.per_group()[&GROUP];
    assert!((49_000..=51_000).contains(&early), "{early}");
    for second in 3..=20 {
        rates.observe(second * SECOND, &BTreeMap::from([(GROUP, 200)]));
    }
    assert!(rates.per_group()[&GROUP] < 1_000, "{:?}", rates.per_group());
    rates.observe(21 * SECOND, &BTreeMap::new());
    assert!(rates.per_group().is_empty(), "groups that are missing from the last sample are removed");
}
