//! Session consistency: tokens, minimum positions of open reads, and watermark broadcasts of other gateways.

use super::{DueBroadcasts, RequestTable, SessionCounts, SessionNeed, SessionRef};
use petrelgauge_policy::{Event, GroupId, Time};
use petrelgauge_sessions::{BroadcastError, SessionKey, SessionTokens, SessionTracker, Token, TokenError};

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
    /// Fails if tokens are disabled or the text is not a valid token.
    pub fn set_tokens(&self, tokens: &mut SessionTokens, text: &str) -> Result<(), TokenError> {
        let tracker = self
            .session_tracker
            .as_ref()
            .filter(|tracker| tracker.settings().tokens)
            .ok_or(TokenError::Disabled)?;
        tokens.set(text, tracker.settings().secret)
    }

    /// The session that a request belongs to, with its client's tokens merged into one. None if sessions are
    /// not tracked.
    ///
    /// # Errors
    ///
    /// Fails if a token is invalid.
    pub fn session_ref(
        &self,
        now: Time,
        group: GroupId,
        name: &str,
        tokens: &[&str],
    ) -> Result<Option<SessionRef>, TokenError> {
        let Some(tracker) = &self.session_tracker else { return Ok(None) };
        let key = tracker.session_key(group, name);
        let mut token: Option<Token> = None;
        for text in tokens {
            let parsed = tracker.parse_token(self.latest_hosts_time(now), text, key)?;
            token = Some(token.map_or(parsed, |known| known.join(parsed)));
        }
        Ok(Some(SessionRef { key, token }))
    }

    /// Issues the token that is sent with an answer to this session, if tokens are enabled.
    pub fn token(&self, now: Time, key: SessionKey) -> Option<String> {
        self.session_tracker.as_ref()?.issue_token(self.latest_hosts_time(now), key)
    }

    /// Number of entries for sessions of other gateways.
    pub fn session_entries(&self) -> usize {
        self.session_tracker.as_ref().map_or(0, SessionTracker::peer_range_count)
    }

    /// Counters of the sessions, if sessions are tracked.
    pub fn session_counts(&self) -> Option<SessionCounts> {
        let tracker = self.session_tracker.as_ref()?;
        Some(SessionCounts { counts: tracker.counts(), broadcast_gaps: tracker.closed_gaps() })
    }

    /// Applies a watermark broadcast of another gateway, which may lower the minimum positions of open reads.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not a valid broadcast; nothing has changed then.
    pub fn receive_broadcast(&mut self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        let hosts_now = self.latest_hosts_time(now);
        let RequestTable { session_tracker, open_requests, pending_events, .. } = self;
        let Some(tracker) = session_tracker else { return Ok(()) };
        tracker.receive(hosts_now, bytes)?;
        for (request, open) in open_requests.iter_mut() {
            let Some(SessionNeed { key, minimum_position: Some(minimum), .. }) = &mut open.session else {
                continue;
            };
            if let Some(lower) = tracker.recheck_read(hosts_now, *key, minimum) {
                *minimum = lower;
                pending_events.push(Event::MinimumPositionLowered {
                    request: request.clone(),
                    minimum_position: lower.position(),
                });
            }
        }
        Ok(())
    }

    /// Takes the watermark broadcasts that are due now.
    pub fn due_broadcasts(&mut self, now: Time) -> DueBroadcasts {
        let hosts_now = self.latest_hosts_time(now);
        let Some(tracker) = &mut self.session_tracker else { return DueBroadcasts::default() };
        let datagrams = tracker.due_broadcasts(hosts_now);
        let next_at = tracker.next_broadcast_at().map(|at| at - (hosts_now - now));
        DueBroadcasts { datagrams, next_at }
    }
}
