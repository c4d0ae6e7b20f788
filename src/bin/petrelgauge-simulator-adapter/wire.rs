//! The simulator's JSON messages, and their translation to and from the router's types.

use crate::error::EventError;
use petrelgauge::settings::deployment::DeploymentSettings;
use petrelgauge::{Action, Ending, Entry, MemberId, MemberStatus, RequestId, Role, Time};
use serde::Deserialize;
use serde_json::{json, Value};
use std::sync::Arc;

/// Flag of a request that its client has marked as a retry.
const RETRY_FLAG: u64 = 2;
/// Number of low-order bits of a stamp that hold the role. The other bits hold the position.
const ROLE_BITS: u32 = 2;
const MICROSECONDS_PER_MILLISECOND: Time = 1_000;

/// One line of input: the events of all instances at one point in time.
#[derive(Deserialize)]
pub struct Batch {
    /// Clock time (microseconds).
    #[serde(rename = "wall_us")]
    pub now: Time,
    pub groups: Vec<InstanceEvents>,
}

/// The events of one instance.
#[derive(Deserialize)]
pub struct InstanceEvents {
    /// Number of the instance.
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "in")]
    pub events: Vec<WireEvent>,
}

/// An event of the simulator.
#[derive(Deserialize)]
#[serde(tag = "what")]
pub enum WireEvent {
    /// The instance starts with these settings.
    Configure {
        #[serde(rename = "prng")]
        seed: u64,
        info: Box<DeploymentSettings>,
    },
    /// The instance ends.
    Teardown,
    /// Defines an endpoint list for all instances.
    #[serde(rename = "Page")]
    DefineList {
        slot: u64,
        #[serde(rename = "rows_in")]
        rows: Vec<Row>,
    },
    /// Delivers a defined list, which is complete or holds changes to the previous one.
    #[serde(rename = "Membership")]
    List {
        mode: String,
        #[serde(default)]
        slot: u64,
    },
    #[serde(rename = "Incoming")]
    Request(RequestMessage),
    #[serde(rename = "Begun")]
    AttemptStarted {},
    #[serde(rename = "Done")]
    Outcome(OutcomeMessage),
    /// The client has abandoned the request.
    #[serde(rename = "Withdrawn")]
    Abandoned {
        #[serde(rename = "txn")]
        request: RequestId,
    },
    #[serde(rename = "Wakeup")]
    Timer {
        #[serde(rename = "handle")]
        token: u64,
    },
    #[serde(rename = "HealthResult")]
    ProbeResult {
        #[serde(rename = "node")]
        member: MemberId,
        status: String,
        #[serde(default, rename = "metrics")]
        report: Option<Vec<f64>>,
    },
    #[serde(rename = "FromPeer")]
    PeerMessage {},
}

/// A new request.
#[derive(Deserialize)]
pub struct RequestMessage {
    #[serde(rename = "txn")]
    pub request: RequestId,
    /// Time until its client abandons it (microseconds).
    #[serde(rename = "time_left_us")]
    pub time_left: Time,
    #[serde(default)]
    flags: u64,
    #[serde(default, rename = "group_no")]
    pub group: f64,
    /// Age of the commit that the read must see, as specified by the client (milliseconds); 0 for none.
    #[serde(default, rename = "token_ms")]
    commit_age_ms: f64,
    #[serde(default)]
    pub session: Option<Arc<str>>,
    /// Name of the request's class.
    #[serde(rename = "service")]
    pub class: String,
}

impl RequestMessage {
    /// Whether the client has marked the request as a retry.
    pub fn is_marked_retry(&self) -> bool {
        self.flags & RETRY_FLAG != 0
    }

    /// Age of the commit that the client specifies (microseconds), if any.
    pub fn commit_age(&self) -> Option<Time> {
        (self.commit_age_ms > 0.0).then_some((self.commit_age_ms * 1e3) as Time)
    }
}

/// The outcome of an attempt.
#[derive(Deserialize)]
pub struct OutcomeMessage {
    #[serde(rename = "txn")]
    pub request: RequestId,
    /// Whether the request ends with this attempt.
    #[serde(default, rename = "no_more")]
    pub is_final: bool,
    #[serde(rename = "node")]
    pub member: MemberId,
    #[serde(default, rename = "mark")]
    pub stamp: Stamp,
    pub status: String,
    /// Duration of the attempt (microseconds).
    #[serde(default, rename = "took_us")]
    pub took: Time,
    #[serde(rename = "shot")]
    pub attempt: u32,
    #[serde(default, rename = "metrics")]
    pub report: Option<Vec<f64>>,
}

/// Replication position and role of the member that answered, packed into one number; 0 if both are unknown.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(transparent)]
pub struct Stamp(u64);

impl Stamp {
    /// The member's replication position, as a clock time.
    pub fn position(self, origin: Time) -> Option<Time> {
        let milliseconds = self.0 >> ROLE_BITS;
        let since_origin = (milliseconds as Time).saturating_mul(MICROSECONDS_PER_MILLISECOND);
        (milliseconds > 0).then(|| origin.saturating_add(since_origin))
    }

    /// The member's role.
    pub fn role(self) -> Option<Role> {
        match self.0 & ((1 << ROLE_BITS) - 1) {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        }
    }
}

/// An entry of an endpoint list.
#[derive(Deserialize)]
pub struct Row {
    #[serde(rename = "node")]
    member: MemberId,
    #[serde(default, rename = "ready_at_us")]
    started: Time,
    #[serde(rename = "stage_state")]
    status: String,
    #[serde(default)]
    primary: f64,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    group: u64,
    #[serde(default, rename = "rack_zone")]
    zone: String,
}

fn default_weight() -> f64 {
    1.0
}

impl Row {
    /// Translates the entry into the router's type.
    ///
    /// # Errors
    ///
    /// Fails if the member's status is unknown.
    pub fn into_entry(self) -> Result<Entry, EventError> {
        let status = match self.status.as_str() {
            "U" => MemberStatus::Up,
            "L" => MemberStatus::Draining,
            "D" => MemberStatus::Removed,
            other => return Err(EventError::UnknownMemberStatus(other.to_string())),
        };
        Ok(Entry {
            member: self.member,
            group: self.group,
            zone: self.zone,
            weight: self.weight,
            started: self.started,
            status,
            primary: self.primary >= 0.5,
        })
    }
}

/// Translates the code for the outcome of an attempt or health check.
///
/// # Errors
///
/// Fails if the outcome is unknown.
pub fn parse_ending(status: &str) -> Result<Ending, EventError> {
    Ok(match status {
        "S" => Ending::Served,
        "E" => Ending::Error,
        "F" => Ending::QueueFull,
        "T" => Ending::TimedOut,
        "C" => Ending::ConnectFailed,
        "R" => Ending::ConnectionLost,
        "X" => Ending::Cancelled,
        "N" => Ending::NotSent,
        "M" => Ending::Rejected,
        other => return Err(EventError::UnknownEnding(other.to_string())),
    })
}

/// Translates an action of the router into the simulator's JSON.
pub fn action_to_json(action: &Action) -> Value {
    match action {
        Action::Send { request, member, until } => {
            json!({"what": "HandOff", "txn": &**request, "stop_at_us": until, "node": member})
        }
        Action::Reject { request, wait } => json!({"what": "Deny", "txn": &**request, "wait_us": wait}),
        Action::Fail { request } => json!({"what": "Surrender", "txn": &**request}),
        Action::Cancel { request, attempt } => {
            json!({"what": "Retract", "txn": &**request, "shot": attempt})
        }
        Action::Probe { member } => json!({"what": "Sample", "node": member}),
        Action::WatchList => json!({"what": "Watch", "want": true}),
        Action::ReadList => json!({"what": "ReadList"}),
        Action::Timer { token, at } => json!({"what": "NotifyMe", "handle": token, "fire_at_us": at}),
        Action::Log(entry) => json!({"what": "Trace", "text": entry.to_string()}),
    }
}
