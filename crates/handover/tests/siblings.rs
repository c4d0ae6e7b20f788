//! Who runs beside this process, and what of the limits is available to it.

use petrelgauge_handover::siblings::*;
use petrelgauge_handover::Reservation;

const WHOLE: Reservation = Reservation { sockets: 384, memory: 48 << 20, open: 128 };

fn reserving(sockets: usize, open: usize) -> Reservation {
    Reservation { sockets, memory: 1 << 20, open }
}

/// Reads a record at a time of this process's clock, written at a time of its writer's.
fn read(siblings: &mut SiblingRegistry, now: i64, process: u64, written: i64, reservation: Reservation) {
    let fingerprint = written as u64;
    siblings.record_seen(now, process, RecordStamp { written, fingerprint }, reservation);
}

#[test]
fn reservations_of_siblings_are_not_available_and_return_when_they_are_gone() {
    let mut siblings = SiblingRegistry::default();
    assert_eq!(siblings.available(0, WHOLE), WHOLE);
    read(&mut siblings, 0, 1, 0, reserving(100, 40));
    assert_eq!(siblings.available(0, WHOLE), Reservation { sockets: 284, memory: 47 << 20, open: 88 });
    read(&mut siblings, 250_000, 1, 250_000, reserving(30, 2));
    read(&mut siblings, 250_000, 2, 250_000, reserving(20, 0));
    assert_eq!(siblings.available(250_000, WHOLE).sockets, 334);
    // The first has written no more.
    read(&mut siblings, LIVENESS_TIMEOUT, 2, LIVENESS_TIMEOUT, reserving(20, 0));
    assert_eq!(siblings.available(LIVENESS_TIMEOUT + 250_001, WHOLE).sockets, 364);
    assert_eq!(siblings.available(2 * LIVENESS_TIMEOUT + 1, WHOLE), WHOLE);
}

#[test]
fn a_record_that_comes_late_changes_nothing() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 500, 1, 500, reserving(10, 1));
    read(&mut siblings, 500, 1, 400, reserving(99, 9));
    assert_eq!(siblings.available(500, WHOLE).sockets, 374);
    assert_eq!(siblings.live_count(500 + LIVENESS_TIMEOUT), 1);
    assert_eq!(siblings.live_count(501 + LIVENESS_TIMEOUT), 0);
}

#[test]
fn a_new_process_has_a_minimum_share_beside_siblings_that_reserve_everything() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, 0, reserving(usize::MAX, 500));
    read(&mut siblings, 0, 2, 0, reserving(usize::MAX, 500));
    assert_eq!(siblings.available(0, WHOLE), Reservation { sockets: 48, memory: 46 << 20, open: 16 });
}

#[test]
fn a_sibling_that_removed_its_record_is_gone_at_once() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, 0, reserving(100, 40));
    read(&mut siblings, 0, 2, 0, reserving(10, 0));
    siblings.retain(&[2]);
    assert_eq!(siblings.available(0, WHOLE).sockets, 374);
}

#[test]
fn the_number_of_siblings_is_bounded() {
    let mut siblings = SiblingRegistry::default();
    (0..100).for_each(|process| read(&mut siblings, 0, process, 0, reserving(1, 1)));
    assert_eq!((siblings.live_count(0), siblings.available(0, WHOLE).sockets), (MAX_SIBLINGS, 380));
}

const HOUR: i64 = 3_600_000_000;

#[test]
fn a_sibling_whose_clock_differs_is_alive_while_its_record_changes() {
    for offset in [3_000_000, 60_000_000, HOUR, -3_000_000, -60_000_000, -HOUR] {
        let mut siblings = SiblingRegistry::default();
        for heartbeat in 0..40 {
            let now = 2 * HOUR + heartbeat * HEARTBEAT_INTERVAL;
            read(&mut siblings, now, 1, now + offset, reserving(100, 40));
            assert_eq!(siblings.live_count(now), 1, "{offset} us apart");
        }
        let last = 2 * HOUR + 39 * HEARTBEAT_INTERVAL;
        // It writes no more, and is read as often as before.
        for heartbeat in 0..40 {
            let now = last + heartbeat * HEARTBEAT_INTERVAL;
            read(&mut siblings, now, 1, last + offset, reserving(100, 40));
            let alive = usize::from(now - last <= LIVENESS_TIMEOUT);
            assert_eq!(
                siblings.live_count(now),
                alive,
                "{offset} us apart, {heartbeat} heartbeats without a change"
            );
        }
    }
}

#[test]
fn a_record_found_for_the_first_time_counts_for_one_liveness_timeout() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, HOUR, 1, 7, reserving(100, 40));
    assert_eq!(siblings.available(HOUR + LIVENESS_TIMEOUT, WHOLE).sockets, 284);
    read(&mut siblings, HOUR + LIVENESS_TIMEOUT + 1, 1, 7, reserving(100, 40));
    assert_eq!(siblings.available(HOUR + LIVENESS_TIMEOUT + 1, WHOLE), WHOLE);
}

#[test]
fn a_process_with_the_number_of_one_that_died_counts_though_its_clock_was_set_back() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, HOUR, reserving(100, 40));
    let later = LIVENESS_TIMEOUT + 1;
    assert_eq!(siblings.live_count(later), 0);
    read(&mut siblings, later, 1, 5, reserving(10, 4));
    assert_eq!(siblings.available(later, WHOLE).sockets, 374);
}

#[test]
fn an_unreadable_record_leaves_the_last_reservation_in_force_while_its_file_changes() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, 0, reserving(100, 40));
    for heartbeat in 1..40 {
        let now = heartbeat * HEARTBEAT_INTERVAL;
        siblings.unreadable_record_seen(now, 1, heartbeat as u64);
        assert_eq!(siblings.available(now, WHOLE).sockets, 284);
    }
    let gone = 39 * HEARTBEAT_INTERVAL + LIVENESS_TIMEOUT + 1;
    siblings.unreadable_record_seen(gone, 1, 39);
    assert_eq!(siblings.available(gone, WHOLE), WHOLE);
}

#[test]
fn a_sibling_that_was_never_read_is_left_half_and_one_without_a_record_the_minimum_share() {
    let mut siblings = SiblingRegistry::default();
    siblings.unreadable_record_seen(0, 1, 1);
    assert_eq!(siblings.available(0, WHOLE), Reservation { sockets: 192, memory: 24 << 20, open: 64 });
    let mut siblings = SiblingRegistry::default();
    siblings.unfinished_record_seen(0, 1, 1);
    assert_eq!(siblings.available(0, WHOLE), Reservation { sockets: 336, memory: 42 << 20, open: 112 });
}

#[test]
fn a_directory_that_cannot_be_read_lets_no_sibling_grow_old() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, 0, reserving(100, 40));
    siblings.unobserved_for(HOUR);
    assert_eq!(siblings.live_count(HOUR + LIVENESS_TIMEOUT), 1);
    assert_eq!(siblings.live_count(HOUR + LIVENESS_TIMEOUT + 1), 0);
}
