//! The state of session consistency at one instance.

use crate::answer_check::{verify, AnswerEvidence, Verdict};
use crate::counts::Counts;
use crate::minimum_position::{MinimumPosition, PositionSource};
use crate::peer_exchange::PeerExchange;
use crate::session_key::SessionKey;
use crate::session_memory::{SessionEntry, SessionMemory};
use crate::settings::{Promise, Settings, SettingsError};
use crate::snapshot::Snapshot;
use crate::token::{Token, TokenError, NEW_SESSION};
use crate::watermark::Watermark;
use crate::watermark_broadcast::{BroadcastError, WatermarkBroadcast};
use petrelgauge_policy::{mutant, GroupId, Mutant, Time};

/// Broadcast intervals after which a missing broadcast is given up.
const GAP_TIMEOUT_INTERVALS: Time = 3;

/// Everything that one instance knows of sessions. It has no clock: every call takes the current time `now`
/// in microseconds. A time slightly before that of the previous call does no harm.
#[derive(Clone, Debug)]
pub struct SessionTracker {
    settings: Settings,
    /// Watermarks recorded here up to then may be lost; 0 if none are.
    lost_until: Time,
    /// Upper bound of watermarks that a clean snapshot omitted.
    omitted_bound: Time,
    memory: SessionMemory,
    peers: PeerExchange,
    /// When broadcasts were last sent.
    broadcast_at: Time,
    /// Latest time of any call that recorded or sent watermarks.
    latest: Time,
    counts: Counts,
}

impl SessionTracker {
    /// A tracker that starts now and knows nothing: whatever was acknowledged before is taken to be lost.
    ///
    /// # Errors
    ///
    /// Settings that are out of range.
    pub fn new(settings: Settings, now: Time) -> Result<SessionTracker, SettingsError> {
        settings.check()?;
        Ok(SessionTracker {
            memory: SessionMemory::new(settings.exact_sessions, settings.sketch_width, settings.secret),
            peers: PeerExchange::new(&settings, now),
            settings,
            lost_until: if mutant(Mutant::WatermarkLossForgotten) { 0 } else { now },
            omitted_bound: 0,
            broadcast_at: now,
            latest: now,
            counts: Counts::default(),
        })
    }

    /// A tracker that starts now from a snapshot. Its watermarks hold at any age; what was recorded after it
    /// is lost unless it is clean. A snapshot from the future was taken by another clock and is ignored.
    ///
    /// # Errors
    ///
    /// Settings that are out of range.
    pub fn restore(
        settings: Settings,
        now: Time,
        snapshot: &Snapshot,
    ) -> Result<SessionTracker, SettingsError> {
        let mut tracker = SessionTracker::new(settings, now)?;
        if snapshot.taken_at > now {
            return Ok(tracker);
        }
        for (key, entry) in snapshot.entries.iter().rev() {
            let complete_until = entry.complete_until.min(snapshot.taken_at);
            tracker.memory.join(*key, entry.watermark, complete_until);
        }
        if snapshot.clean {
            tracker.lost_until = snapshot.lost_until.min(now);
            tracker.omitted_bound = snapshot.omitted_bound;
        }
        Ok(tracker)
    }

    /// Starts over with a clock that shows `now` from here on, since the one used so far was wrong. What is known of
    /// sessions is kept and taken for incomplete; intervals of the other instances are awaited anew.
    pub fn restart(&mut self, now: Time) {
        self.memory.distrust(self.latest_clock(now));
        self.peers.restart(now);
        self.omitted_bound = self.omitted_bound.min(now);
        self.lost_until = now;
        self.broadcast_at = now;
        self.latest = now;
    }

    /// The watermarks of this moment. `clean` states that nothing will be answered any more.
    pub fn snapshot(&self, now: Time, clean: bool) -> Snapshot {
        let highest_evicted = self.memory.highest_evicted().required_position(self.settings.promise);
        Snapshot {
            taken_at: now,
            clean,
            lost_until: self.lost_until,
            omitted_bound: self.omitted_bound.max(highest_evicted),
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

    /// The watermarks remembered here.
    pub fn memory(&self) -> &SessionMemory {
        &self.memory
    }

    /// The key of a session by its name.
    pub fn session_key(&self, group: GroupId, name: &str) -> SessionKey {
        SessionKey::new(self.settings.secret, group, name)
    }

    /// Decodes a client's token for this session.
    ///
    /// # Errors
    ///
    /// A token that cannot be used: it never lowers what a read needs.
    pub fn parse_token(&self, now: Time, text: &str, key: SessionKey) -> Result<Token, TokenError> {
        if !self.settings.tokens {
            return Err(TokenError::Disabled);
        }
        if text == NEW_SESSION {
            return Ok(Token::new_session(key, now));
        }
        let token = Token::decode(text, self.settings.secret)?;
        token.check_session(key)?;
        Ok(token)
    }

    /// The token to send with an answer of this session, if tokens are enabled.
    pub fn issue_token(&self, now: Time, key: SessionKey) -> Option<String> {
        if !self.settings.tokens {
            return None;
        }
        let watermark = self.memory.get(key).watermark;
        Some(Token { key, watermark, issued_at: now }.encode(self.settings.secret))
    }

    /// Merges the token of a request: the token of its answer will replace it. A forged one raises what its
    /// own session must see, up to the current time at most, and affects no other session.
    pub fn merge_token(&mut self, now: Time, key: SessionKey, token: &Token) -> Watermark {
        let latest_clock = self.latest_clock(now);
        let watermark = token.watermark.capped_at(latest_clock);
        if watermark != token.watermark || token.issued_at > latest_clock {
            self.counts.early_tokens += 1;
        }
        self.memory.join(key, watermark, 0)
    }

    /// What a read that has just arrived needs.
    pub fn begin_read(&mut self, now: Time, key: SessionKey, token: Option<&Token>) -> MinimumPosition {
        if let Some(minimum) = token.and_then(|token| self.minimum_by_token(now, key, token)) {
            return minimum;
        }
        let minimum = self.current_minimum(now, key);
        match minimum.source {
            PositionSource::Token => {}
            PositionSource::LocalMemory => self.counts.by_memory += 1,
            PositionSource::Peers => self.counts.by_peers += 1,
            PositionSource::Unknown => self.counts.open += 1,
        }
        minimum
    }

    /// What a waiting read needs, if that is less by now.
    pub fn recheck_read(
        &mut self,
        now: Time,
        key: SessionKey,
        minimum: &MinimumPosition,
    ) -> Option<MinimumPosition> {
        if minimum.source != PositionSource::Unknown {
            return None;
        }
        self.expire_gaps(now);
        let current = self.current_minimum(minimum.arrived_at, key).with_pending_write(minimum.pending_write);
        if current.position() >= minimum.position() {
            return None;
        }
        self.counts.settled += 1;
        Some(current)
    }

    /// What an answer proves of a read's minimum position.
    pub fn verify_answer(&mut self, minimum: &MinimumPosition, answer: &AnswerEvidence) -> Verdict {
        let verdict = verify(&self.settings, minimum, answer);
        if verdict == Verdict::Unproven {
            self.counts.behind += 1;
        }
        verdict
    }

    /// Records that a read was answered from data that proved its minimum position.
    pub fn record_read(&mut self, now: Time, key: SessionKey, minimum: &MinimumPosition, position: Time) {
        // The position was rounded down: what was read may be newer by one step.
        let newest = position + self.settings.position_granularity;
        let watermark = match self.settings.promise {
            // Everything that the session must see of its own writes is in the data read.
            Promise::Writes => Watermark { written: minimum.position().min(newest), read: 0 },
            Promise::WritesAndReads => Watermark { written: 0, read: newest.min(self.latest_position(now)) },
        };
        self.record(now, key, watermark, minimum.arrived_at);
    }

    /// Records that a write which arrived at `arrived_at` was answered as served, with its commit if the host
    /// reported it. Times in microseconds.
    pub fn record_write(&mut self, now: Time, key: SessionKey, arrived_at: Time, commit: Option<Time>) {
        let commit = commit.unwrap_or(self.latest_clock(now));
        let watermark = Watermark { written: commit.min(self.latest_position(now)), read: 0 };
        // The commit follows everything that the session did before; with a single clock, so does its time.
        let complete_until = if self.settings.clock_error == 0 { arrived_at } else { 0 };
        self.record(now, key, watermark, complete_until);
    }

    /// Records that an attempt of a write ended without an answer that can be trusted. If it has run, it was
    /// committed before now; if it runs later, nobody has seen its answer.
    pub fn record_unconfirmed_write(&mut self, now: Time, key: SessionKey) {
        let watermark = Watermark { written: self.latest_clock(now), read: 0 };
        self.record(now, key, watermark, 0);
    }

    /// Sends broadcasts of this group from now on, even while nothing is recorded in it: otherwise an
    /// instance that is idle in a group would keep all others from ever knowing enough of it.
    pub fn track_group(&mut self, group: GroupId) {
        if self.exchanges() {
            self.peers.track(group);
        }
    }

    /// Applies a datagram of another instance.
    ///
    /// # Errors
    ///
    /// A datagram that cannot be used; nothing changes then but the count of rejected ones.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let applied = self.apply_broadcast(now, bytes);
        match applied {
            Ok(()) => self.counts.received += 1,
            Err(_) => self.counts.rejected += 1,
        }
        applied
    }

    /// Datagrams due now, each to be sent to every other instance. Call again at
    /// [`SessionTracker::next_broadcast_at`].
    pub fn due_broadcasts(&mut self, now: Time) -> Vec<Vec<u8>> {
        if self.next_broadcast_at().is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.broadcast_at = now;
        self.latest = self.latest.max(now);
        self.expire_gaps(now);
        let secret = self.settings.secret;
        let datagrams: Vec<Vec<u8>> =
            self.peers.next_broadcasts(now).map(|broadcast| broadcast.encode(secret)).collect();
        self.counts.sent += datagrams.len() as u64;
        datagrams
    }

    /// When the next datagrams are due, if there are other instances to send them to.
    pub fn next_broadcast_at(&self) -> Option<Time> {
        self.exchanges().then(|| self.broadcast_at + self.settings.broadcast_interval)
    }

    /// Gaps in the broadcasts of other instances that were closed with an upper bound, over all groups.
    pub fn gaps(&self) -> u64 {
        self.peers.gaps()
    }

    /// Entries held about other instances, over all groups.
    pub fn peer_entries(&self) -> usize {
        self.peers.range_count()
    }

    /// Whether watermarks are exchanged with other instances.
    fn exchanges(&self) -> bool {
        self.settings.roams && self.settings.instances > 1
    }

    /// The latest time that any clock may show now.
    fn latest_clock(&self, now: Time) -> Time {
        now + self.settings.clock_error
    }

    /// The highest position that a host may report now.
    fn latest_position(&self, now: Time) -> Time {
        self.latest_clock(now) + self.settings.position_granularity
    }

    fn record(&mut self, now: Time, key: SessionKey, watermark: Watermark, complete_until: Time) {
        // A watermark must not fall into an interval that was sent already.
        self.latest = self.latest.max(now);
        let watermark = self.memory.join(key, watermark, complete_until);
        if self.exchanges() {
            self.peers.push(self.latest, key.group, key.name_hash, watermark);
        }
    }

    fn apply_broadcast(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let broadcast = WatermarkBroadcast::decode(bytes, self.settings.secret)?;
        // An interval that ends in the future would pass for knowledge of what has not happened yet.
        if broadcast.until > self.latest_clock(now) {
            return Err(BroadcastError::InvalidInterval);
        }
        let instance = broadcast.sender.instance;
        if instance >= self.settings.instances || instance == self.settings.instance {
            return Err(BroadcastError::UnknownInstance);
        }
        // The sender's clock may be ahead of this one, and a host's clock ahead of the sender's.
        let latest_position = self.latest_position(self.latest_clock(now));
        for entry in &broadcast.entries {
            let key = SessionKey { group: broadcast.sender.group, name_hash: entry.name_hash };
            self.memory.join(key, entry.watermark.capped_at(latest_position), 0);
        }
        self.peers.record_broadcast(now, &broadcast);
        Ok(())
    }

    fn expire_gaps(&mut self, now: Time) {
        self.peers.expire_gaps(now, GAP_TIMEOUT_INTERVALS * self.settings.broadcast_interval);
    }

    /// What a read needs by its token, if that covers everything that the session did.
    fn minimum_by_token(&mut self, now: Time, key: SessionKey, token: &Token) -> Option<MinimumPosition> {
        let known = self.merge_token(now, key, token).required_position(self.settings.promise);
        let recent = now - token.issued_at <= self.settings.token_age;
        if !recent || token.issued_at > self.latest_clock(now) {
            self.counts.old_tokens += 1;
            return None;
        }
        self.counts.by_token += 1;
        Some(MinimumPosition::from_known(now, known, PositionSource::Token))
    }

    /// What a read without a token that arrived at `arrived_at` needs by what is known now.
    fn current_minimum(&self, arrived_at: Time, key: SessionKey) -> MinimumPosition {
        let entry = self.memory.get(key);
        let remembered = entry.watermark.required_position(self.settings.promise).max(self.omitted_bound);
        if !self.settings.conservative {
            return MinimumPosition::from_known(arrived_at, remembered, PositionSource::LocalMemory);
        }
        let known = remembered.max(self.lost_bound(&entry));
        if !self.settings.roams {
            return MinimumPosition::from_known(arrived_at, known, PositionSource::LocalMemory);
        }
        match self.bound_by_peers(arrived_at, key.group, &entry) {
            Some(bound) => MinimumPosition::from_known(arrived_at, known.max(bound), PositionSource::Peers),
            None => MinimumPosition::from_unknown(arrived_at, known, self.latest_clock(arrived_at)),
        }
    }

    /// Upper bound of what was recorded here for a session and is lost; 0 for nothing. It was committed
    /// before this run began.
    fn lost_bound(&self, entry: &SessionEntry) -> Time {
        if entry.complete_until < self.lost_until {
            self.latest_clock(self.lost_until)
        } else {
            0
        }
    }

    /// Upper bound of what other instances may have recorded for a session and this one does not know, if
    /// their broadcasts cover the time `arrived_at`. Their clocks may be ahead of this one.
    fn bound_by_peers(&self, arrived_at: Time, group: GroupId, entry: &SessionEntry) -> Option<Time> {
        if self.settings.instances < 2 {
            return None;
        }
        let clock_error = self.settings.clock_error;
        let mut bound = 0;
        for range in self.peers.others(group)? {
            if range.known_until() - clock_error < arrived_at {
                return None;
            }
            bound = bound.max(range.omitted_bound());
            if entry.complete_until - clock_error < range.gap_end() {
                bound = bound.max(range.gap_end() + clock_error);
            }
        }
        Some(bound)
    }
}
