//! Who should own which shard: spread evenly, taken over from one that is gone, given back to one that has come to stay.

use petrelgauge_ownership::{shard_of, Placement, Settings, MOST_SHARDS};
use petrelgauge_policy::Time;
use std::collections::BTreeMap;

const LEASE: Time = 2_000_000;
const ELECTORS: u16 = 9;
const SHARDS: u16 = 27;

fn settings(me: u16) -> Settings {
    let electors = (0..ELECTORS).map(|place| place * 166).collect();
    Settings { me: me * 166, gateways: 1_500, electors, lease: LEASE, ..Settings::default() }
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
                let to = self.placements[from].heartbeat(self.now);
                for to in to {
                    self.placements[usize::from(to / 166)].heard(self.now, from as u16 * 166);
                }
            }
        }
    }

    /// For each shard, who of those that are up wants it.
    fn wanted(&self) -> BTreeMap<u16, Vec<usize>> {
        let wants = |shard: u16| {
            let up = (0..self.placements.len()).filter(|one| self.up[*one]);
            up.filter(|one| self.placements[*one].wants(self.now, shard)).collect::<Vec<_>>()
        };
        (0..SHARDS).map(|shard| (shard, wants(shard))).collect()
    }
}

#[test]
fn every_shard_is_wanted_by_one_elector_and_all_want_as_many() {
    let mut world = World::new();
    world.run(5 * LEASE);
    let wanted = world.wanted();
    assert!(wanted.values().all(|who| who.len() == 1), "{wanted:?}");
    for elector in 0..usize::from(ELECTORS) {
        assert_eq!(wanted.values().filter(|who| who[0] == elector).count(), 3, "{elector}");
    }
}

#[test]
fn shards_of_one_that_is_gone_are_wanted_by_another_and_given_back_when_it_has_come_to_stay() {
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
        let shards = taken.iter().filter(|shard| world.placements[6].yields(world.now, **shard));
        shards.copied().collect::<Vec<_>>()
    };
    assert_eq!(yields(&world), Vec::<u16>::new(), "not to one that may go again");
    world.run(3 * LEASE);
    assert_eq!(yields(&world).len(), 6, "all but its own three");
    assert!(world.wanted().values().all(|who| who.len() == 1));
}

#[test]
fn one_that_flaps_is_not_yielded_to() {
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
        assert!(!world.placements[5].yields(world.now, 4));
        assert!(world.placements[5].wants(world.now, 4));
    }
}

#[test]
fn an_elector_that_starts_leaves_the_others_the_time_to_be_heard() {
    let placement = Placement::new(&settings(3), SHARDS, 0);
    assert!(placement.wants(0, 3), "its own first shards are wanted at once");
    assert!(!placement.wants(0, 2));
    assert!(!placement.wants(LEASE, 2));
    assert!(placement.wants(3 * LEASE, 2), "nobody was heard");
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
    assert!(far.wants(0, 0));
    assert!(u32::from(MOST_SHARDS) * 2 <= petrelgauge_ownership::MOST_DUTIES as u32);
}

#[test]
fn strangers_are_not_heard() {
    let mut placement = Placement::new(&settings(3), SHARDS, 0);
    // A gateway that is no elector, and this one itself.
    placement.heard(3 * LEASE, 17);
    placement.heard(3 * LEASE, 3 * 166);
    assert!(placement.wants(3 * LEASE, 2));
}
