//! Placement of shards: even spread, failover from an absent acceptor, and return to one that has settled.

use petrelgauge_ownership::{shard_of, Placement, Settings, MAX_SHARDS};
use petrelgauge_policy::Time;
use std::collections::BTreeMap;

const LEASE: Time = 2_000_000;
const ACCEPTORS: u16 = 9;
const SHARDS: u16 = 27;
/// Distance between the numbers of consecutive acceptors.
const ID_STEP: u16 = 166;

fn settings(index: u16) -> Settings {
    let acceptors = (0..ACCEPTORS).map(|index| index * ID_STEP).collect();
    Settings { self_id: index * ID_STEP, gateways: 1_500, acceptors, lease: LEASE, ..Settings::default() }
}

/// Acceptors that exchange heartbeats; some of them may be absent.
struct SimulatedAcceptors {
    now: Time,
    placements: Vec<Placement>,
    up: Vec<bool>,
}

impl SimulatedAcceptors {
    fn new() -> SimulatedAcceptors {
        let placements = (0..ACCEPTORS).map(|index| Placement::new(&settings(index), SHARDS, 0)).collect();
        SimulatedAcceptors { now: 0, placements, up: vec![true; usize::from(ACCEPTORS)] }
    }

    fn run(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            self.now += LEASE / 8;
            for from in (0..self.placements.len()).filter(|from| self.up[*from]).collect::<Vec<_>>() {
                let to = self.placements[from].due_heartbeats(self.now);
                for to in to {
                    self.placements[usize::from(to / ID_STEP)].on_heartbeat(self.now, from as u16 * ID_STEP);
                }
            }
        }
    }

    /// The acceptors that are up and campaign for each shard.
    fn campaigns(&self) -> BTreeMap<u16, Vec<usize>> {
        let campaign_for = |shard: u16| {
            let up = (0..self.placements.len()).filter(|index| self.up[*index]);
            up.filter(|index| self.placements[*index].should_campaign(self.now, shard)).collect::<Vec<_>>()
        };
        (0..SHARDS).map(|shard| (shard, campaign_for(shard))).collect()
    }
}

#[test]
fn shards_are_spread_evenly_over_acceptors() {
    let mut acceptors = SimulatedAcceptors::new();
    acceptors.run(5 * LEASE);
    let campaigns = acceptors.campaigns();
    assert!(campaigns.values().all(|ids| ids.len() == 1), "{campaigns:?}");
    for acceptor in 0..usize::from(ACCEPTORS) {
        assert_eq!(campaigns.values().filter(|ids| ids[0] == acceptor).count(), 3, "{acceptor}");
    }
}

#[test]
fn shards_of_an_absent_acceptor_fail_over_and_return_once_it_has_settled() {
    let mut acceptors = SimulatedAcceptors::new();
    acceptors.run(5 * LEASE);
    acceptors.up[4] = false;
    acceptors.run(LEASE);
    // A short gap in the heartbeats moves nothing.
    assert!(acceptors.campaigns().values().all(|ids| ids.len() <= 1));
    acceptors.run(3 * LEASE);
    let campaigns = acceptors.campaigns();
    assert!(campaigns.values().all(|ids| ids.len() == 1 && ids[0] != 4), "{campaigns:?}");
    // If two consecutive acceptors are absent, the next one takes the shards of both.
    acceptors.up[5] = false;
    acceptors.run(4 * LEASE);
    let campaigns = acceptors.campaigns();
    let taken: Vec<u16> = campaigns.iter().filter(|(_, ids)| **ids == [6]).map(|(shard, _)| *shard).collect();
    assert_eq!(taken.len(), 9, "{campaigns:?}");
    (acceptors.up[4], acceptors.up[5]) = (true, true);
    acceptors.run(LEASE / 2);
    let yielded = |acceptors: &SimulatedAcceptors| {
        let shards =
            taken.iter().filter(|shard| acceptors.placements[6].should_yield(acceptors.now, **shard));
        shards.copied().collect::<Vec<_>>()
    };
    assert_eq!(
        yielded(&acceptors),
        Vec::<u16>::new(),
        "nothing is yielded to an acceptor that has not settled"
    );
    acceptors.run(3 * LEASE);
    assert_eq!(yielded(&acceptors).len(), 6, "it yields all but its own three shards");
    assert!(acceptors.campaigns().values().all(|ids| ids.len() == 1));
}

#[test]
fn shards_are_not_yielded_to_a_flapping_acceptor() {
    let mut acceptors = SimulatedAcceptors::new();
    acceptors.run(5 * LEASE);
    acceptors.up[4] = false;
    acceptors.run(4 * LEASE);
    for _ in 0..6 {
        acceptors.up[4] = true;
        acceptors.run(LEASE);
        acceptors.up[4] = false;
        acceptors.run(4 * LEASE);
        // Shard 4 prefers the absent acceptor.
        assert!(!acceptors.placements[5].should_yield(acceptors.now, 4));
        assert!(acceptors.placements[5].should_campaign(acceptors.now, 4));
    }
}

#[test]
fn a_starting_acceptor_waits_for_the_heartbeats_of_others() {
    let placement = Placement::new(&settings(3), SHARDS, 0);
    assert!(placement.should_campaign(0, 3), "it campaigns at once for shards that prefer it");
    assert!(!placement.should_campaign(0, 2));
    assert!(!placement.should_campaign(LEASE, 2));
    assert!(placement.should_campaign(3 * LEASE, 2), "no heartbeat has arrived");
}

#[test]
fn groups_are_spread_over_shards_and_the_number_of_shards_is_bounded() {
    let mut counts = BTreeMap::new();
    (0..484u64).for_each(|group| *counts.entry(shard_of(1_000 + group, SHARDS)).or_insert(0) += 1);
    let (fewest, most) = (counts.values().min(), counts.values().max());
    assert!(counts.len() == usize::from(SHARDS) && fewest >= Some(&8) && most <= Some(&30), "{counts:?}");
    assert_eq!(shard_of(7, 1), 0);
    assert_eq!(shard_of(7, 0), 0);
    let clamped = Placement::new(&settings(0), u16::MAX, 0);
    assert!(clamped.should_campaign(0, 0));
    assert!(u32::from(MAX_SHARDS) * 2 <= petrelgauge_ownership::MAX_ROLES as u32);
}

#[test]
fn heartbeats_of_other_gateways_are_ignored() {
    let mut placement = Placement::new(&settings(3), SHARDS, 0);
    // From a gateway that is no acceptor, and from itself.
    placement.on_heartbeat(3 * LEASE, 17);
    placement.on_heartbeat(3 * LEASE, 3 * ID_STEP);
    assert!(placement.should_campaign(3 * LEASE, 2));
}
