//! Model `placement`: three acceptors and three shards of a role; acceptors go and come back, heartbeats are lost, time
//! passes. Each acceptor's placement is the gateway's; who owns a shard is kept by the world as leases would have it: one at
//! a time, and one that yields or goes leaves it free.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_ownership::{Placement, Settings};
use petrelgauge_policy::Time;

const ORPHANED: &str = "a shard whose holder is gone for good has another one";
const RETURNED: &str = "once all acceptors have been up for long each shard has its first choice";
const STEADY: &str = "a shard is given up only for one that has stayed";

const ACCEPTORS: usize = 3;
const SHARDS: u16 = 3;
const LEASE: Time = 1_000;
/// Leases after which everything is as it should be: absent, wanted, won.
const SETTLED: u8 = 6;
/// Half leases after which one has stayed.
const STAYED: u8 = 4;

/// An event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// An acceptor stops, or starts anew.
    Toggle(usize),
    /// Half a lease passes; the heartbeats of this acceptor are lost meanwhile, of nobody's if it is none.
    Pass(Option<usize>),
}

#[derive(Clone, Debug)]
struct Fleet {
    now: Time,
    placements: Vec<Option<Placement>>,
    /// Who owns each shard.
    holders: Vec<Option<usize>>,
    /// Half leases that this acceptor has been up for, or was when it stopped.
    steady: Vec<u8>,
    /// Half leases since it stopped.
    gone: Vec<u8>,
    /// Half leases since anything but time happened.
    quiet: u8,
    toggles: u8,
    losses: u8,
    steps: u8,
    hasty: bool,
}

fn settings(me: usize) -> Settings {
    let acceptors = (0..ACCEPTORS as u16).collect();
    Settings { self_id: me as u16, gateways: 9, acceptors, lease: LEASE, drift_bound: 0.0, max_delay: 10 }
}

impl Fleet {
    fn admit(&mut self, unheard: Option<usize>) {
        self.now += LEASE / 2;
        for from in 0..ACCEPTORS {
            let Some(placement) = &mut self.placements[from] else { continue };
            let to = placement.due_heartbeats(self.now);
            if unheard == Some(from) {
                continue;
            }
            for to in to {
                if let Some(other) = &mut self.placements[usize::from(to)] {
                    other.on_heartbeat(self.now, from as u16);
                }
            }
        }
        for shard in 0..usize::from(SHARDS) {
            self.release(shard);
            self.take(shard);
        }
    }

    /// A lease holder that yields gives its shard up.
    fn release(&mut self, shard: usize) {
        let Some(holder) = self.holders[shard] else { return };
        let Some(placement) = &self.placements[holder] else { return };
        if placement.should_yield(self.now, shard as u16) {
            // Whoever it yields to stands before it in the shard's order.
            let before =
                (0..ACCEPTORS).map(|place| (shard + place) % ACCEPTORS).take_while(|one| *one != holder);
            // One that has just stopped was there a moment ago.
            let there = |one: usize| self.placements[one].is_some() || self.gone[one] <= 2;
            let stayed = before.into_iter().any(|one| there(one) && self.steady[one] >= STAYED);
            self.hasty |= !stayed;
            self.holders[shard] = None;
        }
    }

    /// A free shard goes to one that wants it.
    fn take(&mut self, shard: usize) {
        if self.holders[shard].is_some() {
            return;
        }
        let wants = |one: &usize| {
            let placement = self.placements[*one].as_ref();
            placement.is_some_and(|placement| placement.should_campaign(self.now, shard as u16))
        };
        self.holders[shard] = (0..ACCEPTORS).rev().find(wants);
    }
}

impl World for Fleet {
    type Move = Move;

    const PROPERTIES: &'static [&'static str] = &[ORPHANED, RETURNED, STEADY];

    fn moves(&self) -> Vec<Move> {
        if self.steps == 0 {
            return Vec::new();
        }
        let mut moves = vec![Move::Pass(None)];
        if self.toggles > 0 {
            moves.extend((0..ACCEPTORS).map(Move::Toggle));
        }
        if self.losses > 0 {
            moves.extend((0..ACCEPTORS).map(|one| Move::Pass(Some(one))));
        }
        moves
    }

    fn play(&mut self, event: &Move) {
        match *event {
            Move::Toggle(one) => {
                self.toggles -= 1;
                self.quiet = 0;
                match self.placements[one].take() {
                    // Its leases run out by themselves.
                    Some(_) => {
                        self.gone[one] = 0;
                        let owned = self.holders.iter_mut().filter(|holder| **holder == Some(one));
                        owned.for_each(|holder| *holder = None);
                    }
                    None => {
                        self.steady[one] = 0;
                        self.placements[one] = Some(Placement::new(&settings(one), SHARDS, self.now));
                    }
                }
            }
            Move::Pass(unheard) => {
                self.steps -= 1;
                self.losses -= u8::from(unheard.is_some());
                self.quiet = if unheard.is_some() { 0 } else { self.quiet + 1 };
                self.admit(unheard);
                for one in 0..ACCEPTORS {
                    let counter = if self.placements[one].is_some() {
                        &mut self.steady[one]
                    } else {
                        &mut self.gone[one]
                    };
                    *counter = (*counter + 1).min(2 * SETTLED);
                }
            }
        }
    }

    fn told(&self, event: &Move) -> String {
        match event {
            Move::Toggle(one) if self.placements[*one].is_some() => format!("acceptor {one} stops"),
            Move::Toggle(one) => format!("acceptor {one} starts anew"),
            Move::Pass(None) => "half a lease passes".into(),
            Move::Pass(Some(one)) => format!("half a lease passes, and nobody hears acceptor {one}"),
        }
    }

    fn broken(&self) -> Option<&'static str> {
        let up = self.placements.iter().filter(|one| one.is_some()).count();
        if self.hasty {
            return Some(STEADY);
        }
        if up == 0 || self.quiet < 2 * SETTLED {
            return None;
        }
        if self.holders.iter().any(Option::is_none) {
            return Some(ORPHANED);
        }
        let first = |(shard, holder): (usize, &Option<usize>)| *holder == Some(shard % ACCEPTORS);
        (up == ACCEPTORS && !self.holders.iter().enumerate().all(first)).then_some(RETURNED)
    }
}

/// Plays it.
pub fn run(size: Size, path: &[String]) -> Report {
    let large = u8::from(size == Size::Large);
    let start = Fleet {
        now: 100_000,
        placements: (0..ACCEPTORS).map(|me| Some(Placement::new(&settings(me), SHARDS, 100_000))).collect(),
        holders: vec![None; usize::from(SHARDS)],
        steady: vec![0; ACCEPTORS],
        gone: vec![0; ACCEPTORS],
        quiet: 0,
        toggles: 2 + large,
        losses: 1 + large,
        steps: 22 + 4 * large,
        hasty: false,
    };
    check(start, path)
}
