//! Request classes while settings change under open requests.

use petrelgauge_lifecycle::class_table::*;
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

fn two() -> ClassTable {
    ClassTable::new(vec![class("a", Effect::Safe), class("b", KEYED)])
}

#[test]
fn what_is_the_same_keeps_its_place_and_what_is_in_use_is_left_alone() {
    let mut classes = two();
    let changed = vec![class("b", KEYED), class("c", Effect::Safe), class("a", Effect::Unsafe)];
    classes.update(0, changed, &[0].into()).expect("a free index");
    assert_eq!(classes.find(0, "b", true), Some(1));
    assert_eq!(classes.class(0).effect, Effect::Safe, "an open request still has it");
    let places: BTreeSet<usize> = classes.in_force().iter().copied().collect();
    assert_eq!((places.len(), classes.table().len(), classes.version()), (3, 4, 2));
}

#[test]
fn a_name_that_is_dropped_is_found_until_clients_know_of_it() {
    let mut classes = two();
    classes.update(0, vec![class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    assert_eq!(classes.find(OVERLAP - 1, "a", false), Some(0));
    assert_eq!(classes.find(OVERLAP, "a", false), None);
}

#[test]
fn clients_wait_as_the_class_before_a_change_has_it_until_they_know() {
    let mut classes = two();
    let longer = Class { deadline: 9, ..class("a", Effect::Safe) };
    classes.update(0, vec![longer, class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    classes.update(OVERLAP, vec![class("a", Effect::Safe)], &BTreeSet::new()).expect("a free index");
    assert_eq!(classes.longest_wait(2 * OVERLAP - 1, "a"), 9);
    assert_eq!(classes.longest_wait(2 * OVERLAP, "a"), 2);
    assert_eq!(classes.longest_wait(2 * OVERLAP, "c"), 0);
}

#[test]
fn a_class_that_comes_to_ask_for_a_key_is_as_before_for_clients_that_bring_none() {
    let mut classes = two();
    classes.update(0, vec![class("a", KEYED), class("b", KEYED)], &BTreeSet::new()).expect("a free index");
    let effect = |at, keyed| classes.find(at, "a", keyed).map(|place| classes.class(place).effect);
    assert_eq!(effect(0, false), Some(Effect::Safe));
    assert_eq!(effect(0, true), Some(KEYED));
    assert_eq!(effect(OVERLAP, false), Some(KEYED), "which then refuses it");
    // One that always asked for it gets no other rule.
    assert_eq!(classes.find(0, "b", false), Some(1));
}

#[test]
fn the_table_does_not_grow_with_the_number_of_changes_and_has_a_bound() {
    let mut classes = two();
    for change in 0..1000 {
        let changed = vec![class(&format!("n{change}"), Effect::Safe), class("b", KEYED)];
        classes.update(change * OVERLAP, changed, &BTreeSet::new()).expect("a free index");
    }
    assert!(classes.table().len() <= 4, "{}", classes.table().len());
    let version = classes.version();
    let many = (0..=MAX_CLASSES).map(|number| class(&format!("m{number}"), Effect::Safe)).collect();
    assert_eq!(classes.update(0, many, &BTreeSet::new()), Err(TooManyClasses));
    assert_eq!((classes.version(), classes.find(0, "b", true)), (version, Some(1)), "nothing has changed");
}

#[test]
fn a_place_that_nobody_needs_holds_no_class_of_another_time() {
    let mut classes = two();
    classes.update(0, vec![class("c", Effect::Safe)], &[1].into()).expect("a free index");
    classes.update(OVERLAP, vec![class("c", Effect::Safe)], &[1].into()).expect("a free index");
    assert_eq!(classes.table()[0].name, "c");
    assert_eq!(classes.class(1).name, "b");
}
