//! Who runs beside this process, and what of the limits is available to it.

use petrelgauge_handover::siblings::*;

const WHOLE: Reservation = Reservation { sockets: 384, memory: 48 << 20, open: 128 };

fn reserving(sockets: usize, open: usize) -> Reservation {
    Reservation { sockets, memory: 1 << 20, open }
}

#[test]
fn reservations_of_siblings_are_not_available_and_return_when_they_are_gone() {
    let mut siblings = SiblingRegistry::default();
    assert_eq!(siblings.available(0, WHOLE), WHOLE);
    siblings.record_seen(1, 0, reserving(100, 40));
    assert_eq!(siblings.available(0, WHOLE), Reservation { sockets: 284, memory: 47 << 20, open: 88 });
    siblings.record_seen(1, 250_000, reserving(30, 2));
    siblings.record_seen(2, 250_000, reserving(20, 0));
    assert_eq!(siblings.available(250_000, WHOLE).sockets, 334);
    // The first has written no more.
    siblings.record_seen(2, LIVENESS_TIMEOUT, reserving(20, 0));
    assert_eq!(siblings.available(LIVENESS_TIMEOUT + 250_001, WHOLE).sockets, 364);
    assert_eq!(siblings.available(2 * LIVENESS_TIMEOUT + 1, WHOLE), WHOLE);
}

#[test]
fn a_record_that_comes_late_changes_nothing() {
    let mut siblings = SiblingRegistry::default();
    siblings.record_seen(1, 500, reserving(10, 1));
    siblings.record_seen(1, 400, reserving(99, 9));
    assert_eq!(siblings.available(500, WHOLE).sockets, 374);
    assert_eq!(siblings.live_count(500 + LIVENESS_TIMEOUT), 1);
    assert_eq!(siblings.live_count(501 + LIVENESS_TIMEOUT), 0);
}

#[test]
fn a_new_process_has_a_minimum_share_beside_siblings_that_reserve_everything() {
    let mut siblings = SiblingRegistry::default();
    siblings.record_seen(1, 0, reserving(usize::MAX, 500));
    siblings.record_seen(2, 0, reserving(usize::MAX, 500));
    assert_eq!(siblings.available(0, WHOLE), Reservation { sockets: 48, memory: 46 << 20, open: 16 });
}

#[test]
fn a_sibling_that_removed_its_record_is_gone_at_once() {
    let mut siblings = SiblingRegistry::default();
    siblings.record_seen(1, 0, reserving(100, 40));
    siblings.record_seen(2, 0, reserving(10, 0));
    siblings.retain(&[2]);
    assert_eq!(siblings.available(0, WHOLE).sockets, 374);
}

#[test]
fn the_number_of_siblings_is_bounded() {
    let mut siblings = SiblingRegistry::default();
    (0..100).for_each(|process| siblings.record_seen(process, 0, reserving(1, 1)));
    assert_eq!((siblings.live_count(0), siblings.available(0, WHOLE).sockets), (MAX_SIBLINGS, 380));
}
