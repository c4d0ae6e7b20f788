//! The table of request classes when the settings change while requests are open.

use petrelgauge_lifecycle::class_table::{ClassTable, IdempotencyKey, TooManyClasses, MAX_CLASSES, OVERLAP};
use petrelgauge_policy::{Class, Effect, Need, Scope, Time};
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

/// The class that a query names which is received now.
fn find(classes: &ClassTable, now: Time, name: &str, key: IdempotencyKey) -> Option<usize> {
    classes.find(classes.version_in_force(), now, name, key)
}

fn longest_class_deadline(classes: &ClassTable, now: Time, name: &str) -> Time {
    classes.longest_class_deadline(classes.version_in_force(), now, name)
}

fn two_classes() -> ClassTable {
    ClassTable::new(vec![class("a", Effect::Safe), class("b", KEYED)])
}

#[test]
fn unchanged_classes_keep_their_index_and_classes_in_use_are_not_overwritten() {
    let mut classes = two_classes();
    let changed = vec![class("b", KEYED), class("c", Effect::Safe), class("a", Effect::Unsafe)];
    classes.update(0, changed, &[0].into()).expect("a free index");
    assert_eq!(find(&classes, 0, "b", IdempotencyKey::Present), Some(1));
    assert_eq!(classes.class(0).effect, Effect::Safe, "an open request still uses it");
    let indexes: BTreeSet<usize> = classes.in_force().iter().copied().collect();
    assert_eq!((indexes.len(), classes.table().len(), classes.settings_version()), (3, 4, 2));
}

#[test]
fn a_removed_class_is_found_until_the_overlap_ends() {
    let mut classes = two_classes();
    classes.update(0, vec![class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    assert_eq!(find(&classes, OVERLAP - 1, "a", IdempotencyKey::Absent), Some(0));
    assert_eq!(find(&classes, OVERLAP, "a", IdempotencyKey::Absent), None);
}

#[test]
fn the_longest_deadline_includes_the_previous_class_until_the_overlap_ends() {
    let mut classes = two_classes();
    let longer = Class { deadline: 9, ..class("a", Effect::Safe) };
    classes.update(0, vec![longer, class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    classes.update(OVERLAP, vec![class("a", Effect::Safe)], &BTreeSet::new()).expect("a free index");
    assert_eq!(longest_class_deadline(&classes, 2 * OVERLAP - 1, "a"), 9);
    assert_eq!(longest_class_deadline(&classes, 2 * OVERLAP, "a"), 2);
    assert_eq!(longest_class_deadline(&classes, 2 * OVERLAP, "c"), 0);
}

#[test]
fn a_class_that_now_requires_a_key_is_found_in_its_previous_form_without_one() {
    let mut classes = two_classes();
    classes.update(0, vec![class("a", KEYED), class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    let effect = |at, key| find(&classes, at, "a", key).map(|index| classes.class(index).effect);
    assert_eq!(effect(0, IdempotencyKey::Absent), Some(Effect::Safe));
    assert_eq!(effect(0, IdempotencyKey::Present), Some(KEYED));
    assert_eq!(
        effect(OVERLAP, IdempotencyKey::Absent),
        Some(KEYED),
        "the request is rejected for its missing key"
    );
    // A class that always required a key has no previous form without one.
    assert_eq!(find(&classes, 0, "b", IdempotencyKey::Absent), Some(1));
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
        (classes.settings_version(), find(&classes, 0, "b", IdempotencyKey::Present)),
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

// Regression: a query that waited behind another was looked up in the settings of the time when its turn came.
#[test]
fn a_query_finds_the_classes_under_which_it_was_received() {
    let mut classes = ClassTable::new(vec![class("a", Effect::Unsafe)]);
    let held = classes.hold();
    let effects = [Effect::Safe, KEYED, Effect::Safe];
    for (change, effect) in effects.into_iter().enumerate() {
        let now = change as Time * 2 * OVERLAP;
        classes.update(now, vec![class("a", effect)], &BTreeSet::new()).expect("a free index");
        let index = classes.find(held, 0, "a", IdempotencyKey::Present).expect("it was in force");
        assert_eq!(classes.class(index).effect, Effect::Unsafe);
    }
    let held_index = classes.find(held, 0, "a", IdempotencyKey::Present).expect("it was in force");
    classes.release(held);
    let later = 100 * OVERLAP;
    let more = ["a", "b", "c"].map(|name| class(name, Effect::Safe)).to_vec();
    classes.update(later, more, &BTreeSet::new()).expect("a free index");
    assert!(classes.in_force().contains(&held_index), "the index is free once the query is released");
}

// Every hold counts, and a query that is received later under the same settings keeps them longer.
#[test]
fn classes_are_kept_until_the_last_hold_is_released() {
    let mut classes = two_classes();
    let holds = [classes.hold(), classes.hold()];
    let replace = |classes: &mut ClassTable, change: Time| {
        let changed = vec![class(&format!("n{change}"), Effect::Safe)];
        classes.update(change * OVERLAP, changed, &BTreeSet::new()).expect("a free index");
    };
    (1..5).for_each(|change| replace(&mut classes, change));
    for held in holds {
        let index = classes.find(held, 0, "b", IdempotencyKey::Present).expect("it is held");
        assert_eq!(classes.class(index), &class("b", KEYED));
        assert_eq!(classes.longest_class_deadline(held, 0, "b"), 2);
        classes.release(held);
    }
    (5..9).for_each(|change| replace(&mut classes, change));
    assert!(classes.table().len() <= 3, "{}", classes.table().len());
    assert_eq!(classes.find(holds[0], 0, "b", IdempotencyKey::Present), None);
}

// Found by the model `rules`: the overlap had passed and its classes were cut off the table, but a query that
// was received later held them again, and a new class got an index past the end of the table.
#[test]
fn a_query_that_is_received_after_the_overlap_does_not_hold_its_classes() {
    let mut classes = two_classes();
    classes.update(0, vec![class("a", Effect::Safe)], &BTreeSet::new()).expect("a free index");
    classes.update(OVERLAP, vec![class("a", Effect::Safe)], &BTreeSet::new()).expect("a free index");
    classes.hold();
    let changed = vec![class("a", Effect::Safe), class("c", KEYED)];
    classes.update(OVERLAP, changed, &BTreeSet::new()).expect("a free index");
    let found = find(&classes, OVERLAP, "c", IdempotencyKey::Present).expect("it is in force");
    assert_eq!(classes.class(found), &class("c", KEYED));
}

// A client that sent its query under new settings may still have known the earlier ones.
#[test]
fn a_held_query_finds_a_class_that_was_removed_shortly_before_it_came() {
    let mut classes = two_classes();
    classes.update(0, vec![class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    let held = classes.hold();
    for change in 1..4 {
        let changed = vec![class(&format!("n{change}"), Effect::Safe)];
        classes.update(change * OVERLAP, changed, &BTreeSet::new()).expect("a free index");
    }
    let found = |received_at| classes.find(held, received_at, "a", IdempotencyKey::Absent);
    assert_eq!(found(OVERLAP - 1).map(|index| classes.class(index)), Some(&class("a", Effect::Safe)));
    assert_eq!(found(OVERLAP), None);
}

// Regression: a second change within the overlap ended it, and clients of a removed class were turned away.
#[test]
fn each_removed_class_has_its_whole_overlap_though_changes_follow() {
    let mut classes = two_classes();
    let changes = [vec![class("b", KEYED)], vec![class("c", Effect::Safe)], vec![class("c", Effect::Safe)]];
    for (now, changed) in changes.into_iter().enumerate() {
        classes.update(now as Time, changed, &BTreeSet::new()).expect("a free index");
    }
    let found = |now, name| find(&classes, now, name, IdempotencyKey::Present).is_some();
    assert!(found(OVERLAP - 1, "a") && !found(OVERLAP, "a"));
    assert!(found(OVERLAP, "b") && !found(OVERLAP + 1, "b"));
    assert_eq!(classes.settings_version(), 4);
}

// Regression: a class that may be repeated more freely was so before clients knew of it.
#[test]
fn of_two_forms_that_clients_may_know_the_one_with_fewer_repeats_is_found() {
    let shorter = Effect::Keyed { window: 1_000_000, scope: Scope::Group };
    let wider = Effect::Keyed { window: 5_000_000, scope: Scope::All };
    let narrower = Effect::Keyed { window: 5_000_000, scope: Scope::Zone };
    let cases = [
        (Effect::Unsafe, Effect::Safe),
        (Effect::Unsafe, KEYED),
        (KEYED, Effect::Safe),
        (shorter, KEYED),
        (KEYED, wider),
        (narrower, KEYED),
    ];
    for (strict, free) in cases {
        for (before, after) in [(strict, free), (free, strict)] {
            let mut classes = ClassTable::new(vec![class("a", before)]);
            classes.update(0, vec![class("a", after)], &BTreeSet::new()).expect("a free index");
            let effect = |now| {
                let index = find(&classes, now, "a", IdempotencyKey::Present).expect("it is in force");
                classes.class(index).effect
            };
            assert_eq!(effect(OVERLAP - 1), strict, "{before:?} to {after:?}");
            assert_eq!(effect(OVERLAP), after, "{before:?} to {after:?}");
        }
    }
    let attempts = |count| Class { attempts: count, ..class("a", KEYED) };
    let mut classes = ClassTable::new(vec![attempts(3)]);
    classes.update(0, vec![attempts(4)], &BTreeSet::new()).expect("a free index");
    let found = |now| find(&classes, now, "a", IdempotencyKey::Present).expect("it is in force");
    assert_eq!([OVERLAP - 1, OVERLAP].map(|now| classes.class(found(now)).attempts), [3, 4]);
}

// A class of reads that becomes one of writes is another class: no earlier form fits the new statements.
#[test]
fn a_form_of_the_other_kind_is_not_found_in_place_of_the_one_in_force() {
    let write = |effect| Class { need: Need::Write, ..class("a", effect) };
    let mut classes = ClassTable::new(vec![write(Effect::Unsafe)]);
    classes.update(0, vec![class("a", Effect::Safe)], &BTreeSet::new()).expect("a free index");
    let found = find(&classes, 0, "a", IdempotencyKey::Absent).expect("it is in force");
    assert_eq!(classes.class(found), &class("a", Effect::Safe));
}

#[test]
fn a_class_that_is_added_while_a_query_waits_is_found() {
    let mut classes = two_classes();
    let held = classes.hold();
    let more = vec![class("a", Effect::Safe), class("b", KEYED), class("c", Effect::Unsafe)];
    classes.update(0, more, &BTreeSet::new()).expect("a free index");
    let found = classes.find(held, 0, "c", IdempotencyKey::Absent).expect("it is in force");
    assert_eq!(classes.class(found), &class("c", Effect::Unsafe));
}
