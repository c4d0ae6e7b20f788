//! Models `attempt`, `primary` and `request_table`: requests in the gateway's own request table and router,
//! with the state machine of each attempt. Clients, hosts, the endpoint list and time belong to the model.
//! Time passes in granules. The router's commands are executed at once at each granule; everything else
//! happens in every order between two granules.
//!
//! | file | concern |
//! | --- | --- |
//! | `commands.rs` | executing the commands of the request table, and the properties that they must have |
//! | `steps.rs` | the steps that are possible in a state |
//! | `apply.rs` | what each step changes |

mod apply;
mod commands;
mod steps;

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_lifecycle::exchange::Exchange;
use petrelgauge_lifecycle::request_table::{AttemptId, AttemptSpec, Request, RequestTable};
use petrelgauge_policy::{
    Class, Effect, Entry, GroupId, MemberId, MemberStatus, Need, RequestId, Scope, Settings, Time, Update,
};

const GROUP: GroupId = 2;
/// Granule of time (microseconds).
const GRANULE: Time = 250_000;
/// Clock time at the start (microseconds).
const START: Time = 1_000_000_000;
/// A draining member gets nothing new after this time (microseconds).
const DRAIN_GRACE: Time = GRANULE;
/// Window of a payment's idempotency key: how long after the first attempt that may have run retries are
/// recognized (microseconds).
const KEY_WINDOW: Time = 1_000_000;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 3;
/// Number of granules after the deadline of all requests, during which the last attempts end.
const GRANULES_TO_END: Time = 4;
/// The latency target of each class (microseconds).
const LATENCY_TARGET: Time = 1_000_000;

const ONE_ANSWER: &str = "each request gets one final answer and only one";
const ONE_ATTEMPT: &str = "there are never two attempts of a request at once";
const DRAINED: &str = "nothing is sent to a draining member after the limit";
const ABANDONED: &str = "nothing is sent for a request whose client has left or has its answer";
const RETRY: &str = "no payment that may have run is sent again outside its class or its key's window";
const SAFE_REJECTION: &str = "a payment that may have run is never rejected as safe to retry";
const ATTEMPTS: &str = "no request has more attempts than allowed";
const REPORTED: &str = "every attempt is reported exactly once";
const ENDS: &str = "nothing waits for ever, and in the end nothing is in flight";

/// What a host can answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostAnswer {
    /// The row.
    Row,
    /// It rejects the request: not the primary, or its data are too old.
    Rejection,
    /// An error; the request may have run.
    Error,
}

/// A step of the model. Attempts and requests are named by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// A granule passes, and the router is stepped.
    TimePasses,
    /// The request of this attempt is written completely.
    Written(usize),
    /// The host refuses the connection of this attempt.
    Refused(usize),
    /// The host answers this attempt.
    Answered(usize, HostAnswer),
    /// The connection of this attempt breaks after the request.
    Broken(usize),
    /// This attempt times out.
    Due(usize),
    /// The cancellation of this attempt takes effect.
    Cancelled(usize),
    /// The client of this request leaves.
    ClientLeaves(usize),
    /// The endpoint list changes.
    ListChanges,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Drains(MemberId),
    BecomesPrimary(MemberId),
    Restarts(MemberId),
}

/// A request of a client.
#[derive(Clone, Debug)]
struct ClientRequest {
    id: RequestId,
    class: usize,
    until: Time,
    /// Number of final answers to the client.
    answers: u8,
    client_left: bool,
}

impl ClientRequest {
    fn is_open(&self) -> bool {
        !self.client_left && self.answers == 0
    }
}

/// An attempt that the request table has started.
#[derive(Clone, Debug)]
struct Attempt {
    spec: AttemptSpec,
    exchange: Exchange,
    /// Whether it was written completely and not rejected by the host.
    may_have_run: bool,
    cancelled: bool,
    reported: bool,
}

/// The state of the models.
#[derive(Clone, Debug)]
struct Attempts {
    table: RequestTable,
    now: Time,
    horizon: Time,
    /// The true primary.
    primary: MemberId,
    requests: Vec<ClientRequest>,
    attempts: Vec<Attempt>,
    /// Changes of the endpoint list still to come.
    changes: Vec<Change>,
    /// The member that the list names as draining, and since when.
    draining: Option<(MemberId, Time)>,
    clients_may_leave: bool,
    /// Effects of the classes, by index.
    effects: Vec<Effect>,
    violated: Option<&'static str>,
}

/// What a model explores.
struct Scenario<'a> {
    /// One request for each class.
    classes: Vec<Class>,
    primary: MemberId,
    changes: &'a [Change],
    clients_may_leave: bool,
    /// How long the clients wait (microseconds).
    wait: Time,
}

impl Attempts {
    fn new(scenario: Scenario<'_>) -> Attempts {
        let Scenario { classes, primary, changes, clients_may_leave, wait } = scenario;
        let effects: Vec<Effect> = classes.iter().map(|class| class.effect).collect();
        let settings =
            Settings { granularity: GRANULE, drain_grace: DRAIN_GRACE, classes, ..Settings::default() };
        let table = RequestTable::new(settings, 5, None)
            .unwrap_or_else(|cause| unreachable!("constant settings: {cause}"));
        let mut model = Attempts {
            table,
            now: START,
            horizon: START + wait + GRANULES_TO_END * GRANULE,
            primary,
            requests: Vec::new(),
            attempts: Vec::new(),
            changes: changes.to_vec(),
            draining: None,
            clients_may_leave,
            effects,
            violated: None,
        };
        let members = vec![entry(1, MemberStatus::Up, true, 0), entry(2, MemberStatus::Up, false, 0)];
        model.table.update_endpoints(Update::Complete, members);
        (0..model.effects.len()).for_each(|class| model.admit(class, START + wait));
        model.step_router();
        model
    }

    fn admit(&mut self, class: usize, until: Time) {
        let request = Request {
            class,
            group: GROUP,
            deadline: until,
            is_retry: false,
            arrived_at: START,
            required_position: None,
            session: None,
        };
        let id = self.table.admit(request);
        self.requests.push(ClientRequest { id, class, until, answers: 0, client_left: false });
    }

    /// Records that a property is violated, unless one is already.
    fn violate(&mut self, property: &'static str) {
        self.violated = self.violated.or(Some(property));
    }

    fn request_index(&self, id: &RequestId) -> usize {
        self.requests.iter().position(|request| request.id == *id).unwrap_or(0)
    }

    /// The effect of the class of this request.
    fn effect_of(&self, id: &RequestId) -> Effect {
        self.effects[self.requests[self.request_index(id)].class]
    }

    fn attempts_of<'a>(&'a self, id: &'a RequestId) -> impl Iterator<Item = &'a Attempt> {
        self.attempts.iter().filter(move |attempt| attempt.spec.id.request == *id)
    }

    /// When the first attempt of this request that may have run was ordered.
    fn may_have_run_since(&self, id: &RequestId) -> Option<Time> {
        self.attempts_of(id).find(|attempt| attempt.may_have_run).map(|attempt| attempt.spec.issued_at)
    }
}

fn entry(member: MemberId, status: MemberStatus, primary: bool, started: Time) -> Entry {
    Entry { member, group: GROUP, zone: String::new(), weight: 1.0, started, status, primary }
}

impl World for Attempts {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] =
        &[ONE_ANSWER, ONE_ATTEMPT, DRAINED, ABANDONED, RETRY, SAFE_REJECTION, ATTEMPTS, REPORTED, ENDS];

    fn steps(&self) -> Vec<Step> {
        self.possible_steps()
    }

    fn apply(&mut self, step: &Step) {
        self.apply_step(step);
    }

    fn describe(&self, step: &Step) -> String {
        let at = (self.now - START) as f64 / 1e6;
        let attempt = |index: usize| {
            let AttemptSpec { id: AttemptId { request, number }, host, .. } = &self.attempts[index].spec;
            format!("attempt {} of request {request} at host {host}", number + 1)
        };
        let what = match step {
            Step::TimePasses => "a quarter of a second passes, and the router is stepped".into(),
            Step::Written(index) => format!("{} is written completely", attempt(*index)),
            Step::Refused(index) => format!("{} gets no connection", attempt(*index)),
            Step::Broken(index) => format!("{} loses its connection", attempt(*index)),
            Step::Due(index) => format!("{} times out", attempt(*index)),
            Step::Cancelled(index) => format!("{} is cancelled", attempt(*index)),
            Step::Answered(index, HostAnswer::Row) => format!("{} is answered", attempt(*index)),
            Step::Answered(index, HostAnswer::Rejection) => format!("{} is rejected", attempt(*index)),
            Step::Answered(index, HostAnswer::Error) => format!("{} ends in an error", attempt(*index)),
            Step::ClientLeaves(index) => format!("the client of request {index} leaves"),
            Step::ListChanges => format!("the endpoint list changes: {:?}", self.changes[0]),
        };
        format!("after {at:.2} s {what}")
    }

    fn violated(&self) -> Option<&'static str> {
        self.violated
    }

    fn violated_at_end(&self) -> Option<&'static str> {
        let answered = self.requests.iter().all(|request| request.client_left || request.answers == 1);
        let is_idle = self.table.open_request_count() == 0 && self.table.in_flight_attempt_count() == 0;
        (!is_idle || !answered).then_some(ENDS)
    }
}

fn class(name: &str, need: Need, effect: Effect) -> Class {
    Class {
        name: name.into(),
        need,
        effect,
        attempts: MAX_ATTEMPTS as u32,
        latency_target: LATENCY_TARGET,
        deadline: 8_000_000,
        priority_weight: 2.0,
        late_share: 0.5,
    }
}

fn payment() -> Class {
    class("pay", Need::Write, Effect::Keyed { window: KEY_WINDOW, scope: Scope::Group })
}

/// How long the clients wait: this many granules, and two more in the large models (microseconds).
fn wait(size: Size, granules: Time) -> Time {
    GRANULE * (granules + if size == Size::Large { 2 } else { 0 })
}

/// Model `attempt`: one payment, and the host of the primary drains.
pub fn attempt(size: Size, path: &[String]) -> Report {
    let scenario = Scenario {
        classes: vec![payment()],
        primary: 1,
        changes: &[Change::Drains(1)],
        clients_may_leave: false,
        wait: wait(size, 8),
    };
    check(Attempts::new(scenario), path)
}

/// Model `primary`: a payment and a bounded read; the endpoint list names an old primary.
pub fn primary(size: Size, path: &[String]) -> Report {
    let scenario = Scenario {
        classes: vec![payment(), class("view", Need::Bounded(300_000), Effect::Safe)],
        primary: 2,
        changes: &[Change::BecomesPrimary(2), Change::Restarts(1)],
        clients_may_leave: false,
        wait: wait(size, 5),
    };
    check(Attempts::new(scenario), path)
}

/// Model `request_table`: a write that must not run twice and a read of any data, whose clients may leave.
pub fn request_table(size: Size, path: &[String]) -> Report {
    let write = class("once", Need::Write, Effect::Unsafe);
    let read = class("any", Need::Eventual, Effect::Safe);
    let scenario = Scenario {
        classes: vec![write, read],
        primary: 1,
        changes: &[],
        clients_may_leave: true,
        wait: wait(size, 5),
    };
    check(Attempts::new(scenario), path)
}
