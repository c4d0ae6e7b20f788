//! Session consistency through the facade: tokens of clients and watermark broadcasts of other gateways.

use super::{Facade, SessionRef};
use petrelgauge_policy::{GroupId, Time};
use petrelgauge_sessions::{BroadcastError, Counts, SessionKey, SessionTokens, Snapshot, TokenError};

impl Facade {
    /// Whether requests of the class of this place belong to sessions.
    pub fn class_has_sessions(&self, class: usize) -> bool {
        self.0.table.borrow().class_has_sessions(class)
    }

    /// Whether sessions are tracked at all.
    pub fn tracks_sessions(&self) -> bool {
        self.0.table.borrow().tracks_sessions()
    }

    /// Stores the tokens that a client has set for its connection.
    ///
    /// # Errors
    ///
    /// Fails if clients carry no tokens, or a token cannot be used.
    pub fn set_tokens(&self, tokens: &mut SessionTokens, text: &str) -> Result<(), TokenError> {
        self.0.table.borrow().set_tokens(tokens, text)
    }

    /// The session that a request belongs to, with the tokens that its client sent joined into one.
    ///
    /// # Errors
    ///
    /// Fails if a token cannot be used.
    pub fn session_ref(
        &self,
        at: Time,
        group: GroupId,
        name: &str,
        tokens: &[&str],
    ) -> Result<Option<SessionRef>, TokenError> {
        self.0.table.borrow().session_ref(at, group, name, tokens)
    }

    /// The token that goes with an answer to this session, where clients carry tokens.
    pub fn token(&self, now: Time, key: SessionKey) -> Option<String> {
        self.0.table.borrow().token(now, key)
    }

    /// Entries about other gateways' sessions.
    pub fn session_entries(&self) -> usize {
        self.0.table.borrow().session_entries()
    }

    /// Counts of the sessions and gaps in the broadcasts of others, if sessions are tracked.
    pub fn session_counts(&self) -> Option<(Counts, u64)> {
        self.0.table.borrow().session_counts()
    }

    /// The watermarks of this moment, if sessions are tracked.
    pub fn snapshot(&self, now: Time, clean: bool) -> Option<Snapshot> {
        self.0.table.borrow().snapshot(now, clean)
    }

    /// Takes in a watermark broadcast of another gateway. Reads that wait may need a lower position now.
    ///
    /// # Errors
    ///
    /// Fails if the datagram cannot be decoded; it changes nothing then.
    pub fn receive_broadcast(&self, now: Time, bytes: &[u8]) -> Result<(), BroadcastError> {
        self.0.table.borrow_mut().receive_broadcast(now, bytes)?;
        self.0.woken.notify_one();
        Ok(())
    }

    /// Watermark broadcasts for every other gateway that are due now, and when to call again.
    pub fn due_broadcasts(&self, now: Time) -> (Vec<Vec<u8>>, Option<Time>) {
        self.0.table.borrow_mut().due_broadcasts(now)
    }
}
