//! Sessions across instances: a session's reads see its writes, and never less than they saw before, through any
//! instance and after any restart. What is not known is never guessed low.
//!
//! The crate decides what position a read must reach ([`Keeper::ask`]), whether that is less by now
//! ([`Keeper::settle`]), and whether an answer proves it ([`Keeper::judge`]). It learns from answers
//! ([`Keeper::read`], [`Keeper::wrote`], [`Keeper::unsure`]), from tokens that clients carry, from bulletins of the
//! other instances, and from a snapshot. Which member gets the read is the decision module's affair: it is given the
//! floor as the commit that must be seen. No clock and no I/O; every call is told the time.
//!
//! | file | concern |
//! | --- | --- |
//! | `mark.rs` | a session's mark and its merge, which never lowers |
//! | `keeper.rs` | what a read needs, what an answer proves |
//! | `memory.rs`, `sketch.rs` | marks of recent sessions exactly, of the others as a bound |
//! | `token.rs`, `session_tokens.rs` | the client's copy of a mark, and those set for a connection |
//! | `bulletin.rs`, `outbox.rs`, `coverage.rs` | what instances tell each other, and where gaps are |
//! | `snapshot.rs` | what survives a restart |
//! | `settings.rs` | what an operator sets |
//!
//! **States.** A read's floor is covered by a token, by this instance's memory or by all others' bulletins, or it is
//! open: then it asks for all that was committed before the read came. An open floor settles once the others have
//! told that much.
//!
//! **Bounds.** Exact marks: [`Settings::exact`]; cells: two rows of [`Settings::cells`]; groups whose marks are
//! exchanged: [`MOST_GROUPS`]; for each of them 32 datagrams' worth of marks that wait, and four intervals for each
//! other instance. A datagram has 256 bytes at most.
//!
//! **Promise.** If clients hand back all tokens that no later answer has replaced, or none at all, no answer that [`Keeper::judge`] lets
//! pass is older than what the session was told before its read came: whatever messages are lost, late or repeated,
//! whichever instances restart, and while no two clocks differ by more than [`Settings::clock_error`]. The design
//! note `docs/design/sessions.md` has the proof, source by source.
//!
//! ```
//! use petrelgauge_sessions::{Keeper, Settings, Source, Verdict};
//!
//! let settings = Settings { secret: 7, ..Settings::default() };
//! let mut here = Keeper::new(settings.clone(), 1_000_000).expect("sound settings");
//! let mut there = Keeper::new(settings, 1_000_000).expect("sound settings");
//! // A payment is served here: committed at 5.004 s, answered at 5.010 s. Its token goes with the answer.
//! let key = here.key(2, "member-17");
//! here.wrote(5_010_000, key, 5_000_000, Some(5_004_000));
//! let token = here.token(5_010_000, key).expect("tokens are on");
//! // The balance view reaches the other instance 2 ms later, and needs just that commit.
//! let token = there.take_token(5_012_000, &token, key).expect("it is sound");
//! let floor = there.ask(5_012_000, key, Some(&token));
//! assert_eq!((floor.source, floor.need()), (Source::Token, 5_004_000));
//! assert_eq!(there.judge(&floor, Some(5_003_000), None, None), Verdict::Behind);
//! assert_eq!(there.judge(&floor, Some(5_004_000), None, None), Verdict::Proven);
//! // Without the token nobody there knows: all that was committed before it came.
//! assert_eq!(there.ask(5_012_000, there.key(2, "member-18"), None).need(), 5_012_000);
//! ```

mod bulletin;
mod coverage;
mod keeper;
mod mark;
mod memory;
mod outbox;
mod session_tokens;
mod settings;
mod sketch;
mod snapshot;
mod token;

pub use bulletin::{Bulletin, BulletinError, MOST_BYTES, MOST_LINES};
pub use coverage::Coverage;
pub use keeper::{Counts, Floor, Keeper, Source, Verdict, MOST_GROUPS};
pub use mark::{Key, Mark, NAME_BITS};
pub use memory::{Entry, Memory};
pub use outbox::Outbox;
pub use session_tokens::{SessionTokens, MOST_SET};
pub use settings::{Promise, Settings, SettingsError, Told, MOST_CLOCK_ERROR, MOST_EXACT, MOST_INSTANCES};
pub use sketch::{false_share, Sketch, ROWS};
pub use snapshot::Snapshot;
pub use token::{Token, TokenError, FRESH};
