//! Quota lending in a simulated fleet: the sum of quotas in force, the quotas of loaded gateways, and the
//! cost in datagrams.

#[path = "support/quota_fleet.rs"]
mod quota_fleet;
#[path = "support/simulated_network.rs"]
mod simulated_network;
#[path = "support/stallable_socket.rs"]
mod stallable_socket;

use quota_fleet::{SimulatedFleet, LEASE, LOADED_ABOVE, SECOND};

#[test]
fn loaded_gateways_get_lent_quota_at_a_flat_cost_per_gateway() {
    let mut costs = Vec::new();
    for count in [10, 100, 300, 1000] {
        let mut fleet = SimulatedFleet::new(count, 5);
        fleet.elect(0, 1);
        fleet.run(6 * SECOND);
        let sent = fleet.network.sent;
        // The mean over time, since a lost datagram may keep a grant from being renewed.
        let (mut quota, mut needed) = (0.0, 0.0);
        for _ in 0..40 {
            fleet.run(SECOND / 10);
            let loaded = fleet.loaded_quota();
            quota += loaded.mean / 40.0;
            needed = loaded.needed;
        }
        costs.push((fleet.network.sent - sent) as f64 / f64::from(count) / 4.0);
        println!(
            "{count} gateways: {quota:.2} even quotas of {needed:.2} needed, {:.1} datagrams per second each",
            costs[costs.len() - 1]
        );
        assert!(
            quota > 1.8 && fleet.grant_count > 0,
            "{count} gateways: {quota:.2} even quotas of {needed:.2} needed"
        );
    }
    assert!(costs.iter().all(|cost| *cost < 8.0), "{costs:?} datagrams per gateway and second");
}

/// Injects one of six kinds of faults, chosen by turn and seed.
fn inject_fault(fleet: &mut SimulatedFleet, turn: u64, seed: u64) {
    let count = fleet.gateways.len() as u16;
    match (turn + seed) % 6 {
        // The lease holder stalls for three leases and another one is elected. Then the first one resumes
        // without knowing that its lease has expired.
        0 => {
            let holder = *fleet.pools.keys().next().expect("a gateway holds the lease");
            fleet.stall(holder, 3 * LEASE);
            fleet.run(LEASE);
            fleet.elect((holder + 7) % count, 2 + turn);
            fleet.run(2 * LEASE);
            fleet.resume(holder);
            fleet.run(LEASE);
            fleet.pools.remove(&holder);
        }
        // Up to a quarter of the gateways restart, lenders as well as borrowers.
        1 => {
            for _ in 0..count / 4 {
                let id = fleet.network.sample(u64::from(count)) as u16;
                let pool = fleet.pools.remove(&id);
                fleet.restart(id);
                fleet.pools.extend(pool.map(|pool| (id, pool)));
                fleet.run(SECOND / 20);
            }
        }
        // A third of the gateways is partitioned off.
        2 => {
            fleet.network.partitioned = (0..count / 3).collect();
            fleet.run(2 * LEASE);
            fleet.network.partitioned.clear();
        }
        // Heavy packet loss.
        3 => {
            fleet.network.faults.lost.count = 400;
            fleet.run(2 * LEASE);
            fleet.network.faults.lost.count = 20;
        }
        // Some gateways stall, then process what has arrived meanwhile.
        4 => {
            let stalled: Vec<u16> = (0..count).filter(|id| id % 9 == turn as u16 % 9).collect();
            stalled.iter().for_each(|id| fleet.stall(*id, LEASE));
            fleet.run(LEASE);
            stalled.iter().for_each(|id| fleet.resume(*id));
        }
        // Two gateways hold the lease at once, and the load moves to other gateways.
        _ => {
            fleet.elect((3 + turn as u16) % count, 100 + turn);
            fleet.run(SECOND);
            let swapped = |rate| if rate > LOADED_ABOVE { 100 } else { 1_500 };
            fleet.gateways.iter_mut().for_each(|gateway| gateway.rate = swapped(gateway.rate));
        }
    }
}

#[test]
fn quotas_in_force_never_exceed_the_sum_of_even_quotas() {
    for (count, seed) in [(60, 1), (60, 2), (60, 3), (60, 4), (300, 5)] {
        let mut fleet = SimulatedFleet::new(count, seed);
        fleet.elect(0, 1);
        fleet.run(5 * SECOND);
        for turn in 0..12u64 {
            inject_fault(&mut fleet, turn, seed);
            fleet.run(2 * SECOND);
        }
        println!(
            "{count} gateways, seed {seed}: {} checks, {} grants, highest excess {:.3}",
            fleet.check_count, fleet.grant_count, fleet.highest_excess
        );
        assert!(fleet.grant_count > 100, "only {} grants", fleet.grant_count);
    }
}

#[test]
fn without_a_lease_holder_every_gateway_returns_to_its_even_quota() {
    let mut fleet = SimulatedFleet::new(30, 9);
    fleet.elect(0, 1);
    fleet.run(6 * SECOND);
    assert!(fleet.grant_count > 0);
    // From here on no gateway holds the lease.
    fleet.pools.clear();
    fleet.run(3 * SECOND);
    for id in 0..30 {
        assert_eq!(fleet.quota_of(id), 1.0, "gateway {id}");
    }
}

#[test]
fn a_single_gateway_lends_and_requests_nothing() {
    let mut fleet = SimulatedFleet::new(1, 3);
    fleet.elect(0, 1);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.quota_of(0), 1.0);
}
