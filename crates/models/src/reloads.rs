//! Model `reloads`: settings change while queries wait for their turn, and while requests are open, in flight,
//! or have ended without the router knowing. The request table with its router is the gateway's own code.

use crate::check::{check, Report, World};
use crate::rules::{classes, NAMES};
use crate::Size;
use petrelgauge_lifecycle::class_table::{ClassSetVersion, IdempotencyKey, OVERLAP};
use petrelgauge_lifecycle::request_table::{
    AttemptSpec, ClassLookup, Outcome, Request, RequestTable, TableCommand,
};
use petrelgauge_policy::{Class, Ending, Entry, GroupId, MemberStatus, RequestId, Settings, Time, Update};

const KEPT: &str =
    "an open request keeps the class that it was admitted with, until the router knows its end";
const RECEIVED: &str = "a query has the class under which it was received, whenever its turn comes";

const GROUP: GroupId = 2;
/// Clock time at the start (microseconds).
const START: Time = 1_000_000_000;
/// Time between two steps of the router (microseconds).
const GRANULE: Time = 5_000;
/// How long clients wait (microseconds): longer than any run.
const WAIT: Time = 1_000_000_000;

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The gateway receives a query that names this class, with an idempotency key or without.
    QueryReceived(usize, bool),
    /// The turn of the waiting query with this index comes.
    TurnComes(usize),
    /// The attempt of the open request with this index is answered.
    Answered(usize),
    /// The client of the open request with this index leaves.
    ClientLeaves(usize),
    /// The router is stepped.
    RouterSteps,
    /// These settings are applied.
    SettingsChange(usize),
    /// Clients know of the last change.
    ClientsCatchUp,
}

/// A query that waits for its turn.
#[derive(Clone, Debug)]
struct Query {
    name: usize,
    key: IdempotencyKey,
    version: ClassSetVersion,
    received_at: Time,
    /// The class that it had when it was received.
    class: Option<Class>,
}

/// A request that was admitted, with the index and a copy of its class.
#[derive(Clone, Debug)]
struct OpenRequest {
    id: RequestId,
    index: usize,
    class: Class,
    attempt: Option<AttemptSpec>,
}

/// A class whose index the router will look up in its next step.
#[derive(Clone, Debug)]
struct EndedRequest {
    index: usize,
    class: Class,
}

#[derive(Clone, Debug)]
struct Changes {
    now: Time,
    table: RequestTable,
    /// Number of the settings in force.
    in_force: usize,
    /// Clock time at which all clients know of the last change.
    known_to_all_at: Time,
    queries: Vec<Query>,
    open: Vec<OpenRequest>,
    /// Requests that have ended since the router's last step.
    ended: Vec<EndedRequest>,
    queries_left: u8,
    changes_left: u8,
    router_is_due: bool,
    violated: Option<&'static str>,
}

fn settings(which: usize) -> Settings {
    Settings { granularity: GRANULE, classes: classes(which), ..Settings::default() }
}

impl Changes {
    fn new(queries_left: u8, changes_left: u8) -> Changes {
        let table = RequestTable::new(settings(0), 5, None)
            .unwrap_or_else(|cause| unreachable!("constant settings: {cause}"));
        let mut model = Changes {
            now: START,
            table,
            in_force: 0,
            known_to_all_at: START,
            queries: Vec::new(),
            open: Vec::new(),
            ended: Vec::new(),
            queries_left,
            changes_left,
            router_is_due: false,
            violated: None,
        };
        let member = Entry {
            member: 1,
            group: GROUP,
            zone: String::new(),
            weight: 1.0,
            started: 0,
            status: MemberStatus::Up,
            primary: true,
        };
        model.table.update_endpoints(Update::Complete, vec![member]);
        model.step_router();
        model
    }

    /// Records that a property is violated, unless one is already.
    fn require(&mut self, holds: bool, property: &'static str) {
        if !holds {
            self.violated = self.violated.or(Some(property));
        }
    }

    fn find(&self, query: &Query) -> Option<ClassLookup> {
        self.table.find_class(query.version, query.received_at, NAMES[query.name], query.key)
    }

    fn receive(&mut self, name: usize, keyed: bool) {
        self.queries_left -= 1;
        let key = if keyed { IdempotencyKey::Present } else { IdempotencyKey::Absent };
        let version = self.table.hold_classes();
        let mut query = Query { name, key, version, received_at: self.now, class: None };
        query.class = self.find(&query).map(|found| found.class);
        self.queries.push(query);
    }

    fn admit(&mut self, index: usize) {
        let query = self.queries.remove(index);
        let found = self.find(&query);
        // A class that was added while the query waited may be found.
        let is_as_received =
            query.class.is_none() || query.class == found.as_ref().map(|it| it.class.clone());
        self.require(is_as_received, RECEIVED);
        if let Some(ClassLookup { index, class }) = found {
            let id = self.table.admit(Request {
                class: index,
                group: GROUP,
                deadline: self.now + WAIT,
                is_retry: false,
                arrived_at: self.now,
                required_position: None,
                session: None,
            });
            self.open.push(OpenRequest { id, index, class, attempt: None });
            self.router_is_due = true;
        }
        self.table.release_classes(query.version);
    }

    fn answer(&mut self, index: usize) {
        let OpenRequest { index, class, attempt, .. } = self.open.remove(index);
        if let Some(attempt) = attempt {
            self.table.report(self.now, &attempt, Outcome::without_report(Ending::Served));
        }
        self.end(index, class);
    }

    fn leave(&mut self, index: usize) {
        let OpenRequest { id, index, class, attempt } = self.open.remove(index);
        self.table.abandon(&id);
        if let Some(attempt) = attempt {
            self.table.report(self.now, &attempt, Outcome::without_report(Ending::Cancelled));
        }
        self.end(index, class);
    }

    fn end(&mut self, index: usize, class: Class) {
        self.ended.push(EndedRequest { index, class });
        self.router_is_due = true;
    }

    fn step_router(&mut self) {
        self.now += GRANULE;
        self.router_is_due = false;
        self.ended.clear();
        for command in self.table.tick(self.now).commands {
            match command {
                TableCommand::Send(spec) => {
                    let request = self.open.iter_mut().find(|request| request.id == spec.id.request);
                    request.into_iter().for_each(|request| request.attempt = Some(spec.clone()));
                }
                TableCommand::Reject { request, .. } | TableCommand::Fail { request } => {
                    self.open.retain(|open| open.id != request);
                }
                TableCommand::Cancel(_) | TableCommand::Log(_) => {}
            }
        }
    }

    fn change_settings(&mut self, which: usize) {
        self.changes_left -= 1;
        if self.table.apply_settings(self.now, settings(which), &[]).is_err() {
            return;
        }
        // Settings whose classes stay as they are replace nothing.
        if std::mem::replace(&mut self.in_force, which) != which {
            self.known_to_all_at = self.now + OVERLAP;
        }
    }

    fn check(&mut self) {
        let ended = self.ended.iter().map(|request| (request.index, &request.class));
        let mut held = self.open.iter().map(|request| (request.index, &request.class)).chain(ended);
        let is_kept = held.all(|(index, class)| self.table.class(index) == Some(class));
        self.require(is_kept, KEPT);
    }
}

impl World for Changes {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[KEPT, RECEIVED];

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.queries_left > 0 {
            let both = |name| [Step::QueryReceived(name, true), Step::QueryReceived(name, false)];
            steps.extend((0..NAMES.len()).flat_map(both));
        }
        steps.extend((0..self.queries.len()).map(Step::TurnComes));
        let in_flight = self.open.iter().enumerate().filter(|(_, request)| request.attempt.is_some());
        steps.extend(in_flight.map(|(index, _)| Step::Answered(index)));
        steps.extend((0..self.open.len()).map(Step::ClientLeaves));
        if self.router_is_due {
            steps.push(Step::RouterSteps);
        }
        if self.changes_left > 0 {
            steps.extend((0..3).map(Step::SettingsChange));
        }
        if self.now < self.known_to_all_at {
            steps.push(Step::ClientsCatchUp);
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::QueryReceived(name, keyed) => self.receive(name, keyed),
            Step::TurnComes(index) => self.admit(index),
            Step::Answered(index) => self.answer(index),
            Step::ClientLeaves(index) => self.leave(index),
            Step::RouterSteps => self.step_router(),
            Step::SettingsChange(which) => self.change_settings(which),
            Step::ClientsCatchUp => self.now = self.known_to_all_at,
        }
        self.check();
    }

    fn describe(&self, step: &Step) -> String {
        match step {
            Step::QueryReceived(name, keyed) => {
                format!("a query of class {} is received, with a key: {keyed}", NAMES[*name])
            }
            Step::TurnComes(index) => format!("the turn of waiting query {index} comes"),
            Step::Answered(index) => format!("open request {index} is answered"),
            Step::ClientLeaves(index) => format!("the client of open request {index} leaves"),
            Step::RouterSteps => "the router is stepped".into(),
            Step::SettingsChange(which) => format!("SIGHUP, settings {which}"),
            Step::ClientsCatchUp => "clients know of the last change".into(),
        }
    }

    fn violated(&self) -> Option<&'static str> {
        self.violated
    }
}

/// Runs the model.
pub fn run(size: Size, path: &[String]) -> Report {
    let (queries, changes) = if size == Size::Small { (1, 3) } else { (2, 2) };
    check(Changes::new(queries, changes), path)
}
