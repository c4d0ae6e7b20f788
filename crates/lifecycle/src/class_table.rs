//! Which classes of requests there are while the settings change under open requests.
//!
//! The decision module knows a class by its place in a table. A request keeps the place, and with it the class, that it
//! was admitted with, for as long as it or one of its attempts is known. New settings are laid into the table beside
//! what is still in use: a class that is the same keeps its place, a changed or new one gets a free place or a further
//! one. So old and new rules stand side by side, and each request has its own, whole.
//!
//! For the span [`OVERLAP`] after a change a name that was dropped is still found, and a class that now asks for a key
//! is found as it was by requests without one: clients learn of the change later than the gateway.
//!
//! **Bounds.** The table holds the classes in force, those before the last change, and those of open requests: at most
//! [`MAX_CLASSES`]. A change that needs more is refused.
//!
//! ```
//! use petrelgauge_lifecycle::class_table::{ClassTable, OVERLAP};
//! use petrelgauge_policy::{Class, Effect, Need};
//!
//! let class = |name: &str, effect| Class {
//!     name: name.into(), need: Need::Eventual, effect, attempts: 4, latency_target: 1, deadline: 2, priority_weight: 1.0, late_share: 0.0,
//! };
//! let mut rules = ClassTable::new(vec![class("view", Effect::Safe)]);
//! let before = rules.find(0, "view", false).expect("it is there");
//! rules.update(10, vec![class("view", Effect::Unsafe)], &[before].into()).expect("there is room");
//! let now = rules.find(10, "view", false).expect("it is there");
//! assert_eq!((rules.class(before).effect, rules.class(now).effect), (Effect::Safe, Effect::Unsafe));
//! ```

use petrelgauge_policy::{mutant, Class, Effect, Mutant, Time};
use std::collections::BTreeSet;

/// Classes in the table at most (count): hundreds of changes within the longest deadline would be a mistake.
pub const MAX_CLASSES: usize = 256;
/// Span after a change in which clients may not know of it (microseconds): the platform has them follow after 1.2 s.
pub const OVERLAP: Time = 2_000_000;

/// The classes in force, and those that open requests still have.
#[derive(Clone, Debug)]
pub struct ClassTable {
    table: Vec<Class>,
    /// Places of the classes in force, in the order of the settings.
    force: Vec<usize>,
    /// Those in force before the last change, and until when they are found.
    before: Vec<usize>,
    until: Time,
    version: u64,
}

impl ClassTable {
    /// The classes of the start.
    pub fn new(classes: Vec<Class>) -> ClassTable {
        let force = (0..classes.len()).collect();
        ClassTable { table: classes, force, before: Vec::new(), until: Time::MIN, version: 1 }
    }

    /// The table, as the decision module is to have it.
    pub fn table(&self) -> &[Class] {
        &self.table
    }

    /// Counts the settings that were in force, from 1.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The class of a place.
    pub fn class(&self, place: usize) -> &Class {
        &self.table[place]
    }

    /// Places of the classes in force, in the order of the settings.
    pub fn in_force(&self) -> &[usize] {
        &self.force
    }

    /// Places of the classes before the last change, while clients may not know of it.
    pub fn previous(&self, now: Time) -> &[usize] {
        if now < self.until {
            &self.before
        } else {
            &[]
        }
    }

    /// The longest that clients of the classes of this name wait: those of the class before a change, too, while they may
    /// not know of it.
    pub fn longest_wait(&self, now: Time, name: &str) -> Time {
        let places = self.force.iter().chain(self.previous(now));
        let named = places.map(|place| &self.table[*place]).filter(|class| class.name == name);
        named.map(|class| class.deadline).max().unwrap_or(0)
    }

    /// The place of the class that a new request names; `keyed`: the request carries a key.
    pub fn find(&self, now: Time, name: &str, keyed: bool) -> Option<usize> {
        let named = |places: &[usize]| places.iter().copied().find(|place| self.table[*place].name == name);
        let before = || named(self.previous(now));
        match named(&self.force) {
            None => before(),
            Some(place) if keyed || !asks_for_key(self.class(place)) => Some(place),
            // Its client does not know yet that the class asks for a key.
            Some(place) => before().filter(|old| !asks_for_key(self.class(*old))).or(Some(place)),
        }
    }

    /// New classes are in force from now on; `used` are the places of open requests and attempts. False, and nothing
    /// has changed, if the table would grow past its bound.
    pub fn update(
        &mut self,
        now: Time,
        classes: Vec<Class>,
        used: &BTreeSet<usize>,
    ) -> Result<(), TooManyClasses> {
        let mut taken: BTreeSet<usize> = used.iter().chain(&self.force).copied().collect();
        taken.extend(self.previous(now));
        if mutant(Mutant::ClassIndexReused) {
            taken.clear();
        }
        let (mut table, mut force) = (self.table.clone(), Vec::new());
        for class in &classes {
            let same = (0..table.len()).find(|place| table[*place] == *class && !force.contains(place));
            let place =
                same.unwrap_or_else(|| (0..).find(|place| !taken.contains(place)).unwrap_or_default());
            taken.insert(place);
            force.push(place);
            if place < table.len() {
                table[place] = class.clone();
            } else {
                table.push(class.clone());
            }
        }
        // Nobody asks for what is left over. The module reckons with all classes that it has, so none of another time
        // may stay among them.
        while table.len() > taken.iter().max().map_or(0, |last| last + 1) {
            table.pop();
        }
        for place in (0..table.len()).filter(|place| !taken.contains(place)) {
            table[place] = classes[0].clone();
        }
        if table.len() > MAX_CLASSES {
            return Err(TooManyClasses);
        }
        self.before = std::mem::replace(&mut self.force, force);
        (self.table, self.until) = (table, now + OVERLAP);
        self.version += 1;
        Ok(())
    }
}

/// There are open requests of too many classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyClasses;

fn asks_for_key(class: &Class) -> bool {
    matches!(class.effect, Effect::Keyed { .. })
}
