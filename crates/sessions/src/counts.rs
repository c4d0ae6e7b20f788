//! Counters of session consistency, as they are logged.

/// Counters since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads whose minimum position came from the client's token.
    pub by_token: u64,
    /// Reads whose minimum position came from this instance's memory.
    pub by_memory: u64,
    /// Reads whose minimum position came from the other instances' broadcasts when they arrived.
    pub by_peers: u64,
    /// Reads that needed everything committed before they arrived.
    pub unknown: u64,
    /// Of these, reads whose position was lowered while they waited.
    pub lowered: u64,
    /// Answers that did not prove their minimum position and were withheld.
    pub unproven: u64,
    /// Tokens older than [`crate::Settings::token_age`].
    pub expired_tokens: u64,
    /// Tokens with times ahead of the clock.
    pub future_tokens: u64,
    /// Broadcasts encoded.
    pub sent: u64,
    /// Broadcasts decoded and applied.
    pub received: u64,
    /// Datagrams that could not be used.
    pub rejected: u64,
}

impl std::fmt::Display for Counts {
    /// One log line, `sessions:` followed by `name=count` pairs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Counts { by_token, by_memory, by_peers, unknown, lowered, unproven, .. } = self;
        let Counts { expired_tokens, future_tokens, sent, received, rejected, .. } = self;
        write!(
            f,
            "sessions: by_token={by_token} by_memory={by_memory} by_peers={by_peers} unknown={unknown} "
        )?;
        write!(f, "lowered={lowered} unproven={unproven} ")?;
        write!(f, "expired_tokens={expired_tokens} future_tokens={future_tokens} ")?;
        write!(f, "broadcasts_sent={sent} broadcasts_received={received} broadcasts_rejected={rejected}")
    }
}
