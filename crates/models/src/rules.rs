//! Model `rules`: settings change while requests are admitted and open. The class table is the gateway's own
//! code.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_lifecycle::class_table::{ClassTable, IdempotencyKey, OVERLAP};
use petrelgauge_policy::{Class, Effect, Need, Scope, Time};
use std::collections::BTreeSet;

const UNCHANGED: &str = "an open request keeps the class that it was admitted with";
const CURRENT: &str = "a name in force is found with its newest rules, but by those who cannot know them yet";
const BOUNDED: &str = "the table holds no more than what is in force, was, and is open";

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// A request names this class, with an idempotency key or without.
    RequestArrives(usize, bool),
    /// The open request with this index ends.
    RequestEnds(usize),
    /// These settings are applied.
    SettingsChange(usize),
    /// Clients know of the last change.
    ClientsCatchUp,
}

/// An open request, with the index and a copy of the class with which it was admitted.
#[derive(Clone, Debug)]
struct OpenRequest {
    index: usize,
    class: Class,
}

#[derive(Clone, Debug)]
struct Changes {
    now: Time,
    classes: ClassTable,
    /// Number of the settings in force.
    in_force: usize,
    open: Vec<OpenRequest>,
    requests_left: u8,
    changes_left: u8,
    violated: Option<&'static str>,
}

const NAMES: [&str; 3] = ["view", "post", "extra"];

fn class(name: &str, effect: Effect) -> Class {
    let (name, need) = (name.to_string(), Need::Eventual);
    Class {
        name,
        need,
        effect,
        attempts: 4,
        latency_target: 1,
        deadline: 2,
        priority_weight: 1.0,
        late_share: 0.0,
    }
}

/// The settings that may be applied: a class is added, another removed, and effects change.
fn settings(which: usize) -> Vec<Class> {
    let keyed = Effect::Keyed { window: 5_000_000, scope: Scope::Group };
    match which {
        0 => vec![class("view", Effect::Safe), class("post", keyed)],
        1 => vec![class("extra", Effect::Unsafe), class("view", keyed), class("post", keyed)],
        _ => vec![class("extra", Effect::Safe), class("view", Effect::Safe)],
    }
}

impl Changes {
    fn used_indices(&self) -> BTreeSet<usize> {
        self.open.iter().map(|request| request.index).collect()
    }

    fn check(&mut self) {
        if self.open.iter().any(|request| *self.classes.class(request.index) != request.class) {
            self.violated = Some(UNCHANGED);
        }
        for class in settings(self.in_force) {
            // The previous class applies only to requests without a key.
            let found = self.classes.find(self.now, &class.name, IdempotencyKey::Present);
            if found.is_none_or(|index| *self.classes.class(index) != class) {
                self.violated = Some(CURRENT);
            }
        }
        // The classes of two settings, and one class for each open request.
        if self.classes.table().len() > 2 * NAMES.len() + self.open.len() {
            self.violated = Some(BOUNDED);
        }
    }
}

impl World for Changes {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[UNCHANGED, CURRENT, BOUNDED];

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.requests_left > 0 {
            steps.extend(
                (0..NAMES.len())
                    .flat_map(|name| [Step::RequestArrives(name, true), Step::RequestArrives(name, false)]),
            );
        }
        steps.extend((0..self.open.len()).map(Step::RequestEnds));
        if self.changes_left > 0 {
            steps.extend((0..3).map(Step::SettingsChange));
        }
        steps.push(Step::ClientsCatchUp);
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::RequestArrives(name, keyed) => {
                self.requests_left -= 1;
                let key = if keyed { IdempotencyKey::Present } else { IdempotencyKey::Absent };
                if let Some(index) = self.classes.find(self.now, NAMES[name], key) {
                    self.open.push(OpenRequest { index, class: self.classes.class(index).clone() });
                }
            }
            Step::RequestEnds(index) => drop(self.open.remove(index)),
            Step::SettingsChange(which) => {
                self.changes_left -= 1;
                let used = self.used_indices();
                if self.classes.update(self.now, settings(which), &used).is_ok() {
                    self.in_force = which;
                }
            }
            // The time depends only on the last change, so that waiting again reaches no new state.
            Step::ClientsCatchUp => self.now = OVERLAP * (1 + self.classes.settings_version() as Time),
        }
        self.check();
    }

    fn describe(&self, step: &Step) -> String {
        match step {
            Step::RequestArrives(name, keyed) => {
                format!("a request of class {} arrives, with a key: {keyed}", NAMES[*name])
            }
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
    let (requests_left, changes_left) = if size == Size::Small { (2, 3) } else { (4, 4) };
    let (classes, open) = (ClassTable::new(settings(0)), Vec::new());
    let start = Changes { now: 0, classes, in_force: 0, open, requests_left, changes_left, violated: None };
    check(start, path)
}
