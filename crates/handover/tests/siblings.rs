//! Which siblings are alive, and what they leave of the limits.

use petrelgauge_handover::siblings::{
    RecordStamp, SiblingRegistry, HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT, MAX_SIBLINGS,
};
use petrelgauge_handover::Reservation;

const LIMITS: Reservation = Reservation { sockets: 384, memory: 48 << 20, open_requests: 128 };

fn reserving(sockets: usize, open_requests: usize) -> Reservation {
    Reservation { sockets, memory: 1 << 20, open_requests }
}

/// Reads, at `now` by this process's clock, a record that was written at `written_at` by its writer's clock.
fn read(siblings: &mut SiblingRegistry, now: i64, process: u64, written_at: i64, reservation: Reservation) {
    let fingerprint = written_at as u64;
    siblings.record_seen(now, process, RecordStamp { written_at, fingerprint }, reservation);
}

#[test]
fn reservations_of_siblings_are_available_again_when_they_have_ended() {
    let mut siblings = SiblingRegistry::default();
    assert_eq!(siblings.available(0, LIMITS), LIMITS);
    read(&mut siblings, 0, 1, 0, reserving(100, 40));
    assert_eq!(
        siblings.available(0, LIMITS),
        Reservation { sockets: 284, memory: 47 << 20, open_requests: 88 }
    );
    read(&mut siblings, 250_000, 1, 250_000, reserving(30, 2));
    read(&mut siblings, 250_000, 2, 250_000, reserving(20, 0));
    assert_eq!(siblings.available(250_000, LIMITS).sockets, 334);
    // The first sibling has stopped writing.
    read(&mut siblings, LIVENESS_TIMEOUT, 2, LIVENESS_TIMEOUT, reserving(20, 0));
    assert_eq!(siblings.available(LIVENESS_TIMEOUT + 250_001, LIMITS).sockets, 364);
    assert_eq!(siblings.available(2 * LIVENESS_TIMEOUT + 1, LIMITS), LIMITS);
}

#[test]
fn an_older_record_read_late_is_ignored() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 500, 1, 500, reserving(10, 1));
    read(&mut siblings, 500, 1, 400, reserving(99, 9));
    assert_eq!(siblings.available(500, LIMITS).sockets, 374);
    assert_eq!(siblings.live_count(500 + LIVENESS_TIMEOUT), 1);
    assert_eq!(siblings.live_count(501 + LIVENESS_TIMEOUT), 0);
}

#[test]
fn a_new_process_has_a_minimum_share_beside_siblings_that_reserve_everything() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, 0, reserving(usize::MAX, 500));
    read(&mut siblings, 0, 2, 0, reserving(usize::MAX, 500));
    assert_eq!(
        siblings.available(0, LIMITS),
        Reservation { sockets: 48, memory: 46 << 20, open_requests: 16 }
    );
}

#[test]
fn a_sibling_that_removed_its_record_is_gone_at_once() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, 0, reserving(100, 40));
    read(&mut siblings, 0, 2, 0, reserving(10, 0));
    siblings.retain(&[2]);
    assert_eq!(siblings.available(0, LIMITS).sockets, 374);
}

#[test]
fn the_number_of_siblings_is_bounded() {
    let mut siblings = SiblingRegistry::default();
    (0..100).for_each(|process| read(&mut siblings, 0, process, 0, reserving(1, 1)));
    assert_eq!((siblings.live_count(0), siblings.available(0, LIMITS).sockets), (MAX_SIBLINGS, 380));
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
        // The sibling has stopped writing; its record is still read at every heartbeat.
        for heartbeat in 0..40 {
            let now = last + heartbeat * HEARTBEAT_INTERVAL;
            read(&mut siblings, now, 1, last + offset, reserving(100, 40));
            let expected = usize::from(now - last <= LIVENESS_TIMEOUT);
            assert_eq!(
                siblings.live_count(now),
                expected,
                "{offset} us apart, {heartbeat} heartbeats without a change"
            );
        }
    }
}

#[test]
fn a_sibling_found_for_the_first_time_is_alive_for_one_liveness_timeout() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, HOUR, 1, 7, reserving(100, 40));
    assert_eq!(siblings.available(HOUR + LIVENESS_TIMEOUT, LIMITS).sockets, 284);
    read(&mut siblings, HOUR + LIVENESS_TIMEOUT + 1, 1, 7, reserving(100, 40));
    assert_eq!(siblings.available(HOUR + LIVENESS_TIMEOUT + 1, LIMITS), LIMITS);
}

#[test]
fn a_process_that_reuses_the_number_of_an_ended_one_is_alive_though_its_clock_is_earlier() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, HOUR, reserving(100, 40));
    let later = LIVENESS_TIMEOUT + 1;
    assert_eq!(siblings.live_count(later), 0);
    read(&mut siblings, later, 1, 5, reserving(10, 4));
    assert_eq!(siblings.available(later, LIMITS).sockets, 374);
}

#[test]
fn the_last_reservation_stays_in_force_while_an_unreadable_record_changes() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, 0, reserving(100, 40));
    for heartbeat in 1..40 {
        let now = heartbeat * HEARTBEAT_INTERVAL;
        siblings.unreadable_record_seen(now, 1, heartbeat as u64);
        assert_eq!(siblings.available(now, LIMITS).sockets, 284);
    }
    let ended_at = 39 * HEARTBEAT_INTERVAL + LIVENESS_TIMEOUT + 1;
    siblings.unreadable_record_seen(ended_at, 1, 39);
    assert_eq!(siblings.available(ended_at, LIMITS), LIMITS);
}

#[test]
fn half_of_the_limits_is_assumed_for_an_unreadable_record_and_the_minimum_share_for_an_unfinished_one() {
    let mut siblings = SiblingRegistry::default();
    siblings.unreadable_record_seen(0, 1, 1);
    assert_eq!(
        siblings.available(0, LIMITS),
        Reservation { sockets: 192, memory: 24 << 20, open_requests: 64 }
    );
    let mut siblings = SiblingRegistry::default();
    siblings.unfinished_record_seen(0, 1, 1);
    assert_eq!(
        siblings.available(0, LIMITS),
        Reservation { sockets: 336, memory: 42 << 20, open_requests: 112 }
    );
}

#[test]
fn siblings_do_not_time_out_while_the_directory_cannot_be_read() {
    let mut siblings = SiblingRegistry::default();
    read(&mut siblings, 0, 1, 0, reserving(100, 40));
    siblings.unobserved_for(HOUR);
    assert_eq!(siblings.live_count(HOUR + LIVENESS_TIMEOUT), 1);
    assert_eq!(siblings.live_count(HOUR + LIVENESS_TIMEOUT + 1), 0);
}
