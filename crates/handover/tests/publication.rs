//! What a process may use while its own record cannot be replaced.

use petrelgauge_handover::publication::{Publication, PUBLICATION_TIMEOUT, RECOVERY_DELAY};
use petrelgauge_handover::siblings::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};
use petrelgauge_handover::Reservation;

const LIMITS: Reservation = Reservation { sockets: 384, memory: 48 << 20, open: 128 };
const AVAILABLE: Reservation = Reservation { sockets: 300, memory: 40 << 20, open: 100 };
const STATED: Reservation = Reservation { sockets: 200, memory: 8 << 20, open: 30 };

fn published() -> Publication {
    let mut publication = Publication::default();
    publication.begin(0);
    assert!(!publication.succeeded(0, STATED));
    publication
}

#[test]
fn a_published_process_uses_what_is_available() {
    assert_eq!(published().limit(HEARTBEAT_INTERVAL, LIMITS, AVAILABLE), AVAILABLE);
}

#[test]
fn a_failing_write_binds_to_what_was_stated_and_then_to_the_minimum_share() {
    let mut publication = published();
    assert!(publication.failed(HEARTBEAT_INTERVAL, false), "the first failure");
    assert!(!publication.failed(2 * HEARTBEAT_INTERVAL, false), "a further one");
    assert_eq!(publication.limit(PUBLICATION_TIMEOUT, LIMITS, AVAILABLE), STATED);
    assert_eq!(publication.limit(PUBLICATION_TIMEOUT + 1, LIMITS, AVAILABLE), LIMITS.minimum_share());
    const { assert!(PUBLICATION_TIMEOUT + HEARTBEAT_INTERVAL < LIVENESS_TIMEOUT) };
}

#[test]
fn a_refreshed_record_keeps_what_it_states_for_as_long_as_it_is_refreshed() {
    let mut publication = published();
    for heartbeat in 1..400 {
        publication.failed(heartbeat * HEARTBEAT_INTERVAL, true);
        assert_eq!(publication.limit(heartbeat * HEARTBEAT_INTERVAL, LIMITS, AVAILABLE), STATED);
    }
}

#[test]
fn a_write_that_hangs_is_no_different_from_one_that_fails() {
    let mut publication = published();
    publication.begin(HEARTBEAT_INTERVAL);
    assert_eq!(publication.limit(PUBLICATION_TIMEOUT + 1, LIMITS, AVAILABLE), LIMITS.minimum_share());
    let mut first = Publication::default();
    first.begin(7);
    assert_eq!(first.limit(7 + PUBLICATION_TIMEOUT, LIMITS, AVAILABLE), AVAILABLE);
    assert_eq!(first.limit(8 + PUBLICATION_TIMEOUT, LIMITS, AVAILABLE), LIMITS.minimum_share());
}

#[test]
fn a_process_that_could_never_write_keeps_to_the_minimum_share() {
    let mut publication = Publication::default();
    publication.begin(0);
    publication.failed(0, false);
    assert_eq!(publication.limit(0, LIMITS, AVAILABLE), LIMITS.minimum_share());
}

#[test]
fn after_a_failure_siblings_have_time_to_see_the_new_record() {
    let mut publication = published();
    publication.failed(HEARTBEAT_INTERVAL, false);
    let more = Reservation { sockets: 250, ..STATED };
    let begun = 2 * HEARTBEAT_INTERVAL;
    assert!(publication.succeeded(begun, more), "it works again");
    assert_eq!(publication.limit(begun, LIMITS, AVAILABLE), STATED);
    assert!(!publication.succeeded(begun + HEARTBEAT_INTERVAL, more));
    assert_eq!(publication.limit(begun + HEARTBEAT_INTERVAL, LIMITS, AVAILABLE), STATED);
    publication.succeeded(begun + RECOVERY_DELAY, more);
    assert_eq!(publication.limit(begun + RECOVERY_DELAY, LIMITS, AVAILABLE), AVAILABLE);
}

#[test]
fn who_cannot_see_its_siblings_uses_no_more_than_it_has_stated() {
    assert_eq!(published().limit_unobserved(HEARTBEAT_INTERVAL, LIMITS, AVAILABLE), STATED);
    let small = Reservation { sockets: 3, memory: 1, open: 0 };
    let mut publication = Publication::default();
    publication.succeeded(0, small);
    assert_eq!(publication.limit_unobserved(0, LIMITS, AVAILABLE), LIMITS.minimum_share());
}
