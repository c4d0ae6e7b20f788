//! The table of request classes, which stays consistent when the settings change while requests are open.
//!
//! The router knows a class by its index in a table. A request keeps the index, and with it the class, that
//! it was admitted with, for as long as it or one of its attempts is known. The classes of new settings are
//! added next to those still in use: an unchanged class keeps its index, a changed or new one gets a free
//! index or extends the table. Old and new classes coexist, and each request has exactly one of them.
//!
//! A query may wait behind others of its connection before it is admitted. Its class is that of the settings
//! under which the gateway received it, so whoever reads queries [holds](ClassTable::hold) these settings and
//! names them to [`ClassTable::find`]. What is held stays in the table.
//!
//! Clients learn of a change later than the gateway. For [`OVERLAP`] after a change, whatever settings follow,
//! a removed class is still found, a request without an idempotency key finds an earlier form of a class that
//! now requires one, and a class that may now be repeated more freely is found in its earlier form.
//!
//! **Bounds.** The table holds the classes in force, those of the changes within [`OVERLAP`], those that are
//! held, and those in use: at most [`MAX_CLASSES`]. A change that needs more is rejected. There is at most one
//! set of classes for each hold, and the one in force.
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
//! let mut classes = ClassTable::new(vec![class("view", Effect::Unsafe)]);
//! let received_under = classes.hold();
//! classes.update(10, vec![class("view", Effect::Safe)], &[].into()).expect("the table has a free index");
//! let old = classes.find(received_under, 5, "view", IdempotencyKey::Absent).expect("it was in force");
//! let in_force = classes.version_in_force();
//! let new = classes.find(in_force, 10 + OVERLAP, "view", IdempotencyKey::Absent).expect("it is in force");
//! assert_eq!((classes.class(old).effect, classes.class(new).effect), (Effect::Unsafe, Effect::Safe));
//! ```

use petrelgauge_policy::{mutant, Class, Effect, Mutant, Need, Scope, Time};
use std::collections::BTreeSet;
use std::fmt;

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

/// Identifies the classes of the settings under which a query was received: the version of the settings with
/// which these classes came into force. A change of the settings that leaves all classes as they are does not
/// count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassSetVersion(u64);

impl fmt::Display for ClassSetVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The classes in force, and those that queries and open requests still use.
#[derive(Clone, Debug)]
pub struct ClassTable {
    table: Vec<Class>,
    in_force: ClassSet,
    /// Earlier sets that are held, in order of version.
    held: Vec<ClassSet>,
    settings_version: u64,
}

/// The classes of one version of the settings.
#[derive(Clone, Debug)]
struct ClassSet {
    version: ClassSetVersion,
    /// Indexes of its classes, in the order of the settings.
    classes: Vec<usize>,
    /// Classes that clients may go on to use under these settings, newest first.
    earlier: Vec<EarlierClasses>,
    /// Number of holds.
    holds: usize,
}

/// Classes of earlier settings that clients may still use.
#[derive(Clone, Debug)]
struct EarlierClasses {
    /// Indexes of the classes, in the order of the settings.
    classes: Vec<usize>,
    /// Clock time until which clients may use them.
    until: Time,
}

impl ClassSet {
    /// The classes that clients may use at this time, newest first.
    fn usable(&self, now: Time) -> impl Iterator<Item = &[usize]> {
        let earlier = self.earlier.iter().filter(move |earlier| now < earlier.until);
        std::iter::once(&self.classes[..]).chain(earlier.map(|earlier| &earlier.classes[..]))
    }

    /// The indexes of all classes that a holder of this set may find.
    fn indexes(&self) -> impl Iterator<Item = usize> + '_ {
        let earlier = self.earlier.iter().flat_map(|earlier| &earlier.classes);
        self.classes.iter().chain(earlier).copied()
    }
}

impl ClassTable {
    /// A table with the classes of the initial settings.
    pub fn new(classes: Vec<Class>) -> ClassTable {
        let in_force = ClassSet {
            version: ClassSetVersion(1),
            classes: (0..classes.len()).collect(),
            earlier: Vec::new(),
            holds: 0,
        };
        ClassTable { table: classes, in_force, held: Vec::new(), settings_version: 1 }
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
        &self.in_force.classes
    }

    /// The version of the classes in force.
    pub fn version_in_force(&self) -> ClassSetVersion {
        self.in_force.version
    }

    /// Holds the classes in force, so that [`ClassTable::find`] finds them after further changes. Each hold
    /// has to be [released](ClassTable::release).
    pub fn hold(&mut self) -> ClassSetVersion {
        self.in_force.holds += 1;
        self.in_force.version
    }

    /// Releases one hold. Classes that nobody holds are dropped with a later change.
    pub fn release(&mut self, version: ClassSetVersion) {
        if version == self.in_force.version {
            self.in_force.holds = self.in_force.holds.saturating_sub(1);
            return;
        }
        if let Some(set) = self.held.iter_mut().find(|set| set.version == version) {
            set.holds = set.holds.saturating_sub(1);
        }
        self.held.retain(|set| set.holds > 0);
    }

    /// The longest deadline (microseconds) of the classes in force. While clients may still use earlier
    /// classes, the longest deadline of these if that is shorter.
    pub fn longest_deadline(&self, now: Time) -> Time {
        let longest = |indexes: &[usize]| indexes.iter().map(|index| self.table[*index].deadline).max();
        self.in_force.usable(now).filter_map(longest).min().unwrap_or(0)
    }

    /// The longest deadline (microseconds) of the classes with this name that a client may have used for a
    /// query that was received under settings of this version at this time. 0 if there is no such class.
    pub fn longest_class_deadline(&self, version: ClassSetVersion, received_at: Time, name: &str) -> Time {
        let named = self.named(version, received_at, name);
        named.map(|index| self.table[index].deadline).max().unwrap_or(0)
    }

    /// The index of the class that a query names which was received under settings of this version at this
    /// time, by whether it carries an idempotency key. `version` must be held or in force.
    ///
    /// Of the forms of the class that the client may know and that accept the query, it is the newest, or an
    /// earlier one that allows fewer repeats: the rules of new settings bind only when clients know them.
    pub fn find(
        &self,
        version: ClassSetVersion,
        received_at: Time,
        name: &str,
        key: IdempotencyKey,
    ) -> Option<usize> {
        let accepts = |index: &usize| key == IdempotencyKey::Present || !requires_key(self.class(*index));
        let strictest = |newer: usize, earlier: usize| {
            let is_stricter = allows_fewer_repeats(self.class(earlier), self.class(newer));
            if is_stricter && !mutant(Mutant::RepeatsAllowedEarly) {
                earlier
            } else {
                newer
            }
        };
        let named = || self.named(version, received_at, name);
        named().filter(accepts).reduce(strictest).or_else(|| named().next())
    }

    /// Indexes of the classes with this name that a client may have used, newest first. A class that did not
    /// exist when the query was received has no earlier form to keep, and is found if it is in force.
    fn named<'a>(
        &'a self,
        version: ClassSetVersion,
        received_at: Time,
        name: &'a str,
    ) -> impl Iterator<Item = usize> + 'a {
        let is_named = move |index: &usize| self.table.get(*index).is_some_and(|class| class.name == name);
        let index_in = move |indexes: &[usize]| indexes.iter().copied().find(is_named);
        let mut known = self.set(version).usable(received_at).filter_map(index_in).peekable();
        let added = if known.peek().is_none() { index_in(&self.in_force.classes) } else { None };
        known.chain(added)
    }

    fn set(&self, version: ClassSetVersion) -> &ClassSet {
        if mutant(Mutant::ClassFoundAtTurn) {
            return &self.in_force;
        }
        self.held.iter().find(|set| set.version == version).unwrap_or(&self.in_force)
    }

    /// Puts new classes in force. `used` are the indexes of the classes of requests and attempts.
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
        self.forget_expired(now);
        let mut occupied = self.occupied(now, used);
        let NewClasses { mut table, in_force } = self.with_classes(&classes, &mut occupied);
        clear_unused(&mut table, &occupied, &classes);
        if table.len() > MAX_CLASSES {
            return Err(TooManyClasses);
        }
        self.table = table;
        self.settings_version += 1;
        if in_force != self.in_force.classes {
            self.replace_set_in_force(now, in_force);
        }
        Ok(())
    }

    /// Forgets earlier classes that no client may use any more: their indexes become free, so they must not be
    /// held by a query that is received later.
    fn forget_expired(&mut self, now: Time) {
        if self.in_force.holds == 0 {
            self.in_force.earlier.retain(|earlier| now < earlier.until);
        }
    }

    /// Indexes that new classes must not take: those in use, held, in force, or still known to clients.
    fn occupied(&self, now: Time, used: &BTreeSet<usize>) -> BTreeSet<usize> {
        if mutant(Mutant::ClassIndexReused) {
            return BTreeSet::new();
        }
        let held = self.held.iter().chain(Some(&self.in_force).filter(|set| set.holds > 0));
        let usable = self.in_force.usable(now).flatten().copied();
        used.iter().copied().chain(held.flat_map(ClassSet::indexes)).chain(usable).collect()
    }

    /// Puts classes with these indexes in force.
    fn replace_set_in_force(&mut self, now: Time, classes: Vec<usize>) {
        let is_usable = |earlier: &EarlierClasses| now < earlier.until && !mutant(Mutant::OverlapCutShort);
        let replaced = EarlierClasses { classes: self.in_force.classes.clone(), until: now + OVERLAP };
        let still_usable = self.in_force.earlier.iter().filter(|earlier| is_usable(earlier)).cloned();
        let in_force = ClassSet {
            version: ClassSetVersion(self.settings_version),
            classes,
            earlier: std::iter::once(replaced).chain(still_usable).collect(),
            holds: 0,
        };
        let replaced = std::mem::replace(&mut self.in_force, in_force);
        if replaced.holds > 0 {
            self.held.push(replaced);
        }
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

/// Whether a form of a class allows fewer repeats of a request than another form. Reads and writes have no
/// form in common.
fn allows_fewer_repeats(class: &Class, other: &Class) -> bool {
    let is_same_kind = (class.need == Need::Write) == (other.need == Need::Write);
    let has_fewer_attempts = class.effect == other.effect && class.attempts < other.attempts;
    is_same_kind && (is_stricter(class.effect, other.effect) || has_fewer_attempts)
}

fn is_stricter(effect: Effect, other: Effect) -> bool {
    match (effect, other) {
        (Effect::Safe, _) | (Effect::Unsafe, Effect::Unsafe) => false,
        (Effect::Unsafe, _) | (Effect::Keyed { .. }, Effect::Safe) => true,
        (Effect::Keyed { .. }, Effect::Unsafe) => false,
        (Effect::Keyed { window, scope }, Effect::Keyed { window: other_window, scope: other_scope }) => {
            window < other_window || strictness(scope) > strictness(other_scope)
        }
    }
}

/// Rank of a scope: the higher, the fewer members recognize the key of a request to one group.
fn strictness(scope: Scope) -> u8 {
    match scope {
        Scope::All => 0,
        Scope::Group => 1,
        Scope::Zone => 2,
    }
}
