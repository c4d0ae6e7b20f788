//! The input of the request table and its orders, independent of any protocol.

use petrelgauge_policy::*;
use petrelgauge_sessions::{SessionKey, SessionTracker, Token};

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its class, as [`RequestTable::find_class`](super::RequestTable::find_class) gave it.
    pub class: usize,
    /// Its group.
    pub group: GroupId,
    /// Clock time at which the client stops waiting.
    pub until: Time,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// Clock time at which it arrived.
    pub at: Time,
    /// A commit that the data of the answer must include, as required by the client.
    pub after: Option<Time>,
    /// Its session, if its class has sessions.
    pub session: Option<SessionRef>,
}

/// The session of a request.
#[derive(Clone, Debug)]
pub struct SessionRef {
    /// The session in the request's group.
    pub key: SessionKey,
    /// The token that the client sent.
    pub token: Option<Token>,
}

/// The sessions that a request table tracks.
#[derive(Clone, Debug)]
pub struct SessionTracking {
    /// The watermarks of the sessions.
    pub tracker: SessionTracker,
    /// Places, in the settings, of the classes whose requests belong to sessions.
    pub classes: Vec<usize>,
}

/// How an attempt ended and what the member reported with its answer.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// Time of the hosts' clock up to which the member has applied all commits; for a served write its commit.
    pub position: Option<Time>,
    /// The member's role.
    pub role: Option<Role>,
    /// The member's load report.
    pub report: Report,
    /// The member can't execute the request itself: that is the final answer, and no other member is tried.
    pub unusable: bool,
}

impl Outcome {
    /// An ending without a report of the member.
    pub fn silent(ending: Ending) -> Outcome {
        Outcome { ending, position: None, role: None, report: Report::default(), unusable: false }
    }
}

/// What the caller has to do. Orders are carried out in sequence.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Make this attempt.
    Send(Send),
    /// The request ends: rejected, and safe to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries (microseconds), if not 0.
        wait: Time,
    },
    /// The request ends: failed, and it may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt: close its connection, then report it.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A line for the log.
    Log(String),
}

/// An attempt to make. It must be reported exactly once.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Its request.
    pub request: RequestId,
    /// Its number, from 0.
    pub attempt: u32,
    /// The member to send to.
    pub host: MemberId,
    /// Clock time at which to abandon it.
    pub until: Time,
    /// Clock time by which it must be written, if at all: the end of the window of its idempotency key for a retry.
    pub write_by: Time,
    /// Clock time at which it was ordered.
    pub at: Time,
}

/// Why new settings were rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingsRejected {
    /// They are invalid.
    Invalid(SettingsError),
    /// Open requests have too many different classes.
    TooManyClasses,
    /// They have classes with sessions, which are switched on at the start only.
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
