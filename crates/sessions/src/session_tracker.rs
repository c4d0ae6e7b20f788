//! The tracker of all sessions of one instance: what a read needs, what an answer proves, what others are told.

use crate::known_range::KnownRange;
use crate::outbox::Outbox;
use crate::session_memory::SessionMemory;
#[cfg(doc)]
use crate::settings::MAX_CLOCK_ERROR;
use crate::settings::{PositionScope, Promise, Settings, SettingsError};
use crate::snapshot::Snapshot;
use crate::token::{Token, TokenError, NEW_SESSION};
use crate::watermark::{SessionKey, Watermark};
use crate::watermark_broadcast::{BroadcastError, WatermarkBroadcast};
use petrelgauge_policy::{mutant, GroupId, Mutant, Role, Time};
use std::collections::BTreeMap;

/// Groups whose watermarks are exchanged, at most. A read of a further group is asked for all before its arrival.
pub const MAX_GROUPS: usize = 1024;
/// Paces that a missing interval is waited for.
const GAP_TIMEOUT_INTERVALS: Time = 3;

/// What a read of a session needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumPosition {
    /// When the read came.
    pub arrived: Time,
    /// What is known: the session's watermarks from all sources, and what bounds those that are not known one by one.
    pub known: Time,
    /// Set where something may have been acknowledged that is not known: all that was committed before this.
    pub unknown_until: Option<Time>,
    /// What a write of the session may have made that is under way, or 0.
    pub pending_write: Time,
    /// What the need rests on.
    pub source: PositionSource,
}

/// What a floor rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionSource {
    /// The client's token.
    Token,
    /// This instance's memory: the session was nowhere else.
    LocalMemory,
    /// The other instances: they have told all that they made before the read came.
    Peers,
    /// Nothing that covers the session: all that was committed before the read came.
    Unknown,
}

impl MinimumPosition {
    /// The position that the data read must have reached.
    pub fn position(&self) -> Time {
        self.known.max(self.unknown_until.unwrap_or(0)).max(self.pending_write)
    }

    /// The same, with a write under way that may have been committed up to then.
    pub fn with_pending_write(self, up_to: Time) -> MinimumPosition {
        MinimumPosition { pending_write: self.pending_write.max(up_to), ..self }
    }
}

/// What an answer proves of a floor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The data holds all that the session must see.
    Proven,
    /// It may not: the answer must not be given.
    Unproven,
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
    /// Tokens with watermarks ahead of the clock.
    pub early_tokens: u64,
    /// Broadcasts written.
    pub sent: u64,
    /// Broadcasts read.
    pub received: u64,
    /// Datagrams that could not be used.
    pub rejected: u64,
}

impl std::fmt::Display for Counts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Counts { by_token, by_memory, by_peers, open, settled, behind, .. } = self;
        let Counts { old_tokens, early_tokens, sent, received, rejected, .. } = self;
        write!(f, "sessions: by_token={by_token} by_memory={by_memory} by_peers={by_peers} open={open} ")?;
        write!(f, "settled={settled} behind={behind} old_tokens={old_tokens} early_tokens={early_tokens} ")?;
        write!(f, "broadcasts_sent={sent} broadcasts_received={received} broadcasts_rejected={rejected}")
    }
}

/// All that one instance knows of sessions. Has no clock: every call is told the time. A time that lies a little
/// before the last one does no harm.
#[derive(Clone, Debug)]
pub struct SessionTracker {
    settings: Settings,
    epoch: Time,
    /// Marks made here up to then may be lost; 0 if none are.
    lost_until: Time,
    /// Bound of watermarks that a clean snapshot left out.
    omitted_bound: Time,
    memory: SessionMemory,
    groups: BTreeMap<GroupId, GroupState>,
    sent_at: Time,
    /// Latest time that it was told.
    latest: Time,
    counts: Counts,
}

#[derive(Clone, Debug)]
struct GroupState {
    outbox: Outbox,
    /// By the number of the instance; this one's own place is never used.
    others: Vec<KnownRange>,
}

impl SessionTracker {
    /// A tracker that starts now and knows nothing: whatever was acknowledged before is taken to be lost.
    pub fn new(settings: Settings, now: Time) -> Result<SessionTracker, SettingsError> {
        settings.check()?;
        Ok(SessionTracker {
            memory: SessionMemory::new(settings.exact_sessions, settings.sketch_width, settings.secret),
            settings,
            epoch: now,
            lost_until: if mutant(Mutant::LossForgotten) { 0 } else { now },
            omitted_bound: 0,
            groups: BTreeMap::new(),
            sent_at: now,
            latest: now,
            counts: Counts::default(),
        })
    }

    /// A tracker that starts now with what a snapshot kept. Its watermarks hold whatever its age; what was made after it
    /// is lost unless it is clean. One from the future was made by another clock and is left alone.
    pub fn restore(
        settings: Settings,
        now: Time,
        snapshot: &Snapshot,
    ) -> Result<SessionTracker, SettingsError> {
        let mut tracker = SessionTracker::new(settings, now)?;
        if snapshot.taken_at <= now {
            for (key, entry) in snapshot.entries.iter().rev() {
                tracker.memory.join(*key, entry.watermark, entry.complete_until.min(snapshot.taken_at));
            }
            if snapshot.clean {
                (tracker.lost_until, tracker.omitted_bound) =
                    (snapshot.lost_until.min(now), snapshot.omitted_bound);
            }
        }
        Ok(tracker)
    }

    /// The watermarks of this moment. `clean` says that nothing is answered any more.
    pub fn snapshot(&self, now: Time, clean: bool) -> Snapshot {
        let omitted_bound =
            self.omitted_bound.max(self.memory.highest_evicted().required_position(self.settings.promise));
        Snapshot {
            taken_at: now,
            clean,
            lost_until: self.lost_until,
            omitted_bound,
            entries: self.memory.iter().collect(),
        }
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What is remembered here.
    pub fn memory(&self) -> &SessionMemory {
        &self.memory
    }

    /// A group is served here: from now on the others are told of it, also that nothing was made. Without that an
    /// instance that is quiet in a group would keep all others from ever knowing enough of it.
    pub fn track_group(&mut self, group: GroupId) {
        if self.next_broadcast_at().is_some() {
            self.group_state(group);
        }
    }

    /// The key of a session by its name.
    pub fn session_key(&self, group: GroupId, name: &str) -> SessionKey {
        SessionKey::new(self.settings.secret, group, name)
    }

    /// Reads a client's token for this session. What cannot be used is an error, never a low floor.
    pub fn parse_token(&self, now: Time, text: &str, key: SessionKey) -> Result<Token, TokenError> {
        if !self.settings.tokens {
            return Err(TokenError::Disabled);
        }
        if text == NEW_SESSION {
            return Ok(Token::new_session(key, now));
        }
        let token = Token::decode(text, self.settings.secret)?;
        token.check_session(key).map(|()| token)
    }

    /// The token that goes with an answer of this session.
    pub fn issue_token(&self, now: Time, key: SessionKey) -> Option<String> {
        let watermark = self.memory.get(key).watermark;
        self.settings.tokens.then(|| Token { key, watermark, issued_at: now }.encode(self.settings.secret))
    }

    /// A client brought a token, with a read or a write: the answer's token takes its place. A forged one raises
    /// what its own session must see, to this moment at most, and nothing else.
    pub fn merge_token(&mut self, now: Time, key: SessionKey, token: &Token) -> Watermark {
        let ceiling = self.ceiling(now);
        let watermark = token.watermark.capped_at(ceiling);
        self.counts.early_tokens += u64::from(watermark != token.watermark || token.issued_at > ceiling);
        self.memory.join(key, watermark, 0)
    }

    /// What a read needs that has just come.
    pub fn begin_read(&mut self, now: Time, key: SessionKey, token: Option<&Token>) -> MinimumPosition {
        if let Some(token) = token {
            let known = self.merge_token(now, key, token).required_position(self.settings.promise);
            if now - token.issued_at <= self.settings.token_age && token.issued_at <= self.ceiling(now) {
                self.counts.by_token += 1;
                return MinimumPosition {
                    arrived: now,
                    known,
                    unknown_until: None,
                    pending_write: 0,
                    source: PositionSource::Token,
                };
            }
            self.counts.old_tokens += 1;
        }
        let floor = self.current_minimum(now, key);
        match floor.source {
            PositionSource::Token => {}
            PositionSource::LocalMemory => self.counts.by_memory += 1,
            PositionSource::Peers => self.counts.by_peers += 1,
            PositionSource::Unknown => self.counts.open += 1,
        }
        floor
    }

    /// Looks again at a read that waits: what it needs if that is less by now.
    pub fn recheck_read(
        &mut self,
        now: Time,
        key: SessionKey,
        floor: &MinimumPosition,
    ) -> Option<MinimumPosition> {
        if floor.source != PositionSource::Unknown {
            return None;
        }
        self.expire_gaps(now);
        let again = self.current_minimum(floor.arrived, key).with_pending_write(floor.pending_write);
        (again.position() < floor.position()).then(|| {
            self.counts.settled += 1;
            again
        })
    }

    /// What an answer with this position proves. A primary's position is read a moment before its answer, by a
    /// clock that may differ, and so it is given that much. One that was deposed stands where its log ended, and
    /// whatever it lacks was committed after the take-over: later by more than [`MAX_CLOCK_ERROR`] allows. `before` is the highest position that the host had told when
    /// the read was sent: positions never go back.
    pub fn verify_answer(
        &mut self,
        floor: &MinimumPosition,
        position: Option<Time>,
        before: Option<Time>,
        role: Option<Role>,
    ) -> Verdict {
        let position = match (self.settings.position_scope, role) {
            (PositionScope::DataRead, _) | (_, Some(Role::Primary)) => position,
            (PositionScope::HostAtAnswer, _) => before,
        };
        let slack = match role {
            Some(Role::Primary) => 2 * self.settings.clock_error + self.settings.position_granularity,
            _ => 0,
        };
        let untold = position.is_none() && !self.settings.hosts_report_positions;
        match position {
            Some(position) if position + slack >= floor.position() => Verdict::Proven,
            _ if floor.position() == 0 => Verdict::Proven,
            _ if untold && (self.settings.hosts_enforce_positions || role == Some(Role::Primary)) => {
                Verdict::Proven
            }
            _ if mutant(Mutant::BehindGiven) => Verdict::Proven,
            _ => {
                self.counts.behind += 1;
                Verdict::Unproven
            }
        }
    }

    /// A read of the session is answered from data that proved its floor.
    pub fn record_read(&mut self, now: Time, key: SessionKey, floor: &MinimumPosition, position: Time) {
        let watermark = match self.settings.promise {
            // What it must see of its own writes is in what it read.
            Promise::Writes => Watermark {
                written: floor.position().min(position + self.settings.position_granularity),
                read: 0,
            },
            // The position was rounded down: what was read may be newer by a step.
            Promise::WritesAndReads => Watermark {
                written: 0,
                read: (position + self.settings.position_granularity)
                    .min(self.ceiling(now) + self.settings.position_granularity),
            },
        };
        self.record(now, key, watermark, floor.arrived);
    }

    /// A write that came at `arrived` is answered as served with this commit, if it was told.
    pub fn record_write(&mut self, now: Time, key: SessionKey, arrived: Time, commit: Option<Time>) {
        let wrote =
            commit.unwrap_or(self.ceiling(now)).min(self.ceiling(now) + self.settings.position_granularity);
        // The log goes on from what the session did before, and so does its clock, if there is but one.
        let complete_until = if self.settings.clock_error == 0 { arrived } else { 0 };
        self.record(now, key, Watermark { written: wrote, read: 0 }, complete_until);
    }

    /// An attempt of a write ended without an answer that its client can trust. If it has run, it was committed
    /// before now; if it runs later, nobody was told of it.
    pub fn record_unconfirmed_write(&mut self, now: Time, key: SessionKey) {
        let wrote = self.ceiling(now);
        self.record(now, key, Watermark { written: wrote, read: 0 }, 0);
    }

    /// A datagram came.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let heard = self.apply_broadcast(now, bytes);
        match heard {
            Ok(()) => self.counts.received += 1,
            Err(_) => self.counts.rejected += 1,
        }
        heard
    }

    /// Datagrams that are due now, each for every other instance. Call again at [`SessionTracker::next_broadcast_at`].
    pub fn due_broadcasts(&mut self, now: Time) -> Vec<Vec<u8>> {
        if self.next_broadcast_at().is_none_or(|due| now < due) {
            return Vec::new();
        }
        (self.sent_at, self.latest) = (now, self.latest.max(now));
        self.expire_gaps(now);
        let Settings { instance, promise, secret, .. } = self.settings;
        let epoch = self.epoch;
        let told =
            self.groups.values_mut().map(|group| group.outbox.next_broadcast(now, instance, epoch, promise));
        let told: Vec<Vec<u8>> = told.map(|broadcast| broadcast.encode(secret)).collect();
        self.counts.sent += told.len() as u64;
        told
    }

    /// When the next datagrams are due, if there are others to tell.
    pub fn next_broadcast_at(&self) -> Option<Time> {
        (self.settings.roams && self.settings.instances > 1)
            .then(|| self.sent_at + self.settings.broadcast_interval)
    }

    /// Gaps in what others told, closed by a blanket, in all groups.
    pub fn gaps(&self) -> u64 {
        self.groups.values().flat_map(|group| &group.others).map(KnownRange::gaps).sum()
    }

    /// Entries about other instances, over all groups.
    pub fn peer_entries(&self) -> usize {
        self.groups.values().map(|group| group.others.len()).sum()
    }

    fn ceiling(&self, now: Time) -> Time {
        now + self.settings.clock_error
    }

    fn record(&mut self, now: Time, key: SessionKey, watermark: Watermark, complete_until: Time) {
        // A watermark must not fall into an interval that was told already.
        self.latest = self.latest.max(now);
        let (now, watermark) = (self.latest, self.memory.join(key, watermark, complete_until));
        let promise = self.settings.promise;
        if self.next_broadcast_at().is_some() {
            if let Some(group) = self.group_state(key.group) {
                group.outbox.push(now, key.name_hash, watermark, promise);
            }
        }
    }

    fn group_state(&mut self, id: GroupId) -> Option<&mut GroupState> {
        let (start, others) = (self.epoch, usize::from(self.settings.instances));
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&id) {
            return None;
        }
        let blank =
            || GroupState { outbox: Outbox::new(id, start), others: vec![KnownRange::default(); others] };
        Some(self.groups.entry(id).or_insert_with(blank))
    }

    fn apply_broadcast(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let broadcast = WatermarkBroadcast::decode(bytes, self.settings.secret)?;
        // What claims to know the future would pass for knowledge of what has not happened yet.
        if broadcast.until > self.ceiling(now) {
            return Err(BroadcastError::InvalidInterval);
        }
        if broadcast.instance >= self.settings.instances || broadcast.instance == self.settings.instance {
            return Err(BroadcastError::UnknownInstance);
        }
        let ceiling = self.ceiling(self.ceiling(now)) + self.settings.position_granularity;
        for (name, watermark) in &broadcast.entries {
            self.memory.join(
                SessionKey { group: broadcast.group, name_hash: *name },
                watermark.capped_at(ceiling),
                0,
            );
        }
        let place = usize::from(broadcast.instance);
        if let Some(range) = self.group_state(broadcast.group).and_then(|group| group.others.get_mut(place)) {
            range.record_interval(
                now,
                broadcast.epoch,
                broadcast.from,
                broadcast.until,
                broadcast.omitted_bound,
            );
        }
        Ok(())
    }

    fn expire_gaps(&mut self, now: Time) {
        let patience = GAP_TIMEOUT_INTERVALS * self.settings.broadcast_interval;
        let all = self.groups.values_mut().flat_map(|group| &mut group.others);
        all.for_each(|range| range.expire_gaps(now, patience));
    }

    /// The floor of a read without a token that came at `arrived`, by what is known now.
    fn current_minimum(&self, arrived: Time, key: SessionKey) -> MinimumPosition {
        let entry = self.memory.get(key);
        let error = self.settings.clock_error;
        let mut known = entry.watermark.required_position(self.settings.promise).max(self.omitted_bound);
        if !self.settings.conservative {
            return MinimumPosition {
                arrived,
                known,
                unknown_until: None,
                pending_write: 0,
                source: PositionSource::LocalMemory,
            };
        }
        // What was made here and is lost was committed before this run began.
        if entry.complete_until < self.lost_until {
            known = known.max(self.ceiling(self.lost_until));
        }
        if !self.settings.roams {
            return MinimumPosition {
                arrived,
                known,
                unknown_until: None,
                pending_write: 0,
                source: PositionSource::LocalMemory,
            };
        }
        let open = MinimumPosition {
            arrived,
            known,
            unknown_until: Some(self.ceiling(arrived)),
            pending_write: 0,
            source: PositionSource::Unknown,
        };
        let Some(group) = self.groups.get(&key.group) else { return open };
        if self.settings.instances < 2 {
            return open;
        }
        let instance = usize::from(self.settings.instance);
        for (_, other) in group.others.iter().enumerate().filter(|(place, _)| *place != instance) {
            // Its clock may be ahead of this one.
            if other.known_until() - error < arrived {
                return open;
            }
            known = known.max(other.omitted_bound());
            if entry.complete_until - error < other.gap_end() {
                known = known.max(other.gap_end() + error);
            }
        }
        MinimumPosition {
            arrived,
            known,
            unknown_until: None,
            pending_write: 0,
            source: PositionSource::Peers,
        }
    }
}
