//! The configurations of session consistency that the experiment compares.

/// Secret of the session tokens.
pub(super) const TOKEN_SECRET: u64 = 0x5e55;
/// Maximum time that a gateway waits for a replica to reach a read's minimum position, without the clock
/// error (milliseconds).
const BASE_HOLD_MS: u64 = 30;

/// A configuration, exposed to the same faults as all others.
pub(super) struct Variant {
    pub(super) name: &'static str,
    /// Its own settings in the record `sessions` of the operator's file; empty for no such record.
    session_settings: &'static str,
    /// Whether all reads go to the primary.
    pub(super) primary_reads: bool,
    /// Whether clients carry tokens.
    pub(super) uses_tokens: bool,
    /// Whether it guarantees that no read is stale.
    pub(super) is_guarded: bool,
}

pub(super) const VARIANTS: [Variant; 5] = [
    Variant {
        name: "tokens",
        session_settings: r#"sources: ["token"]"#,
        primary_reads: false,
        uses_tokens: true,
        is_guarded: true,
    },
    Variant {
        name: "peers",
        session_settings: r#"sources: ["peers"]"#,
        primary_reads: false,
        uses_tokens: false,
        is_guarded: true,
    },
    Variant {
        name: "primary",
        session_settings: "",
        primary_reads: true,
        uses_tokens: false,
        is_guarded: false,
    },
    Variant {
        name: "own memory",
        session_settings: r#"sources: [], roams: false, unknown: "ignored""#,
        primary_reads: false,
        uses_tokens: false,
        is_guarded: false,
    },
    Variant {
        name: "peers, no floor",
        session_settings: r#"sources: ["peers"], unknown: "ignored""#,
        primary_reads: false,
        uses_tokens: false,
        is_guarded: false,
    },
];

/// An earlier build of the gateway, which may not support sessions.
pub(super) const EARLIER_BUILD: Variant = Variant {
    name: "earlier build",
    session_settings: "",
    primary_reads: false,
    uses_tokens: false,
    is_guarded: false,
};

impl Variant {
    /// The operator's file, with this clock error.
    pub(super) fn operator_file(&self, clock_error_ms: u64) -> String {
        if self.session_settings.is_empty() {
            return String::new();
        }
        // Minimum positions include the clock error, and a replica reaches them that much later.
        let hold_ms = BASE_HOLD_MS + 2 * clock_error_ms;
        let settings = self.session_settings;
        format!(
            "sessions: {{\n  classes: [\"view\", \"history\", \"pay\"]\n  secret: \"{TOKEN_SECRET:x}\"\n  pace: 50ms\n  token_age: 2s\n  clock_error: {clock_error_ms}ms\n  hold: {hold_ms}ms\n  {settings}\n}}\n"
        )
    }
}
