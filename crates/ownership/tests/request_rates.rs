//! Request rates measured from counters.

use petrelgauge_ownership::quota::RequestRates;
use std::collections::BTreeMap;

#[test]
fn a_steady_rate_is_reported_early_and_an_ended_one_fades() {
    let mut rates = RequestRates::default();
    let at = |second: i64, count: u64| (second * 1_000_000, BTreeMap::from([(7, count)]));
    for second in 0..=2 {
        let (now, counts) = at(second, 100 + 50 * second as u64);
        rates.observe(now, &counts);
    }
    let early = rates.per_group()[&7];
    assert!((49_000..=51_000).contains(&early), "{early}");
    for second in 3..=20 {
        let (now, counts) = at(second, 200);
        rates.observe(now, &counts);
    }
    assert!(rates.per_group()[&7] < 1_000, "{:?}", rates.per_group());
    rates.observe(21_000_000, &BTreeMap::new());
    assert!(rates.per_group().is_empty(), "groups that are gone are forgotten");
}
