//! Leases in a simulated fleet: at most one holder, increasing terms, takeover within the bound, and a cost
//! per gateway that doesn't grow with the fleet.

#[path = "support/lease_fleet.rs"]
mod lease_fleet;
#[path = "support/simulated_network.rs"]
mod simulated_network;
#[path = "support/stallable_socket.rs"]
mod stallable_socket;

use lease_fleet::{SimulatedFleet, LEASE, MAX_DELAY, ROLE};
use petrelgauge_ownership::{Message, Notification, PrimaryAnnouncement};
use petrelgauge_policy::Time;
use simulated_network::Ratio;
use std::collections::BTreeSet;

#[test]
fn one_gateway_holds_the_lease_while_nothing_fails() {
    let mut fleet = SimulatedFleet::new(30, 1);
    fleet.run(6_000_000);
    assert_eq!(fleet.holder_changes.len(), 1, "{:?}", fleet.holder_changes);
    assert!(fleet.is_held());
}

#[test]
fn there_are_never_two_lease_holders_and_terms_increase() {
    for seed in 0..12 {
        let mut fleet = SimulatedFleet::new(25, seed);
        for _ in 0..60 {
            let (id, other) = (fleet.network.sample(25) as u16, fleet.network.sample(25) as u16);
            match fleet.network.sample(9) {
                0 => fleet.crash(id),
                1 | 2 => fleet.start(id),
                3 => {
                    let span = fleet.network.sample(4 * LEASE as u64) as Time;
                    if let Some(holder) = fleet.holders().first() {
                        fleet.stall(holder.gateway, span);
                    }
                }
                4 => fleet.network.cut_links.extend([(id, other)]),
                5 => fleet.network.cut_links.extend((0..25).map(|to| (id, to))),
                6 => fleet.network.cut_links.clear(),
                7 => fleet.network.faults.lost.count = fleet.network.sample(300),
                _ => {
                    // Restarts two of the five acceptors at once.
                    for acceptor in [0, 10] {
                        fleet.start(acceptor);
                    }
                }
            }
            let span = fleet.network.sample(300_000) as Time + 5_000;
            fleet.run(span);
        }
        fleet.assert_terms_increase();
        // After all faults are repaired, a gateway must acquire the lease again.
        fleet.network.faults.lost.count = 20;
        fleet.network.cut_links = BTreeSet::new();
        (0..25).for_each(|id| fleet.start(id));
        fleet.run(4_000_000);
        assert!(fleet.is_held(), "seed {seed}: no gateway holds the lease");
        fleet.assert_terms_increase();
    }
}

#[test]
fn a_crashed_lease_holder_is_replaced_within_the_takeover_bound() {
    for seed in 0..20 {
        let mut fleet = SimulatedFleet::new(20, 100 + seed);
        // The bound holds only if no datagram is lost.
        fleet.network.faults.lost = Ratio { count: 0, of: 1000 };
        let holder = fleet.run_until_held();
        let takeover_bound = fleet.manager(0).settings().takeover_bound();
        fleet.crash(holder);
        // Four of the five acceptors remain, which is a majority.
        let (crashed_at, before) = (fleet.now, fleet.holder_changes.len());
        while fleet.holder_changes.len() == before {
            fleet.run(5_000);
            let took = fleet.now - crashed_at;
            assert!(
                took <= takeover_bound + 30 * MAX_DELAY,
                "seed {seed}: takeover took {took}, bound {takeover_bound}"
            );
        }
    }
}

#[test]
fn a_minority_has_no_lease_holder_and_the_majority_elects_one() {
    let mut fleet = SimulatedFleet::new(25, 9);
    let holder = fleet.run_until_held();
    let minority = BTreeSet::from([holder, (holder + 5) % 25]);
    fleet.network.partitioned = minority.clone();
    fleet.run(3_000_000);
    let holders = fleet.holders();
    assert!(holders.len() == 1, "{holders:?}");
    assert!(!minority.contains(&holders[0].gateway), "{holders:?} while {minority:?} is partitioned off");
    fleet.assert_terms_increase();
}

#[test]
fn a_lease_holder_stalled_for_three_leases_has_lost_its_lease() {
    let mut fleet = SimulatedFleet::new(20, 5);
    let holder = fleet.run_until_held();
    let clock = fleet.clock(holder);
    // The notification is built before the stall and sent after it.
    let primary = Notification::Primary(PrimaryAnnouncement { member: 1, evidence_at: 5 });
    let message =
        fleet.manager(holder).notification(clock, ROLE, primary).expect("the gateway holds the lease");
    let Message::Notification { term, .. } = message else { panic!("expected a notification") };
    fleet.stall(holder, 3 * LEASE);
    fleet.run(3 * LEASE + 5_000);
    let clock = fleet.clock(holder);
    assert!(
        !fleet.manager(holder).still_holds(clock, ROLE, term),
        "the lease must have expired before the send"
    );
    // If it is sent without that check, a gateway that knows the next lease holder rejects it.
    let next = fleet.run_until_held();
    assert_ne!(next, holder);
    assert!(!fleet.manager(next).would_admit(ROLE, term));
}

#[test]
fn terms_increase_when_all_acceptors_restart() {
    let mut fleet = SimulatedFleet::new(20, 6);
    fleet.run_until_held();
    for _ in 0..3 {
        (0..20).for_each(|id| fleet.start(id));
        let restarted_at = fleet.now;
        fleet.run(4_000_000);
        assert!(fleet.holder_changes.last().is_some_and(|change| change.at > restarted_at));
    }
    assert!(fleet.holder_changes.len() >= 4);
}

#[test]
fn the_checker_detects_two_lease_holders_after_a_clock_is_set_back() {
    let detected = (0..20).any(|seed| {
        let mut fleet = SimulatedFleet::new(20, 1000 + seed);
        let holder = fleet.run_until_held();
        // The holder's clock is set back by two leases.
        fleet.gateway(holder).clock_error = -2 * LEASE;
        fleet.gateway(holder).socket.stalled_until = Time::MAX;
        (0..400).any(|_| {
            let caught = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| fleet.run(5_000)));
            caught.is_err()
        })
    });
    // No drift bound covers such a clock step, so the checker must detect two holders.
    assert!(detected, "the checker did not detect two lease holders");
}

#[test]
fn the_cost_per_gateway_is_flat_up_to_a_thousand_gateways() {
    let rate = |count: u16| {
        let mut fleet = SimulatedFleet::new(count, 3);
        fleet.run(3_000_000);
        let (before, span) = (fleet.network.sent, 3_000_000);
        fleet.run(span);
        assert!(fleet.is_held());
        (fleet.network.sent - before) as f64 / f64::from(count) / (span as f64 / 1e6)
    };
    let (few, many) = (rate(100), rate(1000));
    assert!(
        many < few * 1.2,
        "datagrams per second and gateway: {few:.1} with 100 gateways, {many:.1} with 1000"
    );
}
