//! Inputs and outputs of the request table, independent of any protocol.

use petrelgauge_policy::{
    Class, Ending, GroupId, LogEntry, MemberId, Report, RequestId, Role, SettingsError, Time,
};
use petrelgauge_sessions::{Counts, SessionKey, SessionTracker, Token};

/// A request of a client, to be passed to [`RequestTable::admit`](super::RequestTable::admit).
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of its class, as returned by [`RequestTable::find_class`](super::RequestTable::find_class).
    pub class: usize,
    /// The group whose members may execute it.
    pub group: GroupId,
    /// Clock time at which the client stops waiting.
    pub deadline: Time,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Clock time at which it arrived.
    pub arrived_at: Time,
    /// Position of a commit that the answer's data must include, if the client requires one.
    pub required_position: Option<Time>,
    /// Its session, if its class has sessions.
    pub session: Option<SessionRef>,
}

/// The session that a request belongs to, with the token that its client sent.
#[derive(Clone, Debug)]
pub struct SessionRef {
    /// The session in the request's group.
    pub key: SessionKey,
    /// The valid token that the client sent, if any; the join of them if it sent several.
    pub token: Option<Token>,
}

/// What a request table needs for session consistency.
#[derive(Clone, Debug)]
pub struct SessionTracking {
    /// The watermarks of the sessions.
    pub tracker: SessionTracker,
    /// Indexes, in the settings, of the classes whose requests belong to sessions.
    pub classes: Vec<usize>,
}

/// How an attempt ended and what the member reported with its answer.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Whether the member served the request and, if not, whether the attempt may have run.
    pub ending: Ending,
    /// Time of the hosts' clock up to which the member has applied all commits; for a served write the time
    /// of its commit.
    pub position: Option<Time>,
    /// Role that the member stated in its answer.
    pub role: Option<Role>,
    /// The load report in the member's answer; empty if there was none.
    pub report: Report,
    /// Whether no member can execute the request: the member's error is the final answer, and no other member
    /// is tried.
    pub is_unusable: bool,
}

impl Outcome {
    /// The outcome of an attempt that ended without a report of the member.
    pub fn without_report(ending: Ending) -> Outcome {
        Outcome { ending, position: None, role: None, report: Report::default(), is_unusable: false }
    }
}

/// What the caller has to do after a step of the router, in the given order.
///
/// These are the router's [`Action`](petrelgauge_policy::Action)s that concern the caller. In contrast to the
/// actions, an attempt has its number and its write deadline, actions for ended requests and reported
/// attempts are left out, and timers are handled by the table.
#[derive(Clone, Debug, PartialEq)]
pub enum TableCommand {
    /// Send this attempt to its member and report its outcome.
    Send(AttemptSpec),
    /// The request ends as rejected, and is safe to retry.
    Reject {
        /// Id of the request, as returned by [`RequestTable::admit`](super::RequestTable::admit).
        request: RequestId,
        /// Retry-After for the client (microseconds); 0 for none.
        wait: Time,
    },
    /// The request ends as failed, and may have run.
    Fail {
        /// Id of the request, as returned by [`RequestTable::admit`](super::RequestTable::admit).
        request: RequestId,
    },
    /// Cancel an attempt in flight: close its connection, then report it.
    Cancel(AttemptId),
    /// Write a log entry for operators.
    Log(LogEntry),
}

/// What [`RequestTable::tick`](super::RequestTable::tick) returns.
#[derive(Clone, Debug, PartialEq)]
pub struct Tick {
    /// Commands to execute in this order; none if no step was due.
    pub commands: Vec<TableCommand>,
    /// Clock time of the next call, if one is needed even without further events.
    pub next_at: Option<Time>,
}

/// An attempt, by its request and its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Id of its request, as returned by [`RequestTable::admit`](super::RequestTable::admit).
    pub request: RequestId,
    /// Number of attempts of the request that were issued before it.
    pub number: u32,
}

/// An attempt to make. It must be reported exactly once.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// Identifies the attempt in a later [`TableCommand::Cancel`].
    pub id: AttemptId,
    /// The member to send to, one of the request's group.
    pub host: MemberId,
    /// Clock time at which to abandon it.
    pub deadline: Time,
    /// Clock time by which it must be written or not at all. For a retry it is derived from the window of the
    /// idempotency key.
    pub write_deadline: Time,
    /// Clock time at which it was issued.
    pub issued_at: Time,
}

/// The class that a request names, with its index.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLookup {
    /// Index in the class table, as needed for [`Request::class`].
    pub index: usize,
    /// A copy of the class: of the settings in force, or of earlier ones that the client may still know.
    pub class: Class,
}

/// Counters of the sessions since the start.
#[derive(Clone, Copy, Debug)]
pub struct SessionCounts {
    /// Counters of the reads, tokens and broadcasts.
    pub counts: Counts,
    /// Gaps in the broadcasts of other gateways that were closed with an upper bound.
    pub broadcast_gaps: u64,
}

/// Watermark broadcasts to send now, and when more are due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueBroadcasts {
    /// The datagrams, each for every other gateway.
    pub datagrams: Vec<Vec<u8>>,
    /// Clock time at which more are due, if any will be.
    pub next_at: Option<Time>,
}

/// Why new settings were rejected. The previous ones stay in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingsRejected {
    /// They have no classes or a value that is out of range.
    Invalid(SettingsError),
    /// They have too many classes, together with those of open requests.
    TooManyClasses,
    /// They have classes with sessions, but sessions were disabled at the start.
    SessionsDisabled,
}

impl std::fmt::Display for SettingsRejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsRejected::Invalid(cause) => cause.fmt(f),
            SettingsRejected::TooManyClasses => {
                write!(f, "too many classes, together with those that open requests still use")
            }
            SettingsRejected::SessionsDisabled => {
                write!(f, "sessions can be enabled only at the start of the process")
            }
        }
    }
}
