//! Minimum positions of reads, and verification of their answers.

use crate::answer_check::{verify, AnswerEvidence, Verdict};
use crate::minimum_position::{MinimumPosition, PositionSource};
use crate::session_key::SessionKey;
use crate::session_memory::SessionEntry;
use crate::session_tracker::SessionTracker;
use crate::token::Token;
use petrelgauge_policy::{GroupId, Time};

impl SessionTracker {
    /// Determines the minimum position of a read that has just arrived.
    pub fn begin_read(&mut self, now: Time, key: SessionKey, token: Option<&Token>) -> MinimumPosition {
        if let Some(minimum) = token.and_then(|token| self.minimum_from_token(now, key, token)) {
            return minimum;
        }
        let minimum = self.current_minimum(now, key);
        match minimum.source {
            PositionSource::Token => {}
            PositionSource::LocalMemory => self.counts.by_memory += 1,
            PositionSource::Peers => self.counts.by_peers += 1,
            PositionSource::Unknown => self.counts.unknown += 1,
        }
        minimum
    }

    /// Determines the minimum position of a waiting read again, and returns it if it is now below `minimum`.
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
        self.counts.lowered += 1;
        Some(current)
    }

    /// Checks whether an answer proves that its data have reached the minimum position of a read.
    pub fn verify_answer(&mut self, minimum: &MinimumPosition, answer: &AnswerEvidence) -> Verdict {
        let verdict = verify(&self.settings, minimum, answer);
        if verdict == Verdict::Unproven {
            self.counts.unproven += 1;
        }
        verdict
    }

    /// The minimum position from the client's token, if the token covers all earlier requests of the session.
    fn minimum_from_token(&mut self, now: Time, key: SessionKey, token: &Token) -> Option<MinimumPosition> {
        let known = self.merge_token(now, key, token).required_position(self.settings.guarantee);
        let is_recent = now - token.issued_at <= self.settings.token_age;
        if !is_recent || token.issued_at > self.latest_clock(now) {
            self.counts.expired_tokens += 1;
            return None;
        }
        self.counts.by_token += 1;
        Some(MinimumPosition::from_known(now, known, PositionSource::Token))
    }

    /// The minimum position of a read that arrived at `arrived_at` without a usable token, from what is known
    /// now.
    fn current_minimum(&self, arrived_at: Time, key: SessionKey) -> MinimumPosition {
        let entry = self.memory.get(key);
        let stored = entry.watermark.required_position(self.settings.guarantee).max(self.omitted_bound);
        if !self.settings.conservative {
            return MinimumPosition::from_known(arrived_at, stored, PositionSource::LocalMemory);
        }
        let known = stored.max(self.lost_bound(&entry));
        if !self.settings.roams {
            return MinimumPosition::from_known(arrived_at, known, PositionSource::LocalMemory);
        }
        match self.peer_bound(arrived_at, key.group, &entry) {
            Some(bound) => MinimumPosition::from_known(arrived_at, known.max(bound), PositionSource::Peers),
            None => MinimumPosition::from_unknown(arrived_at, known, self.latest_clock(arrived_at)),
        }
    }

    /// Upper bound of the watermarks that this instance recorded for a session and has lost; 0 if there are
    /// none. They were committed before `lost_until`.
    fn lost_bound(&self, entry: &SessionEntry) -> Time {
        let is_complete = entry.complete_until >= self.lost_until;
        if is_complete {
            0
        } else {
            self.latest_clock(self.lost_until)
        }
    }

    /// Upper bound of the watermarks that other instances may have recorded for a session and that this one
    /// has not received; `None` unless their broadcasts cover the time `arrived_at`. Their clocks may be
    /// ahead of the local one.
    fn peer_bound(&self, arrived_at: Time, group: GroupId, entry: &SessionEntry) -> Option<Time> {
        if self.settings.instances < 2 {
            return None;
        }
        let clock_error = self.settings.clock_error;
        let mut bound = 0;
        for range in self.peers.peer_ranges(group)? {
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
