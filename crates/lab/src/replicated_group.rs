//! An emulated replicated group: one log, its primary, and replicas that apply it late, slowly, or from an old copy.

use petrelgauge::Time;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// How long a write's idempotency key is remembered (microseconds).
const DEDUPLICATION_WINDOW: Time = 5_000_000;
/// Idempotency keys that may be held before the expired ones are removed.
const MAX_KEYS: usize = 20_000;
/// How much faster than the clock a replica that fell behind applies the log.
const CATCH_UP_SPEED: f64 = 3.0;
/// How long the log takes to reach a replica (microseconds).
const REPLICATION_DELAY: Range<Time> = 4_900..14_000;
/// How far behind the clock replicas begin (microseconds).
const INITIAL_LAG: Time = 20_000;

/// The role of a member, as the member itself knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MemberRole {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
    /// A former primary that does not know yet of the failover: it holds the log up to this time.
    DeposedPrimary(Time),
}

/// A member of the group.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name in the endpoint list; a replaced member has another one.
    pub name: String,
    /// When it last started (microseconds); 0 for long ago.
    pub started: Time,
    /// Its role.
    pub role: MemberRole,
    /// It answers nothing while this is set.
    pub hung: bool,
    /// How many times more slowly than the clock it applies the log.
    slowdown: f64,
    applied: f64,
    replication_delay: Time,
    updated_at: Time,
}

/// A version of a row.
#[derive(Clone, Copy, Debug)]
pub struct Version {
    /// Its number, unique in the group; 0 for a row that was never written.
    pub number: u64,
    /// When it was committed (microseconds).
    pub committed_at: Time,
}

/// What a member shows to a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadResult {
    /// The number of the row's version.
    pub version: u64,
    /// The time up to which the member holds all commits.
    pub position: Time,
}

/// One replicated group.
pub struct Group {
    /// Its number.
    pub id: u64,
    /// Its members.
    pub members: Vec<Member>,
    rows: HashMap<u64, Vec<Version>>,
    idempotency_keys: HashMap<String, Version>,
    next_version: u64,
    last_commit: Time,
    /// Where the log ends while there is no primary.
    log_end: Option<Time>,
    /// Versions that a failover lost, and when they had been committed.
    pub lost_versions: BTreeMap<u64, Time>,
}

impl Group {
    /// A group whose first member is the primary.
    pub fn new(id: u64, members: usize, now: Time, rng: &mut Pcg64Mcg) -> Group {
        let member = |index: usize| Member {
            name: format!("g{id}m{index}"),
            started: 0,
            role: if index == 0 { MemberRole::Primary } else { MemberRole::Replica },
            hung: false,
            slowdown: 1.0,
            applied: (now - INITIAL_LAG) as f64,
            replication_delay: rng.random_range(REPLICATION_DELAY),
            updated_at: now,
        };
        Group {
            id,
            members: (0..members).map(member).collect(),
            rows: HashMap::new(),
            idempotency_keys: HashMap::new(),
            next_version: 1,
            last_commit: 0,
            log_end: None,
            lost_versions: BTreeMap::new(),
        }
    }

    /// The index of the primary, if there is one.
    pub fn primary(&self) -> Option<usize> {
        let is_primary = |member: &Member| member.role == MemberRole::Primary && self.log_end.is_none();
        self.members.iter().position(is_primary)
    }

    /// The time up to which a member holds all commits (microseconds).
    pub fn position(&mut self, member: usize, now: Time) -> Time {
        let log_end = self.log_end.unwrap_or(now);
        let member = &mut self.members[member];
        match member.role {
            MemberRole::Primary => log_end,
            MemberRole::DeposedPrimary(deposed_at) => deposed_at,
            MemberRole::Replica => {
                let received = (log_end - member.replication_delay) as f64;
                let speed = if member.slowdown > 1.0 { 1.0 / member.slowdown } else { CATCH_UP_SPEED };
                let elapsed = (now - member.updated_at).max(0) as f64;
                let reachable = member.applied + elapsed * speed;
                member.applied = reachable.min(received).max(member.applied);
                member.updated_at = now;
                member.applied as Time
            }
        }
    }

    /// Reads a row at a member.
    pub fn read(&mut self, member: usize, row: u64, now: Time) -> ReadResult {
        let position = self.position(member, now);
        let versions = self.versions(row);
        let visible = versions.partition_point(|version| version.committed_at <= position);
        let version = visible.checked_sub(1).map_or(0, |last| versions[last].number);
        ReadResult { version, position }
    }

    /// Writes a row at the primary. A repetition with the same idempotency key returns the first write's version.
    pub fn write(&mut self, row: u64, key: &str, now: Time) -> Version {
        let is_recent = |known: &Version| now - known.committed_at < DEDUPLICATION_WINDOW;
        if let Some(known) = self.idempotency_keys.get(key).filter(|known| is_recent(known)) {
            return *known;
        }
        self.last_commit = now.max(self.last_commit + 1);
        let version = Version { number: self.next_version, committed_at: self.last_commit };
        self.next_version += 1;
        self.rows.entry(row).or_default().push(version);
        if self.idempotency_keys.len() > MAX_KEYS {
            self.idempotency_keys.retain(|_, known| is_recent(known));
        }
        self.idempotency_keys.insert(key.to_string(), version);
        version
    }

    /// When a version of a row was committed (microseconds); 0 if there is no such version.
    pub fn commit_time(&self, row: u64, number: u64) -> Time {
        let mut newest_first = self.versions(row).iter().rev();
        newest_first.find(|version| version.number == number).map_or(0, |version| version.committed_at)
    }

    fn versions(&self, row: u64) -> &[Version] {
        self.rows.get(&row).map_or(&[], Vec::as_slice)
    }

    /// Hangs the primary: the log ends here until a failover. Returns the primary's index.
    pub fn hang_primary(&mut self, now: Time) -> Option<usize> {
        let primary = self.primary()?;
        for member in 0..self.members.len() {
            self.position(member, now);
        }
        self.members[primary].hung = true;
        self.log_end = Some(now);
        Some(primary)
    }

    /// Promotes the replica that holds most of the log; what it lacks is lost. The old primary does not notice.
    pub fn fail_over(&mut self, now: Time) {
        let Some(log_end) = self.log_end else { return };
        let positions: Vec<Time> = (0..self.members.len()).map(|member| self.position(member, now)).collect();
        let replicas =
            (0..positions.len()).filter(|member| self.members[*member].role == MemberRole::Replica);
        let Some(promoted) = replicas.max_by_key(|member| positions[*member]) else { return };
        self.discard_after(positions[promoted]);
        for member in &mut self.members {
            if member.role == MemberRole::Primary {
                member.role = MemberRole::DeposedPrimary(log_end);
            }
        }
        self.members[promoted].role = MemberRole::Primary;
        // New commits follow all that were ever announced.
        self.last_commit = self.last_commit.max(log_end);
        self.log_end = None;
    }

    /// Discards all versions that were committed after this position.
    fn discard_after(&mut self, position: Time) {
        for versions in self.rows.values_mut() {
            let kept = versions.partition_point(|version| version.committed_at <= position);
            let lost = versions.drain(kept..).map(|version| (version.number, version.committed_at));
            self.lost_versions.extend(lost);
        }
        let lost_versions = &self.lost_versions;
        self.idempotency_keys.retain(|_, version| !lost_versions.contains_key(&version.number));
    }

    /// Lets a hung member answer again; a deposed primary still takes itself for the primary.
    pub fn resume(&mut self, member: usize) {
        self.members[member].hung = false;
    }

    /// Makes a deposed primary a replica that continues from the end of its log.
    pub fn demote(&mut self, member: usize, now: Time) {
        let member = &mut self.members[member];
        if let MemberRole::DeposedPrimary(deposed_at) = member.role {
            member.role = MemberRole::Replica;
            member.applied = deposed_at as f64;
            member.updated_at = now;
        }
    }

    /// Replaces a member by a machine with a copy of this age, under a new name.
    pub fn replace(&mut self, member: usize, copy_age: Time, now: Time) {
        let member = &mut self.members[member];
        member.name.push('x');
        member.started = now;
        member.applied = (now - copy_age) as f64;
        member.updated_at = now;
    }

    /// Sets how many times more slowly than the clock all replicas apply the log from now on; 1 for the usual speed.
    pub fn set_slowdown(&mut self, slowdown: f64, now: Time) {
        for member in 0..self.members.len() {
            self.position(member, now);
            self.members[member].slowdown = slowdown;
        }
    }
}
