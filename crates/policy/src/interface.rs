//! The words between a router and the program that embeds it: settings, events and actions.
//! Nothing here decides anything.

use std::sync::Arc;

/// Microseconds, as a point of the embedding program's clock or as a span.
pub type Time = i64;
/// A member of a group, as the list names it.
pub type MemberId = u32;
/// A group: one primary and its replicas.
pub type GroupId = u64;
/// Name of a request; never used again.
pub type RequestId = Arc<str>;

/// What a member answers counts as known so long after it was written (microseconds; the protocol page), whether or not it
/// has arrived: a connection that falls silent keeps an answer from its gateway, and not from the rules.
pub const ASSUMED_KNOWN_AFTER: Time = 100_000;

/// What data a request of a class needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// A write: only the primary takes it.
    Write,
    /// All commits before the request reached the router.
    Strong,
    /// What its floor names.
    Session,
    /// Data no older than this span when it is sent.
    Bounded(Time),
    /// Any data will do.
    Eventual,
}

impl Need {
    /// How old its data may be, where that is bounded by a span.
    pub fn bound(self) -> Option<Time> {
        match self {
            Need::Bounded(bound) => Some(bound),
            _ => None,
        }
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// Repeats are dropped for `window` after the first attempt that may have run.
    Keyed {
        /// How long repeats are remembered.
        window: Time,
        /// Where they are remembered.
        scope: Scope,
    },
    /// Must not run twice.
    Unsafe,
}

/// Members that share the memory of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scope {
    /// All members.
    All,
    /// Members in the zone of the first attempt.
    Zone,
    /// Members of the same group.
    Group,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name; never looked at by the decisions.
    pub name: String,
    /// What data it needs.
    pub need: Need,
    /// What a repeat does.
    pub effect: Effect,
    /// Most attempts for one request.
    pub attempts: u32,
    /// An answer within this span earns the full worth.
    pub latency_target: Time,
    /// How long a client waits in all, over all its tries.
    pub deadline: Time,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth for an answer after the aim.
    pub late_share: f64,
}

/// What a member does with a read for which it is too far behind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behind {
    /// It answers from what it has.
    Serve,
    /// It turns the read away at once.
    #[default]
    Refuse,
    /// It waits up to this span, then turns it away.
    Wait(Time),
}

/// What the list tells of the primary's role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ListRole {
    /// Nothing.
    #[default]
    Absent,
    /// As it was at the start.
    Static,
    /// As it was a few seconds ago.
    Trailing,
}

/// What a router is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes; requests name them by place.
    pub classes: Vec<Class>,
    /// How many routers serve these groups, this one included.
    pub routers: u32,
    /// Zone of this router.
    pub zone: String,
    /// Least span between two batches.
    pub granularity: Time,
    /// Most requests that clients can hold open at this router.
    pub most_open: u32,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Two attempts of one request may be out together.
    pub may_hedge: bool,
    /// Members may be probed.
    pub may_probe: bool,
    /// List changes come only when asked for.
    pub list_on_request: bool,
    /// Longest wait a refused client obeys; 0 where it is not told.
    pub max_wait_hint: Time,
    /// Span past the client's end in which a final answer still counts.
    pub answer_slack: Time,
    /// What a request takes on its way here, and its refusal on the way back: half of its time, past which a refusal
    /// unsent is priced, is reckoned by its client.
    pub way: Time,
    /// Clock time at which every request that is taken in has its final answer, whatever its client would wait.
    pub last: Time,
    /// Least share of its capacity that a started member has.
    pub cold_from: f64,
    /// Span after which a started member has all of it at the latest.
    pub cold_for: Time,
    /// A cold member sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... over this span falls over.
    pub overload_span: Time,
    /// Span in which sends to a draining or gone member must end.
    pub drain_grace: Time,
    /// A router that has not asked for the list for this long counts as told of its changes.
    pub ask_every: Time,
    /// Only a member listed as draining is barred, not one merely gone.
    pub soft_removal: bool,
    /// What a trailing member does with a read.
    pub behind: Behind,
    /// What the list tells of the primary.
    pub list_role: ListRole,
    /// Longest that a read waits for a replica about to pass its floor; 0 where none does.
    pub hold: Time,
    /// Members of a group without a primary are tried so many times as rarely as a router on its own would (count).
    pub scout_every: Time,
    /// The router's clock may differ from the hosts' by any span: the difference is then estimated from what they tell.
    pub clock_may_be_wrong: bool,
    /// Price of one crossing of zones a request, as a share of all worth.
    pub crossing_price: f64,
    /// Price of one probe a request, as a share of all worth.
    pub probe_price: f64,
}

/// Routers that a tier can have (count): a mistyped number would leave each with next to no part in the limits.
const MOST_ROUTERS: u32 = 10_000;

impl Default for Settings {
    /// No classes yet; one router that may do nothing but send, with figures that a small installation can keep.
    fn default() -> Settings {
        Settings {
            classes: Vec::new(),
            routers: 1,
            zone: String::new(),
            granularity: 5_000,
            most_open: 20_000,
            may_cancel: true,
            may_hedge: false,
            may_probe: false,
            list_on_request: false,
            max_wait_hint: 500_000,
            answer_slack: 20_000,
            way: 0,
            last: Time::MAX,
            cold_from: 0.2,
            cold_for: 10_000_000,
            overload_factor: 4.0,
            overload_span: 3_000_000,
            drain_grace: 250_000,
            ask_every: 10_000_000,
            soft_removal: false,
            behind: Behind::Refuse,
            list_role: ListRole::Trailing,
            hold: 0,
            scout_every: 1,
            clock_may_be_wrong: false,
            crossing_price: 0.0,
            probe_price: 0.0,
        }
    }
}

impl Settings {
    /// Whether the figures make sense; says nothing of whether they are wise.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (place, class) in self.classes.iter().enumerate() {
            let window_ok = !matches!(class.effect, Effect::Keyed { window, .. } if window < 0);
            let bound_ok = !matches!(class.need, Need::Bounded(bound) if bound < 0);
            let figures_ok = class.latency_target > 0 && class.deadline >= class.latency_target;
            let worth_ok = class.priority_weight.is_finite()
                && class.priority_weight >= 0.0
                && class.late_share.is_finite();
            if !(window_ok && bound_ok && figures_ok && worth_ok) {
                return Err(SettingsError::BadClass(place));
            }
        }
        let figures = [
            (self.classes.iter().all(|class| class.attempts > 0), "the most attempts"),
            ((1..=MOST_ROUTERS).contains(&self.routers), "the number of routers"),
            (self.granularity > 0, "the granularity"),
            (self.scout_every > 0, "the rareness of scouting"),
            (self.overload_factor > 0.0, "the overload factor"),
            ((0.0..=1.0).contains(&self.cold_from), "the cold share"),
        ];
        match figures.iter().find(|(sound, _)| !sound) {
            Some((_, what)) => Err(SettingsError::BadFigure(what)),
            None => Ok(()),
        }
    }
}

/// Why a router could not be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingsError {
    /// No class at all.
    NoClasses,
    /// The class of this place has an aim, deadline, bound, window or worth that makes no sense.
    BadClass(usize),
    /// The named figure makes no sense.
    BadFigure(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "the settings name no class"),
            SettingsError::BadClass(i) => write!(f, "class number {i} has a figure that makes no sense"),
            SettingsError::BadFigure(what) => write!(f, "{what} makes no sense"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// How a member stands on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum MemberStatus {
    /// Runs.
    #[default]
    Up,
    /// Finishes its work.
    Draining,
    /// Removed.
    Removed,
}

/// A line of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: String,
    /// Its size in relation to the others.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started: Time,
    /// How it stands.
    pub standing: MemberStatus,
    /// The list takes it for the primary.
    pub primary: bool,
}

/// How far this router's part in the limits of a group's members differs from an even one, for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Share {
    /// What it has more, in even parts; what it gave away is under 0, and never all of it.
    pub extra: f64,
    /// Until when: after that its part is the even one.
    pub until: Time,
}

impl Share {
    /// The least that is left to any router, in even parts.
    pub const LEAST: f64 = 0.5;

    /// Its part at a time, in even ones.
    pub fn at(&self, now: Time) -> f64 {
        if now < self.until {
            (1.0 + self.extra).max(Share::LEAST)
        } else {
            1.0
        }
    }
}

/// A member's role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// Served.
    Served,
    /// An error; it may have had an effect.
    Error,
    /// Rejected unseen: the queue is full or the member drains.
    QueueFull,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Turned away untouched: not the primary, or too far behind.
    Rejected,
}

impl Ending {
    /// It proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::QueueFull | Ending::ConnectFailed | Ending::NotSent | Ending::Rejected)
    }
}

/// What a member says of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Clock time up to which it has applied all commits, as of the report.
    pub position: Option<Time>,
    /// Its role, as of the report.
    pub role: Option<Role>,
    /// Requests waiting there.
    pub waiting: Option<f64>,
    /// Share of its processors in use.
    pub busy: Option<f64>,
}

/// What reaches a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list: whole, or only what changed.
    List {
        /// What is not in it is gone.
        whole: bool,
        /// Its lines.
        entries: Arc<[Entry]>,
    },
    /// New work.
    Request {
        /// Its name.
        request: RequestId,
        /// Place of its class in the settings.
        class: usize,
        /// Its group.
        group: GroupId,
        /// Until the client gives up this try.
        time_left: Time,
        /// The client marked it as a repeat.
        repeat: bool,
        /// Commit that the data read for it must hold, beside what its class needs.
        floor: Option<Time>,
    },
    /// What must be seen by a request that waits is less by now.
    Floor {
        /// The request.
        request: RequestId,
        /// The commit.
        floor: Time,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sends.
        attempt: u32,
        /// Where it went.
        member: MemberId,
        /// How it ended.
        ending: Ending,
        /// Time since the send.
        took: Time,
        /// The request is finished.
        closed: bool,
        /// Clock time up to which the member has applied all commits; for a served write its commit.
        position: Option<Time>,
        /// The member's role.
        role: Option<Role>,
        /// The member's report.
        report: Report,
    },
    /// Another router had an answer of this member as its group's primary, at this time.
    GossipedPrimary {
        /// The member.
        member: MemberId,
        /// When.
        at: Time,
    },
    /// What this router may use of the limits of a group's members, until it is told again or the share is over.
    Share(GroupId, Share),
    /// Nobody waits for the request any more.
    Withdrawn {
        /// The request.
        request: RequestId,
    },
    /// A probe ended.
    Probed {
        /// The member.
        member: MemberId,
        /// How it ended.
        ending: Ending,
        /// The member's report.
        report: Report,
    },
    /// A timer came due.
    Timer {
        /// As given.
        token: u64,
    },
}

/// What a router wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// Clock time to give it up.
        until: Time,
    },
    /// Final answer: rejected, harmless to try again.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait; 0 for no advice.
        wait: Time,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ask a member how it is.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Subscribe to list changes.
    WatchList,
    /// Call for the whole list.
    ReadList,
    /// Set a timer.
    Timer {
        /// Comes back as given.
        token: u64,
        /// Clock time.
        at: Time,
    },
    /// A line for the staff.
    Log {
        /// The text.
        text: String,
    },
}
