//! Model `placement`: three acceptors and three shards of a role; acceptors stop and restart, heartbeats are
//! lost, time passes. Each acceptor's placement is the gateway's own code. The model stands in for the
//! leases: a shard has one holder at a time, and none after its holder has yielded or stopped.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_ownership::{Placement, Settings};
use petrelgauge_policy::Time;

const ORPHANED: &str = "a shard whose holder is gone for good has another one";
const RETURNED: &str = "once all acceptors have been up for long each shard has its first choice";
const YIELDED_TO_SETTLED: &str = "a shard is given up only for one that has stayed";

const ACCEPTORS: usize = 3;
const SHARDS: u16 = 3;
const LEASE: Time = 1_000;
/// Number of leases without a fault after which each shard has a holder again.
const FAILOVER_LEASES: u8 = 6;
/// Number of half leases after which an acceptor that is up has settled.
const SETTLING_HALF_LEASES: u8 = 4;

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// An acceptor stops, or restarts.
    Toggle(usize),
    /// Half a lease passes. If an acceptor is named, its heartbeats are lost meanwhile.
    Pass(Option<usize>),
}

#[derive(Clone, Debug)]
struct Fleet {
    now: Time,
    placements: Vec<Option<Placement>>,
    /// The holder of each shard.
    holders: Vec<Option<usize>>,
    /// Half leases for which each acceptor has been up, or was until it stopped.
    up_for: Vec<u8>,
    /// Half leases since each acceptor stopped.
    down_for: Vec<u8>,
    /// Half leases since the last fault.
    undisturbed_for: u8,
    toggles_left: u8,
    losses_left: u8,
    steps_left: u8,
    /// Whether a shard was yielded to an acceptor that had not settled.
    yielded_early: bool,
}

fn settings(id: usize) -> Settings {
    let acceptors = (0..ACCEPTORS as u16).collect();
    Settings { self_id: id as u16, gateways: 9, acceptors, lease: LEASE, drift_bound: 0.0, max_delay: 10 }
}

impl Fleet {
    /// Half a lease passes: heartbeats are exchanged, except those of the `lost` acceptor, and shards get new
    /// holders.
    fn pass_half_lease(&mut self, lost: Option<usize>) {
        self.now += LEASE / 2;
        for from in 0..ACCEPTORS {
            let Some(placement) = &mut self.placements[from] else { continue };
            let to = placement.due_heartbeats(self.now);
            if lost == Some(from) {
                continue;
            }
            for to in to {
                if let Some(other) = &mut self.placements[usize::from(to)] {
                    other.on_heartbeat(self.now, from as u16);
                }
            }
        }
        for shard in 0..usize::from(SHARDS) {
            self.yield_shard(shard);
            self.assign_shard(shard);
        }
    }

    /// Frees a shard whose holder should yield it.
    fn yield_shard(&mut self, shard: usize) {
        let Some(holder) = self.holders[shard] else { return };
        let Some(placement) = &self.placements[holder] else { return };
        if placement.should_yield(self.now, shard as u16) {
            // The acceptors that it yields to precede it in the shard's order of preference.
            let preferred =
                (0..ACCEPTORS).map(|rank| (shard + rank) % ACCEPTORS).take_while(|one| *one != holder);
            // An acceptor that has just stopped may not be known to be down.
            let may_be_up = |one: usize| self.placements[one].is_some() || self.down_for[one] <= 2;
            let has_settled = |one: usize| may_be_up(one) && self.up_for[one] >= SETTLING_HALF_LEASES;
            self.yielded_early |= !preferred.into_iter().any(has_settled);
            self.holders[shard] = None;
        }
    }

    /// Gives a free shard to an acceptor that campaigns for it.
    fn assign_shard(&mut self, shard: usize) {
        if self.holders[shard].is_some() {
            return;
        }
        let campaigns = |one: &usize| {
            let placement = self.placements[*one].as_ref();
            placement.is_some_and(|placement| placement.should_campaign(self.now, shard as u16))
        };
        self.holders[shard] = (0..ACCEPTORS).rev().find(campaigns);
    }
}

impl World for Fleet {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[ORPHANED, RETURNED, YIELDED_TO_SETTLED];

    fn steps(&self) -> Vec<Step> {
        if self.steps_left == 0 {
            return Vec::new();
        }
        let mut steps = vec![Step::Pass(None)];
        if self.toggles_left > 0 {
            steps.extend((0..ACCEPTORS).map(Step::Toggle));
        }
        if self.losses_left > 0 {
            steps.extend((0..ACCEPTORS).map(|one| Step::Pass(Some(one))));
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Toggle(one) => {
                self.toggles_left -= 1;
                self.undisturbed_for = 0;
                match self.placements[one].take() {
                    // The leases of a stopped acceptor expire.
                    Some(_) => {
                        self.down_for[one] = 0;
                        let owned = self.holders.iter_mut().filter(|holder| **holder == Some(one));
                        owned.for_each(|holder| *holder = None);
                    }
                    None => {
                        self.up_for[one] = 0;
                        self.placements[one] = Some(Placement::new(&settings(one), SHARDS, self.now));
                    }
                }
            }
            Step::Pass(lost) => {
                self.steps_left -= 1;
                self.losses_left -= u8::from(lost.is_some());
                self.undisturbed_for = if lost.is_some() { 0 } else { self.undisturbed_for + 1 };
                self.pass_half_lease(lost);
                for one in 0..ACCEPTORS {
                    let counter = if self.placements[one].is_some() {
                        &mut self.up_for[one]
                    } else {
                        &mut self.down_for[one]
                    };
                    *counter = (*counter + 1).min(2 * FAILOVER_LEASES);
                }
            }
        }
    }

    fn describe(&self, step: &Step) -> String {
        match step {
            Step::Toggle(one) if self.placements[*one].is_some() => format!("acceptor {one} stops"),
            Step::Toggle(one) => format!("acceptor {one} restarts"),
            Step::Pass(None) => "half a lease passes".into(),
            Step::Pass(Some(one)) => {
                format!("half a lease passes, and the heartbeats of acceptor {one} are lost")
            }
        }
    }

    fn violated(&self) -> Option<&'static str> {
        let up = self.placements.iter().filter(|one| one.is_some()).count();
        if self.yielded_early {
            return Some(YIELDED_TO_SETTLED);
        }
        if up == 0 || self.undisturbed_for < 2 * FAILOVER_LEASES {
            return None;
        }
        if self.holders.iter().any(Option::is_none) {
            return Some(ORPHANED);
        }
        let first = |(shard, holder): (usize, &Option<usize>)| *holder == Some(shard % ACCEPTORS);
        (up == ACCEPTORS && !self.holders.iter().enumerate().all(first)).then_some(RETURNED)
    }
}

/// Runs the model.
pub fn run(size: Size, path: &[String]) -> Report {
    let large = u8::from(size == Size::Large);
    let start = Fleet {
        now: 100_000,
        placements: (0..ACCEPTORS).map(|id| Some(Placement::new(&settings(id), SHARDS, 100_000))).collect(),
        holders: vec![None; usize::from(SHARDS)],
        up_for: vec![0; ACCEPTORS],
        down_for: vec![0; ACCEPTORS],
        undisturbed_for: 0,
        toggles_left: 2 + large,
        losses_left: 1 + large,
        steps_left: 22 + 4 * large,
        yielded_early: false,
    };
    check(start, path)
}
