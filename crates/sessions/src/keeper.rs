//! The keeper of all sessions of one instance: what a read needs, what an answer proves, what others are told.

use crate::bulletin::{Bulletin, BulletinError};
use crate::coverage::Coverage;
use crate::mark::{Key, Mark};
use crate::memory::Memory;
use crate::outbox::Outbox;
#[cfg(doc)]
use crate::settings::MOST_CLOCK_ERROR;
use crate::settings::{Promise, Settings, SettingsError, Told};
use crate::snapshot::Snapshot;
use crate::token::{Token, TokenError, FRESH};
use petrelgauge_policy::{mutant, GroupId, Mutant, Role, Time};
use std::collections::BTreeMap;

/// Groups whose marks are exchanged, at most. A read of a further group is asked for all before its arrival.
pub const MOST_GROUPS: usize = 1024;
/// Paces that a missing interval is waited for.
const PATIENCE: Time = 3;

/// What a read of a session needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Floor {
    /// When the read came.
    pub arrived: Time,
    /// What is known: the session's marks from all sources, and what bounds those that are not known one by one.
    pub known: Time,
    /// Set where something may have been acknowledged that is not known: all that was committed before this.
    pub open: Option<Time>,
    /// What a write of the session may have made that is under way, or 0.
    pub under_way: Time,
    /// What the need rests on.
    pub source: Source,
}

/// What a floor rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The client's token.
    Token,
    /// This instance's memory: the session was nowhere else.
    Memory,
    /// The other instances: they have told all that they made before the read came.
    Peers,
    /// Nothing that covers the session: all that was committed before the read came.
    Open,
}

impl Floor {
    /// The position that the data read must have reached.
    pub fn need(&self) -> Time {
        self.known.max(self.open.unwrap_or(0)).max(self.under_way)
    }

    /// The same, with a write under way that may have been committed up to then.
    pub fn with_write(self, up_to: Time) -> Floor {
        Floor { under_way: self.under_way.max(up_to), ..self }
    }
}

/// What an answer proves of a floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The data holds all that the session must see.
    Proven,
    /// It may not: the answer must not be given.
    Behind,
}

/// How often what happened. Plain counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads asked for with a token that covered them.
    pub by_token: u64,
    /// Reads that this instance's memory covered.
    pub by_memory: u64,
    /// Reads that the others' bulletins covered at once.
    pub by_peers: u64,
    /// Reads asked for all that was committed before they came.
    pub open: u64,
    /// Of these, lowered while they waited.
    pub settled: u64,
    /// Answers that did not prove their floor and were not given.
    pub behind: u64,
    /// Tokens too old to stand for all that their session did.
    pub old_tokens: u64,
    /// Tokens with marks ahead of the clock.
    pub early_tokens: u64,
    /// Bulletins written.
    pub told: u64,
    /// Bulletins read.
    pub heard: u64,
    /// Datagrams that could not be used.
    pub bad_bulletins: u64,
}

impl std::fmt::Display for Counts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Counts { by_token, by_memory, by_peers, open, settled, behind, .. } = self;
        let Counts { old_tokens, early_tokens, told, heard, bad_bulletins, .. } = self;
        write!(f, "sessions: by_token={by_token} by_memory={by_memory} by_peers={by_peers} open={open} ")?;
        write!(f, "settled={settled} behind={behind} old_tokens={old_tokens} early_tokens={early_tokens} ")?;
        write!(f, "bulletins_told={told} bulletins_heard={heard} bad_bulletins={bad_bulletins}")
    }
}

/// All that one instance knows of sessions. Has no clock: every call is told the time. A time that lies a little
/// before the last one does no harm.
#[derive(Clone, Debug)]
pub struct Keeper {
    set: Settings,
    epoch: Time,
    /// Marks made here up to then may be lost; 0 if none are.
    lost: Time,
    /// Bound of marks that a clean snapshot left out.
    base: Time,
    memory: Memory,
    groups: BTreeMap<GroupId, Group>,
    told_at: Time,
    /// Latest time that it was told.
    latest: Time,
    counts: Counts,
}

#[derive(Clone, Debug)]
struct Group {
    outbox: Outbox,
    /// By the number of the instance; this one's own place is never used.
    others: Vec<Coverage>,
}

impl Group {
    /// Nothing was made or heard since `start`.
    fn new(id: GroupId, start: Time, others: usize) -> Group {
        Group { outbox: Outbox::new(id, start), others: vec![Coverage::default(); others] }
    }
}

impl Keeper {
    /// A keeper that starts now and knows nothing: whatever was acknowledged before is taken to be lost.
    pub fn new(settings: Settings, now: Time) -> Result<Keeper, SettingsError> {
        settings.check()?;
        Ok(Keeper {
            memory: Memory::new(settings.exact, settings.cells, settings.secret),
            set: settings,
            epoch: now,
            lost: if mutant(Mutant::LossForgotten) { 0 } else { now },
            base: 0,
            groups: BTreeMap::new(),
            told_at: now,
            latest: now,
            counts: Counts::default(),
        })
    }

    /// A keeper that starts now with what a snapshot kept. Its marks hold whatever its age; what was made after it
    /// is lost unless it is clean. One from the future was made by another clock and is left alone.
    pub fn restore(settings: Settings, now: Time, snapshot: &Snapshot) -> Result<Keeper, SettingsError> {
        let mut keeper = Keeper::new(settings, now)?;
        if snapshot.taken <= now {
            for (key, entry) in snapshot.entries.iter().rev() {
                keeper.memory.join(*key, entry.mark, entry.seen.min(snapshot.taken));
            }
            if snapshot.clean {
                (keeper.lost, keeper.base) = (snapshot.lost.min(now), snapshot.base);
            }
        }
        Ok(keeper)
    }

    /// The clock that times are told by was wrong, and shows `now` from here on. Whatever is known of sessions is kept and
    /// taken for incomplete; what the other instances told of their times is asked for anew.
    pub fn restart(&mut self, now: Time) {
        self.memory.doubt(self.ceiling(now));
        let others = usize::from(self.set.instances);
        // They stay served here: the others wait to be told of them.
        self.groups.iter_mut().for_each(|(id, group)| *group = Group::new(*id, now, others));
        self.base = self.base.min(now);
        (self.epoch, self.lost, self.told_at, self.latest) = (now, now, now, now);
    }

    /// The marks of this moment. `clean` says that nothing is answered any more.
    pub fn snapshot(&self, now: Time, clean: bool) -> Snapshot {
        let base = self.base.max(self.memory.highest_evicted().floor(self.set.promise));
        Snapshot { taken: now, clean, lost: self.lost, base, entries: self.memory.iter().collect() }
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What is remembered here.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// A group is served here: from now on the others are told of it, also that nothing was made. Without that an
    /// instance that is quiet in a group would keep all others from ever knowing enough of it.
    pub fn serve(&mut self, group: GroupId) {
        if self.due().is_some() {
            self.group(group);
        }
    }

    /// The key of a session by its name.
    pub fn key(&self, group: GroupId, name: &str) -> Key {
        Key::new(self.set.secret, group, name)
    }

    /// Reads a client's token for this session. What cannot be used is an error, never a low floor.
    pub fn take_token(&self, now: Time, text: &str, key: Key) -> Result<Token, TokenError> {
        if !self.set.tokens {
            return Err(TokenError::Off);
        }
        if text == FRESH {
            return Ok(Token::fresh(key, now));
        }
        let token = Token::read(text, self.set.secret)?;
        token.fits(key).map(|()| token)
    }

    /// The token that goes with an answer of this session.
    pub fn token(&self, now: Time, key: Key) -> Option<String> {
        let mark = self.memory.get(key).mark;
        self.set.tokens.then(|| Token { key, mark, issued: now }.write(self.set.secret))
    }

    /// A client brought a token, with a read or a write: the answer's token takes its place. A forged one raises
    /// what its own session must see, to this moment at most, and nothing else.
    pub fn bring(&mut self, now: Time, key: Key, token: &Token) -> Mark {
        let ceiling = self.ceiling(now);
        let mark = token.mark.at_most(ceiling);
        self.counts.early_tokens += u64::from(mark != token.mark || token.issued > ceiling);
        self.memory.join(key, mark, 0)
    }

    /// What a read needs that has just come.
    pub fn ask(&mut self, now: Time, key: Key, token: Option<&Token>) -> Floor {
        if let Some(token) = token {
            let known = self.bring(now, key, token).floor(self.set.promise);
            if now - token.issued <= self.set.token_age && token.issued <= self.ceiling(now) {
                self.counts.by_token += 1;
                return Floor { arrived: now, known, open: None, under_way: 0, source: Source::Token };
            }
            self.counts.old_tokens += 1;
        }
        let floor = self.floor(now, key);
        match floor.source {
            Source::Token => {}
            Source::Memory => self.counts.by_memory += 1,
            Source::Peers => self.counts.by_peers += 1,
            Source::Open => self.counts.open += 1,
        }
        floor
    }

    /// Looks again at a read that waits: what it needs if that is less by now.
    pub fn settle(&mut self, now: Time, key: Key, floor: &Floor) -> Option<Floor> {
        if floor.source != Source::Open {
            return None;
        }
        self.expire(now);
        let again = self.floor(floor.arrived, key).with_write(floor.under_way);
        (again.need() < floor.need()).then(|| {
            self.counts.settled += 1;
            again
        })
    }

    /// What an answer with this position proves. A primary's position is read a moment before its answer, by a
    /// clock that may differ, and so it is given that much. One that was deposed stands where its log ended, and
    /// whatever it lacks was committed after the take-over: later by more than [`MOST_CLOCK_ERROR`] allows. `before` is the highest position that the host had told when
    /// the read was sent: positions never go back.
    pub fn judge(
        &mut self,
        floor: &Floor,
        position: Option<Time>,
        before: Option<Time>,
        role: Option<Role>,
    ) -> Verdict {
        let position = match (self.set.told, role) {
            (Told::WithRead, _) | (_, Some(Role::Primary)) => position,
            (Told::WithAnswer, _) => before,
        };
        let slack = match role {
            Some(Role::Primary) => 2 * self.set.clock_error + self.set.granule,
            _ => 0,
        };
        let untold = position.is_none() && !self.set.positions;
        match position {
            Some(position) if position + slack >= floor.need() => Verdict::Proven,
            _ if floor.need() == 0 => Verdict::Proven,
            _ if untold && (self.set.checks || role == Some(Role::Primary)) => Verdict::Proven,
            _ if mutant(Mutant::BehindGiven) => Verdict::Proven,
            _ => {
                self.counts.behind += 1;
                Verdict::Behind
            }
        }
    }

    /// A read of the session is answered from data that proved its floor.
    pub fn read(&mut self, now: Time, key: Key, floor: &Floor, position: Time) {
        let mark = match self.set.promise {
            // What it must see of its own writes is in what it read.
            Promise::Writes => Mark { wrote: floor.need().min(position + self.set.granule), read: 0 },
            // The position was rounded down: what was read may be newer by a step.
            Promise::WritesAndReads => Mark {
                wrote: 0,
                read: (position + self.set.granule).min(self.ceiling(now) + self.set.granule),
            },
        };
        self.made(now, key, mark, floor.arrived);
    }

    /// A write that came at `arrived` is answered as served with this commit, if it was told.
    pub fn wrote(&mut self, now: Time, key: Key, arrived: Time, commit: Option<Time>) {
        let wrote = commit.unwrap_or(self.ceiling(now)).min(self.ceiling(now) + self.set.granule);
        // The log goes on from what the session did before, and so does its clock, if there is but one.
        let seen = if self.set.clock_error == 0 { arrived } else { 0 };
        self.made(now, key, Mark { wrote, read: 0 }, seen);
    }

    /// An attempt of a write ended without an answer that its client can trust. If it has run, it was committed
    /// before now; if it runs later, nobody was told of it.
    pub fn unsure(&mut self, now: Time, key: Key) {
        let wrote = self.ceiling(now);
        self.made(now, key, Mark { wrote, read: 0 }, 0);
    }

    /// A datagram came.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) -> Result<(), BulletinError> {
        let heard = self.hear(now, bytes);
        match heard {
            Ok(()) => self.counts.heard += 1,
            Err(_) => self.counts.bad_bulletins += 1,
        }
        heard
    }

    /// Datagrams that are due now, each for every other instance. Call again at [`Keeper::due`].
    pub fn tell(&mut self, now: Time) -> Vec<Vec<u8>> {
        if self.due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        (self.told_at, self.latest) = (now, self.latest.max(now));
        self.expire(now);
        let Settings { me, promise, secret, .. } = self.set;
        let epoch = self.epoch;
        let told = self.groups.values_mut().map(|group| group.outbox.tell(now, me, epoch, promise));
        let told: Vec<Vec<u8>> = told.map(|bulletin| bulletin.write(secret)).collect();
        self.counts.told += told.len() as u64;
        told
    }

    /// When the next datagrams are due, if there are others to tell.
    pub fn due(&self) -> Option<Time> {
        (self.set.roams && self.set.instances > 1).then(|| self.told_at + self.set.pace)
    }

    /// Gaps in what others told, closed by a blanket, in all groups.
    pub fn holes(&self) -> u64 {
        self.groups.values().flat_map(|group| &group.others).map(Coverage::holes).sum()
    }

    /// Entries about other instances, over all groups.
    pub fn entries(&self) -> usize {
        self.groups.values().map(|group| group.others.len()).sum()
    }

    fn ceiling(&self, now: Time) -> Time {
        now + self.set.clock_error
    }

    fn made(&mut self, now: Time, key: Key, mark: Mark, seen: Time) {
        // A mark must not fall into an interval that was told already.
        self.latest = self.latest.max(now);
        let (now, mark) = (self.latest, self.memory.join(key, mark, seen));
        let promise = self.set.promise;
        if self.due().is_some() {
            if let Some(group) = self.group(key.group) {
                group.outbox.push(now, key.name, mark, promise);
            }
        }
    }

    fn group(&mut self, id: GroupId) -> Option<&mut Group> {
        let (start, others) = (self.epoch, usize::from(self.set.instances));
        if self.groups.len() >= MOST_GROUPS && !self.groups.contains_key(&id) {
            return None;
        }
        Some(self.groups.entry(id).or_insert_with(|| Group::new(id, start, others)))
    }

    fn hear(&mut self, now: Time, bytes: &[u8]) -> Result<(), BulletinError> {
        let bulletin = Bulletin::read(bytes, self.set.secret)?;
        // What claims to know the future would pass for knowledge of what has not happened yet.
        if bulletin.until > self.ceiling(now) {
            return Err(BulletinError::Interval);
        }
        if bulletin.instance >= self.set.instances || bulletin.instance == self.set.me {
            return Err(BulletinError::Instance);
        }
        let ceiling = self.ceiling(self.ceiling(now)) + self.set.granule;
        for (name, mark) in &bulletin.lines {
            self.memory.join(Key { group: bulletin.group, name: *name }, mark.at_most(ceiling), 0);
        }
        let place = usize::from(bulletin.instance);
        if let Some(coverage) = self.group(bulletin.group).and_then(|group| group.others.get_mut(place)) {
            coverage.hear(now, bulletin.epoch, bulletin.from, bulletin.until, bulletin.base);
        }
        Ok(())
    }

    fn expire(&mut self, now: Time) {
        let patience = PATIENCE * self.set.pace;
        let all = self.groups.values_mut().flat_map(|group| &mut group.others);
        all.for_each(|coverage| coverage.expire(now, patience));
    }

    /// The floor of a read without a token that came at `arrived`, by what is known now.
    fn floor(&self, arrived: Time, key: Key) -> Floor {
        let entry = self.memory.get(key);
        let error = self.set.clock_error;
        let mut known = entry.mark.floor(self.set.promise).max(self.base);
        if !self.set.conservative {
            return Floor { arrived, known, open: None, under_way: 0, source: Source::Memory };
        }
        // What was made here and is lost was committed before this run began.
        if entry.seen < self.lost {
            known = known.max(self.ceiling(self.lost));
        }
        if !self.set.roams {
            return Floor { arrived, known, open: None, under_way: 0, source: Source::Memory };
        }
        let open =
            Floor { arrived, known, open: Some(self.ceiling(arrived)), under_way: 0, source: Source::Open };
        let Some(group) = self.groups.get(&key.group) else { return open };
        if self.set.instances < 2 {
            return open;
        }
        let me = usize::from(self.set.me);
        for (_, other) in group.others.iter().enumerate().filter(|(place, _)| *place != me) {
            // Its clock may be ahead of this one.
            if other.until() - error < arrived {
                return open;
            }
            known = known.max(other.base());
            if entry.seen - error < other.blanket() {
                known = known.max(other.blanket() + error);
            }
        }
        Floor { arrived, known, open: None, under_way: 0, source: Source::Peers }
    }
}
