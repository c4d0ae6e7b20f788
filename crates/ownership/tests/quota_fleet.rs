//! Quotas lent in a simulated fleet: the sum in force, what loaded gateways get, and what it costs.

#[path = "support/quota_fleet.rs"]
mod quota_fleet;

use quota_fleet::*;
use rand_core::RngCore;

#[test]
fn loaded_gateways_get_lent_quota_at_a_flat_cost_per_gateway() {
    let mut each = Vec::new();
    for count in [10, 100, 300, 1000] {
        let mut world = World::new(count, 5);
        world.own(0, 1);
        world.run(6 * SECOND);
        let sent = world.sent;
        // A mean over time: now and then a grant is not renewed, for something was lost.
        let (mut quota, mut need) = (0.0, 0.0);
        for _ in 0..40 {
            world.run(SECOND / 10);
            let (has, needs) = world.heavy();
            (quota, need) = (quota + has / 40.0, needs);
        }
        each.push((world.sent - sent) as f64 / f64::from(count) / 4.0);
        println!(
            "{count}: {quota:.2} even quotas where {need:.2} are needed, {:.1} datagrams a second each",
            each[each.len() - 1]
        );
        assert!(quota > 1.8 && world.grants > 0, "{count}: {quota:.2} of {need:.2}");
    }
    assert!(each.iter().all(|one| *one < 8.0), "{each:?} datagrams a gateway and second");
}

#[test]
fn quotas_in_force_never_exceed_the_sum_of_even_quotas() {
    for (count, seed) in [(60, 1), (60, 2), (60, 3), (60, 4), (300, 5)] {
        let mut world = World::new(count, seed);
        world.own(0, 1);
        world.run(5 * SECOND);
        for turn in 0..12u64 {
            match (turn + seed) % 6 {
                // The lease holder stands still for three leases, another comes, and the first one wakes up beside it: it is no
                // lease holder any more, but does not know.
                0 => {
                    let owner = *world.pools.keys().next().expect("there is one");
                    world.stall(owner, 3 * LEASE);
                    world.run(LEASE);
                    world.own((owner + 7) % count, 2 + turn);
                    world.run(2 * LEASE);
                    world.awake(owner);
                    world.run(LEASE);
                    world.pools.remove(&owner);
                }
                // Gateways start again, those that lent and those that were granted something.
                1 => {
                    for _ in 0..count / 4 {
                        let who = (world.rng.next_u64() % u64::from(count)) as u16;
                        let pool = world.pools.remove(&who);
                        world.start(who);
                        world.pools.extend(pool.map(|pool| (who, pool)));
                        world.run(SECOND / 20);
                    }
                }
                // A third is cut off from the others.
                2 => {
                    world.cut = (0..count / 3).collect();
                    world.run(2 * LEASE);
                    world.cut.clear();
                }
                // Much is lost.
                3 => {
                    world.loss = 400;
                    world.run(2 * LEASE);
                    world.loss = 20;
                }
                // Some stand still, and wake up with what came meanwhile.
                4 => {
                    let few: Vec<u16> = (0..count).filter(|me| me % 9 == turn as u16 % 9).collect();
                    few.iter().for_each(|me| world.stall(*me, LEASE));
                    world.run(LEASE);
                    few.iter().for_each(|me| world.awake(*me));
                }
                // Two lease holders at once, and the work moves to others.
                _ => {
                    world.own((3 + turn as u16) % count, 100 + turn);
                    world.run(SECOND);
                    world.machines.iter_mut().for_each(|m| m.rate = if m.rate > 1000 { 100 } else { 1_500 });
                }
            }
            world.run(2 * SECOND);
        }
        println!(
            "{count}, seed {seed}: {} looks, {} grants, highest sum {:.3}",
            world.looks, world.grants, world.highest
        );
        assert!(world.grants > 100, "it was put to use");
    }
}

#[test]
fn without_a_lease_holder_every_gateway_returns_to_its_even_quota() {
    let mut world = World::new(30, 9);
    world.own(0, 1);
    world.run(6 * SECOND);
    assert!(world.grants > 0);
    // All links are cut: nothing of the lease holder's comes to anybody.
    world.pools.clear();
    world.run(3 * SECOND);
    for me in 0..30 {
        let clock = world.clock(me);
        assert_eq!(world.machines[me as usize].quota.current(clock, GROUP).at(clock), 1.0, "gateway {me}");
    }
}

#[test]
fn a_single_gateway_lends_and_requests_nothing() {
    let mut world = World::new(1, 3);
    world.own(0, 1);
    world.run(10 * SECOND);
    let clock = world.clock(0);
    assert_eq!(world.machines[0].quota.current(clock, GROUP).at(clock), 1.0);
}
