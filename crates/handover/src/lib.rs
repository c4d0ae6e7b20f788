//! Handover between two processes of one gateway: the one that serves, and the one that is started beside it
//! to take its place. They share no memory. Each writes a [`HandoverRecord`] to a common directory and reads
//! those of its siblings.
//!
//! A record has two purposes. It shows that its writer is alive: while several processes are, they share the
//! limits of one gateway, and each uses at most what the others leave
//! [available](siblings::SiblingRegistry::available) of descriptors, memory and open requests. It also
//! carries what its writer has learned about the members, so that the next process does not start without
//! that knowledge. No process owns shared state: when one dies, its record stops changing, and the others may
//! use the limits in full again. This crate contains the decisions; the program reads and writes the files.
//!
//! | module | contents |
//! | --- | --- |
//! | `record` | the record, its encoding, and its conversion to the reader's clock |
//! | `reservation` | amounts of the resources that the processes share |
//! | `siblings` | which siblings are alive, and what they leave of the limits |
//! | `publication` | whether siblings can see this process, and what it may use if not |
//! | `retention` | which files are abandoned |
//!
//! **Guarantees.**
//! - The processes of a gateway together exceed its limits by at most the minimum share of each further
//!   process and, for one heartbeat after a change, by that change. This holds while writes fail, hang or
//!   leave a partial file, and while the directory cannot be read. A sibling's last published reservation
//!   stays in force while its file changes. A process that cannot replace its own record uses at most what it
//!   last published, and only the minimum share before its siblings may consider it ended.
//! - When a limit is lowered, nothing new is admitted, and resources in use are not reclaimed.
//! - The clocks of two processes may differ by any amount: see [`siblings`] and
//!   [`HandoverRecord::on_reader_clock`].
//! - A record of another gateway is ignored and not removed. From a record written under other settings only
//!   the reservation is used. A record that is damaged, of another version or too old is rejected with its
//!   reason.
//!
//! Records are renamed into place without `fsync`: no process survives a crash of the machine, so no record
//! has to.
//!
//! **Bounds.** A record has at most [`MAX_RECORD_BYTES`]; a longer one is written without learned state. At
//! most [`siblings::MAX_SIBLINGS`] are counted and [`siblings::MAX_TRACKED`] tracked.
//!
//! ```
//! use petrelgauge_handover::{HandoverRecord, RecordError};
//!
//! let record = HandoverRecord { process: 7, written_at: 1_000, ..HandoverRecord::default() };
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
