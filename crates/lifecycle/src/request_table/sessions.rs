//! Session consistency: tokens, minimum positions of open reads, and watermark broadcasts of other gateways.

use super::*;
use petrelgauge_sessions::{BroadcastError, Counts, SessionTokens, Snapshot, Token, TokenError};

impl RequestTable {
    /// Whether requests of the class with this index have sessions.
    pub fn class_has_sessions(&self, class: usize) -> bool {
        self.session_classes.contains(&class)
    }

    /// Whether any class has sessions.
    pub fn tracks_sessions(&self) -> bool {
        !self.session_classes.is_empty()
    }

    /// Stores the tokens that a client has set for its connection.
    ///
    /// # Errors
    ///
    /// Tokens are disabled, or the text is no valid token.
    pub fn set_tokens(&self, tokens: &mut SessionTokens, text: &str) -> Result<(), TokenError> {
        let tracker = self
            .session_tracker
            .as_ref()
            .filter(|tracker| tracker.settings().tokens)
            .ok_or(TokenError::Disabled)?;
        tokens.set(text, tracker.settings().secret)
    }

    /// The session that a request belongs to, with the tokens that its client sent joined into one. None if sessions are
    /// not tracked.
    ///
    /// # Errors
    ///
    /// A token is invalid.
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
            let parsed = tracker.parse_token(self.hosts_now(at), text, key)?;
            token = Some(token.map_or(parsed, |known| known.join(parsed)));
        }
        Ok(Some(SessionRef { key, token }))
    }

    /// The token to send with an answer to this session, if tokens are enabled.
    pub fn token(&self, now: Time, key: SessionKey) -> Option<String> {
        self.session_tracker.as_ref()?.issue_token(self.hosts_now(now), key)
    }

    /// How many entries of other gateways' sessions are known.
    pub fn session_entries(&self) -> usize {
        self.session_tracker.as_ref().map_or(0, SessionTracker::peer_entries)
    }

    /// Counters of the sessions, and gaps in the broadcasts of other gateways, if sessions are tracked.
    pub fn session_counts(&self) -> Option<(Counts, u64)> {
        self.session_tracker.as_ref().map(|tracker| (tracker.counts(), tracker.gaps()))
    }

    /// The current watermarks, if sessions are tracked. `clean`: the process ends and adds none after this.
    pub fn snapshot(&self, now: Time, clean: bool) -> Option<Snapshot> {
        self.session_tracker.as_ref().map(|tracker| tracker.snapshot(self.hosts_now(now), clean))
    }

    /// A watermark broadcast of another gateway was received. Waiting reads may need a lower position now.
    ///
    /// # Errors
    ///
    /// The datagram is no valid broadcast.
    pub fn receive_broadcast(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let hosts_now = self.hosts_now(now);
        let RequestTable { session_tracker, open, queue, .. } = self;
        let Some(tracker) = session_tracker else { return Ok(()) };
        tracker.receive(hosts_now, bytes)?;
        for (request, open) in open.iter_mut() {
            let Some(SessionNeed { key, minimum_position: Some(minimum), .. }) = &mut open.session else {
                continue;
            };
            if let Some(lower) = tracker.recheck_read(hosts_now, *key, minimum) {
                *minimum = lower;
                queue.push(Event::MinimumPositionLowered {
                    request: request.clone(),
                    minimum_position: lower.position(),
                });
            }
        }
        Ok(())
    }

    /// Watermark broadcasts to all other gateways that are due now, and when to call again.
    pub fn due_broadcasts(&mut self, now: Time) -> (Vec<Vec<u8>>, Option<Time>) {
        let hosts_now = self.hosts_now(now);
        let Some(tracker) = &mut self.session_tracker else { return (Vec::new(), None) };
        let broadcasts = tracker.due_broadcasts(hosts_now);
        let next_by_own_clock = tracker.next_broadcast_at().map(|at| at - (hosts_now - now));
        (broadcasts, next_by_own_clock)
    }
}
