//! Session consistency across gateways: read-your-writes and monotonic reads for each session, through any
//! gateway instance and across restarts. Where information is missing, the required position is
//! overestimated, never underestimated.
//!
//! **Decisions.** This crate determines the log position that the data of a read must have reached, its
//! minimum position ([`SessionTracker::begin_read`]); whether a lower one has become sufficient
//! ([`SessionTracker::recheck_read`]); and whether an answer proves it ([`SessionTracker::verify_answer`]).
//! The inputs are answers ([`SessionTracker::record_read`], [`SessionTracker::record_write`],
//! [`SessionTracker::record_unconfirmed_write`]), tokens of clients, watermark broadcasts of other instances,
//! and a snapshot. The routing policy, which chooses the host, gets the minimum position as a commit that
//! must be visible. The crate uses no clock and no I/O: every call takes the current time.
//!
//! | module | contents |
//! | --- | --- |
//! | `session_key`, `watermark` | identity of a session, and the positions that it has seen |
//! | `session_tracker` | the state of one instance: reads, writes, tokens, broadcasts |
//! | `minimum_position`, `answer_check` | the position that a read requires, and the check of its answer |
//! | `session_memory`, `sketch` | exact watermarks of recent sessions, an upper bound for all others |
//! | `token`, `session_tokens` | the watermark held by a client, and the tokens set for a connection |
//! | `peer_exchange`, `outbox`, `watermark_broadcast`, `known_range` | watermark exchange between instances |
//! | `snapshot` | the state that is kept across a restart |
//! | `settings`, `counts` | configuration and counters |
//!
//! **States.** The minimum position of a read comes from a [`PositionSource`]: the client's token, local
//! memory, or the broadcasts of all other instances. Without any of them it is unknown, and the read requires
//! everything committed before it arrived, until the broadcasts cover its arrival and a recheck lowers the
//! position.
//!
//! **Bounds.** Exact watermarks: [`Settings::exact_sessions`]. Sketch: two rows of [`Settings::sketch_width`]
//! cells. Groups whose watermarks are exchanged: [`MAX_GROUPS`]; each holds at most as many pending
//! watermarks as fit into 32 datagrams, and four pending intervals per other instance. A datagram has at most
//! [`MAX_DATAGRAM_BYTES`] bytes, a token 48 characters.
//!
//! **Guarantee.** If clients return every token that no later answer has replaced, or none at all, then no
//! answer accepted by [`SessionTracker::verify_answer`] is older than what its session had seen when the read
//! arrived. This holds whichever datagrams are lost, delayed or duplicated and whichever instances restart,
//! as long as no two clocks differ by more than [`Settings::clock_error`]. `docs/design/sessions.md` contains
//! the proof for each source.
//!
//! ```
//! use petrelgauge_sessions::{AnswerEvidence, PositionSource, SessionTracker, Settings, Verdict};
//!
//! let settings = Settings { secret: 7, ..Settings::default() };
//! let mut first = SessionTracker::new(settings.clone(), 1_000_000)?;
//! let mut second = SessionTracker::new(settings, 1_000_000)?;
//! // The first gateway serves a payment: committed at 5.004 s, answered at 5.010 s with a token.
//! let key = first.session_key(2, "member-17");
//! first.record_write(5_010_000, key, 5_000_000, Some(5_004_000));
//! let token = first.issue_token(5_010_000, key).expect("tokens are enabled");
//! // A read reaches the second gateway 2 ms later and requires exactly that commit.
//! let token = second.parse_token(5_012_000, &token, key)?;
//! let minimum = second.begin_read(5_012_000, key, Some(&token));
//! assert_eq!((minimum.source, minimum.position()), (PositionSource::Token, 5_004_000));
//! let mut answer_at = |position| {
//!     let answer = AnswerEvidence { position: Some(position), ..AnswerEvidence::default() };
//!     second.verify_answer(&minimum, &answer)
//! };
//! assert_eq!(answer_at(5_003_000), Verdict::Unproven);
//! assert_eq!(answer_at(5_004_000), Verdict::Proven);
//! // Another session without a token requires everything committed before its read arrived.
//! let other = second.session_key(2, "member-18");
//! assert_eq!(second.begin_read(5_012_000, other, None).position(), 5_012_000);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod answer_check;
mod counts;
mod encoding;
mod known_range;
mod minimum_position;
mod outbox;
mod peer_exchange;
mod session_key;
mod session_memory;
mod session_tokens;
mod session_tracker;
mod settings;
mod sketch;
mod snapshot;
mod token;
mod watermark;
mod watermark_broadcast;

pub use answer_check::{AnswerEvidence, Verdict};
pub use counts::Counts;
pub use known_range::{KnownRange, PeerInterval};
pub use minimum_position::{MinimumPosition, PositionSource};
pub use outbox::Outbox;
pub use peer_exchange::MAX_GROUPS;
pub use session_key::{SessionKey, NAME_HASH_BITS};
pub use session_memory::{SessionEntry, SessionMemory};
pub use session_tokens::{SessionTokens, MAX_TOKENS};
pub use session_tracker::SessionTracker;
pub use settings::{
    PositionScope, SessionGuarantee, Settings, SettingsError, MAX_CLOCK_ERROR, MAX_EXACT_SESSIONS,
    MAX_INSTANCES,
};
pub use sketch::{overestimate_rate, MaxSketch, ROWS};
pub use snapshot::{Snapshot, SnapshotKind};
pub use token::{Token, TokenError, NEW_SESSION};
pub use watermark::Watermark;
pub use watermark_broadcast::{
    BroadcastEntry, BroadcastError, BroadcastSender, WatermarkBroadcast, MAX_DATAGRAM_BYTES, MAX_ENTRIES,
};
