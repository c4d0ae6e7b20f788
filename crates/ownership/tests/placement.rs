//! Who should own which shard: spread evenly, taken over from one that is gone, given back to one that has come to stay.

use petrelgauge_ownership::{shard_of, Placement, Settings, MAX_SHARDS};
use petrelgauge_policy::Time;
use std::collections::BTreeMap;

const LEASE: Time = 2_000_000;
const ELECTORS: u16 = 9;
const SHARDS: u16 = 27;

fn settings(me: u16) -> Settings {
    let acceptors = (0..ELECTORS).map(|place| place * 166).collect();
    Settings { self_id: me * 166, gateways: 1_500, acceptors, lease: LEASE, ..Settings::default() }
}

/// Electors that hear each other's heartbeats, some of them gone.
struct World {
    now: Time,
    placements: Vec<Placement>,
    up: Vec<bool>,
}

impl World {
    fn new() -> World {
        let placements = (0..ELECTORS).map(|me| Placement::new(&settings(me), SHARDS, 0)).collect();
        World { now: 0, placements, up: vec![true; usize::from(ELECTORS)] }
    }

    fn run(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            self.now += LEASE / 8;
            for from in (0..self.placements.len()).filter(|from| self.up[*from]).collect::<Vec<_>>() {
                let to = self.placements[from].due_heartbeats(self.now);
                for to in to {
                    self.placements[usize::from(to / 166)].on_heartbeat(self.now, from as u16 * 166);
                }
            }
        }
    }

    /// For each shard, who of those that are up wants it.
    fn wanted(&self) -> BTreeMap<u16, Vec<usize>> {
        let wants = |shard: u16| {
            let up = (0..self.placements.len()).filter(|one| self.up[*one]);
            up.filter(|one| self.placements[*one].should_campaign(self.now, shard)).collect::<Vec<_>>()
        };
        (0..SHARDS).map(|shard| (shard, wants(shard))).collect()
    }
}

#[test]
fn shards_are_spread_evenly_over_acceptors() {
    let mut world = World::new();
    world.run(5 * LEASE);
    let wanted = world.wanted();
    assert!(wanted.values().all(|who| who.len() == 1), "{wanted:?}");
    for acceptor in 0..usize::from(ELECTORS) {
        assert_eq!(wanted.values().filter(|who| who[0] == acceptor).count(), 3, "{acceptor}");
    }
}

#[test]
fn shards_of_an_absent_acceptor_fail_over_and_return_once_it_has_settled() {
    let mut world = World::new();
    world.run(5 * LEASE);
    world.up[4] = false;
    world.run(LEASE);
    // A short silence moves nothing.
    assert!(world.wanted().values().all(|who| who.len() <= 1));
    world.run(3 * LEASE);
    let wanted = world.wanted();
    assert!(wanted.values().all(|who| who.len() == 1 && who[0] != 4), "{wanted:?}");
    // Two next to each other: the one behind both has the shards of both.
    world.up[5] = false;
    world.run(4 * LEASE);
    let wanted = world.wanted();
    let taken: Vec<u16> = wanted.iter().filter(|(_, who)| **who == [6]).map(|(shard, _)| *shard).collect();
    assert_eq!(taken.len(), 9, "{wanted:?}");
    (world.up[4], world.up[5]) = (true, true);
    world.run(LEASE / 2);
    let yields = |world: &World| {
        let shards = taken.iter().filter(|shard| world.placements[6].should_yield(world.now, **shard));
        shards.copied().collect::<Vec<_>>()
    };
    assert_eq!(yields(&world), Vec::<u16>::new(), "not to one that may go again");
    world.run(3 * LEASE);
    assert_eq!(yields(&world).len(), 6, "all but its own three");
    assert!(world.wanted().values().all(|who| who.len() == 1));
}

#[test]
fn shards_are_not_yielded_to_a_flapping_acceptor() {
    let mut world = World::new();
    world.run(5 * LEASE);
    world.up[4] = false;
    world.run(4 * LEASE);
    for _ in 0..6 {
        world.up[4] = true;
        world.run(LEASE);
        world.up[4] = false;
        world.run(4 * LEASE);
        // Shard 4 is the absent one's first.
        assert!(!world.placements[5].should_yield(world.now, 4));
        assert!(world.placements[5].should_campaign(world.now, 4));
    }
}

#[test]
fn a_starting_acceptor_waits_for_the_heartbeats_of_others() {
    let placement = Placement::new(&settings(3), SHARDS, 0);
    assert!(placement.should_campaign(0, 3), "its own first shards are wanted at once");
    assert!(!placement.should_campaign(0, 2));
    assert!(!placement.should_campaign(LEASE, 2));
    assert!(placement.should_campaign(3 * LEASE, 2), "nobody was heard");
}

#[test]
fn groups_are_spread_over_shards_and_the_number_of_shards_is_bounded() {
    let mut counts = BTreeMap::new();
    (0..484u64).for_each(|group| *counts.entry(shard_of(1_000 + group, SHARDS)).or_insert(0) += 1);
    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(counts.len() == usize::from(SHARDS) && least >= Some(&8) && most <= Some(&30), "{counts:?}");
    assert_eq!(shard_of(7, 1), 0);
    assert_eq!(shard_of(7, 0), 0);
    let far = Placement::new(&settings(0), u16::MAX, 0);
    assert!(far.should_campaign(0, 0));
    assert!(u32::from(MAX_SHARDS) * 2 <= petrelgauge_ownership::MAX_ROLES as u32);
}

#[test]
fn heartbeats_of_other_gateways_are_ignored() {
    let mut placement = Placement::new(&settings(3), SHARDS, 0);
    // A gateway that is no acceptor, and this one itself.
    placement.on_heartbeat(3 * LEASE, 17);
    placement.on_heartbeat(3 * LEASE, 3 * 166);
    assert!(placement.should_campaign(3 * LEASE, 2));
}
