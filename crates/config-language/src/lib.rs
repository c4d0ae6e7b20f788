//! The operator's file: records of named, typed values, in the manner of CUE. What a field may hold is asked for by
//! whoever reads it; a field that nobody asks for is an error, and so is a value of another type.
//!
//! ```
//! use petrelgauge_config_language::Record;
//!
//! let text = "sessions: {\n  // Which classes carry sessions.\n  classes: [\"balance-view\"]\n  pace: 100ms\n}\n";
//! let mut file = Record::read("petrelgauge.cue", text).expect("sound");
//! let mut sessions = file.record("sessions").expect("a record").expect("it is there");
//! assert_eq!(sessions.strings("classes").expect("strings"), Some(vec!["balance-view".to_string()]));
//! assert_eq!(sessions.duration("pace").expect("a span"), Some(100_000));
//! sessions.end().expect("nothing else is in it");
//! file.end().expect("nothing else is in it");
//! ```
//!
//! **Covered:** fields with plain or quoted names, `//` comments, records, lists, strings in double quotes, whole
//! numbers, `true` and `false`, durations (`500us`, `20ms`, `3s`, `2m`) and sizes (`64KiB`, `8MiB`). The same field twice
//! is an error, also with the same value. Definitions, defaults, constraints and references are not read yet: they
//! are rejected where they stand.
//!
//! **Bounds:** a file of 1 MiB, 16 records inside each other.

mod grammar;
mod record;

pub use record::{Record, RecordError};

/// Longest file that is read (bytes).
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Records and lists inside each other.
pub const MAX_DEPTH: usize = 16;
