//! Two processes of one gateway: the one that serves and the one that is started beside it to take its place. They
//! share no memory; each leaves a [`HandoverRecord`] in a directory that both can write, and reads those of its siblings.
//!
//! A record says two things. That its writer runs: while it does, the two count as one gateway, and each keeps to what the
//! other [leaves](siblings::SiblingRegistry::available) of descriptors, memory and open requests. And what its writer has
//! learned of the members, so that the next process starts warm. Nobody owns anything: a process that dies writes no
//! more, its record stops changing, and the others have all of the limits again. This crate decides; the program reads
//! and writes the files.
//!
//! | file | what it holds |
//! | --- | --- |
//! | `record.rs` | the stored form: version, checksum, bounds; what was learned, moved to the reader's clock |
//! | `reservation.rs` | amounts of what the processes share |
//! | `siblings.rs` | which siblings are alive, and what they leave |
//! | `publication.rs` | whether siblings can still see this process, and what it may use if not |
//! | `retention.rs` | which files belong to no process any more |
//!
//! **Promises.**
//! - As far as the directory tells anything, no two processes of a gateway both use all of its limits: beyond one gateway's
//!   limits they use the minimum share of each further process at most, and, for one heartbeat after a change, what has
//!   changed. It holds while writes fail for one or all of them, hang, or leave half a file, and while the directory can't
//!   be read. What a sibling last stated stays reserved as long as its file is seen to change; a process that cannot
//!   change its own uses what it last stated, and the minimum share before its siblings may take it for ended.
//! - What a process uses is not taken from it: a lower limit lets nothing new in.
//! - Clocks of two processes may differ by any span: see `siblings.rs`, and [`HandoverRecord::on_reader_clock`].
//! - A record of another gateway is ignored and not removed. What was learned by other settings is not used; that its
//!   writer runs is. A record that is damaged, of another version or too old is rejected with its reason.
//!
//! A record need not outlive the machine, for no process does; it is renamed into place, and not synced.
//!
//! **Bounds.** A record has [`MAX_RECORD_BYTES`] at most; one that would have more leaves out the learned_state. Siblings are
//! counted up to [`siblings::MAX_SIBLINGS`], and remembered up to [`siblings::MAX_TRACKED`].
//!
//! ```
//! use petrelgauge_handover::{HandoverRecord, RecordError};
//!
//! let record = HandoverRecord { process: 7, written: 1_000, ..HandoverRecord::default() };
//! let mut bytes = record.encode();
//! assert_eq!(HandoverRecord::decode(&bytes).expect("complete").process, 7);
//! bytes.pop();
//! assert!(matches!(HandoverRecord::decode(&bytes), Err(RecordError::Damaged)));
//! ```

pub mod publication;
mod record;
mod reservation;
pub mod retention;
pub mod siblings;

pub use record::{gateway_hash, gateway_identity, HandoverRecord, RecordError, MAX_RECORD_BYTES};
pub use reservation::{Reservation, MIN_SHARE_DIVISOR};
