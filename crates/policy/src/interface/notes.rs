//! Notes for operators: changes in the health of a member.

use super::ids::{MemberId, Time};
use std::fmt;

/// A change in the health of a member, displayed as an event phrase followed by `key=value` fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The member has not answered for too long: until it answers, it receives only trials.
    MemberSuspected {
        /// The suspected member, displayed as `host`.
        member: MemberId,
        /// Longest wait of an unanswered attempt since the member last answered (microseconds).
        silence: Time,
        /// Silence that was allowed for the member's load (microseconds).
        allowed: Time,
        /// Sum of the waits of its unanswered attempts, each in latency targets of its class.
        unanswered_targets: f64,
    },
    /// The member failed a health check: no requests are sent to it.
    MemberDown {
        /// The member that failed the health check, displayed as `host`.
        member: MemberId,
    },
    /// A suspected or down member has answered.
    MemberRecovered {
        /// The member that answered, displayed as `host`.
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

/// A note to write to the log. Notes are rate-limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogEntry {
    /// The note that the rate limit let through.
    pub note: Note,
    /// Number of notes suppressed by the rate limit since the last entry.
    pub suppressed: u32,
}

impl fmt::Display for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} suppressed={}", self.note, self.suppressed)
    }
}
