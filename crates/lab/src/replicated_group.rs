//! An emulated group: one log, its primary, and replicas that apply it late, slowly, or from an old copy.

use petrelgauge::Time;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};

/// Span in which a repeat with the same key is dropped (microseconds).
const DEDUP: Time = 5_000_000;
/// How much faster than the clock a replica that fell behind applies the log.
const CATCH_UP: f64 = 3.0;

/// What a member is, and what it takes itself for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberRole {
    /// It leads.
    Primary,
    /// It follows.
    Replica,
    /// It led, and does not know yet that it no longer does: it stands where the log was then.
    DeposedPrimary(Time),
}

/// A member of the group.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name in the register; a replaced one has another.
    pub name: String,
    /// When it last started (microseconds); 0 for long ago.
    pub started: Time,
    /// What it is.
    pub part: MemberRole,
    /// It answers nothing until this is over.
    pub hung: bool,
    /// It applies the log so many times more slowly.
    pub slow: f64,
    applied: f64,
    ship: Time,
    looked: Time,
}

/// A version of a row.
#[derive(Clone, Copy, Debug)]
struct Version {
    commit: Time,
    number: u64,
}

/// One group.
pub struct Group {
    /// Its number.
    pub id: u64,
    /// Its members.
    pub members: Vec<Member>,
    rows: HashMap<u64, Vec<Version>>,
    keys: HashMap<String, Version>,
    next: u64,
    last_commit: Time,
    /// Where the log ends while nobody leads.
    stands: Option<Time>,
    /// Versions that a take-over lost.
    pub lost: BTreeMap<u64, Time>,
}

impl Group {
    /// A group of so many members; the first leads. Replicas get the log after 4.9 to 14 ms.
    pub fn new(id: u64, members: usize, now: Time, rng: &mut Pcg64Mcg) -> Group {
        let member = |place: usize| Member {
            name: format!("g{id}m{place}"),
            started: 0,
            part: if place == 0 { MemberRole::Primary } else { MemberRole::Replica },
            hung: false,
            slow: 1.0,
            applied: (now - 20_000) as f64,
            ship: rng.random_range(4_900..14_000),
            looked: now,
        };
        Group {
            id,
            members: (0..members).map(member).collect(),
            rows: HashMap::new(),
            keys: HashMap::new(),
            next: 1,
            last_commit: 0,
            stands: None,
            lost: BTreeMap::new(),
        }
    }

    /// Who leads, if anyone does.
    pub fn leader(&self) -> Option<usize> {
        self.members.iter().position(|member| member.part == MemberRole::Primary && self.stands.is_none())
    }

    /// Clock time up to which a member holds all commits.
    pub fn position(&mut self, place: usize, now: Time) -> Time {
        let log = self.stands.unwrap_or(now);
        let member = &mut self.members[place];
        match member.part {
            MemberRole::Primary => log,
            MemberRole::DeposedPrimary(at) => at,
            MemberRole::Replica => {
                let goal = (log - member.ship) as f64;
                let pace = if member.slow > 1.0 { 1.0 / member.slow } else { CATCH_UP };
                let most = member.applied + (now - member.looked).max(0) as f64 * pace;
                member.applied = most.min(goal).max(member.applied);
                member.looked = now;
                member.applied as Time
            }
        }
    }

    /// A read: the version of the row at the member's position, and that position.
    pub fn read(&mut self, place: usize, row: u64, now: Time) -> (u64, Time) {
        let position = self.position(place, now);
        let versions = self.rows.get(&row).map_or(&[][..], Vec::as_slice);
        let seen = versions.partition_point(|version| version.commit <= position);
        (seen.checked_sub(1).map_or(0, |last| versions[last].number), position)
    }

    /// A write at the leader: the version and its commit. A repeat with the same key is dropped.
    pub fn write(&mut self, row: u64, key: &str, now: Time) -> (u64, Time) {
        if let Some(known) = self.keys.get(key).filter(|known| now - known.commit < DEDUP) {
            return (known.number, known.commit);
        }
        self.last_commit = now.max(self.last_commit + 1);
        let version = Version { commit: self.last_commit, number: self.next };
        self.next += 1;
        self.rows.entry(row).or_default().push(version);
        if self.keys.len() > 20_000 {
            self.keys.retain(|_, known| now - known.commit < DEDUP);
        }
        self.keys.insert(key.to_string(), version);
        (version.number, version.commit)
    }

    /// When a version was committed; 0 for none.
    pub fn commit_of(&self, row: u64, number: u64) -> Time {
        let versions = self.rows.get(&row).map_or(&[][..], Vec::as_slice);
        versions.iter().rev().find(|version| version.number == number).map_or(0, |version| version.commit)
    }

    /// The leader hangs: the log stands from now on.
    pub fn hang(&mut self, now: Time) -> Option<usize> {
        let leader = self.leader()?;
        for place in 0..self.members.len() {
            self.position(place, now);
        }
        self.members[leader].hung = true;
        self.stands = Some(now);
        Some(leader)
    }

    /// The replica with most of the log takes over; what it lacks is lost. The old leader goes on believing.
    pub fn take_over(&mut self, now: Time) {
        let Some(stood) = self.stands else { return };
        let positions: Vec<Time> = (0..self.members.len()).map(|place| self.position(place, now)).collect();
        let follows = |place: &usize| self.members[*place].part == MemberRole::Replica;
        let Some(next) = (0..positions.len()).filter(follows).max_by_key(|place| positions[*place]) else {
            return;
        };
        for versions in self.rows.values_mut() {
            let kept = versions.partition_point(|version| version.commit <= positions[next]);
            self.lost.extend(versions.drain(kept..).map(|version| (version.number, version.commit)));
        }
        let lost = &self.lost;
        self.keys.retain(|_, version| !lost.contains_key(&version.number));
        for member in &mut self.members {
            if member.part == MemberRole::Primary {
                member.part = MemberRole::DeposedPrimary(stood);
            }
        }
        self.members[next].part = MemberRole::Primary;
        // Commits go on after all that was ever told.
        self.last_commit = self.last_commit.max(stood);
        self.stands = None;
    }

    /// The old leader answers again, still believing.
    pub fn wake(&mut self, place: usize) {
        self.members[place].hung = false;
    }

    /// The old leader learns that it follows: it goes on from where it stood.
    pub fn demote(&mut self, place: usize, now: Time) {
        if let MemberRole::DeposedPrimary(at) = self.members[place].part {
            let member = &mut self.members[place];
            (member.part, member.applied, member.looked) = (MemberRole::Replica, at as f64, now);
        }
    }

    /// A replica is replaced by a machine with an old copy, under a new name.
    pub fn replace(&mut self, place: usize, age: Time, now: Time) {
        let member = &mut self.members[place];
        member.name = format!("{}x", member.name);
        (member.started, member.applied, member.looked) = (now, (now - age) as f64, now);
    }

    /// All replicas apply so many times more slowly from now on.
    pub fn slow(&mut self, factor: f64, now: Time) {
        for place in 0..self.members.len() {
            self.position(place, now);
            self.members[place].slow = factor;
        }
    }
}
