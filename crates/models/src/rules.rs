//! Model `rules`: settings change while requests come, stay open and end. The table of classes is the gateway's.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_lifecycle::class_table::{ClassTable, OVERLAP};
use petrelgauge_policy::{Class, Effect, Need, Scope, Time};
use std::collections::BTreeSet;

const KEPT: &str = "an open request keeps the class that it was admitted with";
const NAMED: &str = "a name in force is found with its newest rules, but by those who cannot know them yet";
const BOUNDED: &str = "the table holds no more than what is in force, was, and is open";

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// A request names this class, with a key or without.
    Comes(usize, bool),
    /// The open request of this place ends.
    Ends(usize),
    /// These settings are to hold.
    Follows(usize),
    /// Clients know of the last change.
    Passes,
}

#[derive(Clone, Debug)]
struct Changes {
    now: Time,
    rules: ClassTable,
    force: usize,
    /// Place and class at its admission.
    open: Vec<(usize, Class)>,
    comes: u8,
    follows: u8,
    broken: Option<&'static str>,
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

/// The settings that may hold: a class comes, another goes, and effects change.
fn settings(which: usize) -> Vec<Class> {
    let keyed = Effect::Keyed { window: 5_000_000, scope: Scope::Group };
    match which {
        0 => vec![class("view", Effect::Safe), class("post", keyed)],
        1 => vec![class("extra", Effect::Unsafe), class("view", keyed), class("post", keyed)],
        _ => vec![class("extra", Effect::Safe), class("view", Effect::Safe)],
    }
}

impl Changes {
    fn used(&self) -> BTreeSet<usize> {
        self.open.iter().map(|(place, _)| *place).collect()
    }

    fn look(&mut self) {
        if self.open.iter().any(|(place, class)| self.rules.class(*place) != class) {
            self.broken = Some(KEPT);
        }
        for class in settings(self.force) {
            // Whoever brings a key is never held to an older rule.
            let found = self.rules.find(self.now, &class.name, true);
            if found.is_none_or(|place| *self.rules.class(place) != class) {
                self.broken = Some(NAMED);
            }
        }
        // Two settings of three classes at most side by side, and a place for each open request.
        if self.rules.table().len() > 6 + self.open.len() {
            self.broken = Some(BOUNDED);
        }
    }
}

impl World for Changes {
    type Move = Move;

    const PROPERTIES: &'static [&'static str] = &[KEPT, NAMED, BOUNDED];

    fn moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        if self.comes > 0 {
            moves.extend(
                (0..NAMES.len()).flat_map(|name| [Move::Comes(name, true), Move::Comes(name, false)]),
            );
        }
        moves.extend((0..self.open.len()).map(Move::Ends));
        if self.follows > 0 {
            moves.extend((0..3).map(Move::Follows));
        }
        moves.push(Move::Passes);
        moves
    }

    fn play(&mut self, event: &Move) {
        match *event {
            Move::Comes(name, keyed) => {
                self.comes -= 1;
                if let Some(place) = self.rules.find(self.now, NAMES[name], keyed) {
                    self.open.push((place, self.rules.class(place).clone()));
                }
            }
            Move::Ends(place) => drop(self.open.remove(place)),
            Move::Follows(which) => {
                self.follows -= 1;
                let used = self.used();
                if self.rules.update(self.now, settings(which), &used).is_ok() {
                    self.force = which;
                }
            }
            // Counted from the last change alone: a run that only waits comes to no new state.
            Move::Passes => self.now = OVERLAP * (1 + self.rules.version() as Time),
        }
        self.look();
    }

    fn told(&self, event: &Move) -> String {
        match event {
            Move::Comes(name, keyed) => {
                format!("a request of class {} comes, with a key: {keyed}", NAMES[*name])
            }
            Move::Ends(place) => format!("open request {place} ends"),
            Move::Follows(which) => format!("SIGHUP, settings {which}"),
            Move::Passes => "clients know of the last change".into(),
        }
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}

/// Plays it.
pub fn run(size: Size, path: &[String]) -> Report {
    let (comes, follows) = if size == Size::Small { (2, 3) } else { (4, 4) };
    let (rules, open) = (ClassTable::new(settings(0)), Vec::new());
    check(Changes { now: 0, rules, force: 0, open, comes, follows, broken: None }, path)
}
