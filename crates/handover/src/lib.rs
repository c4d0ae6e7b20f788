//! Two processes of one gateway: the one that serves and the one that is started beside it to take its place. They
//! share no memory; each leaves a [`HandoverRecord`] at a place that both can read, and reads those of the others.
//!
//! A record says two things. That its process runs: for as long as records of another process are fresh, the two count as
//! one gateway, and each keeps to what the others [leave](siblings::SiblingRegistry::available) of descriptors, memory and open requests. And what its
//! process has learned of the members, so that the next one starts warm. Nobody owns anything: a process that dies
//! writes no more, its last record grows old, and the others have the whole again.
//!
//! | file | what it holds |
//! | --- | --- |
//! | `record.rs` | a record and its bytes: version, checksum, bounds |
//! | `siblings.rs` | who runs beside this process, and this process's part |
//!
//! **Promises.** A record of another gateway is left alone: nothing of it is used, and it is not taken away. What was
//! learned by other settings is not used; that its process runs is. A record that is torn, of another version, too old or of another time is refused with its reason, and
//! nothing of it is used. What the others hold is never counted as free.
//!
//! **Bounds.** A record has [`MAX_RECORD_BYTES`] at most; one that would have more leaves out the beliefs. SiblingRegistry is counted
//! up to [`siblings::MAX_SIBLINGS`].
//!
//! ```
//! use petrelgauge_handover::{HandoverRecord, RecordError};
//!
//! let record = HandoverRecord { process: 7, written: 1_000, ..HandoverRecord::default() };
//! let mut bytes = record.encode();
//! assert_eq!(HandoverRecord::decode(&bytes).expect("whole").process, 7);
//! bytes.pop();
//! assert!(matches!(HandoverRecord::decode(&bytes), Err(RecordError::Damaged)));
//! ```

mod record;
pub mod siblings;

pub use record::{gateway_hash, gateway_identity, HandoverRecord, RecordError, MAX_RECORD_BYTES};
