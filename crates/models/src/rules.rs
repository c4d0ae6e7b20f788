//! Model `rules`: settings change while queries wait for their turn and requests are open. The class table is
//! the gateway's own code.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_lifecycle::class_table::{ClassSetVersion, ClassTable, IdempotencyKey, OVERLAP};
use petrelgauge_policy::{Class, Effect, Need, Scope, Time};
use std::collections::BTreeSet;

const UNCHANGED: &str = "an open request keeps the class that it was admitted with";
const RECEIVED: &str = "a query has the class under which it was received, whenever its turn comes";
const FOUND: &str = "a name that a client may know is found";
const CURRENT: &str = "a name is found with its newest rules once all clients know them";
const STRICT: &str = "no rule allows more repeats before all clients know it";
const BOUNDED: &str = "the table holds no more than what is in force, was, waits, and is open";

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The gateway receives a query that names this class, with an idempotency key or without.
    QueryReceived(usize, bool),
    /// The turn of the waiting query with this index comes.
    TurnComes(usize),
    /// The open request with this index ends.
    RequestEnds(usize),
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

/// An open request, with the index and a copy of the class with which it was admitted.
#[derive(Clone, Debug)]
struct OpenRequest {
    index: usize,
    class: Class,
}

/// Settings that are or were in force.
#[derive(Clone, Debug)]
struct AppliedSettings {
    which: usize,
    /// Clock time at which they were replaced.
    replaced_at: Time,
}

#[derive(Clone, Debug)]
struct Changes {
    now: Time,
    classes: ClassTable,
    /// The newest last.
    settings: Vec<AppliedSettings>,
    queries: Vec<Query>,
    open: Vec<OpenRequest>,
    queries_left: u8,
    changes_left: u8,
    violated: Option<&'static str>,
}

/// Names of all classes.
pub(crate) const NAMES: [&str; 3] = ["view", "post", "extra"];
/// Number of different settings.
const SETTINGS: usize = 4;
/// How long clients wait, and the latency target: longer than any run (microseconds).
const WAIT: Time = 1_000_000_000;

fn class(name: &str, effect: Effect) -> Class {
    let (name, need) = (name.to_string(), Need::Eventual);
    Class {
        name,
        need,
        effect,
        attempts: 4,
        latency_target: WAIT,
        deadline: WAIT,
        priority_weight: 1.0,
        late_share: 0.0,
    }
}

/// The classes of the settings that may be applied: one is added, another removed, and effects change.
pub(crate) fn classes(which: usize) -> Vec<Class> {
    let keyed = Effect::Keyed { window: 5_000_000, scope: Scope::Group };
    match which {
        0 => vec![class("view", Effect::Safe), class("post", keyed)],
        1 => vec![class("extra", Effect::Unsafe), class("view", keyed), class("post", keyed)],
        2 => vec![class("extra", Effect::Safe), class("view", Effect::Safe)],
        _ => vec![class("view", Effect::Safe)],
    }
}

/// How many repeats an effect allows, as a rank.
fn freedom(effect: Effect) -> u8 {
    match effect {
        Effect::Unsafe => 0,
        Effect::Keyed { .. } => 1,
        Effect::Safe => 2,
    }
}

fn is_keyed(class: &Class) -> bool {
    matches!(class.effect, Effect::Keyed { .. })
}

impl Changes {
    /// Records that a property is violated, unless one is already.
    fn require(&mut self, holds: bool, property: &'static str) {
        if !holds {
            self.violated = self.violated.or(Some(property));
        }
    }

    /// The forms of a class that a client may know now, newest first.
    fn known_forms(&self, name: &str) -> Vec<Class> {
        let known = self.settings.iter().rev().filter(|applied| self.now < applied.replaced_at + OVERLAP);
        known
            .filter_map(|applied| classes(applied.which).into_iter().find(|class| class.name == name))
            .collect()
    }

    fn find(&self, query: &Query) -> Option<usize> {
        self.classes.find(query.version, query.received_at, NAMES[query.name], query.key)
    }

    fn receive(&mut self, name: usize, keyed: bool) {
        self.queries_left -= 1;
        let key = if keyed { IdempotencyKey::Present } else { IdempotencyKey::Absent };
        let version = self.classes.hold();
        let mut query = Query { name, key, version, received_at: self.now, class: None };
        query.class = self.find(&query).map(|index| self.classes.class(index).clone());
        self.check_received(&query);
        self.queries.push(query);
    }

    /// Checks the class of a query that has just been received against what its client may know.
    fn check_received(&mut self, query: &Query) {
        let known = self.known_forms(NAMES[query.name]);
        self.require(query.class.is_some() || known.is_empty(), FOUND);
        let Some(found) = &query.class else { return };
        self.require(known.contains(found), CURRENT);
        if let [newest] = &known[..] {
            self.require(found == newest, CURRENT);
        }
        let has_key = query.key == IdempotencyKey::Present;
        let accepted = known.iter().filter(|form| has_key || !is_keyed(form));
        let strictest = accepted.map(|form| freedom(form.effect)).min();
        self.require(strictest.is_none_or(|strictest| freedom(found.effect) <= strictest), STRICT);
    }

    fn admit(&mut self, index: usize) {
        let query = self.queries.remove(index);
        let found = self.find(&query);
        let class = found.map(|index| self.classes.class(index).clone());
        // A class that was added while the query waited may be found.
        self.require(query.class.is_none() || query.class == class, RECEIVED);
        if let (Some(index), Some(class)) = (found, class) {
            self.open.push(OpenRequest { index, class });
        }
        self.classes.release(query.version);
    }

    fn change_settings(&mut self, which: usize) {
        self.changes_left -= 1;
        let used: BTreeSet<usize> = self.open.iter().map(|request| request.index).collect();
        if self.classes.update(self.now, classes(which), &used).is_err() {
            return;
        }
        // Settings whose classes stay as they are replace nothing.
        if let Some(in_force) = self.settings.last_mut().filter(|applied| applied.which != which) {
            in_force.replaced_at = self.now;
            self.settings.push(AppliedSettings { which, replaced_at: Time::MAX - OVERLAP });
        }
    }

    /// The time at which all clients know of the last change.
    fn known_to_all_at(&self) -> Time {
        self.settings.iter().rev().nth(1).map_or(0, |before| before.replaced_at + OVERLAP)
    }

    fn check(&mut self) {
        let is_unchanged =
            self.open.iter().all(|request| self.classes.table().get(request.index) == Some(&request.class));
        self.require(is_unchanged, UNCHANGED);
        // The classes of two settings, and one class for each query and open request.
        let bound = 2 * NAMES.len() + self.queries.len() + self.open.len();
        self.require(self.classes.table().len() <= bound, BOUNDED);
    }
}

impl World for Changes {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[UNCHANGED, RECEIVED, FOUND, CURRENT, STRICT, BOUNDED];

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.queries_left > 0 {
            let both = |name| [Step::QueryReceived(name, true), Step::QueryReceived(name, false)];
            steps.extend((0..NAMES.len()).flat_map(both));
        }
        steps.extend((0..self.queries.len()).map(Step::TurnComes));
        steps.extend((0..self.open.len()).map(Step::RequestEnds));
        if self.changes_left > 0 {
            steps.extend((0..SETTINGS).map(Step::SettingsChange));
        }
        if self.now < self.known_to_all_at() {
            steps.push(Step::ClientsCatchUp);
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::QueryReceived(name, keyed) => self.receive(name, keyed),
            Step::TurnComes(index) => self.admit(index),
            Step::RequestEnds(index) => drop(self.open.remove(index)),
            Step::SettingsChange(which) => self.change_settings(which),
            Step::ClientsCatchUp => self.now = self.known_to_all_at(),
        }
        self.check();
    }

    fn describe(&self, step: &Step) -> String {
        match step {
            Step::QueryReceived(name, keyed) => {
                format!("a query of class {} is received, with a key: {keyed}", NAMES[*name])
            }
            Step::TurnComes(index) => format!("the turn of waiting query {index} comes"),
            Step::RequestEnds(index) => format!("open request {index} ends"),
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
    let (queries_left, changes_left) = if size == Size::Small { (2, 3) } else { (3, 4) };
    let start = Changes {
        now: 0,
        classes: ClassTable::new(classes(0)),
        settings: vec![AppliedSettings { which: 0, replaced_at: Time::MAX - OVERLAP }],
        queries: Vec::new(),
        open: Vec::new(),
        queries_left,
        changes_left,
        violated: None,
    };
    check(start, path)
}
