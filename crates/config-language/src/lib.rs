//! The language of the operator's file: records of named, typed values, a subset of CUE.
//!
//! The fields of a [`Record`] are taken one by one, each by name and expected type. A value of another type
//! is an error, and so is a field that was not taken, because its name is unknown.
//!
//! ```
//! use petrelgauge_config_language::Record;
//!
//! let text = "sessions: {\n  // Which classes carry sessions.\n\
//!     \x20 classes: [\"balance-view\"]\n  pace: 100ms\n}\n";
//! let mut file = Record::read("petrelgauge.cue", text).expect("a valid file");
//! let mut sessions = file.record("sessions").expect("a record").expect("the field exists");
//! assert_eq!(sessions.strings("classes").expect("strings"), Some(vec!["balance-view".to_string()]));
//! assert_eq!(sessions.duration("pace").expect("a duration"), Some(100_000));
//! sessions.end().expect("no other fields");
//! file.end().expect("no other fields");
//! ```
//!
//! **Syntax:** fields with plain or quoted names, `//` comments, records, lists, strings in double quotes,
//! whole numbers, `true` and `false`, durations (`500us`, `20ms`, `3s`, `2m`) and sizes (`64KiB`, `8MiB`). A
//! field that is set twice is an error, even with the same value. Definitions, defaults, constraints and
//! references of CUE are not supported and rejected as syntax errors.
//!
//! **Bounds:** files of at most [`MAX_FILE_BYTES`], records and lists nested at most [`MAX_DEPTH`] deep.

mod grammar;
mod record;

pub use record::{Record, RecordError};

/// Maximum length of a file (bytes).
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Maximum nesting depth of records and lists.
pub const MAX_DEPTH: usize = 16;
