//! The table of request classes when the settings change while requests are open.

use petrelgauge_lifecycle::class_table::{ClassTable, IdempotencyKey, TooManyClasses, MAX_CLASSES, OVERLAP};
use petrelgauge_policy::{Class, Effect, Need, Scope};
use std::collections::BTreeSet;

const KEYED: Effect = Effect::Keyed { window: 5_000_000, scope: Scope::Group };

fn class(name: &str, effect: Effect) -> Class {
    Class {
        name: name.into(),
        need: Need::Eventual,
        effect,
        attempts: 4,
        latency_target: 1,
        deadline: 2,
        priority_weight: 1.0,
        late_share: 0.0,
    }
}

fn two_classes() -> ClassTable {
    ClassTable::new(vec![class("a", Effect::Safe), class("b", KEYED)])
}

#[test]
fn unchanged_classes_keep_their_index_and_classes_in_use_are_not_overwritten() {
    let mut classes = two_classes();
    let changed = vec![class("b", KEYED), class("c", Effect::Safe), class("a", Effect::Unsafe)];
    classes.update(0, changed, &[0].into()).expect("a free index");
    assert_eq!(classes.find(0, "b", IdempotencyKey::Present), Some(1));
    assert_eq!(classes.class(0).effect, Effect::Safe, "an open request still uses it");
    let indexes: BTreeSet<usize> = classes.in_force().iter().copied().collect();
    assert_eq!((indexes.len(), classes.table().len(), classes.settings_version()), (3, 4, 2));
}

#[test]
fn a_removed_class_is_found_until_the_overlap_ends() {
    let mut classes = two_classes();
    classes.update(0, vec![class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    assert_eq!(classes.find(OVERLAP - 1, "a", IdempotencyKey::Absent), Some(0));
    assert_eq!(classes.find(OVERLAP, "a", IdempotencyKey::Absent), None);
}

#[test]
fn the_longest_deadline_includes_the_previous_class_until_the_overlap_ends() {
    let mut classes = two_classes();
    let longer = Class { deadline: 9, ..class("a", Effect::Safe) };
    classes.update(0, vec![longer, class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    classes.update(OVERLAP, vec![class("a", Effect::Safe)], &BTreeSet::new()).expect("a free index");
    assert_eq!(classes.longest_class_deadline(2 * OVERLAP - 1, "a"), 9);
    assert_eq!(classes.longest_class_deadline(2 * OVERLAP, "a"), 2);
    assert_eq!(classes.longest_class_deadline(2 * OVERLAP, "c"), 0);
}

#[test]
fn a_class_that_now_requires_a_key_is_found_in_its_previous_form_without_one() {
    let mut classes = two_classes();
    classes.update(0, vec![class("a", KEYED), class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    let effect = |at, key| classes.find(at, "a", key).map(|index| classes.class(index).effect);
    assert_eq!(effect(0, IdempotencyKey::Absent), Some(Effect::Safe));
    assert_eq!(effect(0, IdempotencyKey::Present), Some(KEYED));
    assert_eq!(
        effect(OVERLAP, IdempotencyKey::Absent),
        Some(KEYED),
        "the request is rejected for its missing key"
    );
    // A class that always required a key has no previous form without one.
    assert_eq!(classes.find(0, "b", IdempotencyKey::Absent), Some(1));
}

#[test]
fn the_table_size_is_bounded_and_independent_of_the_number_of_changes() {
    let mut classes = two_classes();
    for change in 0..1000 {
        let changed = vec![class(&format!("n{change}"), Effect::Safe), class("b", KEYED)];
        classes.update(change * OVERLAP, changed, &BTreeSet::new()).expect("a free index");
    }
    assert!(classes.table().len() <= 4, "{}", classes.table().len());
    let version = classes.settings_version();
    let many = (0..=MAX_CLASSES).map(|number| class(&format!("m{number}"), Effect::Safe)).collect();
    assert_eq!(classes.update(0, many, &BTreeSet::new()), Err(TooManyClasses));
    assert_eq!(
        (classes.settings_version(), classes.find(0, "b", IdempotencyKey::Present)),
        (version, Some(1)),
        "nothing has changed"
    );
}

#[test]
fn an_unused_index_holds_no_obsolete_class() {
    let mut classes = two_classes();
    classes.update(0, vec![class("c", Effect::Safe)], &[1].into()).expect("a free index");
    classes.update(OVERLAP, vec![class("c", Effect::Safe)], &[1].into()).expect("a free index");
    assert_eq!(classes.table()[0].name, "c");
    assert_eq!(classes.class(1).name, "b");
}
