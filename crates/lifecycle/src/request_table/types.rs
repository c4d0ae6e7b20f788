//! What comes to the request table and what it orders, in no protocol's words.

use petrelgauge_policy::*;
use petrelgauge_sessions::{SessionKey, Token};

/// A request, in no protocol's words.
#[derive(Clone, Debug)]
pub struct Request {
    /// Place of its class, as [`RequestTable::find_class`](super::RequestTable::find_class) gave it.
    pub class: usize,
    /// Its group.
    pub group: GroupId,
    /// Clock time at which the client gives it up.
    pub until: Time,
    /// The client marked it as a repeat.
    pub is_retry: bool,
    /// Clock time at which it came.
    pub at: Time,
    /// Commit that its client says its data must hold.
    pub after: Option<Time>,
    /// Its session, if its class carries sessions.
    pub session: Option<SessionRef>,
}

/// A session's request.
#[derive(Clone, Debug)]
pub struct SessionRef {
    /// The session in the request's group.
    pub key: SessionKey,
    /// The token that the client brought.
    pub token: Option<Token>,
}

/// How an attempt ended and what the member said with it.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// Clock time up to which the member has applied all commits; for a served write its commit.
    pub position: Option<Time>,
    /// The member's role.
    pub role: Option<Role>,
    /// The member's load report.
    pub report: Report,
    /// The member says that the request itself cannot be used: that is its answer, and no other is asked.
    pub unusable: bool,
}

impl Outcome {
    /// An ending with which nobody said anything.
    pub fn silent(ending: Ending) -> Outcome {
        Outcome { ending, position: None, role: None, report: Report::default(), unusable: false }
    }
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Make this attempt.
    Send(Send),
    /// The request has its end: refused, harmless to try again, after `wait` if that is not 0.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        wait: Time,
    },
    /// The request has its end: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Give up an attempt before its time: close its connection, then report it.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A line for the staff.
    Log(String),
}

/// An attempt to make. It must be reported once.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Its request.
    pub request: RequestId,
    /// Its number, from 0.
    pub attempt: u32,
    /// The member to send to.
    pub host: MemberId,
    /// Clock time at which to give it up.
    pub until: Time,
    /// Clock time by which it must be written, if at all: a repeat with a key, within the key's window.
    pub write_by: Time,
    /// When it was ordered.
    pub at: Time,
}

/// Why new settings were not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingsRejected {
    /// They make no sense.
    Invalid(SettingsError),
    /// There are open requests of too many classes.
    TooManyClasses,
    /// They ask for sessions, which are switched on at the start only.
    SessionsDisabled,
}

impl std::fmt::Display for SettingsRejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsRejected::Invalid(cause) => cause.fmt(f),
            SettingsRejected::TooManyClasses => {
                write!(f, "requests of too many earlier classes are still open")
            }
            SettingsRejected::SessionsDisabled => write!(f, "sessions are switched on at the start only"),
        }
    }
}
