//! The table of request classes, which stays consistent when the settings change while requests are open.
//!
//! The router knows a class by its index in a table. A request keeps the index, and with it the class, that
//! it was admitted with, for as long as it or one of its attempts is known. The classes of new settings are
//! added next to those still in use: an unchanged class keeps its index, a changed or new one gets a free
//! index or extends the table. Old and new classes coexist, and each request has exactly one of them.
//!
//! For [`OVERLAP`] after a change a removed class is still found, and a request without an idempotency key
//! finds the previous form of a class that now requires one: clients learn of the change later than the
//! gateway.
//!
//! **Bounds.** The table holds the classes in force, those before the last change, and those of open
//! requests: at most [`MAX_CLASSES`]. A change that needs more is rejected.
//!
//! ```
//! use petrelgauge_lifecycle::class_table::{ClassTable, IdempotencyKey, OVERLAP};
//! use petrelgauge_policy::{Class, Effect, Need};
//!
//! let class = |name: &str, effect| Class {
//!     name: name.into(),
//!     need: Need::Eventual,
//!     effect,
//!     attempts: 4,
//!     latency_target: 1,
//!     deadline: 2,
//!     priority_weight: 1.0,
//!     late_share: 0.0,
//! };
//! let mut classes = ClassTable::new(vec![class("view", Effect::Safe)]);
//! let old = classes.find(0, "view", IdempotencyKey::Absent).expect("it is in force");
//! let changed = vec![class("view", Effect::Unsafe)];
//! classes.update(10, changed, &[old].into()).expect("the table has a free index");
//! let new = classes.find(10, "view", IdempotencyKey::Absent).expect("it is in force");
//! assert_eq!((classes.class(old).effect, classes.class(new).effect), (Effect::Safe, Effect::Unsafe));
//! ```

use petrelgauge_policy::{mutant, Class, Effect, Mutant, Time};
use std::collections::BTreeSet;

/// Most classes in the table (count). Only a misconfiguration that changes the settings hundreds of times
/// within the longest deadline needs more.
pub const MAX_CLASSES: usize = 256;
/// How long after a change clients may still use the previous classes (microseconds). The platform updates
/// them within 1.2 s.
pub const OVERLAP: Time = 2_000_000;

/// Whether a request carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IdempotencyKey {
    /// It carries one.
    Present,
    /// It carries none.
    Absent,
}

/// The classes in force, and those that open requests still use.
#[derive(Clone, Debug)]
pub struct ClassTable {
    table: Vec<Class>,
    /// Indexes of the classes in force, in the order of the settings.
    in_force: Vec<usize>,
    /// Indexes of the classes before the last change.
    previous: Vec<usize>,
    /// Clock time until which the previous classes are found.
    previous_until: Time,
    settings_version: u64,
}

impl ClassTable {
    /// A table with the classes of the initial settings.
    pub fn new(classes: Vec<Class>) -> ClassTable {
        let in_force = (0..classes.len()).collect();
        ClassTable {
            table: classes,
            in_force,
            previous: Vec::new(),
            previous_until: Time::MIN,
            settings_version: 1,
        }
    }

    /// The classes by index, as the router gets them.
    pub fn table(&self) -> &[Class] {
        &self.table
    }

    /// The version of the settings in force: 1 for the initial ones, incremented with each change.
    pub fn settings_version(&self) -> u64 {
        self.settings_version
    }

    /// The class with this index.
    pub fn class(&self, index: usize) -> &Class {
        &self.table[index]
    }

    /// Indexes of the classes in force, in the order of the settings.
    pub fn in_force(&self) -> &[usize] {
        &self.in_force
    }

    /// Indexes of the classes before the last change, for as long as clients may not know of it.
    pub fn previous(&self, now: Time) -> &[usize] {
        if now < self.previous_until {
            &self.previous
        } else {
            &[]
        }
    }

    /// The longest deadline (microseconds) of the classes with this name, the previous one included while
    /// clients may not know of the change. 0 if there is no such class.
    pub fn longest_class_deadline(&self, now: Time, name: &str) -> Time {
        let indexes = self.in_force.iter().chain(self.previous(now));
        let named = indexes.map(|index| &self.table[*index]).filter(|class| class.name == name);
        named.map(|class| class.deadline).max().unwrap_or(0)
    }

    /// The index of the class that a new request names, by whether the request carries an idempotency key.
    pub fn find(&self, now: Time, name: &str, key: IdempotencyKey) -> Option<usize> {
        let named = |indexes: &[usize]| indexes.iter().copied().find(|index| self.table[*index].name == name);
        let previous = || named(self.previous(now));
        match named(&self.in_force) {
            None => previous(),
            Some(index) if key == IdempotencyKey::Present || !requires_key(self.class(index)) => Some(index),
            // The client may not know yet that the class requires a key.
            Some(index) => previous().filter(|old| !requires_key(self.class(*old))).or(Some(index)),
        }
    }

    /// Puts new classes in force. `used` are the indexes of the classes of open requests and attempts.
    ///
    /// # Errors
    ///
    /// Fails if the table would grow past [`MAX_CLASSES`]; nothing has changed then.
    pub fn update(
        &mut self,
        now: Time,
        classes: Vec<Class>,
        used: &BTreeSet<usize>,
    ) -> Result<(), TooManyClasses> {
        let mut occupied: BTreeSet<usize> = used.iter().chain(&self.in_force).copied().collect();
        occupied.extend(self.previous(now));
        if mutant(Mutant::ClassIndexReused) {
            occupied.clear();
        }
        let NewClasses { mut table, in_force } = self.with_classes(&classes, &mut occupied);
        clear_unused(&mut table, &occupied, &classes);
        if table.len() > MAX_CLASSES {
            return Err(TooManyClasses);
        }
        self.previous = std::mem::replace(&mut self.in_force, in_force);
        self.table = table;
        self.previous_until = now + OVERLAP;
        self.settings_version += 1;
        Ok(())
    }

    /// A copy of the table with these classes added, and their indexes, which are added to `occupied`.
    fn with_classes(&self, classes: &[Class], occupied: &mut BTreeSet<usize>) -> NewClasses {
        let (mut table, mut in_force) = (self.table.clone(), Vec::new());
        for class in classes {
            let unchanged =
                (0..table.len()).find(|index| table[*index] == *class && !in_force.contains(index));
            let index = unchanged
                .unwrap_or_else(|| (0..).find(|index| !occupied.contains(index)).unwrap_or_default());
            occupied.insert(index);
            in_force.push(index);
            if index < table.len() {
                table[index] = class.clone();
            } else {
                table.push(class.clone());
            }
        }
        NewClasses { table, in_force }
    }
}

/// A table with new classes, and their indexes in it.
struct NewClasses {
    table: Vec<Class>,
    in_force: Vec<usize>,
}

/// Truncates the table after the last occupied index, and overwrites the other unused entries with a class in
/// force: the router takes all classes of the table into account, so no obsolete one may remain.
fn clear_unused(table: &mut Vec<Class>, occupied: &BTreeSet<usize>, classes: &[Class]) {
    table.truncate(occupied.last().map_or(0, |last| last + 1));
    for index in (0..table.len()).filter(|index| !occupied.contains(index)) {
        table[index] = classes[0].clone();
    }
}

/// The classes of new settings, together with those still in use, exceed [`MAX_CLASSES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyClasses;

fn requires_key(class: &Class) -> bool {
    matches!(class.effect, Effect::Keyed { .. })
}
