//! The ways to keep sessions consistent that the experiment compares.

/// Secret of the session tokens.
pub(super) const TOKEN_SECRET: u64 = 0x5e55;
/// How long a gateway may hold back a read until a replica is far enough, beside the clocks' error (milliseconds).
const BASE_HOLD_MS: u64 = 30;

/// One way to keep sessions, played against the same faults as the others.
pub(super) struct Variant {
    pub(super) name: &'static str,
    /// What its operator's file says of sessions, beside what all say; empty for no such record.
    session_settings: &'static str,
    /// All reads go to the primary.
    pub(super) primary_reads: bool,
    /// Clients carry tokens.
    pub(super) uses_tokens: bool,
    /// It promises that no read is stale.
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

/// An earlier build of the gateway, which may not know of sessions.
pub(super) const EARLIER_BUILD: Variant = Variant {
    name: "earlier build",
    session_settings: "",
    primary_reads: false,
    uses_tokens: false,
    is_guarded: false,
};

impl Variant {
    /// The operator's file, which states that clocks differ by this much at most.
    pub(super) fn operator_file(&self, clock_error_ms: u64) -> String {
        if self.session_settings.is_empty() {
            return String::new();
        }
        // A minimum position lies ahead by what clocks may differ; a replica passes it that much later.
        let hold_ms = BASE_HOLD_MS + 2 * clock_error_ms;
        let settings = self.session_settings;
        format!(
            "sessions: {{\n  classes: [\"view\", \"history\", \"pay\"]\n  secret: \"{TOKEN_SECRET:x}\"\n  pace: 50ms\n  token_age: 2s\n  clock_error: {clock_error_ms}ms\n  hold: {hold_ms}ms\n  {settings}\n}}\n"
        )
    }
}
