//! Session consistency: tokens, minimum positions of open reads, and watermark broadcasts of other gateways.

use super::*;
use petrelgauge_sessions::{BroadcastError, Counts, SessionTokens, Snapshot, Token, TokenError};

impl RequestTable {
    /// Whether the class of this place carries sessions.
    pub fn class_has_sessions(&self, class: usize) -> bool {
        self.carrying.contains(&class)
    }

    /// Whether sessions are kept at all.
    pub fn tracks_sessions(&self) -> bool {
        !self.carrying.is_empty()
    }

    /// Stores the tokens that a client has set for its connection.
    pub fn set_tokens(&self, tokens: &mut SessionTokens, text: &str) -> Result<(), TokenError> {
        let tracker = self
            .session_tracker
            .as_ref()
            .filter(|tracker| tracker.settings().tokens)
            .ok_or(TokenError::Disabled)?;
        tokens.set(text, tracker.settings().secret)
    }

    /// The session that a request belongs to, with the tokens that its client sent joined into one. An
    /// unusable token is an error.
    pub fn session_ref(
        &self,
        at: Time,
        group: GroupId,
        name: &str,
        tokens: &[&str],
    ) -> Result<Option<SessionRef>, TokenError> {
        let Some(tracker) = &self.session_tracker else { return Ok(None) };
        let key = tracker.session_key(group, name);
        let mut token: Option<Token> = None;
        for text in tokens {
            let read = tracker.parse_token(self.hosts_now(at), text, key)?;
            token = Some(token.map_or(read, |known| known.join(read)));
        }
        Ok(Some(SessionRef { key, token }))
    }

    /// The token that goes with an answer to this session, where clients carry tokens.
    pub fn token(&self, now: Time, key: SessionKey) -> Option<String> {
        self.session_tracker.as_ref()?.issue_token(self.hosts_now(now), key)
    }

    /// Entries about other gateways' sessions.
    pub fn session_entries(&self) -> usize {
        self.session_tracker.as_ref().map_or(0, SessionTracker::peer_entries)
    }

    /// Counts of the sessions and gaps in the broadcasts of others, if sessions are tracked.
    pub fn session_counts(&self) -> Option<(Counts, u64)> {
        self.session_tracker.as_ref().map(|tracker| (tracker.counts(), tracker.gaps()))
    }

    /// The watermarks of this moment, if sessions are tracked.
    pub fn snapshot(&self, now: Time, clean: bool) -> Option<Snapshot> {
        self.session_tracker.as_ref().map(|tracker| tracker.snapshot(self.hosts_now(now), clean))
    }

    /// A datagram of another instance came. Reads that wait may need less now.
    pub fn receive_broadcast(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let hosts_now = self.hosts_now(now);
        let RequestTable { session_tracker, open, queue, .. } = self;
        let Some(tracker) = session_tracker else { return Ok(()) };
        tracker.receive(hosts_now, bytes)?;
        for (request, open) in open.iter_mut() {
            let Some(SessionWatch { key, floor: Some(floor), .. }) = &mut open.watch else { continue };
            if let Some(less) = tracker.recheck_read(hosts_now, *key, floor) {
                *floor = less;
                queue.push(Event::MinimumPositionLowered {
                    request: request.clone(),
                    minimum_position: less.position(),
                });
            }
        }
        Ok(())
    }

    /// Datagrams for every other instance that are due now, and when to call again.
    pub fn due_broadcasts(&mut self, now: Time) -> (Vec<Vec<u8>>, Option<Time>) {
        let hosts_now = self.hosts_now(now);
        let Some(tracker) = &mut self.session_tracker else { return (Vec::new(), None) };
        let broadcasts = tracker.due_broadcasts(hosts_now);
        let next_by_own_clock = tracker.next_broadcast_at().map(|at| at - (hosts_now - now));
        (broadcasts, next_by_own_clock)
    }
}
