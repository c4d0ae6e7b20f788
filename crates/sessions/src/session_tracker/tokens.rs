//! Session tokens of clients: decoding, issuing and merging.

use crate::session_key::SessionKey;
use crate::session_tracker::SessionTracker;
use crate::token::{Token, TokenError, NEW_SESSION};
use crate::watermark::Watermark;
use petrelgauge_policy::Time;

impl SessionTracker {
    /// Decodes a client's token for this session.
    ///
    /// # Errors
    ///
    /// Fails if tokens are disabled, or if this one is invalid or belongs to another session or group.
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

    /// Issues the token to send with an answer of this session, if tokens are enabled.
    pub fn issue_token(&self, now: Time, key: SessionKey) -> Option<String> {
        if !self.settings.tokens {
            return None;
        }
        let watermark = self.memory.get(key).watermark;
        Some(Token { key, watermark, issued_at: now }.encode(self.settings.secret))
    }

    /// Merges the token of a request into the state of its session, because the token of the answer replaces
    /// it at the client. A forged token can raise the minimum position of its own session up to the current
    /// time, but affects no other session.
    pub fn merge_token(&mut self, now: Time, key: SessionKey, token: &Token) -> Watermark {
        let latest_clock = self.latest_clock(now);
        let watermark = token.watermark.capped_at(latest_clock);
        if watermark != token.watermark || token.issued_at > latest_clock {
            self.counts.future_tokens += 1;
        }
        self.memory.join(key, watermark, 0)
    }
}
