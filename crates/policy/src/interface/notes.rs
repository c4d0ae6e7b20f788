//! Notes for operators: what a router has found out about a member.

use super::ids::{MemberId, Time};
use std::fmt;

/// What a router has found out about a member. Displayed as an event phrase with `key=value` fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The member has been silent for too long: only trials go there until it answers.
    MemberSuspected {
        /// The member.
        member: MemberId,
        /// Longest wait of an attempt since the last sign of life (microseconds).
        silence: Time,
        /// Silence that the member was allowed under its load (microseconds).
        allowed: Time,
        /// Waits of its unanswered attempts, each in latency targets of its class, added up.
        unanswered_targets: f64,
    },
    /// The member did not answer a health check: nothing new goes there.
    MemberDown {
        /// The member.
        member: MemberId,
    },
    /// A member that was suspected or down has answered.
    MemberRecovered {
        /// The member.
        member: MemberId,
    },
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::MemberSuspected { member, silence, allowed, unanswered_targets } => write!(
                f,
                "member suspected host={member} silence_us={silence} allowed_us={allowed} \
                 unanswered_targets={unanswered_targets:.1}"
            ),
            Note::MemberDown { member } => write!(f, "member down host={member}"),
            Note::MemberRecovered { member } => write!(f, "member recovered host={member}"),
        }
    }
}

/// A note to write to the log. Notes are limited in rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogEntry {
    /// The note.
    pub note: Note,
    /// Notes that were left out since the last entry (count).
    pub suppressed: u32,
}

impl fmt::Display for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} suppressed={}", self.note, self.suppressed)
    }
}
