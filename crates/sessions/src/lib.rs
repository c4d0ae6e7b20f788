//! Sessions across instances: a session's reads see its writes, and never less than they saw before, through any
//! instance and after any restart. What is not known is never guessed low.
//!
//! The crate decides what position a read must reach ([`SessionTracker::begin_read`]), whether that is less by now
//! ([`SessionTracker::recheck_read`]), and whether an answer proves it ([`SessionTracker::verify_answer`]). It learns from answers
//! ([`SessionTracker::record_read`], [`SessionTracker::record_write`], [`SessionTracker::record_unconfirmed_write`]), from tokens that clients carry, from broadcasts of the
//! other instances, and from a snapshot. Which member gets the read is the decision module's affair: it is given the
//! floor as the commit that must be seen. No clock and no I/O; every call is told the time.
//!
//! | file | concern |
//! | --- | --- |
//! | `watermark.rs` | a session's watermark and its merge, which never lowers |
//! | `tracker.rs` | what a read needs, what an answer proves |
//! | `session_memory.rs`, `sketch.rs` | watermarks of recent sessions exactly, of the others as a bound |
//! | `token.rs`, `session_tokens.rs` | the client's copy of a watermark, and those set for a connection |
//! | `watermark_broadcast.rs`, `outbox.rs`, `known_range.rs` | what instances tell each other, and where gaps are |
//! | `snapshot.rs` | what survives a restart |
//! | `settings.rs` | what an operator sets |
//!
//! **States.** A read's floor is covered by a token, by this instance's memory or by all others' broadcasts, or it is
//! open: then it asks for all that was committed before the read came. An open floor settles once the others have
//! told that much.
//!
//! **Bounds.** Exact watermarks: [`Settings::exact`]; sketch_width: two rows of [`Settings::cells`]; groups whose watermarks are
//! exchanged: [`MAX_GROUPS`]; for each of them 32 datagrams' worth of watermarks that wait, and four intervals for each
//! other instance. A datagram has 256 bytes at most.
//!
//! **Promise.** If clients hand back all tokens that no later answer has replaced, or none at all, no answer that [`SessionTracker::verify_answer`] lets
//! pass is older than what the session was told before its read came: whatever messages are lost, late or repeated,
//! whichever instances restart, and while no two clocks differ by more than [`Settings::clock_error`]. The design
//! note `docs/design/sessions.md` has the proof, source by source.
//!
//! ```
//! use petrelgauge_sessions::{SessionTracker, Settings, PositionSource, Verdict};
//!
//! let settings = Settings { secret: 7, ..Settings::default() };
//! let mut here = SessionTracker::new(settings.clone(), 1_000_000).expect("sound settings");
//! let mut there = SessionTracker::new(settings, 1_000_000).expect("sound settings");
//! // A payment is served here: committed at 5.004 s, answered at 5.010 s. Its token goes with the answer.
//! let key = here.session_key(2, "member-17");
//! here.record_write(5_010_000, key, 5_000_000, Some(5_004_000));
//! let token = here.issue_token(5_010_000, key).expect("tokens are on");
//! // The balance view reaches the other instance 2 ms later, and needs just that commit.
//! let token = there.parse_token(5_012_000, &token, key).expect("it is sound");
//! let floor = there.begin_read(5_012_000, key, Some(&token));
//! assert_eq!((floor.source, floor.position()), (PositionSource::Token, 5_004_000));
//! assert_eq!(there.verify_answer(&floor, Some(5_003_000), None, None), Verdict::Unproven);
//! assert_eq!(there.verify_answer(&floor, Some(5_004_000), None, None), Verdict::Proven);
//! // Without the token nobody there knows: all that was committed before it came.
//! assert_eq!(there.begin_read(5_012_000, there.session_key(2, "member-18"), None).position(), 5_012_000);
//! ```

mod known_range;
mod outbox;
mod session_memory;
mod session_tokens;
mod session_tracker;
mod settings;
mod sketch;
mod snapshot;
mod token;
mod watermark;
mod watermark_broadcast;

pub use known_range::KnownRange;
pub use outbox::Outbox;
pub use session_memory::{SessionEntry, SessionMemory};
pub use session_tokens::{SessionTokens, MAX_TOKENS};
pub use session_tracker::{Counts, MinimumPosition, PositionSource, SessionTracker, Verdict, MAX_GROUPS};
pub use settings::{
    PositionScope, Promise, Settings, SettingsError, MAX_CLOCK_ERROR, MAX_EXACT_SESSIONS, MAX_INSTANCES,
};
pub use sketch::{overestimate_rate, MaxSketch, ROWS};
pub use snapshot::Snapshot;
pub use token::{Token, TokenError, NEW_SESSION};
pub use watermark::{SessionKey, Watermark, NAME_HASH_BITS};
pub use watermark_broadcast::{BroadcastError, WatermarkBroadcast, MAX_DATAGRAM_BYTES, MAX_ENTRIES};
