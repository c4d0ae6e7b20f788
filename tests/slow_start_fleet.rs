//! Hosts that start before a fleet of forty real gateways, while other hosts leave the list.
//!
//! A host failed because the gateways together sent it more work than its budget: each reckoned its part by itself, by
//! counting requests and by dividing what it had lately served by the hosts that were left. The test of the decisions,
//! `crates/policy/tests/slow_start_work.rs`, tells it in full. Here real processes do it: with four of six hosts draining 2 s
//! after a start, the host was sent 31 and 40 requests of mean work in half a second, where 8 and the spread of chance
//! were allowed: 1.60 and 1.98 of the bound (seeds 1 and 3, one play each).

mod faulty_fleet;

use faulty_fleet::{invariants, run_fleet, Plan};
use petrelgauge_test_support::SlowStart;
use std::time::Duration;

/// A colder start than most deployments have, so that a few requests too many show.
const SLOW_START: SlowStart = SlowStart {
    initial_share: 0.1,
    span: Duration::from_secs(16),
    overload_factor: 2.0,
    overload_span: Duration::from_millis(500),
};

#[test]
fn a_fleet_sends_a_host_that_has_started_no_more_work_than_its_budget() {
    for seed in [1, 3] {
        let plan = Plan {
            gateways: 40,
            hosts: 6,
            load: 0.75,
            long_share: 0.1,
            slow_start: SLOW_START,
            hosts_ahead_ms: 0,
            seed,
        };
        let fleet = run_fleet(plan, |fleet| async move {
            fleet.wait(4_000).await;
            fleet.restart_host(2, 0).await;
            fleet.wait(2_000).await;
            fleet.drain_hosts(&[1, 3, 4, 5]);
            fleet.wait(5_000).await;
        });
        println!("seed {seed}: {}", invariants::summary(&fleet));
        assert_eq!(invariants::violations(&fleet), Vec::<String>::new(), "seed {seed}");
    }
}
