//! Two processes of one gateway: the one that serves and the one that is started beside it to take its place. They
//! share no memory; each leaves a [`Letter`] at a place that both can read, and reads those of the others.
//!
//! A letter says two things. That its writer runs: for as long as letters of another process are fresh, the two count as
//! one gateway, and each keeps to what the others [leave](company::Company::left) of descriptors, memory and open requests. And what its
//! writer has learned of the members, so that the next one starts warm. Nobody owns anything: a process that dies
//! writes no more, its last letter grows old, and the others have the whole again.
//!
//! | file | what it holds |
//! | --- | --- |
//! | `letter.rs` | a letter and its bytes: version, checksum, bounds |
//! | `company.rs` | who runs beside this process, and this process's part |
//!
//! **Promises.** A letter of another gateway is left alone: nothing of it is used, and it is not taken away. What was
//! learned by other settings is not used; that its writer runs is. A letter that is torn, of another version, too old or of another time is refused with its reason, and
//! nothing of it is used. What the others hold is never counted as free.
//!
//! **Bounds.** A letter has [`MOST_BYTES`] at most; one that would have more leaves out the learned_state. Company is counted
//! up to [`company::MOST`].
//!
//! ```
//! use petrelgauge_handover::{Letter, LetterError};
//!
//! let letter = Letter { writer: 7, written: 1_000, ..Letter::default() };
//! let mut bytes = letter.encode();
//! assert_eq!(Letter::decode(&bytes).expect("whole").writer, 7);
//! bytes.pop();
//! assert!(matches!(Letter::decode(&bytes), Err(LetterError::Torn)));
//! ```

pub mod company;
mod letter;

pub use letter::{mark, owner, Letter, LetterError, MOST_BYTES};
