//! Session consistency counters, as written to the log.

/// Counters since the instance started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads whose minimum position came from the client's token.
    pub by_token: u64,
    /// Reads whose minimum position came from the watermarks stored in this instance.
    pub by_memory: u64,
    /// Reads whose minimum position came, already on arrival, from the broadcasts of the other instances.
    pub by_peers: u64,
    /// Reads without a known minimum position, which required everything committed before they arrived.
    pub unknown: u64,
    /// Of these, reads whose minimum position was lowered while they waited.
    pub lowered: u64,
    /// Answers that did not prove their minimum position and were not sent to the client.
    pub unproven: u64,
    /// Tokens rejected as proof of completeness: older than [`crate::Settings::token_age`], or issued later
    /// than any clock may show.
    pub expired_tokens: u64,
    /// Tokens that contain times later than any clock may show.
    pub future_tokens: u64,
    /// Broadcast datagrams encoded for sending.
    pub broadcasts_sent: u64,
    /// Broadcast datagrams decoded and applied.
    pub broadcasts_received: u64,
    /// Datagrams rejected as invalid.
    pub broadcasts_rejected: u64,
}

impl std::fmt::Display for Counts {
    /// Formats one log line: `sessions:` followed by `name=count` pairs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Counts { by_token, by_memory, by_peers, unknown, lowered, unproven, .. } = self;
        let Counts {
            expired_tokens,
            future_tokens,
            broadcasts_sent,
            broadcasts_received,
            broadcasts_rejected,
            ..
        } = self;
        write!(
            f,
            "sessions: by_token={by_token} by_memory={by_memory} by_peers={by_peers} unknown={unknown} "
        )?;
        write!(f, "lowered={lowered} unproven={unproven} ")?;
        write!(f, "expired_tokens={expired_tokens} future_tokens={future_tokens} ")?;
        write!(
            f,
            "broadcasts_sent={broadcasts_sent} broadcasts_received={broadcasts_received} \
             broadcasts_rejected={broadcasts_rejected}"
        )
    }
}
